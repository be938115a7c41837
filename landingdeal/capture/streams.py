"""TCP segments put in order, as somebody who looks on sees them. Decisions and state, by the capture's clock.

One direction of a connection is a `Stream`. What is missing is given up only when it can't come any more: the
other side has acknowledged it and `GRACE_NS` have passed, or the window of segments is full. Of bytes that
come twice and differ the first are kept, and the conflict is told.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from landingdeal.capture.layers import Address, TcpSegment

MAX_STREAMS = 4096  # directions followed at once; the one idle longest goes first
MAX_BUFFERED_SEGMENTS = 256  # segments of one direction that wait for one that is missing
MAX_BUFFERED_BYTES = 1024 * 1024
DELIVERED_TAIL_BYTES = 8 * 1024  # bytes given out that are kept, to tell a repeat from a conflict
ACKED_GAP_TIMEOUT_NS = 200 * 10**6  # packets of a capture may lie in another order than they passed
MIDSTREAM_START_DELAY_NS = (
    100 * 10**6
)  # at a direction whose start was not captured, for earlier segments that lie later
HALF_SEQUENCE_SPACE = 1 << 31


def sequence_distance(a: int, b: int) -> int:
    """How far `a` lies after `b`, modulo 2^32; negative if before (RFC 793 3.3)."""
    return (a - b + HALF_SEQUENCE_SPACE) % (1 << 32) - HALF_SEQUENCE_SPACE


@dataclass(frozen=True, slots=True)
class StreamData:
    """The next bytes of a direction, at the time of their segment. `gap`: so many before them are missing."""

    data: bytes
    time_ns: int
    position: tuple[int, int]
    gap: int = 0


@dataclass(frozen=True, slots=True)
class OverlapConflict:
    at: int  # bytes from the start of what is known of the direction
    size: int
    position: tuple[int, int]


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """No more bytes of this direction follow: FIN, RST, or another connection on the same pair of ports."""

    how: str
    time_ns: int
    position: tuple[int, int]


StreamEvent = StreamData | OverlapConflict | StreamEnded


@dataclass(frozen=True, slots=True)
class _BufferedSegment:
    seq: int
    data: bytes
    time_ns: int
    position: tuple[int, int]


class TcpStream:
    __slots__ = (
        "next", "ahead", "ahead_size", "tail", "started", "began_ns", "isn", "fin", "acked", "acked_ns",
        "given",
    )  # fmt: skip

    def __init__(self, now_ns: int) -> None:
        self.next = 0  # the sequence number of the next byte to be given out
        self.ahead: list[_BufferedSegment] = []
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


class TcpReassembler:
    """`feed` tells what one segment brings, for its own direction or for the one that it acknowledges."""

    def __init__(self) -> None:
        self.streams: OrderedDict[tuple[Address, Address], TcpStream] = OrderedDict()
        self.now_ns = 0

    def feed(
        self, segment: TcpSegment, time_ns: int, position: tuple[int, int]
    ) -> list[tuple[tuple[Address, Address], StreamEvent]]:
        self.now_ns = max(self.now_ns, time_ns)
        key = segment.source, segment.target
        out: list[tuple[tuple[Address, Address], StreamEvent]] = []
        stream = self.streams.get(key)
        if stream is not None and segment.syn and self._another(stream, segment):
            out += [(key, event) for event in self._finish(stream, "another connection", time_ns, position)]
            del self.streams[key]
            stream = None
        if stream is None:
            if segment.rst or not (segment.payload or segment.syn):
                return out + self._acknowledge(segment)
            stream = self.streams[key] = TcpStream(self.now_ns)
        self.streams.move_to_end(key)
        out += [(key, event) for event in self._take(stream, segment, time_ns, position)]
        if segment.rst or self._over(stream):
            how = "RST" if segment.rst else "FIN"
            out += [(key, event) for event in self._finish(stream, how, time_ns, position)]
            del self.streams[key]
        out += self._acknowledge(segment)
        while len(self.streams) > MAX_STREAMS:  # guards the memory against a capture of very many
            old, idle = self.streams.popitem(last=False)
            out += [(old, event) for event in self._finish(idle, "idle", self.now_ns, position)]
        return out

    def end(self, position: tuple[int, int]) -> list[tuple[tuple[Address, Address], StreamEvent]]:
        """The capture is over."""
        out = []
        for key, stream in self.streams.items():
            out += [(key, event) for event in self._finish(stream, "the capture ends", self.now_ns, position)]
        self.streams.clear()
        return out

    # --- one direction ---

    @staticmethod
    def _another(stream: TcpStream, segment: TcpSegment) -> bool:
        """Whether a SYN begins a new connection on a pair of ports that was used before."""
        if stream.isn is not None:
            return segment.seq != stream.isn
        if not stream.started:
            return False  # it lies late in the capture: what is held is of the same connection
        # of a connection whose first bytes were given out already, if it lies right before them
        first = (stream.next - stream.given) % (1 << 32)
        return not 0 <= sequence_distance(first, segment.seq + 1) < MAX_BUFFERED_BYTES

    def _take(
        self, stream: TcpStream, segment: TcpSegment, time_ns: int, position: tuple[int, int]
    ) -> list[StreamEvent]:
        seq = (segment.seq + segment.syn) % (1 << 32)
        if segment.syn and stream.isn is None:
            stream.isn = segment.seq
            if not stream.started:
                stream.start(seq)
        if segment.fin:
            stream.fin = (seq + len(segment.payload)) % (1 << 32), time_ns, position
        if segment.payload:
            stream.ahead.append(_BufferedSegment(seq, segment.payload, time_ns, position))
            stream.ahead_size += len(segment.payload)
        elif segment.fin and not stream.started and not stream.ahead:
            stream.start(seq)
        if not stream.started and (
            self.now_ns - stream.began_ns >= MIDSTREAM_START_DELAY_NS
            or len(stream.ahead) >= MAX_BUFFERED_SEGMENTS
            or segment.rst
        ):
            self._settle(stream)
        return self._give(stream) if stream.started else []

    @staticmethod
    def _settle(stream: TcpStream) -> None:
        """Nobody saw it begin: the earliest segment counts as the start."""
        if stream.ahead:
            base = stream.ahead[0].seq
            stream.start((base + min(sequence_distance(held.seq, base) for held in stream.ahead)) % (1 << 32))

    def _give(self, stream: TcpStream) -> list[StreamEvent]:
        """What is next, and then what follows it; over a gap where that is given up."""
        out: list[StreamEvent] = []
        while True:
            progress = True
            while progress:
                progress = False
                for held in sorted(stream.ahead, key=lambda one: sequence_distance(one.seq, stream.next)):
                    if sequence_distance(held.seq, stream.next) > 0:
                        break
                    stream.ahead.remove(held)
                    stream.ahead_size -= len(held.data)
                    self._one(stream, held, 0, out)
                    progress = True
            if not stream.ahead or not self._given_up(stream):
                return out
            first = min(stream.ahead, key=lambda one: sequence_distance(one.seq, stream.next))
            missing = sequence_distance(first.seq, stream.next)
            stream.next = first.seq
            stream.given += missing
            stream.tail = b""
            stream.ahead.remove(first)
            stream.ahead_size -= len(first.data)
            self._one(stream, first, missing, out)

    @staticmethod
    def _one(stream: TcpStream, held: _BufferedSegment, gap: int, out: list[StreamEvent]) -> None:
        behind = sequence_distance(stream.next, held.seq)
        repeated, fresh = held.data[:behind], held.data[behind:]
        if repeated and stream.tail:
            # only as much of it as is still kept
            known = stream.tail[max(len(stream.tail) - behind, 0) :][: len(repeated) or None]
            offset = max(behind - len(stream.tail), 0)
            told = repeated[offset : offset + len(known)]
            known = known[: len(told)]
            if told != known:
                out.append(OverlapConflict(max(stream.given - behind, 0), len(told), held.position))
        if fresh:
            stream.next = (stream.next + len(fresh)) % (1 << 32)
            stream.given += len(fresh)
            stream.tail = (stream.tail + fresh)[-DELIVERED_TAIL_BYTES:]
            out.append(StreamData(fresh, held.time_ns, held.position, gap))

    def _given_up(self, stream: TcpStream) -> bool:
        """Whether what is missing before the segments held can't come any more."""
        if len(stream.ahead) >= MAX_BUFFERED_SEGMENTS or stream.ahead_size >= MAX_BUFFERED_BYTES:
            return True
        if stream.acked is None or sequence_distance(stream.acked, stream.next) <= 0:
            return False
        return self.now_ns - stream.acked_ns >= ACKED_GAP_TIMEOUT_NS

    @staticmethod
    def _over(stream: TcpStream) -> bool:
        return (
            stream.fin is not None and stream.started and sequence_distance(stream.fin[0], stream.next) <= 0
        )

    def _finish(
        self, stream: TcpStream, how: str, time_ns: int, position: tuple[int, int]
    ) -> list[StreamEvent]:
        """Gives out what is held, over any gap."""
        if not stream.started:
            self._settle(stream)
        out: list[StreamEvent] = self._give(stream) if stream.started else []
        while stream.ahead:
            stream.acked, stream.acked_ns = (stream.next + 1) % (1 << 32), self.now_ns - ACKED_GAP_TIMEOUT_NS
            out += self._give(stream)
        out.append(StreamEnded(how, time_ns, position))
        return out

    # --- acknowledgements ---

    def _acknowledge(self, segment: TcpSegment) -> list[tuple[tuple[Address, Address], StreamEvent]]:
        """This segment acknowledges bytes of the other direction."""
        key = segment.target, segment.source
        stream = self.streams.get(key)
        if stream is None or segment.ack < 0:
            return []
        if stream.acked is None or sequence_distance(segment.ack, stream.acked) > 0:
            stream.acked, stream.acked_ns = segment.ack, self.now_ns
        if not stream.started and self.now_ns - stream.began_ns >= MIDSTREAM_START_DELAY_NS:
            self._settle(stream)
        return [(key, event) for event in self._give(stream)] if stream.started and stream.ahead else []
