"""What the fronts tell the core. Each is decoded once, frozen, and carries absolute deadlines."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from badgerstile.interface import Ending, ExchangeList, Reason
from landingdeal.core.contracts import Contract


class RefusalReason(Enum):
    """Why a call is refused; all but FAILED and FORBIDDEN say that trying again is harmless."""

    UNAVAILABLE = "turned away"
    BUSY = "busy"
    TIMED_OUT = "timed out"
    FAILED = "failed"
    FORBIDDEN = "forbidden"


class CallerResponder(Protocol):
    """Server side: where the final answer of one call goes. None of its functions blocks."""

    @property
    def origin(self) -> object:
        """What it came on: only from there can the set-up be given up."""
        ...

    def reachable(self) -> bool:
        """Whether an answer given now would leave: its connection has not ended."""
        ...

    def answer(self, description: bytes) -> None: ...

    def refuse(self, retry_after_ms: float, reason: RefusalReason) -> None: ...

    def release(self, cause: int) -> None: ...


class HubClient(Protocol):
    """Client side: towards all lab hubs. None of its functions blocks."""

    def set_up(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> bool:
        """True if it went where nothing was heard since, while the lab hub goes on answering elsewhere."""
        ...

    def release(self, hub: bytes, call_id: str) -> None: ...

    def probe(self, hub: bytes, deadline_ms: float) -> None: ...


@dataclass(frozen=True, slots=True)
class Offer:
    """A set-up as the caller sent it. `uri` and `description` are passed on unchanged."""

    call_id: str
    uri: str
    class_name: str
    destination: int
    deadline_ms: float
    description: bytes
    caller: CallerResponder
    facts: str = ""
    called_number: int = 0
    width: int = 1
    advised_tandem: int = -1
    in_transit: bool = False
    again_after_cut: bool = False
    team: str = ""

    def is_repeat_of(self, earlier: Offer) -> bool:
        """The same set-up come again, and not another one under its id."""
        return (self.uri, self.class_name, self.facts, self.description) == (
            earlier.uri, earlier.class_name, earlier.facts, earlier.description
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
class SetUpCancelled:
    """The caller stopped waiting; no answer is owed."""

    call_id: str
    caller: CallerResponder


@dataclass(frozen=True, slots=True)
class CallerStreamBroken:
    """What the caller's connection carries can't be read any further: an answer is owed, and at once."""

    call_id: str
    caller: CallerResponder


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    attempt: Attempt
    description: bytes


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt ended without standing."""

    attempt: Attempt
    ending: Ending
    reason: Reason = Reason.NONE
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class HubReleased:
    """A lab hub released a call; it may be one from before this program started."""

    call_id: str
    hub: bytes
    cause: int
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerReleased:
    call_id: str


@dataclass(frozen=True, slots=True)
class HubFailed:
    """The lab hub's process has died or it is silent: calls set up before that moment are cut."""

    hub: bytes
    before_ms: float


@dataclass(frozen=True, slots=True)
class LoadReported:
    hub: bytes
    load_values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    hub: bytes
    succeeded: bool
    latency_ms: float
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class HubListChanged:
    """Of the list of lab hubs."""

    change: ExchangeList


@dataclass(frozen=True, slots=True)
class ContractsChanged:
    """The operator's file was read again: these contracts count from now on."""

    contracts: tuple[Contract, ...]


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Answer what is open, then end. The kill is counted from when it was asked."""

    requested_ms: float


CoreEvent = (
    Offer | SetUpCancelled | CallerStreamBroken | AttemptEstablished | AttemptFailed | HubReleased
    | CallerReleased | HubFailed | LoadReported | ProbeCompleted | HubListChanged | ContractsChanged
    | StopRequested
)  # fmt: skip
