"""What goes into and comes out of the decision module: settings, events and actions. No decisions here.

Times are milliseconds on the caller's clock. An exchange is named by an opaque `bytes` identity; its
`number` is what a dialled destination refers to. Every event can be kept and replayed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetryPolicy(Enum):
    """What a class allows after an attempt that may have run."""

    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class LoadReporting(Enum):
    """Where figures of far processors are found."""

    WITH_ANSWERS = "with_answers"
    WHEN_PROBED = "when_probed"
    NONE = "none"


class LoadField(Enum):
    """A value that a load report can hold."""

    FREE_CIRCUITS = "free_circuits"
    GROUP_SIZE = "group_size"
    CALLS_IN_PROGRESS = "in_work"
    QUEUE_LENGTH = "queue"
    UTILIZATION = "busy"
    WAIT_MS = "wait_ms"
    CAPACITY_PER_S = "room_per_s"
    HOLD_BACK = "hold_back"
    UNKNOWN = "unknown"


class Health(Enum):
    REMOVED = 0
    DRAINING = 1
    READY = 2


class ListKind(Enum):
    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class AttemptOutcome(Enum):
    """How an attempt ended. TURNED_BACK, UNREACHABLE and NOT_SENT prove that it never ran."""

    ENDED = "ended"
    ERROR = "error"
    TURNED_BACK = "turned_back"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    CUT = "cut"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class RejectionReason(Enum):
    """Why an attempt was turned back, where that is told."""

    NONE = "none"
    NO_CIRCUIT = "no_circuit"
    TANDEM = "tandem"
    TANDEM_FAR_FULL = "tandem_far_full"
    PROCESSOR_FULL = "processor_full"
    LINES_BUSY = "lines_busy"


@dataclass(frozen=True, slots=True)
class CallClass:
    name: str
    slo_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    width: int
    mean_hold_ms: float
    retry_policy: RetryPolicy = RetryPolicy.FREE
    pools: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Settings:
    """What a softswitch is told when it starts. `own_number` is the own number, -1 where pools are shared."""

    own_number: int
    mesh: bool
    classes: tuple[CallClass, ...]
    release_wait_ms: float
    retransmit_ms: float
    max_attempts: int
    may_probe: bool
    may_message: bool
    sends_retry_after: bool
    max_retry_after_ms: float
    load_reporting: LoadReporting
    load_fields: tuple[LoadField, ...]
    list_on_request: bool
    list_request_within_ms: float
    drain_grace_ms: float
    cold_initial_share: float
    cold_ramp_ms: float
    overload_multiple: float
    overload_window_ms: float
    softswitch_count: int
    tick_ms: float


@dataclass(frozen=True, slots=True)
class ExchangeEntry:
    """One line of the exchange list; `started_ms` is the start of its processor, 0 for long ago."""

    exchange: bytes
    number: int
    health: Health
    started_ms: float
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class ExchangeList:
    kind: ListKind
    entries: tuple[ExchangeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call to decide on. `advised_number` is the tandem a centre names, or in transit its origin.

    `called_number` is the number called, 0 where it is not told; a caller who dials again calls the same.
    """

    call: int
    destination: int
    call_class: int
    width: int
    budget_ms: float
    advised_number: int = -1
    is_redial: bool = False
    in_transit: bool = False
    is_redial_after_cut: bool = False
    called_number: int = 0


@dataclass(frozen=True, slots=True)
class CallEstablished:
    call: int
    exchange: bytes
    attempt: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """`call_ended`: the call is concluded. `reported_wait_ms`: the wait that a full far end named."""

    call: int
    exchange: bytes
    attempt: int
    outcome: AttemptOutcome
    call_ended: bool
    latency_ms: float
    reason: RejectionReason = RejectionReason.NONE
    reported_wait_ms: float = 0.0
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    call: int


@dataclass(frozen=True, slots=True)
class Report:
    """Figures of an exchange, asked for by a probe (`probed`) or told when the free circuits changed."""

    exchange: bytes
    probed: bool
    succeeded: bool
    latency_ms: float
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another softswitch, as its own module wrote it; it may be old, repeated or garbled."""

    sender: int
    payload: bytes


Event = (
    ExchangeList
    | CallOffered
    | CallEstablished
    | AttemptEnded
    | CallAbandoned
    | Report
    | TimerFired
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class SetUp:
    call: int
    exchange: bytes
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    call: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailCall:
    """The simulator's wire has no come-back time for it; real callers are told."""

    call: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Probe:
    exchange: bytes


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """A message of at most 256 bytes to the softswitch of this index."""

    receiver: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    due_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchList:
    enabled: bool = True


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str


Action = SetUp | Refuse | FailCall | Probe | SendPeerMessage | SetTimer | WatchList | LogMessage
