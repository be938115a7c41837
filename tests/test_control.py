"""The decision module on its own: the mechanism, the five rules, and one test for each defence."""

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


def survivors(second_choice: bool) -> Counter[int]:
    """Calls kept of 20, 50 and 30 in a hundred offered first over tandems A, B and C (1, 2, 3) towards 4."""
    kept: Counter[int] = Counter()
    for first, offered in ((1, 20), (2, 50), (3, 30)):
        stage = SoftswitchHarness(EVEN, free_circuits=0, seed=first)
        for n, share in ((1, 0.1), (2, 0.2), (3, 0.4)):
            room = 90 if n == first else 40 if n == 1 and second_choice else 0
            stage.circuits(n, room, share)
        stage.circuits(4, 0, 0.3)
        for k in range(N * offered // 100):
            call, actions = stage.call(4)
            for action in actions:
                if isinstance(action, SetUp):
                    kept[action.exchange[3]] += 1
                    stage.give(CallEstablished(call, action.exchange, 0, 50.0))
            if k % 20 == 0:
                stage.give(CallAbandoned(call))
            stage.circuits(first, 90, {1: 0.1, 2: 0.2, 3: 0.4}[first])
            if first != 1 and second_choice:
                stage.circuits(1, 40, 0.1)
    return kept


def test_thinning_matches_the_worked_figures() -> None:
    kept = survivors(second_choice=True)
    per_cent = [100 * kept[n] / N for n in (1, 2, 3)]
    assert per_cent[0] == pytest.approx(17, abs=1.2)
    assert per_cent[1] == pytest.approx(35, abs=1.2)
    assert per_cent[2] == pytest.approx(18, abs=1.2)
    assert sum(per_cent) == pytest.approx(70, abs=2)


def test_thinning_without_a_second_tandem() -> None:
    kept = survivors(second_choice=False)
    assert [100 * kept[n] / N for n in (1, 2, 3)] == pytest.approx([14, 35, 18], abs=1.2)


def test_direct_first_then_the_freest_first_leg() -> None:
    stage = SoftswitchHarness()
    call, _ = stage.call(1)
    assert stage.sent(call) == [exchange(1)]
    stage.circuits(1, 0)
    stage.circuits(3, 60)
    stage.circuits(2, 40)
    stage.circuits(4, 50)
    call, _ = stage.call(1)
    assert stage.sent(call) == [exchange(3)]


def test_transit_goes_on_or_is_turned_back() -> None:
    stage = SoftswitchHarness()
    call, _ = stage.call(2, transit=True)
    assert stage.sent(call) == [exchange(2)]
    stage.circuits(2, 0)
    call, actions = stage.call(2, transit=True)
    assert any(isinstance(a, Refuse) and a.call == call for a in actions)


def test_transit_is_not_thinned_again() -> None:
    stage = SoftswitchHarness(EVEN)
    stage.circuits(2, 100, 0.9)
    calls = []
    for _ in range(20):
        call, _ = stage.call(2, transit=True)
        stage.give(CallEstablished(call, exchange(2), 0, 50.0))
        calls.append(call)
    assert all(len(stage.sent(c)) == 1 for c in calls)


def test_rule_one_every_call_is_answered_once_and_in_time() -> None:
    stage = SoftswitchHarness(free_circuits=0)
    call, _ = stage.call(1, budget_ms=900.0)
    begun = stage.now
    for _ in range(40):
        stage.give(TimerFired(0), 25.0)
    assert stage.answers(call) == 1
    (at,) = (t for t, a in stage.recorded_actions if isinstance(a, Refuse) and a.call == call)
    assert at <= begun + 900.0
    stage.circuits(1, 50)
    assert stage.sent(call) == []


def test_rule_one_a_call_for_the_own_number_is_answered_once_and_never_sent_home() -> None:
    stage = SoftswitchHarness(free_circuits=0)
    call, _ = stage.call(0)
    stage.give(TimerFired(0), 4000.0)
    assert stage.answers(call) == 1 and not stage.sent(call)


def test_rule_two_nothing_is_sent_while_an_attempt_is_out() -> None:
    stage = SoftswitchHarness()
    call, _ = stage.call(1)
    for n in (1, 2, 3, 4):
        stage.circuits(n, 90)
        stage.give(TimerFired(0), 100.0)
    assert len(stage.sent(call)) == 1


@pytest.mark.parametrize("health", [Health.DRAINING, Health.REMOVED])
def test_rule_three_nothing_goes_to_a_leaving_exchange(health: Health) -> None:
    stage = SoftswitchHarness()
    stage.give(ExchangeList(ListKind.CHANGES, (list_entry(1, health),)))
    calls = [stage.call(1)[0] for _ in range(5)]
    assert all(exchange(1) not in stage.sent(c) for c in calls)


def test_rule_three_an_exchange_left_out_of_a_whole_list_is_gone() -> None:
    stage = SoftswitchHarness()
    stage.give(ExchangeList(ListKind.FULL, tuple(list_entry(n) for n in (0, 2, 3, 4))))
    call, _ = stage.call(1)
    assert not stage.sent(call)


def test_rule_four_a_cold_exchange_is_paced_and_no_tandem() -> None:
    stage = SoftswitchHarness()
    stage.give(ExchangeList(ListKind.CHANGES, (list_entry(1, started_ms=stage.now),)))
    calls = [stage.call(1)[0] for _ in range(20)]
    assert sum(len(stage.sent(c)) for c in calls) <= 1
    stage.circuits(2, 0)
    over, _ = stage.call(2)
    assert exchange(1) not in stage.sent(over)


def test_rule_five_the_release_is_awaited() -> None:
    stage = SoftswitchHarness()
    stage.circuits(1, 0)
    stage.circuits(2, 90)
    call, _ = stage.call(1)
    assert stage.sent(call) == [exchange(2)]
    stage.give(AttemptEnded(call, exchange(2), 0, AttemptOutcome.CUT, False, 100.0), 100.0)
    told = stage.now
    for _ in range(30):
        stage.circuits(3, 90)
        stage.give(TimerFired(0), 50.0)
    times = [t for t, a in stage.recorded_actions if isinstance(a, SetUp) and a.call == call]
    assert len(times) == 2 and times[1] >= told + SETTINGS.release_wait_ms


def test_the_attempt_limit_ends_in_an_answer() -> None:
    stage = SoftswitchHarness(replace(SETTINGS, max_attempts=2))
    call, _ = stage.call(1)
    for go in range(2):
        stage.give(
            AttemptEnded(
                call, exchange(1), go, AttemptOutcome.NOT_SENT, False, 0.0, RejectionReason.NO_CIRCUIT
            )
        )
    assert len(stage.sent(call)) == 2 and stage.answers(call) == 1


def test_a_single_shot_call_is_neither_sent_again_nor_refused() -> None:
    kinds = (replace(SETTINGS.classes[0], retry_policy=RetryPolicy.SINGLE_SHOT),)
    stage = SoftswitchHarness(replace(SETTINGS, classes=kinds))
    call, _ = stage.call(1)
    actions = stage.give(AttemptEnded(call, exchange(1), 0, AttemptOutcome.TIMED_OUT, False, 900.0), 900.0)
    assert any(isinstance(a, FailCall) for a in actions) and len(stage.sent(call)) == 1


def test_a_tandem_that_turns_back_is_left_alone_for_that_destination() -> None:
    stage = SoftswitchHarness()
    stage.circuits(1, 0)
    stage.circuits(2, 99)
    call, _ = stage.call(1)
    stage.give(
        AttemptEnded(call, exchange(2), 0, AttemptOutcome.TURNED_BACK, False, 50.0, RejectionReason.TANDEM)
    )
    assert stage.sent(call) == [exchange(2), exchange(3)]
    later, _ = stage.call(1)
    assert exchange(2) not in stage.sent(later)


@pytest.mark.parametrize(("away", "paced"), [(1500.0, False), (2500.0, True)])
def test_an_exchange_that_answered_just_now_has_not_been_started_anew(away: float, paced: bool) -> None:
    stage = SoftswitchHarness(EVEN)
    first, _ = stage.call(1)
    stage.give(CallEstablished(first, exchange(1), 0, 40.0), 40.0)
    stage.give(TimerFired(0), 10.0)
    second, _ = stage.call(1)
    stage.give(AttemptEnded(second, exchange(1), 0, AttemptOutcome.CUT, False, 20.0), away)
    assert stage.switch.far[exchange(1)].died
    stage.give(CallEstablished(second, exchange(1), 0, 40.0))
    assert (stage.switch.far[exchange(1)].came_up > 0) is paced


def test_a_dead_exchange_gets_single_trials_and_comes_back_cold() -> None:
    stage = SoftswitchHarness()
    call, _ = stage.call(1)
    stage.give(AttemptEnded(call, exchange(1), 0, AttemptOutcome.UNREACHABLE, False, 10.0), 10.0)
    calls = [stage.call(1)[0] for _ in range(10)]
    assert not any(stage.sent(c) for c in calls)
    stage.give(TimerFired(0), 1000.0)
    tried = [c for c in [call, *calls] if stage.sent(c)[-1:] == [exchange(1)]]
    out = [c for c in tried if stage.switch.calls[c].out]
    assert len(out) == 1
    stage.give(CallEstablished(out[0], exchange(1), len(stage.sent(out[0])) - 1, 100.0), 100.0)
    before = sum(len(stage.sent(c)) for c in calls)
    assert sum(len(stage.sent(c)) for c in [stage.call(1)[0] for _ in range(10)]) <= 1
    assert before <= 2


def test_slow_answers_close_the_window() -> None:
    stage = SoftswitchHarness()
    for _ in range(6):
        call, _ = stage.call(1)
        stage.give(CallEstablished(call, exchange(1), 0, 60.0), 60.0)
    quick = sum(len(stage.sent(stage.call(1)[0])) for _ in range(20))
    for call in list(stage.switch.calls):
        if call in stage.switch.calls and stage.switch.calls[call].out:
            stage.give(AttemptEnded(call, exchange(1), 0, AttemptOutcome.TIMED_OUT, True, 1500.0), 400.0)
    slow = sum(len(stage.sent(stage.call(1)[0])) for _ in range(20))
    assert quick >= 4 and slow <= 2


def test_lost_probes_press_the_own_processor() -> None:
    stage = SoftswitchHarness(replace(EVEN, may_probe=True, load_reporting=LoadReporting.WHEN_PROBED))
    for _ in range(8):
        asked = [a for a in stage.give(TimerFired(0), 1000.0) if isinstance(a, Probe)]
        assert exchange(0) in [a.exchange for a in asked]
        stage.give(Report(exchange(0), True, False, 250.0))
    sent = sum(len(stage.sent(stage.call(1 + k % 4)[0])) for k in range(40))
    assert sent < 12


def test_a_worthier_class_is_thinned_less_and_the_mix_keeps_the_share() -> None:
    stage = SoftswitchHarness()
    kept: Counter[int] = Counter()
    for k in range(N):
        kind = 1 if k % 10 == 0 else 0
        stage.circuits(1, 90, 0.5)
        call, actions = stage.call(1, class_index=kind)
        if any(isinstance(a, SetUp) for a in actions):
            kept[kind] += 1
            stage.give(CallEstablished(call, exchange(1), 0, 50.0))
        else:
            stage.give(CallAbandoned(call))
    assert kept[1] / (N / 10) > kept[0] / (N * 0.9) + 0.2
    assert (kept[0] + kept[1]) / N == pytest.approx(0.5, abs=0.04)


def test_late_redials_give_way_to_first_tries() -> None:
    stage = SoftswitchHarness(EVEN)
    kept: Counter[bool] = Counter()
    redials: list[int] = []
    for k in range(N):
        late = k % 3 == 2 and bool(redials)
        stage.circuits(1, 90, 0.5)
        called = redials.pop() if late else k + 1
        stage.now += 1.0
        actions = stage.give(CallOffered(k, 1, 0, 1, 3000.0, called_number=called))
        if any(isinstance(a, SetUp) for a in actions):
            kept[late] += 1
            stage.give(CallEstablished(k, exchange(1), 0, 50.0))
        else:
            stage.give(CallAbandoned(k), 1.0 if late else 1600.0)
            if not late:
                redials.append(called)
    assert len(redials) < N / 3
    late_tries = sum(k % 3 == 2 for k in range(N)) - 1
    assert kept[False] / (N - late_tries) > kept[True] / late_tries + 0.2


def test_callers_with_little_time_are_no_redials() -> None:
    stage = SoftswitchHarness(EVEN)
    kept: Counter[bool] = Counter()
    for k in range(N):
        hurried = k % 2 == 0
        stage.circuits(1, 90, 0.5)
        actions = stage.give(CallOffered(k, 1, 0, 1, 500.0 if hurried else 3000.0, called_number=k + 1))
        if any(isinstance(a, SetUp) for a in actions):
            kept[hurried] += 1
            stage.give(CallEstablished(k, exchange(1), 0, 50.0))
        else:
            stage.give(CallAbandoned(k))
    assert kept[True] == pytest.approx(kept[False], rel=0.1)


def test_a_list_on_request_is_followed_and_asked_for_again() -> None:
    stage = SoftswitchHarness(replace(SETTINGS, list_on_request=True))
    for _ in range(30):
        stage.give(TimerFired(0), 100.0)
    assert sum(isinstance(a, WatchList) for _, a in stage.recorded_actions) == 1
    stage.give(ExchangeList(ListKind.FAILED))
    before = len(stage.recorded_actions)
    for _ in range(30):
        stage.give(TimerFired(0), 100.0)
    assert any(isinstance(a, WatchList) for _, a in stage.recorded_actions[before:])


def test_pools_try_the_first_choice_then_the_freest_able_pool() -> None:
    kinds = (replace(SETTINGS.classes[0], pools=(1, 2, 3)),)
    stage = SoftswitchHarness(replace(SETTINGS, mesh=False, own_number=-1, classes=kinds))
    stage.circuits(3, 99)
    stage.circuits(4, 100)
    call, _ = stage.call(1)
    stage.give(
        AttemptEnded(call, exchange(1), 0, AttemptOutcome.TURNED_BACK, False, 9.0, RejectionReason.NO_CIRCUIT)
    )
    assert stage.sent(call) == [exchange(1), exchange(3)]


def test_events_that_no_longer_concern_anything_do_no_harm() -> None:
    stage = SoftswitchHarness()
    stage.give(CallAbandoned(999))
    stage.give(CallAbandoned(999))
    stage.give(AttemptEnded(999, exchange(77), 0, AttemptOutcome.TIMED_OUT, True, 1.0))
    stage.give(CallEstablished(999, exchange(77), 0, 1.0))
    stage.give(Report(exchange(77), True, True, 1.0, (1.0, 2.0, 0.5)))
    stage.give(TimerFired(12345))
    call, _ = stage.call(55)
    for _ in range(20):
        stage.give(TimerFired(0), 100.0)
    assert stage.answers(call) == 1 and not stage.sent(call)


def test_timers_do_not_pile_up() -> None:
    stage = SoftswitchHarness()
    for _ in range(200):
        stage.circuits(1, 50)
    woken = stage.now / 100.0  # one wake a tick is enough, however much comes in between
    assert sum(isinstance(a, SetTimer) for _, a in stage.recorded_actions) <= woken + 1
    assert len(stage.timer_times) == 1


def test_a_report_without_known_figures_changes_nothing() -> None:
    stage = SoftswitchHarness(replace(SETTINGS, load_fields=(LoadField.UNKNOWN,)))
    stage.give(Report(exchange(1), False, True, 0.0, (3.0,)))
    stage.give(CallOffered(1, 1, 0, 1, 3000.0))
    assert stage.sent(1) == [exchange(1)]


def test_a_held_call_that_cannot_stand_in_time_is_not_sent() -> None:
    stage = SoftswitchHarness(EVEN)
    for _ in range(8):
        call, _ = stage.call(1)
        stage.give(CallEstablished(call, exchange(1), 0, 450.0), 450.0)
    stage.circuits(1, 0)
    for n in (2, 3, 4):
        stage.circuits(n, 0)
    call, _ = stage.call(1)
    stage.give(CallOffered(9000, 2, 0, 1, 3000.0), 1200.0)
    stage.circuits(1, 50)
    assert not stage.sent(call)
    fresh, _ = stage.call(1)
    assert stage.sent(fresh) == [exchange(1)]


def test_calls_wait_while_the_own_processor_is_down() -> None:
    stage = SoftswitchHarness()
    call, _ = stage.call(1)
    stage.give(
        AttemptEnded(
            call, exchange(1), 0, AttemptOutcome.NOT_SENT, False, 0.0, RejectionReason.PROCESSOR_FULL
        )
    )
    other, _ = stage.call(2)
    assert not stage.sent(other) and len(stage.sent(call)) == 1
    stage.give(TimerFired(0), 1100.0)
    assert stage.sent(other) == [exchange(2)]


def test_the_pace_of_a_returned_exchange_does_not_fade_while_it_is_away() -> None:
    stage = SoftswitchHarness(EVEN)
    stage.give(ExchangeList(ListKind.CHANGES, (list_entry(1, Health.REMOVED),)))
    for _ in range(100):
        stage.call(1)
        stage.give(TimerFired(0), 200.0)
    stage.give(ExchangeList(ListKind.CHANGES, (list_entry(1, started_ms=stage.now),)))
    before = len(stage.recorded_actions)
    for _ in range(25):
        stage.call(1)
        for call in [c for c in stage.switch.calls.values() if c.out]:
            stage.give(CallEstablished(call.id, exchange(1), 0, 60.0))
        stage.give(TimerFired(0), 200.0)
    sent = sum(isinstance(a, SetUp) for _, a in stage.recorded_actions[before:])
    assert 6 <= sent <= 20


def test_an_advised_or_lately_stood_tandem_goes_before_a_freer_first_leg() -> None:
    stage = SoftswitchHarness()
    stage.circuits(1, 0)
    stage.circuits(2, 90)
    stage.give(CallOffered(8000, 1, 0, 1, 3000.0, advised_number=3))
    assert stage.sent(8000) == [exchange(3)]
    stage.give(CallEstablished(8000, exchange(3), 0, 80.0), 80.0)
    call, _ = stage.call(1)
    assert stage.sent(call) == [exchange(3)]
    stage.give(CallEstablished(call, exchange(3), 0, 80.0), 20000.0)
    other, _ = stage.call(4, width=1)
    stage.circuits(4, 0)
    over, _ = stage.call(4)
    assert stage.sent(other) == [exchange(4)] and stage.sent(over) == [exchange(2)]


def test_room_on_a_first_leg_is_kept_from_calls_that_have_a_group_of_their_own() -> None:
    stage = SoftswitchHarness(other_exchanges=3, free_circuits=0)
    stage.circuits(2, 9)
    call, _ = stage.call(1)
    assert not stage.sent(call)
    stage.give(Report(exchange(3), False, True, 0.0, (0.0, 0.0, -1.0)))
    apart, _ = stage.call(3)
    assert stage.sent(apart) == [exchange(2)]


MESSAGING = replace(SETTINGS, may_message=True, softswitch_count=5)


def answer(number: int, *legs: tuple[int, int]) -> bytes:
    return struct.pack(">cH", b"!", number) + b"".join(struct.pack(">HB", *leg) for leg in legs)


def test_a_blocked_call_asks_its_destination_which_second_legs_have_room() -> None:
    stage = SoftswitchHarness(MESSAGING)
    stage.circuits(1, 0)
    stage.circuits(2, 90)
    call, actions = stage.call(1)
    assert [a.receiver for a in actions if isinstance(a, SendPeerMessage)] == [1] and not stage.sent(call)
    stage.give(PeerMessage(1, answer(1, (2, 0), (3, 1), (4, 7))), 20.0)
    assert stage.sent(call) in ([exchange(3)], [exchange(4)])
    wide, actions = stage.call(1, width=4)
    assert stage.sent(wide) == [exchange(4)] and not any(isinstance(a, SendPeerMessage) for a in actions)


def test_a_question_is_answered_with_the_own_groups() -> None:
    stage = SoftswitchHarness(MESSAGING)
    stage.circuits(2, 7)
    (told,) = stage.give(PeerMessage(3, struct.pack(">cH", b"?", 0)))
    assert isinstance(told, SendPeerMessage) and told.receiver == 3 and len(told.payload) <= 256
    assert (2, 7) in struct.iter_unpack(">HB", told.payload[3:])


def test_lost_messages_hold_no_call_for_long_and_at_last_not_at_all() -> None:
    stage = SoftswitchHarness(MESSAGING)
    stage.circuits(1, 0)
    waited = []
    for _ in range(4):
        begun = stage.now
        call, _ = stage.call(1)
        while not stage.sent(call):
            stage.give(TimerFired(0), 50.0)
        waited.append(stage.now - begun)
        stage.give(CallEstablished(call, stage.sent(call)[0], 0, 60.0), 4000.0)
    assert max(waited) <= 250.0 and waited[-1] == 0.0


@pytest.mark.parametrize(
    "payload",
    [b"", b"!", b"?\0", b"!\0\1\2", b"x\0\1", answer(77, (1, 1)), b"\xff" * 256, struct.pack(">cH", b"?", 9)],
)
def test_messages_of_no_known_form_are_ignored(payload: bytes) -> None:
    stage = SoftswitchHarness(MESSAGING)
    assert stage.give(PeerMessage(1, payload)) == []
    assert stage.give(PeerMessage(60000, answer(1, (2, 9)))) == []
    assert not stage.switch.far[exchange(1)].legs
    stage.give(PeerMessage(1, answer(1, (2, 9))))
    stage.give(PeerMessage(1, answer(1, (2, 9))))
    call, _ = stage.call(1)
    assert stage.sent(call) == [exchange(1)]


def test_after_a_standstill_old_answers_say_nothing_of_far_ends_and_calls_keep_their_age() -> None:
    stage = SoftswitchHarness(EVEN)
    calls = []
    for k in range(6):
        stage.give(CallOffered(7000 + k, 1, 0, 1, 3000.0, called_number=7000 + k), 30.0)
        calls.append(7000 + k)
    stage.timer_times.clear()  # no turn for two seconds
    for call in calls:
        if stage.sent(call):
            stage.give(CallEstablished(call, exchange(1), 0, 2000.0), 2000.0 if call == calls[0] else 0.0)
    fresh = [stage.call(1)[0] for _ in range(3)]
    assert all(stage.sent(call) for call in fresh)
    stage.circuits(2, 0)
    for n in (1, 3, 4):
        stage.circuits(n, 0)
    stage.timer_times.clear()
    stage.give(
        CallOffered(7100, 2, 0, 1, 1700.0, called_number=7100), 2000.0
    )  # 1,300 of its 1,500 ms are gone
    for _ in range(7):
        stage.give(TimerFired(0), 50.0)
    assert stage.answers(7100) == 1


def test_two_leg_calls_are_thinned_while_most_of_them_fail() -> None:
    stage = SoftswitchHarness(EVEN)

    def over(number: int, stands: bool) -> bool:
        stage.circuits(number, 0)
        for n in (1, 2, 3, 4):
            if n != number:
                stage.circuits(n, 90)
                stage.switch.far[exchange(n)].no_way.clear()
        call, _ = stage.call(number)
        at = stage.sent(call)
        if at and stands:
            stage.give(CallEstablished(call, at[0], 0, 60.0), 20.0)
        for go in range(SETTINGS.max_attempts):
            if call in stage.switch.calls and len(stage.sent(call)) > go:
                to = stage.sent(call)[go]
                stage.give(
                    AttemptEnded(
                        call, to, go, AttemptOutcome.TURNED_BACK, False, 60.0, RejectionReason.TANDEM
                    ),
                    20.0,
                )
        stage.give(CallAbandoned(call))
        return bool(at)

    well = [over(1, True) for _ in range(60)]
    ill = [over(1, False) for _ in range(200)][100:]
    assert all(well) and 1 <= sum(ill) < 60


@pytest.mark.parametrize("size", [3, 70])
def test_rule_four_all_softswitches_together_spare_a_cold_exchange(size: int) -> None:
    """Each sends what it may at most: calls for the cold exchange are always waiting at every softswitch."""
    stages = [
        SoftswitchHarness(replace(EVEN, own_number=0, softswitch_count=size), seed=k) for k in range(size)
    ]
    sent: list[float] = []
    for stage in stages:
        stage.give(ExchangeList(ListKind.CHANGES, (list_entry(1, started_ms=stage.now),)))
        begun, seen = stage.now, len(stage.recorded_actions)
        for k in range(60):
            if k % size == 0 or k == 0:  # as many calls for it in all, whatever the number of softswitches
                stage.call(1)
            stage.give(TimerFired(0), 100.0)
        sent += [at - begun for at, a in stage.recorded_actions[seen:] if isinstance(a, SetUp)]
    quarter = max(sum(begin <= t < begin + 250 for t in sent) for begin in range(0, 5000, 50))
    assert sent and quarter <= (3 if size == 3 else size / 3)
    assert len(sent) <= (30 if size == 3 else size)


def test_a_call_home_goes_over_a_tandem_while_the_callers_own_exchange_starts() -> None:
    """Handed over here, and for a subscriber of this very exchange: a send to the own exchange is a fault."""
    stage = SoftswitchHarness()
    stage.circuits(2, 90)
    call, _ = stage.call(0)
    assert stage.sent(call) == [exchange(2)], "the freest first leg"
    # turned back there, it tries another one; never the own exchange
    stage.give(
        AttemptEnded(call, exchange(2), 0, AttemptOutcome.TURNED_BACK, False, 20.0, RejectionReason.TANDEM)
    )
    assert len(stage.sent(call)) == 2 and exchange(0) not in stage.sent(call)
    # nothing is free: held as any blocked call, and refused at its aim with the time to come back
    for n in range(1, 5):
        stage.circuits(n, 0)
    held, actions = stage.call(0)
    assert not stage.sent(held) and not stage.answers(held)
    stage.give(TimerFired(0), 1600.0)
    assert stage.answers(held) == 1 and not stage.sent(held)
    # in transit it may go to its destination alone, which is no other exchange: refused at once
    moving, actions = stage.call(0, transit=True)
    assert any(isinstance(action, Refuse) for action in actions) and not stage.sent(moving)
    # the own processor is down: a set-up from here would not leave
    stage.circuits(2, 90)
    down, _ = stage.call(2)
    stage.give(
        AttemptEnded(
            down, exchange(2), 0, AttemptOutcome.NOT_SENT, False, 0.0, RejectionReason.PROCESSOR_FULL
        )
    )
    later, _ = stage.call(0)
    assert not stage.sent(later)
