"""Our own releases (BYE) towards one lab hub: queued, sent, and confirmed or sent again.

A release that was written to a connection which ended may not have been received, and the call would stand at
the lab hub. It is sent again on the next connection, for the time of a non-INVITE transaction (RFC 3261,
17.1.2.2: 64 T1). A response confirms it. The lab hub ignores a release of a call that it does not have.

There is no I/O and no clock here. The lock of the `Hub` protects it.
"""

from __future__ import annotations

from dataclasses import dataclass

RETRANSMISSION_TIME_MS = 32_000.0  # 64 T1, T1 being 500 ms
MAX_RELEASES = 2000  # queued and unconfirmed, each; the oldest unconfirmed ones are dropped


@dataclass(frozen=True, slots=True)
class SentRelease:
    """A release that was handed to a connection and is not confirmed."""

    connection: int
    requested_ms: float


@dataclass(frozen=True, slots=True)
class QueuedRelease:
    """A release that waits for a connection, and for its time."""

    requested_ms: float
    not_before_ms: float


class OutgoingReleases:
    """The releases that one lab hub has still to receive, by call."""

    def __init__(self) -> None:
        self._queued: dict[str, QueuedRelease] = {}
        self._sent: dict[str, SentRelease] = {}
        self._dropped_count = 0

    def queue(self, call_id: str, requested_ms: float, not_before_ms: float = 0.0) -> None:
        """Keeps a release until there is a connection, and at least until `not_before_ms`.

        Without room it is dropped and counted.
        """
        if len(self._queued) >= MAX_RELEASES:
            self._dropped_count += 1
            return
        self._queued[call_id] = QueuedRelease(requested_ms, not_before_ms)

    def take_dropped_count(self) -> int:
        """How many releases were dropped since the last call; their calls may stand on at the lab hub."""
        count, self._dropped_count = self._dropped_count, 0
        return count

    def take_due(self, now: float) -> dict[str, float]:
        """Takes the releases that are due; returns their calls and when each was requested."""
        due = {
            call_id: queued.requested_ms
            for call_id, queued in self._queued.items()
            if queued.not_before_ms <= now
        }
        for call_id in due:
            del self._queued[call_id]
        return due

    def sent(self, call_id: str, connection: int, requested_ms: float) -> None:
        """The release was handed to this connection."""
        self._sent[call_id] = SentRelease(connection, requested_ms)
        if len(self._sent) > MAX_RELEASES:
            self._sent.pop(next(iter(self._sent)))
            self._dropped_count += 1

    def confirmed(self, call_id: str) -> None:
        """The lab hub has responded, has released the call itself, or gets its set-up again."""
        self._sent.pop(call_id, None)

    def connection_lost(self, connection: int, now: float) -> None:
        """Queues again what was handed to a connection that has ended or is given up."""
        lost = {call_id: sent for call_id, sent in self._sent.items() if sent.connection == connection}
        for call_id, sent in lost.items():
            del self._sent[call_id]
            if now - sent.requested_ms < RETRANSMISSION_TIME_MS:
                self.queue(call_id, sent.requested_ms)
