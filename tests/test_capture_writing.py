"""Our exchanges written to captures: by the running front, rotated, with a disk that is slow or full."""

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

from landingdeal.capture.calls import CallRecord, Calls, Outcome
from landingdeal.capture.encode import Conversations, PcapFile, PcapngFile
from landingdeal.capture.reader import Reading, read
from landingdeal.capture.repair import repair
from landingdeal.capture.rotation import Bounds, Closed, full, to_remove
from landingdeal.capture.sample import START_NS, Sent, Shape, capture_file, packets, traffic
from landingdeal.capture.settings import read_capture
from landingdeal.capture.sink import WAITING_MOST, Sink, wait_written
from landingdeal.clock import now_ms
from landingdeal.errors import ConfigError
from landingdeal.lab.ports import free_port
from landingdeal.sip.capture import CapturePlayback
from landingdeal.sip.message import Message, encode, request
from tests.scenario import BODY, TIMEOUT_S, play
from tests.scenario_sip import SipHarness

A, B = ("10.0.0.1", 5060), ("10.0.0.2", 5070)


def soon() -> float:
    return now_ms() + TIMEOUT_S * 1000


def calls_in(*paths: Path) -> tuple[list[CallRecord], Reading]:
    reading, calls = Reading(), Calls()
    found = [call for seen in read([str(path) for path in paths], reading) for call in calls.feed(seen)]
    return [*found, *calls.end()], reading


def options(number: int, size: int = 0) -> Message:
    return request("OPTIONS", "sip:x@net", ("via", "SIP/2.0/UDP a;branch=z9hG4bK1"), ("call-id", str(number)),
                   ("cseq", f"{number} OPTIONS"), body=b"x" * size)  # fmt: skip


# --- rotation ---


@given(st.lists(st.integers(1, 400), max_size=40), st.integers(0, 1000), st.integers(0, 600))
def test_files_stay_within_their_budget_and_the_oldest_go(
    sizes: list[int], total: int, open_size: int
) -> None:
    closed = [Closed(n, size) for n, size in enumerate(sizes)]
    bounds = Bounds(total_bytes=total)
    gone = to_remove(bounds, closed, open_size)
    assert gone == list(range(len(gone)))
    left = open_size + sum(file.size for file in closed[len(gone) :])
    assert total == 0 and not gone or left <= total or len(gone) == len(closed)
    if gone and total:
        assert left + closed[len(gone) - 1].size > total, "one too many went"


def test_a_file_is_full_by_size_or_by_time_and_never_before_its_first_record() -> None:
    bounds = Bounds(file_bytes=100, file_ms=1000.0)
    assert full(bounds, 90, 0.0, 0.0, 11) and not full(bounds, 90, 0.0, 0.0, 10)
    assert full(bounds, 1, 0.0, 1000.0, 1) and not full(bounds, 0, 0.0, 9999.0, 999)
    assert not full(Bounds(0, 0.0), 10**12, 0.0, 10**12, 1)


@pytest.mark.parametrize("compress", ["", "gzip", "zstd"])
def test_a_sink_rotates_compresses_and_keeps_its_budget(compress: str, tmp_path: Path) -> None:
    path = tmp_path / "ours.pcapng"
    sink = Sink(path, Bounds(file_bytes=40_000, file_ms=0.0, total_bytes=120_000), compress)
    for number in range(400):
        sink.message_passed("UDP", A, B, options(number, 1000))
        if number % 20 == 0:
            assert wait_written(sink, soon())
    sink.end(soon())
    assert not sink.left_out and not sink.failed and sink.written == 400
    until = soon()
    suffix = {"": ".pcapng", "gzip": ".pcapng.gz", "zstd": ".pcapng.zst"}[compress]
    while now_ms() < until and any(p != path and not p.name.endswith(suffix) for p in tmp_path.iterdir()):
        time.sleep(0.01)
    files = sorted(one for one in tmp_path.iterdir() if one != path)
    assert files and all(one.name.endswith(suffix) for one in files)
    assert sum(one.stat().st_size for one in tmp_path.iterdir()) <= 120_000
    reading = Reading()
    ids = [int(seen.message.call_id) for seen in read([*map(str, files), str(path)], reading)]
    assert ids == list(range(min(ids), 400)) and reading.complete and 50 < len(ids) < 120


# --- the sink ---


@pytest.mark.parametrize("name", ["ours.pcap", "ours.pcapng"])
@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_what_is_written_reads_as_the_same_calls(name: str, transport: str, tmp_path: Path) -> None:
    sink = Sink(tmp_path / name)
    made = traffic(Shape(calls=20, transport=transport, padding=3000))
    for sent in made:
        sink.message_passed(transport, sent.source, sent.target, sent.message)
    sink.connection_closed(made[0].source, made[0].target, reset=True)
    sink.end(soon())
    found, reading = calls_in(tmp_path / name)
    assert reading.complete and reading.counts["messages"] == len(made) and len(found) == 20
    assert {call.outcome for call in found} <= {Outcome.STOOD, Outcome.REFUSED, Outcome.WITHDRAWN}


def test_comments_name_call_class_and_attempt(tmp_path: Path) -> None:
    sink = Sink(tmp_path / "x.pcapng")
    invite = request("INVITE", "sip:1@net", ("via", "SIP/2.0/UDP a;branch=z9hG4bK1"), ("call-id", "ab-2"),
                     ("cseq", "1 INVITE"), ("subject", "test-report"))  # fmt: skip
    sink.message_passed("UDP", A, B, invite)
    sink.end(soon())
    assert b"call ab class test-report attempt 2" in (tmp_path / "x.pcapng").read_bytes()


class Disk:
    """Stands in for the file of a sink: slow or full, as told."""

    def __init__(self, write: Callable[[bytes], int]) -> None:
        self.write = write

    def flush(self) -> None: ...

    def close(self) -> None: ...


def test_a_slow_disk_costs_messages_and_never_whoever_tells_of_them(tmp_path: Path) -> None:
    sink = Sink(tmp_path / "x.pcap")
    go = threading.Event()

    def slow(data: bytes) -> int:
        go.wait(TIMEOUT_S)
        return len(data)

    sink.file = Disk(slow)  # type: ignore[assignment]
    began = time.monotonic()
    for number in range(WAITING_MOST + 2000):
        sink.message_passed("UDP", A, B, options(number))
    assert time.monotonic() - began < TIMEOUT_S / 2 and sink.left_out >= 1000
    go.set()
    sink.end(soon())
    assert sink.written + sink.left_out == WAITING_MOST + 2000


def test_a_full_disk_leaves_out_what_it_refuses_and_goes_on_when_there_is_room(tmp_path: Path) -> None:
    sink = Sink(tmp_path / "x.pcap")

    def full_disk(data: bytes) -> int:
        raise OSError(28, "No space left on device")

    sink.file = Disk(full_disk)  # type: ignore[assignment]
    sink.message_passed("UDP", A, B, options(1))
    until = soon()
    while not sink.failed and now_ms() < until:
        time.sleep(0.01)
    assert sink.failed == 1
    sink.shut_until_ms = float("-inf")  # a while later
    sink.message_passed("UDP", A, B, options(2))
    sink.end(soon())
    assert [seen.message.call_id for seen in read([str(tmp_path / "x.pcap")], Reading())] == ["2"]


def test_a_file_that_was_not_closed_reads_to_its_last_record(tmp_path: Path) -> None:
    sink = Sink(tmp_path / "x.pcap")
    for number in range(50):
        sink.message_passed("TCP", A, B, options(number))
    assert wait_written(sink, soon())
    until = soon()
    while sink.written < 50 and now_ms() < until:
        time.sleep(0.01)
    reading = Reading()
    assert len(list(read([str(tmp_path / "x.pcap")], reading))) == 50 and reading.complete


# --- repair ---


@pytest.mark.parametrize("form", [PcapFile(), PcapngFile()], ids=["pcap", "pcapng"])
def test_a_damaged_tail_is_cut_off(form: PcapFile, tmp_path: Path) -> None:
    made = packets(traffic(Shape(calls=5)))
    whole = capture_file(made, form)
    path, out = tmp_path / "in", tmp_path / "out"
    impossible = struct.pack("<IIII", 6, 2**31, 2**31, 2**31)
    for damaged in (whole[:-7], whole + b"\x01\x02\x03", whole + impossible):
        path.write_bytes(damaged)
        done = repair(path, out)
        assert done.why and done.cut == len(damaged) - done.kept > 0
        assert calls_in(out)[1].complete and done.packets in (len(made), len(made) - 1)
        again = repair(out, tmp_path / "again")
        assert not again.why and (tmp_path / "again").read_bytes() == out.read_bytes()
    path.write_bytes(gzip.compress(whole))
    with pytest.raises(ConfigError, match="unpack it first"):
        repair(path, out)


# --- settings ---


@pytest.mark.parametrize(
    ("raw", "why"),
    [
        ({"reed": "x"}, "reed"), ({"write": 5}, "write"), ({"compress": "lzma"}, "compress"),
        ({"file_mb": -1}, "file_mb"), ({"file_mb": 100, "total_mb": 50}, "total_mb"), ({"read": [1]}, "read"),
    ],
)  # fmt: skip
def test_settings_are_refused_with_section_key_and_reason(raw: dict[str, object], why: str) -> None:
    with pytest.raises(ConfigError, match=f"sip.capture.*{why}"):
        read_capture(raw)


# --- the running front ---


@pytest.mark.parametrize("kind", ["UDP", "TCP"])
def test_a_call_played_from_a_capture_is_answered_into_another(kind: str, tmp_path: Path) -> None:
    port = free_port()
    caller, listen = ("10.9.9.9", 5099), ("10.1.1.1", port)

    def make(method: str, to_tag: str, number: int = 1, body: bytes = b"") -> Message:
        via = ("via", f"SIP/2.0/{kind} 10.9.9.9:5099;branch=z9hG4bK{method}")
        return request(
            method, f"sip:1000@10.1.1.1:{port}", via, ("from", "<sip:c@10.9.9.9>;tag=c"),
            ("to", f"<sip:1000@10.1.1.1>{to_tag}"), ("call-id", "recorded"), ("cseq", f"{number} {method}"),
            ("contact", "<sip:c@10.9.9.9:5099>"), body=body,
        )  # fmt: skip

    made = [
        Sent(START_NS, kind, caller, listen, make("INVITE", "", body=BODY)),
        Sent(START_NS + 20_000_000, "UDP", caller, ("10.1.1.1", 9), options(1)),
        Sent(START_NS + 1_000_000_000, kind, caller, listen, make("ACK", ";tag=recorded")),
        Sent(START_NS + 1_100_000_000, kind, caller, listen, make("BYE", ";tag=recorded", 2)),
    ]
    (tmp_path / "in.pcap").write_bytes(capture_file(packets(made), PcapFile()))
    extra = f'[sip.capture]\nread = "{tmp_path}/in.pcap"\nwrite = "{tmp_path}/out.pcapng"\n'
    stage = SipHarness(tmp_path, "udp", extra, port=port)
    try:
        play(stage, "hub1 expect INVITE a\nhub1 send 200 a\nhub1 expect ACK a\n")
        play(stage, "hub1 expect BYE a\nhub1 send 200 a of=BYE\n")
        until = soon()
        found: list[CallRecord] = []
        while now_ms() < until:
            found = calls_in(tmp_path / "out.pcapng")[0]
            if len(found) == 2 and all(call.over_ns >= 0 for call in found):
                break
            time.sleep(0.05)
        ours = next(call for call in found if call.call_id == "recorded")
        hubs = next(call for call in found if call.call_id != "recorded")
        assert ours.outcome is hubs.outcome is Outcome.STOOD
        assert ours.source == caller and ours.transport == kind and hubs.transport == "UDP"
        assert ours.bye_by == hubs.bye_by and ours.over_ns >= ours.bye_ns
        play(stage, "program stop\nprogram ends 0\n")
    finally:
        log = stage.end()
    assert "3 messages played; skipped: 1 to another port" in log
    assert "messages written, 0 left out, 0 not taken by the disk" in log


def test_nothing_to_play_ends_the_start_with_one_line(tmp_path: Path) -> None:
    empty = capture_file([], PcapFile())
    for data, why in ((b"GIF89a" * 9, "neither pcap nor pcapng"), (empty, "no message")):
        (tmp_path / "x").write_bytes(data)
        with pytest.raises(ConfigError, match=why):
            CapturePlayback([str(tmp_path / "x")], None, ("127.0.0.1", 5060))
    with pytest.raises(OSError, match="No such file"):
        CapturePlayback([str(tmp_path / "none")], None, ("127.0.0.1", 5060))


def test_conversations_are_bounded_and_each_is_whole() -> None:
    conversations = Conversations()
    frames = []
    for n in range(Conversations.CONNECTIONS_MOST + 50):
        frames += conversations.stream((f"10.{n >> 8}.0.{n & 255}", 5060), B, encode(options(n)))
    assert len(conversations.connections) == Conversations.CONNECTIONS_MOST
