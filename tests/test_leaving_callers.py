"""Callers that end their connection: what they have asked for is not sent afterwards, wherever it waits."""

from __future__ import annotations

import socket
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from badgerstile.interface import AttemptOutcome, RejectionReason
from landingdeal.clock import now_ms
from landingdeal.core import steps
from landingdeal.core.events import AttemptFailed, Offer, RefusalReason
from landingdeal.lab.hostile.messages import set_up
from landingdeal.lab.hostile.target import ROOT, running_target
from tests.rig.front import CallerHarness, StepGate
from tests.scenario import TIMEOUT_S, PlatformHarness, play
from tests.test_core import CoreHarness

CALLS = 190
LINGER_RESET = struct.pack("ii", 1, 0)
CROSSING_S = 0.1  # of messages that were written while their caller left


def close(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


LEAVE: list[Callable[[socket.socket], None]] = [close, half_close, reset]


def test_a_set_up_whose_caller_has_left_is_refused_by_the_core_unsent() -> None:
    harness = CoreHarness()
    harness.caller.connected = False
    harness.offer()
    assert not harness.hubs.sent and harness.caller.received == [RefusalReason.UNAVAILABLE]


def test_a_set_up_that_waits_in_the_module_is_refused_once_its_caller_has_left() -> None:
    harness = CoreHarness()
    harness.offer()
    harness.caller.connected = False
    harness.give(AttemptFailed(harness.hubs.sent[0], AttemptOutcome.NOT_SENT, RejectionReason.NONE))
    assert len(harness.hubs.sent) == 1 and harness.caller.received == [RefusalReason.UNAVAILABLE]
    assert not harness.broker.pending and not harness.broker.switch.calls


def test_a_delayed_or_queued_attempt_is_not_written_once_its_caller_has_left() -> None:
    harness = CoreHarness()
    harness.hubs.writes = False
    harness.offer()
    harness.caller.connected = False
    assert not harness.hubs.sent[0].pending_send.claim()
    assert harness.hubs.sent[0].pending_send.withdrawn


@pytest.mark.parametrize("leave", LEAVE)
def test_a_set_up_that_is_read_after_its_caller_left_does_not_reach_the_core(
    leave: Callable[[socket.socket], None],
) -> None:
    front = CallerHarness()
    gate = StepGate(steps.READ)
    front.send_set_up()
    gate.wait_until_reached()
    leave(front.sock)
    deadline = time.monotonic() + TIMEOUT_S
    while any(link.peer_reachable() for link in front.callers.links):
        assert time.monotonic() < deadline
        time.sleep(0.005)
    gate.released.set()
    events = list(front.inbox.take(now_ms() + 300))
    assert not any(isinstance(event, Offer) for event in events)
    if leave is half_close:
        assert front.receive().startswith(b"SIP/2.0 503")
    front.end()


def test_a_caller_that_half_closes_gets_its_answer(tmp_path: Path) -> None:
    harness = PlatformHarness(tmp_path)
    try:
        play(harness, """
            caller send INVITE a dest=1
            hub1 expect INVITE a
            caller half_close
            caller expect 503 a
            hub1 expect CANCEL a
            caller expect end
        """)  # fmt: skip
    finally:
        harness.end()


@pytest.mark.parametrize("front", ["platform", "sip"])
@pytest.mark.parametrize("leave", LEAVE)
@pytest.mark.parametrize("stay_s", [0.0, 0.02])
def test_the_set_ups_of_a_caller_that_left_are_not_sent_on(
    front: str, leave: Callable[[socket.socket], None], stay_s: float
) -> None:
    with running_target(ROOT, front, interpreter=sys.executable) as target:
        sock = socket.create_connection(("127.0.0.1", target.port))
        sock.sendall(b"".join(set_up(front, "tcp", f"e{number:015x}", "1000") for number in range(CALLS)))
        time.sleep(stay_s)
        leave(sock)
        time.sleep(CROSSING_S)
        received_in_crossing = len(target.hub_times())
        time.sleep(1.0)
        assert len(target.hub_times()) == received_in_crossing < CALLS
