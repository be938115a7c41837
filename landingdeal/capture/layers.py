"""From a captured frame to IP, and from IP to UDP and TCP. Pure: bytes in, small frozen values out."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

(
    LINKTYPE_NULL,
    LINKTYPE_ETHERNET,
    LINKTYPE_RAW_OLD,
    LINKTYPE_RAW,
    LINKTYPE_LOOP,
    LINKTYPE_LINUX_SLL,
    LINKTYPE_IPV4,
    LINKTYPE_IPV6,
    LINKTYPE_LINUX_SLL2,
) = 0, 1, 12, 101, 108, 113, 228, 229, 276
LINK_TYPES = frozenset(
    (
        LINKTYPE_NULL,
        LINKTYPE_ETHERNET,
        LINKTYPE_RAW_OLD,
        LINKTYPE_RAW,
        LINKTYPE_LOOP,
        LINKTYPE_LINUX_SLL,
        LINKTYPE_IPV4,
        LINKTYPE_IPV6,
        LINKTYPE_LINUX_SLL2,
    )
)
_ETHERTYPE_OFFSET = {
    LINKTYPE_ETHERNET: 12,
    LINKTYPE_LINUX_SLL: 14,
    LINKTYPE_LINUX_SLL2: 0,
}  # where the frame says what it carries
_PAYLOAD_OFFSET = {LINKTYPE_ETHERNET: 14, LINKTYPE_LINUX_SLL: 16, LINKTYPE_LINUX_SLL2: 20}
ETHERTYPE_IPV4, ETHERTYPE_IPV6, VLAN_ETHERTYPES = 0x0800, 0x86DD, frozenset((0x8100, 0x88A8, 0x9100))
IPPROTO_UDP, IPPROTO_TCP = 17, 6
IPV6_FRAGMENT_HEADER = 44
IPV6_EXTENSION_HEADERS = frozenset(
    (0, 43, 60, 135, 139, 140)
)  # of IPv6 with the usual length byte; 51 counts otherwise
IPV6_AUTHENTICATION_HEADER = 51
MAX_EXTENSION_HEADERS = 16

Address = tuple[str, int]


class MalformedPacket(Exception):
    """Its lengths can't be; the text says which."""


class UnsupportedProtocol(Exception):
    """Neither IP, nor UDP or TCP: passed over."""


@dataclass(frozen=True, slots=True)
class IpPacket:
    """An IP packet or one fragment of it. `short`: bytes that the capture did not keep."""

    version: int
    source: str
    target: str
    protocol: int
    payload: bytes
    short: int = 0
    ident: int = 0
    at: int = 0  # of a fragment, in bytes
    more: bool = False

    @property
    def fragment(self) -> bool:
        return self.more or self.at > 0


class ChecksumStatus(Enum):
    """What a checksum says."""

    GOOD = "good"
    ABSENT = "absent"  # zero: UDP over IPv4 may go without; or it was left to the network card
    OFFLOADED = "offloaded"  # the pseudo-header alone is summed: the network card was to do the rest
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class UdpDatagram:
    source: Address
    target: Address
    payload: bytes
    sum: ChecksumStatus


@dataclass(frozen=True, slots=True)
class TcpSegment:
    source: Address
    target: Address
    payload: bytes
    sum: ChecksumStatus
    seq: int
    ack: int  # -1 where it carries none
    syn: bool
    fin: bool
    rst: bool


@lru_cache(4096)
def _v4(raw: bytes) -> str:
    return socket.inet_ntop(socket.AF_INET, raw)


@lru_cache(4096)
def _v6(raw: bytes) -> str:
    return socket.inet_ntop(socket.AF_INET6, raw)


def decode_frame(link: int, data: bytes) -> IpPacket:
    """Raises NotForUs, or BadPacket."""
    try:
        at = _ETHERTYPE_OFFSET.get(link)
        if at is None:
            if link not in LINK_TYPES:
                raise UnsupportedProtocol(f"link type {link}")
            data = data[4:] if link in (LINKTYPE_NULL, LINKTYPE_LOOP) else data
            version = data[0] >> 4
        else:
            (kind,) = struct.unpack_from(">H", data, at)
            at = _PAYLOAD_OFFSET[link]
            while kind in VLAN_ETHERTYPES:
                (kind,) = struct.unpack_from(">H", data, at + 2)
                at += 4
            if kind not in (ETHERTYPE_IPV4, ETHERTYPE_IPV6):
                raise UnsupportedProtocol("not IP")
            data = data[at:]
            version = data[0] >> 4
            if version != (4 if kind == ETHERTYPE_IPV4 else 6):
                raise MalformedPacket(f"IP version {version} in a frame of the other")
        if version == 4:
            return _ip4(data)
        if version == 6:
            return _ip6(data)
    except (struct.error, IndexError):
        raise MalformedPacket("it ends inside its headers") from None
    raise UnsupportedProtocol("not IP")


def _ip4(data: bytes) -> IpPacket:
    first, _, total, ident, flags, _, protocol = struct.unpack_from(">BBHHHBB", data)
    head = (first & 15) * 4
    if total == 0:  # segmentation was left to the network card
        total = len(data)
    if head < 20 or total < head or len(data) < head:
        raise MalformedPacket(f"an IPv4 header of {head} bytes in a packet of {total}")
    return IpPacket(
        4, _v4(data[12:16]), _v4(data[16:20]), protocol, data[head:total], max(total - len(data), 0), ident,
        (flags & 0x1FFF) * 8, bool(flags & 0x2000),
    )  # fmt: skip


def _ip6(data: bytes) -> IpPacket:
    length, following = struct.unpack_from(">HB", data, 4)
    source, target = _v6(data[8:24]), _v6(data[24:40])
    if len(data) < 40:
        raise MalformedPacket("it ends inside its headers")
    if length == 0:  # a jumbogram, or segmentation left to the network card
        length = len(data) - 40
    body, short = data[40 : 40 + length], max(40 + length - len(data), 0)
    for _ in range(MAX_EXTENSION_HEADERS):
        if following in IPV6_EXTENSION_HEADERS or following == IPV6_AUTHENTICATION_HEADER:
            size = (body[1] + 2) * 4 if following == IPV6_AUTHENTICATION_HEADER else (body[1] + 1) * 8
            if size > len(body):
                raise MalformedPacket("an IPv6 extension header is longer than its packet")
            following, body = body[0], body[size:]
        elif following == IPV6_FRAGMENT_HEADER:
            follows, _, flags, ident = struct.unpack_from(">BBHI", body)
            at, more = flags & 0xFFF8, bool(flags & 1)
            if at or more:  # an atomic fragment (RFC 6946) is whole
                return IpPacket(6, source, target, follows, body[8:], short, ident, at, more)
            following, body = follows, body[8:]
        else:
            return IpPacket(6, source, target, following, body, short)
    raise MalformedPacket("too many IPv6 extension headers")


def ones_complement_sum(data: bytes) -> int:
    """The ones' complement sum of 16-bit words (RFC 1071), by way of arithmetic modulo 2^16 - 1."""
    if len(data) % 2:
        data += b"\0"
    total = int.from_bytes(data, "big")
    return total % 0xFFFF or (0xFFFF if total else 0)


def pseudo_header(ip: IpPacket, size: int) -> bytes:
    family = socket.AF_INET if ip.version == 4 else socket.AF_INET6
    hosts = socket.inet_pton(family, ip.source) + socket.inet_pton(family, ip.target)
    if ip.version == 4:
        return hosts + struct.pack(">BBH", 0, ip.protocol, size)
    return hosts + struct.pack(">IHBB", size, 0, 0, ip.protocol)


def checksum_status(ip: IpPacket, payload: bytes, told: int) -> ChecksumStatus:
    """`told` is the checksum in the header of `payload`."""
    if told == 0 and ip.protocol == IPPROTO_UDP:
        return ChecksumStatus.ABSENT
    pseudo = pseudo_header(ip, len(payload))
    if ones_complement_sum(pseudo + payload) == 0xFFFF:
        return ChecksumStatus.GOOD
    if told == 0:
        return ChecksumStatus.ABSENT
    return ChecksumStatus.OFFLOADED if told == ones_complement_sum(pseudo) else ChecksumStatus.WRONG


def decode_transport(ip: IpPacket) -> UdpDatagram | TcpSegment:
    """Of a whole packet. Raises NotForUs, or BadPacket."""
    data = ip.payload
    try:
        if ip.protocol == IPPROTO_UDP:
            source, target, size, told = struct.unpack_from(">HHHH", data)
            if size == 0 and ip.version == 6:
                size = len(data)
            if not 8 <= size <= len(data):
                raise MalformedPacket(f"a UDP length of {size} in {len(data)} bytes")
            summed = checksum_status(ip, data[:size], told)
            return UdpDatagram((ip.source, source), (ip.target, target), data[8:size], summed)
        if ip.protocol == IPPROTO_TCP:
            source, target, seq, ack, offset, flags, _, told = struct.unpack_from(">HHIIBBHH", data)
            head = (offset >> 4) * 4
            if not 20 <= head <= len(data):
                raise MalformedPacket(f"a TCP header of {head} bytes in {len(data)}")
            return TcpSegment(
                (ip.source, source), (ip.target, target), data[head:], checksum_status(ip, data, told), seq,
                ack if flags & 16 else -1, bool(flags & 2), bool(flags & 1), bool(flags & 4),
            )  # fmt: skip
    except struct.error:
        raise MalformedPacket("it ends inside its headers") from None
    raise UnsupportedProtocol("neither UDP nor TCP")
