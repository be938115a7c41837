"""Load limits of a replay. No I/O and no clock of its own: the caller passes the time.

The load is open loop: a slow peer never delays later arrivals. Calls over a limit are therefore shed and
counted, not queued. After a failed connection the address is not dialled for a back-off time, so that
the following calls don't all dial it at once.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplayLimits:
    """Limits on the calls in progress, on the send rate and on connection attempts."""

    max_pending: int = 10_000  # calls without a final answer
    max_established: int = 50_000
    max_per_s: float = 5_000.0  # set-ups, retries included
    burst: float = 500.0  # set-ups that may exceed the rate at once
    initial_backoff_ms: float = 100.0  # after the first failed connection; doubles with each further one
    max_backoff_ms: float = 5_000.0


class AdmissionControl:
    """Admits or sheds each set-up: limits on calls in progress, and a token bucket for the rate."""

    def __init__(self, limits: ReplayLimits) -> None:
        self.limits = limits
        self.pending = self.established = 0
        self._tokens, self._refilled_at_ms = limits.burst, 0.0

    def shed_reason(self, now_ms: float) -> str:
        """Why the set-up is shed; empty if it is admitted, which also counts it as pending."""
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
        """An admitted set-up got its final answer, or failed."""
        self.pending -= 1
        self.established += is_established

    def call_ended(self) -> None:
        """An established call ended."""
        self.established -= 1


class ConnectBackoff:
    """Exponential back-off of the connections to one address."""

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
