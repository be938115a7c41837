"""The last check before a set-up is sent: the five rules hold whatever the decision module decided."""

from __future__ import annotations

from collections import deque

from badgerstile.interface import ExchangeList, Health, ListKind, Settings
from landingdeal.core.calls import PendingCall

# Of the set-ups that a cold processor may get; the rest is a margin for random variation
COLD_LIMIT_SHARE = 0.8
MAX_GONE_HUBS = 32  # removed lab hubs that are still remembered


class GuardedHub:
    """What the guard knows of one lab hub; `started_ms` is the start of its process, 0 for long ago."""

    __slots__ = ("health", "started_ms", "capacity_per_s", "send_times_ms")

    def __init__(self) -> None:
        self.health, self.started_ms = Health.READY, 0.0
        self.capacity_per_s = 0.0  # the highest rate that it ever reported to accept from all senders
        self.send_times_ms: deque[float] = deque(maxlen=256)


class Guard:
    """Checks each set-up against the hub list, the state of its call and the limit of cold processors."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.hubs: dict[bytes, GuardedHub] = {}

    def update_hubs(self, change: ExchangeList) -> None:
        """Applies a change of the hub list, or a whole list."""
        listed = set()
        for entry in change.entries:
            listed.add(entry.exchange)
            hub = self.hubs.setdefault(entry.exchange, GuardedHub())
            hub.health = entry.health
            hub.started_ms = max(hub.started_ms, entry.started_ms)
        if change.kind in (ListKind.FULL, ListKind.CACHED):
            for name, hub in self.hubs.items():
                if name not in listed:
                    hub.health = Health.REMOVED
        gone = [name for name, hub in self.hubs.items() if hub.health is Health.REMOVED]
        for name in gone[:-MAX_GONE_HUBS]:  # bounds the memory where each lab hub comes under a new name
            del self.hubs[name]

    def update_capacity(self, name: bytes, per_s: float) -> None:
        """Records the rate of set-ups that a lab hub reports to accept."""
        hub = self.hubs.get(name)
        if hub is not None:
            hub.capacity_per_s = max(hub.capacity_per_s, per_s)

    def objection(self, call: PendingCall, name: bytes, now: float) -> str:
        """Why this set-up must not be sent now; empty if it may."""
        hub = self.hubs.get(name)
        if call.concluded or now >= call.deadline_ms:
            return "rule 1: the call has its answer or its deadline has passed"
        if call.attempt is not None:
            return "rule 2: an attempt is pending"
        if hub is None:
            return "the lab hub is in no hub list"
        if hub.health is not Health.READY:  # the drain grace is not used: a change applies at once
            return "rule 3: the lab hub is draining or gone"
        if now < call.not_before_ms:
            return "rule 5: the last attempt is still being released"
        if call.attempt_count >= self.settings.max_attempts:
            return "the call has used all its attempts"
        if self._exceeds_cold_limit(hub, now):
            return "rule 4: the lab hub's processor is cold and has received its share"
        return ""

    def record_send(self, name: bytes, now: float) -> None:
        """Counts a set-up sent to a lab hub."""
        self.hubs[name].send_times_ms.append(now)

    def _exceeds_cold_limit(self, hub: GuardedHub, now: float) -> bool:
        """Whether one more set-up exceeds this border controller's part of what a cold processor may get.

        Each border controller keeps to its part, so that all together don't overload the processor.
        """
        age_ms = now - hub.started_ms
        if hub.started_ms <= 0 or age_ms >= self.settings.cold_ramp_ms or hub.capacity_per_s <= 0:
            return False
        ramp = (
            self.settings.cold_initial_share
            + (1 - self.settings.cold_initial_share) * max(age_ms, 0.0) / self.settings.cold_ramp_ms
        )
        max_set_ups = (
            hub.capacity_per_s
            * ramp
            * self.settings.overload_multiple
            * self.settings.overload_window_ms
            / 1000
            * COLD_LIMIT_SHARE
        )
        recent_set_ups = sum(
            1 for sent_ms in hub.send_times_ms if now - sent_ms < self.settings.overload_window_ms
        )
        return recent_set_ups + 1 > max(max_set_ups / max(self.settings.softswitch_count - 1, 1), 2.0)
