"""Decides whether and when a refused call of a replay is retried. Pure: the random generator is passed in.

A replay must not cause a retry storm that the capture did not have: the number of all retries stays under a
configured share of the first tries, and the retries of each call are limited.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum


class ReplayRetryPolicy(StrEnum):
    """How a replay treats retries."""

    RECORDED = "recorded"  # recorded retries are offered as recorded, no others are made
    MODEL = "model"  # recorded retries are left out; refused calls are retried according to RetryModel
    NONE = "none"  # recorded retries are left out and none are made


RETRYABLE = frozenset((408, 480, 486, 500, 503, 504))  # final answers after which a caller may retry


@dataclass(frozen=True, slots=True)
class RetryModel:
    """How callers retry after a refusal."""

    max_retries: int = 3  # of one call
    min_delay_ms: float = 300.0  # even if the refusal asked for a shorter wait
    initial_delay_ms: float = 1000.0  # if the refusal gave no Retry-After time; doubles with each try
    max_delay_ms: float = 30_000.0
    jitter: float = 0.25  # random share added to the delay, so that callers don't retry in step
    budget: float = 0.5  # retries of all calls together, per first try so far


class RetryScheduler:
    """Applies the retry policy to each call and keeps the retry budget."""

    def __init__(self, policy: ReplayRetryPolicy, model: RetryModel, rng: random.Random) -> None:
        self.policy, self.model, self.rng = policy, model, rng
        self.first_tries = self.granted = self.denied = 0

    def count_first_try(self) -> None:
        """Adds one first try to the base of the retry budget."""
        self.first_tries += 1

    def skips(self, is_retry: bool) -> bool:
        """Whether a recorded call is left out because it is a retry."""
        return is_retry and self.policy is not ReplayRetryPolicy.RECORDED

    def retry_delay_ms(self, status: int, try_number: int, retry_after_ms: float) -> float | None:
        """The delay before the next try, or None for no retry. `try_number` counts from 1."""
        if self.policy is not ReplayRetryPolicy.MODEL or status not in RETRYABLE:
            return None
        if try_number > self.model.max_retries or self.granted + 1 > self.model.budget * self.first_tries:
            self.denied += 1
            return None
        self.granted += 1
        delay_ms: float = (
            retry_after_ms if retry_after_ms > 0 else self.model.initial_delay_ms * 2.0 ** (try_number - 1)
        )
        delay_ms = min(max(delay_ms, self.model.min_delay_ms), self.model.max_delay_ms)
        return float(delay_ms * (1 + self.model.jitter * self.rng.random()))
