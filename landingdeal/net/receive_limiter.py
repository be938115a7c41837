"""How much one peer may ask for: a token bucket for each connection or datagram source, in units of work."""

from __future__ import annotations

import threading
from collections import OrderedDict

from landingdeal.sip.message import MalformedMessage, Message

UNITS_PER_S = 1000.0
BURST_UNITS = 1000.0
SET_UP_UNITS = 5.0  # an INVITE causes messages on both sides
MESSAGE_UNITS = 1.0  # any other message
MIN_PAUSE_MS = 5.0  # a shorter one is put off until it has grown to this
MAX_SOURCES = 4096  # of datagrams that are told apart; the longest silent one is forgotten


def units_of(message: Message | MalformedMessage) -> float:
    """The work that a received message causes."""
    is_set_up = isinstance(message, Message) and message.method == "INVITE"
    return SET_UP_UNITS if is_set_up else MESSAGE_UNITS


def units_of_datagram(data: bytes) -> float:
    """The same for a datagram that is not decoded yet."""
    return SET_UP_UNITS if data.startswith(b"INVITE ") else MESSAGE_UNITS


class ReceiveLimiter:
    """A token bucket: `UNITS_PER_S` units a second, bursts of `BURST_UNITS`. Used by one thread."""

    __slots__ = ("tokens", "filled_ms")

    def __init__(self, now: float) -> None:
        self.tokens, self.filled_ms = BURST_UNITS, now

    def _refill(self, now: float) -> None:
        gained = max(now - self.filled_ms, 0.0) / 1000 * UNITS_PER_S
        self.tokens, self.filled_ms = min(self.tokens + gained, BURST_UNITS), now

    def pause_ms(self, units: float, now: float) -> float:
        """Takes the units; returns how long the peer's next message has to wait, 0 for not at all."""
        self._refill(now)
        self.tokens -= units
        pause_ms = -self.tokens / UNITS_PER_S * 1000
        return pause_ms if pause_ms >= MIN_PAUSE_MS else 0.0

    def admit(self, units: float, now: float) -> bool:
        """Takes the units if they are there; otherwise the message is to be dropped."""
        self._refill(now)
        if self.tokens < units:
            return False
        self.tokens -= units
        return True


class DatagramSources:
    """A limiter for each source of datagrams, and one for all sources that are new.

    Sources can be invented at will: all that have sent nothing before share what one known source may use.
    Addresses in `trusted` are not limited.
    """

    def __init__(self, now: float, trusted: frozenset[tuple[str, int]] = frozenset()) -> None:
        self.trusted = trusted
        self.newcomers = ReceiveLimiter(now)
        self.known: OrderedDict[tuple[str, int], ReceiveLimiter] = OrderedDict()
        self._lock = threading.Lock()

    def admit(self, source: tuple[str, int], data: bytes, now: float) -> bool:
        """Whether a datagram from there is to be handled."""
        if source in self.trusted:
            return True
        units = units_of_datagram(data)
        with self._lock:
            limiter = self.known.get(source)
            if limiter is not None:
                self.known.move_to_end(source)
                return limiter.admit(units, now)
            if not self.newcomers.admit(units, now):
                return False
            self.known[source] = ReceiveLimiter(now)
            if len(self.known) > MAX_SOURCES:
                self.known.popitem(last=False)
            return True
