"""Captures read: every layout, everything that is wrong with them, and nothing invented."""

from __future__ import annotations

import gzip
import io
import os
import random
import struct
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from landingdeal.capture.calls import CallRecord, CallTracker, Outcome, Party
from landingdeal.capture.encode import (
    ACK,
    FIN,
    PSH,
    RST,
    SYN,
    PacketBuilder,
    PcapEncoder,
    PcapngEncoder,
    ethernet_frames,
    ip_packet,
    tcp_packet,
)
from landingdeal.capture.encode import udp_packet as datagram_of
from landingdeal.capture.formats import MAX_PACKET_BYTES, NotACapture, read_packets
from landingdeal.capture.fragments import FragmentReassembler
from landingdeal.capture.layers import (
    IPPROTO_UDP,
    LINKTYPE_ETHERNET,
    LINKTYPE_IPV4,
    LINKTYPE_LINUX_SLL,
    LINKTYPE_LINUX_SLL2,
    LINKTYPE_LOOP,
    LINKTYPE_NULL,
    LINKTYPE_RAW,
    ChecksumStatus,
    IpPacket,
    TcpSegment,
    UdpDatagram,
    decode_frame,
    decode_transport,
    ones_complement_sum,
    pseudo_header,
)
from landingdeal.capture.messages import CapturedMessage, MessageExtractor
from landingdeal.capture.problems import ProblemKind, Problems
from landingdeal.capture.reader import ReadReport, _sorted_by_time, read_messages
from landingdeal.capture.sample import START_NS, TrafficProfile, encode_capture, generate_traffic, to_packets
from landingdeal.capture.sample import call_messages as sample_call
from landingdeal.capture.source import ByteSource
from landingdeal.capture.streams import (
    ACKED_GAP_TIMEOUT_NS,
    OverlapConflict,
    StreamData,
    StreamEnded,
    TcpReassembler,
)
from landingdeal.sip.message import encode, request

A, B = ("10.0.0.1", 5060), ("10.0.0.2", 5070)
A6, B6 = ("2001:db8::1", 5060), ("2001:db8::2", 5070)
LONG = bool(os.environ.get("LANDINGDEAL_LONG"))  # every byte, and 20,000 mangled files: some minutes
FORMS = [PcapEncoder(), PcapEncoder(nanosecond_resolution=False), PcapngEncoder()]
MS = 10**6


def message(number: int = 1, size: int = 0) -> bytes:
    return encode(request("OPTIONS", "sip:x@net", ("via", "SIP/2.0/UDP a;branch=z9hG4bK1"),
                          ("call-id", f"{number}"), ("cseq", f"{number} OPTIONS"),
                          body=b"x" * size))  # fmt: skip


class Read:
    """One capture, read to its end."""

    def __init__(self, data: bytes, strict: bool = False) -> None:
        self.problems = Problems()
        source = ByteSource("file", io.BytesIO(data))
        self.messages = MessageExtractor(self.problems, "file", strict)
        self.seen: list[CapturedMessage] = []
        try:
            self.seen += _sorted_by_time(self.messages.run(read_packets(source, self.problems)))
        except NotACapture:
            self.seen, self.not_a_capture = [], True
        self.kinds = set(self.problems.counts)
        calls = CallTracker()
        self.calls: list[CallRecord] = [one for seen in self.seen for one in calls.feed(seen)]
        self.calls += calls.end()

    def ids(self) -> list[str]:
        return [seen.message.call_id for seen in self.seen]


def pcap(
    made: Iterable[bytes], link: int = LINKTYPE_ETHERNET, order: str = "<", magic: int = 0xA1B2C3D4
) -> bytes:
    out = struct.pack(order + "IHHiIII", magic, 2, 4, 0, 0, 65535, link)
    for number, data in enumerate(made):
        out += struct.pack(order + "IIII", 7 + number, 250, len(data), len(data)) + data
    return out


# --- files ---


@pytest.mark.parametrize("order", "<>")
@pytest.mark.parametrize(("magic", "unit"), [(0xA1B2C3D4, 1000), (0xA1B23C4D, 1)])
def test_classic_pcap_in_both_orders_and_units(order: str, magic: int, unit: int) -> None:
    got = Read(pcap(ethernet_frames(datagram_of(A, B, message()), 1), order=order, magic=magic))
    assert got.ids() == ["1"] and got.seen[0].time_ns == 7 * 10**9 + 250 * unit and not got.kinds
    assert (got.seen[0].source, got.seen[0].target, got.seen[0].transport) == (A, B, "UDP")


def block(order: str, kind: int, body: bytes) -> bytes:
    body += bytes(-len(body) % 4)
    size = struct.pack(order + "I", len(body) + 12)
    return struct.pack(order + "I", kind) + size + body + size


def section(order: str) -> bytes:
    return block(order, 0x0A0D0D0A, struct.pack(order + "IHHq", 0x1A2B3C4D, 1, 0, -1))


def interface(order: str, *options: tuple[int, bytes], link: int = LINKTYPE_ETHERNET, snap: int = 0) -> bytes:
    told = b"".join(struct.pack(order + "HH", c, len(v)) + v + bytes(-len(v) % 4) for c, v in options)
    return block(order, 1, struct.pack(order + "HHI", link, 0, snap) + told)


def enhanced(order: str, on: int, ticks: int, data: bytes) -> bytes:
    head = struct.pack(order + "IIIII", on, ticks >> 32, ticks & 0xFFFFFFFF, len(data), len(data))
    return block(order, 6, head + data)


@pytest.mark.parametrize("order", "<>")
def test_pcapng_sections_interfaces_and_resolutions(order: str) -> None:
    other = ">" if order == "<" else "<"
    ip = ip_packet(datagram_of(A, B, message(2)))
    data = (
        section(order)
        + interface(order, (9, b"\x03"), (14, struct.pack(order + "q", 100)))  # milliseconds, 100 s later
        + interface(order, (9, b"\x8a"), link=LINKTYPE_RAW)  # 1/1024 s
        + block(order, 0xBAD, b"unknown")
        + enhanced(order, 0, 5000, ethernet_frames(datagram_of(A, B, message(1)), 1)[0])
        + enhanced(order, 1, 2048 * 100, ip)
        + section(other)
        + interface(other, link=LINKTYPE_RAW, snap=len(ip))
        + block(other, 3, struct.pack(other + "I", len(ip)) + ip)
        + block(other, 2, struct.pack(other + "HHIIII", 0, 0, 0, 3000000, len(ip), len(ip)) + ip)
    )
    got = Read(data)
    # a simple packet block carries no time: it gets that of the packet before it
    assert sorted((seen.time_ns // 10**9, seen.message.call_id) for seen in got.seen) == [
        (3, "2"), (105, "1"), (200, "2"), (200, "2"),
    ]  # fmt: skip
    assert not got.kinds


@pytest.mark.parametrize(
    ("bad", "kind"),
    [
        (enhanced("<", 7, 0, b"x"), ProblemKind.BAD_RECORD),
        (block("<", 6, b"short"), ProblemKind.BAD_RECORD),
        (block("<", 1, struct.pack("<HHIHHB", 1, 0, 0, 9, 1, 0x7F)), ProblemKind.BAD_RECORD),
        (block("<", 9, b"")[:-4] + b"\0\0\0\1", None),  # of a block that is passed over nothing is looked at
        (block("<", 6, struct.pack("<IIIII", 0, 0, 0, 900, 900)), ProblemKind.BAD_RECORD),
    ],
)
def test_a_bad_block_costs_itself_alone(bad: bytes, kind: ProblemKind | None) -> None:
    good = enhanced("<", 0, 0, ethernet_frames(datagram_of(A, B, message()), 1)[0])
    got = Read(section("<") + interface("<") + bad + good)
    assert got.ids() == ["1"] and got.kinds == ({kind} if kind else set())


def test_two_lengths_that_differ_are_told_and_read_over() -> None:
    good = enhanced("<", 0, 0, ethernet_frames(datagram_of(A, B, message()), 1)[0])
    got = Read(section("<") + interface("<") + good[:-4] + b"\0\0\0\0" + good)
    assert got.ids() == ["1", "1"] and got.kinds == {ProblemKind.BAD_RECORD}


def test_lengths_that_can_not_be() -> None:
    whole = pcap(ethernet_frames(datagram_of(A, B, message()), 1))
    for kept, length, kinds, ids in (
        (MAX_PACKET_BYTES + 1, 100, {ProblemKind.BAD_RECORD}, []),
        (None, 5, {ProblemKind.BAD_RECORD}, ["1"]),
        (None, 9000, {ProblemKind.TRUNCATED_PACKET}, ["1"]),
    ):
        _, _, real, _ = struct.unpack_from("<IIII", whole, 24)
        data = whole[:24] + struct.pack("<IIII", 7, 0, kept or real, length) + whole[40:]
        got = Read(data)
        assert got.kinds == kinds and got.ids() == ids
        assert got.problems.listed[0].offset == 24 and got.problems.listed[0].packet == 1


@pytest.mark.parametrize(
    "data",
    [b"", b"\xa1", b"GIF89a" + bytes(40), b"\xd4\xc3\xb2\xa1\x02\0", b"\x0a\x0d\x0d\x0a" + bytes(40)],
)
def test_what_is_no_capture_is_told(data: bytes, tmp_path: Path) -> None:
    (tmp_path / "x").write_bytes(data)
    reading = ReadReport()
    assert not list(read_messages([str(tmp_path / "x")], reading))
    assert [problem.kind for problem in reading.problems.listed] == [ProblemKind.NOT_A_CAPTURE]
    assert not reading.complete


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.suffix)
@pytest.mark.parametrize("squeeze", [bytes, gzip.compress, zstandard.compress])
def test_compressed_files_and_several_of_them_merged(
    form: PcapEncoder, squeeze: object, tmp_path: Path
) -> None:
    assert callable(squeeze)
    made = to_packets(generate_traffic(TrafficProfile(call_count=12)))
    names = []
    for part in range(3):
        names.append(str(tmp_path / f"{part}"))
        Path(names[-1]).write_bytes(squeeze(encode_capture(made[part::3], form)))
    reading = ReadReport()
    seen = list(read_messages(names, reading))
    whole = Read(encode_capture(made, form))
    assert [s.message for s in seen] == [s.message for s in whole.seen] and reading.complete
    assert reading.counts["messages"] == len(seen)


@pytest.mark.parametrize("squeeze", [gzip.compress, zstandard.compress])
def test_damaged_compression_gives_what_came_before(squeeze: object) -> None:
    assert callable(squeeze)
    raw = encode_capture(to_packets(generate_traffic(TrafficProfile(call_count=300))), PcapEncoder())
    data = squeeze(raw)
    for cut in (data[: len(data) // 2], data[: len(data) // 2] + b"\xff" * 50):
        got = Read(cut)
        assert len(got.problems) >= 1 and len(got.calls) <= 300
    assert Read(data[: len(data) // 2]).seen or squeeze is zstandard.compress


# --- layers ---


def link_frame(link: int, ip: bytes, v6: bool) -> bytes:
    kind = struct.pack(">H", 0x86DD if v6 else 0x0800)
    return {
        LINKTYPE_ETHERNET: bytes(12) + kind, LINKTYPE_LINUX_SLL: bytes(14) + kind,
        LINKTYPE_LINUX_SLL2: kind + bytes(18),
        LINKTYPE_NULL: b"\x02\0\0\0", LINKTYPE_LOOP: b"\0\0\0\x02", LINKTYPE_RAW: b"", LINKTYPE_IPV4: b"",
    }[link] + ip  # fmt: skip


@pytest.mark.parametrize(
    "link",
    [LINKTYPE_ETHERNET, LINKTYPE_LINUX_SLL, LINKTYPE_LINUX_SLL2, LINKTYPE_NULL, LINKTYPE_LOOP, LINKTYPE_RAW],
)
@pytest.mark.parametrize("ends", [(A, B), (A6, B6)], ids=["v4", "v6"])
def test_every_link_type(link: int, ends: tuple[tuple[str, int], tuple[str, int]]) -> None:
    ip = ip_packet(datagram_of(*ends, message()))
    got = Read(pcap([link_frame(link, ip, ends is not None and ":" in ends[0][0])], link))
    assert got.ids() == ["1"] and got.seen[0].source == ends[0]


def test_vlans_and_extension_headers_are_passed_through() -> None:
    plain = datagram_of(A6, B6, message())
    chain = bytes([60, 0, 1, 4, 0, 0, 0, 0]) + bytes([17, 1]) + bytes(14)
    ip = struct.pack(">IHBB", 6 << 28, len(chain) + len(plain.payload), 0, 64)
    ip += ip_packet(plain)[8:40] + chain + plain.payload
    vlan = bytes(12) + b"\x88\xa8\0\x05\x81\0\0\x06\x86\xdd"
    assert Read(pcap([vlan + ip])).ids() == ["1"]


def test_an_atomic_fragment_is_whole() -> None:
    plain = datagram_of(A6, B6, message())
    ip = struct.pack(">IHBB", 6 << 28, 8 + len(plain.payload), 44, 64) + ip_packet(plain)[8:40]
    assert Read(pcap([ip + bytes([17, 0, 0, 0, 0, 0, 0, 9]) + plain.payload], LINKTYPE_RAW)).ids() == ["1"]


@pytest.mark.parametrize("of", [(A, B), (A6, B6)], ids=["v4", "v6"])
def test_checksums_are_told_apart(of: tuple[tuple[str, int], tuple[str, int]]) -> None:
    for ip, at in ((datagram_of(*of, message()), 6), (tcp_packet(*of, 5, 0, PSH, message()), 16)):

        def with_sum(value: int, ip: IpPacket = ip, at: int = at) -> UdpDatagram | TcpSegment:
            data = ip.payload[:at] + struct.pack(">H", value) + ip.payload[at + 2 :]
            return decode_transport(IpPacket(ip.version, ip.source, ip.target, ip.protocol, data))

        good = struct.unpack_from(">H", ip.payload, at)[0]
        assert with_sum(good).checksum is ChecksumStatus.GOOD
        assert with_sum(good ^ 0x1234).checksum is ChecksumStatus.WRONG
        assert with_sum(0).checksum is ChecksumStatus.ABSENT
        assert (
            with_sum(ones_complement_sum(pseudo_header(ip, len(ip.payload)))).checksum
            is ChecksumStatus.OFFLOADED
        )


def test_wrong_checksums_are_counted_and_dropped_where_asked() -> None:
    frame = bytearray(ethernet_frames(datagram_of(A, B, message()), 1)[0])
    frame[14 + 20 + 6] ^= 0x55
    loose, strict = Read(pcap([bytes(frame)])), Read(pcap([bytes(frame)]), strict=True)
    assert (
        loose.ids() == ["1"] and loose.kinds == {ProblemKind.BAD_CHECKSUM} == strict.kinds and not strict.seen
    )


# --- fragments ---


Ends = tuple[tuple[str, int], tuple[str, int]]


def parts_of(size: int = 4000, ends: Ends = (A, B), ident: int = 7) -> list[IpPacket]:
    return [
        decode_frame(LINKTYPE_ETHERNET, frame)
        for frame in ethernet_frames(datagram_of(*ends, message(1, size)), ident)
    ]


def together(parts: Iterable[IpPacket], fragments: FragmentReassembler | None = None) -> list[IpPacket]:
    made = fragments or FragmentReassembler()
    whole = [made.feed(part, n * MS, (n, n + 1)) for n, part in enumerate(parts)]
    made.end()
    return [one for one in whole if one is not None]


@pytest.mark.parametrize("ends", [(A, B), (A6, B6)], ids=["v4", "v6"])
@given(data=st.data())
def test_fragments_in_any_order_and_repeated(
    ends: tuple[tuple[str, int], tuple[str, int]], data: st.DataObject
) -> None:
    parts = parts_of(ends=ends)
    order = data.draw(st.permutations(parts + data.draw(st.lists(st.sampled_from(parts), max_size=5))))
    (whole,) = together(order)
    made = decode_transport(whole)
    assert made.payload == message(1, 4000) and made.checksum is ChecksumStatus.GOOD and not whole.is_fragment


def test_a_fragmented_datagram_has_the_time_of_its_last_needed_fragment() -> None:
    made = ethernet_frames(datagram_of(A, B, message(1, 4000)), 7)
    got = Read(
        encode_capture([(START_NS + n * MS, f) for n, f in enumerate([*made, made[0]])], PcapEncoder())
    )
    assert [seen.time_ns - START_NS for seen in got.seen] == [2 * MS] and not got.kinds


def changed(part: IpPacket, at: int, payload: bytes, more: bool = True) -> IpPacket:
    return replace(part, payload=payload, fragment_offset=at, more_fragments=more)


@pytest.mark.parametrize("version", [4, 6])
def test_overlaps_are_refused_not_guessed(version: int) -> None:
    parts = parts_of(ends=(A, B) if version == 4 else (A6, B6))
    second = parts[1]
    for bad in (
        changed(second, second.fragment_offset, b"y" * len(second.payload)),  # the same place, other bytes
        changed(second, second.fragment_offset - 8, b"y" * 16),
        changed(second, 65528, b"y" * 16),  # beyond what an IP packet can hold
        changed(
            second, second.fragment_offset, second.payload[:-3]
        ),  # not the last one, and no multiple of 8
    ):
        fragments = FragmentReassembler()
        assert not together([parts[0], second, bad, *parts[2:], second], fragments)
        assert [lost.rejected for lost in fragments.failures] == [True]
    # the same bytes cut otherwise: IPv4 may be cut twice on its way, RFC 5722 refuses it for IPv6
    half = changed(second, second.fragment_offset + 8, second.payload[8:16])
    assert len(together([parts[0], second, half, *parts[2:]])) == (1 if version == 4 else 0)


def test_fragments_over_a_tcp_header_are_refused() -> None:
    whole = tcp_packet(A, B, 1, 0, SYN, b"x" * 64)
    tiny = [changed(whole, 0, whole.payload[:8]), changed(whole, 8, whole.payload[8:], False)]
    for parts in (tiny, tiny[::-1]):
        fragments = FragmentReassembler()
        assert not together(parts, fragments) and fragments.failures[0].rejected


def test_missing_fragments_time_out_by_the_clock_of_the_capture_and_bytes_are_bounded() -> None:
    fragments = FragmentReassembler(max_buffered_bytes=20_000)
    first, *rest = parts_of()
    assert fragments.feed(first, 0, (1, 1)) is None
    assert fragments.feed(parts_of(ident=8)[0], 31 * 10**9, (2, 2)) is None
    assert [(lost.rejected, lost.position) for lost in fragments.failures] == [(False, (1, 1))]
    for part in rest:  # what comes later begins anew, and is not whole
        assert fragments.feed(part, 32 * 10**9, (3, 3)) is None
    for ident in range(100, 200):
        fragments.feed(parts_of(ident=ident)[0], 33 * 10**9, (ident, ident))
        assert fragments.buffered_bytes <= 20_000
    fragments.end()
    assert fragments.buffered_bytes == 0 and not fragments.partials


# --- streams ---


def seg(data: bytes, seq: int, ack: int = -1, flags: int = 0, ends: Ends = (A, B)) -> TcpSegment:
    flags |= ACK if ack >= 0 else 0
    made = decode_transport(tcp_packet(*ends, seq % 2**32, max(ack, 0) % 2**32, flags, data))
    assert isinstance(made, TcpSegment)
    return made


def played(*segments: tuple[float, TcpSegment]) -> tuple[bytes, list[object]]:
    """The bytes of A's direction, and what else was told of it."""
    streams, data, other = TcpReassembler(), b"", list[object]()
    events = [e for at, one in segments for e in streams.feed(one, int(at * MS), (0, 1))]
    for ends, event in events + streams.end((0, 1)):
        if ends == (A, B):
            if isinstance(event, StreamData):
                data += event.data
            if not isinstance(event, StreamData) or event.gap:
                other.append(event)
    return data, other


@given(data=st.data(), isn=st.sampled_from([0, 1000, 2**32 - 40, 2**32 - 1]))
def test_segments_in_any_order_repeated_and_overlapping(data: st.DataObject, isn: int) -> None:
    text = bytes(range(97, 123)) * 4
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=8)))
    edges = list(zip([0, *cuts], [*cuts, len(text)], strict=True))
    spans = edges + data.draw(st.lists(st.sampled_from(edges), max_size=4))
    more = data.draw(st.lists(st.sampled_from(edges), max_size=3))
    spans += [(max(low - 3, 0), high) for low, high in more]
    order = data.draw(st.permutations(spans))
    made = [(0.0, seg(b"", isn, flags=SYN))]
    made += [(1.0 + n, seg(text[low:high], isn + 1 + low)) for n, (low, high) in enumerate(order)]
    got, other = played(*made)
    assert got == text and all(isinstance(event, StreamEnded) for event in other)


def test_a_lost_segment_is_given_up_once_acknowledged_and_not_before() -> None:
    back: Ends = (B, A)
    first = [(0.0, seg(b"", 9, flags=SYN)), (1.0, seg(b"one", 10)), (2.0, seg(b"three", 16))]
    late = seg(b"two", 13)
    assert played(*first, (3.0, late))[0] == b"onetwothree"
    acked = (4.0, seg(b"", 1, ack=21, ends=back))
    # the acknowledgement alone may lie before the segment in the file
    assert played(*first, acked, (5.0, late))[0] == b"onetwothree"
    data, other = played(*first, acked, (6.0 + ACKED_GAP_TIMEOUT_NS / MS, seg(b"four", 21)))
    assert data == b"onethreefour" and isinstance(other[0], StreamData) and other[0].gap == 3


def test_a_full_window_gives_up_what_is_missing() -> None:
    made = [(0.0, seg(b"", 9, flags=SYN))]
    made += [(1.0, seg(b"x", 11 + n)) for n in range(400)]
    data, other = played(*made)
    assert data == b"x" * 400 and isinstance(other[0], StreamData) and other[0].gap == 1


def test_bytes_that_come_twice_and_differ_are_told_and_the_first_are_kept() -> None:
    start = (0.0, seg(b"", 9, flags=SYN))
    data, other = played(start, (1.0, seg(b"abcdef", 10)), (2.0, seg(b"abXXefgh", 10)))
    assert data == b"abcdefgh" and isinstance(other[0], OverlapConflict) and other[0].stream_offset == 0
    data, other = played(start, (1.0, seg(b"abcdef", 10)), (2.0, seg(b"abcdefgh", 10)))
    assert data == b"abcdefgh" and not [event for event in other if isinstance(event, OverlapConflict)]


def test_a_pair_of_ports_used_again_is_another_connection() -> None:
    data, other = played(
        (0.0, seg(b"", 9, flags=SYN)), (1.0, seg(b"old", 10)), (2.0, seg(b"", 9, flags=SYN)),
        (3.0, seg(b"", 5000, flags=SYN)), (4.0, seg(b"new", 5001)), (5.0, seg(b"", 5004, flags=FIN)),
    )  # fmt: skip
    assert data == b"oldnew"
    assert [e.reason for e in other if isinstance(e, StreamEnded)] == ["another connection", "FIN"]


def test_reset_ends_a_connection_and_what_was_held_is_given() -> None:
    data, other = played((0.0, seg(b"", 9, flags=SYN)), (1.0, seg(b"b", 11)), (2.0, seg(b"", 12, flags=RST)))
    assert data == b"b" and [e.reason for e in other if isinstance(e, StreamEnded)] == ["RST"]


def test_a_connection_open_before_the_capture_is_taken_up_at_the_next_start_line() -> None:
    text = message(1, 30)[-20:] + message(2) + b"\r\n\r\n" + message(3)
    made = []
    for n, at in enumerate(range(0, len(text), 50)):
        made.append(
            (
                START_NS + n * MS,
                ethernet_frames(tcp_packet(A, B, 7000 + at, 0, PSH, text[at : at + 50]), 1)[0],
            )
        )
    got = Read(encode_capture(made, PcapEncoder()))
    assert got.ids() == ["2", "3"] and not got.kinds


def test_a_message_that_leads_nowhere_costs_itself_alone() -> None:
    bad = b"INVITE sip:x SIP/2.0\r\nContent-Length: x\r\n\r\n"
    made = PacketBuilder().stream_frames(A, B, message(1) + bad + message(2))
    got = Read(encode_capture([(START_NS + n, f) for n, f in enumerate(made)], PcapEncoder()))
    assert got.ids() == ["1", "2"] and got.kinds == {ProblemKind.MALFORMED_MESSAGE}


# --- calls ---


def test_calls_and_how_they_ended() -> None:
    shape = TrafficProfile(call_count=200, refused_share=0.2, cancelled_share=0.2, transport="TCP")
    got = Read(encode_capture(to_packets(generate_traffic(shape)), PcapngEncoder()))
    assert len(got.calls) == 200 and not got.kinds
    ends = [call.outcome for call in got.calls]
    assert {Outcome.ESTABLISHED, Outcome.REFUSED, Outcome.CANCELLED} == set(ends)
    for call in got.calls:
        assert not call.started_before_capture and not call.cut_off and call.patience_ms == 9000.0
        assert call.class_name in shape.class_names and call.called[0] in "12"
        assert (call.released_by in tuple(Party)) is (call.outcome is Outcome.ESTABLISHED)
        if call.outcome is Outcome.ESTABLISHED:
            assert 5 <= call.answer_ms <= 61 and 199 <= call.hold_ms <= 801 and call.cause == 16
            assert (
                call.provisional_status == 180
                and call.ack_ns > call.answer_ns
                and call.bye_response_ns > call.bye_ns
            )
        if call.outcome is Outcome.REFUSED:
            assert call.status == 503 and call.retry_after_ms == 2000.0


def test_a_retry_is_linked_to_its_first_try() -> None:
    shape, made = TrafficProfile(refused_share=1.0), []
    for n, at in enumerate((0, 3, 6, 500)):
        for sent in sample_call(5, START_NS + at * 10**9, shape, random.Random(9)):
            headers = tuple((k, f"{v}-{n}" if k == "call-id" else v) for k, v in sent.message.headers)
            made.append(replace(sent, message=replace(sent.message, headers=headers)))
    got = Read(encode_capture(to_packets(made), PcapEncoder()))
    assert [call.first_try for call in got.calls] == [0, 1, 1, 0]


def test_calls_cut_by_the_edges_of_the_capture_are_marked() -> None:
    made = generate_traffic(
        TrafficProfile(call_count=1, refused_share=0, cancelled_share=0, called_release_share=0)
    )
    got = Read(encode_capture(to_packets(made[4:]), PcapEncoder()))
    assert (
        len(got.calls) == 1
        and got.calls[0].started_before_capture
        and got.calls[0].outcome is Outcome.UNANSWERED
    )
    got = Read(encode_capture(to_packets(made[:4]), PcapEncoder()))
    assert got.calls[0].cut_off and not got.calls[0].started_before_capture and got.calls[0].status == 200


@pytest.mark.parametrize("transport", ["UDP", "TCP"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_shuffled_doubled_and_thinned_captures_invent_no_call(transport: str, seed: int) -> None:
    shape = TrafficProfile(call_count=60, transport=transport, padding_bytes=2000)
    made = to_packets(generate_traffic(shape, seed))
    whole = Read(encode_capture(made, PcapEncoder()))
    random_ = random.Random(seed)
    shuffled = sorted(made, key=lambda one: one[0] + random_.uniform(0, 50 * MS))
    got = Read(encode_capture(shuffled, PcapEncoder()))
    known = {call.call_id: (call.outcome, call.status, call.released_by) for call in whole.calls}
    assert {call.call_id: (call.outcome, call.status, call.released_by) for call in got.calls} == known
    assert not got.kinds
    doubled = [one for one in shuffled for _ in range(2)]
    got = Read(encode_capture(doubled, PcapEncoder()))
    assert {call.call_id: (call.outcome, call.status, call.released_by) for call in got.calls} == known
    assert not got.kinds
    thinned = [one for one in doubled if random_.random() >= 0.01][::2]
    got = Read(encode_capture(thinned, PcapEncoder()))
    assert len(got.calls) <= len(known) and {call.call_id for call in got.calls} <= set(known)
    if len(got.messages.counts) and got.messages.counts["messages"] < whole.messages.counts["messages"]:
        lost = {ProblemKind.TCP_GAP, ProblemKind.FRAGMENT_MISSING, ProblemKind.MALFORMED_MESSAGE}
        assert got.kinds <= lost


# --- damage ---


@pytest.mark.parametrize("form", FORMS, ids=["ns", "us", "ng"])
@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_a_file_cut_at_every_byte(form: PcapEncoder, transport: str) -> None:
    made = to_packets(generate_traffic(TrafficProfile(call_count=4, transport=transport)))[:40]
    whole = encode_capture(made, form)
    most = len(Read(whole).calls)
    sizes = [len(form.file_header())]
    for at, frame in made:
        sizes.append(sizes[-1] + len(form.packet_record(at, frame)))
    ends = set(sizes)
    for cut in range(0, len(whole), 1 if LONG else 9):
        got = Read(whole[:cut])
        assert len(got.calls) <= most
        if cut >= sizes[0]:
            assert (ProblemKind.TRUNCATED_FILE in got.kinds) is (cut not in ends), cut


def mangle(data: bytes, random_: random.Random) -> bytes:
    """One to eight changes: bits, spans, lengths."""
    made = bytearray(data)
    for _ in range(random_.randint(1, 8)):
        at = random_.randrange(len(made))
        match random_.randrange(5):
            case 0:
                made[at] ^= 1 << random_.randrange(8)
            case 1:
                made[at : at + random_.randrange(64)] = b""
            case 2:
                made[at:at] = random_.randbytes(random_.randrange(32))
            case 3:
                made[at : at + 4] = struct.pack("<I", random_.choice([0, 1, 2**31, 2**32 - 1, len(made)]))
            case _:
                other = random_.randrange(len(made))
                made[at : at + 40] = made[other : other + 40]
        if not made:
            return b"\0"
    return bytes(made)


@pytest.mark.parametrize("form", FORMS, ids=["ns", "us", "ng"])
@pytest.mark.parametrize("transport", ["UDP", "TCP"])
@settings(max_examples=3400 if LONG else 40, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_no_damage_raises_or_hangs(form: PcapEncoder, transport: str, seed: int) -> None:
    shape = TrafficProfile(call_count=5, transport=transport, padding_bytes=1600 if seed % 2 else 0)
    whole = encode_capture(to_packets(generate_traffic(shape, 1)), form)
    got = Read(mangle(whole, random.Random(seed)))
    # a mangled Call-ID is another call's name for whoever looks on; what is whole is not made more
    known = {call.call_id for call in Read(whole).calls}
    ours = [call for call in got.calls if call.call_id in known and not call.started_before_capture]
    assert len(ours) <= 2 * len(known)


def test_datagrams_of_other_protocols_are_no_problem() -> None:
    made = [datagram_of(A, B, b"\x01\0\x5eDNS or so"), datagram_of(A, B, b"\r\n\r\n")]
    made.append(IpPacket(4, "1.2.3.4", "1.2.3.5", 1, b"ping"))
    got = Read(pcap([frame for ip in made for frame in ethernet_frames(ip, 1)]))
    assert not got.kinds and not got.seen and got.messages.counts["keep-alives"] == 1
    assert IPPROTO_UDP == 17
