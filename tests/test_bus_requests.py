"""When the event bus is asked, in virtual time: slow, silent, refusing and breaking ones are heard in time.

Guards against requests that are given up sooner than they are answered, so that the next one starts anew,
against waiting for an answer that never comes, and against requests without bound.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import pytest

from landingdeal.bus.requests import MAX_OPEN_REQUESTS, MAX_REQUESTS, Ask, BusRequests, GiveUpReason

NEVER = float("inf")
START_MS = 1_000_000.0
TOLD_MS = 7000.0  # an event counts as told then at the latest
GRACE_MS = 1000.0  # what is told has to be kept from then on
COMMENT_MS = 1000.0
CLOSE_MS = 1.0  # from giving a request up to its end
BUS, OTHER_BUS = ("127.0.0.1", 1), ("127.0.0.1", 2)


@dataclass(frozen=True)
class Conduct:
    """What the event bus does with one request; each time is counted from the one before it."""

    connect_ms: float = 1.0
    head_ms: float = 1.0
    events_ms: float = 1.0  # from the head to the events that are missing, the later ones following at once
    comment_ms: float = COMMENT_MS
    silent_after_ms: float = NEVER  # from the head
    cut_after_ms: float = NEVER  # from the request
    follows: bool = True  # False: sends the events from before the request, and no later ones


SOUND = Conduct()
UNANSWERED = Conduct(head_ms=NEVER)
NOT_CONNECTED = Conduct(connect_ms=NEVER)
SILENT_STREAM = Conduct(silent_after_ms=0.0, events_ms=NEVER)
REFUSED = Conduct(connect_ms=NEVER, cut_after_ms=0.5)
CUT_OFF = Conduct(head_ms=200.0, cut_after_ms=150.0)


class VirtualBus:
    """An event bus and the requests to it, on a clock that jumps from one happening to the next."""

    def __init__(self, conduct_of: Callable[[int, float], Conduct], address: tuple[str, int] = BUS) -> None:
        """`conduct_of` gets the number of a request and the time since the start."""
        self.now, self.conduct_of = START_MS, conduct_of
        self.requests = BusRequests(address, START_MS)
        self.happenings: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.event_times: list[float] = []
        self.known_at: list[float] = []
        self.offset = 0
        self.asked_at: list[float] = []
        self.given_up: list[GiveUpReason] = []
        self.most_open = self.most_in_all = 0
        self.conducts: dict[int, Conduct] = {}

    def at(self, when: float, happening: Callable[[], None]) -> None:
        if when < NEVER:
            heapq.heappush(self.happenings, (when, next(self.order), happening))

    def add_events(self, *times_ms: float) -> None:
        self.event_times = [START_MS + time_ms for time_ms in times_ms]
        self.known_at = [NEVER] * len(self.event_times)

    def run(self, duration_ms: float) -> None:
        end = START_MS + duration_ms
        while True:
            self._decide()
            due = self.requests.next_decision_ms(self.now)
            assert due > self.now, "a decision that is due changes nothing"
            if self.happenings:
                due = min(due, self.happenings[0][0])
            if due > end:
                self.now = end
                return
            self.now = due
            while self.happenings and self.happenings[0][0] <= self.now:
                heapq.heappop(self.happenings)[2]()

    def _decide(self) -> None:
        for action in self.requests.decide(self.now):
            if isinstance(action, Ask):
                self._asked(action.number)
                continue
            self.given_up.append(action.reason)
            self.at(self.now + CLOSE_MS, partial(self._ended, action.number))
        still_open = [request for request in self.requests.requests.values() if not request.closing]
        self.most_open = max(self.most_open, len(still_open))
        self.most_in_all = max(self.most_in_all, len(self.requests.requests))

    def _asked(self, number: int) -> None:
        self.asked_at.append(self.now)
        conduct = self.conducts[number] = self.conduct_of(number, self.now - START_MS)
        asked_ms, last_event = self.now, self.offset
        connected_ms = self.now + conduct.connect_ms
        head_ms = connected_ms + conduct.head_ms
        self.at(connected_ms, self._if_open(number, lambda: self.requests.connected(number, self.now)))
        self.at(head_ms, self._if_open(number, lambda: self.requests.head_received(number, self.now)))
        self.at(head_ms + conduct.events_ms,
                self._if_open(number, lambda: self._flows(number, asked_ms, last_event)))  # fmt: skip
        if head_ms < NEVER and conduct.silent_after_ms > conduct.comment_ms:
            self.at(
                head_ms + conduct.comment_ms, self._if_open(number, lambda: self._comment(number, head_ms))
            )
        self.at(asked_ms + conduct.cut_after_ms, lambda: self._ended(number))

    def _if_open(self, number: int, happening: Callable[[], None]) -> Callable[[], None]:
        def happens() -> None:
            request = self.requests.requests.get(number)
            if request is not None and not request.closing:
                happening()

        return happens

    def _comment(self, number: int, head_ms: float) -> None:
        self.requests.line_received(number, self.now)
        next_ms = self.now + self.conducts[number].comment_ms
        if next_ms - head_ms < self.conducts[number].silent_after_ms:
            self.at(next_ms, self._if_open(number, lambda: self._comment(number, head_ms)))

    def _flows(self, number: int, asked_ms: float, last_event: int) -> None:
        """The events after `last_event` come, and the later ones as they are added."""
        conduct = self.conducts[number]
        silent_ms = self.now + conduct.silent_after_ms
        for index in range(last_event, len(self.event_times)):
            added_ms = self.event_times[index]
            if not conduct.follows and added_ms > asked_ms or max(added_ms, self.now) >= silent_ms:
                return
            event_comes = self._if_open(number, partial(self._event, number, index))
            self.at(max(added_ms + 1, self.now), event_comes)

    def _event(self, number: int, index: int) -> None:
        assert index <= self.offset, "a stream begins after an event that is not known"
        if index == self.offset:
            self.offset, self.known_at[index] = index + 1, self.now
            self.requests.event_applied()
        self.requests.line_received(number, self.now)

    def _ended(self, number: int) -> None:
        self.requests.ended(number, self.now)

    def latest_ms(self) -> float:
        """The longest time from an event until it was known."""
        return max(known - added for known, added in zip(self.known_at, self.event_times, strict=True))

    def check_bounds(self) -> None:
        assert self.most_open <= MAX_OPEN_REQUESTS and self.most_in_all <= MAX_REQUESTS
        assert not self.asked_at or self._most_asked_in(1000.0) <= 11

    def _most_asked_in(self, span_ms: float) -> int:
        return max(
            sum(1 for at in self.asked_at if first <= at <= first + span_ms) for first in self.asked_at
        )


def broken_then(
    conduct_of: Callable[[int], Conduct], break_ms: float = 5000.0
) -> Callable[[int, float], Conduct]:
    """A sound event bus that breaks off; `conduct_of` gets the number of the request after that."""

    def conduct(number: int, _now: float) -> Conduct:
        return replace(SOUND, cut_after_ms=break_ms) if number == 1 else conduct_of(number - 1)

    return conduct


EVENT_TIMES_MS = [5000.0 + 250.0 * n for n in range(100)]  # from the break on


@pytest.mark.parametrize("delay_ms", [500.0, 1600.0, 3000.0, 5000.0, 6500.0])
@pytest.mark.parametrize("slow_at", ["connect_ms", "head_ms", "events_ms"])
def test_an_event_bus_that_is_slow_at_one_point_is_heard_in_time(slow_at: str, delay_ms: float) -> None:
    slow = replace(SOUND, **{slow_at: delay_ms})  # type: ignore[arg-type]
    bus = VirtualBus(broken_then(lambda _: slow))
    bus.add_events(*EVENT_TIMES_MS)
    bus.run(60_000)
    assert bus.latest_ms() <= TOLD_MS
    bus.check_bounds()
    assert len(bus.asked_at) <= 12


def test_an_event_bus_that_is_slow_at_every_point_is_heard_in_time() -> None:
    bus = VirtualBus(broken_then(lambda _: Conduct(connect_ms=2000, head_ms=2300, events_ms=2300)))
    bus.add_events(*EVENT_TIMES_MS)
    bus.run(60_000)
    assert bus.latest_ms() <= TOLD_MS
    bus.check_bounds()


@pytest.mark.parametrize(
    "unsound",
    [UNANSWERED, REFUSED, NOT_CONNECTED, SILENT_STREAM, CUT_OFF],
    ids=["unanswered", "refused", "not connected", "silent stream", "cut off"],
)
@pytest.mark.parametrize(("count", "delay_ms"), [(1, 5500.0), (2, 4500.0), (4, 2500.0), (6, 400.0)])
def test_requests_that_are_lost_for_ever_do_not_delay_the_next_ones(
    unsound: Conduct, count: int, delay_ms: float
) -> None:
    bus = VirtualBus(broken_then(lambda n: unsound if n <= count else replace(SOUND, head_ms=delay_ms)))
    bus.add_events(*EVENT_TIMES_MS)
    bus.run(60_000)
    assert bus.latest_ms() <= TOLD_MS
    bus.check_bounds()


def test_a_stream_that_falls_silent_for_ever_is_replaced_in_time() -> None:
    slow = replace(SOUND, head_ms=5000.0)
    bus = VirtualBus(lambda n, _: replace(SOUND, silent_after_ms=5000.0) if n == 1 else slow)
    bus.add_events(*(5010.0 + 250.0 * n for n in range(60)))
    bus.run(60_000)
    assert bus.latest_ms() <= TOLD_MS
    bus.check_bounds()


def test_a_stream_that_pauses_is_read_on() -> None:
    """The next request would be answered later than the pause ends."""
    slow = replace(SOUND, head_ms=20_000.0)
    bus = VirtualBus(lambda n, _: replace(SOUND, comment_ms=4000.0) if n == 1 else slow)
    bus.add_events(*(10_000.0 + 250.0 * n for n in range(30)))
    bus.run(18_000)
    assert bus.latest_ms() <= 10.0
    bus.check_bounds()


@pytest.mark.parametrize("delay_ms", [200.0, 3000.0, 6000.0])
def test_an_event_bus_that_breaks_every_stream_off_is_heard_in_time(delay_ms: float) -> None:
    """Each answer has the events from before its request only, and ends at once."""
    once = Conduct(head_ms=delay_ms, follows=False, cut_after_ms=delay_ms + 50.0)
    bus = VirtualBus(lambda _n, _now: once)
    bus.add_events(*(300.0 * n for n in range(150)))
    bus.run(70_000)
    assert bus.latest_ms() <= TOLD_MS + GRACE_MS
    bus.check_bounds()


def test_an_event_bus_that_refuses_for_a_while_is_heard_soon_after() -> None:
    bus = VirtualBus(lambda _n, now: REFUSED if now < 30_000 else replace(SOUND, head_ms=3000.0))
    bus.add_events(30_000.0)
    bus.run(60_000)
    assert bus.latest_ms() <= 3600.0
    assert len(bus.asked_at) <= 90, "ten requests a second to an event bus that refuses"
    bus.check_bounds()


def test_an_event_bus_that_answers_nothing_gets_bounded_requests_and_the_oldest_is_kept() -> None:
    bus = VirtualBus(lambda _n, _now: UNANSWERED)
    bus.run(30_000)
    assert bus.most_open == MAX_OPEN_REQUESTS
    assert len(bus.asked_at) <= 31 and 1 in bus.requests.requests
    bus.run(120_000)
    assert 1 not in bus.requests.requests, "a request without any answer is kept for ever"
    bus.check_bounds()


def test_an_answer_that_comes_too_late_is_better_than_none() -> None:
    bus = VirtualBus(lambda _n, _now: replace(SOUND, head_ms=25_000.0))
    bus.add_events(100.0)
    bus.run(60_000)
    assert bus.latest_ms() <= 25_100.0
    bus.check_bounds()


def test_open_requests_end_once_a_stream_is_established() -> None:
    bus = VirtualBus(lambda n, _: UNANSWERED if n <= 3 else SOUND)
    bus.run(10_000)
    assert list(bus.requests.requests) == [4]
    assert bus.given_up == [GiveUpReason.ANOTHER_STREAM] * 3
    waiting = bus.requests.waiting(bus.now)
    assert (waiting.connecting, waiting.no_head, waiting.stream_silent) == (0, 0, 0)
    assert waiting.knowledge_age_ms <= COMMENT_MS


def test_a_new_address_is_asked_at_once_and_the_old_stream_is_kept_until_it_is_heard() -> None:
    bus = VirtualBus(lambda n, _: SOUND if n == 1 else replace(SOUND, head_ms=4000.0))
    bus.run(10_000)
    bus.requests.address_changed(OTHER_BUS, bus.now)
    bus.run(13_000)
    assert bus.asked_at[1] == START_MS + 10_000 and 1 in bus.requests.requests
    bus.run(20_000)
    assert list(bus.requests.requests) == [2] and bus.requests.requests[2].address == OTHER_BUS


@pytest.mark.parametrize("interval_ms", [700.0, 1500.0, 3000.0])
def test_a_slow_event_bus_is_heard_while_its_address_changes_again_and_again(interval_ms: float) -> None:
    """The request to an address goes on when the address is left and taken again."""
    bus = VirtualBus(lambda _n, _now: replace(SOUND, head_ms=4000.0))
    bus.add_events(0.0)
    for count in range(1, 20):
        bus.run(interval_ms * count)
        bus.requests.address_changed(OTHER_BUS if count % 2 else BUS, bus.now)
    assert bus.latest_ms() <= TOLD_MS
    bus.check_bounds()


@pytest.mark.parametrize("seed", range(200))
def test_a_drawn_event_bus_is_heard_in_time(seed: int) -> None:
    """At most two requests in a row are lost, in any way, and the others take 2.5 s at most."""
    rng = random.Random(seed)

    def drawn(number: int, _now: float) -> Conduct:
        if number % 3:
            cut_off = Conduct(cut_after_ms=rng.uniform(1, 3000), head_ms=rng.uniform(1, 2000))
            return rng.choice([UNANSWERED, REFUSED, NOT_CONNECTED, SILENT_STREAM, cut_off])
        parts = sorted(rng.uniform(0, 2500) for _ in range(2))
        return Conduct(parts[0], parts[1] - parts[0], 2500 - parts[1], cut_after_ms=rng.uniform(3000, 20_000))

    bus = VirtualBus(drawn)
    bus.add_events(*sorted(rng.uniform(0, 60_000) for _ in range(100)))
    bus.run(90_000)
    assert bus.latest_ms() <= TOLD_MS + GRACE_MS
    bus.check_bounds()
