"""Reassembles TCP streams from captured segments, as a passive observer. No I/O; time is that of the packets.

Each direction of a connection is a `TcpStream`. A gap is abandoned only when the missing bytes can no longer
arrive: the receiver has acknowledged them and `ACKED_GAP_TIMEOUT_NS` have passed, or the buffer of
out-of-order segments is full. If a retransmission differs from the first copy, the first copy is kept and
an `OverlapConflict` is reported.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from landingdeal.capture.layers import Address, TcpSegment

MAX_STREAMS = 4096  # directions tracked at once; the one idle longest is dropped first
MAX_BUFFERED_SEGMENTS = 256  # out-of-order segments of one direction
MAX_BUFFERED_BYTES = 1024 * 1024
DELIVERED_TAIL_BYTES = 8 * 1024  # delivered bytes kept to compare retransmissions with
ACKED_GAP_TIMEOUT_NS = 200 * 10**6  # packets may be out of order in the capture
MIDSTREAM_START_DELAY_NS = 100 * 10**6  # wait for earlier segments if the SYN was not captured
HALF_SEQUENCE_SPACE = 1 << 31


def sequence_distance(seq: int, base: int) -> int:
    """How far `seq` is after `base`, modulo 2^32; negative if before (RFC 793, 3.3)."""
    return (seq - base + HALF_SEQUENCE_SPACE) % (1 << 32) - HALF_SEQUENCE_SPACE


@dataclass(frozen=True, slots=True)
class StreamData:
    """The next bytes of a direction, with the time of their segment; `gap` bytes before them are missing."""

    data: bytes
    time_ns: int
    position: tuple[int, int]
    gap: int = 0


@dataclass(frozen=True, slots=True)
class OverlapConflict:
    """A retransmission whose bytes differ from the first copy."""

    stream_offset: int  # from the first captured byte of the direction
    differing_bytes: int
    position: tuple[int, int]


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The end of a direction: FIN, RST, a new connection on the same ports, or the end of tracking."""

    reason: str
    time_ns: int
    position: tuple[int, int]


StreamEvent = StreamData | OverlapConflict | StreamEnded


@dataclass(frozen=True, slots=True)
class _BufferedSegment:
    """A segment that has not been delivered, for instance because it is out of order."""

    seq: int
    data: bytes
    time_ns: int
    position: tuple[int, int]


class TcpStream:
    """Reassembly state of one direction of a connection."""

    __slots__ = (
        "next_seq", "buffered", "buffered_bytes", "delivered_tail", "started", "first_seen_ns", "isn",
        "fin_end", "acked_seq", "acked_ns", "delivered_bytes",
    )  # fmt: skip

    def __init__(self, now_ns: int) -> None:
        self.next_seq = 0  # sequence number of the next byte to deliver
        self.buffered: list[_BufferedSegment] = []
        self.buffered_bytes = 0
        self.delivered_tail = b""
        self.started = False  # `next_seq` is known
        self.first_seen_ns = now_ns
        self.isn: int | None = None
        self.fin_end: tuple[int, int, tuple[int, int]] | None = (
            None  # sequence number after the last byte, time, position
        )
        self.acked_seq: int | None = None  # highest acknowledgement from the receiver
        self.acked_ns = 0
        self.delivered_bytes = 0

    def start_at(self, seq: int) -> None:
        """Sets the sequence number of the first byte."""
        self.next_seq, self.started = seq, True


class TcpReassembler:
    """`feed` returns the events of one segment, in its own direction and in the one that it acknowledges."""

    def __init__(self) -> None:
        self.streams: OrderedDict[tuple[Address, Address], TcpStream] = OrderedDict()
        self.now_ns = 0

    def feed(
        self, segment: TcpSegment, time_ns: int, position: tuple[int, int]
    ) -> list[tuple[tuple[Address, Address], StreamEvent]]:
        self.now_ns = max(self.now_ns, time_ns)
        key = segment.source, segment.target
        events: list[tuple[tuple[Address, Address], StreamEvent]] = []
        stream = self.streams.get(key)
        if stream is not None and segment.syn and self._is_new_connection(stream, segment):
            events += [
                (key, event) for event in self._finish(stream, "another connection", time_ns, position)
            ]
            del self.streams[key]
            stream = None
        if stream is None:
            if segment.rst or not (segment.payload or segment.syn):
                return events + self._acknowledge(segment)
            stream = self.streams[key] = TcpStream(self.now_ns)
        self.streams.move_to_end(key)
        events += [(key, event) for event in self._add_segment(stream, segment, time_ns, position)]
        if segment.rst or self._is_finished(stream):
            reason = "RST" if segment.rst else "FIN"
            events += [(key, event) for event in self._finish(stream, reason, time_ns, position)]
            del self.streams[key]
        events += self._acknowledge(segment)
        while len(self.streams) > MAX_STREAMS:  # bounds memory for captures with very many connections
            idle_key, idle_stream = self.streams.popitem(last=False)
            events += [
                (idle_key, event) for event in self._finish(idle_stream, "idle", self.now_ns, position)
            ]
        return events

    def end(self, position: tuple[int, int]) -> list[tuple[tuple[Address, Address], StreamEvent]]:
        """Ends all directions at the end of the capture."""
        events = []
        for key, stream in self.streams.items():
            events += [
                (key, event) for event in self._finish(stream, "the capture ends", self.now_ns, position)
            ]
        self.streams.clear()
        return events

    # --- one direction ---

    @staticmethod
    def _is_new_connection(stream: TcpStream, segment: TcpSegment) -> bool:
        """Whether a SYN opens a new connection on a pair of ports that was used before."""
        if stream.isn is not None:
            return segment.seq != stream.isn
        if not stream.started:
            return False  # the SYN is late in the capture; the buffered segments belong to it
        # a late SYN of a connection that has delivered bytes lies right before the first of them
        first_seq = (stream.next_seq - stream.delivered_bytes) % (1 << 32)
        return not 0 <= sequence_distance(first_seq, segment.seq + 1) < MAX_BUFFERED_BYTES

    def _add_segment(
        self, stream: TcpStream, segment: TcpSegment, time_ns: int, position: tuple[int, int]
    ) -> list[StreamEvent]:
        seq = (segment.seq + segment.syn) % (1 << 32)
        if segment.syn and stream.isn is None:
            stream.isn = segment.seq
            if not stream.started:
                stream.start_at(seq)
        if segment.fin:
            stream.fin_end = (seq + len(segment.payload)) % (1 << 32), time_ns, position
        if segment.payload:
            stream.buffered.append(_BufferedSegment(seq, segment.payload, time_ns, position))
            stream.buffered_bytes += len(segment.payload)
        elif segment.fin and not stream.started and not stream.buffered:
            stream.start_at(seq)
        if not stream.started and (
            self.now_ns - stream.first_seen_ns >= MIDSTREAM_START_DELAY_NS
            or len(stream.buffered) >= MAX_BUFFERED_SEGMENTS
            or segment.rst
        ):
            self._start_at_earliest(stream)
        return self._deliver(stream) if stream.started else []

    @staticmethod
    def _start_at_earliest(stream: TcpStream) -> None:
        """Starts a direction without a captured SYN at its earliest segment."""
        if stream.buffered:
            base = stream.buffered[0].seq
            stream.start_at(
                (base + min(sequence_distance(segment.seq, base) for segment in stream.buffered)) % (1 << 32)
            )

    def _deliver(self, stream: TcpStream) -> list[StreamEvent]:
        """Delivers buffered segments in order, across a gap if it is abandoned."""
        events: list[StreamEvent] = []
        while True:
            progressed = True
            while progressed:
                progressed = False
                for segment in sorted(
                    stream.buffered, key=lambda candidate: sequence_distance(candidate.seq, stream.next_seq)
                ):
                    if sequence_distance(segment.seq, stream.next_seq) > 0:
                        break
                    stream.buffered.remove(segment)
                    stream.buffered_bytes -= len(segment.data)
                    self._deliver_segment(stream, segment, 0, events)
                    progressed = True
            if not stream.buffered or not self._gap_abandoned(stream):
                return events
            next_segment = min(
                stream.buffered, key=lambda candidate: sequence_distance(candidate.seq, stream.next_seq)
            )
            gap = sequence_distance(next_segment.seq, stream.next_seq)
            stream.next_seq = next_segment.seq
            stream.delivered_bytes += gap
            stream.delivered_tail = b""
            stream.buffered.remove(next_segment)
            stream.buffered_bytes -= len(next_segment.data)
            self._deliver_segment(stream, next_segment, gap, events)

    @staticmethod
    def _deliver_segment(
        stream: TcpStream, segment: _BufferedSegment, gap: int, events: list[StreamEvent]
    ) -> None:
        overlap = sequence_distance(stream.next_seq, segment.seq)
        repeated, new_data = segment.data[:overlap], segment.data[overlap:]
        if repeated and stream.delivered_tail:
            # compare only the part that is still in the delivered tail
            delivered = stream.delivered_tail[max(len(stream.delivered_tail) - overlap, 0) :][
                : len(repeated) or None
            ]
            offset = max(overlap - len(stream.delivered_tail), 0)
            retransmitted = repeated[offset : offset + len(delivered)]
            delivered = delivered[: len(retransmitted)]
            if retransmitted != delivered:
                events.append(
                    OverlapConflict(
                        max(stream.delivered_bytes - overlap, 0), len(retransmitted), segment.position
                    )
                )
        if new_data:
            stream.next_seq = (stream.next_seq + len(new_data)) % (1 << 32)
            stream.delivered_bytes += len(new_data)
            stream.delivered_tail = (stream.delivered_tail + new_data)[-DELIVERED_TAIL_BYTES:]
            events.append(StreamData(new_data, segment.time_ns, segment.position, gap))

    def _gap_abandoned(self, stream: TcpStream) -> bool:
        """Whether the bytes missing before the buffered segments can no longer arrive."""
        if len(stream.buffered) >= MAX_BUFFERED_SEGMENTS or stream.buffered_bytes >= MAX_BUFFERED_BYTES:
            return True
        if stream.acked_seq is None or sequence_distance(stream.acked_seq, stream.next_seq) <= 0:
            return False
        return self.now_ns - stream.acked_ns >= ACKED_GAP_TIMEOUT_NS

    @staticmethod
    def _is_finished(stream: TcpStream) -> bool:
        return (
            stream.fin_end is not None
            and stream.started
            and sequence_distance(stream.fin_end[0], stream.next_seq) <= 0
        )

    def _finish(
        self, stream: TcpStream, reason: str, time_ns: int, position: tuple[int, int]
    ) -> list[StreamEvent]:
        """Delivers all buffered segments across any gaps and ends the direction."""
        if not stream.started:
            self._start_at_earliest(stream)
        events: list[StreamEvent] = self._deliver(stream) if stream.started else []
        while stream.buffered:
            stream.acked_seq, stream.acked_ns = (
                (stream.next_seq + 1) % (1 << 32),
                self.now_ns - ACKED_GAP_TIMEOUT_NS,
            )
            events += self._deliver(stream)
        events.append(StreamEnded(reason, time_ns, position))
        return events

    # --- acknowledgements ---

    def _acknowledge(self, segment: TcpSegment) -> list[tuple[tuple[Address, Address], StreamEvent]]:
        """Applies the acknowledgement of a segment to the opposite direction."""
        key = segment.target, segment.source
        stream = self.streams.get(key)
        if stream is None or segment.ack < 0:
            return []
        if stream.acked_seq is None or sequence_distance(segment.ack, stream.acked_seq) > 0:
            stream.acked_seq, stream.acked_ns = segment.ack, self.now_ns
        if not stream.started and self.now_ns - stream.first_seen_ns >= MIDSTREAM_START_DELAY_NS:
            self._start_at_earliest(stream)
        return [(key, event) for event in self._deliver(stream)] if stream.started and stream.buffered else []
