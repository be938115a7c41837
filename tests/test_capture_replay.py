"""Tests of the replay of captures: filters, plan, limits, retries, state file, and the calls that arrive."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from landingdeal.capture import progress
from landingdeal.capture.calls import CallRecord, CallTracker, Outcome
from landingdeal.capture.encode import PcapEncoder
from landingdeal.capture.language import FilterError, parse_filter
from landingdeal.capture.limits import AdmissionControl, ConnectBackoff, ReplayLimits
from landingdeal.capture.plan import PlannedCall, ReplayOptions, SkippedCalls, fingerprint, identity, plan
from landingdeal.capture.reader import ReadReport, read_messages
from landingdeal.capture.replay import Replay
from landingdeal.capture.results import last_tries, summary
from landingdeal.capture.retries import ReplayRetryPolicy, RetryModel, RetryScheduler
from landingdeal.capture.sample import TrafficProfile as Traffic
from landingdeal.capture.sample import encode_capture, generate_traffic, to_packets
from landingdeal.errors import ConfigError
from landingdeal.lab.answerer import StubBehaviour, StubUserAgent
from landingdeal.lab.ports import free_port
from landingdeal.net.link import connect
from tests.scenario import ROOT, TIMEOUT_S

SHORT_CALLS = Traffic(
    call_count=25, calls_per_s=60.0, answer_ms=(5.0, 20.0), hold_ms=(50.0, 120.0), cancelled_share=0.0
)


def read_generated_calls(path: Path, traffic_shape: Traffic = SHORT_CALLS, seed: int = 1) -> list[CallRecord]:
    path.write_bytes(encode_capture(to_packets(generate_traffic(traffic_shape, seed)), PcapEncoder()))
    call_table = CallTracker()
    records = [call for seen in read_messages([str(path)], ReadReport()) for call in call_table.feed(seen)]
    return [*records, *call_table.end()]


@pytest.fixture
def calls(tmp_path: Path) -> list[CallRecord]:
    return read_generated_calls(tmp_path / "c.pcap")


@pytest.fixture
def answerer(calls: list[CallRecord]) -> Iterator[StubUserAgent]:
    refused = {call.called for call in calls if call.outcome is Outcome.REFUSED}
    lab_hub = StubUserAgent(
        StubBehaviour(refusal_status=lambda user: 503 if user in refused else 0, ring_ms=1.0)
    )
    yield lab_hub
    lab_hub.end()


# --- the filter language ---


@pytest.mark.parametrize(
    ("text", "expected_count"),
    [
        ("", 25), ("status == 503", 4), ("not status == 503", 21), ("cut_off", 0),
        ('class == "test-report" or class == device-status', 25), ("called !~ ^1", None),
        ('method == INVITE and answer_ms > 0 and called ~ "^[12]"', 25), ("hold_ms > 1e", None),
        ("(status >= 500 and status < 600) or again", 4), ("cut_off == false and answered", 25),
        ("outcome == stood and (status == 200)", 21),
    ],
)  # fmt: skip
def test_filter_selects_the_matching_calls(
    text: str, expected_count: int | None, calls: list[CallRecord]
) -> None:
    if expected_count is None:
        with pytest.raises(FilterError, match="column"):
            parse_filter(text)
    else:
        assert sum(map(parse_filter(text), calls)) == expected_count


@pytest.mark.parametrize(
    ("text", "column", "reason"),
    [
        ("clas == x", 1, "unknown field clas"), ("status == 5 and answer_ms ~ 3", 27, "is a number"),
        ('called ~ "("', 10, "invalid regular expression"), ("status ==", 10, "too early"),
        ("status 5", 8, "5"), ("caller", 1, "needs a comparison"), ("status == 5 $", 13, "$"),
        ("cut_off == 3", 12, "true or false"), ("status == x", 11, "is a number"),
        ("caller == 3", 11, "is compared with a text"), ("(status == 5", 13, "too early"),
    ],
)  # fmt: skip
def test_filter_error_names_the_column(text: str, column: int, reason: str) -> None:
    with pytest.raises(FilterError, match=f"^filter, column {column}: ") as error:
        parse_filter(text)
    assert reason in str(error.value)


# --- the plan ---


def test_plan_keeps_arrival_times_and_gives_copies_their_own_identities(calls: list[CallRecord]) -> None:
    skipped = SkippedCalls({})
    planned = plan(calls, ReplayOptions(speed=2.0, scale=3), skipped)
    assert (
        len(planned) == 75 and [entry.index for entry in planned] == list(range(75)) and not skipped.reasons
    )
    assert [entry.at_ms for entry in planned] == sorted(entry.at_ms for entry in planned)
    first = min(call.invite_ns for call in calls)
    for entry in planned:
        call = next(call for call in calls if call.number == entry.number)
        recorded = (call.invite_ns - first) / 1e6 / 2
        assert entry.at_ms == pytest.approx(recorded) if not entry.copy_number else entry.at_ms >= recorded
    assert len({identity(entry, 1, 1) for entry in planned}) == 75
    assert (
        plan(calls, ReplayOptions(speed=2.0, scale=3), skipped) == planned
    ), "the same seed gave another plan"
    assert fingerprint(planned) != fingerprint(
        plan(calls, ReplayOptions(speed=2.0, scale=3, seed=2), skipped)
    )


def test_calls_left_out_of_the_plan_are_counted(calls: list[CallRecord]) -> None:
    skipped = SkippedCalls({})
    changed = [replace(calls[0], started_before_capture=True), replace(calls[1], first_try=1), *calls[2:]]
    assert len(plan(changed, ReplayOptions(retries=ReplayRetryPolicy.NONE), skipped)) == 23
    assert skipped.reasons == {"begun before the capture": 1, "a try again": 1}
    assert len(plan(changed, ReplayOptions(), SkippedCalls({}))) == 24


# --- limits and retries ---


@given(st.lists(st.tuples(st.floats(0, 50), st.booleans()), max_size=300))
def test_admission_stays_within_its_limits(steps: list[tuple[float, bool]]) -> None:
    limits = ReplayLimits(max_pending=5, max_established=3, max_per_s=100.0, burst=4.0)
    admission, now_ms, sent_at_ms, expected_pending = AdmissionControl(limits), 0.0, list[float](), 0
    for delay_ms, gets_answer in steps:
        now_ms += delay_ms
        if gets_answer and expected_pending:
            expected_pending -= 1
            admission.answered(established := admission.established < 3)
            if not established and admission.established:
                admission.call_ended()
        elif not admission.shed_reason(now_ms):
            sent_at_ms.append(now_ms)
            expected_pending += 1
        assert admission.pending == expected_pending <= 5 and admission.established <= 3
    for index, first_at in enumerate(sent_at_ms):
        within = [other_at for other_at in sent_at_ms[index:] if other_at - first_at <= 100.0]
        assert len(within) <= 4 + 10 + 1


@given(st.integers(0, 500), st.floats(0, 2), st.integers(1, 5), st.integers(0, 1000))
def test_retries_stay_within_their_budget(
    first_tries: int, budget: float, max_retries: int, seed: int
) -> None:
    model = RetryModel(max_retries=max_retries, budget=budget)
    retries = RetryScheduler(ReplayRetryPolicy.MODEL, model, random.Random(seed))
    for _ in range(first_tries):
        retries.count_first_try()
    granted = 0
    for call in range(first_tries):
        try_number = 1
        while (delay_ms := retries.retry_delay_ms(503, try_number, 0.0 if call % 2 else 100.0)) is not None:
            granted, try_number = granted + 1, try_number + 1
            assert model.min_delay_ms <= delay_ms <= model.max_delay_ms * (1 + model.jitter)
        assert try_number <= max_retries + 1
    assert granted == retries.granted <= budget * first_tries
    assert retries.retry_delay_ms(403, 1, 0.0) is None
    for policy in (ReplayRetryPolicy.NONE, ReplayRetryPolicy.RECORDED):
        assert RetryScheduler(policy, model, random.Random(1)).retry_delay_ms(503, 1, 0.0) is None


def test_connect_backoff_doubles_up_to_its_maximum() -> None:
    backoff, now_ms, delays_ms = ConnectBackoff(ReplayLimits()), 0.0, []
    for _ in range(10):
        backoff.failed(now_ms)
        delays_ms.append(backoff.blocked_until_ms - now_ms)
        assert backoff.blocked(now_ms) and not backoff.blocked(backoff.blocked_until_ms)
        now_ms = backoff.blocked_until_ms
    assert delays_ms[:3] == [100.0, 200.0, 400.0] and delays_ms[-1] == 5000.0
    backoff.connected()
    assert not backoff.blocked(now_ms)


# --- replays to a simulated hub ---


def offer(
    planned: list[PlannedCall],
    port: int,
    options: ReplayOptions = ReplayOptions(),  # noqa: B008 (frozen)
    **settings: object,
) -> Replay:
    replay = Replay(planned, ("127.0.0.1", port), options, t1_ms=100.0, **settings)  # type: ignore[arg-type]
    replay.run()
    return replay


@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_replay_reproduces_the_recorded_calls(
    transport: str, calls: list[CallRecord], answerer: StubUserAgent
) -> None:
    planned = plan(calls, ReplayOptions(transport=transport), SkippedCalls({}))
    totals = summary(offer(planned, answerer.port).report)
    assert totals["calls"] == totals["same"] == 25 and not totals["errors"] and not totals["twice_answered"]
    seen = answerer.received
    assert set(seen.invites.values()) == {1} and len(seen.invites) == len(seen.acks) == 25
    assert len(seen.byes) == totals["outcomes"]["stood"] and set(seen.byes.values()) == {1}
    by_class = {name: sum(call.class_name == name for call in calls) for name in SHORT_CALLS.class_names}
    assert {name: list(seen.classes.values()).count(name) for name in SHORT_CALLS.class_names} == by_class


def test_called_side_ends_calls_and_abandoned_calls_are_cancelled(tmp_path: Path) -> None:
    traffic_shape = replace(
        SHORT_CALLS, call_count=10, cancelled_share=0.3, refused_share=0.0, called_release_share=1.0
    )
    calls = read_generated_calls(tmp_path / "c", traffic_shape)
    answerer = StubUserAgent(StubBehaviour(ring_ms=1.0, answer_ms=100.0, hang_up_after_ms=30.0))
    replay = offer(plan(calls, ReplayOptions(linger_ms=5000.0), SkippedCalls({})), answerer.port)
    answerer.end()
    results = last_tries(replay.report)
    assert [r.outcome for r in results] == [r.planned.recorded_outcome for r in results]
    established = [r for r in results if r.outcome is Outcome.ESTABLISHED]
    assert established and {r.ended_by for r in established} == {"them"} and not answerer.received.byes
    assert len(answerer.received.cancels) == len(results) - len(established) > 0


def test_refused_calls_are_retried_within_the_budget(calls: list[CallRecord]) -> None:
    answerer = StubUserAgent(StubBehaviour(refusal_status=lambda user: 486))
    options = ReplayOptions(retries=ReplayRetryPolicy.MODEL)
    model = RetryModel(max_retries=2, initial_delay_ms=50.0, min_delay_ms=20.0, budget=0.4)
    replay = offer(plan(calls, options, SkippedCalls({})), answerer.port, options, model=model)
    answerer.end()
    totals = summary(replay.report)
    assert totals["retries"] == 10 and totals["retries_denied"] > 0 and len(answerer.received.invites) == 35
    assert totals["calls"] == 25 and totals["outcomes"] == {"refused": 25}


def test_calls_over_the_limits_are_shed_and_reported(calls: list[CallRecord]) -> None:
    answerer = StubUserAgent(StubBehaviour(answer_ms=400.0))
    planned = [
        replace(call, at_ms=call.at_ms / 20) for call in plan(calls, ReplayOptions(), SkippedCalls({}))
    ]
    replay = offer(planned, answerer.port, limits=ReplayLimits(max_pending=10))
    answerer.end()
    totals = summary(replay.report)
    assert totals["shed"] == {"too many calls without an answer": 15} and totals["calls"] == 25
    assert len(answerer.received.invites) == 10


def test_unresponsive_peer_does_not_delay_later_calls(calls: list[CallRecord]) -> None:
    answerer = StubUserAgent(StubBehaviour(silent_after_invites=5))
    planned = [replace(call, patience_ms=200.0) for call in plan(calls, ReplayOptions(), SkippedCalls({}))]
    replay = Replay(planned, ("127.0.0.1", answerer.port), ReplayOptions(), t1_ms=10.0)
    started_at = time.monotonic()
    totals = summary(replay.run())
    arrivals = answerer.received.first_invite_at.values()
    answerer.end()
    assert (
        totals["calls"] == 25 and totals["outcomes"]["unanswered"] >= 18 and time.monotonic() - started_at < 5
    )
    assert max(arrivals) - min(arrivals) < planned[-1].at_ms / 1000 + 0.5


def test_every_call_to_a_closed_port_gets_an_outcome(calls: list[CallRecord]) -> None:
    for transport in ("TCP", "UDP"):
        planned = [
            replace(call, patience_ms=100.0)
            for call in plan(calls, ReplayOptions(transport=transport), SkippedCalls({}))
        ]
        replay = Replay(planned, ("127.0.0.1", free_port()), ReplayOptions(), t1_ms=5.0)
        totals = summary(replay.run())
        assert totals["calls"] == 25 and totals["outcomes"] == {"unanswered": 25}
        assert sum(totals["errors"].values()) == 25


def test_every_call_gets_an_outcome_when_connections_are_reset(calls: list[CallRecord]) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    planned = plan(calls, ReplayOptions(transport="TCP"), SkippedCalls({}))
    replay = Replay(planned, listener.getsockname(), ReplayOptions(), t1_ms=10.0)

    def close_connections() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.recv(100)
            sock.close()

    threading.Thread(target=close_connections, daemon=True).start()
    totals = summary(replay.run())
    listener.close()
    assert totals["calls"] == 25 and sum(totals["errors"].values()) == 25


# --- the state file ---


def test_damaged_state_file_or_one_of_another_plan_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "state"
    assert progress.load(path, "a") is None
    progress.save(path, progress.ReplayState(progress.VERSION, "a", 5.0, 3, {0: "stood 200", 2: "x"}))
    state = progress.load(path, "a")
    assert state is not None and progress.in_flight(state) == [1]
    with pytest.raises(ConfigError, match="another replay"):
        progress.load(path, "b")
    whole = path.read_bytes()
    for damaged in (b"", whole[:-3], b"{}", b"\xff", whole.replace(b'"version":1', b'"version":9')):
        path.write_bytes(damaged)
        with pytest.raises(ConfigError, match=str(path)):
            progress.load(path, "a")


def test_full_disk_leaves_the_old_state_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "state"
    old = progress.ReplayState(progress.VERSION, "a", 0.0, 1, {})
    progress.save(path, old)

    def fail_fsync(_fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail_fsync)
    with pytest.raises(OSError, match="No space"):
        progress.save(path, progress.ReplayState(progress.VERSION, "a", 9.0, 9, {}))
    assert progress.load(path, "a") == old and list(tmp_path.iterdir()) == [path]


def test_killed_replay_resumes_without_offering_a_call_twice(tmp_path: Path) -> None:
    capture, state = tmp_path / "c.pcap", tmp_path / "state"
    read_generated_calls(capture, replace(SHORT_CALLS, call_count=120))
    answerer = StubUserAgent(StubBehaviour(ring_ms=1.0))
    command = [sys.executable, "-m", "landingdeal", "capture", "replay", str(capture), "--to",
               f"127.0.0.1:{answerer.port}", "--state", str(state), "--json", "--t1-ms", "100"]  # fmt: skip
    first = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    deadline = time.monotonic() + TIMEOUT_S
    while len(answerer.received.invites) < 30 and time.monotonic() < deadline:
        time.sleep(0.01)
    first.send_signal(signal.SIGKILL)
    first.wait()
    before = len(answerer.received.invites)
    second = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    answerer.end()
    totals = json.loads(second.stdout)
    assert 30 <= before < 120 and set(answerer.received.invites.values()) == {1}
    assert totals["skipped"] + totals["calls"] == 120 and totals["skipped"] >= before
    assert len(answerer.received.invites) == before + totals["calls"]
    assert 0 < totals["left_in_flight"] <= totals["skipped"]


def test_a_call_cancelled_while_its_connection_is_made_is_not_sent(
    calls: list[CallRecord], monkeypatch: pytest.MonkeyPatch
) -> None:
    proceed = threading.Event()

    def held_connect(sock: socket.socket, address: tuple[str, int], deadline_ms: float) -> None:
        assert proceed.wait(TIMEOUT_S)
        connect(sock, address, deadline_ms)

    monkeypatch.setattr("landingdeal.capture.replay.connect", held_connect)
    planned = plan(calls, ReplayOptions(), SkippedCalls({}))[:2]
    cancelled = replace(planned[0], transport="TCP", cancel_after_ms=50.0)
    wanted = replace(planned[1], transport="TCP", invite=planned[0].invite, at_ms=planned[0].at_ms)
    hub = StubUserAgent(StubBehaviour(ring_ms=1.0))
    threading.Timer(0.4, proceed.set).start()
    report = Replay([cancelled, wanted], ("127.0.0.1", hub.port), ReplayOptions()).run()
    hub.end()
    outcomes = [(result.outcome, result.status) for result in report.results]
    assert outcomes == [(Outcome.CANCELLED, 0), (Outcome.ESTABLISHED, 200)] and len(hub.received.invites) == 1
