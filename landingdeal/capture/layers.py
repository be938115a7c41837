"""From a captured frame to IP, and from IP to UDP and TCP. Pure: bytes in, small frozen values out."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

NULL, ETHERNET, RAW_OLD, RAW, LOOP, COOKED, IPV4, IPV6, COOKED2 = 0, 1, 12, 101, 108, 113, 228, 229, 276
LINKS = frozenset((NULL, ETHERNET, RAW_OLD, RAW, LOOP, COOKED, IPV4, IPV6, COOKED2))
_TYPE_AT = {ETHERNET: 12, COOKED: 14, COOKED2: 0}  # where the frame says what it carries
_BODY_AT = {ETHERNET: 14, COOKED: 16, COOKED2: 20}
ETHER_4, ETHER_6, VLANS = 0x0800, 0x86DD, frozenset((0x8100, 0x88A8, 0x9100))
UDP, TCP = 17, 6
FRAGMENT = 44
EXTENSIONS = frozenset((0, 43, 60, 135, 139, 140))  # of IPv6 with the usual length byte; 51 counts otherwise
AUTHENTICATION = 51
HEADERS_MOST = 16

Address = tuple[str, int]


class BadPacket(Exception):
    """Its lengths can't be; the text says which."""


class NotForUs(Exception):
    """Neither IP, nor UDP or TCP: passed over."""


@dataclass(frozen=True, slots=True)
class Ip:
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


class Sum(Enum):
    """What a checksum says."""

    GOOD = "good"
    ABSENT = "absent"  # zero: UDP over IPv4 may go without; or it was left to the network card
    OFFLOADED = "offloaded"  # the pseudo-header alone is summed: the network card was to do the rest
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class Datagram:
    source: Address
    target: Address
    payload: bytes
    sum: Sum


@dataclass(frozen=True, slots=True)
class Segment:
    source: Address
    target: Address
    payload: bytes
    sum: Sum
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


def ip_of(link: int, data: bytes) -> Ip:
    """Raises NotForUs, or BadPacket."""
    try:
        at = _TYPE_AT.get(link)
        if at is None:
            if link not in LINKS:
                raise NotForUs(f"link type {link}")
            data = data[4:] if link in (NULL, LOOP) else data
            version = data[0] >> 4
        else:
            (kind,) = struct.unpack_from(">H", data, at)
            at = _BODY_AT[link]
            while kind in VLANS:
                (kind,) = struct.unpack_from(">H", data, at + 2)
                at += 4
            if kind not in (ETHER_4, ETHER_6):
                raise NotForUs("not IP")
            data = data[at:]
            version = data[0] >> 4
            if version != (4 if kind == ETHER_4 else 6):
                raise BadPacket(f"IP version {version} in a frame of the other")
        if version == 4:
            return _ip4(data)
        if version == 6:
            return _ip6(data)
    except (struct.error, IndexError):
        raise BadPacket("it ends inside its headers") from None
    raise NotForUs("not IP")


def _ip4(data: bytes) -> Ip:
    first, _, total, ident, flags, _, protocol = struct.unpack_from(">BBHHHBB", data)
    head = (first & 15) * 4
    if total == 0:  # segmentation was left to the network card
        total = len(data)
    if head < 20 or total < head or len(data) < head:
        raise BadPacket(f"an IPv4 header of {head} bytes in a packet of {total}")
    return Ip(
        4, _v4(data[12:16]), _v4(data[16:20]), protocol, data[head:total], max(total - len(data), 0), ident,
        (flags & 0x1FFF) * 8, bool(flags & 0x2000),
    )  # fmt: skip


def _ip6(data: bytes) -> Ip:
    length, following = struct.unpack_from(">HB", data, 4)
    source, target = _v6(data[8:24]), _v6(data[24:40])
    if len(data) < 40:
        raise BadPacket("it ends inside its headers")
    if length == 0:  # a jumbogram, or segmentation left to the network card
        length = len(data) - 40
    body, short = data[40 : 40 + length], max(40 + length - len(data), 0)
    for _ in range(HEADERS_MOST):
        if following in EXTENSIONS or following == AUTHENTICATION:
            size = (body[1] + 2) * 4 if following == AUTHENTICATION else (body[1] + 1) * 8
            if size > len(body):
                raise BadPacket("an IPv6 extension header is longer than its packet")
            following, body = body[0], body[size:]
        elif following == FRAGMENT:
            follows, _, flags, ident = struct.unpack_from(">BBHI", body)
            at, more = flags & 0xFFF8, bool(flags & 1)
            if at or more:  # an atomic fragment (RFC 6946) is whole
                return Ip(6, source, target, follows, body[8:], short, ident, at, more)
            following, body = follows, body[8:]
        else:
            return Ip(6, source, target, following, body, short)
    raise BadPacket("too many IPv6 extension headers")


def ones_sum(data: bytes) -> int:
    """The ones' complement sum of 16-bit words (RFC 1071), by way of arithmetic modulo 2^16 - 1."""
    if len(data) % 2:
        data += b"\0"
    total = int.from_bytes(data, "big")
    return total % 0xFFFF or (0xFFFF if total else 0)


def pseudo_header(ip: Ip, size: int) -> bytes:
    family = socket.AF_INET if ip.version == 4 else socket.AF_INET6
    hosts = socket.inet_pton(family, ip.source) + socket.inet_pton(family, ip.target)
    if ip.version == 4:
        return hosts + struct.pack(">BBH", 0, ip.protocol, size)
    return hosts + struct.pack(">IHBB", size, 0, 0, ip.protocol)


def check(ip: Ip, payload: bytes, told: int) -> Sum:
    """`told` is the checksum in the header of `payload`."""
    if told == 0 and ip.protocol == UDP:
        return Sum.ABSENT
    pseudo = pseudo_header(ip, len(payload))
    if ones_sum(pseudo + payload) == 0xFFFF:
        return Sum.GOOD
    if told == 0:
        return Sum.ABSENT
    return Sum.OFFLOADED if told == ones_sum(pseudo) else Sum.WRONG


def transport_of(ip: Ip) -> Datagram | Segment:
    """Of a whole packet. Raises NotForUs, or BadPacket."""
    data = ip.payload
    try:
        if ip.protocol == UDP:
            source, target, size, told = struct.unpack_from(">HHHH", data)
            if size == 0 and ip.version == 6:
                size = len(data)
            if not 8 <= size <= len(data):
                raise BadPacket(f"a UDP length of {size} in {len(data)} bytes")
            summed = check(ip, data[:size], told)
            return Datagram((ip.source, source), (ip.target, target), data[8:size], summed)
        if ip.protocol == TCP:
            source, target, seq, ack, offset, flags, _, told = struct.unpack_from(">HHIIBBHH", data)
            head = (offset >> 4) * 4
            if not 20 <= head <= len(data):
                raise BadPacket(f"a TCP header of {head} bytes in {len(data)}")
            return Segment(
                (ip.source, source), (ip.target, target), data[head:], check(ip, data, told), seq,
                ack if flags & 16 else -1, bool(flags & 2), bool(flags & 1), bool(flags & 4),
            )  # fmt: skip
    except struct.error:
        raise BadPacket("it ends inside its headers") from None
    raise NotForUs("neither UDP nor TCP")
