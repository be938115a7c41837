"""The end of life, of the program and of each connection from callers: who may go, and when.

No I/O and no clock: whoever holds it tells what is seen and asks what may be done. The program moves only
forward:

    RUNNING    accepts connections and takes set-ups
    DRAINING   asked to stop: its test fails, so that no new caller is sent here; whoever comes is served
    FINISHING  nobody comes any more: set-ups are refused at once, what is open gets its answer
    FLUSHING   the core has ended: what is owed is refused, each connection goes once all is written
    ENDED      the process may exit
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum


class Phase(IntEnum):
    RUNNING = 0
    DRAINING = 1
    FINISHING = 2
    FLUSHING = 3
    ENDED = 4


MAX_DEADLINE_MS = 3000.0  # a longer deadline counts as this for the kill
KILL_AFTER_DEADLINE_MS = 700.0  # the kill comes the longest deadline, and so much more, after the stop
ACCEPT_AFTER_STOP_MS = (
    700.0  # callers come for 0.6 s; what comes later than this has to be answered by the kill
)
ANSWER_BEFORE_KILL_MS, EXIT_BEFORE_KILL_MS = 300.0, 100.0  # the kill
REFUSE_BEFORE_ANSWER_BY_MS = 100.0  # at least so long before all is answered, set-ups are no longer taken


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Milliseconds after the stop."""

    refuse_after_ms: float = ACCEPT_AFTER_STOP_MS
    answer_by_ms: float = (
        MAX_DEADLINE_MS + KILL_AFTER_DEADLINE_MS - ANSWER_BEFORE_KILL_MS
    )  # by then every open call has been answered
    exit_by_ms: float = (
        MAX_DEADLINE_MS + KILL_AFTER_DEADLINE_MS - EXIT_BEFORE_KILL_MS
    )  # by then the process has exited, whatever is left
    max_flush_ms: float = 1000.0  # the most, counted from when the core ended: for a peer that does not read


def times_before_kill(longest_deadline_ms: float, flush_ms: float = 1000.0) -> ShutdownTimes:
    """For a deployment with this longest deadline of all classes; the kill is counted from it."""
    kill = min(longest_deadline_ms, MAX_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS
    answers = kill - ANSWER_BEFORE_KILL_MS
    return ShutdownTimes(
        min(ACCEPT_AFTER_STOP_MS, answers - REFUSE_BEFORE_ANSWER_BY_MS),
        answers,
        kill - EXIT_BEFORE_KILL_MS,
        flush_ms,
    )


class Lifecycle:
    """One thread at a time moves it: the core's until the core ends, then the main thread."""

    def __init__(self, times: ShutdownTimes = ShutdownTimes()) -> None:  # noqa: B008 (frozen)
        self.times = times
        self.phase_listeners: list[Callable[[], None]] = []  # told of each new phase; none may block
        self._phase = Phase.RUNNING
        self.stop_ms = float("inf")
        self.flush_ms = float("inf")  # when the core ended
        self.open_listeners = 0  # listeners that may still hold connections

    @property
    def phase(self) -> Phase:
        return self._phase

    def _enter(self, phase: Phase) -> None:
        self._phase = phase
        for listener in self.phase_listeners:
            listener()

    # --- what is asked ---

    @property
    def healthy(self) -> bool:
        """Whether a test is passed."""
        return self.phase is Phase.RUNNING

    @property
    def accepts_connections(self) -> bool:
        return self.phase <= Phase.DRAINING

    @property
    def accepts_set_ups(self) -> bool:
        """Whether set-ups are taken; they are refused at once where not."""
        return self.phase <= Phase.DRAINING

    @property
    def core_running(self) -> bool:
        return self.phase <= Phase.FINISHING

    @property
    def phase_deadline_ms(self) -> float:
        """When the phase ends at the latest; infinity while nobody asked to stop."""
        match self.phase:
            case Phase.RUNNING:
                return float("inf")
            case Phase.DRAINING:
                return self.stop_ms + self.times.refuse_after_ms
            case Phase.FINISHING:
                return self.stop_ms + self.times.answer_by_ms
            case _:
                return min(self.flush_ms + self.times.max_flush_ms, self.stop_ms + self.times.exit_by_ms)

    # --- what is told ---

    def request_stop(self, now: float) -> bool:
        """False if it had been asked before: a second signal hurries nothing."""
        if self.phase is not Phase.RUNNING:
            return False
        self.stop_ms = now
        self._enter(Phase.DRAINING)
        return True

    def check_core(self, open_calls: int, inbox: int, now: float) -> bool:
        """After each batch; `inbox` counts what the core has not handled. True: all that is open is refused.

        A listener that was not emptied yet holds the end back: who waits there was let in by the machine.
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
        """The core's thread is no more, for whatever reason: there is nobody left to decide."""
        if self.core_running:
            self.stop_ms = min(self.stop_ms, now)
            self._core_ended(now)

    def _core_ended(self, now: float) -> None:
        self.flush_ms = now
        self._enter(Phase.FLUSHING)

    def check_flush(self, connections: int, now: float) -> None:
        """`connections` counts those that may not go yet, and releases that are not through."""
        if self.phase is Phase.FLUSHING and (not connections or now >= self.phase_deadline_ms):
            self._enter(Phase.ENDED)


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """One connection from a caller, as it is at one moment."""

    unanswered: int  # set-ups taken whose final answer is not queued yet
    unsent: int  # messages queued that the system has not taken yet
    unread: bool  # bytes the system has received that were not handled to the end


def may_close(state: ConnectionState) -> bool:
    """Whether nothing taken stands on it. What comes after this moment crosses the close."""
    return state.unanswered == 0 and state.unsent == 0 and not state.unread


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection with no set-up open, as a candidate to be closed for room."""

    number: int  # the caller's of `spare`
    last_received_ms: float
    connected_ms: float
    has_sent_message: bool  # it has sent something whole


MIN_IDLE_KEPT = 4  # so many of the idle are kept all the same: a release may need one
IDLE_MS = 8000.0  # a usual caller closes after 4 s without a call: this one only holds its connection
FIRST_MESSAGE_MS = 200.0  # after its connect a usual caller has sent its set-up


def connections_to_close(idle: Iterable[IdleConnection], crowded: int, now: float) -> list[int]:
    """Which may be closed, first to go first: those that say nothing, then the idlest.

    `crowded`: how many have to go for room; zero or less where there is room, and then only the idle go.
    """
    order = sorted(
        idle,
        key=lambda connection: (
            connection.has_sent_message or now - connection.connected_ms < FIRST_MESSAGE_MS,
            connection.last_received_ms,
        ),
    )
    old = [connection for connection in order[:-MIN_IDLE_KEPT] if now - connection.last_received_ms > IDLE_MS]
    # all candidates: one that turns out not to be idle is passed over for the next
    return [connection.number for connection in (order if len(old) < crowded else old)]
