"""Reads packets from classic pcap and pcapng files (draft-ietf-opsawg-pcap, draft-ietf-opsawg-pcapng)."""

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
MAX_PACKET_BYTES = 256 * 1024  # captured length of one packet
MAX_BLOCK_BYTES = 16 * 1024 * 1024  # longer pcapng blocks are skipped
MAX_INTERFACES = 4096


class NotACapture(Exception):
    """The file is not a readable capture; the text gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class Packet:
    """One captured packet. `time_ns`: nanoseconds since 1970; `wire_length`: before any truncation."""

    number: int
    offset: int
    time_ns: int
    link_type: int
    data: bytes
    wire_length: int
    comment: str = ""


class PacketReader(Protocol):
    """Iterates over the packets of one file."""

    def __iter__(self) -> Iterator[Packet]: ...


class _FileReader:
    """Packet numbering and problem reports that both file formats share."""

    def __init__(self, source: ByteSource, problems: Problems) -> None:
        self.source, self.problems = source, problems
        self.number = 0

    def add_problem(self, kind: ProblemKind, detail: str, offset: int, packet: int = 0) -> None:
        self.problems.add(Problem(kind, detail, offset, packet, self.source.name))

    def add_truncation(self, record: str, offset: int, available_bytes: int, needed_bytes: int) -> None:
        reason = f"; {self.source.damage}" if self.source.damage else ""
        self.add_problem(
            ProblemKind.TRUNCATED_FILE,
            f"it ends {available_bytes} bytes into {record} of {needed_bytes}{reason}",
            offset,
            self.number + 1,
        )

    def packet(
        self, offset: int, time_ns: int, link_type: int, data: bytes, wire_length: int, comment: str = ""
    ) -> Packet:
        self.number += 1
        if wire_length < len(data):
            self.add_problem(
                ProblemKind.BAD_RECORD,
                f"{len(data)} bytes are kept of a packet of {wire_length}",
                offset,
                self.number,
            )
            wire_length = len(data)
        elif wire_length > len(data):
            self.add_problem(
                ProblemKind.TRUNCATED_PACKET,
                f"{len(data)} of {wire_length} bytes were kept",
                offset,
                self.number,
            )
        return Packet(self.number, offset, time_ns, link_type, data, wire_length, comment)


class PcapReader(_FileReader):
    """Reads classic pcap in either byte order, with microseconds or nanoseconds."""

    def __init__(self, source: ByteSource, problems: Problems, magic: bytes) -> None:
        super().__init__(source, problems)
        self.byte_order = (
            "<" if struct.unpack("<I", magic)[0] in (MAGIC_MICROSECONDS, MAGIC_NANOSECONDS) else ">"
        )
        nanoseconds = struct.unpack(self.byte_order + "I", magic)[0] == MAGIC_NANOSECONDS
        self.ns_per_fraction, self.fractions_per_second = (1, 10**9) if nanoseconds else (1000, 10**6)
        header_rest = source.read(20)
        if len(header_rest) < 20:
            raise NotACapture("the capture ends inside its header")
        self.link_type = struct.unpack_from(self.byte_order + "I", header_rest, 16)[0] & 0x0FFFFFFF

    def __iter__(self) -> Iterator[Packet]:
        record_header, read, source = struct.Struct(self.byte_order + "IIII"), self.source.read, self.source
        while True:
            offset = source.offset
            header = read(16)
            if len(header) < 16:
                if header or source.damage:
                    self.add_truncation("a record's head", offset, len(header), 16)
                return
            seconds, fraction, captured_length, wire_length = record_header.unpack(header)
            if captured_length > MAX_PACKET_BYTES:
                self.add_problem(
                    ProblemKind.BAD_RECORD,
                    f"a record of {captured_length} bytes; where the next begins can't be told",
                    offset,
                    self.number + 1,
                )
                return
            data = read(captured_length)
            if len(data) < captured_length:
                self.add_truncation("a record", offset, 16 + len(data), 16 + captured_length)
                return
            if fraction >= self.fractions_per_second:
                self.add_problem(
                    ProblemKind.BAD_RECORD, f"{fraction} is no part of a second", offset, self.number + 1
                )
            yield self.packet(
                offset, seconds * 10**9 + fraction * self.ns_per_fraction, self.link_type, data, wire_length
            )


@dataclass(frozen=True, slots=True)
class CaptureInterface:
    """A pcapng interface description: link type, snap length and timestamp resolution."""

    link_type: int
    snaplen: int
    ticks_per_s: int  # a power of 10 or 2
    offset_s: int

    def time_ns(self, high: int, low: int) -> int:
        return (high << 32 | low) * 10**9 // self.ticks_per_s + self.offset_s * 10**9


def _options(byte_order: str, data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields code and value of each option. Raises struct.error if one is truncated."""
    position = 0
    while position + 4 <= len(data):
        code, size = struct.unpack_from(byte_order + "HH", data, position)
        if code == 0:
            return
        value = data[position + 4 : position + 4 + size]
        if len(value) < size:
            raise struct.error("an option is cut off")
        yield code, value
        position += 4 + (size + 3) // 4 * 4


class PcapngReader(_FileReader):
    """Reads pcapng with any number of sections and interfaces; skips unknown blocks by their length."""

    def __init__(self, source: ByteSource, problems: Problems) -> None:
        super().__init__(source, problems)
        self.byte_order = "<"
        self.interfaces: list[CaptureInterface] = []
        self.sections = 0
        self.last_ns = 0
        self._read_section_header(0)

    def _read_section_header(self, offset: int) -> bool:
        """Reads a section header after its block type.

        Returns False if reading can not go on after it. Raises NotACapture if it is the first section.
        """
        raw = self.source.read(8)
        byte_order = next(
            (o for o in "<>" if len(raw) == 8 and struct.unpack(o + "I", raw[4:])[0] == BYTE_ORDER_MAGIC), ""
        )
        size = struct.unpack(byte_order + "I", raw[:4])[0] if byte_order else 0
        if not byte_order or size < 28 or size % 4 or size > MAX_BLOCK_BYTES:
            if not self.sections:
                raise NotACapture(
                    "the capture ends inside its header" if len(raw) < 8 else "no pcapng section"
                )
            self.add_problem(
                ProblemKind.BAD_RECORD if len(raw) == 8 else ProblemKind.TRUNCATED_FILE,
                "a section header",
                offset,
            )
            return False
        rest = self.source.read(size - 12)
        if len(rest) < size - 12:
            if not self.sections:
                raise NotACapture("the capture ends inside its header")
            self.add_truncation("a section header", offset, 12 + len(rest), size)
            return False
        self.byte_order, self.interfaces = byte_order, []
        self.sections += 1
        return True

    def __iter__(self) -> Iterator[Packet]:
        source = self.source
        while True:
            offset = source.offset
            raw = source.read(4)
            if len(raw) == 4 and struct.unpack("<I", raw)[0] == SECTION_HEADER_BLOCK:
                if not self._read_section_header(offset):
                    return
                continue
            raw += source.read(4) if len(raw) == 4 else b""
            if len(raw) < 8:
                if raw or source.damage:
                    self.add_truncation("a block's head", offset, len(raw), 8)
                return
            block_type, size = struct.unpack(self.byte_order + "II", raw)
            if size < 12 or size % 4:
                self.add_problem(
                    ProblemKind.BAD_RECORD,
                    f"a block of {size} bytes; where the next begins can't be told",
                    offset,
                )
                return
            if size > MAX_BLOCK_BYTES or block_type not in (
                INTERFACE_DESCRIPTION_BLOCK,
                OBSOLETE_PACKET_BLOCK,
                SIMPLE_PACKET_BLOCK,
                ENHANCED_PACKET_BLOCK,
            ):
                if source.skip(size - 8) < size - 8:
                    self.add_truncation("a block", offset, source.offset - offset, size)
                    return
                continue
            body = source.read(size - 8)
            if len(body) < size - 8:
                self.add_truncation("a block", offset, 8 + len(body), size)
                return
            if struct.unpack(self.byte_order + "I", body[-4:])[0] != size:
                self.add_problem(ProblemKind.BAD_RECORD, f"a block's two lengths differ ({size})", offset)
            try:
                packet = self._parse_block(block_type, body[:-4], offset)
            except (struct.error, IndexError, ValueError) as error:
                self.add_problem(ProblemKind.BAD_RECORD, f"a block of type {block_type}: {error}", offset)
                continue
            if packet is not None:
                yield packet

    def _parse_block(self, block_type: int, body: bytes, offset: int) -> Packet | None:
        byte_order = self.byte_order
        if block_type == INTERFACE_DESCRIPTION_BLOCK:
            self._parse_interface(body)
            return None
        if block_type == SIMPLE_PACKET_BLOCK:
            (wire_length,) = struct.unpack_from(byte_order + "I", body)
            interface = self.interfaces[0]
            captured_length = min(wire_length, interface.snaplen or wire_length, len(body) - 4)
            if captured_length > MAX_PACKET_BYTES:
                raise ValueError(f"{captured_length} bytes are kept")
            # simple packet blocks have no timestamp: use that of the previous packet
            return self.packet(
                offset, self.last_ns, interface.link_type, body[4 : 4 + captured_length], wire_length
            )
        if block_type == ENHANCED_PACKET_BLOCK:
            interface_id, high, low, captured_length, wire_length = struct.unpack_from(
                byte_order + "IIIII", body
            )
        else:
            interface_id, _, high, low, captured_length, wire_length = struct.unpack_from(
                byte_order + "HHIIII", body
            )
        if captured_length > min(len(body) - 20, MAX_PACKET_BYTES):
            raise ValueError(f"{captured_length} bytes are kept in a block of {len(body) + 12}")
        if interface_id >= len(self.interfaces):
            raise ValueError(f"interface {interface_id} is not described")
        interface = self.interfaces[interface_id]
        comment = b""
        if len(body) > 20 + (captured_length + 3) // 4 * 4:
            options = dict(_options(byte_order, body[20 + (captured_length + 3) // 4 * 4 :]))
            comment = options.get(OPT_COMMENT, b"")
        data = body[20 : 20 + captured_length]
        comment_text, self.last_ns = comment.decode("utf-8", "replace"), interface.time_ns(high, low)
        return self.packet(offset, self.last_ns, interface.link_type, data, wire_length, comment_text)

    def _parse_interface(self, body: bytes) -> None:
        link_type, _, snaplen = struct.unpack_from(self.byte_order + "HHI", body)
        ticks_per_s, offset_s = 10**6, 0
        for code, option_value in _options(self.byte_order, body[8:]):
            if code == OPT_TSRESOL and len(option_value) == 1:
                exponent = option_value[0] & 0x7F
                if exponent > 64:
                    raise ValueError(f"a resolution of {option_value[0]}")
                ticks_per_s = 2**exponent if option_value[0] & 0x80 else 10**exponent
            elif code == OPT_TSOFFSET and len(option_value) == 8:
                (offset_s,) = struct.unpack(self.byte_order + "q", option_value)
        if len(self.interfaces) >= MAX_INTERFACES:
            raise ValueError("too many interfaces")
        self.interfaces.append(CaptureInterface(link_type, snaplen, ticks_per_s, offset_s))


def read_packets(source: ByteSource, problems: Problems) -> PacketReader:
    """Detects the file format and returns its reader. Raises NotACapture."""
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
