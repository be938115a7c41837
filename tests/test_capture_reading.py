"""Reading captures: file formats, packet layers, reassembly, call records, and damaged files."""

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
    udp_packet,
)
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
from landingdeal.capture.sample import (
    START_NS,
    TrafficProfile,
    call_messages,
    encode_capture,
    generate_traffic,
    to_packets,
)
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
LONG = bool(
    os.environ.get("LANDINGDEAL_LONG")
)  # truncation at every byte and 20,000 damaged files; takes minutes
ENCODERS = [PcapEncoder(), PcapEncoder(nanosecond_resolution=False), PcapngEncoder()]
MS = 10**6


def message(number: int = 1, size: int = 0) -> bytes:
    return encode(request("OPTIONS", "sip:x@net", ("via", "SIP/2.0/UDP a;branch=z9hG4bK1"),
                          ("call-id", f"{number}"), ("cseq", f"{number} OPTIONS"),
                          body=b"x" * size))  # fmt: skip


class ParsedCapture:
    """The messages, calls and problems of one capture."""

    def __init__(self, data: bytes, strict_checksums: bool = False) -> None:
        self.problems = Problems()
        source = ByteSource("file", io.BytesIO(data))
        self.messages = MessageExtractor(self.problems, "file", strict_checksums)
        self.captured: list[CapturedMessage] = []
        try:
            self.captured += _sorted_by_time(self.messages.run(read_packets(source, self.problems)))
        except NotACapture:
            self.captured, self.not_a_capture = [], True
        self.kinds = set(self.problems.counts)
        calls = CallTracker()
        self.calls: list[CallRecord] = [call for captured in self.captured for call in calls.feed(captured)]
        self.calls += calls.end()

    def ids(self) -> list[str]:
        return [captured.message.call_id for captured in self.captured]


def pcap(
    frames_in: Iterable[bytes], link: int = LINKTYPE_ETHERNET, order: str = "<", magic: int = 0xA1B2C3D4
) -> bytes:
    out = struct.pack(order + "IHHiIII", magic, 2, 4, 0, 0, 65535, link)
    for number, data in enumerate(frames_in):
        out += struct.pack(order + "IIII", 7 + number, 250, len(data), len(data)) + data
    return out


# --- files ---


@pytest.mark.parametrize("order", "<>")
@pytest.mark.parametrize(("magic", "unit"), [(0xA1B2C3D4, 1000), (0xA1B23C4D, 1)])
def test_classic_pcap_in_both_orders_and_units(order: str, magic: int, unit: int) -> None:
    parsed = ParsedCapture(pcap(ethernet_frames(udp_packet(A, B, message()), 1), order=order, magic=magic))
    assert parsed.ids() == ["1"] and parsed.captured[0].time_ns == 7 * 10**9 + 250 * unit and not parsed.kinds
    assert (parsed.captured[0].source, parsed.captured[0].target, parsed.captured[0].transport) == (
        A,
        B,
        "UDP",
    )


def block(order: str, kind: int, body: bytes) -> bytes:
    body += bytes(-len(body) % 4)
    size = struct.pack(order + "I", len(body) + 12)
    return struct.pack(order + "I", kind) + size + body + size


def section(order: str) -> bytes:
    return block(order, 0x0A0D0D0A, struct.pack(order + "IHHq", 0x1A2B3C4D, 1, 0, -1))


def interface(order: str, *options: tuple[int, bytes], link: int = LINKTYPE_ETHERNET, snap: int = 0) -> bytes:
    encoded_options = b"".join(
        struct.pack(order + "HH", code, len(value)) + value + bytes(-len(value) % 4)
        for code, value in options
    )
    return block(order, 1, struct.pack(order + "HHI", link, 0, snap) + encoded_options)


def enhanced(order: str, interface_id: int, ticks: int, data: bytes) -> bytes:
    header = struct.pack(order + "IIIII", interface_id, ticks >> 32, ticks & 0xFFFFFFFF, len(data), len(data))
    return block(order, 6, header + data)


@pytest.mark.parametrize("order", "<>")
def test_pcapng_sections_interfaces_and_resolutions(order: str) -> None:
    other_order = ">" if order == "<" else "<"
    ip = ip_packet(udp_packet(A, B, message(2)))
    data = (
        section(order)
        + interface(order, (9, b"\x03"), (14, struct.pack(order + "q", 100)))  # milliseconds, offset 100 s
        + interface(order, (9, b"\x8a"), link=LINKTYPE_RAW)  # 1/1024 s
        + block(order, 0xBAD, b"unknown")
        + enhanced(order, 0, 5000, ethernet_frames(udp_packet(A, B, message(1)), 1)[0])
        + enhanced(order, 1, 2048 * 100, ip)
        + section(other_order)
        + interface(other_order, link=LINKTYPE_RAW, snap=len(ip))
        + block(other_order, 3, struct.pack(other_order + "I", len(ip)) + ip)
        + block(other_order, 2, struct.pack(other_order + "HHIIII", 0, 0, 0, 3000000, len(ip), len(ip)) + ip)
    )
    parsed = ParsedCapture(data)
    # a simple packet block has no timestamp and gets that of the previous packet
    assert sorted((captured.time_ns // 10**9, captured.message.call_id) for captured in parsed.captured) == [
        (3, "2"), (105, "1"), (200, "2"), (200, "2"),
    ]  # fmt: skip
    assert not parsed.kinds


@pytest.mark.parametrize(
    ("malformed", "kind"),
    [
        (enhanced("<", 7, 0, b"x"), ProblemKind.BAD_RECORD),
        (block("<", 6, b"short"), ProblemKind.BAD_RECORD),
        (block("<", 1, struct.pack("<HHIHHB", 1, 0, 0, 9, 1, 0x7F)), ProblemKind.BAD_RECORD),
        (block("<", 9, b"")[:-4] + b"\0\0\0\1", None),  # the content of skipped blocks is not checked
        (block("<", 6, struct.pack("<IIIII", 0, 0, 0, 900, 900)), ProblemKind.BAD_RECORD),
    ],
)
def test_malformed_block_is_skipped(malformed: bytes, kind: ProblemKind | None) -> None:
    valid = enhanced("<", 0, 0, ethernet_frames(udp_packet(A, B, message()), 1)[0])
    parsed = ParsedCapture(section("<") + interface("<") + malformed + valid)
    assert parsed.ids() == ["1"] and parsed.kinds == ({kind} if kind else set())


def test_differing_block_lengths_are_reported_and_reading_continues() -> None:
    valid = enhanced("<", 0, 0, ethernet_frames(udp_packet(A, B, message()), 1)[0])
    parsed = ParsedCapture(section("<") + interface("<") + valid[:-4] + b"\0\0\0\0" + valid)
    assert parsed.ids() == ["1", "1"] and parsed.kinds == {ProblemKind.BAD_RECORD}


def test_impossible_record_lengths_are_reported() -> None:
    whole = pcap(ethernet_frames(udp_packet(A, B, message()), 1))
    for captured_length, wire_length, kinds, ids in (
        (MAX_PACKET_BYTES + 1, 100, {ProblemKind.BAD_RECORD}, []),
        (None, 5, {ProblemKind.BAD_RECORD}, ["1"]),
        (None, 9000, {ProblemKind.TRUNCATED_PACKET}, ["1"]),
    ):
        _, _, real_length, _ = struct.unpack_from("<IIII", whole, 24)
        data = (
            whole[:24] + struct.pack("<IIII", 7, 0, captured_length or real_length, wire_length) + whole[40:]
        )
        parsed = ParsedCapture(data)
        assert parsed.kinds == kinds and parsed.ids() == ids
        assert parsed.problems.listed[0].offset == 24 and parsed.problems.listed[0].packet == 1


@pytest.mark.parametrize(
    "data",
    [b"", b"\xa1", b"GIF89a" + bytes(40), b"\xd4\xc3\xb2\xa1\x02\0", b"\x0a\x0d\x0d\x0a" + bytes(40)],
)
def test_file_that_is_not_a_capture_is_reported(data: bytes, tmp_path: Path) -> None:
    (tmp_path / "x").write_bytes(data)
    reading = ReadReport()
    assert not list(read_messages([str(tmp_path / "x")], reading))
    assert [problem.kind for problem in reading.problems.listed] == [ProblemKind.NOT_A_CAPTURE]
    assert not reading.complete


@pytest.mark.parametrize("encoder", ENCODERS, ids=lambda encoder: encoder.suffix)
@pytest.mark.parametrize("compress", [bytes, gzip.compress, zstandard.compress])
def test_compressed_files_are_read_and_merged_by_time(
    encoder: PcapEncoder, compress: object, tmp_path: Path
) -> None:
    assert callable(compress)
    timed_frames = to_packets(generate_traffic(TrafficProfile(call_count=12)))
    paths = []
    for part in range(3):
        paths.append(str(tmp_path / f"{part}"))
        Path(paths[-1]).write_bytes(compress(encode_capture(timed_frames[part::3], encoder)))
    reading = ReadReport()
    messages = list(read_messages(paths, reading))
    expected = ParsedCapture(encode_capture(timed_frames, encoder))
    assert [captured.message for captured in messages] == [
        captured.message for captured in expected.captured
    ] and reading.complete
    assert reading.counts["messages"] == len(messages)


@pytest.mark.parametrize("compress", [gzip.compress, zstandard.compress])
def test_data_before_damaged_compression_is_read(compress: object) -> None:
    assert callable(compress)
    raw = encode_capture(to_packets(generate_traffic(TrafficProfile(call_count=300))), PcapEncoder())
    data = compress(raw)
    for damaged in (data[: len(data) // 2], data[: len(data) // 2] + b"\xff" * 50):
        parsed = ParsedCapture(damaged)
        assert len(parsed.problems) >= 1 and len(parsed.calls) <= 300
    assert ParsedCapture(data[: len(data) // 2]).captured or compress is zstandard.compress


# --- layers ---


def link_frame(link: int, ip: bytes, is_ipv6: bool) -> bytes:
    ethertype = struct.pack(">H", 0x86DD if is_ipv6 else 0x0800)
    return {
        LINKTYPE_ETHERNET: bytes(12) + ethertype, LINKTYPE_LINUX_SLL: bytes(14) + ethertype,
        LINKTYPE_LINUX_SLL2: ethertype + bytes(18),
        LINKTYPE_NULL: b"\x02\0\0\0", LINKTYPE_LOOP: b"\0\0\0\x02", LINKTYPE_RAW: b"", LINKTYPE_IPV4: b"",
    }[link] + ip  # fmt: skip


@pytest.mark.parametrize(
    "link",
    [LINKTYPE_ETHERNET, LINKTYPE_LINUX_SLL, LINKTYPE_LINUX_SLL2, LINKTYPE_NULL, LINKTYPE_LOOP, LINKTYPE_RAW],
)
@pytest.mark.parametrize("ends", [(A, B), (A6, B6)], ids=["v4", "v6"])
def test_every_link_type(link: int, ends: tuple[tuple[str, int], tuple[str, int]]) -> None:
    ip = ip_packet(udp_packet(*ends, message()))
    parsed = ParsedCapture(pcap([link_frame(link, ip, ends is not None and ":" in ends[0][0])], link))
    assert parsed.ids() == ["1"] and parsed.captured[0].source == ends[0]


def test_vlan_tags_and_extension_headers_are_skipped() -> None:
    plain = udp_packet(A6, B6, message())
    chain = bytes([60, 0, 1, 4, 0, 0, 0, 0]) + bytes([17, 1]) + bytes(14)
    ip = struct.pack(">IHBB", 6 << 28, len(chain) + len(plain.payload), 0, 64)
    ip += ip_packet(plain)[8:40] + chain + plain.payload
    vlan = bytes(12) + b"\x88\xa8\0\x05\x81\0\0\x06\x86\xdd"
    assert ParsedCapture(pcap([vlan + ip])).ids() == ["1"]


def test_atomic_fragment_is_a_whole_packet() -> None:
    plain = udp_packet(A6, B6, message())
    ip = struct.pack(">IHBB", 6 << 28, 8 + len(plain.payload), 44, 64) + ip_packet(plain)[8:40]
    assert ParsedCapture(
        pcap([ip + bytes([17, 0, 0, 0, 0, 0, 0, 9]) + plain.payload], LINKTYPE_RAW)
    ).ids() == ["1"]


@pytest.mark.parametrize("ends", [(A, B), (A6, B6)], ids=["v4", "v6"])
def test_checksum_statuses_are_distinguished(ends: tuple[tuple[str, int], tuple[str, int]]) -> None:
    for ip, at in ((udp_packet(*ends, message()), 6), (tcp_packet(*ends, 5, 0, PSH, message()), 16)):

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


def test_wrong_checksums_are_reported_and_dropped_in_strict_mode() -> None:
    frame = bytearray(ethernet_frames(udp_packet(A, B, message()), 1)[0])
    frame[14 + 20 + 6] ^= 0x55
    loose, strict = (
        ParsedCapture(pcap([bytes(frame)])),
        ParsedCapture(pcap([bytes(frame)]), strict_checksums=True),
    )
    assert (
        loose.ids() == ["1"]
        and loose.kinds == {ProblemKind.BAD_CHECKSUM} == strict.kinds
        and not strict.captured
    )


# --- fragments ---


Ends = tuple[tuple[str, int], tuple[str, int]]


def fragments_of(size: int = 4000, ends: Ends = (A, B), ident: int = 7) -> list[IpPacket]:
    return [
        decode_frame(LINKTYPE_ETHERNET, frame)
        for frame in ethernet_frames(udp_packet(*ends, message(1, size)), ident)
    ]


def reassemble(
    fragments: Iterable[IpPacket], reassembler: FragmentReassembler | None = None
) -> list[IpPacket]:
    active = reassembler or FragmentReassembler()
    packets = [active.feed(fragment, n * MS, (n, n + 1)) for n, fragment in enumerate(fragments)]
    active.end()
    return [packet for packet in packets if packet is not None]


@pytest.mark.parametrize("ends", [(A, B), (A6, B6)], ids=["v4", "v6"])
@given(data=st.data())
def test_fragments_reassemble_in_any_order_with_duplicates(
    ends: tuple[tuple[str, int], tuple[str, int]], data: st.DataObject
) -> None:
    parts = fragments_of(ends=ends)
    order = data.draw(st.permutations(parts + data.draw(st.lists(st.sampled_from(parts), max_size=5))))
    (whole,) = reassemble(order)
    decoded = decode_transport(whole)
    assert (
        decoded.payload == message(1, 4000)
        and decoded.checksum is ChecksumStatus.GOOD
        and not whole.is_fragment
    )


def test_fragmented_datagram_has_the_time_of_the_completing_fragment() -> None:
    fragment_frames = ethernet_frames(udp_packet(A, B, message(1, 4000)), 7)
    parsed = ParsedCapture(
        encode_capture(
            [(START_NS + n * MS, frame) for n, frame in enumerate([*fragment_frames, fragment_frames[0]])],
            PcapEncoder(),
        )
    )
    assert [captured.time_ns - START_NS for captured in parsed.captured] == [2 * MS] and not parsed.kinds


def altered(part: IpPacket, at: int, payload: bytes, more: bool = True) -> IpPacket:
    return replace(part, payload=payload, fragment_offset=at, more_fragments=more)


@pytest.mark.parametrize("version", [4, 6])
def test_conflicting_overlaps_reject_the_packet(version: int) -> None:
    fragments = fragments_of(ends=(A, B) if version == 4 else (A6, B6))
    second = fragments[1]
    for conflicting in (
        altered(second, second.fragment_offset, b"y" * len(second.payload)),  # same offset, different bytes
        altered(second, second.fragment_offset - 8, b"y" * 16),
        altered(second, 65528, b"y" * 16),  # beyond the maximum length of an IP packet
        altered(
            second, second.fragment_offset, second.payload[:-3]
        ),  # not the last fragment, and not a multiple of 8
    ):
        reassembler = FragmentReassembler()
        assert not reassemble([fragments[0], second, conflicting, *fragments[2:], second], reassembler)
        assert [failure.rejected for failure in reassembler.failures] == [True]
    # identical overlap: IPv4 may be fragmented again on the way, RFC 5722 forbids it for IPv6
    half = altered(second, second.fragment_offset + 8, second.payload[8:16])
    assert len(reassemble([fragments[0], second, half, *fragments[2:]])) == (1 if version == 4 else 0)


def test_fragments_inside_the_tcp_header_are_rejected() -> None:
    whole = tcp_packet(A, B, 1, 0, SYN, b"x" * 64)
    tiny_fragments = [altered(whole, 0, whole.payload[:8]), altered(whole, 8, whole.payload[8:], False)]
    for fragments in (tiny_fragments, tiny_fragments[::-1]):
        reassembler = FragmentReassembler()
        assert not reassemble(fragments, reassembler) and reassembler.failures[0].rejected


def test_missing_fragments_time_out_by_packet_time_and_memory_is_bounded() -> None:
    reassembler = FragmentReassembler(max_buffered_bytes=20_000)
    first, *rest = fragments_of()
    assert reassembler.feed(first, 0, (1, 1)) is None
    assert reassembler.feed(fragments_of(ident=8)[0], 31 * 10**9, (2, 2)) is None
    assert [(failure.rejected, failure.position) for failure in reassembler.failures] == [(False, (1, 1))]
    for fragment in rest:  # later fragments start a new packet, which stays incomplete
        assert reassembler.feed(fragment, 32 * 10**9, (3, 3)) is None
    for ident in range(100, 200):
        reassembler.feed(fragments_of(ident=ident)[0], 33 * 10**9, (ident, ident))
        assert reassembler.buffered_bytes <= 20_000
    reassembler.end()
    assert reassembler.buffered_bytes == 0 and not reassembler.partials


# --- streams ---


def tcp_segment(data: bytes, seq: int, ack: int = -1, flags: int = 0, ends: Ends = (A, B)) -> TcpSegment:
    flags |= ACK if ack >= 0 else 0
    decoded = decode_transport(tcp_packet(*ends, seq % 2**32, max(ack, 0) % 2**32, flags, data))
    assert isinstance(decoded, TcpSegment)
    return decoded


def reassemble_stream(*segments: tuple[float, TcpSegment]) -> tuple[bytes, list[object]]:
    """Returns the data of the direction from A to B, and its other events, including gaps."""
    streams, data, other_events = TcpReassembler(), b"", list[object]()
    events = [event for at, segment in segments for event in streams.feed(segment, int(at * MS), (0, 1))]
    for ends, event in events + streams.end((0, 1)):
        if ends == (A, B):
            if isinstance(event, StreamData):
                data += event.data
            if not isinstance(event, StreamData) or event.gap:
                other_events.append(event)
    return data, other_events


@given(data=st.data(), isn=st.sampled_from([0, 1000, 2**32 - 40, 2**32 - 1]))
def test_segments_reassemble_in_any_order_with_overlaps(data: st.DataObject, isn: int) -> None:
    stream_data = bytes(range(97, 123)) * 4
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream_data)), max_size=8)))
    edges = list(zip([0, *cuts], [*cuts, len(stream_data)], strict=True))
    spans = edges + data.draw(st.lists(st.sampled_from(edges), max_size=4))
    overlapping = data.draw(st.lists(st.sampled_from(edges), max_size=3))
    spans += [(max(low - 3, 0), high) for low, high in overlapping]
    order = data.draw(st.permutations(spans))
    segments = [(0.0, tcp_segment(b"", isn, flags=SYN))]
    segments += [
        (1.0 + n, tcp_segment(stream_data[low:high], isn + 1 + low)) for n, (low, high) in enumerate(order)
    ]
    reassembled, other_events = reassemble_stream(*segments)
    assert reassembled == stream_data and all(isinstance(event, StreamEnded) for event in other_events)


def test_gap_is_abandoned_only_after_acknowledgement() -> None:
    reverse: Ends = (B, A)
    first = [
        (0.0, tcp_segment(b"", 9, flags=SYN)),
        (1.0, tcp_segment(b"one", 10)),
        (2.0, tcp_segment(b"three", 16)),
    ]
    late_segment = tcp_segment(b"two", 13)
    assert reassemble_stream(*first, (3.0, late_segment))[0] == b"onetwothree"
    acked = (4.0, tcp_segment(b"", 1, ack=21, ends=reverse))
    # the file may have the acknowledgement before the segment
    assert reassemble_stream(*first, acked, (5.0, late_segment))[0] == b"onetwothree"
    data, other_events = reassemble_stream(
        *first, acked, (6.0 + ACKED_GAP_TIMEOUT_NS / MS, tcp_segment(b"four", 21))
    )
    assert data == b"onethreefour" and isinstance(other_events[0], StreamData) and other_events[0].gap == 3


def test_full_segment_buffer_abandons_the_gap() -> None:
    segments = [(0.0, tcp_segment(b"", 9, flags=SYN))]
    segments += [(1.0, tcp_segment(b"x", 11 + n)) for n in range(400)]
    data, other_events = reassemble_stream(*segments)
    assert data == b"x" * 400 and isinstance(other_events[0], StreamData) and other_events[0].gap == 1


def test_conflicting_retransmission_is_reported_and_the_first_copy_kept() -> None:
    syn = (0.0, tcp_segment(b"", 9, flags=SYN))
    data, other_events = reassemble_stream(
        syn, (1.0, tcp_segment(b"abcdef", 10)), (2.0, tcp_segment(b"abXXefgh", 10))
    )
    assert (
        data == b"abcdefgh"
        and isinstance(other_events[0], OverlapConflict)
        and other_events[0].stream_offset == 0
    )
    data, other_events = reassemble_stream(
        syn, (1.0, tcp_segment(b"abcdef", 10)), (2.0, tcp_segment(b"abcdefgh", 10))
    )
    assert data == b"abcdefgh" and not [event for event in other_events if isinstance(event, OverlapConflict)]


def test_reused_port_pair_is_a_new_connection() -> None:
    data, other_events = reassemble_stream(
        (0.0, tcp_segment(b"", 9, flags=SYN)), (1.0, tcp_segment(b"old", 10)),
        (2.0, tcp_segment(b"", 9, flags=SYN)), (3.0, tcp_segment(b"", 5000, flags=SYN)),
        (4.0, tcp_segment(b"new", 5001)), (5.0, tcp_segment(b"", 5004, flags=FIN)),
    )  # fmt: skip
    assert data == b"oldnew"
    assert [event.reason for event in other_events if isinstance(event, StreamEnded)] == [
        "another connection",
        "FIN",
    ]


def test_reset_delivers_buffered_segments_and_ends_the_stream() -> None:
    data, other_events = reassemble_stream(
        (0.0, tcp_segment(b"", 9, flags=SYN)),
        (1.0, tcp_segment(b"b", 11)),
        (2.0, tcp_segment(b"", 12, flags=RST)),
    )
    assert data == b"b" and [event.reason for event in other_events if isinstance(event, StreamEnded)] == [
        "RST"
    ]


def test_connection_opened_before_the_capture_resumes_at_the_next_start_line() -> None:
    stream_data = message(1, 30)[-20:] + message(2) + b"\r\n\r\n" + message(3)
    timed_frames = []
    for n, offset in enumerate(range(0, len(stream_data), 50)):
        timed_frames.append(
            (
                START_NS + n * MS,
                ethernet_frames(
                    tcp_packet(A, B, 7000 + offset, 0, PSH, stream_data[offset : offset + 50]), 1
                )[0],
            )
        )
    parsed = ParsedCapture(encode_capture(timed_frames, PcapEncoder()))
    assert parsed.ids() == ["2", "3"] and not parsed.kinds


def test_malformed_message_in_a_stream_is_skipped() -> None:
    malformed = b"INVITE sip:x SIP/2.0\r\nContent-Length: x\r\n\r\n"
    message_frames = PacketBuilder().stream_frames(A, B, message(1) + malformed + message(2))
    parsed = ParsedCapture(
        encode_capture([(START_NS + n, frame) for n, frame in enumerate(message_frames)], PcapEncoder())
    )
    assert parsed.ids() == ["1", "2"] and parsed.kinds == {ProblemKind.MALFORMED_MESSAGE}


# --- calls ---


def test_call_outcomes_and_times() -> None:
    profile = TrafficProfile(call_count=200, refused_share=0.2, cancelled_share=0.2, transport="TCP")
    parsed = ParsedCapture(encode_capture(to_packets(generate_traffic(profile)), PcapngEncoder()))
    assert len(parsed.calls) == 200 and not parsed.kinds
    outcomes = [call.outcome for call in parsed.calls]
    assert {Outcome.ESTABLISHED, Outcome.REFUSED, Outcome.CANCELLED} == set(outcomes)
    for call in parsed.calls:
        assert not call.started_before_capture and not call.cut_off and call.patience_ms == 9000.0
        assert call.class_name in profile.class_names and call.called[0] in "12"
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
    profile, messages = TrafficProfile(refused_share=1.0), []
    for n, start_s in enumerate((0, 3, 6, 500)):
        for sent in call_messages(5, START_NS + start_s * 10**9, profile, random.Random(9)):
            headers = tuple(
                (name, f"{value}-{n}" if name == "call-id" else value) for name, value in sent.message.headers
            )
            messages.append(replace(sent, message=replace(sent.message, headers=headers)))
    parsed = ParsedCapture(encode_capture(to_packets(messages), PcapEncoder()))
    assert [call.first_try for call in parsed.calls] == [0, 1, 1, 0]


def test_calls_cut_off_by_the_capture_boundaries_are_marked() -> None:
    messages = generate_traffic(
        TrafficProfile(call_count=1, refused_share=0, cancelled_share=0, called_release_share=0)
    )
    parsed = ParsedCapture(encode_capture(to_packets(messages[4:]), PcapEncoder()))
    assert (
        len(parsed.calls) == 1
        and parsed.calls[0].started_before_capture
        and parsed.calls[0].outcome is Outcome.UNANSWERED
    )
    parsed = ParsedCapture(encode_capture(to_packets(messages[:4]), PcapEncoder()))
    assert (
        parsed.calls[0].cut_off
        and not parsed.calls[0].started_before_capture
        and parsed.calls[0].status == 200
    )


@pytest.mark.parametrize("transport", ["UDP", "TCP"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reordered_duplicated_and_lossy_captures_create_no_extra_calls(transport: str, seed: int) -> None:
    profile = TrafficProfile(call_count=60, transport=transport, padding_bytes=2000)
    timed_frames = to_packets(generate_traffic(profile, seed))
    complete = ParsedCapture(encode_capture(timed_frames, PcapEncoder()))
    random_ = random.Random(seed)
    reordered = sorted(timed_frames, key=lambda timed_frame: timed_frame[0] + random_.uniform(0, 50 * MS))
    parsed = ParsedCapture(encode_capture(reordered, PcapEncoder()))
    expected = {call.call_id: (call.outcome, call.status, call.released_by) for call in complete.calls}
    assert {call.call_id: (call.outcome, call.status, call.released_by) for call in parsed.calls} == expected
    assert not parsed.kinds
    duplicated = [timed_frame for timed_frame in reordered for _ in range(2)]
    parsed = ParsedCapture(encode_capture(duplicated, PcapEncoder()))
    assert {call.call_id: (call.outcome, call.status, call.released_by) for call in parsed.calls} == expected
    assert not parsed.kinds
    lossy = [timed_frame for timed_frame in duplicated if random_.random() >= 0.01][::2]
    parsed = ParsedCapture(encode_capture(lossy, PcapEncoder()))
    assert len(parsed.calls) <= len(expected) and {call.call_id for call in parsed.calls} <= set(expected)
    if (
        len(parsed.messages.counts)
        and parsed.messages.counts["messages"] < complete.messages.counts["messages"]
    ):
        loss_kinds = {ProblemKind.TCP_GAP, ProblemKind.FRAGMENT_MISSING, ProblemKind.MALFORMED_MESSAGE}
        assert parsed.kinds <= loss_kinds


# --- damage ---


@pytest.mark.parametrize("encoder", ENCODERS, ids=["ns", "us", "ng"])
@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_file_truncated_at_any_byte(encoder: PcapEncoder, transport: str) -> None:
    timed_frames = to_packets(generate_traffic(TrafficProfile(call_count=4, transport=transport)))[:40]
    whole = encode_capture(timed_frames, encoder)
    max_calls = len(ParsedCapture(whole).calls)
    boundaries = [len(encoder.file_header())]
    for time_ns, frame in timed_frames:
        boundaries.append(boundaries[-1] + len(encoder.packet_record(time_ns, frame)))
    record_ends = set(boundaries)
    for size in range(0, len(whole), 1 if LONG else 9):
        parsed = ParsedCapture(whole[:size])
        assert len(parsed.calls) <= max_calls
        if size >= boundaries[0]:
            assert (ProblemKind.TRUNCATED_FILE in parsed.kinds) is (size not in record_ends), size


def mangle(data: bytes, random_: random.Random) -> bytes:
    """Applies one to eight random changes to bits, spans or length fields."""
    mangled = bytearray(data)
    for _ in range(random_.randint(1, 8)):
        at = random_.randrange(len(mangled))
        match random_.randrange(5):
            case 0:
                mangled[at] ^= 1 << random_.randrange(8)
            case 1:
                mangled[at : at + random_.randrange(64)] = b""
            case 2:
                mangled[at:at] = random_.randbytes(random_.randrange(32))
            case 3:
                mangled[at : at + 4] = struct.pack(
                    "<I", random_.choice([0, 1, 2**31, 2**32 - 1, len(mangled)])
                )
            case _:
                source = random_.randrange(len(mangled))
                mangled[at : at + 40] = mangled[source : source + 40]
        if not mangled:
            return b"\0"
    return bytes(mangled)


@pytest.mark.parametrize("encoder", ENCODERS, ids=["ns", "us", "ng"])
@pytest.mark.parametrize("transport", ["UDP", "TCP"])
@settings(max_examples=3400 if LONG else 40, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_damaged_file_never_raises_or_hangs(encoder: PcapEncoder, transport: str, seed: int) -> None:
    profile = TrafficProfile(call_count=5, transport=transport, padding_bytes=1600 if seed % 2 else 0)
    whole = encode_capture(to_packets(generate_traffic(profile, 1)), encoder)
    parsed = ParsedCapture(mangle(whole, random.Random(seed)))
    # damage to a Call-ID looks like another call, so only the known calls are counted
    expected_ids = {call.call_id for call in ParsedCapture(whole).calls}
    known_calls = [
        call for call in parsed.calls if call.call_id in expected_ids and not call.started_before_capture
    ]
    assert len(known_calls) <= 2 * len(expected_ids)


def test_other_protocols_are_not_reported_as_problems() -> None:
    packets = [udp_packet(A, B, b"\x01\0\x5eDNS or so"), udp_packet(A, B, b"\r\n\r\n")]
    packets.append(IpPacket(4, "1.2.3.4", "1.2.3.5", 1, b"ping"))
    parsed = ParsedCapture(pcap([frame for ip in packets for frame in ethernet_frames(ip, 1)]))
    assert not parsed.kinds and not parsed.captured and parsed.messages.counts["keep-alives"] == 1
    assert IPPROTO_UDP == 17
