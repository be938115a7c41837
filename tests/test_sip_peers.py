"""The SIP peers of the soak do what their names say."""

from __future__ import annotations

import socket
import time
from contextlib import suppress

from landingdeal.sip.message import Message, encode, request
from tests.rig.sip_peers import Connection, TcpPeer

OPTIONS = encode(
    request("OPTIONS", "sip:ping@net", ("via", "SIP/2.0/TCP peer"), ("call-id", "1"), ("cseq", "1 OPTIONS"))
)


class DialledPeer(TcpPeer):
    """Gets a new connection with a message whenever it ends its connections."""

    def __init__(self) -> None:
        super().__init__()
        self.dialled: list[socket.socket] = []
        self.received: list[Message] = []

    def end_connections(self, reset: bool) -> None:
        super().end_connections(reset)
        sock = socket.socket()
        sock.settimeout(0.1)
        with suppress(TimeoutError):
            sock.connect(("127.0.0.1", self.port))
            sock.sendall(OPTIONS)
        self.dialled.append(sock)

    def on_message(self, message: Message, connection: Connection) -> None:
        self.received.append(message)


def test_a_peer_that_is_cut_off_reads_nothing_that_was_sent_meanwhile() -> None:
    peer = DialledPeer()
    peer.cut()
    peer.heal()
    time.sleep(0.2)
    assert not peer.received
    for sock in peer.dialled:
        sock.close()
    peer.close()
