"""Plays random legal event sequences and asserts the five rules on all that the module does."""

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
class Owed:
    number: int
    due: float
    transit: bool
    out: bytes | None = None
    out_until: float = 0.0
    attempts: int = 0
    released: float = 0.0
    final: bool = False


class Play:
    """The world around one softswitch, as random as the seed; it judges every action when it is made."""

    def __init__(self, seed: int, pools: bool, others: int = 4) -> None:
        self.others = others
        self.rng = random.Random(seed)
        base = replace(
            SETTINGS,
            may_probe=True,
            may_message=True,
            softswitch_count=others + 1,
            load_reporting=LoadReporting.WHEN_PROBED,
        )
        if pools:
            kinds = tuple(replace(c, pools=tuple(range(others + 1))) for c in base.classes)
            base = replace(base, mesh=False, own_number=-1, classes=kinds)
        self.pools = pools
        self.stage = SoftswitchHarness(base, others, seed)
        self.owed: dict[int, Owed] = {}
        self.barred: set[bytes] = set()
        self.cold: dict[bytes, list[float]] = {}
        self.timers: list[tuple[float, int]] = []
        self.seen = 0
        self.judge()

    def judge(self) -> None:
        for now, action in self.stage.recorded_actions[self.seen :]:
            if isinstance(action, SetTimer):
                self.timers.append((action.due_ms, action.token))
            elif isinstance(action, SetUp):
                call = self.owed[action.call]
                assert not call.final, "sent after its end"
                assert call.out is None, "two attempts out"
                assert now >= call.released, "release not awaited"
                assert action.exchange not in self.barred, "sent to a leaving exchange"
                assert call.attempts < SETTINGS.max_attempts
                assert not call.transit or action.exchange[3] == call.number
                assert self.pools or action.exchange != exchange(0)
                call.out, call.attempts = action.exchange, call.attempts + 1
                call.out_until = min(now + action.timeout_ms if action.timeout_ms else call.due, call.due)
                if action.exchange in self.cold:
                    self.cold[action.exchange].append(now)
                    recent = [t for t in self.cold[action.exchange] if t > now - SETTINGS.overload_window_ms]
                    assert len(recent) <= 3, "a cold exchange is pushed"
            elif isinstance(action, Refuse | FailCall):
                call = self.owed[action.call]
                assert not call.final, "two final answers"
                assert call.out is None and now <= call.due + 20
                call.final = True
        self.seen = len(self.stage.recorded_actions)

    def step(self) -> None:
        rng, stage = self.rng, self.stage
        if rng.random() < 0.02:
            self.stall()
        else:
            stage.now += rng.choice((0.0, 5.0, 5.0, 20.0, 60.0))
        for timer in sorted(t for t in self.timers if t[0] <= stage.now):
            self.timers.remove(timer)
            stage.give(TimerFired(timer[1]))
            self.judge()
        for name, call in list(self.owed.items()):
            if call.final:
                continue
            if call.out and (stage.now >= call.out_until or rng.random() < 0.2):
                self.end(name, call, stage.now >= call.out_until)
                self.judge()
            assert call.final or call.out or stage.now <= call.due + 20, "no answer in time"
        chance = rng.random()
        if chance < 0.5:
            self.offer()
        elif chance < 0.7:
            n = rng.randint(1, self.others)
            stage.give(Report(exchange(n), False, True, 0.0, (float(rng.randint(0, 12)), 20.0, -1.0)))
        elif chance < 0.8:
            figures = (9.0, 20.0, rng.random())
            stage.give(Report(exchange(rng.randint(0, self.others)), True, rng.random() < 0.8, 30.0, figures))
        elif chance < 0.84:
            self.news()
        elif chance < 0.9:
            self.message()
        elif chance < 0.92 and self.owed:
            name = rng.choice(list(self.owed))
            if not self.owed[name].out:
                self.owed[name].final = True
                stage.give(CallAbandoned(name))
        self.judge()

    def stall(self) -> None:
        """Two seconds without a turn: callers whose time ran out meanwhile have left when it is back."""
        self.stage.now += 2000.0
        self.stage.timer_times.clear()
        for name, call in self.owed.items():
            if not call.final and call.due < self.stage.now:
                call.final = True
                self.stage.give(CallAbandoned(name))
                self.judge()

    def message(self) -> None:
        number, kind = self.rng.randint(0, self.others), self.rng.choice((b"?", b"!", b"#"))
        payload = struct.pack(">cH", kind, number) + self.rng.randbytes(self.rng.choice((0, 3, 30, 31)))
        self.stage.give(PeerMessage(self.rng.randint(0, self.others + 3), payload))

    def offer(self) -> None:
        rng, stage = self.rng, self.stage
        name, number = stage.next_call + 1, rng.randint(0, self.others)
        transit, budget = not self.pools and rng.random() < 0.2, rng.choice((40.0, 400.0, 3000.0, 9000.0))
        self.owed[name] = Owed(number, stage.now + budget, transit)
        kind = rng.randint(0, 1)
        stage.call(number, SETTINGS.classes[kind].width, budget, transit, kind)

    def news(self) -> None:
        number = self.rng.randint(1, self.others)
        health = self.rng.choice((Health.READY, Health.DRAINING, Health.REMOVED))
        came_up = self.stage.now if health is Health.READY else 0.0
        self.barred.discard(exchange(number))
        self.cold.pop(exchange(number), None)
        if health is Health.READY:
            self.cold[exchange(number)] = []
        else:
            self.barred.add(exchange(number))
        self.stage.give(ExchangeList(ListKind.CHANGES, (list_entry(number, health, came_up),)))

    def end(self, name: int, call: Owed, timed_out: bool) -> None:
        rng, stage, at, go = self.rng, self.stage, call.out, call.attempts - 1
        assert at is not None
        ending = AttemptOutcome.TIMED_OUT if timed_out else rng.choice(
            (
                None, AttemptOutcome.TURNED_BACK, AttemptOutcome.UNREACHABLE, AttemptOutcome.CUT,
                AttemptOutcome.NOT_SENT, AttemptOutcome.ERROR,
            )
        )  # fmt: skip
        call.out = None
        if ending is None:
            call.final = True
            stage.give(CallEstablished(name, at, go, 80.0))
            return
        if ending in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CUT):
            call.released = stage.now + SETTINGS.release_wait_ms
        reason = RejectionReason.NONE
        if ending is AttemptOutcome.TURNED_BACK:
            reason = rng.choice(
                (RejectionReason.NO_CIRCUIT, RejectionReason.TANDEM, RejectionReason.PROCESSOR_FULL)
            )
        elif ending is AttemptOutcome.NOT_SENT:
            reason = rng.choice((RejectionReason.NO_CIRCUIT, RejectionReason.PROCESSOR_FULL))
        stage.give(AttemptEnded(name, at, go, ending, False, 80.0, reason))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.booleans(), st.sampled_from((2, 4, 30)))
def test_the_five_rules_hold_on_random_days(seed: int, pools: bool, others: int) -> None:
    play = Play(seed, pools, others)
    for _ in range(250):
        play.step()
    assert play.seen > 20


def test_the_same_events_lead_to_the_same_actions() -> None:
    def played() -> list[object]:
        play = Play(11, False)
        for _ in range(300):
            play.step()
        return list(play.stage.recorded_actions)

    assert played() == played()
