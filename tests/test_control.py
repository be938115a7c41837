"""Unit tests of the decision module: thinning, routing, the five rules, and each overload protection."""

from __future__ import annotations

import struct
from collections import Counter
from dataclasses import replace

import pytest

from badgerstile.interface import (
    AttemptEnded,
    AttemptOutcome,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    ExchangeList,
    FailCall,
    Health,
    ListKind,
    LoadField,
    LoadReporting,
    PeerMessage,
    Probe,
    Refuse,
    RejectionReason,
    Report,
    RetryPolicy,
    SendPeerMessage,
    SetTimer,
    SetUp,
    TimerFired,
    WatchList,
)
from tests.helpers import EVEN, SETTINGS, SoftswitchHarness, exchange, list_entry

N = 3000


def calls_admitted_by_tandem(two_tandems: bool) -> Counter[int]:
    """Calls to exchange 4 that each tandem admits, by number, of N calls offered.

    20, 50 and 30 per cent of them have tandem 1, 2 and 3 as first choice; the tandems' hold-back shares are
    0.1, 0.2 and 0.4, that of exchange 4 is 0.3. With two tandems, tandem 1 is the second choice.
    """
    admitted: Counter[int] = Counter()
    for first_choice, offered_percent in ((1, 20), (2, 50), (3, 30)):
        harness = SoftswitchHarness(EVEN, free_circuits=0, seed=first_choice)
        for number, hold_back in ((1, 0.1), (2, 0.2), (3, 0.4)):
            free_circuits = 90 if number == first_choice else 40 if number == 1 and two_tandems else 0
            harness.circuits(number, free_circuits, hold_back)
        harness.circuits(4, 0, 0.3)
        for index in range(N * offered_percent // 100):
            call, actions = harness.call(4)
            for action in actions:
                if isinstance(action, SetUp):
                    admitted[action.exchange[3]] += 1
                    harness.give(CallEstablished(call, action.exchange, 0, 50.0))
            if index % 20 == 0:
                harness.give(CallAbandoned(call))
            harness.circuits(first_choice, 90, {1: 0.1, 2: 0.2, 3: 0.4}[first_choice])
            if first_choice != 1 and two_tandems:
                harness.circuits(1, 40, 0.1)
    return admitted


def test_thinning_over_two_tandems_admits_the_calculated_shares() -> None:
    admitted = calls_admitted_by_tandem(two_tandems=True)
    admitted_percent = [100 * admitted[n] / N for n in (1, 2, 3)]
    assert admitted_percent[0] == pytest.approx(17, abs=1.2)
    assert admitted_percent[1] == pytest.approx(35, abs=1.2)
    assert admitted_percent[2] == pytest.approx(18, abs=1.2)
    assert sum(admitted_percent) == pytest.approx(70, abs=2)


def test_thinning_over_one_tandem_admits_the_calculated_shares() -> None:
    admitted = calls_admitted_by_tandem(two_tandems=False)
    assert [100 * admitted[n] / N for n in (1, 2, 3)] == pytest.approx([14, 35, 18], abs=1.2)


def test_the_direct_route_goes_before_the_tandem_with_the_freest_first_leg() -> None:
    harness = SoftswitchHarness()
    call, _ = harness.call(1)
    assert harness.sent(call) == [exchange(1)]
    harness.circuits(1, 0)
    harness.circuits(3, 60)
    harness.circuits(2, 40)
    harness.circuits(4, 50)
    call, _ = harness.call(1)
    assert harness.sent(call) == [exchange(3)]


def test_a_transit_call_is_sent_to_its_destination_or_refused() -> None:
    harness = SoftswitchHarness()
    call, _ = harness.call(2, transit=True)
    assert harness.sent(call) == [exchange(2)]
    harness.circuits(2, 0)
    call, actions = harness.call(2, transit=True)
    assert any(isinstance(a, Refuse) and a.call == call for a in actions)


def test_a_transit_call_is_not_thinned_again() -> None:
    harness = SoftswitchHarness(EVEN)
    harness.circuits(2, 100, 0.9)
    calls = []
    for _ in range(20):
        call, _ = harness.call(2, transit=True)
        harness.give(CallEstablished(call, exchange(2), 0, 50.0))
        calls.append(call)
    assert all(len(harness.sent(c)) == 1 for c in calls)


def test_rule_one_every_call_is_answered_once_and_in_time() -> None:
    harness = SoftswitchHarness(free_circuits=0)
    call, _ = harness.call(1, budget_ms=900.0)
    offered_at = harness.now
    for _ in range(40):
        harness.give(TimerFired(0), 25.0)
    assert harness.answers(call) == 1
    (refused_at,) = (t for t, a in harness.recorded_actions if isinstance(a, Refuse) and a.call == call)
    assert refused_at <= offered_at + 900.0
    harness.circuits(1, 50)
    assert harness.sent(call) == []


def test_rule_one_a_call_for_the_own_number_is_answered_once_and_never_sent_to_the_own_exchange() -> None:
    harness = SoftswitchHarness(free_circuits=0)
    call, _ = harness.call(0)
    harness.give(TimerFired(0), 4000.0)
    assert harness.answers(call) == 1 and not harness.sent(call)


def test_rule_two_no_set_up_is_sent_while_an_attempt_is_pending() -> None:
    harness = SoftswitchHarness()
    call, _ = harness.call(1)
    for n in (1, 2, 3, 4):
        harness.circuits(n, 90)
        harness.give(TimerFired(0), 100.0)
    assert len(harness.sent(call)) == 1


@pytest.mark.parametrize("health", [Health.DRAINING, Health.REMOVED])
def test_rule_three_no_set_up_goes_to_a_leaving_exchange(health: Health) -> None:
    harness = SoftswitchHarness()
    harness.give(ExchangeList(ListKind.CHANGES, (list_entry(1, health),)))
    calls = [harness.call(1)[0] for _ in range(5)]
    assert all(exchange(1) not in harness.sent(c) for c in calls)


def test_rule_three_an_exchange_missing_from_a_whole_list_is_gone() -> None:
    harness = SoftswitchHarness()
    harness.give(ExchangeList(ListKind.FULL, tuple(list_entry(n) for n in (0, 2, 3, 4))))
    call, _ = harness.call(1)
    assert not harness.sent(call)


def test_rule_four_a_cold_exchange_is_paced_and_not_used_as_tandem() -> None:
    harness = SoftswitchHarness()
    harness.give(ExchangeList(ListKind.CHANGES, (list_entry(1, started_ms=harness.now),)))
    calls = [harness.call(1)[0] for _ in range(20)]
    assert sum(len(harness.sent(c)) for c in calls) <= 1
    harness.circuits(2, 0)
    overflow_call, _ = harness.call(2)
    assert exchange(1) not in harness.sent(overflow_call)


def test_rule_five_a_call_is_not_sent_again_before_the_release_time() -> None:
    harness = SoftswitchHarness()
    harness.circuits(1, 0)
    harness.circuits(2, 90)
    call, _ = harness.call(1)
    assert harness.sent(call) == [exchange(2)]
    harness.give(AttemptEnded(call, exchange(2), 0, AttemptOutcome.CUT, False, 100.0), 100.0)
    ended_at = harness.now
    for _ in range(30):
        harness.circuits(3, 90)
        harness.give(TimerFired(0), 50.0)
    sent_at = [t for t, a in harness.recorded_actions if isinstance(a, SetUp) and a.call == call]
    assert len(sent_at) == 2 and sent_at[1] >= ended_at + SETTINGS.release_wait_ms


def test_a_call_is_answered_when_its_attempts_are_used_up() -> None:
    harness = SoftswitchHarness(replace(SETTINGS, max_attempts=2))
    call, _ = harness.call(1)
    for attempt in range(2):
        harness.give(
            AttemptEnded(
                call, exchange(1), attempt, AttemptOutcome.NOT_SENT, False, 0.0, RejectionReason.NO_CIRCUIT
            )
        )
    assert len(harness.sent(call)) == 2 and harness.answers(call) == 1


def test_a_single_shot_call_is_neither_sent_again_nor_refused() -> None:
    single_shot_classes = (replace(SETTINGS.classes[0], retry_policy=RetryPolicy.SINGLE_SHOT),)
    harness = SoftswitchHarness(replace(SETTINGS, classes=single_shot_classes))
    call, _ = harness.call(1)
    actions = harness.give(AttemptEnded(call, exchange(1), 0, AttemptOutcome.TIMED_OUT, False, 900.0), 900.0)
    assert any(isinstance(a, FailCall) for a in actions) and len(harness.sent(call)) == 1


def test_a_tandem_that_rejected_a_call_is_not_used_for_that_destination() -> None:
    harness = SoftswitchHarness()
    harness.circuits(1, 0)
    harness.circuits(2, 99)
    call, _ = harness.call(1)
    harness.give(
        AttemptEnded(call, exchange(2), 0, AttemptOutcome.TURNED_BACK, False, 50.0, RejectionReason.TANDEM)
    )
    assert harness.sent(call) == [exchange(2), exchange(3)]
    next_call, _ = harness.call(1)
    assert exchange(2) not in harness.sent(next_call)


@pytest.mark.parametrize(("since_answer_ms", "cold"), [(1500.0, False), (2500.0, True)])
def test_an_exchange_that_answered_within_a_restart_time_is_not_cold(
    since_answer_ms: float, cold: bool
) -> None:
    harness = SoftswitchHarness(EVEN)
    first, _ = harness.call(1)
    harness.give(CallEstablished(first, exchange(1), 0, 40.0), 40.0)
    harness.give(TimerFired(0), 10.0)
    second, _ = harness.call(1)
    harness.give(AttemptEnded(second, exchange(1), 0, AttemptOutcome.CUT, False, 20.0), since_answer_ms)
    assert harness.switch.exchanges[exchange(1)].failed
    harness.give(CallEstablished(second, exchange(1), 0, 40.0))
    assert (harness.switch.exchanges[exchange(1)].started_at > 0) is cold


def test_a_failed_exchange_gets_single_recovery_probes_and_is_cold_afterwards() -> None:
    harness = SoftswitchHarness()
    call, _ = harness.call(1)
    harness.give(AttemptEnded(call, exchange(1), 0, AttemptOutcome.UNREACHABLE, False, 10.0), 10.0)
    calls = [harness.call(1)[0] for _ in range(10)]
    assert not any(harness.sent(c) for c in calls)
    harness.give(TimerFired(0), 1000.0)
    retried = [c for c in [call, *calls] if harness.sent(c)[-1:] == [exchange(1)]]
    pending = [c for c in retried if harness.switch.calls[c].pending_exchange]
    assert len(pending) == 1
    harness.give(CallEstablished(pending[0], exchange(1), len(harness.sent(pending[0])) - 1, 100.0), 100.0)
    sent_before = sum(len(harness.sent(c)) for c in calls)
    assert sum(len(harness.sent(c)) for c in [harness.call(1)[0] for _ in range(10)]) <= 1
    assert sent_before <= 2


def test_slow_answers_narrow_the_window() -> None:
    harness = SoftswitchHarness()
    for _ in range(6):
        call, _ = harness.call(1)
        harness.give(CallEstablished(call, exchange(1), 0, 60.0), 60.0)
    sent_after_quick_answers = sum(len(harness.sent(harness.call(1)[0])) for _ in range(20))
    for call in list(harness.switch.calls):
        if call in harness.switch.calls and harness.switch.calls[call].pending_exchange:
            harness.give(AttemptEnded(call, exchange(1), 0, AttemptOutcome.TIMED_OUT, True, 1500.0), 400.0)
    sent_after_slow_answers = sum(len(harness.sent(harness.call(1)[0])) for _ in range(20))
    assert sent_after_quick_answers >= 4 and sent_after_slow_answers <= 2


def test_failed_probes_of_the_own_processor_shed_load() -> None:
    harness = SoftswitchHarness(replace(EVEN, may_probe=True, load_reporting=LoadReporting.WHEN_PROBED))
    for _ in range(8):
        probes = [a for a in harness.give(TimerFired(0), 1000.0) if isinstance(a, Probe)]
        assert exchange(0) in [a.exchange for a in probes]
        harness.give(Report(exchange(0), True, False, 250.0))
    sent = sum(len(harness.sent(harness.call(1 + index % 4)[0])) for index in range(40))
    assert sent < 12


def test_a_class_of_higher_worth_is_thinned_less_and_the_total_share_is_kept() -> None:
    harness = SoftswitchHarness()
    admitted: Counter[int] = Counter()
    for index in range(N):
        class_index = 1 if index % 10 == 0 else 0
        harness.circuits(1, 90, 0.5)
        call, actions = harness.call(1, class_index=class_index)
        if any(isinstance(a, SetUp) for a in actions):
            admitted[class_index] += 1
            harness.give(CallEstablished(call, exchange(1), 0, 50.0))
        else:
            harness.give(CallAbandoned(call))
    assert admitted[1] / (N / 10) > admitted[0] / (N * 0.9) + 0.2
    assert (admitted[0] + admitted[1]) / N == pytest.approx(0.5, abs=0.04)


def test_late_redials_are_thinned_before_first_tries() -> None:
    harness = SoftswitchHarness(EVEN)
    admitted: Counter[bool] = Counter()
    redials: list[int] = []
    for index in range(N):
        is_redial = index % 3 == 2 and bool(redials)
        harness.circuits(1, 90, 0.5)
        called = redials.pop() if is_redial else index + 1
        harness.now += 1.0
        actions = harness.give(CallOffered(index, 1, 0, 1, 3000.0, called_number=called))
        if any(isinstance(a, SetUp) for a in actions):
            admitted[is_redial] += 1
            harness.give(CallEstablished(index, exchange(1), 0, 50.0))
        else:
            harness.give(CallAbandoned(index), 1.0 if is_redial else 1600.0)
            if not is_redial:
                redials.append(called)
    assert len(redials) < N / 3
    redial_count = sum(index % 3 == 2 for index in range(N)) - 1
    assert admitted[False] / (N - redial_count) > admitted[True] / redial_count + 0.2


def test_callers_with_a_short_budget_do_not_count_as_redials() -> None:
    harness = SoftswitchHarness(EVEN)
    admitted: Counter[bool] = Counter()
    for index in range(N):
        short_budget = index % 2 == 0
        harness.circuits(1, 90, 0.5)
        actions = harness.give(
            CallOffered(index, 1, 0, 1, 500.0 if short_budget else 3000.0, called_number=index + 1)
        )
        if any(isinstance(a, SetUp) for a in actions):
            admitted[short_budget] += 1
            harness.give(CallEstablished(index, exchange(1), 0, 50.0))
        else:
            harness.give(CallAbandoned(index))
    assert admitted[True] == pytest.approx(admitted[False], rel=0.1)


def test_a_list_on_request_is_watched_and_requested_again_after_a_failure() -> None:
    harness = SoftswitchHarness(replace(SETTINGS, list_on_request=True))
    for _ in range(30):
        harness.give(TimerFired(0), 100.0)
    assert sum(isinstance(a, WatchList) for _, a in harness.recorded_actions) == 1
    harness.give(ExchangeList(ListKind.FAILED))
    actions_before = len(harness.recorded_actions)
    for _ in range(30):
        harness.give(TimerFired(0), 100.0)
    assert any(isinstance(a, WatchList) for _, a in harness.recorded_actions[actions_before:])


def test_pool_calls_try_the_first_choice_then_the_freest_allowed_pool() -> None:
    pool_classes = (replace(SETTINGS.classes[0], pools=(1, 2, 3)),)
    harness = SoftswitchHarness(replace(SETTINGS, mesh=False, own_number=-1, classes=pool_classes))
    harness.circuits(3, 99)
    harness.circuits(4, 100)
    call, _ = harness.call(1)
    harness.give(
        AttemptEnded(call, exchange(1), 0, AttemptOutcome.TURNED_BACK, False, 9.0, RejectionReason.NO_CIRCUIT)
    )
    assert harness.sent(call) == [exchange(1), exchange(3)]


def test_events_for_unknown_calls_and_exchanges_are_ignored() -> None:
    harness = SoftswitchHarness()
    harness.give(CallAbandoned(999))
    harness.give(CallAbandoned(999))
    harness.give(AttemptEnded(999, exchange(77), 0, AttemptOutcome.TIMED_OUT, True, 1.0))
    harness.give(CallEstablished(999, exchange(77), 0, 1.0))
    harness.give(Report(exchange(77), True, True, 1.0, (1.0, 2.0, 0.5)))
    harness.give(TimerFired(12345))
    call, _ = harness.call(55)
    for _ in range(20):
        harness.give(TimerFired(0), 100.0)
    assert harness.answers(call) == 1 and not harness.sent(call)


def test_at_most_one_timer_is_pending() -> None:
    harness = SoftswitchHarness()
    for _ in range(200):
        harness.circuits(1, 50)
    ticks = harness.now / 100.0  # one timer a tick, however many events come between
    assert sum(isinstance(a, SetTimer) for _, a in harness.recorded_actions) <= ticks + 1
    assert len(harness.timer_times) == 1


def test_a_report_without_known_load_values_changes_nothing() -> None:
    harness = SoftswitchHarness(replace(SETTINGS, load_fields=(LoadField.UNKNOWN,)))
    harness.give(Report(exchange(1), False, True, 0.0, (3.0,)))
    harness.give(CallOffered(1, 1, 0, 1, 3000.0))
    assert harness.sent(1) == [exchange(1)]


def test_a_queued_call_that_cannot_be_established_in_time_is_not_sent() -> None:
    harness = SoftswitchHarness(EVEN)
    for _ in range(8):
        call, _ = harness.call(1)
        harness.give(CallEstablished(call, exchange(1), 0, 450.0), 450.0)
    harness.circuits(1, 0)
    for n in (2, 3, 4):
        harness.circuits(n, 0)
    call, _ = harness.call(1)
    harness.give(CallOffered(9000, 2, 0, 1, 3000.0), 1200.0)
    harness.circuits(1, 50)
    assert not harness.sent(call)
    new_call, _ = harness.call(1)
    assert harness.sent(new_call) == [exchange(1)]


def test_calls_wait_while_the_own_processor_is_down() -> None:
    harness = SoftswitchHarness()
    call, _ = harness.call(1)
    harness.give(
        AttemptEnded(
            call, exchange(1), 0, AttemptOutcome.NOT_SENT, False, 0.0, RejectionReason.PROCESSOR_FULL
        )
    )
    next_call, _ = harness.call(2)
    assert not harness.sent(next_call) and len(harness.sent(call)) == 1
    harness.give(TimerFired(0), 1100.0)
    assert harness.sent(next_call) == [exchange(2)]


def test_the_offered_rate_that_sets_the_cold_pace_is_kept_while_an_exchange_is_gone() -> None:
    harness = SoftswitchHarness(EVEN)
    harness.give(ExchangeList(ListKind.CHANGES, (list_entry(1, Health.REMOVED),)))
    for _ in range(100):
        harness.call(1)
        harness.give(TimerFired(0), 200.0)
    harness.give(ExchangeList(ListKind.CHANGES, (list_entry(1, started_ms=harness.now),)))
    actions_before = len(harness.recorded_actions)
    for _ in range(25):
        harness.call(1)
        for call in [c for c in harness.switch.calls.values() if c.pending_exchange]:
            harness.give(CallEstablished(call.id, exchange(1), 0, 60.0))
        harness.give(TimerFired(0), 200.0)
    sent = sum(isinstance(a, SetUp) for _, a in harness.recorded_actions[actions_before:])
    assert 6 <= sent <= 20


def test_an_advised_or_lately_used_tandem_goes_before_a_freer_first_leg() -> None:
    harness = SoftswitchHarness()
    harness.circuits(1, 0)
    harness.circuits(2, 90)
    harness.give(CallOffered(8000, 1, 0, 1, 3000.0, advised_number=3))
    assert harness.sent(8000) == [exchange(3)]
    harness.give(CallEstablished(8000, exchange(3), 0, 80.0), 80.0)
    call, _ = harness.call(1)
    assert harness.sent(call) == [exchange(3)]
    harness.give(CallEstablished(call, exchange(3), 0, 80.0), 20000.0)
    direct_call, _ = harness.call(4, width=1)
    harness.circuits(4, 0)
    overflow_call, _ = harness.call(4)
    assert harness.sent(direct_call) == [exchange(4)] and harness.sent(overflow_call) == [exchange(2)]


def test_the_trunk_reservation_is_kept_from_calls_that_have_a_direct_group() -> None:
    harness = SoftswitchHarness(other_exchanges=3, free_circuits=0)
    harness.circuits(2, 9)
    call, _ = harness.call(1)
    assert not harness.sent(call)
    harness.give(Report(exchange(3), False, True, 0.0, (0.0, 0.0, -1.0)))
    call_without_group, _ = harness.call(3)
    assert harness.sent(call_without_group) == [exchange(2)]


MESSAGING = replace(SETTINGS, may_message=True, softswitch_count=5)


def leg_report(number: int, *legs: tuple[int, int]) -> bytes:
    return struct.pack(">cH", b"!", number) + b"".join(struct.pack(">HB", *leg) for leg in legs)


def test_a_blocked_call_queries_its_destination_for_free_second_legs() -> None:
    harness = SoftswitchHarness(MESSAGING)
    harness.circuits(1, 0)
    harness.circuits(2, 90)
    call, actions = harness.call(1)
    assert [a.receiver for a in actions if isinstance(a, SendPeerMessage)] == [1] and not harness.sent(call)
    harness.give(PeerMessage(1, leg_report(1, (2, 0), (3, 1), (4, 7))), 20.0)
    assert harness.sent(call) in ([exchange(3)], [exchange(4)])
    wide_call, actions = harness.call(1, width=4)
    assert harness.sent(wide_call) == [exchange(4)] and not any(
        isinstance(a, SendPeerMessage) for a in actions
    )


def test_a_query_is_answered_with_the_own_trunk_groups() -> None:
    harness = SoftswitchHarness(MESSAGING)
    harness.circuits(2, 7)
    (reply,) = harness.give(PeerMessage(3, struct.pack(">cH", b"?", 0)))
    assert isinstance(reply, SendPeerMessage) and reply.receiver == 3 and len(reply.payload) <= 256
    assert (2, 7) in struct.iter_unpack(">HB", reply.payload[3:])


def test_unanswered_queries_delay_calls_briefly_and_later_not_at_all() -> None:
    harness = SoftswitchHarness(MESSAGING)
    harness.circuits(1, 0)
    delays = []
    for _ in range(4):
        offered_at = harness.now
        call, _ = harness.call(1)
        while not harness.sent(call):
            harness.give(TimerFired(0), 50.0)
        delays.append(harness.now - offered_at)
        harness.give(CallEstablished(call, harness.sent(call)[0], 0, 60.0), 4000.0)
    assert max(delays) <= 250.0 and delays[-1] == 0.0


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"!",
        b"?\0",
        b"!\0\1\2",
        b"x\0\1",
        leg_report(77, (1, 1)),
        b"\xff" * 256,
        struct.pack(">cH", b"?", 9),
    ],
)
def test_malformed_peer_messages_are_ignored(payload: bytes) -> None:
    harness = SoftswitchHarness(MESSAGING)
    assert harness.give(PeerMessage(1, payload)) == []
    assert harness.give(PeerMessage(60000, leg_report(1, (2, 9)))) == []
    assert not harness.switch.exchanges[exchange(1)].legs
    harness.give(PeerMessage(1, leg_report(1, (2, 9))))
    harness.give(PeerMessage(1, leg_report(1, (2, 9))))
    call, _ = harness.call(1)
    assert harness.sent(call) == [exchange(1)]


def test_after_a_stall_late_answers_do_not_count_and_calls_keep_their_age() -> None:
    harness = SoftswitchHarness(EVEN)
    calls = []
    for index in range(6):
        harness.give(CallOffered(7000 + index, 1, 0, 1, 3000.0, called_number=7000 + index), 30.0)
        calls.append(7000 + index)
    harness.timer_times.clear()  # the timer fires two seconds late
    for call in calls:
        if harness.sent(call):
            harness.give(CallEstablished(call, exchange(1), 0, 2000.0), 2000.0 if call == calls[0] else 0.0)
    new_calls = [harness.call(1)[0] for _ in range(3)]
    assert all(harness.sent(call) for call in new_calls)
    harness.circuits(2, 0)
    for n in (1, 3, 4):
        harness.circuits(n, 0)
    harness.timer_times.clear()
    # 1,300 ms of the call's slo of 1,500 ms have passed.
    harness.give(CallOffered(7100, 2, 0, 1, 1700.0, called_number=7100), 2000.0)
    for _ in range(7):
        harness.give(TimerFired(0), 50.0)
    assert harness.answers(7100) == 1


def test_two_leg_calls_are_thinned_while_most_of_them_fail() -> None:
    harness = SoftswitchHarness(EVEN)

    def call_over_tandem(number: int, succeeds: bool) -> bool:
        harness.circuits(number, 0)
        for n in (1, 2, 3, 4):
            if n != number:
                harness.circuits(n, 90)
                harness.switch.exchanges[exchange(n)].tandem_backoff.clear()
        call, _ = harness.call(number)
        first_sent = harness.sent(call)
        if first_sent and succeeds:
            harness.give(CallEstablished(call, first_sent[0], 0, 60.0), 20.0)
        for attempt in range(SETTINGS.max_attempts):
            if call in harness.switch.calls and len(harness.sent(call)) > attempt:
                tandem = harness.sent(call)[attempt]
                harness.give(
                    AttemptEnded(
                        call, tandem, attempt, AttemptOutcome.TURNED_BACK, False, 60.0, RejectionReason.TANDEM
                    ),
                    20.0,
                )
        harness.give(CallAbandoned(call))
        return bool(first_sent)

    sent_while_successful = [call_over_tandem(1, True) for _ in range(60)]
    sent_while_failing = [call_over_tandem(1, False) for _ in range(200)][100:]
    assert all(sent_while_successful) and 1 <= sum(sent_while_failing) < 60


@pytest.mark.parametrize("instances", [3, 70])
def test_rule_four_all_softswitches_together_pace_a_cold_exchange(instances: int) -> None:
    """Calls for the cold exchange are always queued at every softswitch: each sends as much as it may."""
    harnesses = [
        SoftswitchHarness(replace(EVEN, own_number=0, softswitch_count=instances), seed=index)
        for index in range(instances)
    ]
    sent: list[float] = []
    for harness in harnesses:
        harness.give(ExchangeList(ListKind.CHANGES, (list_entry(1, started_ms=harness.now),)))
        started_at, actions_before = harness.now, len(harness.recorded_actions)
        for index in range(60):
            # The total number of calls does not depend on the number of softswitches.
            if index % instances == 0 or index == 0:
                harness.call(1)
            harness.give(TimerFired(0), 100.0)
        sent += [
            sent_time - started_at
            for sent_time, a in harness.recorded_actions[actions_before:]
            if isinstance(a, SetUp)
        ]
    most_in_250_ms = max(sum(begin <= t < begin + 250 for t in sent) for begin in range(0, 5000, 50))
    assert sent and most_in_250_ms <= (3 if instances == 3 else instances / 3)
    assert len(sent) <= (30 if instances == 3 else instances)


def test_a_call_for_the_own_number_goes_over_a_tandem_while_the_callers_exchange_starts() -> None:
    """A call handed over here, for a subscriber of this exchange: it must not be sent to the own exchange."""
    harness = SoftswitchHarness()
    harness.circuits(2, 90)
    call, _ = harness.call(0)
    assert harness.sent(call) == [exchange(2)], "the freest first leg"
    # Rejected there, it is sent to another tandem, never to the own exchange.
    harness.give(
        AttemptEnded(call, exchange(2), 0, AttemptOutcome.TURNED_BACK, False, 20.0, RejectionReason.TANDEM)
    )
    assert len(harness.sent(call)) == 2 and exchange(0) not in harness.sent(call)
    # Without a free circuit it is queued as any blocked call, and refused at its slo.
    for n in range(1, 5):
        harness.circuits(n, 0)
    queued_call, actions = harness.call(0)
    assert not harness.sent(queued_call) and not harness.answers(queued_call)
    harness.give(TimerFired(0), 1600.0)
    assert harness.answers(queued_call) == 1 and not harness.sent(queued_call)
    # A transit call may go to its destination only, which is the own exchange: it is refused at once.
    transit_call, actions = harness.call(0, transit=True)
    assert any(isinstance(action, Refuse) for action in actions) and not harness.sent(transit_call)
    # The own processor is down: a set-up from here would not be sent.
    harness.circuits(2, 90)
    failed_call, _ = harness.call(2)
    harness.give(
        AttemptEnded(
            failed_call, exchange(2), 0, AttemptOutcome.NOT_SENT, False, 0.0, RejectionReason.PROCESSOR_FULL
        )
    )
    next_call, _ = harness.call(0)
    assert not harness.sent(next_call)
