"""The calls that stand at one lab hub, and which of their releases a lost connection may have carried.

A lab hub sends the release of a call on the connection of its set-up, otherwise on any open one, and repeats
it only on the next connection that is opened. What it writes to a connection that has ended here without an
orderly close, or that passes nothing on, is not received, and it may go on writing there: it need not see the
end. The calls whose release can go that way are in doubt. They are settled by opening further connections, on
each of which the lab hub repeats what it has released since the one before; none of them is released unasked.

There is no I/O and no clock here. The lock of the `Hub` protects it. Connections are known by their numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# From one connection to the next while calls are in doubt; the last one repeats. Callers must be notified
# within 1 s of a release that was sent: the first ones allow for that while the end of a connection is being
# noticed. The last one allows, with a connect that fails twice, for the 8 s from an end whose release could
# not be sent (PROTOCOL, "The rules on sockets").
RECOVERY_INTERVALS_MS = (500.0, 700.0, 700.0, 700.0, 2000.0, 4000.0)
# At the most, while a connection is open and silent: the lab hub goes on sending releases there.
SILENT_RECOVERY_INTERVAL_MS = 700.0
RECOVERY_RETRY_MS = 1000.0  # after a connect that failed
# The lab hub sees the end of a connection later than this side: what it released until then is repeated only
# on a connection opened after so long.
END_NOTICE_MS = 500.0


class ConnectionEnd(Enum):
    """How a connection to a lab hub has ended."""

    CLOSED_BY_HUB = "closed by the hub"  # all that the lab hub wrote there was read
    ENDED_BY_HUB = "ended by the hub"  # some of what it wrote may be lost, it writes no more
    LOST = "lost"  # the lab hub may go on writing there


@dataclass(slots=True)
class UnsettledConnection:
    """A connection that may have carried releases which were not received."""

    ended_ms: float = float("inf")  # until then it is open and silent
    end: ConnectionEnd = ConnectionEnd.LOST
    followed: bool = False  # a connection was opened after the lab hub must have seen the end

    @property
    def is_open(self) -> bool:
        """Whether it has not ended: it is silent."""
        return self.ended_ms == float("inf")


class HubCalls:
    """The established calls of one lab hub by the connection of their set-up; when to recover releases."""

    def __init__(self) -> None:
        self._connections: dict[str, int] = {}  # of the set-up, by call
        self._open: set[int] = set()
        self._opened_for_recovery: set[int] = set()
        self._unsettled: dict[int, UnsettledConnection] = {}
        self._recovery_count = 0  # connections opened since the last loss of another one
        self._recovery_due_ms = 0.0

    # --- calls ---

    def call_established(self, call_id: str, connection: int) -> None:
        """The lab hub has accepted a call on this connection."""
        self._connections[call_id] = connection

    def call_ended(self, call_id: str) -> None:
        """The call is over: released by either side, or no longer tracked."""
        self._connections.pop(call_id, None)

    def stands(self, call_id: str) -> bool:
        """Whether the call is established at this lab hub."""
        return call_id in self._connections

    def any_stand(self) -> bool:
        """Whether any call is established at this lab hub."""
        return bool(self._connections)

    def has_calls(self, connection: int) -> bool:
        """Whether calls stand that were set up on this connection."""
        return connection in self._connections.values()

    def connection_of(self, call_id: str) -> int | None:
        """The number of the connection on which the call was established; None if it does not stand."""
        return self._connections.get(call_id)

    def in_doubt(self) -> list[str]:
        """The calls whose release can be written to a connection on which it is not received."""
        if not self._unsettled:
            return []
        return [call_id for call_id, number in self._connections.items() if not self._is_sound(number)]

    def has_sound_connection(self) -> bool:
        """Whether a connection is open that passes messages on, as far as can be seen."""
        return any(self._is_sound(connection) for connection in self._open)

    def _is_sound(self, connection: int) -> bool:
        return connection in self._open and connection not in self._unsettled

    # --- connections ---

    def connection_opened(self, connection: int, dialled_ms: float) -> None:
        """A connection is up whose dialling began then: the lab hub repeats releases on it."""
        self._open.add(connection)
        for unsettled in self._unsettled.values():
            unsettled.followed = unsettled.followed or dialled_ms >= unsettled.ended_ms + END_NOTICE_MS
        if self._unsettled:
            self._recovery_due_ms = dialled_ms + self._recovery_interval_ms()
            self._recovery_count += 1

    def recovery_opened(self, connection: int, dialled_ms: float) -> None:
        """A connection is up that was opened only so that the lab hub repeats releases on it."""
        self._opened_for_recovery.add(connection)
        self.connection_opened(connection, dialled_ms)

    def connection_silent(self, connection: int, now: float) -> None:
        """The connection is open but passes nothing on, as far as can be seen."""
        if connection in self._open and connection not in self._unsettled:
            self._add_unsettled(connection, UnsettledConnection(), now)

    def connection_heard(self, connection: int) -> None:
        """A message came on the connection: what the lab hub wrote there arrives."""
        if connection in self._open:
            self._unsettled.pop(connection, None)

    def connection_ended(self, connection: int, now: float, end: ConnectionEnd) -> None:
        """The connection has ended.

        A close at the end of a silence does not show that all was read: what stands between may have
        closed it.
        """
        self._open.discard(connection)
        if connection in self._unsettled or self._may_lose_releases(connection, end):
            self._add_unsettled(connection, UnsettledConnection(now, end), now)
        self._opened_for_recovery.discard(connection)

    def _may_lose_releases(self, connection: int, end: ConnectionEnd) -> bool:
        if end is ConnectionEnd.ENDED_BY_HUB:
            return self.has_calls(connection)
        return end is ConnectionEnd.LOST

    def _add_unsettled(self, connection: int, unsettled: UnsettledConnection, now: float) -> None:
        due_ms = now + RECOVERY_INTERVALS_MS[0]
        if not self._unsettled:
            self._recovery_count, self._recovery_due_ms = 0, due_ms
        elif connection not in self._opened_for_recovery:
            self._recovery_count, self._recovery_due_ms = 0, min(self._recovery_due_ms, due_ms)
        self._unsettled[connection] = unsettled

    # --- recovery ---

    def _recovery_interval_ms(self) -> float:
        """From the connection that was just opened to the next one."""
        interval_ms = RECOVERY_INTERVALS_MS[min(self._recovery_count, len(RECOVERY_INTERVALS_MS) - 1)]
        if any(unsettled.is_open for unsettled in self._unsettled.values()):
            return min(interval_ms, SILENT_RECOVERY_INTERVAL_MS)
        return interval_ms

    def recovery_failed(self, now: float) -> None:
        """A further connection could not be opened."""
        self._recovery_due_ms = now + RECOVERY_RETRY_MS

    def recovery_due(self, now: float) -> bool:
        """Whether a further connection is to be opened now."""
        if not self._unsettled or now < self._recovery_due_ms:
            return False
        self._drop_settled()
        must_follow = any(not u.followed for u in self._unsettled.values() if u.ended_ms < now)
        return must_follow or bool(self.in_doubt())

    def _drop_settled(self) -> None:
        """Forgets ended connections that were followed by another and can carry no further release."""
        in_doubt = bool(self.in_doubt())
        self._unsettled = {
            number: unsettled
            for number, unsettled in self._unsettled.items()
            if not unsettled.followed or (in_doubt and unsettled.end is ConnectionEnd.LOST)
        }
