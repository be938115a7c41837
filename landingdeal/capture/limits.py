"""What a replay may have out at once. Decisions only: the time is told.

Open loop means that a slow peer never shifts later arrivals; so what would pass a bound is shed and counted,
and an address that can't be reached is left alone for a while instead of being called by every call at once.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplayLimits:
    outstanding: int = 10_000  # calls without a final answer
    standing: int = 50_000
    per_s: float = 5_000.0  # first messages, tries again included
    burst: float = 500.0
    backoff_ms: float = 100.0  # after the first failure to connect; doubles
    backoff_most_ms: float = 5_000.0


class AdmissionControl:
    """Asked before each send; says why a call is shed, or nothing."""

    def __init__(self, limits: ReplayLimits) -> None:
        self.limits = limits
        self.waiting = self.standing = 0
        self._room, self._at_ms = limits.burst, 0.0

    def objection(self, now_ms: float) -> str:
        limits = self.limits
        self._room = min(self._room + max(now_ms - self._at_ms, 0.0) / 1000 * limits.per_s, limits.burst)
        self._at_ms = max(now_ms, self._at_ms)
        if self.waiting >= limits.outstanding:
            return "too many calls without an answer"
        if self.standing >= limits.standing:
            return "too many calls that stand"
        if self._room < 1:
            return "too many a second"
        self._room -= 1
        self.waiting += 1
        return ""

    def answered(self, stands: bool) -> None:
        self.waiting -= 1
        self.standing += stands

    def ended(self) -> None:
        """A call that stood is over."""
        self.standing -= 1


class ConnectBackoff:
    """One address: when it may be tried again after it could not be reached."""

    def __init__(self, limits: ReplayLimits) -> None:
        self.limits = limits
        self.failures = 0
        self.until_ms = float("-inf")

    def failed(self, now_ms: float) -> None:
        pause = min(self.limits.backoff_ms * 2.0**self.failures, self.limits.backoff_most_ms)
        self.failures = min(self.failures + 1, 32)
        self.until_ms = now_ms + pause

    def reached(self) -> None:
        self.failures, self.until_ms = 0, float("-inf")

    def shut(self, now_ms: float) -> bool:
        return now_ms < self.until_ms
