"""Shutdown: the phases of the program, and when a connection from a caller may be closed.

No I/O and no clock: callers report what they observe and query what is allowed. Phases only advance:

    RUNNING    accepts connections and set-ups
    DRAINING   stop requested: health checks fail, so that no new caller is sent here; set-ups are served
    FINISHING  callers no longer arrive: set-ups are refused at once, pending calls get their answer
    FLUSHING   the core has ended: unanswered set-ups are refused, a connection closes once all is written
    ENDED      the process may exit
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum


class Phase(IntEnum):
    """See the module's description; the names are written to the log."""

    RUNNING = 0
    DRAINING = 1
    FINISHING = 2
    FLUSHING = 3
    ENDED = 4


MAX_DEADLINE_MS = 3000.0  # a longer deadline counts as this for the time of the kill
KILL_AFTER_DEADLINE_MS = 700.0  # the kill comes the longest deadline plus this after the stop
# Callers go on arriving for 0.6 s; what arrives later than this still has to be answered before the kill
ACCEPT_AFTER_STOP_MS = 700.0
ANSWER_BEFORE_KILL_MS, EXIT_BEFORE_KILL_MS = 300.0, 100.0
REFUSE_BEFORE_ANSWER_BY_MS = 100.0  # set-ups are refused at least so long before all must be answered


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Limits of the phases, in milliseconds after the stop request."""

    refuse_after_ms: float = ACCEPT_AFTER_STOP_MS
    # by then every pending call has its answer
    answer_by_ms: float = MAX_DEADLINE_MS + KILL_AFTER_DEADLINE_MS - ANSWER_BEFORE_KILL_MS
    # by then the process has exited, whatever is unfinished
    exit_by_ms: float = MAX_DEADLINE_MS + KILL_AFTER_DEADLINE_MS - EXIT_BEFORE_KILL_MS
    max_flush_ms: float = 1000.0  # after the core has ended, for peers that do not read


def times_before_kill(longest_deadline_ms: float, flush_ms: float = 1000.0) -> ShutdownTimes:
    """The times for a deployment whose longest deadline of all classes, which sets the kill, is this."""
    kill_ms = min(longest_deadline_ms, MAX_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS
    answer_by_ms = kill_ms - ANSWER_BEFORE_KILL_MS
    return ShutdownTimes(
        min(ACCEPT_AFTER_STOP_MS, answer_by_ms - REFUSE_BEFORE_ANSWER_BY_MS),
        answer_by_ms,
        kill_ms - EXIT_BEFORE_KILL_MS,
        flush_ms,
    )


class Lifecycle:
    """The phase of the program. One thread at a time advances it: the core's, then the main thread."""

    def __init__(self, times: ShutdownTimes = ShutdownTimes()) -> None:  # noqa: B008 (frozen)
        self.times = times
        self.phase_listeners: list[Callable[[], None]] = []  # called at each new phase; must not block
        self._phase = Phase.RUNNING
        self.stop_ms = float("inf")
        self.flush_ms = float("inf")  # time at which the core ended
        self.open_listeners = 0  # listening sockets that may still hold connections to be accepted

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    def _enter(self, phase: Phase) -> None:
        self._phase = phase
        for listener in self.phase_listeners:
            listener()

    # --- queries ---

    @property
    def healthy(self) -> bool:
        """Whether health checks pass."""
        return self.phase is Phase.RUNNING

    @property
    def accepts_connections(self) -> bool:
        """Whether new connections are accepted."""
        return self.phase <= Phase.DRAINING

    @property
    def accepts_set_ups(self) -> bool:
        """Whether set-ups are handled; otherwise they are refused at once."""
        return self.phase <= Phase.DRAINING

    @property
    def core_running(self) -> bool:
        """Whether the core still handles events."""
        return self.phase <= Phase.FINISHING

    @property
    def phase_deadline_ms(self) -> float:
        """The latest end of the current phase; infinity before a stop request."""
        match self.phase:
            case Phase.RUNNING:
                return float("inf")
            case Phase.DRAINING:
                return self.stop_ms + self.times.refuse_after_ms
            case Phase.FINISHING:
                return self.stop_ms + self.times.answer_by_ms
            case _:
                return min(self.flush_ms + self.times.max_flush_ms, self.stop_ms + self.times.exit_by_ms)

    # --- observations ---

    def request_stop(self, now: float) -> bool:
        """Begins the shutdown. False if it has begun before: a second signal changes nothing."""
        if self.phase is not Phase.RUNNING:
            return False
        self.stop_ms = now
        self._enter(Phase.DRAINING)
        return True

    def check_core(self, open_calls: int, inbox: int, now: float) -> bool:
        """Called after each batch; `inbox` counts the events not handled yet. True: refuse all pending calls.

        The core does not end before all listeners are drained: the system has accepted the connections that
        wait there.
        """
        overdue = False
        if self.phase is Phase.DRAINING and now >= self.phase_deadline_ms:
            self._enter(Phase.FINISHING)
        if self.phase is Phase.FINISHING:
            overdue = now >= self.phase_deadline_ms
            if overdue or not (self.open_listeners or inbox or open_calls):
                self._core_ended(now)
        return overdue and open_calls > 0

    def core_stopped(self, now: float) -> None:
        """The core's thread has ended, for whatever reason: no more calls can be decided."""
        if self.core_running:
            self.stop_ms = min(self.stop_ms, now)
            self._core_ended(now)

    def _core_ended(self, now: float) -> None:
        self.flush_ms = now
        self._enter(Phase.FLUSHING)

    def check_flush(self, connections: int, now: float) -> None:
        """Called while flushing; `connections` counts connections and releases that are not finished yet."""
        if self.phase is Phase.FLUSHING and (not connections or now >= self.phase_deadline_ms):
            self._enter(Phase.ENDED)


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What a connection from a caller still has to do, at one moment."""

    unanswered: int  # set-ups received whose final answer is not queued yet
    unsent: int  # queued messages that are not passed to the system yet
    unread: bool  # whether received bytes are not fully handled yet


def may_close(state: ConnectionState) -> bool:
    """Whether nothing received is unfinished. Input that arrives after this moment crosses the close."""
    return state.unanswered == 0 and state.unsent == 0 and not state.unread


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection without a pending set-up: a candidate for closing to free its descriptor."""

    number: int  # identifies it to the caller of `connections_to_close`
    last_received_ms: float
    connected_ms: float
    has_sent_message: bool  # it has sent at least one complete message


MIN_IDLE_KEPT = 4  # idle connections kept in any case: a release may need one
IDLE_MS = 8000.0  # a normal caller closes after 4 s without a call
FIRST_MESSAGE_MS = 200.0  # a normal caller has sent its set-up so long after connecting


def connections_to_close(idle: Iterable[IdleConnection], crowded: int, now: float) -> list[int]:
    """The numbers of the connections to close: first those without a message, then the longest idle.

    `crowded` is how many must be closed to free descriptors. If it is zero or less, only connections idle for
    `IDLE_MS` are closed.
    """
    order = sorted(
        idle,
        key=lambda connection: (
            connection.has_sent_message or now - connection.connected_ms < FIRST_MESSAGE_MS,
            connection.last_received_ms,
        ),
    )
    old = [connection for connection in order[:-MIN_IDLE_KEPT] if now - connection.last_received_ms > IDLE_MS]
    # all candidates: the caller skips those that turn out not to be idle
    return [connection.number for connection in (order if len(old) < crowded else old)]
