"""Writing captures: rotation, slow and full disks, repair, settings, and the running SIP front."""

from __future__ import annotations

import gzip
import struct
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from landingdeal.capture.calls import CallRecord, CallTracker, Outcome
from landingdeal.capture.encode import PacketBuilder, PcapEncoder, PcapngEncoder
from landingdeal.capture.reader import ReadReport, read_messages
from landingdeal.capture.repair import repair
from landingdeal.capture.rotation import ClosedFile, RotationLimits, files_to_remove, needs_new_file
from landingdeal.capture.sample import (
    START_NS,
    SampleMessage,
    TrafficProfile,
    encode_capture,
    generate_traffic,
    to_packets,
)
from landingdeal.capture.settings import parse_capture_settings
from landingdeal.capture.sink import MAX_QUEUED_MESSAGES, CaptureWriter, wait_written
from landingdeal.clock import now_ms
from landingdeal.errors import ConfigError
from landingdeal.lab.ports import free_port
from landingdeal.sip.capture import CapturePlayback
from landingdeal.sip.message import Message, encode, request
from tests.scenario import BODY, TIMEOUT_S, play
from tests.scenario_sip import SipHarness

A, B = ("10.0.0.1", 5060), ("10.0.0.2", 5070)


def deadline() -> float:
    return now_ms() + TIMEOUT_S * 1000


def calls_in(*paths: Path) -> tuple[list[CallRecord], ReadReport]:
    report, tracker = ReadReport(), CallTracker()
    calls_found = [
        call
        for captured in read_messages([str(path) for path in paths], report)
        for call in tracker.feed(captured)
    ]
    return [*calls_found, *tracker.end()], report


def options(number: int, size: int = 0) -> Message:
    return request("OPTIONS", "sip:x@net", ("via", "SIP/2.0/UDP a;branch=z9hG4bK1"), ("call-id", str(number)),
                   ("cseq", f"{number} OPTIONS"), body=b"x" * size)  # fmt: skip


# --- rotation ---


@given(st.lists(st.integers(1, 400), max_size=40), st.integers(0, 1000), st.integers(0, 600))
def test_oldest_files_are_removed_to_stay_within_the_size_limit(
    sizes: list[int], max_total: int, open_size: int
) -> None:
    closed = [ClosedFile(n, size) for n, size in enumerate(sizes)]
    limits = RotationLimits(max_total_bytes=max_total)
    removed = files_to_remove(limits, closed, open_size)
    assert removed == list(range(len(removed)))
    remaining = open_size + sum(file.size for file in closed[len(removed) :])
    assert max_total == 0 and not removed or remaining <= max_total or len(removed) == len(closed)
    if removed and max_total:
        assert remaining + closed[len(removed) - 1].size > max_total, "one file too many was removed"


def test_files_rotate_by_size_or_age_but_never_before_their_first_record() -> None:
    limits = RotationLimits(max_file_bytes=100, max_file_ms=1000.0)
    assert needs_new_file(limits, 90, 0.0, 0.0, 11) and not needs_new_file(limits, 90, 0.0, 0.0, 10)
    assert needs_new_file(limits, 1, 0.0, 1000.0, 1) and not needs_new_file(limits, 0, 0.0, 9999.0, 999)
    assert not needs_new_file(RotationLimits(0, 0.0), 10**12, 0.0, 10**12, 1)


@pytest.mark.parametrize("compress", ["", "gzip", "zstd"])
def test_writer_rotates_compresses_and_stays_within_its_size_limit(compress: str, tmp_path: Path) -> None:
    open_path = tmp_path / "ours.pcapng"
    writer = CaptureWriter(
        open_path, RotationLimits(max_file_bytes=40_000, max_file_ms=0.0, max_total_bytes=120_000), compress
    )
    for number in range(400):
        writer.message_passed("UDP", A, B, options(number, 1000))
        if number % 20 == 0:
            assert wait_written(writer, deadline())
    writer.end(deadline())
    assert not writer.dropped_messages and not writer.failed_messages and writer.written_messages == 400
    deadline_ms = deadline()
    suffix = {"": ".pcapng", "gzip": ".pcapng.gz", "zstd": ".pcapng.zst"}[compress]
    while now_ms() < deadline_ms and any(
        path != open_path and not path.name.endswith(suffix) for path in tmp_path.iterdir()
    ):
        time.sleep(0.01)
    files = sorted(path for path in tmp_path.iterdir() if path != open_path)
    assert files and all(path.name.endswith(suffix) for path in files)
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 120_000
    report = ReadReport()
    ids = [
        int(captured.message.call_id)
        for captured in read_messages([*map(str, files), str(open_path)], report)
    ]
    assert ids == list(range(min(ids), 400)) and report.complete and 50 < len(ids) < 120


# --- the writer ---


@pytest.mark.parametrize("name", ["ours.pcap", "ours.pcapng"])
@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_written_messages_read_back_as_the_same_calls(name: str, transport: str, tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path / name)
    messages = generate_traffic(TrafficProfile(call_count=20, transport=transport, padding_bytes=3000))
    for sent in messages:
        writer.message_passed(transport, sent.source, sent.target, sent.message)
    writer.connection_closed(messages[0].source, messages[0].target, reset=True)
    writer.end(deadline())
    calls, report = calls_in(tmp_path / name)
    assert report.complete and report.counts["messages"] == len(messages) and len(calls) == 20
    assert {call.outcome for call in calls} <= {Outcome.ESTABLISHED, Outcome.REFUSED, Outcome.CANCELLED}


def test_packet_comments_name_call_class_and_attempt(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path / "x.pcapng")
    invite = request("INVITE", "sip:1@net", ("via", "SIP/2.0/UDP a;branch=z9hG4bK1"), ("call-id", "ab-2"),
                     ("cseq", "1 INVITE"), ("subject", "test-report"))  # fmt: skip
    writer.message_passed("UDP", A, B, invite)
    writer.end(deadline())
    assert b"call ab class test-report attempt 2" in (tmp_path / "x.pcapng").read_bytes()


class FakeFile:
    """Replaces the file of a writer; `write` may be slow or fail."""

    def __init__(self, write: Callable[[bytes], int]) -> None:
        self.write = write

    def flush(self) -> None: ...

    def close(self) -> None: ...


def test_slow_disk_drops_messages_without_blocking_callers(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path / "x.pcap")
    released = threading.Event()

    def slow_write(data: bytes) -> int:
        released.wait(TIMEOUT_S)
        return len(data)

    writer.file = FakeFile(slow_write)  # type: ignore[assignment]
    started_s = time.monotonic()
    for number in range(MAX_QUEUED_MESSAGES + 2000):
        writer.message_passed("UDP", A, B, options(number))
    assert time.monotonic() - started_s < TIMEOUT_S / 2 and writer.dropped_messages >= 1000
    released.set()
    writer.end(deadline())
    assert writer.written_messages + writer.dropped_messages == MAX_QUEUED_MESSAGES + 2000


def test_full_disk_drops_messages_and_writing_resumes_later(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path / "x.pcap")

    def failing_write(data: bytes) -> int:
        raise OSError(28, "No space left on device")

    writer.file = FakeFile(failing_write)  # type: ignore[assignment]
    writer.message_passed("UDP", A, B, options(1))
    deadline_ms = deadline()
    while not writer.failed_messages and now_ms() < deadline_ms:
        time.sleep(0.01)
    assert writer.failed_messages == 1
    writer.reopen_at_ms = float("-inf")  # the reopen delay has passed
    writer.message_passed("UDP", A, B, options(2))
    writer.end(deadline())
    assert [
        captured.message.call_id for captured in read_messages([str(tmp_path / "x.pcap")], ReadReport())
    ] == ["2"]


def test_unclosed_file_is_readable_to_its_last_record(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path / "x.pcap")
    for number in range(50):
        writer.message_passed("TCP", A, B, options(number))
    assert wait_written(writer, deadline())
    deadline_ms = deadline()
    while writer.written_messages < 50 and now_ms() < deadline_ms:
        time.sleep(0.01)
    report = ReadReport()
    assert len(list(read_messages([str(tmp_path / "x.pcap")], report))) == 50 and report.complete


# --- repair ---


@pytest.mark.parametrize("encoder", [PcapEncoder(), PcapngEncoder()], ids=["pcap", "pcapng"])
def test_repair_removes_a_damaged_tail(encoder: PcapEncoder, tmp_path: Path) -> None:
    timed_frames = to_packets(generate_traffic(TrafficProfile(call_count=5)))
    whole = encode_capture(timed_frames, encoder)
    path, out = tmp_path / "in", tmp_path / "out"
    impossible_record = struct.pack("<IIII", 6, 2**31, 2**31, 2**31)
    for damaged in (whole[:-7], whole + b"\x01\x02\x03", whole + impossible_record):
        path.write_bytes(damaged)
        result = repair(path, out)
        assert result.reason and result.removed_bytes == len(damaged) - result.kept_bytes > 0
        assert calls_in(out)[1].complete and result.packet_count in (len(timed_frames), len(timed_frames) - 1)
        repeated = repair(out, tmp_path / "again")
        assert not repeated.reason and (tmp_path / "again").read_bytes() == out.read_bytes()
    path.write_bytes(gzip.compress(whole))
    with pytest.raises(ConfigError, match="unpack it first"):
        repair(path, out)


# --- settings ---


@pytest.mark.parametrize(
    ("raw", "key"),
    [
        ({"reed": "x"}, "reed"), ({"write": 5}, "write"), ({"compress": "lzma"}, "compress"),
        ({"file_mb": -1}, "file_mb"), ({"file_mb": 100, "total_mb": 50}, "total_mb"), ({"read": [1]}, "read"),
    ],
)  # fmt: skip
def test_invalid_settings_are_rejected_with_section_key_and_reason(raw: dict[str, object], key: str) -> None:
    with pytest.raises(ConfigError, match=f"sip.capture.*{key}"):
        parse_capture_settings(raw)


# --- the running front ---


@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_call_played_from_a_capture_is_written_to_another(transport: str, tmp_path: Path) -> None:
    port = free_port()
    caller, listen = ("10.9.9.9", 5099), ("10.1.1.1", port)

    def build_request(method: str, to_tag: str, number: int = 1, body: bytes = b"") -> Message:
        via = ("via", f"SIP/2.0/{transport} 10.9.9.9:5099;branch=z9hG4bK{method}")
        return request(
            method, f"sip:1000@10.1.1.1:{port}", via, ("from", "<sip:c@10.9.9.9>;tag=c"),
            ("to", f"<sip:1000@10.1.1.1>{to_tag}"), ("call-id", "recorded"), ("cseq", f"{number} {method}"),
            ("contact", "<sip:c@10.9.9.9:5099>"), body=body,
        )  # fmt: skip

    messages = [
        SampleMessage(START_NS, transport, caller, listen, build_request("INVITE", "", body=BODY)),
        SampleMessage(START_NS + 20_000_000, "UDP", caller, ("10.1.1.1", 9), options(1)),
        SampleMessage(
            START_NS + 1_000_000_000, transport, caller, listen, build_request("ACK", ";tag=recorded")
        ),
        SampleMessage(
            START_NS + 1_100_000_000, transport, caller, listen, build_request("BYE", ";tag=recorded", 2)
        ),
    ]
    (tmp_path / "in.pcap").write_bytes(encode_capture(to_packets(messages), PcapEncoder()))
    extra = f'[sip.capture]\nread = "{tmp_path}/in.pcap"\nwrite = "{tmp_path}/out.pcapng"\n'
    harness = SipHarness(tmp_path, "udp", extra, port=port)
    try:
        play(harness, "hub1 expect INVITE a\nhub1 send 200 a\nhub1 expect ACK a\n")
        play(harness, "hub1 expect BYE a\nhub1 send 200 a of=BYE\n")
        deadline_ms = deadline()
        calls: list[CallRecord] = []
        while now_ms() < deadline_ms:
            calls = calls_in(tmp_path / "out.pcapng")[0]
            if len(calls) == 2 and all(call.bye_response_ns >= 0 for call in calls):
                break
            time.sleep(0.05)
        caller_leg = next(call for call in calls if call.call_id == "recorded")
        hub_leg = next(call for call in calls if call.call_id != "recorded")
        assert caller_leg.outcome is hub_leg.outcome is Outcome.ESTABLISHED
        assert (
            caller_leg.source == caller and caller_leg.transport == transport and hub_leg.transport == "UDP"
        )
        assert (
            caller_leg.released_by == hub_leg.released_by and caller_leg.bye_response_ns >= caller_leg.bye_ns
        )
        play(harness, "program stop\nprogram ends 0\n")
    finally:
        log = harness.end()
    assert "3 messages played; skipped: 1 to another port" in log
    assert "messages written, 0 dropped (queue full), 0 not written (disk error)" in log


def test_start_fails_with_one_line_if_nothing_can_be_played(tmp_path: Path) -> None:
    empty = encode_capture([], PcapEncoder())
    for data, reason in ((b"GIF89a" * 9, "neither pcap nor pcapng"), (empty, "no message")):
        (tmp_path / "x").write_bytes(data)
        with pytest.raises(ConfigError, match=reason):
            CapturePlayback([str(tmp_path / "x")], None, ("127.0.0.1", 5060))
    with pytest.raises(OSError, match="No such file"):
        CapturePlayback([str(tmp_path / "none")], None, ("127.0.0.1", 5060))


def test_open_connections_are_bounded() -> None:
    builder = PacketBuilder()
    frames = []
    for n in range(PacketBuilder.MAX_CONNECTIONS + 50):
        frames += builder.stream_frames((f"10.{n >> 8}.0.{n & 255}", 5060), B, encode(options(n)))
    assert len(builder.connections) == PacketBuilder.MAX_CONNECTIONS
