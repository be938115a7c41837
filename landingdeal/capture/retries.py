"""Whether a refused call of a replay is tried again, and when. Decisions only; clock and dice are given.

A replay must not become a retry storm that the capture never had: all tries again together stay under a
stated part of the first tries, and each call has its bound.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum


class RetryPolicy(StrEnum):
    RECORDED = "recorded"  # tries again are calls of the capture and are offered as they were
    MODEL = "model"  # they are left out, and refused calls are tried again by the model below
    NONE = "none"  # they are left out, and nothing is tried again


RETRYABLE = frozenset((408, 480, 486, 500, 503, 504))  # refusals after which a caller may try again


@dataclass(frozen=True, slots=True)
class RetryModel:
    """What callers do after a refusal. Times in milliseconds."""

    max_retries: int = 3  # tries again of one call
    min_delay_ms: float = 300.0  # nothing goes out again sooner, whatever was told
    initial_delay_ms: float = 1000.0  # where the refusal told no time to stay away; doubles with each try
    max_delay_ms: float = 30_000.0
    jitter: float = 0.25  # part of the pause, added at random: callers do not come back in step
    budget: float = 0.5  # tries again, all calls together, for each first try so far


class RetryScheduler:
    """Counts first tries and tries again; `again` answers for one refused call."""

    def __init__(self, policy: RetryPolicy, model: RetryModel, rng: random.Random) -> None:
        self.policy, self.model, self.rng = policy, model, rng
        self.first_tries = self.granted = self.denied = 0

    def count_first_try(self) -> None:
        """A first try has gone out."""
        self.first_tries += 1

    def skips(self, is_retry: bool) -> bool:
        """Whether a recorded call is not offered, being a try again."""
        return is_retry and self.policy is not RetryPolicy.RECORDED

    def retry_delay_ms(self, status: int, try_number: int, retry_after_ms: float) -> float | None:
        """The pause before the next try; None where there is none. `tries` made so far count the first."""
        if self.policy is not RetryPolicy.MODEL or status not in RETRYABLE:
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
