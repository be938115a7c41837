"""Helpers of tests that read from a socket themselves."""

from __future__ import annotations

import socket

from tests.scenario import TIMEOUT_S


def read_until(peer_sock: socket.socket, end: bytes) -> bytes:
    """Reads until the bytes received contain `end`; returns all of them."""
    peer_sock.settimeout(TIMEOUT_S)
    received = b""
    while end not in received:
        received += peer_sock.recv(1 << 20)
    return received
