"""The state of one lab hub on the platform's front: its address, its connections and what waits for them."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from landingdeal.clock import now_ms
from landingdeal.core.events import Attempt, HubFailed
from landingdeal.net.hub_calls import HubCalls
from landingdeal.net.link import HubLink
from landingdeal.net.outgoing_releases import OutgoingReleases

MAX_CANCELLED_CALLS = 256  # cancelled set-ups whose answer may cross the CANCEL
MIN_RESTART_MS = 700.0  # a lab hub that is back sooner was not restarted
CROSSING_ANSWER_MS = 10_000.0  # after so long an answer that crossed the CANCEL has come, or never will


@dataclass(frozen=True, slots=True)
class PendingProbe:
    """An OPTIONS sent to a lab hub whose answer has not come yet."""

    sent_ms: float
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class CancelledSetUp:
    """A set-up that was written and then given up, or interrupted by the end of its connection."""

    connection: int
    cancelled_ms: float


class Hub:
    """One lab hub: its address, its connections, the set-ups pending on each and those queued for one.

    Its identity is its name, its address and the start of its process: another process under its name or at
    its address is another lab hub. `changed` protects all of it.
    """

    def __init__(self, name: bytes, host: str, port: int, started_ms: float = 0.0) -> None:
        self.name, self.host, self.port = name, host, port
        self.listed_start_ms = started_ms  # of its process; 0 for long ago
        self.started_ms = min(started_ms, now_ms())  # the same on the clock of this machine
        self.replaced_ms = float("inf")  # when the list gave its name to a process at another address
        self.link: HubLink | None = None  # set-ups are sent on it
        self.pending: dict[HubLink, dict[str, Attempt]] = {}  # of each connection that has not ended
        self.queued: list[Attempt] = []
        self.calls = HubCalls()
        self.releases = OutgoingReleases()
        self.cancelled_calls: dict[str, CancelledSetUp] = {}  # an answer to one of them is released
        self.pending_probes: dict[str, PendingProbe] = {}
        self.removed = self.draining = False
        self.keeper_running = False  # its thread keeps it connected
        self.recovering = False  # a further connection is being opened
        self.slow_dial_running = False  # a connect goes on that was not up in time
        self.last_received_ms = self.connected_ms = now_ms()
        self.last_return_ms = 0.0  # when a silence ended that was long enough for a restart
        self.refused_connects = 0  # in a row, while no other connection is sound
        self.suspect_reset_ms = 0.0  # of a reset that may mean that its process has ended
        self.last_reset_ms = 0.0
        self.last_suspected_ms = 0.0  # when its connection was last replaced for silence
        self.declared_failed = False  # its calls have been released because of its silence
        self.changed = threading.Condition()

    def failed(self, before_ms: float) -> HubFailed:
        """The event that its calls set up before this time are over: none of one that took its name."""
        return HubFailed(self.name, min(before_ms, self.replaced_ms))

    def is_peer_of(self, link: HubLink) -> bool:
        """Whether a connection leads to this process: it was dialled at its address, after its start."""
        is_at_address = link.dialled_address in (None, (self.host, self.port))
        return is_at_address and link.dialled_ms >= self.started_ms

    def idle_links_of_moved(self) -> list[HubLink]:
        """The connections to a process that no longer has the hub's name and that nothing needs any more.

        The caller holds the lock.
        """
        if self.replaced_ms == float("inf") or self.calls.any_stand():
            return []
        return [link for link, pending in self.pending.items() if not pending and not link.finishing]

    def take_older_links(self, started_ms: float) -> list[HubLink]:
        """Notes a later start of its process; returns the connections that lead to the process before it.

        The caller holds the lock, and closes them.
        """
        if started_ms <= self.listed_start_ms:
            return []
        self.listed_start_ms, self.started_ms = started_ms, min(started_ms, now_ms())
        older_links = [link for link in self.pending if link.dialled_ms < self.started_ms]
        if self.link in older_links:
            self.link = None
        return older_links

    def is_needed(self) -> bool:
        """Whether a connection is to be kept to it: it is listed, or calls stand there."""
        return not self.removed or bool(self.port and self.calls.any_stand())

    def note_received(self) -> None:
        """A message came from the lab hub, on any connection, or a connection to it is up."""
        with self.changed:
            now = now_ms()
            if now - self.last_received_ms > MIN_RESTART_MS:
                self.last_return_ms = now
            self.last_received_ms, self.declared_failed = now, False

    def may_have_restarted_since(self, time_ms: float, now: float) -> bool:
        """Whether the lab hub has been silent on all connections for long enough after that time."""
        is_silent = now - self.last_received_ms > MIN_RESTART_MS
        last_silent_ms = now if is_silent else self.last_return_ms
        return last_silent_ms - time_ms > MIN_RESTART_MS

    def take_queued(self) -> list[Attempt]:
        """Empties the queue of set-ups and returns it. The caller holds the lock."""
        queued, self.queued = self.queued, []
        return queued

    def take_unwritten(self) -> list[Attempt]:
        """Withdraws the set-ups that wait behind a lab hub that does not read. The caller holds the lock."""
        unwritten = []
        for link, attempts in self.pending.items():
            for call in list(attempts):
                if link.withdraw(call):
                    unwritten.append(attempts.pop(call))
        return unwritten

    def note_cancelled(self, call_id: str, link: HubLink) -> None:
        """Remembers a set-up that was written and given up. The caller holds the lock."""
        self.cancelled_calls[call_id] = CancelledSetUp(link.number, now_ms())
        if len(self.cancelled_calls) > MAX_CANCELLED_CALLS:
            self.cancelled_calls.pop(next(iter(self.cancelled_calls)))

    def lost_answers(self, connection: int, now: float) -> list[str]:
        """The cancelled set-ups of a lost connection whose answer it may have carried."""
        return [
            call_id
            for call_id, cancelled in self.cancelled_calls.items()
            if cancelled.connection == connection and now - cancelled.cancelled_ms < CROSSING_ANSWER_MS
        ]

    def has_call(self, call_id: str) -> bool:
        """Whether the call is established or pending at this lab hub. The caller holds the lock."""
        return self.calls.stands(call_id) or any(call_id in calls for calls in self.pending.values())
