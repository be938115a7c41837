"""The end of life: who may go and when, in every order of events, and with each step of a request held."""

from __future__ import annotations

import signal
import socket
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from landingdeal.clock import now_ms, seconds_until
from landingdeal.core import steps
from landingdeal.core.events import CallerStreamBroken, RefusalReason
from landingdeal.core.lifecycle import (
    ConnectionState,
    IdleConnection,
    Lifecycle,
    Phase,
    ShutdownTimes,
    connections_to_close,
    may_close,
    times_before_kill,
)
from landingdeal.lab.trial.trial import Plan as Trial
from landingdeal.lab.trial.trial import play
from landingdeal.sip.message import encode, request
from tests.rig.front import Front, Gate
from tests.rig.restarts import END_S, Plan, Stage, play_round
from tests.scenario import BODY, ROOT, TIMEOUT_S

TIMES = ShutdownTimes()
VENV_BIN = str(Path(sys.executable).parent)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["stop", "open", "close", "in", "out", "door", "shut", "core", "flush", "gone"]),
        st.floats(0, 900),
    ),
    max_size=60,
)


class World:
    """What the lifecycle is told of, moved by any events in any order."""

    def __init__(self) -> None:
        self.life, self.now = Lifecycle(), 1000.0
        self.open = self.inbox = 0
        self.entered: list[Phase] = []
        self.life.phase_listeners.append(lambda: self.entered.append(self.life.phase))

    def step(self, what: str, later: float) -> None:
        self.now += later
        before = self.life.phase
        match what:
            case "stop":
                assert self.life.request_stop(self.now) is (before is Phase.RUNNING)
            case "open":
                self.open += 1
            case "close":
                self.open = max(self.open - 1, 0)
            case "in":
                self.inbox += 1
            case "out":
                self.inbox = max(self.inbox - 1, 0)
            case "door":
                self.life.open_listeners += 1
            case "shut":
                self.life.open_listeners = max(self.life.open_listeners - 1, 0)
            case "core":
                self._core()
            case "gone":
                if what == "gone" and self.life.core_running and before is not Phase.RUNNING:
                    self.life.core_stopped(self.now)
                    assert self.life.phase is Phase.FLUSHING
            case "flush":
                self.life.check_flush(self.open, self.now)
                if self.life.phase is Phase.ENDED and before is not Phase.ENDED:
                    assert before is Phase.FLUSHING and (
                        not self.open or self.now >= self.life.phase_deadline_ms
                    )
        assert self.life.phase >= before, "it went back"

    def _core(self) -> None:
        life, before = self.life, self.life.phase
        refuse = life.check_core(self.open, self.inbox, self.now)
        since = self.now - life.stop_ms
        if before is Phase.RUNNING:
            assert life.phase is Phase.RUNNING and not refuse
        elif before is Phase.DRAINING and since < TIMES.refuse_after_ms:
            assert life.phase is Phase.DRAINING, "callers may still come"
        if life.phase is Phase.FLUSHING and before < Phase.FLUSHING:
            if since < TIMES.answer_by_ms:
                assert not (self.open or self.inbox or life.open_listeners), "the core ended with work left"
                assert not refuse
            else:
                assert refuse is (self.open > 0), "what the kill would find"
        if before <= Phase.FINISHING and since >= TIMES.answer_by_ms and life.phase >= Phase.FINISHING:
            assert life.phase is Phase.FLUSHING, "it waits past its time"


@given(EVENTS)
def test_it_only_moves_forward_and_never_with_work_left(events: list[tuple[str, float]]) -> None:
    world = World()
    for what, later in events:
        world.step(what, later)
    life = world.life
    assert world.entered == sorted(set(world.entered)), "each phase is entered once, in order"
    assert life.accepts_connections == life.accepts_set_ups == (life.phase <= Phase.DRAINING)
    assert life.healthy == (life.phase is Phase.RUNNING)
    # whatever came, asked to stop it has ended before the kill
    stop = min(life.stop_ms, world.now)
    life.request_stop(stop)
    life.check_core(world.open, world.inbox, stop + TIMES.refuse_after_ms)
    life.check_core(world.open, world.inbox, stop + TIMES.answer_by_ms)
    assert not life.core_running
    life.check_flush(1, stop + TIMES.exit_by_ms)
    assert life.phase is Phase.ENDED and TIMES.exit_by_ms < 3700.0


def test_a_calm_end_waits_for_callers_and_for_nothing_else() -> None:
    life = Lifecycle()
    assert (
        life.phase_deadline_ms == float("inf")
        and life.request_stop(1000.0)
        and not life.healthy
        and life.accepts_set_ups
    )

    def looks(open_calls: int, inbox: int, now: float) -> Phase:
        life.check_core(open_calls, inbox, now)
        life.check_flush(open_calls, now)
        return life.phase

    assert looks(0, 0, 1699.0) is Phase.DRAINING and life.phase_deadline_ms == 1700.0
    life.open_listeners = 1
    assert looks(0, 0, 1701.0) is Phase.FINISHING, "whoever waits at the door was let in by the machine"
    life.open_listeners = 0
    assert looks(1, 0, 1702.0) is Phase.FINISHING
    assert looks(0, 1, 1703.0) is Phase.FINISHING
    life.check_core(0, 0, 1704.0)
    assert looks(2, 0, 1705.0) is Phase.FLUSHING and life.phase_deadline_ms == 2704.0
    assert looks(0, 0, 1706.0) is Phase.ENDED


@given(st.integers(0, 2), st.integers(0, 2), st.booleans())
def test_nothing_taken_stands_on_what_may_go(owed: int, unsent: int, unread: bool) -> None:
    assert may_close(ConnectionState(owed, unsent, unread)) is ((owed, unsent, unread) == (0, 0, False))


IDLERS = st.lists(st.tuples(st.floats(0, 20000), st.floats(0, 1000), st.booleans()), max_size=40)


@given(IDLERS, st.integers(-5, 45))
def test_room_is_made_by_the_idlest(rows: list[tuple[float, float, bool]], crowded: int) -> None:
    now = 30000.0
    idle = [
        IdleConnection(n, now - age, now - age - more, known) for n, (age, more, known) in enumerate(rows)
    ]
    chosen = connections_to_close(idle, crowded, now)
    assert len(set(chosen)) == len(chosen) and set(chosen) <= set(range(len(rows)))
    if crowded > 0:
        assert len(chosen) >= min(crowded, len(rows))
    else:
        assert all(rows[n][0] > 8000 for n in chosen) and len(chosen) <= max(len(rows) - 4, 0)
    mute = [n for n, (age, more, known) in enumerate(rows) if not known and age + more >= 200]
    place = {n: at for at, n in enumerate(chosen)}
    for n in set(mute) & set(place):
        assert all(place[n] < place[other] for other in place if other not in mute)


# --- with each step of a request held ---


@pytest.fixture(autouse=True)
def _no_hold() -> Iterator[None]:
    yield
    steps.hook = None


@pytest.fixture
def front() -> Iterator[Front]:
    made = Front()
    yield made
    made.end()


def in_background(work: object) -> threading.Thread:
    assert callable(work)
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread


@pytest.mark.parametrize("step", [steps.READ, steps.REGISTERED])
def test_a_connection_whose_set_up_is_being_read_does_not_go(step: str, front: Front) -> None:
    gate = Gate(step)
    front.set_up()
    gate.held()
    front.sweep()
    assert not front.gone()
    gate.go.set()
    front.offered().caller.refuse(100.0, RefusalReason.UNAVAILABLE)
    assert front.reads().startswith(b"SIP/2.0 503")


def test_a_connection_whose_set_up_the_system_still_has_does_not_go(front: Front) -> None:
    """The reader is held with the first set-up; the second has only reached the machine."""
    gate = Gate(steps.REGISTERED)
    front.set_up("a")
    gate.held()
    front.set_up("b")
    front.callers.closed_set_up(next(iter(front.callers.links.values()), {})["a"])  # as if it were answered
    until = now_ms() + 200
    while now_ms() < until:
        front.sweep()
        assert not front.gone()
    gate.go.set()


@pytest.mark.parametrize("step", [steps.ANSWERED, steps.QUEUED, steps.WRITING])
def test_a_connection_whose_answer_is_not_out_does_not_go(step: str, front: Front) -> None:
    front.set_up()
    offer = front.offered()
    gate = Gate(step)
    answering = in_background(lambda: offer.caller.answer(BODY))
    gate.held()
    front.sweep()
    assert not front.gone()
    gate.go.set()
    answering.join(TIMEOUT_S)
    assert front.reads().startswith(b"SIP/2.0 200")
    until = now_ms() + TIMEOUT_S * 1000
    while not front.gone() and now_ms() < until:
        front.sweep()
    assert front.gone() and front.reads() == b""


def test_a_set_up_that_comes_after_the_choice_keeps_its_connection(front: Front) -> None:
    front.set_up()
    front.offered().caller.answer(BODY)
    front.reads()
    gate = Gate(steps.CLOSING)
    sweeping = in_background(front.sweep)
    gate.held()
    front.set_up("b")
    later = front.offered()
    gate.go.set()
    sweeping.join(TIMEOUT_S)
    assert not front.gone()
    later.caller.answer(BODY)
    assert front.reads().startswith(b"SIP/2.0 200")


@pytest.mark.parametrize(
    "spoilt", [b"INVITE sip:b@net SIP/2.0\r\nContent-Length: x\r\n\r\n", b"INVITE sip:b@net SIP/2.0\r\nCall"]
)
def test_what_is_open_is_answered_before_a_spoilt_connection_goes(
    spoilt: bytes, front: Front, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("landingdeal.net.link.CallerLink.UNFINISHED_MS", 50.0)
    front.set_up()
    offer = front.offered()
    front.sock.sendall(spoilt)
    (event,) = list(front.inbox.take(now_ms() + TIMEOUT_S * 1000))
    assert isinstance(event, CallerStreamBroken) and event.caller is offer.caller
    offer.caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    assert front.reads().startswith(b"SIP/2.0 503")
    assert front.reads() == b""


def test_a_handler_that_goes_wrong_leaves_nobody_unanswered(
    front: Front, monkeypatch: pytest.MonkeyPatch
) -> None:
    front.set_up()
    offer = front.offered()

    def fails(link: object, message: object) -> None:
        raise RuntimeError("on purpose")

    for link in front.callers.links:
        monkeypatch.setattr(link, "on_message", fails)
    front.set_up("b")
    (event,) = list(front.inbox.take(now_ms() + TIMEOUT_S * 1000))
    assert isinstance(event, CallerStreamBroken) and event.call_id == "a"
    offer.caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    assert front.reads().startswith(b"SIP/2.0 503")


def test_a_set_up_that_crossed_the_end_of_the_core_is_refused_before_the_end(front: Front) -> None:
    gate = Gate(steps.REGISTERED)
    front.set_up()
    gate.held()
    front.life.request_stop(now_ms())
    front.life.core_stopped(now_ms())  # its reader goes on to an inbox that nobody empties any more
    assert front.callers.flush() == 1
    assert front.reads().startswith(b"SIP/2.0 503")
    gate.go.set()
    until = now_ms() + TIMEOUT_S * 1000
    while front.callers.flush() and now_ms() < until:
        threading.Event().wait(seconds_until(now_ms() + 5))
    assert front.reads() == b"" and not front.callers.flush()


def test_whoever_waits_at_the_door_is_let_in_before_it_shuts(front: Front) -> None:
    gate = Gate(steps.ACCEPTED)
    first = socket.create_connection(front.where)
    gate.held()
    late = socket.create_connection(front.where)
    late.settimeout(TIMEOUT_S)
    late.sendall(encode(request("OPTIONS", "sip:ping@net", ("call-id", "1"), ("cseq", "1 OPTIONS"))))
    front.life.request_stop(0.0)
    front.life.check_core(0, 0, TIMES.refuse_after_ms)
    assert front.life.phase is Phase.FINISHING and front.life.open_listeners == 1
    gate.go.set()
    assert late.recv(100).startswith(b"SIP/2.0 503")  # its test fails: the program is ending
    until = now_ms() + TIMEOUT_S * 1000
    while front.life.open_listeners and now_ms() < until:
        threading.Event().wait(seconds_until(now_ms() + 5))
    assert front.life.open_listeners == 0
    first.close()
    late.close()


def test_a_connection_that_can_not_be_taken_shuts_no_door(
    front: Front, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(link: object) -> None:
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patch:
        patch.setattr("landingdeal.net.link.Link.start", fails)
        refused = socket.create_connection(front.where)
        refused.settimeout(TIMEOUT_S)
        assert refused.recv(1) == b""
    front.sock.close()
    front.sock = socket.create_connection(front.where)
    front.sock.settimeout(TIMEOUT_S)
    front.set_up()
    front.offered().caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    assert front.reads().startswith(b"SIP/2.0 503")
    refused.close()


# --- the program itself ---


@pytest.mark.parametrize(
    "plan", [Plan(seed=1), Plan(seed=2, connections=85, surge=40), Plan(seed=3, answers_ms=(500.0, 2500.0))]
)
def test_a_restart_under_load_loses_nothing(plan: Plan) -> None:
    tally = play_round(replace(plan, load_s=(0.4, 0.4)))
    assert tally.sent > 20 and tally.code == 0 and not tally.notes
    assert (tally.lost, tally.twice, tally.unanswered) == (0, 0, 0)
    assert tally.answered + tally.refused + tally.crossed + tally.turned_away == tally.sent


@pytest.mark.parametrize("longest", [300.0, 600.0, 1200.0, 3000.0, 9000.0])
def test_the_program_ends_before_the_earliest_kill_of_its_deployment(longest: float) -> None:
    times = times_before_kill(longest)
    assert times.refuse_after_ms < times.answer_by_ms < times.exit_by_ms < min(longest, 3000.0) + 700.0
    assert times.refuse_after_ms <= 700.0, "what comes later than 0.7 s has to be answered by the kill"


@pytest.mark.parametrize("deadline_ms", [600.0, 1200.0])
def test_a_stop_with_short_deadlines_and_hung_hubs_leaves_nothing_unanswered(deadline_ms: float) -> None:
    quiet = Trial(7, rough_hubs=False, bad_callers=False, hub_faults=False, bus_faults=False, reloads=False)
    plan = replace(quiet, deadlines_ms=(deadline_ms, deadline_ms), lasts_s=1.0, hang_at_stop=True)
    result = play(plan)
    assert not result.broken, "\n".join(result.broken)
    assert len(result.exits_ms) == plan.starts, "killed"


def until_hangups_are_ignored(process: int) -> None:
    until = now_ms() + TIMEOUT_S * 1000
    while now_ms() < until:
        status = Path(f"/proc/{process}/status").read_text()
        masks = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
        if (int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & 1 << signal.SIGHUP - 1:
            return


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_at_any_moment_of_the_start_ends_nothing_by_itself(number: signal.Signals) -> None:
    """Started as the platform does; from the shell's first command on, the signal comes later in each try."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    for late in range(0, 400, 40):
        with tempfile.TemporaryDirectory() as folder:
            command = ["/bin/sh", "-c", run.replace(".venv/bin", VENV_BIN)]
            stage = Stage(Plan(seed=late), Path(folder), command)
            until_hangups_are_ignored(stage.process.pid)
            time.sleep(late / 1000)
            stage.process.send_signal(number)
            try:
                if number is signal.SIGTERM:
                    assert stage.process.wait(END_S) in (0, -signal.SIGTERM)
                else:
                    tally = stage.round()
                    assert tally.code == 0 and not tally.lost, tally.notes
            finally:
                stage.end()


class Uncounted:
    """A socket on a system that keeps no count of received bytes."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)

    def getsockopt(self, level: int, option: int, size: int = 0) -> object:
        told = self.sock.getsockopt(level, option, size) if size else self.sock.getsockopt(level, option)
        if option != socket.TCP_INFO:
            return told
        assert isinstance(told, bytes)
        return told[:1] + bytes(size - 1)


def test_an_idle_connection_may_go_where_the_system_counts_no_received_bytes(front: Front) -> None:
    front.set_up()
    front.offered().caller.answer(BODY)
    assert front.reads().startswith(b"SIP/2.0 200")
    for link in front.callers.links:
        link.sock = Uncounted(link.sock)  # type: ignore[assignment]
        assert not link.unread()
    until = now_ms() + TIMEOUT_S * 1000
    while not front.gone() and now_ms() < until:
        front.sweep()
    assert front.gone()
