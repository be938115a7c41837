"""Messages of the SIP front that wait to be sent: none goes out once the reason for it is gone."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from badgerstile.interface import AttemptOutcome
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.events import (
    Attempt,
    AttemptEstablished,
    AttemptFailed,
    LoadReported,
    Offer,
    ProbeCompleted,
    RefusalReason,
)
from landingdeal.net.link import dial
from landingdeal.sip.message import Message
from landingdeal.sip.transport import DIAL_TIMEOUT_MS, MAX_QUEUED_MESSAGES
from landingdeal.threads import start_thread
from tests.scenario import TIMEOUT_S, play
from tests.sip_front import InProcessFront

RETRANSMITS_MS = 450.0  # at T1 = 50 ms a 2xx is retransmitted three times in it


class HeldConnections:
    """Holds back the connections that the front makes, as a peer that is cut off does."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.proceed = threading.Event()

        def held_dial(host: str, port: int, deadline_ms: float) -> socket.socket:
            if not self.proceed.wait(seconds_until(deadline_ms)):
                raise TimeoutError("timed out")
            return dial(host, port, now_ms() + TIMEOUT_S * 1000)

        monkeypatch.setattr("landingdeal.sip.transport.dial", held_dial)

    def release(self) -> None:
        self.proceed.set()


@pytest.fixture
def front() -> Iterator[InProcessFront]:
    """A front with one hub on TCP; the test takes the place of the core."""
    environment = InProcessFront("tcp")
    yield environment
    environment.close_parties()


@pytest.fixture
def held(monkeypatch: pytest.MonkeyPatch) -> HeldConnections:
    return HeldConnections(monkeypatch)


def offer_call(front: InProcessFront, name: str = "a") -> Attempt:
    """A caller's set-up, as the core would send it to the hub."""
    play(front, f"caller send INVITE {name}\n caller expect 100 {name}")
    return Attempt(front.next_event(Offer), 0, b"hub1", now_ms(), now_ms() + 5000)


def test_a_set_up_that_its_caller_cancelled_is_not_sent_when_the_connection_comes_up(
    front: InProcessFront, held: HeldConnections
) -> None:
    attempt = offer_call(front)
    front.front.set_up(attempt)
    play(front, "caller send CANCEL a\n caller expect 200 a\n caller expect 487 a\n caller send ACK a")
    front.front.cancel(attempt)
    front.handle_posted_work()
    held.release()
    play(front, "hub1 wait 200")
    assert front.front.used_circuits[b"hub1"] == 0


def test_a_set_up_that_was_refused_in_time_is_not_sent_when_the_connection_comes_up(
    front: InProcessFront, held: HeldConnections
) -> None:
    attempt = offer_call(front)
    front.front.set_up(attempt)
    front.front.cancel(attempt)
    attempt.offer.caller.refuse(2000.0, RefusalReason.TIMED_OUT)
    play(front, "caller expect 408 a\n caller send ACK a")
    held.release()
    play(front, "hub1 wait 200")
    assert front.front.used_circuits[b"hub1"] == 0


def test_only_the_set_ups_of_ended_calls_are_withdrawn(front: InProcessFront, held: HeldConnections) -> None:
    cancelled, wanted = offer_call(front, "a"), offer_call(front, "b")
    front.front.set_up(cancelled)
    front.front.set_up(wanted)
    front.front.cancel(cancelled)
    front.handle_posted_work()
    held.release()
    play(front, "hub1 expect INVITE b\n hub1 send 200 b\n hub1 expect ACK b\n hub1 wait 100")
    assert front.next_event(AttemptEstablished).attempt is wanted


def test_a_set_up_without_room_in_the_queue_of_its_connection_fails_at_once(
    front: InProcessFront, held: HeldConnections
) -> None:
    attempts = [offer_call(front, f"c{number}") for number in range(MAX_QUEUED_MESSAGES + 1)]
    for attempt in attempts:
        front.front.set_up(attempt)
    failed = front.next_event(AttemptFailed)
    assert failed.attempt is attempts[-1] and failed.outcome is AttemptOutcome.UNREACHABLE
    held.release()


@pytest.mark.parametrize("transport", ["udp", "tcp"])
def test_a_set_up_that_the_core_decides_after_the_callers_cancel_is_not_sent(transport: str) -> None:
    environment = InProcessFront(transport)
    attempt = offer_call(environment)
    play(environment, "caller send CANCEL a\n caller expect 200 a\n caller expect 487 a")
    environment.front.set_up(attempt)
    play(environment, "hub1 wait 200")
    environment.front.cancel(attempt)
    environment.handle_posted_work()
    assert environment.front.used_circuits[b"hub1"] == 0
    environment.close_parties()


def is_set_up_of(attempt: Attempt, message: Message) -> bool:
    return message.method == "INVITE" and message.call_id == f"{attempt.offer.call_id}-{attempt.number}"


def establish(front: InProcessFront, name: str) -> None:
    """Establishes a call at the hub."""
    attempt = offer_call(front, name)
    front.front.set_up(attempt)
    play(front, f"hub1 expect INVITE {name}\n hub1 send 200 {name}\n hub1 expect ACK {name}")
    attempt.offer.caller.answer(front.next_event(AttemptEstablished).description)
    play(front, f"caller expect 200 {name}\n caller send ACK {name}")
    play(front, f"caller send OPTIONS o{name}\n caller expect 200 o{name}")


def hold_back_after_reset(front: InProcessFront, held: HeldConnections) -> None:
    """Resets the hub's connection; a new one is held back."""
    held.proceed.clear()
    play(front, "hub1 reset")
    while any(flow.port == front.parties["hub1"].port for flow in front.front.transport_layer.flows.values()):
        time.sleep(0.005)
    front.handle_posted_work()


def establish_and_reset_hub(front: InProcessFront, held: HeldConnections) -> None:
    """Establishes call `a`, then resets the hub's connection; a new one is held back."""
    held.release()
    establish(front, "a")
    hold_back_after_reset(front, held)


def test_a_reinvite_that_waits_for_its_connection_is_withdrawn_by_its_cancel(
    front: InProcessFront, held: HeldConnections
) -> None:
    establish_and_reset_hub(front, held)
    play(
        front,
        """
        caller send INVITE a
        caller expect 100 a
        caller send CANCEL a
        caller expect 200 a
        caller expect 487 a
        caller send ACK a
    """,
    )
    held.release()
    play(front, "hub1 expect OPTIONS a\n hub1 send 200 a of=OPTIONS\n hub1 wait 200")


def test_messages_of_a_call_that_wait_for_a_connection_give_way_to_its_release(
    front: InProcessFront, held: HeldConnections
) -> None:
    establish_and_reset_hub(front, held)
    play(
        front,
        """
        caller send INVITE a
        caller expect 100 a
        caller send BYE a
        caller expect 200 a
        caller expect 487 a
    """,
    )
    held.release()
    play(front, "hub1 expect BYE a\n hub1 send 200 a of=BYE\n hub1 wait 200")


def test_a_probe_is_not_sent_after_its_deadline(front: InProcessFront, held: HeldConnections) -> None:
    front.front.probe(b"hub1", now_ms() + 100)
    assert not front.next_event(ProbeCompleted).succeeded
    held.release()
    play(front, "hub1 wait 200")


def test_a_probe_over_udp_is_not_retransmitted_after_its_deadline() -> None:
    environment = InProcessFront("udp")
    environment.front.probe(b"hub1", now_ms() + 20)
    assert not environment.next_event(ProbeCompleted).succeeded
    play(environment, "hub1 expect OPTIONS\n hub1 wait 300")
    assert environment.parties["hub1"].repeat_count() == 0
    environment.close_parties()


@pytest.mark.parametrize("transport", ["udp", "tcp"])
def test_the_load_in_a_probe_answer_after_the_deadline_is_reported(transport: str) -> None:
    """Guards against a hub that is slower than each probe's deadline and whose load is never known."""
    environment = InProcessFront(transport)
    environment.front.probe(b"hub1", now_ms() + 50)
    play(environment, "hub1 expect OPTIONS a")
    assert not environment.next_event(ProbeCompleted).succeeded
    play(environment, "hub1 send 200 a of=OPTIONS X-State:x0:7;x1:40")
    assert environment.next_event(LoadReported).load_values[:2] == (7.0, 40.0)
    environment.close_parties()


def test_a_2xx_that_waits_for_a_connection_is_not_queued_again(
    front: InProcessFront, held: HeldConnections
) -> None:
    attempt = offer_call(front)
    held.release()
    front.front.set_up(attempt)
    play(front, "hub1 expect INVITE a\n hub1 send 200 a\n hub1 expect ACK a")
    held.proceed.clear()
    play(front, "caller close")
    while len(front.front.transport_layer.flows) > 1:
        time.sleep(0.005)
    attempt.offer.caller.answer(front.next_event(AttemptEstablished).description)
    time.sleep(RETRANSMITS_MS / 1000)
    held.release()
    play(front, "caller expect 200 a\n caller send ACK a\n caller send OPTIONS b\n caller expect 200 b")
    assert front.parties["caller"].repeat_count() == 0


def test_a_set_up_outlives_the_one_whose_connection_it_shares(
    front: InProcessFront, held: HeldConnections
) -> None:
    short, long = offer_call(front, "a"), offer_call(front, "b")
    short = replace(short, deadline_ms=now_ms() + 100)
    front.front.set_up(short)
    front.front.set_up(long)
    time.sleep(0.2)
    front.front.cancel(short)
    front.handle_posted_work()
    held.release()
    play(front, "hub1 expect INVITE b\n hub1 send 200 b\n hub1 expect ACK b\n hub1 wait 100")


@pytest.mark.parametrize("refused", ["dial", "reader"])
def test_a_set_up_whose_connection_gets_no_thread_fails_and_the_next_is_dialled(
    refused: str, front: InProcessFront, held: HeldConnections, monkeypatch: pytest.MonkeyPatch
) -> None:
    module = "landingdeal.sip.transport" if refused == "dial" else "landingdeal.net.link"
    attempts = offer_call(front, "a"), offer_call(front, "b")
    refusals = [refused]

    def start(name: str, work: Callable[[], None], retry_for_ms: float = 0.0) -> threading.Thread:
        if name in refusals:
            refusals.remove(name)
            raise RuntimeError("can't start new thread")
        return start_thread(name, work, retry_for_ms)

    monkeypatch.setattr(f"{module}.start_thread", start)
    front.front.set_up(attempts[0])
    front.handle_posted_work()
    held.release()
    failed = front.next_event(AttemptFailed)
    assert failed.attempt is attempts[0] and failed.outcome is not AttemptOutcome.TIMED_OUT
    front.front.set_up(attempts[1])
    received = front.parties["hub1"].received
    while (message := received.get(timeout=TIMEOUT_S)[1]) is None or not is_set_up_of(attempts[1], message):
        pass


def test_a_release_outlives_a_dial_to_a_hub_that_is_cut_off(
    front: InProcessFront, held: HeldConnections
) -> None:
    establish_and_reset_hub(front, held)
    play(front, "caller send BYE a\n caller expect 200 a")
    time.sleep(DIAL_TIMEOUT_MS / 1000 + 0.2)
    held.release()
    play(front, "hub1 expect BYE a\n hub1 send 200 a of=BYE\n hub1 wait 200")


def test_a_hub_whose_connects_take_longer_than_the_dial_timeout_is_connected(
    front: InProcessFront, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against dials that each end sooner than the connect, with the next one starting anew."""

    def slow_dial(host: str, port: int, deadline_ms: float) -> socket.socket:
        time.sleep(min(seconds_until(deadline_ms), 3.0))
        if now_ms() >= deadline_ms:
            raise TimeoutError("timed out")
        return dial(host, port, now_ms() + TIMEOUT_S * 1000)

    monkeypatch.setattr("landingdeal.sip.transport.dial", slow_dial)
    front.front.probe(b"hub1", now_ms() + 100)
    assert not front.next_event(ProbeCompleted).succeeded
    time.sleep(DIAL_TIMEOUT_MS / 1000 + 3.5)
    front.front.probe(b"hub1", now_ms() + 1000)
    play(front, "hub1 expect OPTIONS a\n hub1 send 200 a of=OPTIONS")
    assert front.next_event(ProbeCompleted).succeeded


def test_a_hub_that_was_found_unreachable_is_released_when_it_can_be_reached(
    front: InProcessFront, held: HeldConnections
) -> None:
    establish_and_reset_hub(front, held)
    play(front, "caller expect BYE a\n caller send 200 a of=BYE")
    held.release()
    play(front, "hub1 expect BYE a Reason:Q.850;cause=41\n hub1 send 200 a of=BYE\n hub1 wait 200")


def test_the_check_of_a_peer_without_room_in_the_queue_of_its_connection_is_sent_later(
    front: InProcessFront, held: HeldConnections
) -> None:
    """A hub whose connection is reset has more calls than the new connection has room for."""
    held.release()
    names = [f"c{number}" for number in range(MAX_QUEUED_MESSAGES + 6)]
    for name in names:
        establish(front, name)
    hold_back_after_reset(front, held)
    held.release()
    checked: set[str] = set()
    while len(checked) < len(names):
        message = front.parties["hub1"].received.get(timeout=TIMEOUT_S)[1]
        assert message is None or message.method == "OPTIONS", message
        checked |= {message.call_id} if message is not None else set()
