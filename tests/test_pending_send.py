"""The ownership of messages that wait to be sent."""

from __future__ import annotations

import socket
import threading

import pytest

from landingdeal.core.pending_send import PendingSend
from landingdeal.net.link import Link
from landingdeal.sip.message import Message, request
from landingdeal.sip.transport import MAX_QUEUED_MESSAGES, TcpFlow
from tests.sockets import read_until

ROUNDS = 300
LARGE_BODY = bytes(4 * 1024 * 1024)  # more than the socket buffers take


def message(name: str, body: bytes = b"") -> Message:
    return request("OPTIONS", "sip:h", ("call-id", name), ("cseq", "1 OPTIONS"), body=body)


def race(pending: PendingSend) -> list[str]:
    """Lets two writers claim and two owners withdraw at once; returns who succeeded."""
    barrier = threading.Barrier(4)
    successes: list[str] = []

    def attempt(name: str) -> None:
        barrier.wait()
        if pending.claim() if name == "claim" else pending.withdraw():
            successes.append(name)

    threads = [threading.Thread(target=attempt, args=(name,)) for name in ("claim", "withdraw") * 2]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return successes


def test_a_message_is_either_written_or_withdrawn() -> None:
    for _ in range(ROUNDS):
        pending = PendingSend()
        successes = race(pending)
        assert len(successes) == 1 and not pending.waiting
        assert pending.withdrawn == (successes == ["withdraw"])


@pytest.fixture
def connection() -> tuple[Link, socket.socket]:
    """A connection whose threads have not been started, and the socket of its peer."""
    sock, peer_sock = socket.socketpair()
    return Link(sock, lambda on, m: None, lambda on, r: None), peer_sock


def test_a_message_withdrawn_behind_a_peer_that_does_not_read_is_not_written(
    connection: tuple[Link, socket.socket],
) -> None:
    link, peer_sock = connection
    flow, pending = TcpFlow("127.0.0.1", 1), PendingSend()
    flow.connected(link)
    link.start()
    flow.send(message("large", LARGE_BODY))
    assert flow.send(message("withdrawn"), pending)
    assert pending.withdraw()
    flow.send(message("last"))
    received = read_until(peer_sock, b"last")
    assert b"withdrawn" not in received
    link.close()
    peer_sock.close()


def test_withdrawn_messages_leave_their_room_in_the_queue_of_a_connection(
    connection: tuple[Link, socket.socket],
) -> None:
    link, peer_sock = connection
    flow = TcpFlow("127.0.0.1", 1)
    pendings = [PendingSend() for _ in range(MAX_QUEUED_MESSAGES)]
    for number, pending in enumerate(pendings):
        assert flow.send(message(f"first{number}"), pending)
    assert not flow.send(message("too many"))
    for pending in pendings:
        pending.withdraw()
    assert flow.send(message("later"))
    flow.connected(link)
    link.start()
    assert b"first" not in read_until(peer_sock, b"later")
    link.close()
    peer_sock.close()
