"""Bounds on the memory that connections take together: incomplete messages, and answers that nobody reads."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress

import pytest

from landingdeal.core.events import CallerStreamBroken, RefusalReason
from landingdeal.net import link as link_module
from landingdeal.net.byte_budget import ByteBudget
from landingdeal.sip.message import encode, request
from tests.rig.front import CallerHarness
from tests.scenario import TIMEOUT_S
from tests.sip_front import InProcessFront

PARTIAL = (
    b"INVITE sip:a@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\nContent-Length: 15000\r\n\r\n"
    + b"c" * 10_000
)
BOUND_BYTES = 35_000  # three such messages, not four


@pytest.fixture
def front() -> Iterator[CallerHarness]:
    harness = CallerHarness()
    yield harness
    harness.end()


@pytest.fixture
def partial_bytes(monkeypatch: pytest.MonkeyPatch) -> ByteBudget[link_module.Link]:
    budget: ByteBudget[link_module.Link] = ByteBudget(BOUND_BYTES)
    monkeypatch.setattr(link_module, "partial_bytes", budget)
    return budget


def wait_for(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def open_connections(address: tuple[str, int], count: int) -> list[socket.socket]:
    """Connections that each send an incomplete message, the first one some bytes more than the others."""
    socks = [socket.create_connection(address) for _ in range(count)]
    for sock in socks:
        sock.settimeout(TIMEOUT_S)
        sock.sendall(PARTIAL + (b"c" * 1000 if sock is socks[0] else b""))
        time.sleep(0.02)
    return socks


def test_the_budget_evicts_the_largest_holder_and_counts_it_no_longer() -> None:
    budget: ByteBudget[str] = ByteBudget(10)
    assert budget.update("a", 6) is None and budget.add("b", 4) is None
    assert budget.add("b", 1) == "a"
    assert (budget.total_bytes, budget.held_by("a"), budget.held_by("b")) == (5, 0, 5)
    assert budget.add("a", -6) is None and budget.total_bytes == 5


def test_incomplete_messages_of_all_callers_stay_within_one_bound(
    front: CallerHarness, partial_bytes: ByteBudget[link_module.Link]
) -> None:
    socks = open_connections(front.address, 4)
    assert socks[0].recv(1) == b""  # of the largest
    assert 0 < partial_bytes.total_bytes <= BOUND_BYTES
    front.send_set_up()
    front.next_offer().caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    assert front.receive().startswith(b"SIP/2.0 503")
    for sock in socks:
        sock.close()
    wait_for(lambda: partial_bytes.total_bytes == 0)


def test_a_set_up_on_the_connection_that_is_evicted_gets_its_answer(
    front: CallerHarness, partial_bytes: ByteBudget[link_module.Link]
) -> None:
    front.send_set_up()
    offer = front.next_offer()
    front.sock.sendall(PARTIAL + b"c" * 2000)
    time.sleep(0.05)
    others = open_connections(front.address, 3)
    (event,) = list(front.inbox.take(time.time() * 1000 + TIMEOUT_S * 1000))
    assert isinstance(event, CallerStreamBroken)
    offer.caller.refuse(0.0, RefusalReason.UNAVAILABLE)
    assert front.receive().startswith(b"SIP/2.0 503")
    assert front.receive() == b""
    for sock in others:
        sock.close()


def test_incomplete_messages_on_the_sip_front_stay_within_one_bound(
    partial_bytes: ByteBudget[link_module.Link],
) -> None:
    front = InProcessFront("tcp")
    socks = open_connections(("127.0.0.1", front.port), 4)
    assert socks[0].recv(1) == b""
    assert 0 < partial_bytes.total_bytes <= BOUND_BYTES
    for sock in socks:
        sock.close()
    wait_for(lambda: partial_bytes.total_bytes == 0)
    front.close_parties()


LARGE_VIA = "SIP/2.0/TCP 127.0.0.1:9;branch=z9hG4bKa;x=" + "p" * 12_000
DEAF_CLIENTS = 12


def ask_without_reading(address: tuple[str, int]) -> list[socket.socket]:
    """Connections that ask for large responses until nothing is taken any more, and read none of them."""
    asked = encode(
        request(
            "OPTIONS", "sip:ping@net", ("via", LARGE_VIA), ("call-id", "1"), ("cseq", "1 OPTIONS"),
            ("from", "<sip:a@127.0.0.1>;tag=a"), ("to", "<sip:b@127.0.0.1>"),
        )
    )  # fmt: skip
    socks = []
    for _ in range(DEAF_CLIENTS):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(address)
        sock.setblocking(False)
        with suppress(OSError):
            for _ in range(100):
                sock.sendall(asked)
        socks.append(sock)
    return socks


@pytest.mark.parametrize("on_platform", [True, False])
def test_answers_that_nobody_reads_stay_within_one_bound(
    on_platform: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    bound_bytes, peak_bytes = 1_000_000, 0
    budget: ByteBudget[link_module.Link] = ByteBudget(bound_bytes)
    monkeypatch.setattr(link_module, "queued_bytes", budget)
    harness: CallerHarness | InProcessFront = CallerHarness() if on_platform else InProcessFront("tcp")
    address = harness.address if isinstance(harness, CallerHarness) else ("127.0.0.1", harness.port)
    socks = ask_without_reading(address)
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        peak_bytes = max(peak_bytes, budget.total_bytes)
        time.sleep(0.002)
    assert 0 < peak_bytes <= bound_bytes
    for sock in socks:
        sock.close()
    wait_for(lambda: budget.total_bytes == 0)
    if isinstance(harness, CallerHarness):
        harness.end()
    else:
        harness.close_parties()
