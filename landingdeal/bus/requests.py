"""Decides when the event bus is asked, when it is asked again beside open requests, and when one is given up.

A request that gets no answer may be lost, or its answer may only be slow. Nobody can tell which, so an open
request is kept while further ones are made beside it (hedged requests): the first that is answered is used.
All are given up once a stream has lasted for a while. There is no I/O and no clock here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

Address = tuple[str, int]

STREAM_SILENCE_MS = 1500.0  # a comment is due every second
FIRST_LINE_MS = 1200.0  # from the head of an answer to the first line of its stream
HEDGE_INTERVAL_MS = 1000.0  # from an unanswered request to the next one beside it
ESTABLISHED_STREAM_MS = 1500.0  # from the head of an answer to a line that shows that its stream lasts
FIRST_RETRY_MS = 100.0  # after a request that has ended
MAX_RETRY_MS = 400.0
MAX_DOUBLINGS = 8  # keeps the power small after any number of failures
MAX_WAIT_MS = 60_000.0  # without progress
MAX_OPEN_REQUESTS = 9  # the oldest, and what is made in the 8 s in which an answer still comes in time
MAX_REQUESTS = MAX_OPEN_REQUESTS + 2  # those that are being closed included


class Stage(Enum):
    """How far a request has come."""

    CONNECTING = "connecting"
    WAITING_FOR_HEAD = "no_head"
    STREAMING = "streaming"


class GiveUpReason(Enum):
    """Why this side closes a request."""

    ANOTHER_STREAM = "another_stream"  # another one is established
    MAKES_ROOM = "makes_room"  # a newer request takes its place
    NO_PROGRESS = "no_progress"


@dataclass(frozen=True, slots=True)
class WaitingSummary:
    """How many open requests wait for what, and for how long nothing was learned."""

    connecting: int
    no_head: int
    stream_silent: int
    knowledge_age_ms: float


@dataclass(frozen=True, slots=True)
class Ask:
    """To make a request to the address, beside those that wait."""

    number: int
    address: Address
    waiting: WaitingSummary


@dataclass(frozen=True, slots=True)
class GiveUp:
    """To close a request."""

    number: int
    reason: GiveUpReason


@dataclass(slots=True)
class Request:
    """One request and what has come of it. Times are in milliseconds."""

    number: int
    address: Address
    asked_ms: float
    progress_ms: float  # of its last stage or whole line
    stage: Stage = Stage.CONNECTING
    head_ms: float = 0.0
    has_lines: bool = False  # a line of its stream has come
    closing: bool = False  # given up, but not ended yet

    def is_live(self, now: float) -> bool:
        """Whether its stream is not silent."""
        return self.stage is Stage.STREAMING and now < self.silent_from_ms

    def is_established(self, now: float) -> bool:
        """Whether its stream has lasted and is not silent."""
        return self.is_live(now) and self.progress_ms - self.head_ms >= ESTABLISHED_STREAM_MS

    @property
    def silent_from_ms(self) -> float:
        """When its stream counts as silent unless something comes."""
        return self.progress_ms + (STREAM_SILENCE_MS if self.has_lines else FIRST_LINE_MS)


@dataclass
class BusRequests:
    """The open requests to one event bus, whose address may change. Not safe for use from several threads.

    The owner reports what happens to each request, carries out what `decide` returns, and calls it again
    after each report and at `next_decision_ms`.
    """

    address: Address
    known_ms: float  # when the event bus was last heard, on whichever stream
    requests: dict[int, Request] = field(default_factory=dict)
    last_number: int = 0
    newest: Request | None = None  # the newest to the current address, unless it has ended
    retry_ms: float = 0.0  # when to ask next if there is none
    failures: int = 0  # ended requests in a row, without a new event or an established stream between

    # --- what happened ---

    def connected(self, number: int, now: float) -> None:
        """The connection of a request is up."""
        self._advance(number, Stage.WAITING_FOR_HEAD, now)

    def head_received(self, number: int, now: float) -> None:
        """The whole head of an answer with status 200 has come."""
        request = self._advance(number, Stage.STREAMING, now)
        if request is not None:
            request.head_ms = now

    def line_received(self, number: int, now: float) -> bool:
        """A whole line of a stream has come: a comment, or a part of an event; true if a decision is due."""
        request = self._advance(number, Stage.STREAMING, now)
        self.known_ms = max(self.known_ms, now)
        if request is None:
            return False
        request.has_lines = True
        if not request.is_established(now):
            return False
        self.failures = 0
        return len(self._open()) > 1

    def event_applied(self) -> None:
        """An event that was not known yet has come."""
        self.failures = 0

    def ended(self, number: int, now: float) -> None:
        """A request is over, whichever side ended it, and its thread is about to end."""
        request = self.requests.pop(number, None)
        if request is None or request.closing:
            return
        self.failures += 1
        if request is self.newest:
            self.newest = None
            self.retry_ms = now + self._retry_pause_ms()

    def address_changed(self, address: Address, now: float) -> None:
        """The event bus has moved. Requests to the old address are kept until the new one is heard."""
        self.address, self.failures = address, 0
        last_asked_ms = max((request.asked_ms for request in self._open()), default=float("-inf"))
        self.retry_ms = max(now, last_asked_ms + FIRST_RETRY_MS)
        current = self._current()
        self.newest = max(current, key=lambda request: request.number) if current else None

    def _advance(self, number: int, stage: Stage, now: float) -> Request | None:
        request = self.requests.get(number)
        if request is not None:
            request.stage, request.progress_ms = stage, now
        return request

    # --- what to do ---

    def decide(self, now: float) -> list[Ask | GiveUp]:
        """What to do now."""
        established = [r for r in self._current() if r.is_established(now)]
        if established:
            # the newest: an older one may be the stream of a connection that has been silent
            kept = max(established, key=lambda request: request.number)
            self.newest = kept
            others = [request for request in self._open() if request is not kept]
            return [*self._give_up(others, GiveUpReason.ANOTHER_STREAM)]
        overdue = [r for r in self._open() if now >= r.progress_ms + MAX_WAIT_MS]
        actions: list[Ask | GiveUp] = [*self._give_up(overdue, GiveUpReason.NO_PROGRESS)]
        if now >= self._next_ask_ms(now):
            actions += self._make_room()
            actions.append(self._ask(now))
        return actions

    def next_decision_ms(self, now: float) -> float:
        """When to decide again if nothing happens before; infinite if only an end can change anything."""
        times = [self._next_ask_ms(now)]
        times += [request.progress_ms + MAX_WAIT_MS for request in self._open()]
        times += [request.silent_from_ms for request in self._live(now)]
        return min(times)

    def waiting(self, now: float) -> WaitingSummary:
        """What the open requests wait for."""
        stages = [request.stage for request in self._open()]
        silent = [r for r in self._open() if r.stage is Stage.STREAMING and not r.is_live(now)]
        return WaitingSummary(
            connecting=stages.count(Stage.CONNECTING),
            no_head=stages.count(Stage.WAITING_FOR_HEAD),
            stream_silent=len(silent),
            knowledge_age_ms=now - self.known_ms,
        )

    def _open(self) -> list[Request]:
        return [request for request in self.requests.values() if not request.closing]

    def _current(self) -> list[Request]:
        """The open requests to the address that the event bus has now."""
        return [request for request in self._open() if request.address == self.address]

    def _live(self, now: float) -> list[Request]:
        """The requests whose streams are expected to go on.

        A head alone is no sign of that while another stream is silent.
        """
        live = [request for request in self._current() if request.is_live(now)]
        return [request for request in live if request.has_lines] if self._any_silent(now) else live

    def _any_silent(self, now: float) -> bool:
        streams = [request for request in self._open() if request.stage is Stage.STREAMING]
        return any(not request.is_live(now) for request in streams)

    def _next_ask_ms(self, now: float) -> float:
        if self._live(now):
            return float("inf")  # asked for again when it falls silent
        if len(self.requests) >= MAX_REQUESTS:
            return float("inf")  # until one that is being closed has ended
        newest = self.newest
        if newest is None or newest.closing:
            return self.retry_ms
        if newest.stage is Stage.STREAMING and newest.has_lines:
            return max(newest.silent_from_ms, newest.asked_ms + FIRST_RETRY_MS)
        return newest.asked_ms + HEDGE_INTERVAL_MS

    def _retry_pause_ms(self) -> float:
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        return min(FIRST_RETRY_MS * 2.0**doublings, MAX_RETRY_MS)

    def _make_room(self) -> list[GiveUp]:
        """Gives up the request without progress for longest, those to a former address first.

        The oldest to the current address is kept: if no answer comes in time, a late one is better than none.
        """
        if len(self._open()) < MAX_OPEN_REQUESTS:
            return []
        oldest_number = min((request.number for request in self._current()), default=0)
        candidates = [request for request in self._open() if request.number != oldest_number]
        replaced = min(candidates, key=lambda r: (r.address == self.address, r.progress_ms))
        return self._give_up([replaced], GiveUpReason.MAKES_ROOM)

    @staticmethod
    def _give_up(requests: Iterable[Request], reason: GiveUpReason) -> list[GiveUp]:
        actions = []
        for request in requests:
            request.closing = True
            actions.append(GiveUp(request.number, reason))
        return actions

    def _ask(self, now: float) -> Ask:
        waiting = self.waiting(now)
        self.last_number += 1
        self.newest = Request(self.last_number, self.address, now, now)
        self.requests[self.last_number] = self.newest
        return Ask(self.last_number, self.address, waiting)
