"""State of a call in the SIP front (its legs and dialogs), and the caller handle that the core uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from landingdeal.core.events import Attempt, RefusalReason
from landingdeal.log import LogShare
from landingdeal.sip.address import parse_name_addr
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.loop import EventLoop
from landingdeal.sip.message import Message
from landingdeal.sip.transaction import ClientTransaction, ServerTransaction, Timing


class CallerOperations(Protocol):
    """Operations on the caller's side of a call; they run in the thread of the event loop."""

    event_loop: EventLoop

    def answer_call(self, call: SipCall, description: bytes) -> None: ...

    def refuse_call(self, call: SipCall, retry_after_ms: float, reason: RefusalReason) -> None: ...

    def release_caller(self, call: SipCall, cause: int) -> None: ...


@dataclass(frozen=True, slots=True)
class HubConfig:
    """A lab hub of the operator's file; with `circuits` 0, this program does not count its circuits."""

    name: bytes
    number: int
    transport: str
    host: str
    port: int
    circuits: int = 0


@dataclass(frozen=True, slots=True)
class SipConfig:
    """The section `[sip]` of the operator's file; `routes` has the longest prefix first."""

    host: str
    port: int
    timing: Timing
    hubs: tuple[HubConfig, ...]
    routes: tuple[tuple[str, int], ...]  # prefix of the called number, number of the lab hub
    default_class: str


class SipCaller:
    """The caller as the core sees it; each method posts to the event loop and never blocks."""

    __slots__ = ("operations", "call")

    def __init__(self, operations: CallerOperations, call: SipCall) -> None:
        self.operations, self.call = operations, call

    @property
    def origin(self) -> object:
        """Identifies the source of the call: here each call has its own."""
        return self.call

    @property
    def log_share(self) -> LogShare:
        return self.call.log_share

    def reachable(self) -> bool:
        return True  # call keys are unique here, and a response can be sent on a new connection

    def has_left(self) -> bool:
        return self.call.invite_transaction.flow.peer_has_left

    def answer(self, description: bytes) -> None:
        self.operations.event_loop.post(lambda: self.operations.answer_call(self.call, description))

    def refuse(self, retry_after_ms: float, reason: RefusalReason) -> None:
        self.operations.event_loop.post(
            lambda: self.operations.refuse_call(self.call, retry_after_ms, reason)
        )

    def release(self, cause: int) -> None:
        self.operations.event_loop.post(lambda: self.operations.release_caller(self.call, cause))


class DialogSide:
    """One established dialog of a call: towards its caller or towards its hub."""

    def __init__(self, call: SipCall, dialog: Dialog, is_caller: bool) -> None:
        self.call, self.dialog, self.is_caller = call, dialog, is_caller
        self.incoming_reinvite: ServerTransaction | None = None  # the pending re-INVITE from this peer
        self.forwarded_reinvite: ClientTransaction | None = None  # the same, sent to the other peer
        self.cancel_pending = False  # its CANCEL waits for a provisional response
        self.unacknowledged = -1  # sequence number of the INVITE whose 2xx from us has no ACK yet; -1: none
        self.deferred_bye_cause = -1  # cause of a BYE that has to wait for that ACK; -1: none
        self.last_ack: Message | None = None  # the last ACK that we sent to this peer
        self.peer_check: ClientTransaction | None = None  # a pending OPTIONS to this peer

    @property
    def peer_side(self) -> DialogSide | None:
        """The dialog at the other end of the call."""
        return self.call.hub_side if self.is_caller else self.call.caller_side


class HubLeg:
    """One attempt: an INVITE that we send to a lab hub, and the dialogs that its 2xx responses create."""

    def __init__(self, call: SipCall, attempt: Attempt, hub: HubConfig) -> None:
        self.call, self.attempt, self.hub = call, attempt, hub
        self.transaction: ClientTransaction | None = None
        self.provisional_received = self.occupies_circuit = False
        self.cancelled = self.failed = False  # how the attempt ended before a 2xx
        self.sides: dict[str, DialogSide] = {}  # by the To tag of the 2xx: a fork sends several


class SipCall:
    """A call from its INVITE until both dialogs have ended; `key` is its name in the core."""

    def __init__(
        self, key: str, invite_transaction: ServerTransaction, local_tag: str, log_share: LogShare
    ) -> None:
        self.log_share, self.source = log_share, invite_transaction.flow.source
        self.key, self.invite_transaction, self.local_tag = key, invite_transaction, local_tag
        self.caller: SipCaller
        self.legs: dict[int, HubLeg] = {}  # by number of the attempt
        self.caller_side: DialogSide | None = None
        self.hub_side: DialogSide | None = None
        self.answer_content_type = "application/sdp"

    @property
    def merge_key(self) -> tuple[str, str, int]:
        """Identifies copies of one INVITE that arrive over different paths (8.2.2.2)."""
        invite = self.invite_transaction.request
        return invite.call_id, parse_name_addr(invite.get("from")).tag, invite.cseq[0]

    @property
    def identity(self) -> str:
        """Names the caller's request in the core: the same for each INVITE of one Call-ID and From tag."""
        call_id, from_tag, _ = self.merge_key
        return f"{call_id} {from_tag}"
