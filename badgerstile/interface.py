"""Settings, events and actions of the decision module. Contains no decisions.

Events go into `badgerstile.control.Softswitch`, and actions come out of it. Times are milliseconds on the
clock of the program that runs the softswitch. An exchange has an opaque identity (`exchange`, bytes) and a
number, to which the destination of a call refers. Events are plain data: they can be recorded and replayed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetryPolicy(Enum):
    """Whether calls of a class may be tried again after an attempt that may have run.

    Only FREE allows it. The values are those of `effect` in the settings.
    """

    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class LoadReporting(Enum):
    """How the load values of other exchanges arrive."""

    WITH_ANSWERS = "with_answers"  # in the answers to set-ups
    WHEN_PROBED = "when_probed"  # only in the answers to probes
    NONE = "none"


class LoadField(Enum):
    """What one value of a load report stands for. The settings list the fields in the order of the values.

    A reported value of -1 means that the exchange did not report the field.
    """

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
    """State of an exchange in the exchange list."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class ListKind(Enum):
    """What an `ExchangeList` event contains."""

    CHANGES = 0  # only the entries that changed
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as last known, perhaps outdated
    FAILED = 3  # a request for the list failed


class AttemptOutcome(Enum):
    """How an attempt ended. TURNED_BACK, UNREACHABLE and NOT_SENT prove that it never ran."""

    ENDED = "ended"  # an established call was released
    ERROR = "error"  # the far end failed to process the set-up
    TURNED_BACK = "turned_back"  # rejected by the far end
    TIMED_OUT = "timed_out"  # no answer within the timeout of the attempt
    UNREACHABLE = "unreachable"  # no connection to the exchange
    CUT = "cut"  # broken off, for example because the connection was lost
    CANCELLED = "cancelled"  # cancelled before an answer arrived
    NOT_SENT = "not_sent"  # refused on the own side before it left


class RejectionReason(Enum):
    """Why an attempt was rejected, as far as the far end reported it."""

    NONE = "none"
    NO_CIRCUIT = "no_circuit"  # no free circuit towards the exchange
    TANDEM = "tandem"  # a tandem could not pass the call on
    TANDEM_FAR_FULL = "tandem_far_full"  # the exchange behind the tandem is overloaded
    PROCESSOR_FULL = "processor_full"  # the processor of the exchange is overloaded
    LINES_BUSY = "lines_busy"  # the called lines are busy


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls.

    A call established within `slo_ms` is worth `worth`, and a later one `worth * late_worth`. `width` is the
    number of circuits that a call takes, `mean_hold_ms` its mean duration (0 for unknown). `pools` are the
    numbers of the exchanges that can serve the class; empty means all of them. For a guarded class,
    `repeats_discarded_everywhere` states that every exchange discards repeats of a request.
    """

    name: str
    slo_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    width: int
    mean_hold_ms: float
    retry_policy: RetryPolicy = RetryPolicy.FREE
    repeats_discarded_everywhere: bool = False
    pools: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one softswitch, fixed from its start.

    `own_number` is the number of the softswitch's own exchange, -1 where pools are shared (no mesh).
    After an attempt that timed out, was cut or cancelled, `release_wait_ms` pass before the next one. If
    `list_on_request` is set, the softswitch has to ask for the exchange list within `list_request_within_ms`.
    A newly started exchange is cold for `cold_ramp_ms`: in this time its capacity rises from
    `cold_initial_share` to 1. It may fail when it gets more than `overload_multiple` times its capacity
    within `overload_window_ms`.
    """

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
    """One entry of the exchange list; `started_ms` is when its processor started, 0 for long ago."""

    exchange: bytes
    number: int
    health: Health
    started_ms: float
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class ExchangeList:
    """The list of exchanges, or changes to it. A FAILED event has no entries."""

    kind: ListKind
    entries: tuple[ExchangeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call to decide on; it must be answered within `budget_ms`.

    `advised_number` is the number of the tandem that a centre advises, or of the originating exchange if the
    call is in transit; -1 for none. `called_number` is 0 if unknown; a caller who redials uses the same one.
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
    """An attempt was answered: the call is established over this exchange."""

    call: int
    exchange: bytes
    attempt: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or an established call, ended.

    `call_ended` means that the call is over: no further attempt or answer is due. `reported_wait_ms` is the
    waiting time that an exchange with a full processor reported. `was_sent` is false if no byte of the
    attempt has left, whatever its outcome.
    """

    call: int
    exchange: bytes
    attempt: int
    outcome: AttemptOutcome
    call_ended: bool
    latency_ms: float
    reason: RejectionReason = RejectionReason.NONE
    reported_wait_ms: float = 0.0
    load_values: tuple[float, ...] = ()
    was_sent: bool = True


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller cancelled the call before it was answered."""

    call: int


@dataclass(frozen=True, slots=True)
class Report:
    """Load values of an exchange: the result of a probe (`probed`) or sent because its free circuits changed.

    `succeeded` is false for a probe that failed.
    """

    exchange: bytes
    probed: bool
    succeeded: bool
    latency_ms: float
    load_values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer expired that a `SetTimer` action with the same token had started."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another softswitch, unchecked; it may be old, repeated or garbled."""

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
    """Sends a set-up for the call to the exchange and gives up on the attempt after `timeout_ms`."""

    call: int
    exchange: bytes
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses a call that can safely be tried again: it has not run, or its class may run twice.

    The caller is asked to wait for `retry_after_ms` first; 0 gives no such advice.
    """

    call: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailCall:
    """Fails a call that may have run and must not run twice.

    The simulator's wire has no field for `retry_after_ms` of this action; real callers get it.
    """

    call: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks an exchange for its load values; the result is a `Report`."""

    exchange: bytes


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Sends a message of at most 256 bytes to the softswitch with the index `receiver`."""

    receiver: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Asks for a `TimerFired` event with this token at `due_ms`."""

    due_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribes to the exchange list, or unsubscribes from it if not `enabled`."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Writes a line to the log."""

    text: str


Action = SetUp | Refuse | FailCall | Probe | SendPeerMessage | SetTimer | WatchList | LogMessage
