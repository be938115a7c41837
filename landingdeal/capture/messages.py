"""Extracts SIP messages from captured packets, in one pass, through IP and TCP reassembly."""

from __future__ import annotations

import re
from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from landingdeal.capture.formats import Packet
from landingdeal.capture.fragments import FragmentReassembler
from landingdeal.capture.layers import (
    Address,
    ChecksumStatus,
    IpPacket,
    MalformedPacket,
    TcpSegment,
    UdpDatagram,
    UnsupportedProtocol,
    decode_frame,
    decode_transport,
)
from landingdeal.capture.problems import Problem, ProblemKind, Problems
from landingdeal.capture.streams import OverlapConflict, StreamData, StreamEnded, StreamEvent, TcpReassembler
from landingdeal.sip.message import (
    MAX_MESSAGE_BYTES,
    Framer,
    FramingError,
    MalformedMessage,
    Message,
    decode_datagram,
)

PacketPosition = tuple[int, int]  # offset in the file and packet number
Endpoints = tuple[Address, Address]

# A start line (RFC 3261, 7.1 and 7.2) at the beginning of a line. Well-known methods match anywhere, because
# the preceding body need not end with a line break.
START_LINE = re.compile(
    rb"(?:(?<=\n)[A-Za-z0-9.!%*_+`'~-]{1,32}"
    rb"|INVITE|ACK|BYE|CANCEL|OPTIONS|REGISTER|INFO|PRACK|UPDATE|NOTIFY|SUBSCRIBE|MESSAGE|REFER|PUBLISH)"
    rb" \S{1,2048} SIP/2\.0\r\n|SIP/2\.0 [1-6][0-9]{2} [^\r\n]*\r\n"
)
MAX_RESYNC_BYTES = 32 * 1024  # without a start line in so many bytes, a direction carries another protocol
MAX_STREAMS = 4096


def looks_like_sip(data: bytes) -> bool:
    """Whether the first line mentions SIP; other payloads are not reported as malformed."""
    line, _, _ = data.lstrip(b"\r\n")[:4096].partition(b"\n")
    return b"SIP/2.0" in line or b" sip:" in line.lower()


@dataclass(frozen=True, slots=True)
class CapturedMessage:
    """One captured SIP message. `time_ns`: time of the packet that completed it."""

    time_ns: int
    transport: str  # UDP or TCP
    source: Address
    target: Address
    message: Message
    position: PacketPosition  # of the packet that completed it
    file: str = ""


class _Direction:
    """The message framing state of one TCP direction."""

    __slots__ = ("framer", "resynchronizing", "searched_bytes", "search_tail")

    def __init__(self) -> None:
        self.framer = Framer()
        self.resynchronizing = True  # until a start line: at first, after a gap or broken framing
        self.searched_bytes = 0
        self.search_tail = b""


class MessageExtractor:
    """Turns packets into SIP messages; adds faults to `problems` and counts everything else."""

    def __init__(self, problems: Problems, file: str = "", strict_checksums: bool = False) -> None:
        self.problems, self.file, self.strict_checksums = problems, file, strict_checksums
        self.fragments, self.streams = FragmentReassembler(), TcpReassembler()
        self.directions: OrderedDict[Endpoints, _Direction] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.last_ns = self.first_ns = 0
        self._last_position: PacketPosition = (-1, 0)

    def run(self, packets: Iterable[Packet]) -> Iterator[CapturedMessage]:
        """Yields the messages of all packets."""
        for packet in packets:
            yield from self.feed(packet)
        yield from self.end()

    def feed(self, packet: Packet) -> Iterator[CapturedMessage]:
        """Yields the messages that one packet completes."""
        self._last_position = position = packet.offset, packet.number
        self.counts["packets"] += 1
        self.counts["bytes"] += len(packet.data)
        if self.counts["packets"] == 1:
            self.first_ns = packet.time_ns
        if packet.time_ns < self.last_ns:
            self.counts["clock went back"] += 1
        self.last_ns = max(self.last_ns, packet.time_ns)
        try:
            ip = decode_frame(packet.link_type, packet.data)
            if ip.is_fragment:
                self.counts["fragments"] += 1
                reassembled = self.fragments.feed(ip, packet.time_ns, position)
                self._report_failed_reassemblies()
                if reassembled is None:
                    return
                ip = reassembled
            yield from self._process_packet(ip, packet.time_ns, position)
        except UnsupportedProtocol as error:
            self.counts[str(error)] += 1
        except MalformedPacket as error:
            if packet.wire_length == len(packet.data):  # else the truncation is reported already
                self._add_problem(ProblemKind.BAD_RECORD, str(error), position)

    def end(self) -> Iterator[CapturedMessage]:
        """Yields the messages completed by the end of the capture and reports what is incomplete."""
        self.fragments.end()
        self._report_failed_reassemblies()
        for endpoints, event in self.streams.end(self._last_position):
            yield from self._process_event(endpoints, event)

    def _add_problem(self, kind: ProblemKind, detail: str, position: PacketPosition) -> None:
        self.problems.add(Problem(kind, detail, *position, self.file))

    def _report_failed_reassemblies(self) -> None:
        for failure in self.fragments.failures:
            kind = ProblemKind.FRAGMENT_OVERLAP if failure.rejected else ProblemKind.FRAGMENT_MISSING
            self._add_problem(kind, failure.reason, failure.position)
        self.fragments.failures.clear()

    def _process_packet(
        self, ip: IpPacket, time_ns: int, position: PacketPosition
    ) -> Iterator[CapturedMessage]:
        decoded = decode_transport(ip)
        # the checksum of a truncated packet can't be verified
        status = ChecksumStatus.ABSENT if ip.missing_bytes else decoded.checksum
        if status is not ChecksumStatus.GOOD:
            self.counts[f"checksum {status.value}"] += 1
        if status is ChecksumStatus.WRONG and (self.strict_checksums or looks_like_sip(decoded.payload)):
            self._add_problem(
                ProblemKind.BAD_CHECKSUM, f"{decoded.source[0]} to {decoded.target[0]}", position
            )
            if self.strict_checksums:
                return
        if isinstance(decoded, TcpSegment):
            for endpoints, event in self.streams.feed(decoded, time_ns, position):
                yield from self._process_event(endpoints, event)
        else:
            yield from self._process_datagram(decoded, ip.missing_bytes, time_ns, position)

    def _process_datagram(
        self, datagram: UdpDatagram, missing_bytes: int, time_ns: int, position: PacketPosition
    ) -> Iterator[CapturedMessage]:
        if not datagram.payload.strip(b"\r\n\0"):
            self.counts["keep-alives"] += 1
        elif not looks_like_sip(datagram.payload):
            self.counts["other payloads"] += 1
        elif len(datagram.payload) > 65536:
            self._add_problem(ProblemKind.MALFORMED_MESSAGE, "over 64 KiB", position)
        else:
            yield from self._emit_message(
                "UDP",
                (datagram.source, datagram.target),
                decode_datagram(datagram.payload),
                time_ns,
                position,
            )

    def _emit_message(
        self,
        transport: str,
        endpoints: Endpoints,
        message: Message | MalformedMessage,
        time_ns: int,
        position: PacketPosition,
    ) -> Iterator[CapturedMessage]:
        if isinstance(message, MalformedMessage):
            self._add_problem(ProblemKind.MALFORMED_MESSAGE, message.problem, position)
            return
        self.counts["messages"] += 1
        yield CapturedMessage(time_ns, transport, *endpoints, message, position, self.file)

    # --- streams ---

    def _process_event(self, endpoints: Endpoints, event: StreamEvent) -> Iterator[CapturedMessage]:
        if isinstance(event, OverlapConflict):
            self._add_problem(
                ProblemKind.TCP_CONFLICT,
                f"byte {event.stream_offset} of {_endpoints_text(endpoints)}: "
                f"{event.differing_bytes} bytes differ",
                event.position,
            )
            return
        direction = self.directions.get(endpoints)
        if isinstance(event, StreamEnded):
            if direction is not None:
                self._report_unfinished_message(direction, endpoints, event)
                del self.directions[endpoints]
            return
        if direction is None:
            direction = self.directions[endpoints] = _Direction()
            while len(self.directions) > MAX_STREAMS:
                self.directions.popitem(last=False)
        if event.gap:
            if direction.searched_bytes <= MAX_RESYNC_BYTES and not (
                direction.resynchronizing and direction.searched_bytes
            ):
                self._add_problem(
                    ProblemKind.TCP_GAP,
                    f"{event.gap} bytes of {_endpoints_text(endpoints)} are not there",
                    event.position,
                )
            direction.framer, direction.resynchronizing, direction.search_tail = Framer(), True, b""
        yield from self._parse_stream_data(direction, endpoints, event)

    def _parse_stream_data(
        self, direction: _Direction, endpoints: Endpoints, event: StreamData
    ) -> Iterator[CapturedMessage]:
        data = event.data
        while data:
            if direction.resynchronizing:
                data = self._find_start_line(direction, data)
                if not data:
                    return
            parsed: list[Message | MalformedMessage] = []
            framing_error = ""
            try:
                parsed.extend(direction.framer.feed(data))
            except FramingError as error:
                framing_error = str(error)
            data = b""
            for message in parsed:
                yield from self._emit_message("TCP", endpoints, message, event.time_ns, event.position)
            if framing_error:
                self._add_problem(ProblemKind.MALFORMED_MESSAGE, framing_error, event.position)
                unparsed = direction.framer.buffer
                _, _, data = unparsed.partition(b"\n")  # continue after the start line that failed
                direction.framer, direction.resynchronizing, direction.search_tail = Framer(), True, b""

    def _find_start_line(self, direction: _Direction, data: bytes) -> bytes:
        """Returns the bytes from the next start line on; keeps a tail that may contain part of one."""
        searchable = direction.search_tail + data
        start_line = START_LINE.search(searchable)
        if start_line is not None:
            direction.resynchronizing, direction.search_tail, direction.searched_bytes = False, b"", 0
            return searchable[start_line.start() :]
        direction.searched_bytes += len(data)
        direction.search_tail = searchable[-4096:] if direction.searched_bytes <= MAX_RESYNC_BYTES else b""
        return b""

    def _report_unfinished_message(
        self, direction: _Direction, endpoints: Endpoints, event: StreamEnded
    ) -> None:
        unparsed = direction.framer.buffer.strip(b"\r\n")
        if not direction.resynchronizing and unparsed:
            detail = (
                f"{_endpoints_text(endpoints)} ends ({event.reason}) {len(unparsed)} bytes into a message"
            )
            kind = (
                ProblemKind.TCP_GAP if event.reason == "the capture ends" else ProblemKind.MALFORMED_MESSAGE
            )
            self._add_problem(kind, detail, event.position)


def _endpoints_text(endpoints: Endpoints) -> str:
    (source, source_port), (target, target_port) = endpoints
    return f"{source}:{source_port} to {target}:{target_port}"


__all__ = ["MAX_MESSAGE_BYTES", "CapturedMessage", "MessageExtractor", "looks_like_sip"]
