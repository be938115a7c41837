"""From packets to SIP messages: the one pass over a capture that everything else is made from."""

from __future__ import annotations

import re
from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from landingdeal.capture.formats import Packet
from landingdeal.capture.fragments import Fragments
from landingdeal.capture.layers import (
    Address,
    BadPacket,
    Datagram,
    Ip,
    NotForUs,
    Segment,
    Sum,
    ip_of,
    transport_of,
)
from landingdeal.capture.problems import Kind, Problem, Problems
from landingdeal.capture.streams import Bytes, Conflict, Ended, Event, Streams
from landingdeal.sip.message import (
    MAX_MESSAGE_BYTES,
    Framer,
    FramingError,
    MalformedMessage,
    Message,
    decode_datagram,
)

Place = tuple[int, int]
Ends = tuple[Address, Address]

# a start line, as RFC 3261 7.1 and 7.2 have it, at the beginning of a line
# anywhere where the method is one of the usual ones, since a body need not end with a line
START = re.compile(
    rb"(?:(?<=\n)[A-Za-z0-9.!%*_+`'~-]{1,32}"
    rb"|INVITE|ACK|BYE|CANCEL|OPTIONS|REGISTER|INFO|PRACK|UPDATE|NOTIFY|SUBSCRIBE|MESSAGE|REFER|PUBLISH)"
    rb" \S{1,2048} SIP/2\.0\r\n|SIP/2\.0 [1-6][0-9]{2} [^\r\n]*\r\n"
)
FOREIGN_MOST = 32 * 1024  # bytes of a direction without a start line: it carries something else
STREAMS_MOST = 4096


def looks_like_sip(data: bytes) -> bool:
    """Whether the first line names the protocol; anything else in a capture is not ours to judge."""
    line, _, _ = data.lstrip(b"\r\n")[:4096].partition(b"\n")
    return b"SIP/2.0" in line or b" sip:" in line.lower()


@dataclass(frozen=True, slots=True)
class Seen:
    """One SIP message as it passed. `time_ns`: that of the last packet that it needed."""

    time_ns: int
    transport: str  # UDP or TCP
    source: Address
    target: Address
    message: Message
    place: Place  # offset in the file and number of that packet
    file: str = ""


class _Direction:
    """One TCP direction: its framer, and whether it has found its feet in the stream."""

    __slots__ = ("framer", "lost", "searched", "held")

    def __init__(self) -> None:
        self.framer = Framer()
        self.lost = True  # looking for a start line: at the beginning, after a gap or broken framing
        self.searched = 0
        self.held = b""


class Messages:
    """Feeds packets through fragments and streams; tells what is wrong to `problems`, and counts the rest."""

    def __init__(self, problems: Problems, file: str = "", strict_checksums: bool = False) -> None:
        self.problems, self.file, self.strict = problems, file, strict_checksums
        self.fragments, self.streams = Fragments(), Streams()
        self.directions: OrderedDict[Ends, _Direction] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.last_ns = self.first_ns = 0
        self._place: Place = (-1, 0)

    def run(self, packets: Iterable[Packet]) -> Iterator[Seen]:
        for packet in packets:
            yield from self.feed(packet)
        yield from self.end()

    def feed(self, packet: Packet) -> Iterator[Seen]:
        self._place = place = packet.offset, packet.number
        self.counts["packets"] += 1
        self.counts["bytes"] += len(packet.data)
        if self.counts["packets"] == 1:
            self.first_ns = packet.time_ns
        if packet.time_ns < self.last_ns:
            self.counts["clock went back"] += 1
        self.last_ns = max(self.last_ns, packet.time_ns)
        try:
            ip = ip_of(packet.link, packet.data)
            if ip.fragment:
                self.counts["fragments"] += 1
                whole = self.fragments.feed(ip, packet.time_ns, place)
                self._lost_fragments()
                if whole is None:
                    return
                ip = whole
            yield from self._whole(ip, packet.time_ns, place)
        except NotForUs as why:
            self.counts[str(why)] += 1
        except BadPacket as why:
            if packet.length == len(packet.data):  # else the cut has been told already
                self._tell(Kind.BAD_RECORD, str(why), place)

    def end(self) -> Iterator[Seen]:
        self.fragments.end()
        self._lost_fragments()
        for ends, event in self.streams.end(self._place):
            yield from self._event(ends, event)

    def _tell(self, kind: Kind, detail: str, place: Place) -> None:
        self.problems.add(Problem(kind, detail, *place, self.file))

    def _lost_fragments(self) -> None:
        for lost in self.fragments.lost:
            kind = Kind.FRAGMENT_OVERLAP if lost.overlap else Kind.FRAGMENT_MISSING
            self._tell(kind, lost.why, lost.place)
        self.fragments.lost.clear()

    def _whole(self, ip: Ip, time_ns: int, place: Place) -> Iterator[Seen]:
        made = transport_of(ip)
        made_sum = Sum.ABSENT if ip.short else made.sum  # of what was cut it can't be told
        if made_sum is not Sum.GOOD:
            self.counts[f"checksum {made_sum.value}"] += 1
        if made_sum is Sum.WRONG and (self.strict or looks_like_sip(made.payload)):
            self._tell(Kind.BAD_CHECKSUM, f"{made.source[0]} to {made.target[0]}", place)
            if self.strict:
                return
        if isinstance(made, Segment):
            for ends, event in self.streams.feed(made, time_ns, place):
                yield from self._event(ends, event)
        else:
            yield from self._datagram(made, ip.short, time_ns, place)

    def _datagram(self, made: Datagram, short: int, time_ns: int, place: Place) -> Iterator[Seen]:
        if not made.payload.strip(b"\r\n\0"):
            self.counts["keep-alives"] += 1
        elif not looks_like_sip(made.payload):
            self.counts["other payloads"] += 1
        elif len(made.payload) > 65536:
            self._tell(Kind.MALFORMED_MESSAGE, "over 64 KiB", place)
        else:
            yield from self._message(
                "UDP", (made.source, made.target), decode_datagram(made.payload), time_ns, place
            )

    def _message(
        self, transport: str, ends: Ends, message: Message | MalformedMessage, time_ns: int, place: Place
    ) -> Iterator[Seen]:
        if isinstance(message, MalformedMessage):
            self._tell(Kind.MALFORMED_MESSAGE, message.problem, place)
            return
        self.counts["messages"] += 1
        yield Seen(time_ns, transport, *ends, message, place, self.file)

    # --- streams ---

    def _event(self, ends: Ends, event: Event) -> Iterator[Seen]:
        if isinstance(event, Conflict):
            self._tell(
                Kind.TCP_CONFLICT, f"byte {event.at} of {_way(ends)}: {event.size} bytes differ", event.place
            )
            return
        direction = self.directions.get(ends)
        if isinstance(event, Ended):
            if direction is not None:
                self._over(direction, ends, event)
                del self.directions[ends]
            return
        if direction is None:
            direction = self.directions[ends] = _Direction()
            while len(self.directions) > STREAMS_MOST:
                self.directions.popitem(last=False)
        if event.gap:
            if direction.searched <= FOREIGN_MOST and not (direction.lost and direction.searched):
                self._tell(Kind.TCP_GAP, f"{event.gap} bytes of {_way(ends)} are not there", event.place)
            direction.framer, direction.lost, direction.held = Framer(), True, b""
        yield from self._bytes(direction, ends, event)

    def _bytes(self, direction: _Direction, ends: Ends, event: Bytes) -> Iterator[Seen]:
        data = event.data
        while data:
            if direction.lost:
                data = self._find(direction, data)
                if not data:
                    return
            made: list[Message | MalformedMessage] = []
            broken = ""
            try:
                made.extend(direction.framer.feed(data))
            except FramingError as error:
                broken = str(error)
            data = b""
            for message in made:
                yield from self._message("TCP", ends, message, event.time_ns, event.place)
            if broken:
                self._tell(Kind.MALFORMED_MESSAGE, broken, event.place)
                rest = direction.framer.buffer
                _, _, data = rest.partition(b"\n")  # past the start line that led nowhere
                direction.framer, direction.lost, direction.held = Framer(), True, b""

    def _find(self, direction: _Direction, data: bytes) -> bytes:
        """The bytes from the next start line on; what can't be told yet is held."""
        held = direction.held + data
        start = START.search(held)
        if start is not None:
            direction.lost, direction.held, direction.searched = False, b"", 0
            return held[start.start() :]
        direction.searched += len(data)
        direction.held = held[-4096:] if direction.searched <= FOREIGN_MOST else b""
        return b""

    def _over(self, direction: _Direction, ends: Ends, event: Ended) -> None:
        left = direction.framer.buffer.strip(b"\r\n")
        if not direction.lost and left:
            what = f"{_way(ends)} ends ({event.how}) {len(left)} bytes into a message"
            kind = Kind.TCP_GAP if event.how == "the capture ends" else Kind.MALFORMED_MESSAGE
            self._tell(kind, what, event.place)


def _way(ends: Ends) -> str:
    (source, source_port), (target, target_port) = ends
    return f"{source}:{source_port} to {target}:{target_port}"


__all__ = ["MAX_MESSAGE_BYTES", "Messages", "Seen", "looks_like_sip"]
