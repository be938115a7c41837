"""Captures offered as load: plan, limits, retries, progress, and the calls as a stand-in sees them."""

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
from landingdeal.capture.calls import CallRecord, Calls, Outcome
from landingdeal.capture.encode import PcapFile
from landingdeal.capture.language import BadFilter, parse
from landingdeal.capture.limits import Admission, Backoff, Limits
from landingdeal.capture.plan import Left, Offered, Shape, fingerprint, identity, plan
from landingdeal.capture.reader import Reading, read
from landingdeal.capture.replay import Replay
from landingdeal.capture.results import last_tries, summary
from landingdeal.capture.retries import Model, Policy, Retries
from landingdeal.capture.sample import Shape as Traffic
from landingdeal.capture.sample import capture_file, packets, traffic
from landingdeal.errors import ConfigError
from landingdeal.lab.answerer import Answerer, Behaviour
from landingdeal.lab.ports import free_port
from tests.scenario import ROOT, TIMEOUT_S

QUICK = Traffic(calls=25, per_s=60.0, answer_ms=(5.0, 20.0), hold_ms=(50.0, 120.0), withdrawn=0.0)


def calls_of(path: Path, shape: Traffic = QUICK, seed: int = 1) -> list[CallRecord]:
    path.write_bytes(capture_file(packets(traffic(shape, seed)), PcapFile()))
    calls = Calls()
    found = [call for seen in read([str(path)], Reading()) for call in calls.feed(seen)]
    return [*found, *calls.end()]


@pytest.fixture
def calls(tmp_path: Path) -> list[CallRecord]:
    return calls_of(tmp_path / "c.pcap")


@pytest.fixture
def answerer(calls: list[CallRecord]) -> Iterator[Answerer]:
    refused = {call.called for call in calls if call.outcome is Outcome.REFUSED}
    made = Answerer(Behaviour(refuse=lambda user: 503 if user in refused else 0, ring_ms=1.0))
    yield made
    made.end()


# --- the filter language ---


@pytest.mark.parametrize(
    ("text", "count"),
    [
        ("", 25), ("status == 503", 4), ("not status == 503", 21), ("cut_off", 0),
        ('class == "test-report" or class == device-status', 25), ("called !~ ^1", None),
        ('method == INVITE and answer_ms > 0 and called ~ "^[12]"', 25), ("hold_ms > 1e", None),
        ("(status >= 500 and status < 600) or again", 4), ("cut_off == false and answered", 25),
        ("outcome == stood and (status == 200)", 21),
    ],
)  # fmt: skip
def test_filters(text: str, count: int | None, calls: list[CallRecord]) -> None:
    if count is None:
        with pytest.raises(BadFilter, match="column"):
            parse(text)
    else:
        assert sum(map(parse(text), calls)) == count


@pytest.mark.parametrize(
    ("text", "column", "why"),
    [
        ("clas == x", 1, "no field clas"), ("status == 5 and answer_ms ~ 3", 27, "is a number"),
        ('called ~ "("', 10, "no regular expression"), ("status ==", 10, "too early"),
        ("status 5", 8, "5"), ("caller", 1, "wants a comparison"), ("status == 5 $", 13, "$"),
        ("cut_off == 3", 12, "true or false"), ("status == x", 11, "is a number"),
        ("caller == 3", 11, "is a text"), ("(status == 5", 13, "too early"),
    ],
)  # fmt: skip
def test_errors_of_a_filter_point_at_the_column(text: str, column: int, why: str) -> None:
    with pytest.raises(BadFilter, match=f"^filter, column {column}: ") as error:
        parse(text)
    assert why in str(error.value)


# --- the plan ---


def test_a_plan_keeps_arrivals_and_scales_with_identities_of_its_own(calls: list[CallRecord]) -> None:
    left = Left({})
    made = plan(calls, Shape(speed=2.0, scale=3), left)
    assert len(made) == 75 and [one.index for one in made] == list(range(75)) and not left.reasons
    assert [one.at_ms for one in made] == sorted(one.at_ms for one in made)
    first = min(call.invite_ns for call in calls)
    for one in made:
        call = next(call for call in calls if call.number == one.number)
        recorded = (call.invite_ns - first) / 1e6 / 2
        assert one.at_ms == pytest.approx(recorded) if not one.copy else one.at_ms >= recorded
    assert len({identity(one, 1, 1) for one in made}) == 75
    assert plan(calls, Shape(speed=2.0, scale=3), left) == made, "the same seed, another plan"
    assert fingerprint(made) != fingerprint(plan(calls, Shape(speed=2.0, scale=3, seed=2), left))


def test_what_can_not_be_offered_is_counted(calls: list[CallRecord]) -> None:
    left = Left({})
    changed = [replace(calls[0], begun_before=True), replace(calls[1], first_try=1), *calls[2:]]
    assert len(plan(changed, Shape(retries=Policy.NONE), left)) == 23
    assert left.reasons == {"begun before the capture": 1, "a try again": 1}
    assert len(plan(changed, Shape(), Left({}))) == 24


# --- limits and retries ---


@given(st.lists(st.tuples(st.floats(0, 50), st.booleans()), max_size=300))
def test_admission_never_passes_its_bounds(steps: list[tuple[float, bool]]) -> None:
    limits = Limits(outstanding=5, standing=3, per_s=100.0, burst=4.0)
    admission, now, sent, open_ = Admission(limits), 0.0, list[float](), 0
    for later, answers in steps:
        now += later
        if answers and open_:
            open_ -= 1
            admission.answered(stands := admission.standing < 3)
            if not stands and admission.standing:
                admission.ended()
        elif not admission.objection(now):
            sent.append(now)
            open_ += 1
        assert admission.waiting == open_ <= 5 and admission.standing <= 3
    for n, at in enumerate(sent):
        within = [other for other in sent[n:] if other - at <= 100.0]
        assert len(within) <= 4 + 10 + 1


@given(st.integers(0, 500), st.floats(0, 2), st.integers(1, 5), st.integers(0, 1000))
def test_retries_stay_within_their_budget(first: int, budget: float, most: int, seed: int) -> None:
    model = Model(most=most, budget=budget)
    retries = Retries(Policy.MODEL, model, random.Random(seed))
    for _ in range(first):
        retries.offered()
    granted = 0
    for call in range(first):
        tries = 1
        while (pause := retries.again(503, tries, 0.0 if call % 2 else 100.0)) is not None:
            granted, tries = granted + 1, tries + 1
            assert model.least_ms <= pause <= model.longest_ms * (1 + model.jitter)
        assert tries <= most + 1
    assert granted == retries.granted <= budget * first
    assert retries.again(403, 1, 0.0) is None
    for policy in (Policy.NONE, Policy.RECORDED):
        assert Retries(policy, model, random.Random(1)).again(503, 1, 0.0) is None


def test_an_address_that_can_not_be_reached_is_left_alone_ever_longer() -> None:
    backoff, now, pauses = Backoff(Limits()), 0.0, []
    for _ in range(10):
        backoff.failed(now)
        pauses.append(backoff.until_ms - now)
        assert backoff.shut(now) and not backoff.shut(backoff.until_ms)
        now = backoff.until_ms
    assert pauses[:3] == [100.0, 200.0, 400.0] and pauses[-1] == 5000.0
    backoff.reached()
    assert not backoff.shut(now)


# --- against a stand-in ---


def offer(made: list[Offered], port: int, shape: Shape = Shape(), **more: object) -> Replay:  # noqa: B008
    engine = Replay(made, ("127.0.0.1", port), shape, t1_ms=100.0, **more)  # type: ignore[arg-type]
    engine.run()
    return engine


@pytest.mark.parametrize("transport", ["UDP", "TCP"])
def test_the_same_calls_come_out(transport: str, calls: list[CallRecord], answerer: Answerer) -> None:
    made = plan(calls, Shape(transport=transport), Left({}))
    told = summary(offer(made, answerer.port).report)
    assert told["calls"] == told["same"] == 25 and not told["errors"] and not told["twice_answered"]
    seen = answerer.seen
    assert set(seen.invites.values()) == {1} and len(seen.invites) == len(seen.acks) == 25
    assert len(seen.byes) == told["outcomes"]["stood"] and set(seen.byes.values()) == {1}
    by_class = {name: sum(call.class_name == name for call in calls) for name in QUICK.classes}
    assert {name: list(seen.classes.values()).count(name) for name in QUICK.classes} == by_class


def test_the_other_side_ends_its_calls_and_withdrawn_ones_are_cancelled(tmp_path: Path) -> None:
    shape = replace(QUICK, calls=10, withdrawn=0.3, refused=0.0, called_ends=1.0)
    calls = calls_of(tmp_path / "c", shape)
    answerer = Answerer(Behaviour(ring_ms=1.0, answer_ms=100.0, ends_after_ms=30.0))
    engine = offer(plan(calls, Shape(linger_ms=5000.0), Left({})), answerer.port)
    answerer.end()
    results = last_tries(engine.report)
    assert [r.outcome for r in results] == [r.offered.recorded_outcome for r in results]
    stood = [r for r in results if r.outcome is Outcome.STOOD]
    assert stood and {r.ended_by for r in stood} == {"them"} and not answerer.seen.byes
    assert len(answerer.seen.cancels) == len(results) - len(stood) > 0


def test_refused_calls_are_tried_again_within_the_budget(calls: list[CallRecord]) -> None:
    answerer = Answerer(Behaviour(refuse=lambda user: 486))
    shape = Shape(retries=Policy.MODEL)
    model = Model(most=2, pause_ms=50.0, least_ms=20.0, budget=0.4)
    engine = offer(plan(calls, shape, Left({})), answerer.port, shape, model=model)
    answerer.end()
    told = summary(engine.report)
    assert told["retries"] == 10 and told["retries_denied"] > 0 and len(answerer.seen.invites) == 35
    assert told["calls"] == 25 and told["outcomes"] == {"refused": 25}


def test_what_passes_the_limits_is_shed_and_reported(calls: list[CallRecord]) -> None:
    answerer = Answerer(Behaviour(answer_ms=400.0))
    made = [replace(one, at_ms=one.at_ms / 20) for one in plan(calls, Shape(), Left({}))]
    engine = offer(made, answerer.port, limits=Limits(outstanding=10))
    answerer.end()
    told = summary(engine.report)
    assert told["shed"] == {"too many calls without an answer": 15} and told["calls"] == 25
    assert len(answerer.seen.invites) == 10


def test_a_peer_that_falls_silent_shifts_no_arrival(calls: list[CallRecord]) -> None:
    answerer = Answerer(Behaviour(silent_after=5))
    made = [replace(one, patience_ms=200.0) for one in plan(calls, Shape(), Left({}))]
    engine = Replay(made, ("127.0.0.1", answerer.port), Shape(), t1_ms=10.0)
    began = time.monotonic()
    told = summary(engine.run())
    arrivals = answerer.seen.at.values()
    answerer.end()
    assert told["calls"] == 25 and told["outcomes"]["unanswered"] >= 18 and time.monotonic() - began < 5
    assert max(arrivals) - min(arrivals) < made[-1].at_ms / 1000 + 0.5


def test_a_port_that_is_shut_gives_each_call_its_outcome(calls: list[CallRecord]) -> None:
    for transport in ("TCP", "UDP"):
        made = [replace(one, patience_ms=100.0) for one in plan(calls, Shape(transport=transport), Left({}))]
        engine = Replay(made, ("127.0.0.1", free_port()), Shape(), t1_ms=5.0)
        told = summary(engine.run())
        assert told["calls"] == 25 and told["outcomes"] == {"unanswered": 25}
        assert sum(told["errors"].values()) == 25


def test_a_connection_that_is_reset_mid_replay(calls: list[CallRecord]) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    made = plan(calls, Shape(transport="TCP"), Left({}))
    engine = Replay(made, listener.getsockname(), Shape(), t1_ms=10.0)

    def cut() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.recv(100)
            sock.close()

    threading.Thread(target=cut, daemon=True).start()
    told = summary(engine.run())
    listener.close()
    assert told["calls"] == 25 and sum(told["errors"].values()) == 25


# --- progress ---


def test_a_state_of_another_plan_or_a_torn_one_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "state"
    assert progress.load(path, "a") is None
    progress.save(path, progress.State(progress.VERSION, "a", 5.0, 3, {0: "stood 200", 2: "x"}))
    state = progress.load(path, "a")
    assert state is not None and progress.in_flight(state) == [1]
    with pytest.raises(ConfigError, match="another replay"):
        progress.load(path, "b")
    whole = path.read_bytes()
    for cut in (b"", whole[:-3], b"{}", b"\xff", whole.replace(b'"version":1', b'"version":9')):
        path.write_bytes(cut)
        with pytest.raises(ConfigError, match=str(path)):
            progress.load(path, "a")


def test_a_full_disk_leaves_the_old_state(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "state"
    old = progress.State(progress.VERSION, "a", 0.0, 1, {})
    progress.save(path, old)

    def full(_fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError, match="No space"):
        progress.save(path, progress.State(progress.VERSION, "a", 9.0, 9, {}))
    assert progress.load(path, "a") == old and list(tmp_path.iterdir()) == [path]


def test_a_killed_replay_goes_on_without_offering_a_call_twice(tmp_path: Path) -> None:
    capture, state = tmp_path / "c.pcap", tmp_path / "state"
    calls_of(capture, replace(QUICK, calls=120))
    answerer = Answerer(Behaviour(ring_ms=1.0))
    command = [sys.executable, "-m", "landingdeal", "capture", "replay", str(capture), "--to",
               f"127.0.0.1:{answerer.port}", "--state", str(state), "--json", "--t1-ms", "100"]  # fmt: skip
    first = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    until = time.monotonic() + TIMEOUT_S
    while len(answerer.seen.invites) < 30 and time.monotonic() < until:
        time.sleep(0.01)
    first.send_signal(signal.SIGKILL)
    first.wait()
    before = len(answerer.seen.invites)
    second = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    answerer.end()
    told = json.loads(second.stdout)
    assert 30 <= before < 120 and set(answerer.seen.invites.values()) == {1}
    assert told["skipped"] + told["calls"] == 120 and told["skipped"] >= before
    assert len(answerer.seen.invites) == before + told["calls"]
    assert 0 < told["left_in_flight"] <= told["skipped"]
