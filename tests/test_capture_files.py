"""Captures made from captures, the round trip through the running program, and the demonstration."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from landingdeal.capture.calls import CallRecord, Calls
from landingdeal.capture.compare import compare, time_shifts_ms
from landingdeal.capture.encode import PcapFile, PcapngFile
from landingdeal.capture.plan import ReplayOptions, SkippedCalls, plan
from landingdeal.capture.reader import Reading, read
from landingdeal.capture.replay import Replay
from landingdeal.capture.results import last_tries
from landingdeal.capture.rewrite import Scrubber, encode_capture
from landingdeal.capture.sample import SDP, capture_file, packets, traffic
from landingdeal.capture.sample import Shape as Traffic
from landingdeal.lab.answerer import Answerer, Behaviour
from landingdeal.lab.demo import front
from landingdeal.sip.message import Message, request
from tests.test_commands import landingdeal


@pytest.fixture
def sample(tmp_path: Path) -> Path:
    path = tmp_path / "sample.pcapng"
    path.write_bytes(capture_file(packets(traffic(Traffic(calls=20, transport="TCP"))), PcapngFile()))
    return path


def calls_in(*paths: Path) -> list[CallRecord]:
    calls = Calls()
    found = [call for seen in read([str(path) for path in paths], Reading()) for call in calls.feed(seen)]
    return [*found, *calls.end()]


@pytest.mark.parametrize("form", [PcapFile(), PcapngFile()], ids=["pcap", "pcapng"])
def test_what_is_rewritten_holds_the_same_calls(form: PcapFile, sample: Path, tmp_path: Path) -> None:
    out = tmp_path / "out"
    out.write_bytes(b"".join(encode_capture(read([str(sample)], Reading()), form)))
    made = compare(calls_in(sample), calls_in(out))
    assert made.equal and len(made.pairs) == 20
    assert max(map(abs, time_shifts_ms(made)["start_ms"])) < 0.1


def test_filter_merge_and_compare(sample: Path, tmp_path: Path) -> None:
    stood, rest, whole = (tmp_path / name for name in ("stood.pcap", "rest.pcap", "whole.pcapng"))
    assert landingdeal("capture", "filter", str(sample), str(stood), "--where", "outcome == stood")[0] == 0
    assert landingdeal("capture", "filter", str(sample), str(rest), "--where", "not outcome == stood")[0] == 0
    assert landingdeal("capture", "merge", str(stood), str(rest), str(whole))[0] == 0
    assert landingdeal("capture", "compare", str(sample), str(whole))[0] == 0
    code, out, _ = landingdeal("capture", "compare", "--json", str(sample), str(stood))
    told = json.loads(out)
    assert code == 1 and told["both"] + told["only_a"] == 20 and told["only_b"] == 0 and not told["differing"]
    code, _, err = landingdeal("capture", "filter", str(sample), str(rest), "--where", "nonsense == 1")
    assert code == 2 and "column 1" in err and len(calls_in(rest)) == told["only_a"], "the old file stays"


def test_scrubbing_is_consistent_and_leaves_nothing_behind(sample: Path, tmp_path: Path) -> None:
    one, other, third = (tmp_path / name for name in ("1.pcapng", "2.pcapng", "3.pcapng"))
    for out, key in ((one, "a"), (other, "a"), (third, "b")):
        assert landingdeal("capture", "scrub", str(sample), str(out), "--key", key)[0] == 0
    assert one.read_bytes() == other.read_bytes() != third.read_bytes()
    before, after = calls_in(sample), calls_in(one)
    assert [(c.outcome, c.status, c.class_name, c.called[0], len(c.called)) for c in before] == [
        (c.outcome, c.status, c.class_name, c.called[0], len(c.called)) for c in after
    ]
    raw = one.read_bytes()
    for call in before:
        for secret in (call.call_id, call.caller, f"sip:{call.called}@", call.source[0]):
            assert secret.encode() not in raw
    reading = Reading()
    assert list(read([str(one)], reading)) and reading.complete


def test_every_header_with_a_name_or_an_address_is_scrubbed() -> None:
    message = request(
        "INVITE", "sip:+2511110123@gw7.abay.example:5070;user=phone",
        ("from", '"Almaz, T" <sip:almaz@10.4.7.9>;tag=1'), ("to", "Kebede <tel:+251911>"),
        ("contact", "<sip:almaz@[2001:db8:1::5]:5060;transport=tcp>"), ("organization", "payments"),
        ("p-asserted-identity", "sip:almaz@abay.example"), ("authorization", 'Digest username="almaz"'),
        ("call-id", "x@10.4.7.9"), ("subject", "test-report"), ("content-type", "application/sdp"),
        body=SDP.replace(b"o=- ", b"o=almaz ").replace(b"127.0.0.1", b"10.4.7.9"),
    )  # fmt: skip
    made = Scrubber("k").scrub_message(message)
    text = repr(made)
    secrets = ("almaz", "Almaz", "Kebede", "abay", "10.4.7.9", "db8:1::5", "payments", "110123", "Digest")
    for secret in secrets:
        assert secret not in text, secret
    assert re.match(r"sip:\+2\d{9}@h[0-9a-f]{8}\.example:5070;user=phone$", made.uri)
    assert made.get("subject") == "test-report"
    assert len(made.body.splitlines()) == len(message.body.splitlines())
    assert isinstance(made, Message) and Scrubber("k").scrub_message(message) == made


@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_the_round_trip_through_the_program(transport: str, tmp_path: Path) -> None:
    """Offered, written by the front, read back: the same calls with the same final answers."""
    source, ours = tmp_path / "in.pcap", tmp_path / "ours.pcapng"
    shape = Traffic(30, 40.0, transport=transport, refused=0.0, withdrawn=0.0, hold_ms=(50.0, 200.0))
    source.write_bytes(capture_file(packets(traffic(shape)), PcapFile()))
    hubs = [Answerer(Behaviour(ring_ms=2.0, answer_ms=10.0)) for _ in range(2)]
    planned = plan(calls_in(source), ReplayOptions(linger_ms=0.0), SkippedCalls({}))
    extra = f'[sip.capture]\nwrite = "{ours}"\n'
    with front(tmp_path, (hubs[0].port, hubs[1].port), extra) as port:
        report = Replay(planned, ("127.0.0.1", port), ReplayOptions()).run()
    for hub in hubs:
        hub.end()
    results = last_tries(report)
    assert [r.final_answers for r in results] == [1] * 30 and {r.status for r in results} == {200}
    reading, calls = Reading(), Calls()
    found = [call for seen in read([str(ours)], reading) for call in calls.feed(seen)] + list(calls.end())
    callers = [call for call in found if call.target[1] == port]
    assert reading.complete and len(callers) == 30 and len(found) == 60  # each call has a leg towards a hub
    by_called = sorted((call.called, call.status, call.class_name) for call in callers)
    assert by_called == sorted((call.called, call.status, call.class_name) for call in calls_in(source))
    legs = [call for call in found if call not in callers]
    assert all(call.status == 200 and call.over_ns >= 0 for call in legs)


def test_the_demonstration_ends_well() -> None:
    code, out, _ = landingdeal("demo", "--calls", "10", "--json")
    told = json.loads(out)
    assert code == 0 and told["planned"] == len(told["calls"]) == 10 and told["unanswered"] == 0
