"""Shutdown: phases and connection closing in any order of events, with a request held at each of its steps.

Guards against set-ups that a restart loses: the process or a connection ends before their answer is written.
"""

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
from landingdeal.lab.trial.trial import Plan as TrialPlan
from landingdeal.lab.trial.trial import play
from landingdeal.sip.message import encode, request
from tests.rig.front import Front, Gate
from tests.rig.restarts import END_S, Plan, Stage, play_round
from tests.scenario import BODY, ROOT, TIMEOUT_S

TIMES = ShutdownTimes()
VENV_BIN = str(Path(sys.executable).parent)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "stop",
                "open",
                "close",
                "inbox_put",
                "inbox_taken",
                "listen",
                "listener_closed",
                "core_check",
                "flush_check",
                "core_stopped",
            ]
        ),
        st.floats(0, 900),
    ),
    max_size=60,
)


class LifecycleModel:
    """Drives a lifecycle with any events in any order and checks each transition."""

    def __init__(self) -> None:
        self.life, self.now = Lifecycle(), 1000.0
        self.open = self.inbox = 0
        self.entered_phases: list[Phase] = []
        self.life.phase_listeners.append(lambda: self.entered_phases.append(self.life.phase))

    def step(self, event: str, delay_ms: float) -> None:
        self.now += delay_ms
        before = self.life.phase
        match event:
            case "stop":
                assert self.life.request_stop(self.now) is (before is Phase.RUNNING)
            case "open":
                self.open += 1
            case "close":
                self.open = max(self.open - 1, 0)
            case "inbox_put":
                self.inbox += 1
            case "inbox_taken":
                self.inbox = max(self.inbox - 1, 0)
            case "listen":
                self.life.open_listeners += 1
            case "listener_closed":
                self.life.open_listeners = max(self.life.open_listeners - 1, 0)
            case "core_check":
                self._check_core()
            case "core_stopped":
                if event == "core_stopped" and self.life.core_running and before is not Phase.RUNNING:
                    self.life.core_stopped(self.now)
                    assert self.life.phase is Phase.FLUSHING
            case "flush_check":
                self.life.check_flush(self.open, self.now)
                if self.life.phase is Phase.ENDED and before is not Phase.ENDED:
                    assert before is Phase.FLUSHING and (
                        not self.open or self.now >= self.life.phase_deadline_ms
                    )
        assert self.life.phase >= before, "the phase went back"

    def _check_core(self) -> None:
        life, before = self.life, self.life.phase
        refuse_all = life.check_core(self.open, self.inbox, self.now)
        since_stop_ms = self.now - life.stop_ms
        if before is Phase.RUNNING:
            assert life.phase is Phase.RUNNING and not refuse_all
        elif before is Phase.DRAINING and since_stop_ms < TIMES.refuse_after_ms:
            assert life.phase is Phase.DRAINING, "callers may still connect"
        if life.phase is Phase.FLUSHING and before < Phase.FLUSHING:
            if since_stop_ms < TIMES.answer_by_ms:
                assert not (self.open or self.inbox or life.open_listeners), "the core ended with work left"
                assert not refuse_all
            else:
                assert refuse_all is (self.open > 0), "set-ups open at the deadline must be refused"
        if (
            before <= Phase.FINISHING
            and since_stop_ms >= TIMES.answer_by_ms
            and life.phase >= Phase.FINISHING
        ):
            assert life.phase is Phase.FLUSHING, "it waits past its deadline"


@given(EVENTS)
def test_phases_only_move_forward_and_the_core_never_ends_with_work_left(
    events: list[tuple[str, float]],
) -> None:
    model = LifecycleModel()
    for event, delay_ms in events:
        model.step(event, delay_ms)
    life = model.life
    assert model.entered_phases == sorted(set(model.entered_phases)), "each phase is entered once, in order"
    assert life.accepts_connections == life.accepts_set_ups == (life.phase <= Phase.DRAINING)
    assert life.healthy == (life.phase is Phase.RUNNING)
    # after any events, a stop ends it before the kill
    stop = min(life.stop_ms, model.now)
    life.request_stop(stop)
    life.check_core(model.open, model.inbox, stop + TIMES.refuse_after_ms)
    life.check_core(model.open, model.inbox, stop + TIMES.answer_by_ms)
    assert not life.core_running
    life.check_flush(1, stop + TIMES.exit_by_ms)
    assert life.phase is Phase.ENDED and TIMES.exit_by_ms < 3700.0


def test_an_idle_shutdown_waits_only_for_late_callers() -> None:
    life = Lifecycle()
    assert (
        life.phase_deadline_ms == float("inf")
        and life.request_stop(1000.0)
        and not life.healthy
        and life.accepts_set_ups
    )

    def check_all(open_calls: int, inbox: int, now: float) -> Phase:
        life.check_core(open_calls, inbox, now)
        life.check_flush(open_calls, now)
        return life.phase

    assert check_all(0, 0, 1699.0) is Phase.DRAINING and life.phase_deadline_ms == 1700.0
    life.open_listeners = 1
    assert check_all(0, 0, 1701.0) is Phase.FINISHING, "a connection in the backlog is accepted first"
    life.open_listeners = 0
    assert check_all(1, 0, 1702.0) is Phase.FINISHING
    assert check_all(0, 1, 1703.0) is Phase.FINISHING
    life.check_core(0, 0, 1704.0)
    assert check_all(2, 0, 1705.0) is Phase.FLUSHING and life.phase_deadline_ms == 2704.0
    assert check_all(0, 0, 1706.0) is Phase.ENDED


@given(st.integers(0, 2), st.integers(0, 2), st.booleans())
def test_a_connection_may_close_only_without_pending_work(unanswered: int, unsent: int, unread: bool) -> None:
    assert may_close(ConnectionState(unanswered, unsent, unread)) is (
        (unanswered, unsent, unread) == (0, 0, False)
    )


IDLE_CONNECTIONS = st.lists(st.tuples(st.floats(0, 20000), st.floats(0, 1000), st.booleans()), max_size=40)


@given(IDLE_CONNECTIONS, st.integers(-5, 45))
def test_the_idlest_connections_are_closed_first(
    connections: list[tuple[float, float, bool]], excess: int
) -> None:
    now = 30000.0
    idle = [
        IdleConnection(n, now - age, now - age - more, known)
        for n, (age, more, known) in enumerate(connections)
    ]
    chosen = connections_to_close(idle, excess, now)
    assert len(set(chosen)) == len(chosen) and set(chosen) <= set(range(len(connections)))
    if excess > 0:
        assert len(chosen) >= min(excess, len(connections))
    else:
        assert all(connections[n][0] > 8000 for n in chosen) and len(chosen) <= max(len(connections) - 4, 0)
    without_message = [
        n for n, (age, more, known) in enumerate(connections) if not known and age + more >= 200
    ]
    position = {n: at for at, n in enumerate(chosen)}
    for n in set(without_message) & set(position):
        assert all(position[n] < position[other] for other in position if other not in without_message)


# --- with a request held at each of its steps ---


@pytest.fixture(autouse=True)
def _no_hold() -> Iterator[None]:
    yield
    steps.hook = None


@pytest.fixture
def front() -> Iterator[Front]:
    test_front = Front()
    yield test_front
    test_front.end()


def start_in_background(function: object) -> threading.Thread:
    assert callable(function)
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread


@pytest.mark.parametrize("step", [steps.READ, steps.REGISTERED])
def test_a_connection_whose_set_up_is_being_read_is_not_closed(step: str, front: Front) -> None:
    gate = Gate(step)
    front.set_up()
    gate.held()
    front.sweep()
    assert not front.gone()
    gate.go.set()
    front.offered().caller.refuse(100.0, RefusalReason.UNAVAILABLE)
    assert front.reads().startswith(b"SIP/2.0 503")


def test_a_connection_whose_set_up_is_unread_in_the_kernel_is_not_closed(front: Front) -> None:
    """The reader is held with the first set-up; the second has only reached the kernel."""
    gate = Gate(steps.REGISTERED)
    front.set_up("a")
    gate.held()
    front.set_up("b")
    front.callers.transaction_answered(next(iter(front.callers.links.values()), {})["a"])  # as if answered
    until = now_ms() + 200
    while now_ms() < until:
        front.sweep()
        assert not front.gone()
    gate.go.set()


@pytest.mark.parametrize("step", [steps.ANSWERED, steps.QUEUED, steps.WRITING])
def test_a_connection_whose_answer_is_not_written_is_not_closed(step: str, front: Front) -> None:
    front.set_up()
    offer = front.offered()
    gate = Gate(step)
    answering_thread = start_in_background(lambda: offer.caller.answer(BODY))
    gate.held()
    front.sweep()
    assert not front.gone()
    gate.go.set()
    answering_thread.join(TIMEOUT_S)
    assert front.reads().startswith(b"SIP/2.0 200")
    until = now_ms() + TIMEOUT_S * 1000
    while not front.gone() and now_ms() < until:
        front.sweep()
    assert front.gone() and front.reads() == b""


def test_a_set_up_that_arrives_after_the_selection_keeps_its_connection_open(front: Front) -> None:
    front.set_up()
    front.offered().caller.answer(BODY)
    front.reads()
    gate = Gate(steps.CLOSING)
    closing_thread = start_in_background(front.sweep)
    gate.held()
    front.set_up("b")
    second_offer = front.offered()
    gate.go.set()
    closing_thread.join(TIMEOUT_S)
    assert not front.gone()
    second_offer.caller.answer(BODY)
    assert front.reads().startswith(b"SIP/2.0 200")


@pytest.mark.parametrize(
    "damaged", [b"INVITE sip:b@net SIP/2.0\r\nContent-Length: x\r\n\r\n", b"INVITE sip:b@net SIP/2.0\r\nCall"]
)
def test_pending_set_ups_are_answered_before_a_damaged_connection_is_closed(
    damaged: bytes, front: Front, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("landingdeal.net.link.CallerLink.MESSAGE_TIMEOUT_MS", 50.0)
    front.set_up()
    offer = front.offered()
    front.sock.sendall(damaged)
    (event,) = list(front.inbox.take(now_ms() + TIMEOUT_S * 1000))
    assert isinstance(event, CallerStreamBroken) and event.caller is offer.caller
    offer.caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    assert front.reads().startswith(b"SIP/2.0 503")
    assert front.reads() == b""


def test_a_failing_handler_leaves_no_set_up_unanswered(front: Front, monkeypatch: pytest.MonkeyPatch) -> None:
    front.set_up()
    offer = front.offered()

    def fail(link: object, message: object) -> None:
        raise RuntimeError("injected fault")

    for link in front.callers.links:
        monkeypatch.setattr(link, "on_message", fail)
    front.set_up("b")
    (event,) = list(front.inbox.take(now_ms() + TIMEOUT_S * 1000))
    assert isinstance(event, CallerStreamBroken) and event.call_id == "a"
    offer.caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    assert front.reads().startswith(b"SIP/2.0 503")


def test_a_set_up_that_crosses_the_end_of_the_core_is_refused_before_the_exit(front: Front) -> None:
    gate = Gate(steps.REGISTERED)
    front.set_up()
    gate.held()
    front.life.request_stop(now_ms())
    front.life.core_stopped(now_ms())  # the held reader then puts into an inbox that is no longer read
    assert front.callers.flush() == 1
    assert front.reads().startswith(b"SIP/2.0 503")
    gate.go.set()
    until = now_ms() + TIMEOUT_S * 1000
    while front.callers.flush() and now_ms() < until:
        threading.Event().wait(seconds_until(now_ms() + 5))
    assert front.reads() == b"" and not front.callers.flush()


def test_connections_in_the_backlog_are_accepted_before_the_listener_closes(front: Front) -> None:
    gate = Gate(steps.ACCEPTED)
    first = socket.create_connection(front.where)
    gate.held()
    late_connection = socket.create_connection(front.where)
    late_connection.settimeout(TIMEOUT_S)
    late_connection.sendall(
        encode(request("OPTIONS", "sip:ping@net", ("call-id", "1"), ("cseq", "1 OPTIONS")))
    )
    front.life.request_stop(0.0)
    front.life.check_core(0, 0, TIMES.refuse_after_ms)
    assert front.life.phase is Phase.FINISHING and front.life.open_listeners == 1
    gate.go.set()
    # the health check fails: the program is ending
    assert late_connection.recv(100).startswith(b"SIP/2.0 503")
    until = now_ms() + TIMEOUT_S * 1000
    while front.life.open_listeners and now_ms() < until:
        threading.Event().wait(seconds_until(now_ms() + 5))
    assert front.life.open_listeners == 0
    first.close()
    late_connection.close()


def test_a_connection_that_cannot_be_served_does_not_close_the_listener(
    front: Front, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(link: object) -> None:
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patch:
        patch.setattr("landingdeal.net.link.Link.start", fail)
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


# --- with the program as a process ---


@pytest.mark.parametrize(
    "plan", [Plan(seed=1), Plan(seed=2, connections=85, surge=40), Plan(seed=3, answers_ms=(500.0, 2500.0))]
)
def test_a_restart_under_load_loses_no_set_up(plan: Plan) -> None:
    tally = play_round(replace(plan, load_s=(0.4, 0.4)))
    assert tally.sent > 20 and tally.code == 0 and not tally.notes
    assert (tally.lost, tally.twice, tally.unanswered) == (0, 0, 0)
    assert tally.answered + tally.refused + tally.crossed + tally.turned_away == tally.sent


@pytest.mark.parametrize("longest_deadline_ms", [300.0, 600.0, 1200.0, 3000.0, 9000.0])
def test_the_program_ends_before_the_earliest_kill_of_its_deployment(longest_deadline_ms: float) -> None:
    times = times_before_kill(longest_deadline_ms)
    assert (
        times.refuse_after_ms
        < times.answer_by_ms
        < times.exit_by_ms
        < min(longest_deadline_ms, 3000.0) + 700.0
    )
    assert times.refuse_after_ms <= 700.0, "set-ups taken later than 0.7 s need an answer before the kill"


@pytest.mark.parametrize("deadline_ms", [600.0, 1200.0])
def test_a_stop_with_short_deadlines_and_hung_hubs_leaves_no_set_up_unanswered(deadline_ms: float) -> None:
    trial_plan = TrialPlan(
        7, rough_hubs=False, bad_callers=False, hub_faults=False, bus_faults=False, reloads=False
    )
    plan = replace(trial_plan, deadlines_ms=(deadline_ms, deadline_ms), lasts_s=1.0, hang_at_stop=True)
    result = play(plan)
    assert not result.broken, "\n".join(result.broken)
    assert len(result.exits_ms) == plan.starts, "killed"


def wait_until_sighup_is_handled(process_id: int) -> None:
    until = now_ms() + TIMEOUT_S * 1000
    while now_ms() < until:
        status = Path(f"/proc/{process_id}/status").read_text()
        fields = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
        if (int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)) & 1 << signal.SIGHUP - 1:
            return


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_at_any_moment_of_the_start_does_not_kill_the_process(number: signal.Signals) -> None:
    """Starts it as the platform does; each try sends the signal later after the shell's first command."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    for delay_ms in range(0, 400, 40):
        with tempfile.TemporaryDirectory() as folder:
            command = ["/bin/sh", "-c", run.replace(".venv/bin", VENV_BIN)]
            harness = Stage(Plan(seed=delay_ms), Path(folder), command)
            wait_until_sighup_is_handled(harness.process.pid)
            time.sleep(delay_ms / 1000)
            harness.process.send_signal(number)
            try:
                if number is signal.SIGTERM:
                    assert harness.process.wait(END_S) in (0, -signal.SIGTERM)
                else:
                    tally = harness.round()
                    assert tally.code == 0 and not tally.lost, tally.notes
            finally:
                harness.end()


class SocketWithoutByteCount:
    """A socket on a system whose TCP_INFO has no count of received bytes."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)

    def getsockopt(self, level: int, option: int, size: int = 0) -> object:
        value = self.sock.getsockopt(level, option, size) if size else self.sock.getsockopt(level, option)
        if option != socket.TCP_INFO:
            return value
        assert isinstance(value, bytes)
        return value[:1] + bytes(size - 1)


def test_an_idle_connection_may_close_where_the_kernel_counts_no_received_bytes(front: Front) -> None:
    front.set_up()
    front.offered().caller.answer(BODY)
    assert front.reads().startswith(b"SIP/2.0 200")
    for link in front.callers.links:
        link.sock = SocketWithoutByteCount(link.sock)  # type: ignore[assignment]
        assert not link.unread()
    until = now_ms() + TIMEOUT_S * 1000
    while not front.gone() and now_ms() < until:
        front.sweep()
    assert front.gone()
