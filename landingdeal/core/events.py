"""Events that the fronts (platform and SIP) send to the core, and the interfaces that the core calls back.

Events are immutable and fully decoded. Times are milliseconds of `clock.now_ms`; deadlines are absolute.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from badgerstile.interface import AttemptOutcome, ExchangeList, RejectionReason
from landingdeal.core.contracts import Contract
from landingdeal.core.pending_send import PendingSend
from landingdeal.log import LogShare


class RefusalReason(Enum):
    """Why a call is refused; `invites_retry` says what its caller is told."""

    UNAVAILABLE = "turned away"
    BUSY = "busy"
    TIMED_OUT = "timed out"
    FAILED = "failed"
    FORBIDDEN = "forbidden"

    @property
    def invites_retry(self) -> bool:
        """Whether the caller is told that trying again is harmless."""
        return self not in (RefusalReason.FAILED, RefusalReason.FORBIDDEN)


class CallerResponder(Protocol):
    """Sends the final answer and the release of one call to its caller. No method blocks."""

    @property
    def origin(self) -> object:
        """The connection that the set-up came on; a set-up can be cancelled only from its origin."""
        ...

    @property
    def log_share(self) -> LogShare:
        """The share of the log of the connection or source that the set-up came from."""
        ...

    def reachable(self) -> bool:
        """Whether an answer can still be sent: the connection has not ended."""
        ...

    def has_left(self) -> bool:
        """Whether the caller has ended its connection, also if that is not read yet.

        No set-up is sent for it any more.
        """
        ...

    def answer(self, description: bytes) -> None:
        """Accepts the call with the hub's session description."""
        ...

    def refuse(self, retry_after_ms: float, reason: RefusalReason) -> None:
        """Refuses the call. `retry_after_ms` is 0 if no retry time is advised."""
        ...

    def release(self, cause: int) -> None:
        """Ends the established call; `cause` is a Q.850 cause."""
        ...


class HubClient(Protocol):
    """Sends requests to the lab hubs. No method blocks."""

    def set_up(self, attempt: Attempt) -> None:
        """Sends the set-up; an `AttemptEstablished` or `AttemptFailed` event reports the outcome."""
        ...

    def cancel(self, attempt: Attempt) -> bool:
        """Cancels a pending attempt.

        Returns true if nothing was received on its connection since the set-up, while the lab hub answers on
        another one.
        """
        ...

    def release(self, hub: bytes, call_id: str) -> None:
        """Releases a call at a lab hub."""
        ...

    def forget(self, hub: bytes, call_id: str) -> None:
        """An established call is over at the core, or no longer tracked; nothing is sent to its lab hub."""
        ...

    def probe(self, hub: bytes, deadline_ms: float) -> None:
        """Asks a lab hub for its load; a `ProbeCompleted` event reports the result."""
        ...


@dataclass(frozen=True, slots=True)
class Offer:
    """A set-up as the caller sent it. `uri` and `description` are passed on unchanged.

    `destination` is the number of the lab hub called, `called_number` identifies the number dialled, and
    `advised_number` is the tandem that the platform names, or in transit the origin (-1: none).
    """

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
    advised_number: int = -1
    in_transit: bool = False
    is_redial_after_cut: bool = False
    team: str = ""
    request_id: str = ""  # the caller's name for the request, if it is not the call id

    @property
    def identity(self) -> str:
        """What a repeat of this request has in common with it, on whichever connection it comes."""
        return self.request_id or self.call_id

    def is_repeat_of(self, earlier: Offer) -> bool:
        """Whether this is the same set-up sent again, not another one that uses the same call id."""
        return (self.uri, self.class_name, self.facts, self.description) == (
            earlier.uri, earlier.class_name, earlier.facts, earlier.description
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Attempt:
    """One set-up sent to one lab hub; `number` counts the attempts of a call from 0.

    `pending_send` says whether any byte of it may have left: whoever writes it claims it first.
    """

    offer: Offer
    number: int
    hub: bytes
    sent_ms: float
    deadline_ms: float
    pending_send: PendingSend = field(default_factory=PendingSend, compare=False)


@dataclass(frozen=True, slots=True)
class SetUpCancelled:
    """The caller cancelled the set-up or its connection ended; no answer may follow."""

    call_id: str
    caller: CallerResponder


@dataclass(frozen=True, slots=True)
class CallerStreamBroken:
    """The input from the caller's connection can't be parsed any further: the call is refused at once."""

    call_id: str
    caller: CallerResponder


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    """The lab hub accepted the call."""

    attempt: Attempt
    description: bytes


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt ended without an established call."""

    attempt: Attempt
    outcome: AttemptOutcome
    reason: RejectionReason = RejectionReason.NONE
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class HubReleased:
    """A lab hub released a call, possibly one that was set up before this process started."""

    call_id: str
    hub: bytes
    cause: int
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerReleased:
    """The caller released its call."""

    call_id: str


@dataclass(frozen=True, slots=True)
class HubFailed:
    """The lab hub's process failed or is unresponsive: calls set up before `before_ms` are cut."""

    hub: bytes
    before_ms: float


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A lab hub reported its load without being asked."""

    hub: bytes
    load_values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    """A probe was answered, or timed out (`succeeded` is false)."""

    hub: bytes
    succeeded: bool
    latency_ms: float
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class HubListChanged:
    """The list of lab hubs changed."""

    change: ExchangeList


@dataclass(frozen=True, slots=True)
class ContractsChanged:
    """The operator's file was reloaded: these contracts apply from now on."""

    contracts: tuple[Contract, ...]


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Answer all pending calls, then end. The time until the platform's kill counts from `requested_ms`."""

    requested_ms: float


CoreEvent = (
    Offer | SetUpCancelled | CallerStreamBroken | AttemptEstablished | AttemptFailed | HubReleased
    | CallerReleased | HubFailed | LoadReported | ProbeCompleted | HubListChanged | ContractsChanged
    | StopRequested
)  # fmt: skip
