"""A seeded soak of the SIP front over TCP: connections end, hubs are cut off, callers give up.

`SIP_SOAK_SECONDS` and `SIP_SOAK_SEED` set the length and the seed of a run that is started by hand.
"""

from __future__ import annotations

import os
import random
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.rig.sip_peers import SoakCall, SoakCaller, SoakHub
from tests.scenario_sip import T1_MS, ScenarioParty, SipHarness

SECONDS = float(os.environ.get("SIP_SOAK_SECONDS", "20"))
SEED = int(os.environ.get("SIP_SOAK_SEED", "1"))
CALLERS = 8
SLACK_S = 0.05  # "each time limit is 50 ms longer"
LATE_S = 0.5  # a final answer so long after its time is lost
QUIET_S = 64 * T1_MS / 1000 + 2.0  # every transaction has ended by then
PATIENCES_MS = (700, 1500, 9000)


class SoakHubParty(ScenarioParty):
    """The soak's hub, as the operator's file of the harness names it."""

    def __init__(self, hub: SoakHub) -> None:
        self.name, self.transport, self.port, self.sock, self.connections = (
            "hub1",
            "tcp",
            hub.port,
            hub.server,
            [],
        )


class Soak:
    """Callers, one hub and the disruptions, drawn from the seed; `broken` has a line for each rule broken."""

    def __init__(self, front_port: int, hub: SoakHub, seed: int) -> None:
        self.hub, self.seed = hub, seed
        self.callers = [SoakCaller(front_port, number % 2 == 0) for number in range(CALLERS)]
        self.broken: list[str] = []
        self.end_s = time.monotonic() + SECONDS

    def run(self) -> None:
        threads = [
            threading.Thread(target=self._call, args=(n, caller)) for n, caller in enumerate(self.callers)
        ]
        threads.append(threading.Thread(target=self._disrupt_hub))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(QUIET_S)
        self._check_hub()

    def _disrupt_hub(self) -> None:
        draw = random.Random(f"{self.seed} hub")
        while time.monotonic() < self.end_s:
            time.sleep(draw.uniform(0.3, 1.5))
            if draw.random() < 0.7:
                self.hub.end_connections(reset=draw.random() < 0.5)
                continue
            self.hub.cut()
            time.sleep(draw.uniform(0.3, 1.6))
            self.hub.heal()

    def _call(self, number: int, caller: SoakCaller) -> None:
        draw = random.Random(f"{self.seed} caller {number}")
        count = 0
        while time.monotonic() < self.end_s:
            call = caller.new_call(f"{number}x{count}")
            count += 1
            patience_ms = draw.choice(PATIENCES_MS)
            self._invite(draw, caller, call, 1, patience_ms)
            if {200} == call.finals.get(1):
                self._established(draw, caller, call)

    def _invite(
        self, draw: random.Random, caller: SoakCaller, call: SoakCall, number: int, patience_ms: int
    ) -> None:
        """Sends an INVITE; its connection may end and its caller may give up before the final answer."""
        caller.send(call, "INVITE", number, ("x-patience", str(patience_ms)))
        until = time.monotonic() + patience_ms / 1000 + LATE_S
        steps = []
        if draw.random() < 0.4:
            steps.append((draw.uniform(0.0, 0.4), "end"))
        if draw.random() < 0.3:
            steps.append((draw.uniform(0.0, 0.5), "cancel"))
        started_s = time.monotonic()
        for after_s, step in sorted(steps):
            wait(lambda: number in call.finals, call, started_s + after_s)
            # a reset may discard a request that has not been read: nothing is owed for that one
            wait(lambda: number in call.received, call, until)
            if step == "end" and caller.line is not None:
                caller.line.end(reset=draw.random() < 0.5)
            elif step == "cancel" and number not in call.finals:
                caller.send(call, "CANCEL", number)
        wait(lambda: number in call.finals, call, until)
        answers = sorted(call.finals.get(number, ()))
        if len(answers) != 1:
            self.broken.append(f"{call.call_id}: INVITE {number} got the final answers {answers}")

    def _established(self, draw: random.Random, caller: SoakCaller, call: SoakCall) -> None:
        time.sleep(draw.uniform(0.0, 0.2))
        number = 2
        if draw.random() < 0.3 and not call.released:
            self._invite(draw, caller, call, number, 9000)
            number += 1
        if draw.random() < 0.3 and caller.line is not None:
            caller.line.end(reset=draw.random() < 0.5)
            time.sleep(draw.uniform(0.0, 0.1))
        caller.send(call, "BYE", number)

    def _check_hub(self) -> None:
        calls = {call.call_id: call for caller in self.callers for call in caller.calls.values()}
        for hub_call in self.hub.calls.values():
            refused_s = calls[hub_call.name].refused_s
            if refused_s and hub_call.received_s > refused_s + SLACK_S:
                late_s = hub_call.received_s - refused_s
                self.broken.append(
                    f"{hub_call.name}: the hub got its set-up {late_s:.3f} s after its refusal"
                )
            if hub_call.answered == 200 and not hub_call.ended:
                acknowledged = "with" if hub_call.acknowledged else "without"
                self.broken.append(f"{hub_call.name}: stands at the hub, {acknowledged} ACK")


def wait(condition: Callable[[], bool], call: SoakCall, until_s: float) -> None:
    """Waits until the messages received of a call meet the condition."""
    while not condition() and time.monotonic() < until_s:
        call.changed.wait(min(0.02, max(until_s - time.monotonic(), 0)))
        call.changed.clear()


@pytest.fixture
def soak(tmp_path: Path) -> Iterator[Soak]:
    hub = SoakHub(SEED)
    environment = SipHarness(tmp_path, "tcp", hubs={"hub1": SoakHubParty(hub)})
    soak = Soak(environment.port, hub, SEED)
    yield soak
    for peer in (*soak.callers, hub):
        peer.close()
    log = environment.end()
    print(log)
    assert "Traceback" not in log, log


def test_each_call_gets_one_answer_and_none_stands_at_the_hub_while_connections_end(soak: Soak) -> None:
    soak.run()
    calls = [call for caller in soak.callers for call in caller.calls.values()]
    assert not soak.broken, "\n".join([f"seed {SEED}, {len(calls)} calls:", *soak.broken])
    statuses = {status for call in calls for answers in call.finals.values() for status in answers}
    assert {200, 487} <= statuses and len(soak.hub.calls) > CALLERS
