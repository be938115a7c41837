"""Who owns a message that waits to be sent, and who may withdraw it.

The sender of a message owns it until a writer claims it. It may wait in the queue of a connection that is
being established, then in the send queue of that connection; its `PendingSend` goes with it through both.
Exactly one of `claim`, by the thread that is about to write the first byte, and `withdraw`, by the owner once
the reason for sending it is gone, succeeds: the owner knows whether the peer may receive the message.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum


class PendingSendState(Enum):
    """WAITING -> CLAIMED or WITHDRAWN; both are final."""

    WAITING = "waiting"
    CLAIMED = "claimed"
    WITHDRAWN = "withdrawn"


class PendingSend:
    """The state of one message between its sender and the thread that writes it."""

    __slots__ = ("_state", "_lock", "_wanted")

    def __init__(self, wanted: Callable[[], bool] = lambda: True) -> None:
        """`wanted` is asked right before the message is written; on False it is withdrawn."""
        self._state, self._lock, self._wanted = PendingSendState.WAITING, threading.Lock(), wanted

    def _transition(self, target: PendingSendState) -> bool:
        with self._lock:
            if self._state is not PendingSendState.WAITING:
                return False
            self._state = target
            return True

    def claim(self) -> bool:
        """Called by the writer right before it writes; False if the message was withdrawn."""
        if not self._wanted():
            self.withdraw()
        return self._transition(PendingSendState.CLAIMED)

    def withdraw(self) -> bool:
        """Called by the owner; True if the message will never be sent, False if it is being or was sent.

        Only one call succeeds.
        """
        return self._transition(PendingSendState.WITHDRAWN)

    def ensure_withdrawn(self) -> bool:
        """Withdraws the message if nobody has; whether it will never be sent, now or by an earlier call."""
        return self.withdraw() or self.withdrawn

    @property
    def waiting(self) -> bool:
        """Whether the message is neither claimed nor withdrawn."""
        return self._state is PendingSendState.WAITING

    @property
    def withdrawn(self) -> bool:
        """Whether the message will never be sent."""
        return self._state is PendingSendState.WITHDRAWN
