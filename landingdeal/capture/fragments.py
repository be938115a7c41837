"""Reassembles IP fragments (RFC 791, RFC 8200). No I/O; time is that of the captured packets.

Packets are rejected for overlapping IPv6 fragments (RFC 5722), IPv4 fragments whose overlap differs, a TCP
fragment that begins inside the TCP header or a first one that does not contain it (RFC 3128), and fragments
beyond the maximum length of an IP packet. Further fragments of a rejected packet are ignored.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from landingdeal.capture.layers import IPPROTO_TCP, IpPacket

REASSEMBLY_TIMEOUT_NS = 30 * 10**9  # for missing fragments, by the latest packet time so far
MAX_BUFFERED_BYTES = 16 * 1024 * 1024  # of all incomplete packets; above it the oldest one is dropped
MAX_PACKETS = 4096
DUPLICATE_WINDOW_NS = 10**9  # duplicate fragments of a completed packet are ignored for this long
MAX_IP_PACKET_BYTES = 65535
MIN_TCP_FIRST_FRAGMENT_BYTES = 16  # up to flags and checksum, required in a first fragment (RFC 3128)
TCP_FLAGS_FRAGMENT_OFFSET = 8  # a fragment at this offset overwrites the flags (RFC 3128)


@dataclass(frozen=True, slots=True)
class FailedReassembly:
    """A packet that could not be reassembled; `position` is that of its first captured fragment."""

    rejected: bool  # else fragments are missing
    reason: str
    position: tuple[int, int]  # offset in the file and packet number


class _PartialPacket:
    """The fragments of one incomplete packet."""

    __slots__ = (
        "fragments", "fragment_bytes", "total_bytes", "started_ns", "position", "rejected", "first_fragment",
    )  # fmt: skip

    def __init__(self, started_ns: int, position: tuple[int, int]) -> None:
        self.fragments: dict[int, bytes] = {}  # by fragment offset
        self.fragment_bytes = 0
        self.total_bytes = -1  # -1 until the last fragment is known
        self.started_ns, self.position = started_ns, position
        self.rejected = False
        self.first_fragment: IpPacket | None = None


_PacketKey = tuple[int, str, str, int, int]


class FragmentReassembler:
    """`feed` returns a packet once it is complete; `failures` lists those that can't be reassembled."""

    def __init__(
        self, timeout_ns: int = REASSEMBLY_TIMEOUT_NS, max_buffered_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        self.timeout_ns, self.max_buffered_bytes = timeout_ns, max_buffered_bytes
        self.partials: OrderedDict[_PacketKey, _PartialPacket] = OrderedDict()  # oldest first
        self.completed: OrderedDict[_PacketKey, int] = OrderedDict()  # completion times, oldest first
        self.buffered_bytes = 0
        self.now_ns = 0
        self.failures: list[FailedReassembly] = []

    def feed(self, fragment: IpPacket, time_ns: int, position: tuple[int, int]) -> IpPacket | None:
        """Adds a fragment; returns the packet if it is complete now."""
        self.now_ns = max(self.now_ns, time_ns)
        self._expire()
        key = (
            fragment.version,
            fragment.source,
            fragment.target,
            fragment.protocol if fragment.version == 4 else 0,
            fragment.identification,
        )
        partial = self.partials.get(key)
        if partial is None and key in self.completed:
            return None
        if partial is None:
            partial = self.partials[key] = _PartialPacket(self.now_ns, position)
        if partial.rejected:
            return None
        reason = self._rejection_reason(partial, fragment)
        if reason:
            self._reject(partial, reason)
            return None
        known = partial.fragments.get(fragment.fragment_offset)
        if known is None or len(fragment.payload) > len(known):
            grown = len(fragment.payload) - len(known or b"")
            partial.fragments[fragment.fragment_offset] = fragment.payload
            partial.fragment_bytes += grown
            self.buffered_bytes += grown
        if not fragment.more_fragments:
            partial.total_bytes = fragment.fragment_offset + len(fragment.payload)
        if fragment.fragment_offset == 0:
            partial.first_fragment = fragment
        reassembled = self._assemble(partial)
        if reassembled is not None:
            assert partial.first_fragment is not None
            self._drop(key)
            self.completed[key] = self.now_ns
            return replace(
                partial.first_fragment, payload=reassembled, fragment_offset=0, more_fragments=False
            )
        self._enforce_limits()
        return None

    def end(self) -> None:
        """Fails all incomplete packets at the end of the capture."""
        for key in list(self.partials):
            self._fail(key, "the capture ends")

    @staticmethod
    def _rejection_reason(partial: _PartialPacket, fragment: IpPacket) -> str:
        """Why this fragment makes the whole packet invalid; empty if it does not."""
        start, end = fragment.fragment_offset, fragment.fragment_offset + len(fragment.payload)
        if end > MAX_IP_PACKET_BYTES:
            return f"a fragment ends at byte {end}, beyond what an IP packet can hold"
        if fragment.missing_bytes:
            return f"a fragment was cut by {fragment.missing_bytes} bytes"
        if fragment.more_fragments and len(fragment.payload) % 8:
            return f"a fragment of {len(fragment.payload)} bytes is not the last one"
        if partial.total_bytes >= 0 and (
            end > partial.total_bytes or not fragment.more_fragments and end != partial.total_bytes
        ):
            return f"a fragment ends at byte {end} of a packet of {partial.total_bytes}"
        if not fragment.more_fragments and any(
            other_start + len(other_payload) > end for other_start, other_payload in partial.fragments.items()
        ):
            return f"the last fragment ends at byte {end}, before another"
        if fragment.version == 4 and fragment.protocol == IPPROTO_TCP:
            if start == TCP_FLAGS_FRAGMENT_OFFSET:
                return "a fragment lies over the TCP flags (RFC 3128)"
            if (
                start == 0
                and fragment.more_fragments
                and len(fragment.payload) < MIN_TCP_FIRST_FRAGMENT_BYTES
            ):
                return "the first fragment does not hold the TCP header (RFC 3128)"
        for other_start, other_payload in partial.fragments.items():
            if start >= other_start + len(other_payload) or other_start >= end:
                continue
            if other_start == start and other_payload == fragment.payload:
                continue  # an exact duplicate (RFC 8200, 4.5)
            if fragment.version == 6:
                return (
                    f"bytes {max(other_start, start)} to {min(other_start + len(other_payload), end)} "
                    "come twice (RFC 5722)"
                )
            overlap_start, overlap_end = max(other_start, start), min(other_start + len(other_payload), end)
            if (
                other_payload[overlap_start - other_start : overlap_end - other_start]
                != fragment.payload[overlap_start - start : overlap_end - start]
            ):
                return f"bytes {overlap_start} to {overlap_end} come twice and differ"
        return ""

    @staticmethod
    def _assemble(partial: _PartialPacket) -> bytes | None:
        if (
            partial.total_bytes < 0
            or partial.first_fragment is None
            or partial.fragment_bytes < partial.total_bytes
        ):
            return None
        payload = b""
        for start in sorted(partial.fragments):
            if start > len(payload):
                return None
            payload += partial.fragments[start][len(payload) - start :]
        return payload if len(payload) == partial.total_bytes else None

    # --- bounds ---

    def _reject(self, partial: _PartialPacket, reason: str) -> None:
        """Keeps the entry without its bytes, so that further fragments are ignored."""
        self.buffered_bytes -= partial.fragment_bytes
        partial.fragments.clear()
        partial.fragment_bytes, partial.rejected = 0, True
        self.failures.append(FailedReassembly(True, reason, partial.position))

    def _drop(self, key: _PacketKey) -> None:
        self.buffered_bytes -= self.partials.pop(key).fragment_bytes

    def _fail(self, key: _PacketKey, reason: str) -> None:
        partial = self.partials[key]
        if not partial.rejected:
            expected = (
                f"of {partial.total_bytes} bytes"
                if partial.total_bytes >= 0
                else "of a packet whose end is not known"
            )
            self.failures.append(
                FailedReassembly(
                    False, f"{partial.fragment_bytes} bytes came {expected}: {reason}", partial.position
                )
            )
        self._drop(key)

    def _expire(self) -> None:
        while self.completed:
            key, completed_ns = next(iter(self.completed.items()))
            if self.now_ns - completed_ns <= DUPLICATE_WINDOW_NS and len(self.completed) <= MAX_PACKETS:
                break
            del self.completed[key]
        while self.partials:
            key = next(iter(self.partials))
            if self.now_ns - self.partials[key].started_ns <= self.timeout_ns:
                return
            self._fail(key, f"the rest did not come within {self.timeout_ns // 10**9} s")

    def _enforce_limits(self) -> None:
        while self.buffered_bytes > self.max_buffered_bytes or len(self.partials) > MAX_PACKETS:
            self._fail(next(iter(self.partials)), "dropped for room")
