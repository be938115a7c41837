"""Classic pcap files: read into payloads of UDP and TCP over IPv4 and IPv6, and written with UDP or TCP.

Reading never fails on a packet: what is truncated, fragmented or of another protocol is counted and passed
over. Only a file that is no classic pcap at all is an error.
"""

from __future__ import annotations

import ipaddress
import struct
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import BinaryIO

MICRO, NANO = 0xA1B2C3D4, 0xA1B23C4D
PCAPNG = 0x0A0D0D0A
NULL, ETHERNET, RAW_OLD, RAW, LOOP, COOKED, IPV4, IPV6, COOKED2 = 0, 1, 12, 101, 108, 113, 228, 229, 276
LINKS = (NULL, ETHERNET, RAW_OLD, RAW, LOOP, COOKED, IPV4, IPV6, COOKED2)
ETHER_4, ETHER_6, VLANS = 0x0800, 0x86DD, (0x8100, 0x88A8)
UDP, TCP = 17, 6
EXTENSIONS = (0, 43, 60, 135)  # of IPv6; 44 is a fragment
RECORD_MOST = 256 * 1024
STREAMS_MOST = 1024  # TCP directions that are put together at once; the one idle longest goes first
AHEAD_MOST = 64  # segments of one direction that wait for one that is missing


class NotPcap(Exception):
    """The text says in one line what the file is not."""


@dataclass(frozen=True, slots=True)
class Packet:
    at_ms: float
    protocol: int
    source: tuple[str, int]
    target: tuple[str, int]
    payload: bytes
    seq: int = 0
    syn: bool = False
    ended: bool = False  # FIN or RST


class Reader:
    """Yields the UDP and TCP packets of a capture; `counts` says what was passed over, and why."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.counts: dict[str, int] = {}
        head = file.read(24)
        if len(head) < 24:
            raise NotPcap("the capture ends inside its header")
        for order in "<>":
            (magic,) = struct.unpack(order + "I", head[:4])
            if magic in (MICRO, NANO):
                self.order, self.fraction = order, 1e3 if magic == MICRO else 1e6
                break
        else:
            what = "pcapng" if struct.unpack("<I", head[:4])[0] == PCAPNG else "no classic pcap"
            raise NotPcap(f"the capture is {what}")
        self.link = struct.unpack(self.order + "I", head[20:24])[0] & 0x0FFFFFFF
        if self.link not in LINKS:
            raise NotPcap(f"the capture's link type {self.link} is not read")

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def __iter__(self) -> Iterator[Packet]:
        head = struct.Struct(self.order + "IIII")
        while True:
            raw = self.file.read(head.size)
            if not raw:
                return
            if len(raw) < head.size:
                self._count("truncated file")
                return
            seconds, fraction, kept, length = head.unpack(raw)
            if kept > RECORD_MOST:
                self._count("impossible length")  # where the next record begins can't be told
                return
            data = self.file.read(kept)
            if len(data) < kept:
                self._count("truncated file")
                return
            if kept < length:
                self._count("truncated packet")
                continue
            try:
                packet = self._packet(seconds * 1e3 + fraction / self.fraction, data)
            except (struct.error, IndexError):
                self._count("broken packet")
                continue
            if packet is not None:
                yield packet

    def _packet(self, at_ms: float, data: bytes) -> Packet | None:
        version = 0
        if self.link == ETHERNET or self.link in (COOKED, COOKED2):
            at = {ETHERNET: 12, COOKED: 14, COOKED2: 0}[self.link]
            (kind,) = struct.unpack_from(">H", data, at)
            at = 20 if self.link == COOKED2 else at + 2
            while kind in VLANS:
                (kind,) = struct.unpack_from(">H", data, at + 2)
                at += 4
            version = {ETHER_4: 4, ETHER_6: 6}.get(kind, 0)
            data = data[at:]
        else:
            data = data[4:] if self.link in (NULL, LOOP) else data
            version = data[0] >> 4
        if version == 4:
            return self._v4(at_ms, data)
        if version == 6:
            return self._v6(at_ms, data)
        self._count("not IP")
        return None

    def _v4(self, at_ms: float, data: bytes) -> Packet | None:
        head, (total,) = (data[0] & 15) * 4, struct.unpack_from(">H", data, 2)
        (fragment,) = struct.unpack_from(">H", data, 6)
        if head < 20 or total < head or total > len(data):
            self._count("broken packet")
            return None
        if fragment & 0x3FFF:
            self._count("fragment")
            return None
        hosts = str(ipaddress.IPv4Address(data[12:16])), str(ipaddress.IPv4Address(data[16:20]))
        return self._transport(at_ms, data[9], hosts, data[head:total])

    def _v6(self, at_ms: float, data: bytes) -> Packet | None:
        length, following = struct.unpack_from(">HB", data, 4)
        if 40 + length > len(data):
            self._count("broken packet")
            return None
        hosts = str(ipaddress.IPv6Address(data[8:24])), str(ipaddress.IPv6Address(data[24:40]))
        body = data[40 : 40 + length]
        while following in EXTENSIONS:
            size = (body[1] + 1) * 8
            following, body = body[0], body[size:]
        if following == 44:
            self._count("fragment")
            return None
        return self._transport(at_ms, following, hosts, body)

    def _transport(self, at_ms: float, protocol: int, hosts: tuple[str, str], data: bytes) -> Packet | None:
        if protocol not in (UDP, TCP):
            self._count("neither UDP nor TCP")
            return None
        ports = struct.unpack_from(">HH", data)
        ends = (hosts[0], ports[0]), (hosts[1], ports[1])
        if protocol == UDP:
            (length,) = struct.unpack_from(">H", data, 4)
            if not 8 <= length <= len(data):
                self._count("broken packet")
                return None
            return Packet(at_ms, UDP, *ends, data[8:length])
        seq, _, offset, flags = struct.unpack_from(">IIBB", data, 4)
        head = (offset >> 4) * 4
        if not 20 <= head <= len(data):
            self._count("broken packet")
            return None
        return Packet(at_ms, TCP, *ends, data[head:], seq, bool(flags & 2), bool(flags & 5))


Ends = tuple[tuple[str, int], tuple[str, int]]


class _Stream:
    __slots__ = ("next", "ahead")

    def __init__(self, first: int) -> None:
        self.next = first
        self.ahead: dict[int, bytes] = {}


class Reassembly:
    """Puts the segments of each TCP direction in order: late, repeated and overlapping ones too."""

    def __init__(self) -> None:
        self.streams: OrderedDict[Ends, _Stream] = OrderedDict()
        self.gaps = 0

    def feed(self, packet: Packet) -> bytes:
        """The bytes that this packet completes, perhaps none."""
        key = packet.source, packet.target
        start = (packet.seq + packet.syn) & 0xFFFFFFFF
        stream = self.streams.get(key)
        if stream is None or packet.syn:
            stream = self.streams[key] = _Stream(start)
            while len(self.streams) > STREAMS_MOST:
                self.streams.popitem(last=False)
        self.streams.move_to_end(key)
        if packet.payload and len(stream.ahead) < AHEAD_MOST:
            held = stream.ahead.get(start, b"")
            stream.ahead[start] = max(held, packet.payload, key=len)
        elif packet.payload:  # what is missing will not come: go on after it
            self.gaps += 1
            stream.next = min(stream.ahead, key=lambda seq: (seq - stream.next) & 0xFFFFFFFF)
            stream.ahead[start] = packet.payload
        whole = self._whole(stream)
        if packet.ended and not stream.ahead:
            self.streams.pop(key, None)
        return whole

    @staticmethod
    def _whole(stream: _Stream) -> bytes:
        parts = []
        while True:
            for seq, data in list(stream.ahead.items()):
                behind = (stream.next - seq) & 0xFFFFFFFF
                if behind < 0x80000000:
                    del stream.ahead[seq]
                    fresh = data[behind:]
                    if fresh:
                        parts.append(fresh)
                        stream.next = (stream.next + len(fresh)) & 0xFFFFFFFF
                        break
            else:
                return b"".join(parts)


def checksum(data: bytes) -> int:
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f">{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


class Writer:
    """Writes packets as Ethernet frames: microseconds, little-endian, checksums filled in."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.seqs: dict[Ends, int] = {}
        file.write(struct.pack("<IHHiIII", MICRO, 2, 4, 0, 0, 65535, ETHERNET))

    def put(
        self, at_ms: float, protocol: int, source: tuple[str, int], target: tuple[str, int], payload: bytes
    ) -> None:
        """UDP as one datagram; TCP as segments of one connection, numbered on."""
        if protocol == UDP:
            self._frame(at_ms, UDP, source, target, payload, 0)
            return
        for at in range(0, len(payload), 1400):
            part = payload[at : at + 1400]
            seq = self.seqs.get((source, target), 1)
            self._frame(at_ms, TCP, source, target, part, seq)
            self.seqs[source, target] = (seq + len(part)) & 0xFFFFFFFF

    def _frame(
        self,
        at_ms: float,
        protocol: int,
        source: tuple[str, int],
        target: tuple[str, int],
        payload: bytes,
        seq: int,
    ) -> None:
        hosts = ipaddress.ip_address(source[0]), ipaddress.ip_address(target[0])
        ports = struct.pack(">HH", source[1], target[1])
        if protocol == UDP:
            size = 8 + len(payload)
            parts = ports + struct.pack(">H", size), payload
        else:
            size = 20 + len(payload)
            parts = ports + struct.pack(">IIBBH", seq, 1, 5 << 4, 0x18, 65535), payload
        if hosts[0].version == 4:
            pseudo = hosts[0].packed + hosts[1].packed + struct.pack(">BBH", 0, protocol, size)
            head = struct.pack(">BBHHHBBH", 0x45, 0, 20 + size, 0, 0x4000, 64, protocol, 0)
            whole = head + hosts[0].packed + hosts[1].packed
            ip = whole[:10] + struct.pack(">H", checksum(whole)) + whole[12:]
            kind = ETHER_4
        else:
            pseudo = hosts[0].packed + hosts[1].packed + struct.pack(">IHBB", size, 0, 0, protocol)
            ip = struct.pack(">IHBB", 6 << 28, size, protocol, 64) + hosts[0].packed + hosts[1].packed
            kind = ETHER_6
        urgent = b"" if protocol == UDP else b"\0\0"
        total = checksum(pseudo + parts[0] + b"\0\0" + urgent + parts[1])
        sum_of = struct.pack(">H", total or 0xFFFF if protocol == UDP else total)
        frame = bytes(12) + struct.pack(">H", kind) + ip + parts[0] + sum_of + urgent + parts[1]
        stamp = round(at_ms * 1000)
        self.file.write(
            struct.pack("<IIII", stamp // 1000000, stamp % 1000000, len(frame), len(frame)) + frame
        )
        self.file.flush()
