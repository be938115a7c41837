"""Feeds random legal event sequences to the decision module and checks the five rules on every action.

The rules: each call is answered once and in time; it has one pending attempt at most; no set-up goes to a
leaving exchange; a cold exchange is paced; no call is sent again before its last attempt is released.
"""

from __future__ import annotations

import random
import struct
from dataclasses import dataclass, replace

from hypothesis import given, settings
from hypothesis import strategies as st

from badgerstile.interface import (
    AttemptEnded,
    AttemptOutcome,
    CallAbandoned,
    CallEstablished,
    ExchangeList,
    FailCall,
    Health,
    ListKind,
    LoadReporting,
    PeerMessage,
    Refuse,
    RejectionReason,
    Report,
    SetTimer,
    SetUp,
    TimerFired,
)
from tests.helpers import SETTINGS, SoftswitchHarness, exchange, list_entry


@dataclass
class ExpectedCall:
    """What the test knows about a call that it offered."""

    number: int
    answer_by: float
    transit: bool
    pending_exchange: bytes | None = None
    attempt_ends_at: float = 0.0
    attempts: int = 0
    earliest_retry_at: float = 0.0
    concluded: bool = False


class RandomScenario:
    """Generates the events of one softswitch from a seed and checks each action as soon as it is taken."""

    def __init__(self, seed: int, uses_pools: bool, remote_count: int = 4) -> None:
        self.remote_count = remote_count
        self.rng = random.Random(seed)
        base = replace(
            SETTINGS,
            may_probe=True,
            may_message=True,
            softswitch_count=remote_count + 1,
            load_reporting=LoadReporting.WHEN_PROBED,
        )
        if uses_pools:
            classes_with_pools = tuple(replace(c, pools=tuple(range(remote_count + 1))) for c in base.classes)
            base = replace(base, mesh=False, own_number=-1, classes=classes_with_pools)
        self.uses_pools = uses_pools
        self.harness = SoftswitchHarness(base, remote_count, seed)
        self.calls: dict[int, ExpectedCall] = {}
        self.leaving: set[bytes] = set()
        self.sent_while_cold: dict[bytes, list[float]] = {}
        self.timers: list[tuple[float, int]] = []
        self.checked = 0
        self.check_actions()

    def check_actions(self) -> None:
        for now, action in self.harness.recorded_actions[self.checked :]:
            if isinstance(action, SetTimer):
                self.timers.append((action.due_ms, action.token))
            elif isinstance(action, SetUp):
                call = self.calls[action.call]
                assert not call.concluded, "set-up sent after the call was concluded"
                assert call.pending_exchange is None, "two pending attempts"
                assert now >= call.earliest_retry_at, "set-up sent before the last attempt was released"
                assert action.exchange not in self.leaving, "set-up sent to a leaving exchange"
                assert call.attempts < SETTINGS.max_attempts
                assert not call.transit or action.exchange[3] == call.number
                assert self.uses_pools or action.exchange != exchange(0)
                call.pending_exchange, call.attempts = action.exchange, call.attempts + 1
                call.attempt_ends_at = min(
                    now + action.timeout_ms if action.timeout_ms else call.answer_by, call.answer_by
                )
                if action.exchange in self.sent_while_cold:
                    self.sent_while_cold[action.exchange].append(now)
                    recent = [
                        t
                        for t in self.sent_while_cold[action.exchange]
                        if t > now - SETTINGS.overload_window_ms
                    ]
                    assert len(recent) <= 3, "too many set-ups to a cold exchange"
            elif isinstance(action, Refuse | FailCall):
                call = self.calls[action.call]
                assert not call.concluded, "two final answers"
                assert call.pending_exchange is None and now <= call.answer_by + 20
                call.concluded = True
        self.checked = len(self.harness.recorded_actions)

    def step(self) -> None:
        rng, harness = self.rng, self.harness
        if rng.random() < 0.02:
            self.stall_two_seconds()
        else:
            harness.now += rng.choice((0.0, 5.0, 5.0, 20.0, 60.0))
        for timer in sorted(t for t in self.timers if t[0] <= harness.now):
            self.timers.remove(timer)
            harness.give(TimerFired(timer[1]))
            self.check_actions()
        for call_id, call in list(self.calls.items()):
            if call.concluded:
                continue
            if call.pending_exchange and (harness.now >= call.attempt_ends_at or rng.random() < 0.2):
                self.end_attempt(call_id, call, harness.now >= call.attempt_ends_at)
                self.check_actions()
            assert (
                call.concluded or call.pending_exchange or harness.now <= call.answer_by + 20
            ), "no answer in time"
        chance = rng.random()
        if chance < 0.5:
            self.offer_call()
        elif chance < 0.7:
            number = rng.randint(1, self.remote_count)
            harness.give(Report(exchange(number), False, True, 0.0, (float(rng.randint(0, 12)), 20.0, -1.0)))
        elif chance < 0.8:
            load_values = (9.0, 20.0, rng.random())
            harness.give(
                Report(
                    exchange(rng.randint(0, self.remote_count)), True, rng.random() < 0.8, 30.0, load_values
                )
            )
        elif chance < 0.84:
            self.change_exchange_list()
        elif chance < 0.9:
            self.send_peer_message()
        elif chance < 0.92 and self.calls:
            call_id = rng.choice(list(self.calls))
            if not self.calls[call_id].pending_exchange:
                self.calls[call_id].concluded = True
                harness.give(CallAbandoned(call_id))
        self.check_actions()

    def stall_two_seconds(self) -> None:
        """Two seconds pass without an event; callers whose budget ends meanwhile abandon their calls."""
        self.harness.now += 2000.0
        self.harness.timer_times.clear()
        for call_id, call in self.calls.items():
            if not call.concluded and call.answer_by < self.harness.now:
                call.concluded = True
                self.harness.give(CallAbandoned(call_id))
                self.check_actions()

    def send_peer_message(self) -> None:
        number, kind = self.rng.randint(0, self.remote_count), self.rng.choice((b"?", b"!", b"#"))
        payload = struct.pack(">cH", kind, number) + self.rng.randbytes(self.rng.choice((0, 3, 30, 31)))
        self.harness.give(PeerMessage(self.rng.randint(0, self.remote_count + 3), payload))

    def offer_call(self) -> None:
        rng, harness = self.rng, self.harness
        call_id, number = harness.next_call + 1, rng.randint(0, self.remote_count)
        transit, budget = (
            not self.uses_pools and rng.random() < 0.2,
            rng.choice((40.0, 400.0, 3000.0, 9000.0)),
        )
        self.calls[call_id] = ExpectedCall(number, harness.now + budget, transit)
        kind = rng.randint(0, 1)
        harness.call(number, SETTINGS.classes[kind].width, budget, transit, kind)

    def change_exchange_list(self) -> None:
        number = self.rng.randint(1, self.remote_count)
        health = self.rng.choice((Health.READY, Health.DRAINING, Health.REMOVED))
        came_up = self.harness.now if health is Health.READY else 0.0
        self.leaving.discard(exchange(number))
        self.sent_while_cold.pop(exchange(number), None)
        if health is Health.READY:
            self.sent_while_cold[exchange(number)] = []
        else:
            self.leaving.add(exchange(number))
        self.harness.give(ExchangeList(ListKind.CHANGES, (list_entry(number, health, came_up),)))

    def end_attempt(self, call_id: int, call: ExpectedCall, timed_out: bool) -> None:
        rng, harness, exchange_id, attempt = self.rng, self.harness, call.pending_exchange, call.attempts - 1
        assert exchange_id is not None
        outcome = AttemptOutcome.TIMED_OUT if timed_out else rng.choice(
            (
                None, AttemptOutcome.TURNED_BACK, AttemptOutcome.UNREACHABLE, AttemptOutcome.CUT,
                AttemptOutcome.NOT_SENT, AttemptOutcome.ERROR,
            )
        )  # fmt: skip
        call.pending_exchange = None
        if outcome is None:
            call.concluded = True
            harness.give(CallEstablished(call_id, exchange_id, attempt, 80.0))
            return
        if outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CUT):
            call.earliest_retry_at = harness.now + SETTINGS.release_wait_ms
        reason = RejectionReason.NONE
        if outcome is AttemptOutcome.TURNED_BACK:
            reason = rng.choice(
                (RejectionReason.NO_CIRCUIT, RejectionReason.TANDEM, RejectionReason.PROCESSOR_FULL)
            )
        elif outcome is AttemptOutcome.NOT_SENT:
            reason = rng.choice((RejectionReason.NO_CIRCUIT, RejectionReason.PROCESSOR_FULL))
        harness.give(AttemptEnded(call_id, exchange_id, attempt, outcome, False, 80.0, reason))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.booleans(), st.sampled_from((2, 4, 30)))
def test_random_scenarios_keep_the_five_rules(seed: int, uses_pools: bool, remote_count: int) -> None:
    scenario = RandomScenario(seed, uses_pools, remote_count)
    for _ in range(250):
        scenario.step()
    assert scenario.checked > 20


def test_the_same_events_lead_to_the_same_actions() -> None:
    def actions_of_a_run() -> list[object]:
        scenario = RandomScenario(11, False)
        for _ in range(300):
            scenario.step()
        return list(scenario.harness.recorded_actions)

    assert actions_of_a_run() == actions_of_a_run()
