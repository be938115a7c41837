"""What a replay may have out at once. Decisions only: the time is told.

Open loop means that a slow peer never shifts later arrivals; so what would pass a bound is shed and counted,
and an address that can't be reached is left alone for a while instead of being called by every call at once.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplayLimits:
    max_pending: int = 10_000  # calls without a final answer
    max_established: int = 50_000
    max_per_s: float = 5_000.0  # first messages, tries again included
    burst: float = 500.0
    initial_backoff_ms: float = 100.0  # after the first failure to connect; doubles
    max_backoff_ms: float = 5_000.0


class AdmissionControl:
    """Asked before each send; says why a call is shed, or nothing."""

    def __init__(self, limits: ReplayLimits) -> None:
        self.limits = limits
        self.pending = self.established = 0
        self._tokens, self._refilled_at_ms = limits.burst, 0.0

    def shed_reason(self, now_ms: float) -> str:
        limits = self.limits
        self._tokens = min(
            self._tokens + max(now_ms - self._refilled_at_ms, 0.0) / 1000 * limits.max_per_s, limits.burst
        )
        self._refilled_at_ms = max(now_ms, self._refilled_at_ms)
        if self.pending >= limits.max_pending:
            return "too many calls without an answer"
        if self.established >= limits.max_established:
            return "too many calls that stand"
        if self._tokens < 1:
            return "too many a second"
        self._tokens -= 1
        self.pending += 1
        return ""

    def answered(self, is_established: bool) -> None:
        self.pending -= 1
        self.established += is_established

    def call_ended(self) -> None:
        """A call that stood is over."""
        self.established -= 1


class ConnectBackoff:
    """One address: when it may be tried again after it could not be reached."""

    def __init__(self, limits: ReplayLimits) -> None:
        self.limits = limits
        self.failures = 0
        self.blocked_until_ms = float("-inf")

    def failed(self, now_ms: float) -> None:
        delay_ms = min(self.limits.initial_backoff_ms * 2.0**self.failures, self.limits.max_backoff_ms)
        self.failures = min(self.failures + 1, 32)
        self.blocked_until_ms = now_ms + delay_ms

    def connected(self) -> None:
        self.failures, self.blocked_until_ms = 0, float("-inf")

    def blocked(self, now_ms: float) -> bool:
        return now_ms < self.blocked_until_ms
