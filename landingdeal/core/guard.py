"""The last look before a send: the five rules, for both fronts, whatever the decision module asked for."""

from __future__ import annotations

from collections import deque

from badgerstile.interface import ExchangeList, Health, ListKind, Settings
from landingdeal.core.exchange import PendingCall

SHARE_OF_BUDGET = 0.8  # of what a cold processor may be sent; the rest is left for chance

GONE_MOST = 32  # lab hubs that are gone and still known here, the last ones


class GuardedHub:
    """What the guard knows of one lab hub."""

    __slots__ = ("health", "came_up_ms", "room_per_s", "sends")

    def __init__(self) -> None:
        self.health, self.came_up_ms = Health.READY, 0.0
        self.room_per_s = 0.0  # the most it ever said that it can take from all senders
        self.sends: deque[float] = deque(maxlen=256)


class Guard:
    def __init__(self, settings: Settings) -> None:
        self.set = settings
        self.hubs: dict[bytes, GuardedHub] = {}

    def news(self, change: ExchangeList) -> None:
        named = set()
        for entry in change.entries:
            named.add(entry.exchange)
            hub = self.hubs.setdefault(entry.exchange, GuardedHub())
            hub.health = entry.health
            hub.came_up_ms = max(hub.came_up_ms, entry.came_up_ms)
        if change.kind in (ListKind.WHOLE, ListKind.REMEMBERED):
            for name, hub in self.hubs.items():
                if name not in named:
                    hub.health = Health.GONE
        gone = [name for name, hub in self.hubs.items() if hub.health is Health.GONE]
        for name in gone[:-GONE_MOST]:  # guards the memory on days when each lab hub is a new one
            del self.hubs[name]

    def room(self, name: bytes, per_s: float) -> None:
        hub = self.hubs.get(name)
        if hub is not None:
            hub.room_per_s = max(hub.room_per_s, per_s)

    def objection(self, exchange: PendingCall, name: bytes, now: float) -> str:
        """Why this set-up may not go out now; empty if it may."""
        hub = self.hubs.get(name)
        if exchange.final or now >= exchange.deadline_ms:
            return "rule 1: the call has had its answer or its time is up"
        if exchange.attempt is not None:
            return "rule 2: an attempt is out"
        if hub is None:
            return "the lab hub is in no list"
        if hub.health is not Health.READY:  # no use is made of the grace: what was told holds at once
            return "rule 3: the lab hub drains or is gone"
        if now < exchange.not_before:
            return "rule 5: the release of the last attempt is awaited"
        if exchange.attempts >= self.set.max_attempts:
            return "the call has had all its attempts"
        if self._over_budget(hub, now):
            return "rule 4: the lab hub's processor is cold and has had its share"
        return ""

    def sent(self, name: bytes, now: float) -> None:
        self.hubs[name].sends.append(now)

    def _over_budget(self, hub: GuardedHub, now: float) -> bool:
        """Guards a cold processor against the sum of all border controllers: each keeps to its own part."""
        age = now - hub.came_up_ms
        if hub.came_up_ms <= 0 or age >= self.set.cold_ms or hub.room_per_s <= 0:
            return False
        ramp = self.set.cold_from + (1 - self.set.cold_from) * max(age, 0.0) / self.set.cold_ms
        budget = hub.room_per_s * ramp * self.set.fall_multiple * self.set.fall_ms / 1000 * SHARE_OF_BUDGET
        window = sum(1 for at in hub.sends if now - at < self.set.fall_ms)
        return window + 1 > max(budget / max(self.set.softswitches - 1, 1), 2.0)
