"""Records of capture files: classic pcap and pcapng (draft-ietf-opsawg-pcap, draft-ietf-opsawg-pcapng)."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from landingdeal.capture.problems import Problem, ProblemKind, Problems
from landingdeal.capture.source import ByteSource

MAGIC_MICROSECONDS, MAGIC_NANOSECONDS = 0xA1B2C3D4, 0xA1B23C4D
SECTION_HEADER_BLOCK, BYTE_ORDER_MAGIC = 0x0A0D0D0A, 0x1A2B3C4D
INTERFACE_DESCRIPTION_BLOCK, OBSOLETE_PACKET_BLOCK, SIMPLE_PACKET_BLOCK, ENHANCED_PACKET_BLOCK = 1, 2, 3, 6
OPT_COMMENT, OPT_TSRESOL, OPT_TSOFFSET = 1, 9, 14
MAX_PACKET_BYTES = 256 * 1024  # captured bytes of one packet
MAX_BLOCK_BYTES = 16 * 1024 * 1024  # of a block that is read whole; longer ones are passed over
MAX_INTERFACES = 4096


class NotACapture(Exception):
    """The text says in one line what the file is not."""


@dataclass(frozen=True, slots=True)
class Packet:
    """One captured packet. `time_ns`: nanoseconds since 1970; `length`: on the wire, before any cut."""

    number: int
    offset: int
    time_ns: int
    link: int
    data: bytes
    length: int
    comment: str = ""


class PacketReader(Protocol):
    """What reads one file."""

    def __iter__(self) -> Iterator[Packet]: ...


class _FileReader:
    def __init__(self, source: ByteSource, problems: Problems) -> None:
        self.source, self.problems = source, problems
        self.number = 0

    def tell(self, kind: ProblemKind, detail: str, offset: int, packet: int = 0) -> None:
        self.problems.add(Problem(kind, detail, offset, packet, self.source.name))

    def ended(self, what: str, offset: int, got: int, wanted: int) -> None:
        why = f"; {self.source.damage}" if self.source.damage else ""
        self.tell(
            ProblemKind.TRUNCATED_FILE,
            f"it ends {got} bytes into {what} of {wanted}{why}",
            offset,
            self.number + 1,
        )

    def packet(
        self, offset: int, time_ns: int, link: int, data: bytes, length: int, comment: str = ""
    ) -> Packet:
        self.number += 1
        if length < len(data):
            self.tell(
                ProblemKind.BAD_RECORD,
                f"{len(data)} bytes are kept of a packet of {length}",
                offset,
                self.number,
            )
            length = len(data)
        elif length > len(data):
            self.tell(
                ProblemKind.TRUNCATED_PACKET, f"{len(data)} of {length} bytes were kept", offset, self.number
            )
        return Packet(self.number, offset, time_ns, link, data, length, comment)


class PcapReader(_FileReader):
    """Classic pcap, in both byte orders, with microseconds or nanoseconds."""

    def __init__(self, source: ByteSource, problems: Problems, magic: bytes) -> None:
        super().__init__(source, problems)
        self.order = "<" if struct.unpack("<I", magic)[0] in (MAGIC_MICROSECONDS, MAGIC_NANOSECONDS) else ">"
        nano = struct.unpack(self.order + "I", magic)[0] == MAGIC_NANOSECONDS
        self.unit, self.fraction_most = (1, 10**9) if nano else (1000, 10**6)
        rest = source.read(20)
        if len(rest) < 20:
            raise NotACapture("the capture ends inside its header")
        self.link = struct.unpack_from(self.order + "I", rest, 16)[0] & 0x0FFFFFFF

    def __iter__(self) -> Iterator[Packet]:
        head, read, source = struct.Struct(self.order + "IIII"), self.source.read, self.source
        while True:
            offset = source.offset
            raw = read(16)
            if len(raw) < 16:
                if raw or source.damage:
                    self.ended("a record's head", offset, len(raw), 16)
                return
            seconds, fraction, kept, length = head.unpack(raw)
            if kept > MAX_PACKET_BYTES:
                self.tell(
                    ProblemKind.BAD_RECORD, f"a record of {kept} bytes; where the next begins can't be told",
                    offset, self.number + 1,
                )  # fmt: skip
                return
            data = read(kept)
            if len(data) < kept:
                self.ended("a record", offset, 16 + len(data), 16 + kept)
                return
            if fraction >= self.fraction_most:
                self.tell(
                    ProblemKind.BAD_RECORD, f"{fraction} is no part of a second", offset, self.number + 1
                )
            yield self.packet(offset, seconds * 10**9 + fraction * self.unit, self.link, data, length)


@dataclass(frozen=True, slots=True)
class CaptureInterface:
    link: int
    snap: int
    ticks: int  # a second; a power of 10 or 2
    offset_s: int

    def time_ns(self, high: int, low: int) -> int:
        return (high << 32 | low) * 10**9 // self.ticks + self.offset_s * 10**9


def _options(order: str, data: bytes) -> Iterator[tuple[int, bytes]]:
    """Raises struct.error where they are cut off."""
    at = 0
    while at + 4 <= len(data):
        code, size = struct.unpack_from(order + "HH", data, at)
        if code == 0:
            return
        value = data[at + 4 : at + 4 + size]
        if len(value) < size:
            raise struct.error("an option is cut off")
        yield code, value
        at += 4 + (size + 3) // 4 * 4


class PcapngReader(_FileReader):
    """pcapng: any number of sections and interfaces; blocks that are not known are passed over by length."""

    def __init__(self, source: ByteSource, problems: Problems) -> None:
        super().__init__(source, problems)
        self.order = "<"
        self.interfaces: list[CaptureInterface] = []
        self.sections = 0
        self.last_ns = 0
        self._begin(0)

    def _begin(self, offset: int) -> bool:
        """The rest of a section header; its type has been read. Raises NotCapture in the first one."""
        raw = self.source.read(8)
        order = next(
            (o for o in "<>" if len(raw) == 8 and struct.unpack(o + "I", raw[4:])[0] == BYTE_ORDER_MAGIC), ""
        )
        size = struct.unpack(order + "I", raw[:4])[0] if order else 0
        if not order or size < 28 or size % 4 or size > MAX_BLOCK_BYTES:
            if not self.sections:
                raise NotACapture(
                    "the capture ends inside its header" if len(raw) < 8 else "no pcapng section"
                )
            self.tell(
                ProblemKind.BAD_RECORD if len(raw) == 8 else ProblemKind.TRUNCATED_FILE,
                "a section header",
                offset,
            )
            return False
        rest = self.source.read(size - 12)
        if len(rest) < size - 12:
            if not self.sections:
                raise NotACapture("the capture ends inside its header")
            self.ended("a section header", offset, 12 + len(rest), size)
            return False
        self.order, self.interfaces = order, []
        self.sections += 1
        return True

    def __iter__(self) -> Iterator[Packet]:
        source = self.source
        while True:
            offset = source.offset
            raw = source.read(4)
            if len(raw) == 4 and struct.unpack("<I", raw)[0] == SECTION_HEADER_BLOCK:
                if not self._begin(offset):
                    return
                continue
            raw += source.read(4) if len(raw) == 4 else b""
            if len(raw) < 8:
                if raw or source.damage:
                    self.ended("a block's head", offset, len(raw), 8)
                return
            kind, size = struct.unpack(self.order + "II", raw)
            if size < 12 or size % 4:
                self.tell(
                    ProblemKind.BAD_RECORD,
                    f"a block of {size} bytes; where the next begins can't be told",
                    offset,
                )
                return
            if size > MAX_BLOCK_BYTES or kind not in (
                INTERFACE_DESCRIPTION_BLOCK,
                OBSOLETE_PACKET_BLOCK,
                SIMPLE_PACKET_BLOCK,
                ENHANCED_PACKET_BLOCK,
            ):
                if source.skip(size - 8) < size - 8:
                    self.ended("a block", offset, source.offset - offset, size)
                    return
                continue
            body = source.read(size - 8)
            if len(body) < size - 8:
                self.ended("a block", offset, 8 + len(body), size)
                return
            if struct.unpack(self.order + "I", body[-4:])[0] != size:
                self.tell(ProblemKind.BAD_RECORD, f"a block's two lengths differ ({size})", offset)
            try:
                packet = self._block(kind, body[:-4], offset)
            except (struct.error, IndexError, ValueError) as error:
                self.tell(ProblemKind.BAD_RECORD, f"a block of type {kind}: {error}", offset)
                continue
            if packet is not None:
                yield packet

    def _block(self, kind: int, body: bytes, offset: int) -> Packet | None:
        order = self.order
        if kind == INTERFACE_DESCRIPTION_BLOCK:
            self._interface(body)
            return None
        if kind == SIMPLE_PACKET_BLOCK:
            (length,) = struct.unpack_from(order + "I", body)
            on = self.interfaces[0]
            kept = min(length, on.snap or length, len(body) - 4)
            if kept > MAX_PACKET_BYTES:
                raise ValueError(f"{kept} bytes are kept")
            # it carries no time of its own: that of the packet before it is the nearest known
            return self.packet(offset, self.last_ns, on.link, body[4 : 4 + kept], length)
        if kind == ENHANCED_PACKET_BLOCK:
            index, high, low, kept, length = struct.unpack_from(order + "IIIII", body)
        else:
            index, _, high, low, kept, length = struct.unpack_from(order + "HHIIII", body)
        if kept > min(len(body) - 20, MAX_PACKET_BYTES):
            raise ValueError(f"{kept} bytes are kept in a block of {len(body) + 12}")
        if index >= len(self.interfaces):
            raise ValueError(f"interface {index} is not described")
        on = self.interfaces[index]
        comment = b""
        if len(body) > 20 + (kept + 3) // 4 * 4:
            found = dict(_options(order, body[20 + (kept + 3) // 4 * 4 :]))
            comment = found.get(OPT_COMMENT, b"")
        data = body[20 : 20 + kept]
        told, self.last_ns = comment.decode("utf-8", "replace"), on.time_ns(high, low)
        return self.packet(offset, self.last_ns, on.link, data, length, told)

    def _interface(self, body: bytes) -> None:
        link, _, snap = struct.unpack_from(self.order + "HHI", body)
        ticks, offset_s = 10**6, 0
        for code, value in _options(self.order, body[8:]):
            if code == OPT_TSRESOL and len(value) == 1:
                power = value[0] & 0x7F
                if power > 64:
                    raise ValueError(f"a resolution of {value[0]}")
                ticks = 2**power if value[0] & 0x80 else 10**power
            elif code == OPT_TSOFFSET and len(value) == 8:
                (offset_s,) = struct.unpack(self.order + "q", value)
        if len(self.interfaces) >= MAX_INTERFACES:
            raise ValueError("too many interfaces")
        self.interfaces.append(CaptureInterface(link, snap, ticks, offset_s))


def read_packets(source: ByteSource, problems: Problems) -> PacketReader:
    """Raises NotCapture where the file is none."""
    magic = source.read(4)
    if len(magic) < 4:
        raise NotACapture(
            "the capture ends inside its header" if magic or source.damage else "the file is empty"
        )
    known = {
        struct.pack(order + "I", number)
        for order in "<>"
        for number in (MAGIC_MICROSECONDS, MAGIC_NANOSECONDS)
    }
    if magic in known:
        return PcapReader(source, problems, magic)
    if struct.unpack("<I", magic)[0] == SECTION_HEADER_BLOCK:
        return PcapngReader(source, problems)
    raise NotACapture("neither pcap nor pcapng")
