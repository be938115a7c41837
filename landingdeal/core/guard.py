"""The last look before a send: the five rules, for both fronts, whatever the decision module asked for."""

from __future__ import annotations

from collections import deque

from badgerstile.interface import ExchangeList, Health, ListKind, Settings
from landingdeal.core.exchange import PendingCall

COLD_LIMIT_SHARE = 0.8  # of what a cold processor may be sent; the rest is left for chance

MAX_GONE_HUBS = 32  # lab hubs that are gone and still known here, the last ones


class GuardedHub:
    """What the guard knows of one lab hub."""

    __slots__ = ("health", "came_up_ms", "capacity_per_s", "send_times_ms")

    def __init__(self) -> None:
        self.health, self.came_up_ms = Health.READY, 0.0
        self.capacity_per_s = 0.0  # the most it ever said that it can take from all senders
        self.send_times_ms: deque[float] = deque(maxlen=256)


class Guard:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.hubs: dict[bytes, GuardedHub] = {}

    def update_hubs(self, change: ExchangeList) -> None:
        listed = set()
        for entry in change.entries:
            listed.add(entry.exchange)
            hub = self.hubs.setdefault(entry.exchange, GuardedHub())
            hub.health = entry.health
            hub.came_up_ms = max(hub.came_up_ms, entry.came_up_ms)
        if change.kind in (ListKind.WHOLE, ListKind.REMEMBERED):
            for name, hub in self.hubs.items():
                if name not in listed:
                    hub.health = Health.GONE
        gone = [name for name, hub in self.hubs.items() if hub.health is Health.GONE]
        for name in gone[:-MAX_GONE_HUBS]:  # guards the memory on days when each lab hub is a new one
            del self.hubs[name]

    def update_capacity(self, name: bytes, per_s: float) -> None:
        hub = self.hubs.get(name)
        if hub is not None:
            hub.capacity_per_s = max(hub.capacity_per_s, per_s)

    def objection(self, call: PendingCall, name: bytes, now: float) -> str:
        """Why this set-up may not go out now; empty if it may."""
        hub = self.hubs.get(name)
        if call.concluded or now >= call.deadline_ms:
            return "rule 1: the call has had its answer or its time is up"
        if call.attempt is not None:
            return "rule 2: an attempt is out"
        if hub is None:
            return "the lab hub is in no list"
        if hub.health is not Health.READY:  # no use is made of the grace: what was told holds at once
            return "rule 3: the lab hub drains or is gone"
        if now < call.not_before_ms:
            return "rule 5: the release of the last attempt is awaited"
        if call.attempt_count >= self.settings.max_attempts:
            return "the call has had all its attempts"
        if self._exceeds_cold_limit(hub, now):
            return "rule 4: the lab hub's processor is cold and has had its share"
        return ""

    def record_send(self, name: bytes, now: float) -> None:
        self.hubs[name].send_times_ms.append(now)

    def _exceeds_cold_limit(self, hub: GuardedHub, now: float) -> bool:
        """Guards a cold processor against the sum of all border controllers: each keeps to its own part."""
        age_ms = now - hub.came_up_ms
        if hub.came_up_ms <= 0 or age_ms >= self.settings.cold_ms or hub.capacity_per_s <= 0:
            return False
        ramp = (
            self.settings.cold_from + (1 - self.settings.cold_from) * max(age_ms, 0.0) / self.settings.cold_ms
        )
        max_set_ups = (
            hub.capacity_per_s
            * ramp
            * self.settings.fall_multiple
            * self.settings.fall_ms
            / 1000
            * COLD_LIMIT_SHARE
        )
        recent_set_ups = sum(1 for sent_ms in hub.send_times_ms if now - sent_ms < self.settings.fall_ms)
        return recent_set_ups + 1 > max(max_set_ups / max(self.settings.softswitches - 1, 1), 2.0)
