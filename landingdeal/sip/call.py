"""What the SIP front keeps of a call: its legs, its sides, and what the core holds of its caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from landingdeal.core.events import Attempt, Why
from landingdeal.sip.address import parse_name_addr
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.loop import EventLoop
from landingdeal.sip.message import Message
from landingdeal.sip.transaction import ClientTransaction, ServerTransaction, Timing


class CallerOperations(Protocol):
    event_loop: EventLoop

    def answer_call(self, call: SipCall, description: bytes) -> None: ...

    def refuse_call(self, call: SipCall, retry_after_ms: float, why: Why) -> None: ...

    def release_caller(self, call: SipCall, cause: int) -> None: ...


@dataclass(frozen=True, slots=True)
class HubConfig:
    """A lab hub of the operator's file; `circuits` 0 where they are not counted here."""

    name: bytes
    number: int
    transport: str
    host: str
    port: int
    circuits: int = 0


@dataclass(frozen=True, slots=True)
class SipConfig:
    host: str
    port: int
    timing: Timing
    hubs: tuple[HubConfig, ...]
    routes: tuple[tuple[str, int], ...]  # prefix of the number called, number of the lab hub
    default_class: str


class SipCaller:
    """What the core holds of a caller: it posts, and never waits."""

    __slots__ = ("operations", "call")

    def __init__(self, operations: CallerOperations, call: SipCall) -> None:
        self.operations, self.call = operations, call

    @property
    def origin(self) -> object:
        return self.call

    def reachable(self) -> bool:
        return True  # each call of this front has an id of its own, and its answer finds a connection

    def answer(self, description: bytes) -> None:
        self.operations.event_loop.post(lambda: self.operations.answer_call(self.call, description))

    def refuse(self, retry_after_ms: float, why: Why) -> None:
        self.operations.event_loop.post(lambda: self.operations.refuse_call(self.call, retry_after_ms, why))

    def release(self, cause: int) -> None:
        self.operations.event_loop.post(lambda: self.operations.release_caller(self.call, cause))


class DialogSide:
    """One standing leg of a call."""

    def __init__(self, call: SipCall, dialog: Dialog, is_caller: bool) -> None:
        self.call, self.dialog, self.is_caller = call, dialog, is_caller
        self.incoming_reinvite: ServerTransaction | None = None  # a re-INVITE from here that is under way
        self.forwarded_reinvite: ClientTransaction | None = None  # the same, towards the other side
        self.cancel_pending = False  # and its CANCEL, which waits for a provisional response
        self.unacknowledged = -1  # number of the INVITE whose 2xx from us has no ACK yet
        self.deferred_bye_cause = -1  # a release that has to wait for that ACK
        self.last_ack: Message | None = None  # the last that we sent here
        self.checking_peer = False

    @property
    def peer_side(self) -> DialogSide | None:
        return self.call.hub_side if self.is_caller else self.call.caller_side


class HubLeg:
    """An INVITE of ours towards a lab hub."""

    def __init__(self, call: SipCall, attempt: Attempt, hub: HubConfig) -> None:
        self.call, self.attempt, self.hub = call, attempt, hub
        self.transaction: ClientTransaction | None = None
        self.provisional_received = self.cancelled = self.occupies_circuit = False
        self.sides: dict[str, DialogSide] = {}  # by the hub's tag


class SipCall:
    def __init__(self, key: str, invite_transaction: ServerTransaction, local_tag: str) -> None:
        self.key, self.invite_transaction, self.local_tag = key, invite_transaction, local_tag
        self.caller: SipCaller
        self.legs: dict[int, HubLeg] = {}
        self.caller_side: DialogSide | None = None
        self.hub_side: DialogSide | None = None
        self.answer_content_type = "application/sdp"

    @property
    def merge_key(self) -> tuple[str, str, int]:
        invite = self.invite_transaction.request
        return invite.call_id, parse_name_addr(invite.get("from")).tag, invite.cseq[0]
