"""Ports for test peers on loopback, below the range from which the kernel takes ephemeral ports."""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import suppress

# Each process starts in a block of ports of its own, as long as there are enough blocks.
FIRST_PORT, PORTS_PER_BLOCK, BLOCKS = 10000, 100, 220

_ports = itertools.cycle(
    range(FIRST_PORT + os.getpid() % BLOCKS * PORTS_PER_BLOCK, FIRST_PORT + BLOCKS * PORTS_PER_BLOCK),
)


def free_port() -> int:
    """Returns a port free for UDP and TCP now; the kernel gives it to no connection, only to a listener."""
    for port in itertools.islice(_ports, BLOCKS * PORTS_PER_BLOCK):
        with suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", port))
            with socket.create_server(("127.0.0.1", port)):
                return port
    raise OSError("no port is free")
