"""Server transaction of one set-up on the platform's front, from its arrival to its final answer."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from landingdeal.core import steps
from landingdeal.core.events import RefusalReason
from landingdeal.log import LogShare, log_event
from landingdeal.net.link import CallerLink
from landingdeal.sip.message import Message, response

STATUS_BY_REASON = {
    RefusalReason.FAILED: 500,
    RefusalReason.FORBIDDEN: 403,
}  # all others: 503, so that the caller may retry


class TransactionState(Enum):
    """OPEN -> DECIDED -> WRITTEN, or CANCELLED from OPEN and DECIDED. WRITTEN and CANCELLED are final."""

    OPEN = "open"
    DECIDED = "decided"  # the single final answer is chosen; it waits to be written
    WRITTEN = "written"  # the writer has begun to send it
    CANCELLED = "given up"  # by the caller: no answer may follow


class TransactionRegistry(Protocol):
    """Moves answered transactions out of the open ones and sends releases to callers."""

    def transaction_answered(self, transaction: CallerTransaction) -> None: ...

    def release(self, call: str, cause: int, target: CallerLink | None = None) -> None: ...


class CallerTransaction:
    """Implements `CallerResponder` for one call.

    The core, the connection's reader and writer and the main thread may all try to end it; only the first
    transition succeeds, so that each set-up gets exactly one final answer. Of `invite` no more is needed than
    `response_context` keeps.
    """

    __slots__ = ("registry", "link", "invite", "_state", "_lock")

    def __init__(self, registry: TransactionRegistry, link: CallerLink, invite: Message) -> None:
        self.registry, self.link, self.invite = registry, link, invite
        self._state, self._lock = TransactionState.OPEN, threading.Lock()

    @property
    def state(self) -> TransactionState:
        return self._state

    def _transition(self, target: TransactionState, *allowed: TransactionState) -> bool:
        with self._lock:
            if self._state not in allowed:
                return False
            self._state = target
            return True

    @property
    def origin(self) -> object:
        return self.link

    @property
    def log_share(self) -> LogShare:
        return self.link.log_share

    def reachable(self) -> bool:
        return self._state is not TransactionState.CANCELLED and self.link.peer_reachable()

    def has_left(self) -> bool:
        return not self.reachable()

    def answer(self, description: bytes) -> None:
        self._send_final_answer(lambda: response(self.invite, 200, body=description), establishes_call=True)

    def refuse(self, retry_after_ms: float, reason: RefusalReason) -> None:
        headers = (("x-later-ms", str(int(retry_after_ms))),) if retry_after_ms > 0 else ()
        self._send_final_answer(lambda: response(self.invite, STATUS_BY_REASON.get(reason, 503), *headers))

    def cancel(self) -> bool:
        """Cancels on behalf of the caller; False if the answer has been or is being written."""
        return self._transition(TransactionState.CANCELLED, TransactionState.OPEN, TransactionState.DECIDED)

    def _send_final_answer(
        self, build_response: Callable[[], Message], establishes_call: bool = False
    ) -> None:
        """Sends the final answer, unless there is one already or the caller has cancelled.

        The answer is queued before the set-up counts as answered; the other way round, the connection would
        look idle in between and could be closed.
        """
        if not self._transition(TransactionState.DECIDED, TransactionState.OPEN):
            log_event("answer_dropped", self.log_share, call=self.invite.call_id, state=self._state.value)
            return
        steps.reached(steps.ANSWERED)
        if establishes_call:
            self.link.trust_level = 2
        self.link.send(build_response(), still_wanted=self._begin_write)
        steps.reached(steps.QUEUED)
        self.registry.transaction_answered(self)

    def _begin_write(self) -> bool:
        """Called by the writer right before it sends the answer; False if the caller has cancelled."""
        if self._transition(TransactionState.WRITTEN, TransactionState.DECIDED):
            return True
        log_event("answer_dropped", self.log_share, call=self.invite.call_id, state=self._state.value)
        return False

    def release(self, cause: int) -> None:
        self.registry.release(self.invite.call_id, cause, self.link)
