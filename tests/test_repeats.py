"""Calls whose class forbids to run them twice: what their callers are told, and what is sent again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from badgerstile.interface import AttemptOutcome, RetryPolicy, Settings
from landingdeal.clock import now_ms
from landingdeal.core.events import (
    AttemptEstablished,
    AttemptFailed,
    CallerReleased,
    CallerStreamBroken,
    Offer,
    RefusalReason,
    SetUpCancelled,
    StopRequested,
)
from landingdeal.core.request_history import RequestHistory
from tests.rig.front import CallerHarness
from tests.scenario import PlatformHarness, play
from tests.scenario_sip import SipHarness
from tests.test_core import SET, CoreHarness

LONG_AGO_MS = 100_000.0
SHORT_PATIENCE_MS = 40.0  # little more than the core's own margin before a deadline


def settings_with(policy: RetryPolicy, repeats_discarded: bool = False) -> Settings:
    """Settings whose classes all have this effect."""
    classes = (
        replace(each, retry_policy=policy, repeats_discarded_everywhere=repeats_discarded)
        for each in SET.classes
    )
    return replace(SET, classes=tuple(classes))


def stop(harness: CoreHarness, offer: Offer) -> None:
    harness.give(StopRequested(now_ms() - LONG_AGO_MS))
    harness.broker.run_once()


def break_stream(harness: CoreHarness, offer: Offer) -> None:
    harness.give(CallerStreamBroken(offer.call_id, harness.caller))


def lose_hub(harness: CoreHarness, offer: Offer) -> None:
    harness.give(AttemptFailed(harness.hubs.sent[0], AttemptOutcome.CANCELLED))
    stop(harness, offer)


def time_out(harness: CoreHarness, offer: Offer) -> None:
    harness.broker.now = offer.deadline_ms
    harness.broker._handle(harness.hubs.sent[0])
    harness.broker._handle(offer.call_id)


def reach_deadline(harness: CoreHarness, offer: Offer) -> None:
    harness.broker.now = offer.deadline_ms
    harness.broker._handle(offer.call_id)


def fail_core(harness: CoreHarness, offer: Offer) -> None:
    def fail() -> None:
        raise RuntimeError("injected fault")

    harness.broker.run_once = fail  # type: ignore[method-assign]
    with pytest.raises(RuntimeError):
        harness.broker.run()


ENDINGS: list[Callable[[CoreHarness, Offer], None]] = [
    stop, break_stream, lose_hub, time_out, reach_deadline, fail_core
]  # fmt: skip


@pytest.mark.parametrize("end", ENDINGS)
@pytest.mark.parametrize(
    ("policy", "discarded", "harmless"),
    [
        (RetryPolicy.FREE, False, True),
        (RetryPolicy.GUARDED, True, True),
        (RetryPolicy.GUARDED, False, False),
        (RetryPolicy.SINGLE_SHOT, False, False),
        (RetryPolicy.SINGLE_SHOT, True, False),
    ],
)
def test_a_retry_is_invited_only_where_the_class_allows_it_while_an_attempt_is_out(
    end: Callable[[CoreHarness, Offer], None], policy: RetryPolicy, discarded: bool, harmless: bool
) -> None:
    harness = CoreHarness(settings=settings_with(policy, discarded))
    offer = harness.offer()
    assert len(harness.hubs.sent) == 1
    end(harness, offer)
    (reason,) = harness.caller.received
    assert isinstance(reason, RefusalReason) and reason.invites_retry is harmless


@pytest.mark.parametrize("end", ENDINGS)
def test_a_retry_is_invited_after_an_attempt_of_which_nothing_was_sent(
    end: Callable[[CoreHarness, Offer], None],
) -> None:
    harness = CoreHarness(settings=settings_with(RetryPolicy.SINGLE_SHOT))
    harness.hubs.writes = False
    end(harness, harness.offer())
    (reason,) = harness.caller.received
    assert isinstance(reason, RefusalReason) and reason.invites_retry
    assert len(harness.inbox.request_history) == 0


def test_a_set_up_left_by_a_core_that_ended_is_not_refused_as_harmless() -> None:
    front = CallerHarness()
    front.send_set_up()
    front.inbox.request_history.attempt_started(front.next_offer().identity, refusal_is_harmless=False)
    front.life.request_stop(now_ms())
    front.life.core_stopped(now_ms())
    front.callers.flush()
    assert front.receive().startswith(b"SIP/2.0 500")
    front.end()


def leave(harness: CoreHarness, offer: Offer) -> None:
    harness.give(SetUpCancelled("a", harness.caller))


def establish_and_release(harness: CoreHarness, offer: Offer) -> None:
    harness.give(AttemptEstablished(harness.hubs.sent[0], b"theirs"), CallerReleased("a"))


def turn_back_and_leave(harness: CoreHarness, offer: Offer) -> None:
    harness.give(AttemptFailed(harness.hubs.sent[0], AttemptOutcome.TURNED_BACK))
    leave(harness, offer)


@pytest.mark.parametrize(
    ("end", "sent_again"), [(leave, False), (establish_and_release, False), (turn_back_and_leave, True)]
)
def test_an_id_that_comes_again_is_sent_again_only_if_it_never_ran(
    end: Callable[[CoreHarness, Offer], None], sent_again: bool
) -> None:
    harness = CoreHarness(settings=settings_with(RetryPolicy.SINGLE_SHOT))
    end(harness, harness.offer())
    sent_before = len(harness.hubs.sent)
    harness.broker.ended.clear()  # as after the release time
    harness.caller.received.clear()
    harness.offer()
    assert len(harness.hubs.sent) - sent_before == sent_again
    if not sent_again:
        assert harness.caller.received == [RefusalReason.FAILED]


def test_the_history_of_requests_is_bounded() -> None:
    history = RequestHistory(max_requests=2)
    for identity in "abc":
        history.attempt_started(identity, refusal_is_harmless=False)
    assert [history.refusal_reason(identity) is None for identity in "abc"] == [True, False, False]


# --- with the program as a process ---


def single_shot_harness(folder: Path) -> PlatformHarness:
    return PlatformHarness(folder, class_changes={"effect": "single_shot", "slo_ms": 6000.0})


def test_a_stop_does_not_invite_a_retry_of_a_single_shot_set_up_that_is_out(tmp_path: Path) -> None:
    harness = single_shot_harness(tmp_path)
    try:
        play(harness, """
            caller send INVITE a dest=1 patience=9000
            hub1 expect INVITE a
            program stop
            caller expect 500 a
            hub1 expect CANCEL a
            program ends 0
        """)  # fmt: skip
    finally:
        harness.end()


def test_a_single_shot_id_that_comes_again_after_its_caller_left_is_not_sent_again(tmp_path: Path) -> None:
    harness = single_shot_harness(tmp_path)
    try:
        play(harness, """
            caller send INVITE a dest=1
            hub1 expect INVITE a
            caller close
            hub1 expect CANCEL a
            hub1 wait 400
            caller2 send INVITE a dest=1
            caller2 expect 500 a
            hub1 wait 300
        """)  # fmt: skip
    finally:
        harness.end()


@pytest.mark.parametrize("transport", ["tcp", "udp"])
def test_a_single_shot_sip_request_that_comes_again_is_not_sent_again(tmp_path: Path, transport: str) -> None:
    harness = SipHarness(tmp_path, transport, settings_changes=(('"free"', '"single_shot"'),))
    try:
        play(harness, """
            caller send INVITE a
            hub1 expect INVITE a
            hub1 send 180 a
            caller expect 180 a
            caller send CANCEL a
            caller expect 200 a
            caller expect 487 a
            caller send ACK a
            hub1 expect CANCEL a
            hub1 send 200 a of=CANCEL
            hub1 send 487 a
            hub1 expect ACK a
            hub1 wait 400
            caller send INVITE a branch=z9hG4bKagain
            caller expect 500 a
            hub1 wait 300
        """)  # fmt: skip
    finally:
        harness.end()
