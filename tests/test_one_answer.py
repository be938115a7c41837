"""Exactly one final answer to each request, whatever repeats, overtakes or crosses it (report 93b395).

Guards against a second answer, a release before or without an answer, and an answer after a CANCEL.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from landingdeal.clock import now_ms
from landingdeal.core import steps
from landingdeal.core.events import RefusalReason, SetUpCancelled
from landingdeal.net.link import CallerLink
from landingdeal.net.transaction import CallerTransaction
from landingdeal.sip.message import encode, request
from tests.rig.front import Front, Gate
from tests.scenario import BODY, TIMEOUT_S, PlatformHarness, play

IDLE_S = 0.2

SCENARIOS = {
    "no_second_answer_to_a_set_up_repeated_on_its_connection": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        caller send INVITE a dest=1
        caller wait 100
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller send INVITE a dest=1
        caller wait 200
    """,
    "no_release_before_the_answer": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send BYE a Reason:Q.850;cause=16
        hub1 expect 200 a
        caller wait 150
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller expect BYE a Reason:Q.850;cause=16
    """,
    "one_refusal_when_a_release_arrives_and_no_answer_follows": """
        caller send INVITE a dest=1 patience=900
        hub1 expect INVITE a
        hub1 send BYE a Reason:Q.850;cause=16
        hub1 expect 200 a
        caller expect 503 a
        caller wait 150
    """,
    "no_release_of_a_call_that_was_refused": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 503 a X-Note:ovl
        hub1 expect ACK a
        caller expect 503 a
        hub1 send BYE a Reason:Q.850;cause=41
        hub1 expect 200 a
        caller wait 200
    """,
    "no_release_of_a_call_that_was_cancelled": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        caller send CANCEL a
        hub1 expect CANCEL a
        hub1 send BYE a Reason:Q.850;cause=41
        hub1 expect 200 a
        caller wait 200
    """,
    "the_answer_of_an_established_call_for_a_set_up_sent_again_on_a_new_connection": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller close
        caller2 send INVITE a dest=1
        caller2 expect 200 a
        hub1 wait 50
        hub1 send BYE a Reason:Q.850;cause=16
        caller2 expect BYE a
    """,
    "no_attempt_within_the_release_time_of_a_call_that_was_cancelled": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        caller send CANCEL a
        hub1 expect CANCEL a
        caller2 send INVITE a dest=1
        caller2 expect 503 a
        hub1 wait 100
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_one_answer(name: str, tmp_path: Path) -> None:
    platform = PlatformHarness(tmp_path)
    try:
        play(platform, SCENARIOS[name])
    finally:
        log = platform.end()
    assert "Traceback" not in log, log


@pytest.fixture
def front() -> Iterator[Front]:
    test_front = Front()
    yield test_front
    steps.hook = None
    test_front.end()


def cancel_set_up(front: Front, call: str = "a") -> None:
    headers = ("call-id", call), ("cseq", "1 CANCEL")
    front.sock.sendall(encode(request("CANCEL", f"sip:{call}@net", *headers)))
    (event,) = list(front.inbox.take(now_ms() + TIMEOUT_S * 1000))
    assert isinstance(event, SetUpCancelled)


def read_until_idle(front: Front, idle_s: float = IDLE_S) -> bytes:
    received = b""
    front.sock.settimeout(idle_s)
    with suppress(TimeoutError):
        while data := front.sock.recv(65536):
            received += data
    return received


def test_no_answer_after_the_caller_has_cancelled(front: Front) -> None:
    front.set_up()
    offer = front.offered()
    cancel_set_up(front)
    offer.caller.answer(BODY)
    assert read_until_idle(front) == b""


def test_no_answer_that_was_still_queued_when_the_caller_cancelled(front: Front) -> None:
    front.set_up()
    offer = front.offered()
    gate = Gate(steps.WRITING)
    offer.caller.answer(BODY)
    gate.held()
    cancel_set_up(front)
    gate.go.set()
    assert read_until_idle(front) == b""


def test_one_refusal_when_reader_and_main_thread_both_refuse_at_the_end(front: Front) -> None:
    gate = Gate(steps.REGISTERED)
    front.set_up()
    gate.held()
    front.inbox.closed = True
    front.life.request_stop(now_ms())
    front.life.core_stopped(now_ms())
    front.callers.flush()
    gate.go.set()
    assert read_until_idle(front).count(b"SIP/2.0 503") == 1


def test_one_answer_when_core_and_main_thread_both_answer(front: Front) -> None:
    front.set_up()
    offer = front.offered()
    offer.caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    offer.caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    assert read_until_idle(front).count(b"SIP/2.0 503") == 1


def test_a_caller_that_closed_is_unreachable_before_the_end_of_its_connection_is_read(front: Front) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer_sock = socket.create_connection(server.getsockname())
        sock, _ = server.accept()
    link = CallerLink(sock, lambda on, m: None, lambda on, r: None, lambda on: None, lambda on: 0)
    transaction = CallerTransaction(front.callers, link, request("INVITE", "sip:a@net", ("call-id", "a")))
    assert transaction.reachable()
    peer_sock.close()
    until = now_ms() + TIMEOUT_S * 1000
    while transaction.reachable() and now_ms() < until:
        pass
    assert not transaction.reachable()
    sock.close()
