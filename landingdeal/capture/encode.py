"""Encodes packets and capture files: the inverse of `layers` and `formats`. No I/O."""

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
    """Classic pcap: little-endian, Ethernet, nanoseconds by default. Comments are not written."""

    suffix = ".pcap"

    def __init__(self, nanosecond_resolution: bool = True) -> None:
        self.ns_per_fraction = 1 if nanosecond_resolution else 1000
        self.magic = MAGIC_NANOSECONDS if nanosecond_resolution else MAGIC_MICROSECONDS

    def file_header(self) -> bytes:
        """The bytes at the start of a file."""
        return struct.pack("<IHHiIII", self.magic, 2, 4, 0, 0, SNAPLEN, LINKTYPE_ETHERNET)

    def packet_record(self, time_ns: int, frame: bytes, comment: str = "") -> bytes:
        """The record of one packet."""
        seconds, nanoseconds = divmod(time_ns, 10**9)
        return (
            struct.pack("<IIII", seconds, nanoseconds // self.ns_per_fraction, len(frame), len(frame)) + frame
        )


class PcapngEncoder:
    """pcapng: little-endian, nanoseconds, one section with one interface."""

    suffix = ".pcapng"

    def file_header(self) -> bytes:
        """The bytes at the start of a file."""
        section = struct.pack("<IHHq", BYTE_ORDER_MAGIC, 1, 0, -1)
        resolution = struct.pack("<HHB3xHH", OPT_TSRESOL, 1, 9, 0, 0)
        interface = struct.pack("<HHI", LINKTYPE_ETHERNET, 0, SNAPLEN) + resolution
        return self._block(SECTION_HEADER_BLOCK, section) + self._block(
            INTERFACE_DESCRIPTION_BLOCK, interface
        )

    def packet_record(self, time_ns: int, frame: bytes, comment: str = "") -> bytes:
        """The record of one packet."""
        body = struct.pack("<IIIII", 0, time_ns >> 32, time_ns & 0xFFFFFFFF, len(frame), len(frame))
        body += _pad(frame)
        if comment:
            comment_bytes = comment.encode()[:1024]
            body += struct.pack("<HH", OPT_COMMENT, len(comment_bytes)) + _pad(comment_bytes) + bytes(4)
        return self._block(ENHANCED_PACKET_BLOCK, body)

    @staticmethod
    def _block(block_type: int, body: bytes) -> bytes:
        size = struct.pack("<I", len(body) + 12)
        return struct.pack("<I", block_type) + size + body + size


CaptureEncoder = PcapEncoder | PcapngEncoder


# --- packets ---


def _packed_address(host: str) -> bytes:
    return socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)


def ip_packet(ip: IpPacket, last_identification: int = 0) -> bytes:
    """Encodes an IP packet or fragment."""
    addresses = _packed_address(ip.source) + _packed_address(ip.target)
    if ip.version == 4:
        flags = ip.fragment_offset // 8 | (0x2000 if ip.more_fragments else 0)
        if not ip.is_fragment:
            flags = 0x4000  # don't fragment
        header = struct.pack(
            ">BBHHHBBH", 0x45, 0, 20 + len(ip.payload), ip.identification, flags, 64, ip.protocol, 0
        )
        checksum = ~ones_complement_sum(header + addresses) & 0xFFFF
        return header[:10] + struct.pack(">H", checksum) + addresses + ip.payload
    payload, protocol = ip.payload, ip.protocol
    if ip.is_fragment:
        payload = (
            struct.pack(">BBHI", protocol, 0, ip.fragment_offset | ip.more_fragments, ip.identification)
            + payload
        )
        protocol = 44
    return struct.pack(">IHBB", 6 << 28, len(payload), protocol, 64) + addresses + payload


def ethernet_frames(ip: IpPacket, identification: int) -> list[bytes]:
    """Ethernet frames of one IP packet: fragments if it exceeds the MTU."""
    max_fragment_bytes = (MTU - (20 if ip.version == 4 else 48)) // 8 * 8
    ethertype = struct.pack(">H", ETHERTYPE_IPV4 if ip.version == 4 else ETHERTYPE_IPV6)
    ethernet_header = b"\x02\0\0\0\0\x02\x02\0\0\0\0\x01" + ethertype
    max_payload_bytes = MTU - (20 if ip.version == 4 else 40)
    if len(ip.payload) <= max_payload_bytes:
        return [ethernet_header + ip_packet(ip)]
    frames = []
    for offset in range(0, len(ip.payload), max_fragment_bytes):
        chunk = ip.payload[offset : offset + max_fragment_bytes]
        more_fragments = offset + max_fragment_bytes < len(ip.payload)
        fragment = IpPacket(
            ip.version, ip.source, ip.target, ip.protocol, chunk, identification=identification,
            fragment_offset=offset, more_fragments=more_fragments,
        )  # fmt: skip
        frames.append(ethernet_header + ip_packet(fragment))
    return frames


def _with_checksum(
    protocol: int, source: Address, target: Address, data: bytes, checksum_offset: int
) -> IpPacket:
    """Returns an IP packet whose payload has its checksum at `checksum_offset` filled in."""
    version = 6 if ":" in source[0] else 4
    unsummed = IpPacket(version, source[0], target[0], protocol, data)
    checksum = ~ones_complement_sum(pseudo_header(unsummed, len(data)) + data) & 0xFFFF
    if protocol == IPPROTO_UDP and checksum == 0:
        checksum = 0xFFFF
    summed_data = data[:checksum_offset] + struct.pack(">H", checksum) + data[checksum_offset + 2 :]
    return IpPacket(version, source[0], target[0], protocol, summed_data)


def udp_packet(source: Address, target: Address, payload: bytes) -> IpPacket:
    """An IP packet with one UDP datagram."""
    data = struct.pack(">HHHH", source[1], target[1], 8 + len(payload), 0) + payload
    return _with_checksum(IPPROTO_UDP, source, target, data, 6)


def tcp_packet(
    source: Address, target: Address, seq: int, ack: int, flags: int, payload: bytes = b""
) -> IpPacket:
    """An IP packet with one TCP segment."""
    data = struct.pack(">HHIIBBHHH", source[1], target[1], seq, ack, 5 << 4, flags, 65535, 0, 0) + payload
    return _with_checksum(IPPROTO_TCP, source, target, data, 16)


# --- message exchanges ---

MAX_SEGMENT_BYTES = MTU - 20 - 20


@dataclass(slots=True)
class _Connection:
    """One synthesized TCP connection: the next sequence number of each end."""

    next_seqs: dict[Address, int]
    open: bool = False


class PacketBuilder:
    """Builds the packets of message exchanges so that any capture reader can follow them.

    TCP connections get a handshake, sequence numbers, an acknowledgement of each segment and a FIN from both
    ends. Their number is bounded; the one idle longest is closed first. Datagrams over the MTU are
    fragmented.
    """

    MAX_CONNECTIONS = 4096

    def __init__(self) -> None:
        self.connections: dict[frozenset[Address], _Connection] = {}
        self.identification = 0

    def datagram_frames(self, source: Address, target: Address, payload: bytes) -> list[bytes]:
        """Frames of one UDP datagram."""
        self.identification = (self.identification + 1) & 0xFFFF
        return ethernet_frames(udp_packet(source, target, payload), self.identification)

    def stream_frames(self, source: Address, target: Address, payload: bytes) -> list[bytes]:
        """Frames of bytes on a connection; `source` opens it if it is not open."""
        key = frozenset((source, target))
        frames = []
        connection = self.connections.pop(key, None)
        if connection is None:
            while len(self.connections) >= self.MAX_CONNECTIONS:
                idle = next(iter(self.connections))
                frames += self._fin_frames(idle)
            connection = _Connection({source: 1000, target: 5000})
            frames += self._handshake_frames(connection, source, target)
        self.connections[key] = connection  # most recently used: closed last
        next_seqs = connection.next_seqs
        for offset in range(0, len(payload), MAX_SEGMENT_BYTES):
            chunk = payload[offset : offset + MAX_SEGMENT_BYTES]
            frames += self._segment_frames(
                source, target, next_seqs[source], next_seqs[target], PSH | ACK, chunk
            )
            next_seqs[source] = (next_seqs[source] + len(chunk)) & 0xFFFFFFFF
            frames += self._segment_frames(target, source, next_seqs[target], next_seqs[source], ACK)
        return frames

    def close_connection(self, source: Address, target: Address, reset: bool = False) -> list[bytes]:
        """Frames with which `source` closes the connection; none if it is not open."""
        key = frozenset((source, target))
        if key not in self.connections:
            return []
        if not reset:
            return self._fin_frames(key, source)
        next_seqs = self.connections.pop(key).next_seqs
        return self._segment_frames(source, target, next_seqs[source], next_seqs[target], RST | ACK)

    def close_all(self) -> list[bytes]:
        """Frames that close all open connections."""
        return [frame for key in list(self.connections) for frame in self._fin_frames(key)]

    def _handshake_frames(self, connection: _Connection, source: Address, target: Address) -> list[bytes]:
        next_seqs = connection.next_seqs
        frames = self._segment_frames(source, target, next_seqs[source], 0, SYN)
        frames += self._segment_frames(target, source, next_seqs[target], next_seqs[source] + 1, SYN | ACK)
        next_seqs[source], next_seqs[target] = next_seqs[source] + 1, next_seqs[target] + 1
        return frames + self._segment_frames(source, target, next_seqs[source], next_seqs[target], ACK)

    def _fin_frames(self, key: frozenset[Address], first: Address | None = None) -> list[bytes]:
        connection = self.connections.pop(key)
        next_seqs = connection.next_seqs
        closer = first or next(iter(next_seqs))
        peer = next((end for end in next_seqs if end != closer), closer)
        frames = self._segment_frames(closer, peer, next_seqs[closer], next_seqs[peer], FIN | ACK)
        frames += self._segment_frames(
            peer, closer, next_seqs[peer], (next_seqs[closer] + 1) & 0xFFFFFFFF, FIN | ACK
        )
        return frames + self._segment_frames(
            closer, peer, (next_seqs[closer] + 1) & 0xFFFFFFFF, (next_seqs[peer] + 1) & 0xFFFFFFFF, ACK
        )

    def _segment_frames(
        self, source: Address, target: Address, seq: int, ack: int, flags: int, payload: bytes = b""
    ) -> list[bytes]:
        self.identification = (self.identification + 1) & 0xFFFF
        return ethernet_frames(tcp_packet(source, target, seq, ack, flags, payload), self.identification)
