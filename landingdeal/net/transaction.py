"""One set-up of a caller as the platform's front holds it, from its arrival to its one final answer."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from landingdeal.core import steps
from landingdeal.core.events import RefusalReason
from landingdeal.log import log_event
from landingdeal.net.link import CallerLink
from landingdeal.sip.message import Message, response

STATUS = {
    RefusalReason.FAILED: 500,
    RefusalReason.FORBIDDEN: 403,
}  # all others: 503, trying again is harmless


class State(Enum):
    """OPEN -> DECIDED -> WRITTEN; GIVEN_UP from the first two. Nothing leaves the last two."""

    OPEN = "open"
    DECIDED = "decided"  # the one final answer is queued
    WRITTEN = "written"  # the writer has begun with it
    GIVEN_UP = "given up"  # the caller waits no more, and no answer may follow


class Front(Protocol):
    """What a transaction needs of the table that holds it."""

    def closed_set_up(self, transaction: CallerTransaction) -> None: ...

    def release(self, call: str, cause: int, first: CallerLink | None = None) -> None: ...


class CallerTransaction:
    """Core, reader, writer and main thread may all want to end it; whoever comes first does.

    It is the `CallerResponder` of its call.
    """

    __slots__ = ("front", "link", "invite", "_state", "_lock")

    def __init__(self, front: Front, link: CallerLink, invite: Message) -> None:
        self.front, self.link, self.invite = front, link, invite
        self._state, self._lock = State.OPEN, threading.Lock()

    @property
    def state(self) -> State:
        return self._state

    def _move(self, to: State, *allowed: State) -> bool:
        with self._lock:
            if self._state not in allowed:
                return False
            self._state = to
            return True

    @property
    def origin(self) -> object:
        return self.link

    def reachable(self) -> bool:
        return self._state is not State.GIVEN_UP and self.link.peer_is_there()

    def answer(self, description: bytes) -> None:
        self._final(lambda: response(self.invite, 200, body=description), stands=True)

    def refuse(self, come_back_ms: float, why: RefusalReason) -> None:
        later = (("x-later-ms", str(int(come_back_ms))),) if come_back_ms > 0 else ()
        self._final(lambda: response(self.invite, STATUS.get(why, 503), *later))

    def give_up(self) -> bool:
        """False if its answer has been written, or is being written."""
        return self._move(State.GIVEN_UP, State.OPEN, State.DECIDED)

    def _final(self, made: Callable[[], Message], stands: bool = False) -> None:
        """Queued before the set-up counts as closed: in between, the connection would look idle."""
        if not self._move(State.DECIDED, State.OPEN):
            log_event("answer_dropped", call=self.invite.call_id, state=self._state.value)
            return
        steps.reached(steps.ANSWERED)
        if stands:
            self.link.trust = 2
        self.link.send(made(), wanted=self._begins)
        steps.reached(steps.QUEUED)
        self.front.closed_set_up(self)

    def _begins(self) -> bool:
        """Asked by the writer: whether the answer still goes out."""
        if self._move(State.WRITTEN, State.DECIDED):
            return True
        log_event("answer_dropped", call=self.invite.call_id, state=self._state.value)
        return False

    def release(self, cause: int) -> None:
        self.front.release(self.invite.call_id, cause, self.link)
