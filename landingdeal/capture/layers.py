"""Decodes captured frames to IP packets, and these to UDP datagrams and TCP segments. No I/O, no state."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

(
    LINKTYPE_NULL, LINKTYPE_ETHERNET, LINKTYPE_RAW_OLD, LINKTYPE_RAW, LINKTYPE_LOOP, LINKTYPE_LINUX_SLL,
    LINKTYPE_IPV4, LINKTYPE_IPV6, LINKTYPE_LINUX_SLL2,
) = 0, 1, 12, 101, 108, 113, 228, 229, 276  # fmt: skip
LINK_TYPES = frozenset((
    LINKTYPE_NULL, LINKTYPE_ETHERNET, LINKTYPE_RAW_OLD, LINKTYPE_RAW, LINKTYPE_LOOP, LINKTYPE_LINUX_SLL,
    LINKTYPE_IPV4, LINKTYPE_IPV6, LINKTYPE_LINUX_SLL2,
))  # fmt: skip
_ETHERTYPE_OFFSET = {LINKTYPE_ETHERNET: 12, LINKTYPE_LINUX_SLL: 14, LINKTYPE_LINUX_SLL2: 0}
_PAYLOAD_OFFSET = {LINKTYPE_ETHERNET: 14, LINKTYPE_LINUX_SLL: 16, LINKTYPE_LINUX_SLL2: 20}
ETHERTYPE_IPV4, ETHERTYPE_IPV6, VLAN_ETHERTYPES = 0x0800, 0x86DD, frozenset((0x8100, 0x88A8, 0x9100))
IPPROTO_UDP, IPPROTO_TCP = 17, 6
IPV6_FRAGMENT_HEADER = 44
IPV6_EXTENSION_HEADERS = frozenset((0, 43, 60, 135, 139, 140))  # their length is in units of 8 bytes
IPV6_AUTHENTICATION_HEADER = 51  # its length is in units of 4 bytes
MAX_EXTENSION_HEADERS = 16

Address = tuple[str, int]


class MalformedPacket(Exception):
    """Impossible lengths or a truncated header; the text names them."""


class UnsupportedProtocol(Exception):
    """Not IP, or neither UDP nor TCP: the packet is skipped."""


@dataclass(frozen=True, slots=True)
class IpPacket:
    """An IP packet or one fragment of it. `missing_bytes`: bytes that the capture truncated."""

    version: int
    source: str
    target: str
    protocol: int
    payload: bytes
    missing_bytes: int = 0
    identification: int = 0
    fragment_offset: int = 0  # in bytes
    more_fragments: bool = False

    @property
    def is_fragment(self) -> bool:
        return self.more_fragments or self.fragment_offset > 0


class ChecksumStatus(Enum):
    """The result of verifying a checksum."""

    GOOD = "good"
    ABSENT = "absent"  # zero: optional for UDP over IPv4, or left to the network card
    OFFLOADED = "offloaded"  # covers only the pseudo-header: the network card computes the rest
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class UdpDatagram:
    """A UDP datagram and the status of its checksum."""

    source: Address
    target: Address
    payload: bytes
    checksum: ChecksumStatus


@dataclass(frozen=True, slots=True)
class TcpSegment:
    """A TCP segment and the status of its checksum."""

    source: Address
    target: Address
    payload: bytes
    checksum: ChecksumStatus
    seq: int
    ack: int  # -1 without the ACK flag
    syn: bool
    fin: bool
    rst: bool


@lru_cache(4096)
def _ipv4_text(raw: bytes) -> str:
    return socket.inet_ntop(socket.AF_INET, raw)


@lru_cache(4096)
def _ipv6_text(raw: bytes) -> str:
    return socket.inet_ntop(socket.AF_INET6, raw)


def decode_frame(link_type: int, data: bytes) -> IpPacket:
    """Decodes the IP packet in a frame of a link type. Raises UnsupportedProtocol or MalformedPacket."""
    try:
        offset = _ETHERTYPE_OFFSET.get(link_type)
        if offset is None:
            if link_type not in LINK_TYPES:
                raise UnsupportedProtocol(f"link type {link_type}")
            data = data[4:] if link_type in (LINKTYPE_NULL, LINKTYPE_LOOP) else data
            version = data[0] >> 4
        else:
            (ethertype,) = struct.unpack_from(">H", data, offset)
            offset = _PAYLOAD_OFFSET[link_type]
            while ethertype in VLAN_ETHERTYPES:
                (ethertype,) = struct.unpack_from(">H", data, offset + 2)
                offset += 4
            if ethertype not in (ETHERTYPE_IPV4, ETHERTYPE_IPV6):
                raise UnsupportedProtocol("not IP")
            data = data[offset:]
            version = data[0] >> 4
            if version != (4 if ethertype == ETHERTYPE_IPV4 else 6):
                raise MalformedPacket(f"IP version {version} in a frame of the other")
        if version == 4:
            return _decode_ipv4(data)
        if version == 6:
            return _decode_ipv6(data)
    except (struct.error, IndexError):
        raise MalformedPacket("it ends inside its headers") from None
    raise UnsupportedProtocol("not IP")


def _decode_ipv4(data: bytes) -> IpPacket:
    version_and_length, _, total_length, identification, flags, _, protocol = struct.unpack_from(
        ">BBHHHBB", data
    )
    header_bytes = (version_and_length & 15) * 4
    if total_length == 0:  # segmentation was left to the network card
        total_length = len(data)
    if header_bytes < 20 or total_length < header_bytes or len(data) < header_bytes:
        raise MalformedPacket(f"an IPv4 header of {header_bytes} bytes in a packet of {total_length}")
    return IpPacket(
        4, _ipv4_text(data[12:16]), _ipv4_text(data[16:20]), protocol, data[header_bytes:total_length],
        max(total_length - len(data), 0), identification,
        (flags & 0x1FFF) * 8, bool(flags & 0x2000),
    )  # fmt: skip


def _decode_ipv6(data: bytes) -> IpPacket:
    length, next_header = struct.unpack_from(">HB", data, 4)
    source, target = _ipv6_text(data[8:24]), _ipv6_text(data[24:40])
    if len(data) < 40:
        raise MalformedPacket("it ends inside its headers")
    if length == 0:  # a jumbogram, or segmentation was left to the network card
        length = len(data) - 40
    body, missing_bytes = data[40 : 40 + length], max(40 + length - len(data), 0)
    for _ in range(MAX_EXTENSION_HEADERS):
        if next_header in IPV6_EXTENSION_HEADERS or next_header == IPV6_AUTHENTICATION_HEADER:
            size = (body[1] + 2) * 4 if next_header == IPV6_AUTHENTICATION_HEADER else (body[1] + 1) * 8
            if size > len(body):
                raise MalformedPacket("an IPv6 extension header is longer than its packet")
            next_header, body = body[0], body[size:]
        elif next_header == IPV6_FRAGMENT_HEADER:
            fragment_next_header, _, flags, identification = struct.unpack_from(">BBHI", body)
            fragment_offset, more_fragments = flags & 0xFFF8, bool(flags & 1)
            if fragment_offset or more_fragments:  # an atomic fragment (RFC 6946) is a whole packet
                return IpPacket(
                    6, source, target, fragment_next_header, body[8:], missing_bytes, identification,
                    fragment_offset, more_fragments,
                )  # fmt: skip
            next_header, body = fragment_next_header, body[8:]
        else:
            return IpPacket(6, source, target, next_header, body, missing_bytes)
    raise MalformedPacket("too many IPv6 extension headers")


def ones_complement_sum(data: bytes) -> int:
    """The ones' complement sum of 16-bit words (RFC 1071), computed modulo 2^16 - 1."""
    if len(data) % 2:
        data += b"\0"
    total = int.from_bytes(data, "big")
    return total % 0xFFFF or (0xFFFF if total else 0)


def pseudo_header(ip: IpPacket, size: int) -> bytes:
    """The pseudo-header that UDP and TCP checksums cover, for a payload of `size` bytes."""
    family = socket.AF_INET if ip.version == 4 else socket.AF_INET6
    addresses = socket.inet_pton(family, ip.source) + socket.inet_pton(family, ip.target)
    if ip.version == 4:
        return addresses + struct.pack(">BBH", 0, ip.protocol, size)
    return addresses + struct.pack(">IHBB", size, 0, 0, ip.protocol)


def checksum_status(ip: IpPacket, payload: bytes, stored_checksum: int) -> ChecksumStatus:
    """Verifies a UDP or TCP checksum. `stored_checksum` is the one in the header of `payload`."""
    if stored_checksum == 0 and ip.protocol == IPPROTO_UDP:
        return ChecksumStatus.ABSENT
    pseudo = pseudo_header(ip, len(payload))
    if ones_complement_sum(pseudo + payload) == 0xFFFF:
        return ChecksumStatus.GOOD
    if stored_checksum == 0:
        return ChecksumStatus.ABSENT
    return (
        ChecksumStatus.OFFLOADED if stored_checksum == ones_complement_sum(pseudo) else ChecksumStatus.WRONG
    )


def decode_transport(ip: IpPacket) -> UdpDatagram | TcpSegment:
    """Decodes the payload of an unfragmented packet. Raises UnsupportedProtocol or MalformedPacket."""
    data = ip.payload
    try:
        if ip.protocol == IPPROTO_UDP:
            source, target, size, stored_checksum = struct.unpack_from(">HHHH", data)
            if size == 0 and ip.version == 6:
                size = len(data)
            if not 8 <= size <= len(data):
                raise MalformedPacket(f"a UDP length of {size} in {len(data)} bytes")
            status = checksum_status(ip, data[:size], stored_checksum)
            return UdpDatagram((ip.source, source), (ip.target, target), data[8:size], status)
        if ip.protocol == IPPROTO_TCP:
            source, target, seq, ack, data_offset, flags, _, stored_checksum = struct.unpack_from(
                ">HHIIBBHH", data
            )
            header_bytes = (data_offset >> 4) * 4
            if not 20 <= header_bytes <= len(data):
                raise MalformedPacket(f"a TCP header of {header_bytes} bytes in {len(data)}")
            return TcpSegment(
                (ip.source, source), (ip.target, target), data[header_bytes:],
                checksum_status(ip, data, stored_checksum), seq,
                ack if flags & 16 else -1, bool(flags & 2), bool(flags & 1), bool(flags & 4),
            )  # fmt: skip
    except struct.error:
        raise MalformedPacket("it ends inside its headers") from None
    raise UnsupportedProtocol("neither UDP nor TCP")
