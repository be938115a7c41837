"""TCP segments put in order, as somebody who looks on sees them. Decisions and state, by the capture's clock.

One direction of a connection is a `Stream`. What is missing is given up only when it can't come any more: the
other side has acknowledged it and `GRACE_NS` have passed, or the window of segments is full. Of bytes that
come twice and differ the first are kept, and the conflict is told.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from landingdeal.capture.layers import Address, Segment

STREAMS_MOST = 4096  # directions followed at once; the one idle longest goes first
AHEAD_MOST = 256  # segments of one direction that wait for one that is missing
AHEAD_BYTES = 1024 * 1024
TAIL = 8 * 1024  # bytes given out that are kept, to tell a repeat from a conflict
GRACE_NS = 200 * 10**6  # packets of a capture may lie in another order than they passed
SETTLE_NS = 100 * 10**6  # at a direction whose start was not captured, for earlier segments that lie later
HALF = 1 << 31


def after(a: int, b: int) -> int:
    """How far `a` lies after `b`, modulo 2^32; negative if before (RFC 793 3.3)."""
    return (a - b + HALF) % (1 << 32) - HALF


@dataclass(frozen=True, slots=True)
class Bytes:
    """The next bytes of a direction, at the time of their segment. `gap`: so many before them are missing."""

    data: bytes
    time_ns: int
    place: tuple[int, int]
    gap: int = 0


@dataclass(frozen=True, slots=True)
class Conflict:
    at: int  # bytes from the start of what is known of the direction
    size: int
    place: tuple[int, int]


@dataclass(frozen=True, slots=True)
class Ended:
    """No more bytes of this direction follow: FIN, RST, or another connection on the same pair of ports."""

    how: str
    time_ns: int
    place: tuple[int, int]


Event = Bytes | Conflict | Ended


@dataclass(frozen=True, slots=True)
class _Held:
    seq: int
    data: bytes
    time_ns: int
    place: tuple[int, int]


class Stream:
    __slots__ = (
        "next", "ahead", "ahead_size", "tail", "started", "began_ns", "isn", "fin", "acked", "acked_ns",
        "given",
    )  # fmt: skip

    def __init__(self, now_ns: int) -> None:
        self.next = 0  # the sequence number of the next byte to be given out
        self.ahead: list[_Held] = []
        self.ahead_size = 0
        self.tail = b""
        self.started = False  # `next` is known
        self.began_ns = now_ns
        self.isn: int | None = None
        self.fin: tuple[int, int, tuple[int, int]] | None = None  # seq after the last byte, time, place
        self.acked: int | None = None  # the highest acknowledgement of the other side
        self.acked_ns = 0
        self.given = 0

    def start(self, seq: int) -> None:
        self.next, self.started = seq, True


class Streams:
    """`feed` tells what one segment brings, for its own direction or for the one that it acknowledges."""

    def __init__(self) -> None:
        self.streams: OrderedDict[tuple[Address, Address], Stream] = OrderedDict()
        self.now_ns = 0

    def feed(
        self, segment: Segment, time_ns: int, place: tuple[int, int]
    ) -> list[tuple[tuple[Address, Address], Event]]:
        self.now_ns = max(self.now_ns, time_ns)
        key = segment.source, segment.target
        out: list[tuple[tuple[Address, Address], Event]] = []
        stream = self.streams.get(key)
        if stream is not None and segment.syn and self._another(stream, segment):
            out += [(key, event) for event in self._finish(stream, "another connection", time_ns, place)]
            del self.streams[key]
            stream = None
        if stream is None:
            if segment.rst or not (segment.payload or segment.syn):
                return out + self._acknowledge(segment)
            stream = self.streams[key] = Stream(self.now_ns)
        self.streams.move_to_end(key)
        out += [(key, event) for event in self._take(stream, segment, time_ns, place)]
        if segment.rst or self._over(stream):
            how = "RST" if segment.rst else "FIN"
            out += [(key, event) for event in self._finish(stream, how, time_ns, place)]
            del self.streams[key]
        out += self._acknowledge(segment)
        while len(self.streams) > STREAMS_MOST:  # guards the memory against a capture of very many
            old, idle = self.streams.popitem(last=False)
            out += [(old, event) for event in self._finish(idle, "idle", self.now_ns, place)]
        return out

    def end(self, place: tuple[int, int]) -> list[tuple[tuple[Address, Address], Event]]:
        """The capture is over."""
        out = []
        for key, stream in self.streams.items():
            out += [(key, event) for event in self._finish(stream, "the capture ends", self.now_ns, place)]
        self.streams.clear()
        return out

    # --- one direction ---

    @staticmethod
    def _another(stream: Stream, segment: Segment) -> bool:
        """Whether a SYN begins a new connection on a pair of ports that was used before."""
        if stream.isn is not None:
            return segment.seq != stream.isn
        if not stream.started:
            return False  # it lies late in the capture: what is held is of the same connection
        # of a connection whose first bytes were given out already, if it lies right before them
        first = (stream.next - stream.given) % (1 << 32)
        return not 0 <= after(first, segment.seq + 1) < AHEAD_BYTES

    def _take(self, stream: Stream, segment: Segment, time_ns: int, place: tuple[int, int]) -> list[Event]:
        seq = (segment.seq + segment.syn) % (1 << 32)
        if segment.syn and stream.isn is None:
            stream.isn = segment.seq
            if not stream.started:
                stream.start(seq)
        if segment.fin:
            stream.fin = (seq + len(segment.payload)) % (1 << 32), time_ns, place
        if segment.payload:
            stream.ahead.append(_Held(seq, segment.payload, time_ns, place))
            stream.ahead_size += len(segment.payload)
        elif segment.fin and not stream.started and not stream.ahead:
            stream.start(seq)
        if not stream.started and (
            self.now_ns - stream.began_ns >= SETTLE_NS or len(stream.ahead) >= AHEAD_MOST or segment.rst
        ):
            self._settle(stream)
        return self._give(stream) if stream.started else []

    @staticmethod
    def _settle(stream: Stream) -> None:
        """Nobody saw it begin: the earliest segment counts as the start."""
        if stream.ahead:
            base = stream.ahead[0].seq
            stream.start((base + min(after(held.seq, base) for held in stream.ahead)) % (1 << 32))

    def _give(self, stream: Stream) -> list[Event]:
        """What is next, and then what follows it; over a gap where that is given up."""
        out: list[Event] = []
        while True:
            progress = True
            while progress:
                progress = False
                for held in sorted(stream.ahead, key=lambda one: after(one.seq, stream.next)):
                    if after(held.seq, stream.next) > 0:
                        break
                    stream.ahead.remove(held)
                    stream.ahead_size -= len(held.data)
                    self._one(stream, held, 0, out)
                    progress = True
            if not stream.ahead or not self._given_up(stream):
                return out
            first = min(stream.ahead, key=lambda one: after(one.seq, stream.next))
            missing = after(first.seq, stream.next)
            stream.next = first.seq
            stream.given += missing
            stream.tail = b""
            stream.ahead.remove(first)
            stream.ahead_size -= len(first.data)
            self._one(stream, first, missing, out)

    @staticmethod
    def _one(stream: Stream, held: _Held, gap: int, out: list[Event]) -> None:
        behind = after(stream.next, held.seq)
        repeated, fresh = held.data[:behind], held.data[behind:]
        if repeated and stream.tail:
            # only as much of it as is still kept
            known = stream.tail[max(len(stream.tail) - behind, 0) :][: len(repeated) or None]
            offset = max(behind - len(stream.tail), 0)
            told = repeated[offset : offset + len(known)]
            known = known[: len(told)]
            if told != known:
                out.append(Conflict(max(stream.given - behind, 0), len(told), held.place))
        if fresh:
            stream.next = (stream.next + len(fresh)) % (1 << 32)
            stream.given += len(fresh)
            stream.tail = (stream.tail + fresh)[-TAIL:]
            out.append(Bytes(fresh, held.time_ns, held.place, gap))

    def _given_up(self, stream: Stream) -> bool:
        """Whether what is missing before the segments held can't come any more."""
        if len(stream.ahead) >= AHEAD_MOST or stream.ahead_size >= AHEAD_BYTES:
            return True
        if stream.acked is None or after(stream.acked, stream.next) <= 0:
            return False
        return self.now_ns - stream.acked_ns >= GRACE_NS

    @staticmethod
    def _over(stream: Stream) -> bool:
        return stream.fin is not None and stream.started and after(stream.fin[0], stream.next) <= 0

    def _finish(self, stream: Stream, how: str, time_ns: int, place: tuple[int, int]) -> list[Event]:
        """Gives out what is held, over any gap."""
        if not stream.started:
            self._settle(stream)
        out: list[Event] = self._give(stream) if stream.started else []
        while stream.ahead:
            stream.acked, stream.acked_ns = (stream.next + 1) % (1 << 32), self.now_ns - GRACE_NS
            out += self._give(stream)
        out.append(Ended(how, time_ns, place))
        return out

    # --- acknowledgements ---

    def _acknowledge(self, segment: Segment) -> list[tuple[tuple[Address, Address], Event]]:
        """This segment acknowledges bytes of the other direction."""
        key = segment.target, segment.source
        stream = self.streams.get(key)
        if stream is None or segment.ack < 0:
            return []
        if stream.acked is None or after(segment.ack, stream.acked) > 0:
            stream.acked, stream.acked_ns = segment.ack, self.now_ns
        if not stream.started and self.now_ns - stream.began_ns >= SETTLE_NS:
            self._settle(stream)
        return [(key, event) for event in self._give(stream)] if stream.started and stream.ahead else []
