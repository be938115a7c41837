"""One trial: a plan drawn from a seed, the program's process, the emulated parties and the broken rules."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from landingdeal.lab.ports import free_port
from landingdeal.lab.trial.bus import DiscoveryServer, EventLog
from landingdeal.lab.trial.callers import IMPATIENT_BEHAVIOUR, USUAL_BEHAVIOUR, Callers
from landingdeal.lab.trial.hub import DEFAULT_FAULT_RATES, HIGH_FAULT_RATES, LabHub
from landingdeal.lab.trial.loop import TrialEventLoop
from landingdeal.lab.trial.rules import (
    KILL_MARGIN_S,
    HubStatusChange,
    Observations,
    check_rules,
    earliest_kill,
)

ROOT = Path(__file__).resolve().parents[3]
READY_TIMEOUT_S = 20.0
SETTLE_TIME_S = 1.5  # between the last fault and the end
BURST_DURATION_S = 0.3  # all connections of a burst are opened within this time
SAMPLE_INTERVAL_S = 0.1  # between two counts of the open descriptors
SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "caps": {"cancel": True, "dial_timeout_ms": 500.0, "max_retry_after_ms": 2000.0, "may_probe": False,
             "most_tries": 6, "peers": False, "retry_after": True, "second_copies": False},
    "discovery": "pushed",
    "load_report": {"how": "piggyback", "names": ["free", "size", "depth", "can_take"]},
    "rules": {"ask_within_ms": 10000.0, "cold_from": 0.3, "cold_ms": 14000.0, "drain_grace_ms": 1000.0,
              "fall_ms": 1000.0, "fall_multiple": 2.0},
    "tick_ms": 5.0,
}  # fmt: skip


@dataclass(frozen=True)
class TrialPlan:
    """The parameters of a trial. The same seed gives the same plan."""

    seed: int
    deadlines_ms: tuple[float, float] = (2500.0, 1500.0)
    hubs: int = 4
    duration_s: float = 5.0
    starts: int = 2  # of the process, one after the other
    faulty_hubs: bool = True  # hubs use HIGH_FAULT_RATES
    impatient_callers: bool = True  # callers use IMPATIENT_BEHAVIOUR
    misbehaving_callers: bool = True  # some callers send invalid data
    hub_faults: bool = True  # hangs, crashes, resets, slow accepts and restarts of hubs
    discovery_faults: bool = True
    reloads: bool = True  # SIGHUP with a changed configuration
    connection_burst: int = 0  # additional connections opened at once
    sockets: int = 256
    hang_hubs_at_stop: bool = False  # more than half of them, just before SIGTERM
    environment: tuple[tuple[str, str], ...] = ()


def draw_plan(seed: int) -> TrialPlan:
    """Draws a plan from the seed."""
    rng = random.Random(seed)
    longest_ms = rng.choice((600.0, 1200.0, 2500.0, 4000.0))
    return TrialPlan(
        seed,
        deadlines_ms=(longest_ms, longest_ms * rng.uniform(0.5, 1.0)),
        hubs=rng.randint(2, 5),
        duration_s=rng.uniform(3.0, 7.0),
        starts=rng.randint(1, 3),
        faulty_hubs=rng.random() < 0.8,
        impatient_callers=rng.random() < 0.7,
        misbehaving_callers=rng.random() < 0.5,
        hub_faults=rng.random() < 0.8,
        discovery_faults=rng.random() < 0.7,
        reloads=rng.random() < 0.6,
        connection_burst=rng.choice((0, 0, 40, 100)),
        sockets=rng.choice((192, 256, 384)),
        hang_hubs_at_stop=rng.random() < 0.5,
    )


@dataclass
class TrialResult:
    """What a trial counted, and the rules that were broken."""

    plan: TrialPlan
    violations: list[str] = field(default_factory=list)
    sent: int = 0
    answered: int = 0
    established: int = 0
    max_descriptors: int = 0  # open at the same time
    exits_ms: list[float] = field(default_factory=list)  # from SIGTERM to the exit of each process
    max_lag_ms: float = 0.0  # of the test environment itself
    log: str = ""


class Trial:
    """Runs the process among the emulated parties and injects the faults of the plan."""

    def __init__(self, plan: TrialPlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.rng = random.Random(plan.seed * 7919 + 1)
        self.loop = TrialEventLoop()
        self.observations = Observations()
        self.result = TrialResult(plan)
        self.hubs = [
            LabHub(self.loop, self.rng, self.observations, f"s-{n}", n) for n in range(1, plan.hubs + 1)
        ]
        self.events = EventLog([])
        self.events.add([self._endpoint_entry(hub, "up") for hub in self.hubs], [], snapshot=True)
        self.discovery_servers = [
            DiscoveryServer(self.loop, self.rng, self.observations, self.events) for _ in range(2)
        ]
        self.discovery_server = self.discovery_servers[0]
        self.port = free_port()
        self.config = folder / "config.json"
        self.faults_until = 0.0
        self.process: subprocess.Popen[bytes] | None = None

    @staticmethod
    def _endpoint_entry(hub: LabHub, state: str, since_ms: int = 0) -> dict[str, Any]:
        entry = {"name": hub.name, "address": hub.address, "group": hub.number}
        return {**entry, "status": state, "since_ms": since_ms}

    # --- the process ---

    def _build_settings(self) -> dict[str, Any]:
        longest_ms, other_deadline_ms = self.plan.deadlines_ms
        classes = [
            {
                "name": name,
                "deadline_ms": deadline_ms,
                "slo_ms": deadline_ms / 3,
                "points": 1.0,
                "effect": "free",
            }
            for name, deadline_ms in (("voice", longest_ms), ("data", other_deadline_ms))
        ]
        specifics = {"here": 0, "mean_hold_ms": [800.0, 800.0], "release_ms": 300.0, "topology": "mesh",
                     "widths": [1, 1]}  # fmt: skip
        return {**SETTINGS, "classes": classes, "specifics": specifics}

    def _write_config(self) -> None:
        new_config = self.folder / "config.new"
        new_config.write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": self.plan.sockets},
            "bus": self.discovery_server.address, "known": self.events.known,
            "settings": self._build_settings(),
        }))  # fmt: skip
        new_config.replace(self.config)

    def _start_process(self) -> None:
        self._write_config()
        environment = {**os.environ, "ROUTER_CONFIG": str(self.config), "PYTHONPATH": str(ROOT)}
        environment.update(self.plan.environment)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "landingdeal"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.observations.process_started_at = time.time()
        self.observations.stop_requested_at = 0.0

    def _send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def _sample_descriptors(self) -> None:
        if self.process is None or self.process.poll() is not None:
            return
        try:
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return
        self.result.max_descriptors = max(self.result.max_descriptors, count)
        self.loop.call_after(SAMPLE_INTERVAL_S, self._sample_descriptors)

    def _wait_until_ready(self, callers: Callers) -> bool:
        deadline = time.time() + READY_TIMEOUT_S
        while time.time() < deadline and not callers.ready:
            if self.process is None or self.process.poll() is not None:
                self.observations.add_problem("the process ended before it was ready")
                return False
            client = callers.connect()
            if client is not None:
                callers.send_options(client)
                self.loop.run(lambda: callers.ready, time.time() + 0.1)
                callers.close(client)
            else:
                self.loop.run(lambda: False, time.time() + 0.02)
        if not callers.ready:
            self.observations.add_problem("the process does not become ready")
        return callers.ready

    # --- faults ---

    def _inject_hub_fault(self) -> None:
        if time.time() > self.faults_until:
            return
        hub = self.rng.choice(self.hubs)
        match self.rng.randrange(6):
            case 0:
                hub.hang(True)
                self.loop.call_after(self.rng.uniform(0.2, 2.0), lambda: hub.hang(False))
            case 1:
                hub.crash()
                self.loop.call_after(self.rng.uniform(0.05, 1.0), hub.start)
            case 2 if hub.connections:
                hub.reset(self.rng.choice(hub.connections))
            case 3 if hub.connections:
                connection = self.rng.choice(hub.connections)
                connection.close()
                hub.connection_ended(connection)
            case 4:
                hub.connect_delay_s = self.rng.uniform(0.0, 1.0)
                self.loop.call_after(1.0, lambda: setattr(hub, "connect_delay_s", 0.0))
            case _:
                self._restart_hub(hub)
        self.loop.call_after(self.rng.uniform(0.1, 0.7), self._inject_hub_fault)

    def _announce(self, hub: LabHub, state: str, since_ms: int = 0) -> None:
        change = HubStatusChange(hub.name, state, time.time())
        self.observations.changes.append(change)
        self.events.add([self._endpoint_entry(hub, state, since_ms)], [change])
        self.discovery_server.send_events()

    def _restart_hub(self, hub: LabHub) -> None:
        """Drains the hub, replaces its process and starts it again."""
        self._announce(hub, "draining")

        def restart() -> None:
            hub.crash()
            self._announce(hub, "removed")
            self.loop.call_after(self.rng.uniform(0.1, 0.6), start_again)

        def start_again() -> None:
            hub.start()
            self._announce(hub, "up")

        self.loop.call_after(self.rng.uniform(0.5, 2.5), restart)

    def _inject_discovery_fault(self) -> None:
        if time.time() > self.faults_until:
            return
        server = self.discovery_server
        fault = self.rng.randrange(4)
        if fault == 0:
            server.break_streams()
        elif fault == 1:
            server.stop()
        elif fault == 2:
            server.stop_responding()
        else:
            server.refuses_requests = True
            server.break_streams()
        self.loop.call_after(self.rng.uniform(0.2, 2.0), server.recover)
        self.loop.call_after(self.rng.uniform(2.2, 3.0), self._inject_discovery_fault)

    def _reload_config(self) -> None:
        if time.time() > self.faults_until:
            return
        for number in range(self.rng.randint(1, 4)):
            self.loop.call_after(number * 0.03, self._change_discovery_server)
        self.loop.call_after(self.rng.uniform(0.8, 2.0), self._reload_config)

    def _change_discovery_server(self) -> None:
        self.discovery_server = self.rng.choice(self.discovery_servers)
        self._write_config()
        self._send_signal(signal.SIGHUP)
        self.discovery_server.send_events()

    # --- one run of the process ---

    def _run_process(self, last: bool) -> None:
        plan, observations = self.plan, self.observations
        callers = Callers(self.loop, self.rng, observations, self.port, [hub.number for hub in self.hubs])
        callers.deadlines_s = dict(zip(("voice", "data"), (d / 1000 for d in plan.deadlines_ms), strict=True))
        self._start_process()
        if not self._wait_until_ready(callers):
            return
        self._sample_descriptors()
        callers.behaviour = IMPATIENT_BEHAVIOUR if plan.impatient_callers else USUAL_BEHAVIOUR
        for hub in self.hubs:
            hub.fault_rates = HIGH_FAULT_RATES if plan.faulty_hubs else DEFAULT_FAULT_RATES
        now = time.time()
        self.faults_until = now + plan.duration_s
        callers.start()
        if plan.hub_faults:
            self._inject_hub_fault()
        if plan.discovery_faults:
            self.loop.call_after(self.rng.uniform(0.2, 1.5), self._inject_discovery_fault)
        if plan.reloads:
            self.loop.call_after(self.rng.uniform(0.1, 1.0), self._reload_config)
        if plan.connection_burst:
            self.loop.call_after(
                self.rng.uniform(0.2, plan.duration_s), lambda: self._open_connection_burst(callers)
            )
        if plan.misbehaving_callers:
            for _ in range(20):
                self.loop.call_after(self.rng.uniform(0.0, plan.duration_s), callers.open_bad_connection)
        self.loop.run(self._process_ended, now + plan.duration_s + (SETTLE_TIME_S if last else 0.0))
        self._stop_process(callers)

    def _open_connection_burst(self, callers: Callers) -> None:
        # Callers hold at most a third of the sockets.
        count = min(self.plan.connection_burst, self.plan.sockets // 3 - callers.max_clients)
        callers.max_clients += count

        def open_one() -> None:
            client = callers.connect()
            if client is not None:
                callers.send_set_up(client)

        for _ in range(count):
            self.loop.call_after(self.rng.uniform(0.0, BURST_DURATION_S), open_one)

    def _process_ended(self) -> bool:
        return self.process is None or self.process.poll() is not None

    def _stop_process(self, callers: Callers) -> None:
        """Sends SIGTERM, then SIGKILL at its earliest time; callers go on, with new connections at first."""
        if self.process is None or self._process_ended():
            self.observations.add_problem(
                f"the process ended by itself: {self.process and self.process.returncode}"
            )
            return
        if self.plan.hang_hubs_at_stop:
            for hub in self.hubs[: len(self.hubs) // 2 + 1]:
                hub.hang(True)
        stop_requested_at = self.observations.stop_requested_at = time.time()
        kill_at = stop_requested_at + earliest_kill(max(self.plan.deadlines_ms) / 1000)
        self._send_signal(signal.SIGTERM)
        for _ in range(self.rng.randint(0, 3)):
            number = self.rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT))
            self.loop.call_after(self.rng.uniform(0.0, 0.5), lambda n=number: self._send_signal(n))  # type: ignore[misc]
        self.loop.call_after(self.rng.uniform(0.2, 0.4), lambda: setattr(callers, "connecting", False))
        self.loop.run(self._process_ended, kill_at)
        callers.sending = False
        if self._process_ended():
            self.result.exits_ms.append((time.time() - stop_requested_at) * 1000)
            if self.process.returncode:
                self.observations.add_problem(
                    f"the process ended with {self.process.returncode} after SIGTERM"
                )
        else:
            self.process.kill()
        self.process.wait()
        self.observations.program_ended_at = time.time()
        self.loop.run(lambda: False, time.time() + 0.1)
        for client in callers.clients:
            client.connection.close()
        callers.clients.clear()
        self._exempt_killed_set_ups(stop_requested_at, kill_at)
        for hub in self.hubs:
            hub.hang(False)

    def _exempt_killed_set_ups(self, stop_at: float, kill_at: float) -> None:
        """Exempts set-ups that SIGKILL cut off, except those sent late after SIGTERM or past their time."""
        for set_up in self.observations.requests.values():
            if set_up.final_responses or set_up.cancelled_at:
                continue
            killed = self.observations.program_ended_at >= kill_at
            if killed and kill_at < set_up.deadline and set_up.written_at <= stop_at + KILL_MARGIN_S:
                set_up.exemption = "its deadline had not passed at the kill"

    def run(self) -> TrialResult:
        """Starts and stops the process as often as planned and checks the rules after each run."""
        for number in range(self.plan.starts):
            self._run_process(last=number == self.plan.starts - 1)
            self.observations.max_lag_s = self.loop.max_lag_s
            self.result.max_lag_ms = self.loop.max_lag_s * 1000
            self.result.violations += check_rules(self.observations)
            finished, self.observations.requests = self.observations.requests, {}
            self.observations.attempts.clear()
            self.observations.problems.clear()
            self.observations.unanswered_misbehaving_callers = 0
            self.result.sent += sum(set_up.written_at > 0 for set_up in finished.values())
            self.result.answered += sum(bool(set_up.final_responses) for set_up in finished.values())
            self.result.established += sum(set_up.established for set_up in finished.values())
        if self.result.max_descriptors > self.plan.sockets:
            self.result.violations.append(f"{self.result.max_descriptors} descriptors of {self.plan.sockets}")
        return self.result

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.loop.close()


def run_trial(plan: TrialPlan) -> TrialResult:
    """Runs one trial in a temporary folder; a traceback in the log counts as a broken rule."""
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(plan, Path(folder))
        try:
            result = trial.run()
        finally:
            trial.end()
        log = Path(folder) / "log"
        result.log = log.read_text(errors="replace") if log.exists() else ""
    if "Traceback" in result.log:
        at = result.log.find("Traceback")
        result.violations.append("a traceback in the log: " + result.log[at : at + 600])
    return result
