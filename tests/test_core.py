"""The core without any wire: the guard's rules, contracts, and answers that are never left out."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from badgerstile.interface import (
    AttemptOutcome,
    ExchangeEntry,
    ExchangeList,
    Health,
    ListKind,
    RejectionReason,
)
from badgerstile.wire import read_settings
from landingdeal.clock import now_ms
from landingdeal.core.broker import INBOX_MOST, SECOND_ANSWER_MS, Broker, Inbox
from landingdeal.core.contracts import Contract, Contracts
from landingdeal.core.events import (
    Attempt,
    Ended,
    GroupState,
    HubReleased,
    News,
    Offer,
    Stood,
    Stop,
    Why,
    Withdrawn,
)
from landingdeal.core.exchange import Exchange
from landingdeal.core.guard import Guard
from tests.scenario import SETTINGS

SET = read_settings(json.dumps(SETTINGS).encode())
HUB = b"hub1"


class Caller:
    def __init__(self, there: bool = True) -> None:
        self.told: list[object] = []
        self.there = there

    @property
    def origin(self) -> object:
        return self

    def reachable(self) -> bool:
        return self.there

    def answer(self, description: bytes) -> None:
        self.told.append(description)

    def refuse(self, come_back_ms: float, why: Why) -> None:
        self.told.append(why)

    def release(self, cause: int) -> None:
        self.told.append(cause)


class Hubs:
    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.done: list[str] = []
        self.mute = False

    def set_up(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> bool:
        self.done.append("cancel")
        return self.mute

    def release(self, hub: bytes, call: str) -> None:
        self.done.append("release")

    def probe(self, hub: bytes, deadline_ms: float) -> None:
        self.done.append("probe")


class Stage:
    def __init__(self, contracts: tuple[Contract, ...] = ()) -> None:
        self.hubs, self.caller, self.inbox = Hubs(), Caller(), Inbox()
        self.released: list[str] = []
        self.broker = Broker(
            SET, 1, self.inbox, self.hubs, lambda call, _: self.released.append(call), Contracts(contracts)
        )
        self.give(News(ExchangeList(ListKind.CACHED, (ExchangeEntry(HUB, 1, Health.READY, 0.0),))))
        self.give(GroupState(HUB, (40.0, 40.0, -1.0, -1.0)))

    def give(self, *events: object) -> None:
        for event in events:
            self.inbox.tell(event)  # type: ignore[arg-type]
        self.broker.turn()

    def offer(self, call: str = "a", patience: float = 4000.0, team: str = "", kind: str = "voice") -> Offer:
        made = Offer(call, f"sip:{call}@net", kind, 1, now_ms() + patience, b"body", self.caller, team=team)
        self.give(made)
        return made


def test_a_call_stands_and_its_release_is_told_once() -> None:
    stage = Stage()
    stage.offer()
    stage.give(Stood(stage.hubs.sent[0], b"theirs"))
    stage.give(HubReleased("a", HUB, 16), HubReleased("a", HUB, 16))
    assert stage.caller.told == [b"theirs", 16]
    assert stage.released == ["a"]  # of a call not known here: told on any connection


@pytest.mark.parametrize(
    ("ending", "reason", "why"),
    [
        (AttemptOutcome.TURNED_BACK, RejectionReason.PROCESSOR_FULL, Why.TURNED_AWAY),
        (AttemptOutcome.ERROR, RejectionReason.LINES_BUSY, Why.BUSY),
    ],
)
def test_a_given_up_call_is_refused_at_once(
    ending: AttemptOutcome, reason: RejectionReason, why: Why
) -> None:
    stage = Stage()
    stage.offer()
    stage.give(Ended(stage.hubs.sent[0], ending, reason), Ended(stage.hubs.sent[0], ending, reason))
    assert stage.caller.told == [why]
    assert not stage.broker.open and not stage.broker.by_number


def test_an_answer_after_the_caller_left_is_released() -> None:
    stage = Stage()
    stage.offer()
    stage.give(Withdrawn("a", stage.caller))
    stage.give(Stood(stage.hubs.sent[0], b"late"))
    assert stage.caller.told == []
    assert stage.hubs.done == ["cancel", "release"]


@pytest.mark.parametrize("there", [True, False])
def test_a_call_is_taken_over_only_if_its_first_connection_is_gone(there: bool) -> None:
    stage = Stage()
    stage.caller = Caller(there)
    first, second = stage.offer(), Caller()
    stage.give(replace(first, caller=second))
    stage.give(Stood(stage.hubs.sent[0], b"theirs"))
    assert len(stage.hubs.sent) == 1
    answered: list[object] = [b"theirs"]
    assert second.told == ([Why.FAILED] if there else answered)
    assert stage.caller.told == (answered if there else [])


def test_another_set_up_under_the_id_of_an_open_or_standing_call_is_refused_and_can_not_end_it() -> None:
    stage, thief = Stage(), Caller()
    stage.caller = Caller(there=False)
    other = replace(stage.offer(), caller=thief, description=b"another")
    stage.give(other, Withdrawn("a", thief))
    stage.give(Stood(stage.hubs.sent[0], b"theirs"))
    stage.give(other, Withdrawn("a", thief))
    assert thief.told == [Why.FAILED, Why.FAILED]
    assert stage.caller.told == [b"theirs"] and stage.hubs.done == [] and "a" in stage.broker.standing


def test_a_number_that_no_hub_ever_had_is_refused_and_leaves_nothing_behind() -> None:
    stage = Stage()
    stage.give(Offer("a", "sip:a@net", "voice", 99, now_ms() + 4000, b"body", stage.caller))
    assert stage.caller.told == [Why.FAILED]
    assert not stage.broker.switch.offered_rates and not stage.broker.open


def test_a_later_start_of_its_process_ends_what_stood_at_a_hub() -> None:
    stage = Stage()
    stage.offer()
    stage.give(Stood(stage.hubs.sent[0], b"theirs"))
    for came_up, told in ((now_ms() - 60000, [b"theirs"]), (now_ms() + 1, [b"theirs", 41])):
        stage.give(News(ExchangeList(ListKind.CHANGES, (ExchangeEntry(HUB, 1, Health.READY, came_up),))))
        assert stage.caller.told == told


def test_after_the_stop_all_is_answered_before_the_kill() -> None:
    stage = Stage()
    stage.offer(patience=9000.0)
    stage.give(Stop(stage.broker.now))
    life = stage.broker.life
    life.core_looks(1, 0, now_ms() + life.times.takes)
    assert stage.caller.told == [] and life.core_runs and life.due_ms - now_ms() < 3700
    life.stop_ms -= life.times.answers  # that much later
    stage.broker.turn()
    assert stage.caller.told == [Why.TURNED_AWAY] and not stage.broker.open and not life.core_runs


@pytest.mark.parametrize("mute", [True, False])
def test_a_mute_connection_is_no_slow_processor(mute: bool) -> None:
    stage = Stage()
    stage.hubs.mute = mute
    stage.offer()
    far = stage.broker.switch.exchanges[HUB]
    wide = far.window
    stage.broker._attempt_due(stage.hubs.sent[0])
    assert (far.window < wide) is not mute
    assert stage.caller.told == [] and stage.broker.open["a"].not_before > now_ms()  # rule 5 holds either way


def test_hubs_that_come_and_go_stay_in_no_table() -> None:
    stage = Stage()
    for number in range(500):
        name = f"s-{number}".encode()
        for health in (Health.READY, Health.REMOVED):
            stage.give(News(ExchangeList(ListKind.CHANGES, (ExchangeEntry(name, 1, health, 0.0),))))
    assert len(stage.broker.guard.hubs) < 50 and len(stage.broker.switch.exchanges) < 50


def test_an_exception_in_the_module_leaves_no_caller_unanswered(capsys: pytest.CaptureFixture[str]) -> None:
    stage = Stage()

    def fails(*_: object) -> list[object]:
        raise RuntimeError("on purpose")

    stage.broker.switch.handle = fails  # type: ignore[assignment,method-assign]
    stage.offer()
    assert stage.caller.told == [Why.FAILED]
    assert "on purpose" in capsys.readouterr().err


def test_at_the_last_moment_the_core_answers_by_itself() -> None:
    stage = Stage()
    stage.broker.switch.handle = lambda event, now: []  # type: ignore[method-assign]
    stage.offer(patience=60.0)
    until = now_ms() + 5000
    while not stage.caller.told and now_ms() < until:
        stage.broker.turn()
    assert stage.caller.told == [Why.TURNED_AWAY]


def test_a_full_inbox_turns_set_ups_away() -> None:
    inbox, caller = Inbox(), Caller()
    offer = Offer("a", "sip:a@net", "voice", 1, now_ms() + 1000, b"", caller)
    for _ in range(INBOX_MOST):
        assert inbox.offer(offer)
    assert not inbox.offer(offer)
    inbox = Inbox()
    inbox.closed = True  # the core has ended
    assert not inbox.offer(offer)


def test_contracts_bound_classes_rate_and_calls_at_once() -> None:
    contract = Contract("payments", frozenset({"voice"}), per_s=2.0, at_once=3)
    kept = Contracts((contract,))
    assert kept.admit("payments", "data", "x", 0.0) == -1
    assert kept.admit("strangers", "voice", "x", 0.0) == -1
    assert [kept.admit("payments", "voice", str(n), 0.0) for n in range(3)] == [0.0, 0.0, 500.0]
    assert kept.admit("payments", "voice", "2", 500.0) == 0.0
    assert kept.admit("payments", "voice", "3", 5000.0) > 0  # three at once already
    kept.ended("2")
    assert kept.admit("payments", "voice", "3", 5000.0) == 0.0
    assert Contracts(()).admit("anyone", "data", "x", 0.0) == 0.0


def test_over_budget_is_refused_without_a_word_to_the_hub() -> None:
    stage = Stage((Contract("payments", frozenset({"voice"}), per_s=1.0, at_once=1),))
    stage.offer("a", team="payments")
    stage.offer("b", team="payments")
    stage.offer("c", team="payments", kind="data")
    stage.offer("d", team="others")
    assert len(stage.hubs.sent) == 1
    assert stage.caller.told == [Why.TURNED_AWAY, Why.FORBIDDEN, Why.FORBIDDEN]


def guarded() -> tuple[Guard, Exchange]:
    guard = Guard(SET)
    guard.news(ExchangeList(ListKind.FULL, (ExchangeEntry(HUB, 1, Health.READY, 0.0),)))
    return guard, Exchange(Offer("a", "sip:a@net", "voice", 1, 9000.0, b"", Caller()), 1)


def test_the_guard_keeps_each_rule() -> None:
    guard, exchange = guarded()
    assert guard.objection(exchange, HUB, 100.0) == ""
    exchange.not_before = 400.0
    assert "rule 5" in guard.objection(exchange, HUB, 399.0)
    exchange.attempt = Attempt(exchange.offer, 0, HUB, 100.0, 200.0)
    assert "rule 2" in guard.objection(exchange, HUB, 500.0)
    exchange.attempt = None
    for health in (Health.DRAINING, Health.REMOVED):
        guard.news(ExchangeList(ListKind.CHANGES, (ExchangeEntry(HUB, 1, health, 0.0),)))
        assert "rule 3" in guard.objection(exchange, HUB, 501.0)
    guard.news(ExchangeList(ListKind.FULL, ()))
    assert "rule 3" in guard.objection(exchange, HUB, 601.0)
    assert "rule 1" in guard.objection(exchange, HUB, 9000.0)
    exchange.withdraw()
    assert "rule 1" in guard.objection(exchange, HUB, 600.0)


def test_the_guard_keeps_a_cold_hub_within_its_budget() -> None:
    guard, exchange = guarded()
    guard.room(HUB, 30.0)
    guard.news(ExchangeList(ListKind.CHANGES, (ExchangeEntry(HUB, 1, Health.READY, 10_000.0),)))
    exchange.deadline_ms = 1e9
    sent = 0
    while not guard.objection(exchange, HUB, 10_500.0):
        guard.sent(HUB, 10_500.0)
        sent += 1
    assert 2 <= sent <= 30.0 * 2 * 0.35 / (SET.softswitch_count - 1)
    alone = Guard(replace(SET, softswitch_count=1))  # its part is the whole
    alone.hubs = guard.hubs
    assert not alone.objection(exchange, HUB, 10_500.0)
    assert not guard.objection(exchange, HUB, 11_600.0)  # a new window
    assert not guard.objection(exchange, HUB, 25_000.0)  # warm


def test_a_refusal_that_comes_twice_is_not_taken_for_the_answer_to_the_next_attempt() -> None:
    stage = Stage()
    stage.offer()
    first, broker = stage.hubs.sent[0], stage.broker
    exchange = broker.open["a"]
    stage.give(Ended(first, AttemptOutcome.NOT_SENT))
    if exchange.attempt is None:
        broker._set_up(exchange.number, HUB, 0.0)
    assert exchange.attempt is not None and len(stage.hubs.sent) == 1, "it goes out later"
    again = exchange.attempt
    assert again.sent_ms >= broker.now + SECOND_ANSWER_MS - 1
    until = now_ms() + 5000
    while len(stage.hubs.sent) == 1 and now_ms() < until:
        broker.turn()
    assert stage.hubs.sent[1] is again and now_ms() >= again.sent_ms
    stage.give(Ended(first, AttemptOutcome.NOT_SENT))  # late, and of the first
    assert exchange.attempt is again
