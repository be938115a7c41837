"""Tests of the core without sockets: the guard's rules, contracts, and that each call gets one answer."""

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
    Settings,
)
from badgerstile.wire import read_settings
from landingdeal.clock import now_ms
from landingdeal.core.broker import DUPLICATE_ANSWER_MS, Broker
from landingdeal.core.calls import PendingCall
from landingdeal.core.contracts import Contract, Contracts
from landingdeal.core.events import (
    Attempt,
    AttemptEstablished,
    AttemptFailed,
    HubFailed,
    HubListChanged,
    HubReleased,
    LoadReported,
    Offer,
    RefusalReason,
    SetUpCancelled,
    StopRequested,
)
from landingdeal.core.guard import Guard
from landingdeal.core.inbox import MAX_INBOX_SIZE, Inbox
from landingdeal.log import LogShare
from tests.scenario import SETTINGS

SET = read_settings(json.dumps(SETTINGS).encode())
HUB = b"hub1"


class RecordingCaller:
    """Records what its caller receives."""

    def __init__(self, connected: bool = True) -> None:
        self.received: list[object] = []
        self.log_share = LogShare()
        self.connected = connected

    @property
    def origin(self) -> object:
        return self

    def reachable(self) -> bool:
        return self.connected

    def has_left(self) -> bool:
        return not self.connected

    def answer(self, description: bytes) -> None:
        self.received.append(description)

    def refuse(self, retry_after_ms: float, reason: RefusalReason) -> None:
        self.received.append(reason)

    def release(self, cause: int) -> None:
        self.received.append(cause)


class RecordingHubs:
    """Records what is sent to the lab hubs; `connection_silent` is the result of `cancel`."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.requests: list[str] = []
        self.connection_silent = False
        self.writes = True  # whether set-ups are written, or wait

    def set_up(self, attempt: Attempt) -> None:
        if self.writes:
            attempt.pending_send.claim()
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> bool:
        self.requests.append("cancel")
        return self.connection_silent

    def release(self, hub: bytes, call: str) -> None:
        self.requests.append("release")

    def forget(self, hub: bytes, call: str) -> None:
        self.requests.append("forget")

    def probe(self, hub: bytes, deadline_ms: float) -> None:
        self.requests.append("probe")


class CoreHarness:
    """A core with one lab hub, whose broker handles events in the thread of the test."""

    def __init__(self, contracts: tuple[Contract, ...] = (), settings: Settings = SET) -> None:
        self.hubs, self.caller, self.inbox = RecordingHubs(), RecordingCaller(), Inbox()
        self.unknown_releases: list[str] = []
        self.broker = Broker(
            settings,
            1,
            self.inbox,
            self.hubs,
            lambda call, _: self.unknown_releases.append(call),
            Contracts(contracts),
        )
        self.give(HubListChanged(ExchangeList(ListKind.CACHED, (ExchangeEntry(HUB, 1, Health.READY, 0.0),))))
        self.give(LoadReported(HUB, (40.0, 40.0, -1.0, -1.0)))

    def give(self, *events: object) -> None:
        for event in events:
            self.inbox.put(event)  # type: ignore[arg-type]
        self.broker.run_once()

    def offer(
        self, call: str = "a", patience_ms: float = 4000.0, team: str = "", class_name: str = "voice"
    ) -> Offer:
        offer = Offer(
            call, f"sip:{call}@net", class_name, 1, now_ms() + patience_ms, b"body", self.caller, team=team
        )
        self.give(offer)
        return offer


def test_the_release_of_an_established_call_reaches_its_caller_once() -> None:
    harness = CoreHarness()
    harness.offer()
    harness.give(AttemptEstablished(harness.hubs.sent[0], b"theirs"))
    harness.give(HubReleased("a", HUB, 16), HubReleased("a", HUB, 16))
    assert harness.caller.received == [b"theirs", 16]
    assert harness.unknown_releases == ["a"]  # the second release is of an unknown call


@pytest.mark.parametrize(
    ("outcome", "reason", "refusal"),
    [
        (AttemptOutcome.TURNED_BACK, RejectionReason.PROCESSOR_FULL, RefusalReason.UNAVAILABLE),
        (AttemptOutcome.ERROR, RejectionReason.LINES_BUSY, RefusalReason.BUSY),
    ],
)
def test_a_call_that_the_module_fails_is_refused_at_once(
    outcome: AttemptOutcome, reason: RejectionReason, refusal: RefusalReason
) -> None:
    harness = CoreHarness()
    harness.offer()
    harness.give(
        AttemptFailed(harness.hubs.sent[0], outcome, reason),
        AttemptFailed(harness.hubs.sent[0], outcome, reason),
    )
    assert harness.caller.received == [refusal]
    assert not harness.broker.pending and not harness.broker.pending_by_number


@pytest.mark.parametrize("release_comes", ["after its answer", "before its answer", "with its hub's failure"])
def test_the_connections_forget_a_call_that_is_over_at_the_core(release_comes: str) -> None:
    """A call kept there would be taken for one whose release is still to come."""
    harness = CoreHarness()
    harness.offer()
    released, established = HubReleased("a", HUB, 16), AttemptEstablished(harness.hubs.sent[0], b"theirs")
    if release_comes == "before its answer":
        harness.give(released, established)
    else:
        harness.give(established)
        harness.give(released if release_comes == "after its answer" else HubFailed(HUB, now_ms() + 1))
    assert harness.hubs.requests == ["forget"]


def test_a_call_answered_after_its_cancel_is_released() -> None:
    harness = CoreHarness()
    harness.offer()
    harness.give(SetUpCancelled("a", harness.caller))
    harness.give(AttemptEstablished(harness.hubs.sent[0], b"late"))
    assert harness.caller.received == []
    assert harness.hubs.requests == ["cancel", "release"]


def test_a_set_up_that_comes_again_after_its_caller_gave_up_an_answered_call_is_not_sent_at_once() -> None:
    """A second answer of the hub to the first attempt would be taken for that of the next one."""
    harness = CoreHarness()
    first = harness.offer()
    harness.give(AttemptEstablished(harness.hubs.sent[0], b"theirs"))
    harness.give(SetUpCancelled("a", harness.caller))
    second = RecordingCaller()
    harness.give(replace(first, caller=second))
    assert second.received == [RefusalReason.UNAVAILABLE] and len(harness.hubs.sent) == 1
    assert harness.hubs.requests == ["release"]


@pytest.mark.parametrize("connected", [True, False])
def test_a_repeated_set_up_takes_over_the_call_only_if_its_first_connection_has_ended(
    connected: bool,
) -> None:
    harness = CoreHarness()
    first, second = harness.offer(), RecordingCaller()
    harness.caller.connected = connected
    harness.give(replace(first, caller=second))
    harness.give(AttemptEstablished(harness.hubs.sent[0], b"theirs"))
    assert len(harness.hubs.sent) == 1
    answered: list[object] = [b"theirs"]
    assert second.received == ([RefusalReason.FAILED] if connected else answered)
    assert harness.caller.received == (answered if connected else [])


def test_another_set_up_with_the_id_of_a_known_call_is_refused_and_can_not_end_that_call() -> None:
    harness, other_caller = CoreHarness(), RecordingCaller()
    other = replace(harness.offer(), caller=other_caller, description=b"another")
    harness.caller.connected = False
    harness.give(other, SetUpCancelled("a", other_caller))
    harness.give(AttemptEstablished(harness.hubs.sent[0], b"theirs"))
    harness.give(other, SetUpCancelled("a", other_caller))
    assert other_caller.received == [RefusalReason.FAILED, RefusalReason.FAILED]
    assert (
        harness.caller.received == [b"theirs"]
        and harness.hubs.requests == []
        and "a" in harness.broker.established
    )


def test_a_number_that_no_hub_ever_had_is_refused_and_enters_no_table() -> None:
    harness = CoreHarness()
    harness.give(Offer("a", "sip:a@net", "voice", 99, now_ms() + 4000, b"body", harness.caller))
    assert harness.caller.received == [RefusalReason.FAILED]
    assert not harness.broker.switch.offered_rates and not harness.broker.pending


def test_a_restart_of_a_hub_ends_the_calls_established_before_it() -> None:
    harness = CoreHarness()
    harness.offer()
    harness.give(AttemptEstablished(harness.hubs.sent[0], b"theirs"))
    for started_ms, received in ((now_ms() - 60000, [b"theirs"]), (now_ms() + 1, [b"theirs", 41])):
        harness.give(
            HubListChanged(ExchangeList(ListKind.CHANGES, (ExchangeEntry(HUB, 1, Health.READY, started_ms),)))
        )
        assert harness.caller.received == received


def test_after_a_stop_request_all_calls_are_answered_before_the_kill() -> None:
    harness = CoreHarness()
    harness.offer(patience_ms=9000.0)
    harness.give(StopRequested(harness.broker.now))
    life = harness.broker.lifecycle
    life.check_core(1, 0, now_ms() + life.times.refuse_after_ms)
    assert harness.caller.received == [] and life.core_running and life.phase_deadline_ms - now_ms() < 3700
    life.stop_ms -= life.times.answer_by_ms  # as if that much time had passed
    harness.broker.run_once()
    assert (
        harness.caller.received == [RefusalReason.UNAVAILABLE]
        and not harness.broker.pending
        and not life.core_running
    )


@pytest.mark.parametrize("connection_silent", [True, False])
def test_a_silent_connection_does_not_count_as_a_slow_processor(connection_silent: bool) -> None:
    harness = CoreHarness()
    harness.hubs.connection_silent = connection_silent
    harness.offer()
    far = harness.broker.switch.exchanges[HUB]
    window_before = far.window
    harness.broker._handle_attempt_timeout(harness.hubs.sent[0])
    assert (far.window < window_before) is not connection_silent
    assert (
        harness.caller.received == [] and harness.broker.pending["a"].not_before_ms > now_ms()
    )  # rule 5 holds either way


def test_removed_hubs_do_not_accumulate_in_tables() -> None:
    harness = CoreHarness()
    for number in range(500):
        name = f"s-{number}".encode()
        for health in (Health.READY, Health.REMOVED):
            harness.give(
                HubListChanged(ExchangeList(ListKind.CHANGES, (ExchangeEntry(name, 1, health, 0.0),)))
            )
    assert len(harness.broker.guard.hubs) < 50 and len(harness.broker.switch.exchanges) < 50


def test_after_an_exception_in_the_module_the_caller_still_gets_an_answer(
    capsys: pytest.CaptureFixture[str],
) -> None:
    harness = CoreHarness()

    def fails(*_: object) -> list[object]:
        raise RuntimeError("on purpose")

    harness.broker.switch.handle = fails  # type: ignore[assignment,method-assign]
    harness.offer()
    assert harness.caller.received == [RefusalReason.FAILED]
    assert "on purpose" in capsys.readouterr().err


def test_shortly_before_the_deadline_the_core_refuses_the_call_itself() -> None:
    harness = CoreHarness()
    harness.broker.switch.handle = lambda event, now: []  # type: ignore[method-assign]
    harness.offer(patience_ms=60.0)
    deadline_ms = now_ms() + 5000
    while not harness.caller.received and now_ms() < deadline_ms:
        harness.broker.run_once()
    assert harness.caller.received == [RefusalReason.UNAVAILABLE]


def test_a_full_or_closed_inbox_refuses_set_ups() -> None:
    inbox, caller = Inbox(), RecordingCaller()
    offer = Offer("a", "sip:a@net", "voice", 1, now_ms() + 1000, b"", caller)
    for _ in range(MAX_INBOX_SIZE):
        assert inbox.offer(offer)
    assert not inbox.offer(offer)
    inbox = Inbox()
    inbox.closed = True  # the core has ended
    assert not inbox.offer(offer)


def test_contracts_limit_classes_rate_and_concurrent_calls() -> None:
    contract = Contract("payments", frozenset({"voice"}), per_s=2.0, at_once=3)
    contracts = Contracts((contract,))
    assert contracts.admit("payments", "data", "x", 0.0) == -1
    assert contracts.admit("strangers", "voice", "x", 0.0) == -1
    assert [contracts.admit("payments", "voice", str(n), 0.0) for n in range(3)] == [0.0, 0.0, 500.0]
    assert contracts.admit("payments", "voice", "2", 500.0) == 0.0
    assert contracts.admit("payments", "voice", "3", 5000.0) > 0  # already three concurrent calls
    contracts.call_ended("2")
    assert contracts.admit("payments", "voice", "3", 5000.0) == 0.0
    assert Contracts(()).admit("anyone", "data", "x", 0.0) == 0.0


def test_a_set_up_beyond_the_contract_is_refused_and_not_sent_to_the_hub() -> None:
    harness = CoreHarness((Contract("payments", frozenset({"voice"}), per_s=1.0, at_once=1),))
    harness.offer("a", team="payments")
    harness.offer("b", team="payments")
    harness.offer("c", team="payments", class_name="data")
    harness.offer("d", team="others")
    assert len(harness.hubs.sent) == 1
    assert harness.caller.received == [
        RefusalReason.UNAVAILABLE,
        RefusalReason.FORBIDDEN,
        RefusalReason.FORBIDDEN,
    ]


def guard_and_call() -> tuple[Guard, PendingCall]:
    guard = Guard(SET)
    guard.update_hubs(ExchangeList(ListKind.FULL, (ExchangeEntry(HUB, 1, Health.READY, 0.0),)))
    return guard, PendingCall(Offer("a", "sip:a@net", "voice", 1, 9000.0, b"", RecordingCaller()), 1)


def test_the_guard_enforces_each_rule() -> None:
    guard, call = guard_and_call()
    assert guard.objection(call, HUB, 100.0) == ""
    call.not_before_ms = 400.0
    assert "rule 5" in guard.objection(call, HUB, 399.0)
    call.attempt = Attempt(call.offer, 0, HUB, 100.0, 200.0)
    assert "rule 2" in guard.objection(call, HUB, 500.0)
    call.attempt = None
    for health in (Health.DRAINING, Health.REMOVED):
        guard.update_hubs(ExchangeList(ListKind.CHANGES, (ExchangeEntry(HUB, 1, health, 0.0),)))
        assert "rule 3" in guard.objection(call, HUB, 501.0)
    guard.update_hubs(ExchangeList(ListKind.FULL, ()))
    assert "rule 3" in guard.objection(call, HUB, 601.0)
    assert "rule 1" in guard.objection(call, HUB, 9000.0)
    call.cancel()
    assert "rule 1" in guard.objection(call, HUB, 600.0)


def test_the_guard_limits_the_set_ups_to_a_cold_hub() -> None:
    guard, call = guard_and_call()
    guard.update_capacity(HUB, 30.0)
    guard.update_hubs(ExchangeList(ListKind.CHANGES, (ExchangeEntry(HUB, 1, Health.READY, 10_000.0),)))
    call.deadline_ms = 1e9
    sent = 0
    while not guard.objection(call, HUB, 10_500.0):
        guard.record_send(HUB, 10_500.0)
        sent += 1
    assert 2 <= sent <= 30.0 * 2 * 0.35 / (SET.softswitch_count - 1)
    single_guard = Guard(replace(SET, softswitch_count=1))  # its part is the whole limit
    single_guard.hubs = guard.hubs
    assert not single_guard.objection(call, HUB, 10_500.0)
    assert not guard.objection(call, HUB, 11_600.0)  # a new window
    assert not guard.objection(call, HUB, 25_000.0)  # warm


def test_a_duplicate_refusal_is_not_taken_for_the_answer_to_the_next_attempt() -> None:
    harness = CoreHarness()
    harness.offer()
    first, broker = harness.hubs.sent[0], harness.broker
    call = broker.pending["a"]
    harness.give(AttemptFailed(first, AttemptOutcome.NOT_SENT))
    if call.attempt is None:
        broker._execute_set_up(call.number, HUB, 0.0)
    assert call.attempt is not None and len(harness.hubs.sent) == 1, "the second attempt is delayed"
    second_attempt = call.attempt
    assert second_attempt.sent_ms >= broker.now + DUPLICATE_ANSWER_MS - 1
    deadline_ms = now_ms() + 5000
    while len(harness.hubs.sent) == 1 and now_ms() < deadline_ms:
        broker.run_once()
    assert harness.hubs.sent[1] is second_attempt and now_ms() >= second_attempt.sent_ms
    harness.give(AttemptFailed(first, AttemptOutcome.NOT_SENT))  # late, of the first attempt
    assert call.attempt is second_attempt
