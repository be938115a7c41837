"""What the SIP front keeps of a call: its legs, its sides, and what the core holds of its caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from landingdeal.core.events import Attempt, RefusalReason
from landingdeal.sip.address import parse_name_addr
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.loop import Loop
from landingdeal.sip.message import Message
from landingdeal.sip.transaction import ClientTransaction, ServerTransaction, Timing


class Front(Protocol):
    loop: Loop

    def answer_call(self, call: Call, description: bytes) -> None: ...

    def refuse_call(self, call: Call, come_back_ms: float, why: RefusalReason) -> None: ...

    def release_caller(self, call: Call, cause: int) -> None: ...


@dataclass(frozen=True, slots=True)
class HubPlace:
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
    hubs: tuple[HubPlace, ...]
    routes: tuple[tuple[str, int], ...]  # prefix of the number called, number of the lab hub
    default_class: str


class SipCaller:
    """What the core holds of a caller: it posts, and never waits."""

    __slots__ = ("front", "call")

    def __init__(self, front: Front, call: Call) -> None:
        self.front, self.call = front, call

    @property
    def origin(self) -> object:
        return self.call

    def reachable(self) -> bool:
        return True  # each call of this front has an id of its own, and its answer finds a connection

    def answer(self, description: bytes) -> None:
        self.front.loop.post(lambda: self.front.answer_call(self.call, description))

    def refuse(self, come_back_ms: float, why: RefusalReason) -> None:
        self.front.loop.post(lambda: self.front.refuse_call(self.call, come_back_ms, why))

    def release(self, cause: int) -> None:
        self.front.loop.post(lambda: self.front.release_caller(self.call, cause))


class Side:
    """One standing leg of a call."""

    def __init__(self, call: Call, dialog: Dialog, caller: bool) -> None:
        self.call, self.dialog, self.caller = call, dialog, caller
        self.incoming: ServerTransaction | None = None  # a re-INVITE from here that is under way
        self.forwarded: ClientTransaction | None = None  # the same, towards the other side
        self.cancelled = False  # and its CANCEL, which waits for a provisional response
        self.unacked = -1  # number of the INVITE whose 2xx from us has no ACK yet
        self.bye_cause = -1  # a release that has to wait for that ACK
        self.ack: Message | None = None  # the last that we sent here
        self.checking = False

    @property
    def other(self) -> Side | None:
        return self.call.hub_side if self.caller else self.call.caller_side


class Leg:
    """An INVITE of ours towards a lab hub."""

    def __init__(self, call: Call, attempt: Attempt, hub: HubPlace) -> None:
        self.call, self.attempt, self.hub = call, attempt, hub
        self.transaction: ClientTransaction | None = None
        self.provisional = self.cancelled = self.counted = False
        self.sides: dict[str, Side] = {}  # by the hub's tag


class Call:
    def __init__(self, key: str, server: ServerTransaction, tag: str) -> None:
        self.key, self.server, self.tag = key, server, tag
        self.caller: SipCaller
        self.legs: dict[int, Leg] = {}
        self.caller_side: Side | None = None
        self.hub_side: Side | None = None
        self.answer_kind = "application/sdp"

    @property
    def merged_key(self) -> tuple[str, str, int]:
        invite = self.server.request
        return invite.call_id, parse_name_addr(invite.get("from")).tag, invite.cseq[0]
