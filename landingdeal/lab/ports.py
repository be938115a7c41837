"""Ports for test peers on loopback, below the range from which the kernel takes ephemeral ports.

A port that a peer has given up may still be dialled by the program under test, so no other test may get it:
each process takes its ports from blocks that it has claimed for as long as it runs.
"""

from __future__ import annotations

import itertools
import os
import socket
import threading
from collections.abc import Iterator
from contextlib import suppress

FIRST_PORT, PORTS_PER_BLOCK, BLOCKS = 10000, 100, 220

_lock = threading.Lock()
_claims: list[socket.socket] = []  # bound to the first port of each claimed block


def _claim_block(block: int) -> range:
    """Claims a block and returns its ports; none if another process has claimed it."""
    first_port = FIRST_PORT + block * PORTS_PER_BLOCK
    claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        claim.bind(("127.0.0.1", first_port))
    except OSError:
        claim.close()
        return range(0)
    _claims.append(claim)
    return range(first_port + 1, first_port + PORTS_PER_BLOCK)


def _claimed_ports() -> Iterator[int]:
    """Yields the ports of one block after another; once all are claimed, those of the own blocks again."""
    claimed: list[range] = []
    first_block = os.getpid() % BLOCKS
    for offset in range(BLOCKS):
        ports = _claim_block((first_block + offset) % BLOCKS)
        claimed.append(ports)
        yield from ports
    while any(claimed):
        for ports in claimed:
            yield from ports


_ports = _claimed_ports()


def free_port() -> int:
    """Returns a port free for UDP and TCP now; the kernel gives it to no connection, only to a listener."""
    with _lock:
        for port in itertools.islice(_ports, BLOCKS * PORTS_PER_BLOCK):
            with suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                udp.bind(("127.0.0.1", port))
                with socket.create_server(("127.0.0.1", port)):
                    return port
    raise OSError("no port is free")
