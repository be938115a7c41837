"""Packets and capture files as bytes. Pure: what `formats` and `layers` read is made here."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from landingdeal.capture.formats import (
    BYTE_ORDER_MAGIC,
    ENHANCED_PACKET_BLOCK,
    INTERFACE_DESCRIPTION_BLOCK,
    MAGIC_MICROSECONDS,
    MAGIC_NANOSECONDS,
    OPT_COMMENT,
    OPT_TSRESOL,
    SECTION_HEADER_BLOCK,
)
from landingdeal.capture.layers import (
    ETHERTYPE_IPV4,
    ETHERTYPE_IPV6,
    IPPROTO_TCP,
    IPPROTO_UDP,
    LINKTYPE_ETHERNET,
    Address,
    IpPacket,
    ones_complement_sum,
    pseudo_header,
)

MTU = 1500
FIN, SYN, RST, PSH, ACK = 1, 2, 4, 8, 16
SNAPLEN = 262144


def _pad(data: bytes) -> bytes:
    return data + bytes(-len(data) % 4)


# --- files ---


class PcapEncoder:
    """Classic pcap, little-endian, Ethernet; nanoseconds unless told otherwise. A comment is left out."""

    suffix = ".pcap"

    def __init__(self, nano: bool = True) -> None:
        self.unit = 1 if nano else 1000
        self.magic = MAGIC_NANOSECONDS if nano else MAGIC_MICROSECONDS

    def file_header(self) -> bytes:
        return struct.pack("<IHHiIII", self.magic, 2, 4, 0, 0, SNAPLEN, LINKTYPE_ETHERNET)

    def packet_record(self, time_ns: int, frame: bytes, comment: str = "") -> bytes:
        seconds, rest = divmod(time_ns, 10**9)
        return struct.pack("<IIII", seconds, rest // self.unit, len(frame), len(frame)) + frame


class PcapngEncoder:
    """pcapng with one section and one interface, nanoseconds, little-endian."""

    suffix = ".pcapng"

    def file_header(self) -> bytes:
        section = struct.pack("<IHHq", BYTE_ORDER_MAGIC, 1, 0, -1)
        resolution = struct.pack("<HHB3xHH", OPT_TSRESOL, 1, 9, 0, 0)
        interface = struct.pack("<HHI", LINKTYPE_ETHERNET, 0, SNAPLEN) + resolution
        return self._block(SECTION_HEADER_BLOCK, section) + self._block(
            INTERFACE_DESCRIPTION_BLOCK, interface
        )

    def packet_record(self, time_ns: int, frame: bytes, comment: str = "") -> bytes:
        body = struct.pack("<IIIII", 0, time_ns >> 32, time_ns & 0xFFFFFFFF, len(frame), len(frame))
        body += _pad(frame)
        if comment:
            told = comment.encode()[:1024]
            body += struct.pack("<HH", OPT_COMMENT, len(told)) + _pad(told) + bytes(4)
        return self._block(ENHANCED_PACKET_BLOCK, body)

    @staticmethod
    def _block(kind: int, body: bytes) -> bytes:
        size = struct.pack("<I", len(body) + 12)
        return struct.pack("<I", kind) + size + body + size


CaptureEncoder = PcapEncoder | PcapngEncoder


# --- packets ---


def _packed(host: str) -> bytes:
    return socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)


def ip_packet(ip: IpPacket, last_ident: int = 0) -> bytes:
    """The IP packet of `ip`, whole or as the fragment that it says it is."""
    hosts = _packed(ip.source) + _packed(ip.target)
    if ip.version == 4:
        flags = ip.at // 8 | (0x2000 if ip.more else 0)
        if not ip.fragment:
            flags = 0x4000  # not to be cut on the way
        head = struct.pack(">BBHHHBBH", 0x45, 0, 20 + len(ip.payload), ip.ident, flags, 64, ip.protocol, 0)
        summed = ~ones_complement_sum(head + hosts) & 0xFFFF
        return head[:10] + struct.pack(">H", summed) + hosts + ip.payload
    payload, protocol = ip.payload, ip.protocol
    if ip.fragment:
        payload = struct.pack(">BBHI", protocol, 0, ip.at | ip.more, ip.ident) + payload
        protocol = 44
    return struct.pack(">IHBB", 6 << 28, len(payload), protocol, 64) + hosts + payload


def ethernet_frames(ip: IpPacket, ident: int) -> list[bytes]:
    """Ethernet frames of one IP packet: several fragments where it does not fit the MTU."""
    room = (MTU - (20 if ip.version == 4 else 48)) // 8 * 8
    kind = struct.pack(">H", ETHERTYPE_IPV4 if ip.version == 4 else ETHERTYPE_IPV6)
    head = b"\x02\0\0\0\0\x02\x02\0\0\0\0\x01" + kind
    most = MTU - (20 if ip.version == 4 else 40)
    if len(ip.payload) <= most:
        return [head + ip_packet(ip)]
    made = []
    for at in range(0, len(ip.payload), room):
        part = ip.payload[at : at + room]
        more = at + room < len(ip.payload)
        piece = IpPacket(ip.version, ip.source, ip.target, ip.protocol, part, ident=ident, at=at, more=more)
        made.append(head + ip_packet(piece))
    return made


def _ip(protocol: int, source: Address, target: Address, data: bytes, sum_at: int) -> IpPacket:
    """Fills in the checksum that stands at `sum_at`."""
    version = 6 if ":" in source[0] else 4
    bare = IpPacket(version, source[0], target[0], protocol, data)
    summed = ~ones_complement_sum(pseudo_header(bare, len(data)) + data) & 0xFFFF
    if protocol == IPPROTO_UDP and summed == 0:
        summed = 0xFFFF
    whole = data[:sum_at] + struct.pack(">H", summed) + data[sum_at + 2 :]
    return IpPacket(version, source[0], target[0], protocol, whole)


def udp_packet(source: Address, target: Address, payload: bytes) -> IpPacket:
    data = struct.pack(">HHHH", source[1], target[1], 8 + len(payload), 0) + payload
    return _ip(IPPROTO_UDP, source, target, data, 6)


def tcp_packet(
    source: Address, target: Address, seq: int, ack: int, flags: int, payload: bytes = b""
) -> IpPacket:
    data = struct.pack(">HHIIBBHHH", source[1], target[1], seq, ack, 5 << 4, flags, 65535, 0, 0) + payload
    return _ip(IPPROTO_TCP, source, target, data, 16)


# --- conversations ---

MAX_SEGMENT_BYTES = MTU - 20 - 20


@dataclass(slots=True)
class _Connection:
    """One TCP connection as it is told: what each side has sent so far."""

    seqs: dict[Address, int]
    open: bool = False


class PacketBuilder:
    """Exchanges told as packets that any reader can follow.

    TCP connections get a handshake, sequence numbers, an acknowledgement of each segment and a FIN from both
    sides; their number is bounded, the one idle longest is ended first. Datagrams over the MTU become
    fragments.
    """

    MAX_CONNECTIONS = 4096

    def __init__(self) -> None:
        self.connections: dict[frozenset[Address], _Connection] = {}
        self.ident = 0

    def datagram_frames(self, source: Address, target: Address, payload: bytes) -> list[bytes]:
        self.ident = (self.ident + 1) & 0xFFFF
        return ethernet_frames(udp_packet(source, target, payload), self.ident)

    def stream_frames(self, source: Address, target: Address, payload: bytes) -> list[bytes]:
        """Bytes on a connection, which is opened by `source` where it was not open."""
        key = frozenset((source, target))
        out = []
        connection = self.connections.pop(key, None)
        if connection is None:
            while len(self.connections) >= self.MAX_CONNECTIONS:
                idle = next(iter(self.connections))
                out += self._fin(idle)
            connection = _Connection({source: 1000, target: 5000})
            out += self._handshake(connection, source, target)
        self.connections[key] = connection  # the last used is the last to go
        seqs = connection.seqs
        for at in range(0, len(payload), MAX_SEGMENT_BYTES):
            part = payload[at : at + MAX_SEGMENT_BYTES]
            out += self._segment(source, target, seqs[source], seqs[target], PSH | ACK, part)
            seqs[source] = (seqs[source] + len(part)) & 0xFFFFFFFF
            out += self._segment(target, source, seqs[target], seqs[source], ACK)
        return out

    def close_connection(self, source: Address, target: Address, reset: bool = False) -> list[bytes]:
        """`source` ends the connection; nothing where there is none."""
        key = frozenset((source, target))
        if key not in self.connections:
            return []
        if not reset:
            return self._fin(key, source)
        seqs = self.connections.pop(key).seqs
        return self._segment(source, target, seqs[source], seqs[target], RST | ACK)

    def close_all(self) -> list[bytes]:
        """Ends whatever is open."""
        return [frame for key in list(self.connections) for frame in self._fin(key)]

    def _handshake(self, connection: _Connection, source: Address, target: Address) -> list[bytes]:
        seqs = connection.seqs
        out = self._segment(source, target, seqs[source], 0, SYN)
        out += self._segment(target, source, seqs[target], seqs[source] + 1, SYN | ACK)
        seqs[source], seqs[target] = seqs[source] + 1, seqs[target] + 1
        return out + self._segment(source, target, seqs[source], seqs[target], ACK)

    def _fin(self, key: frozenset[Address], first: Address | None = None) -> list[bytes]:
        connection = self.connections.pop(key)
        seqs = connection.seqs
        one = first or next(iter(seqs))
        other = next((end for end in seqs if end != one), one)
        out = self._segment(one, other, seqs[one], seqs[other], FIN | ACK)
        out += self._segment(other, one, seqs[other], (seqs[one] + 1) & 0xFFFFFFFF, FIN | ACK)
        return out + self._segment(
            one, other, (seqs[one] + 1) & 0xFFFFFFFF, (seqs[other] + 1) & 0xFFFFFFFF, ACK
        )

    def _segment(
        self, source: Address, target: Address, seq: int, ack: int, flags: int, payload: bytes = b""
    ) -> list[bytes]:
        self.ident = (self.ident + 1) & 0xFFFF
        return ethernet_frames(tcp_packet(source, target, seq, ack, flags, payload), self.ident)
