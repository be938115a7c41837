"""What the fronts tell the core. Each is decoded once, frozen, and carries absolute deadlines."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from badgerstile.interface import AttemptOutcome, ExchangeList, RejectionReason
from landingdeal.core.contracts import Contract


class Why(Enum):
    """Why a call is refused; all but FAILED and FORBIDDEN say that trying again is harmless."""

    TURNED_AWAY = "turned away"
    BUSY = "busy"
    TIMED_OUT = "timed out"
    FAILED = "failed"
    FORBIDDEN = "forbidden"


class CallerSide(Protocol):
    """Server side: where the final answer of one call goes. None of its functions blocks."""

    @property
    def origin(self) -> object:
        """What it came on: only from there can the set-up be given up."""
        ...

    def reachable(self) -> bool:
        """Whether an answer given now would leave: its connection has not ended."""
        ...

    def answer(self, description: bytes) -> None: ...

    def refuse(self, come_back_ms: float, why: Why) -> None: ...

    def release(self, cause: int) -> None: ...


class HubSide(Protocol):
    """Client side: towards all lab hubs. None of its functions blocks."""

    def set_up(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> bool:
        """True if it went where nothing was heard since, while the lab hub goes on answering elsewhere."""
        ...

    def release(self, hub: bytes, call: str) -> None: ...

    def probe(self, hub: bytes, deadline_ms: float) -> None: ...


@dataclass(frozen=True, slots=True)
class Offer:
    """A set-up as the caller sent it. `uri` and `description` are passed on unchanged."""

    call: str
    uri: str
    class_name: str
    destination: int
    deadline_ms: float
    description: bytes
    caller: CallerSide
    facts: str = ""
    key: int = 0
    width: int = 1
    advised: int = -1
    in_transit: bool = False
    again_after_cut: bool = False
    team: str = ""

    def same_call(self, other: Offer) -> bool:
        """The same set-up come again, and not another one under its id."""
        return (self.uri, self.class_name, self.facts, self.description) == (
            other.uri, other.class_name, other.facts, other.description
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Attempt:
    """One set-up towards one lab hub."""

    offer: Offer
    number: int
    hub: bytes
    sent_ms: float
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The caller stopped waiting; no answer is owed."""

    call: str
    caller: CallerSide


@dataclass(frozen=True, slots=True)
class Unreadable:
    """What the caller's connection carries can't be read any further: an answer is owed, and at once."""

    call: str
    caller: CallerSide


@dataclass(frozen=True, slots=True)
class Stood:
    attempt: Attempt
    description: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The attempt ended without standing."""

    attempt: Attempt
    ending: AttemptOutcome
    reason: RejectionReason = RejectionReason.NONE
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class HubReleased:
    """A lab hub released a call; it may be one from before this program started."""

    call: str
    hub: bytes
    cause: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerReleased:
    call: str


@dataclass(frozen=True, slots=True)
class HubDied:
    """The lab hub's process has died or it is silent: calls set up before that moment are cut."""

    hub: bytes
    before_ms: float


@dataclass(frozen=True, slots=True)
class GroupState:
    hub: bytes
    figures: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Probed:
    hub: bytes
    well: bool
    latency_ms: float
    figures: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class News:
    """Of the list of lab hubs."""

    change: ExchangeList


@dataclass(frozen=True, slots=True)
class Budgets:
    """The operator's file was read again: these contracts count from now on."""

    contracts: tuple[Contract, ...]


@dataclass(frozen=True, slots=True)
class Stop:
    """Answer what is open, then end. The kill is counted from when it was asked."""

    asked_ms: float


Arrival = (
    Offer | Withdrawn | Unreadable | Stood | Ended | HubReleased | CallerReleased
    | HubDied | GroupState | Probed | News | Budgets | Stop
)  # fmt: skip
