"""One set-up of a caller as the platform's front holds it, from its arrival to its one final answer."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from landingdeal.core import steps
from landingdeal.core.events import Why
from landingdeal.log import record
from landingdeal.net.link import CallerLink
from landingdeal.sip.message import Message, response

STATUS = {Why.FAILED: 500, Why.FORBIDDEN: 403}  # all others: 503, trying again is harmless


class TransactionState(Enum):
    """OPEN -> DECIDED -> WRITTEN; GIVEN_UP from the first two. Nothing leaves the last two."""

    OPEN = "open"
    DECIDED = "decided"  # the one final answer is queued
    WRITTEN = "written"  # the writer has begun with it
    CANCELLED = "given up"  # the caller waits no more, and no answer may follow


class TransactionRegistry(Protocol):
    """What a transaction needs of the table that holds it."""

    def transaction_answered(self, transaction: CallerTransaction) -> None: ...

    def release(self, call: str, cause: int, target: CallerLink | None = None) -> None: ...


class CallerTransaction:
    """Core, reader, writer and main thread may all want to end it; whoever comes first does.

    It is the `CallerSide` of its call.
    """

    __slots__ = ("registry", "link", "invite", "_state", "_lock")

    def __init__(self, registry: TransactionRegistry, link: CallerLink, invite: Message) -> None:
        self.registry, self.link, self.invite = registry, link, invite
        self._state, self._lock = TransactionState.OPEN, threading.Lock()

    @property
    def state(self) -> TransactionState:
        return self._state

    def _move(self, target: TransactionState, *allowed: TransactionState) -> bool:
        with self._lock:
            if self._state not in allowed:
                return False
            self._state = target
            return True

    @property
    def origin(self) -> object:
        return self.link

    def reachable(self) -> bool:
        return self._state is not TransactionState.CANCELLED and self.link.peer_reachable()

    def answer(self, description: bytes) -> None:
        self._send_final_answer(lambda: response(self.invite, 200, body=description), establishes_call=True)

    def refuse(self, come_back_ms: float, why: Why) -> None:
        later = (("x-later-ms", str(int(come_back_ms))),) if come_back_ms > 0 else ()
        self._send_final_answer(lambda: response(self.invite, STATUS.get(why, 503), *later))

    def cancel(self) -> bool:
        """False if its answer has been written, or is being written."""
        return self._move(TransactionState.CANCELLED, TransactionState.OPEN, TransactionState.DECIDED)

    def _send_final_answer(
        self, build_response: Callable[[], Message], establishes_call: bool = False
    ) -> None:
        """Queued before the set-up counts as closed: in between, the connection would look idle."""
        if not self._move(TransactionState.DECIDED, TransactionState.OPEN):
            record("answer_dropped", call=self.invite.call_id, state=self._state.value)
            return
        steps.at(steps.ANSWERED)
        if establishes_call:
            self.link.trust_level = 2
        self.link.send(build_response(), still_wanted=self._begin_write)
        steps.at(steps.QUEUED)
        self.registry.transaction_answered(self)

    def _begin_write(self) -> bool:
        """Asked by the writer: whether the answer still goes out."""
        if self._move(TransactionState.WRITTEN, TransactionState.DECIDED):
            return True
        record("answer_dropped", call=self.invite.call_id, state=self._state.value)
        return False

    def release(self, cause: int) -> None:
        self.registry.release(self.invite.call_id, cause, self.link)
