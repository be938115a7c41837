"""IP fragments put together (RFC 791, RFC 8200). Decisions and state only; the clock is the capture's.

Refused, not guessed: overlapping IPv6 fragments (RFC 5722), IPv4 fragments whose overlap holds different
bytes, a TCP fragment that begins inside the TCP header or a first one that does not hold it (RFC 3128), and
what would be longer than an IP packet can be. The rest of a refused packet is passed over.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from landingdeal.capture.layers import IPPROTO_TCP, IpPacket

REASSEMBLY_TIMEOUT_NS = 30 * 10**9  # for the missing ones, by the latest time that the capture has shown
MAX_BUFFERED_BYTES = 16 * 1024 * 1024  # held at once; above it the oldest packet is dropped
MAX_PACKETS = 4096
DUPLICATE_WINDOW_NS = 10**9  # so long after a packet was whole its fragments may come once more
MAX_IP_PACKET_BYTES = 65535
MIN_TCP_FIRST_FRAGMENT_BYTES = (
    16  # bytes of a TCP header up to its flags and checksum: RFC 3128 has a first fragment hold them
)
TCP_FLAGS_FRAGMENT_OFFSET = 8  # a fragment that begins there overlays the flags


@dataclass(frozen=True, slots=True)
class FailedReassembly:
    """A packet that could not be put together; `place` is that of its first fragment seen."""

    overlap: bool
    why: str
    position: tuple[int, int]  # offset in the file, number of the packet


class _PartialPacket:
    __slots__ = ("parts", "size", "whole", "began_ns", "position", "refused", "first")

    def __init__(self, began_ns: int, position: tuple[int, int]) -> None:
        self.parts: dict[int, bytes] = {}  # by where they begin
        self.size = 0
        self.whole = -1  # known once the last fragment has been seen
        self.began_ns, self.position = began_ns, position
        self.refused = False
        self.first: IpPacket | None = None


_PacketKey = tuple[int, str, str, int, int]


class FragmentReassembler:
    """`feed` gives the whole packet with the fragment that completes it; `lost` holds what was given up."""

    def __init__(self, wait_ns: int = REASSEMBLY_TIMEOUT_NS, bytes_most: int = MAX_BUFFERED_BYTES) -> None:
        self.wait_ns, self.bytes_most = wait_ns, bytes_most
        self.partials: OrderedDict[_PacketKey, _PartialPacket] = OrderedDict()  # the oldest first
        self.done: OrderedDict[_PacketKey, int] = OrderedDict()  # packets that were whole of late, and when
        self.held = 0
        self.now_ns = 0
        self.lost: list[FailedReassembly] = []

    def feed(self, part: IpPacket, time_ns: int, position: tuple[int, int]) -> IpPacket | None:
        self.now_ns = max(self.now_ns, time_ns)
        self._expire()
        key = part.version, part.source, part.target, part.protocol if part.version == 4 else 0, part.ident
        partial = self.partials.get(key)
        if partial is None and key in self.done:
            return None
        if partial is None:
            partial = self.partials[key] = _PartialPacket(self.now_ns, position)
        if partial.refused:
            return None
        why = self._objection(partial, part)
        if why:
            self._refuse(partial, why)
            return None
        known = partial.parts.get(part.at)
        if known is None or len(part.payload) > len(known):
            grown = len(part.payload) - len(known or b"")
            partial.parts[part.at] = part.payload
            partial.size += grown
            self.held += grown
        if not part.more:
            partial.whole = part.at + len(part.payload)
        if part.at == 0:
            partial.first = part
        whole = self._whole(partial)
        if whole is not None:
            assert partial.first is not None
            self._drop(key)
            self.done[key] = self.now_ns
            return replace(partial.first, payload=whole, at=0, more=False)
        self._bound()
        return None

    def end(self) -> None:
        """The capture is over: what is missing does not come any more."""
        for key in list(self.partials):
            self._give_up(key, "the capture ends")

    @staticmethod
    def _objection(partial: _PartialPacket, part: IpPacket) -> str:
        """Why the whole packet is refused because of this fragment; empty if it is not."""
        begin, end = part.at, part.at + len(part.payload)
        if end > MAX_IP_PACKET_BYTES:
            return f"a fragment ends at byte {end}, beyond what an IP packet can hold"
        if part.short:
            return f"a fragment was cut by {part.short} bytes"
        if part.more and len(part.payload) % 8:
            return f"a fragment of {len(part.payload)} bytes is not the last one"
        if partial.whole >= 0 and (end > partial.whole or not part.more and end != partial.whole):
            return f"a fragment ends at byte {end} of a packet of {partial.whole}"
        if not part.more and any(at + len(data) > end for at, data in partial.parts.items()):
            return f"the last fragment ends at byte {end}, before another"
        if part.version == 4 and part.protocol == IPPROTO_TCP:
            if begin == TCP_FLAGS_FRAGMENT_OFFSET:
                return "a fragment lies over the TCP flags (RFC 3128)"
            if begin == 0 and part.more and len(part.payload) < MIN_TCP_FIRST_FRAGMENT_BYTES:
                return "the first fragment does not hold the TCP header (RFC 3128)"
        for at, data in partial.parts.items():
            if begin >= at + len(data) or at >= end:
                continue
            if at == begin and data == part.payload:
                continue  # the same one again (RFC 8200 4.5)
            if part.version == 6:
                return f"bytes {max(at, begin)} to {min(at + len(data), end)} come twice (RFC 5722)"
            low, high = max(at, begin), min(at + len(data), end)
            if data[low - at : high - at] != part.payload[low - begin : high - begin]:
                return f"bytes {low} to {high} come twice and differ"
        return ""

    @staticmethod
    def _whole(partial: _PartialPacket) -> bytes | None:
        if partial.whole < 0 or partial.first is None or partial.size < partial.whole:
            return None
        made = b""
        for at in sorted(partial.parts):
            if at > len(made):
                return None
            made += partial.parts[at][len(made) - at :]
        return made if len(made) == partial.whole else None

    # --- bounds ---

    def _refuse(self, partial: _PartialPacket, why: str) -> None:
        """It stays known, without its bytes, so that the rest of it is passed over."""
        self.held -= partial.size
        partial.parts.clear()
        partial.size, partial.refused = 0, True
        self.lost.append(FailedReassembly(True, why, partial.position))

    def _drop(self, key: _PacketKey) -> None:
        self.held -= self.partials.pop(key).size

    def _give_up(self, key: _PacketKey, why: str) -> None:
        partial = self.partials[key]
        if not partial.refused:
            told = f"of {partial.whole} bytes" if partial.whole >= 0 else "of a packet whose end is not known"
            self.lost.append(
                FailedReassembly(False, f"{partial.size} bytes came {told}: {why}", partial.position)
            )
        self._drop(key)

    def _expire(self) -> None:
        while self.done:
            key, at = next(iter(self.done.items()))
            if self.now_ns - at <= DUPLICATE_WINDOW_NS and len(self.done) <= MAX_PACKETS:
                break
            del self.done[key]
        while self.partials:
            key = next(iter(self.partials))
            if self.now_ns - self.partials[key].began_ns <= self.wait_ns:
                return
            self._give_up(key, f"the rest did not come within {self.wait_ns // 10**9} s")

    def _bound(self) -> None:
        while self.held > self.bytes_most or len(self.partials) > MAX_PACKETS:
            self._give_up(next(iter(self.partials)), "dropped for room")
