"""Tests of editing and comparing captures, of the capture that the program records, and of the demo."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from landingdeal.capture.calls import CallRecord, CallTracker
from landingdeal.capture.compare import compare, time_shifts_ms
from landingdeal.capture.encode import PcapEncoder, PcapngEncoder
from landingdeal.capture.plan import ReplayOptions, SkippedCalls, plan
from landingdeal.capture.reader import ReadReport, read_messages
from landingdeal.capture.replay import Replay
from landingdeal.capture.results import last_tries
from landingdeal.capture.rewrite import Scrubber, encode_messages
from landingdeal.capture.sample import SDP, encode_capture, generate_traffic, to_packets
from landingdeal.capture.sample import TrafficProfile as Traffic
from landingdeal.lab.answerer import StubBehaviour, StubUserAgent
from landingdeal.lab.demo import running_program
from landingdeal.sip.message import Message, request
from tests.test_commands import landingdeal


@pytest.fixture
def sample(tmp_path: Path) -> Path:
    path = tmp_path / "sample.pcapng"
    path.write_bytes(
        encode_capture(to_packets(generate_traffic(Traffic(call_count=20, transport="TCP"))), PcapngEncoder())
    )
    return path


def read_calls(*paths: Path) -> list[CallRecord]:
    call_table = CallTracker()
    records = [
        call
        for seen in read_messages([str(path) for path in paths], ReadReport())
        for call in call_table.feed(seen)
    ]
    return [*records, *call_table.end()]


@pytest.mark.parametrize("file_format", [PcapEncoder(), PcapngEncoder()], ids=["pcap", "pcapng"])
def test_rewritten_capture_has_the_same_calls(file_format: PcapEncoder, sample: Path, tmp_path: Path) -> None:
    rewritten = tmp_path / "out"
    rewritten.write_bytes(b"".join(encode_messages(read_messages([str(sample)], ReadReport()), file_format)))
    comparison = compare(read_calls(sample), read_calls(rewritten))
    assert comparison.equal and len(comparison.pairs) == 20
    assert max(map(abs, time_shifts_ms(comparison)["start_ms"])) < 0.1


def test_filter_merge_and_compare(sample: Path, tmp_path: Path) -> None:
    established, others, merged = (tmp_path / name for name in ("stood.pcap", "rest.pcap", "whole.pcapng"))
    assert (
        landingdeal("capture", "filter", str(sample), str(established), "--where", "outcome == stood")[0] == 0
    )
    assert (
        landingdeal("capture", "filter", str(sample), str(others), "--where", "not outcome == stood")[0] == 0
    )
    assert landingdeal("capture", "merge", str(established), str(others), str(merged))[0] == 0
    assert landingdeal("capture", "compare", str(sample), str(merged))[0] == 0
    code, out, _ = landingdeal("capture", "compare", "--json", str(sample), str(established))
    output = json.loads(out)
    assert (
        code == 1
        and output["both"] + output["only_a"] == 20
        and output["only_b"] == 0
        and not output["differing"]
    )
    code, _, errors = landingdeal("capture", "filter", str(sample), str(others), "--where", "nonsense == 1")
    assert (
        code == 2 and "column 1" in errors and len(read_calls(others)) == output["only_a"]
    ), "the old file must be kept"


def test_scrubbing_is_consistent_and_complete(sample: Path, tmp_path: Path) -> None:
    first, second, other_key = (tmp_path / name for name in ("1.pcapng", "2.pcapng", "3.pcapng"))
    for out, key in ((first, "a"), (second, "a"), (other_key, "b")):
        assert landingdeal("capture", "scrub", str(sample), str(out), "--key", key)[0] == 0
    assert first.read_bytes() == second.read_bytes() != other_key.read_bytes()
    before, after = read_calls(sample), read_calls(first)
    assert [(c.outcome, c.status, c.class_name, c.called[0], len(c.called)) for c in before] == [
        (c.outcome, c.status, c.class_name, c.called[0], len(c.called)) for c in after
    ]
    raw = first.read_bytes()
    for call in before:
        for secret in (call.call_id, call.caller, f"sip:{call.called}@", call.source[0]):
            assert secret.encode() not in raw
    reading = ReadReport()
    assert list(read_messages([str(first)], reading)) and reading.complete


def test_every_header_with_a_name_or_an_address_is_scrubbed() -> None:
    message = request(
        "INVITE", "sip:+2511110123@gw7.abay.example:5070;user=phone",
        ("from", '"Almaz, T" <sip:almaz@10.4.7.9>;tag=1'), ("to", "Kebede <tel:+251911>"),
        ("contact", "<sip:almaz@[2001:db8:1::5]:5060;transport=tcp>"), ("organization", "payments"),
        ("p-asserted-identity", "sip:almaz@abay.example"), ("authorization", 'Digest username="almaz"'),
        ("call-id", "x@10.4.7.9"), ("subject", "test-report"), ("content-type", "application/sdp"),
        body=SDP.replace(b"o=- ", b"o=almaz ").replace(b"127.0.0.1", b"10.4.7.9"),
    )  # fmt: skip
    scrubbed = Scrubber("k").scrub_message(message)
    text = repr(scrubbed)
    secrets = ("almaz", "Almaz", "Kebede", "abay", "10.4.7.9", "db8:1::5", "payments", "110123", "Digest")
    for secret in secrets:
        assert secret not in text, secret
    assert re.match(r"sip:\+2\d{9}@h[0-9a-f]{8}\.example:5070;user=phone$", scrubbed.uri)
    assert scrubbed.get("subject") == "test-report"
    assert len(scrubbed.body.splitlines()) == len(message.body.splitlines())
    assert isinstance(scrubbed, Message) and Scrubber("k").scrub_message(message) == scrubbed


@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_calls_recorded_by_the_program_match_the_replayed_capture(transport: str, tmp_path: Path) -> None:
    """Replays a capture through the running program, reads back what it recorded and compares the calls."""
    source, recorded = tmp_path / "in.pcap", tmp_path / "ours.pcapng"
    traffic_shape = Traffic(
        30, 40.0, transport=transport, refused_share=0.0, cancelled_share=0.0, hold_ms=(50.0, 200.0)
    )
    source.write_bytes(encode_capture(to_packets(generate_traffic(traffic_shape)), PcapEncoder()))
    hubs = [StubUserAgent(StubBehaviour(ring_ms=2.0, answer_ms=10.0)) for _ in range(2)]
    planned = plan(read_calls(source), ReplayOptions(linger_ms=0.0), SkippedCalls({}))
    extra_config = f'[sip.capture]\nwrite = "{recorded}"\n'
    with running_program(tmp_path, (hubs[0].port, hubs[1].port), extra_config) as port:
        report = Replay(planned, ("127.0.0.1", port), ReplayOptions()).run()
    for hub in hubs:
        hub.end()
    results = last_tries(report)
    assert [r.final_answers for r in results] == [1] * 30 and {r.status for r in results} == {200}
    reading, calls = ReadReport(), CallTracker()
    records = [call for seen in read_messages([str(recorded)], reading) for call in calls.feed(seen)] + list(
        calls.end()
    )
    callers = [call for call in records if call.target[1] == port]
    assert reading.complete and len(callers) == 30 and len(records) == 60  # each call has a leg towards a hub
    by_called = sorted((call.called, call.status, call.class_name) for call in callers)
    assert by_called == sorted((call.called, call.status, call.class_name) for call in read_calls(source))
    legs = [call for call in records if call not in callers]
    assert all(call.status == 200 and call.bye_response_ns >= 0 for call in legs)


def test_demo_command_succeeds() -> None:
    code, out, _ = landingdeal("demo", "--calls", "10", "--json")
    output = json.loads(out)
    assert code == 0 and output["planned"] == len(output["calls"]) == 10 and output["unanswered"] == 0
