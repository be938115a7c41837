"""The loads of hostile clients, each run by a process of its own that stops by itself."""

from __future__ import annotations

import multiprocessing
import socket
import time
from contextlib import suppress
from multiprocessing.sharedctypes import Synchronized
from types import TracebackType
from typing import Any

from landingdeal.lab.hostile.messages import MANY_FIELDS, flood_message, set_up, simple_request
from landingdeal.lab.hostile.target import MAX_CALLER_CONNECTIONS

FLOOD_BATCH = 32  # messages that a flood over TCP writes at once
STUCK_S = 0.3  # a flood opens a new connection when its peer has taken nothing for so long
PARTIAL_LOADS = ("partial-fields", "partial-body", "slow-partial")


class FloodSocket:
    """Sends as fast as its peer takes it and drops what comes back, in one thread."""

    def __init__(self, transport: str, port: int) -> None:
        kind = socket.SOCK_DGRAM if transport == "udp" else socket.SOCK_STREAM
        self.is_stream = kind is socket.SOCK_STREAM
        self.sock = socket.socket(socket.AF_INET, kind)
        self.sock.connect(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.moved_at = time.monotonic()

    def send(self, data: bytes, until: float) -> None:
        """Sends all of the data; raises OSError if the connection ends or nothing moves for `STUCK_S`."""
        view = memoryview(data)
        while view and time.monotonic() < until:
            self.drop_received()
            try:
                sent = self.sock.send(view)
            except BlockingIOError:
                if time.monotonic() - self.moved_at > STUCK_S:
                    raise ConnectionError("the peer takes nothing") from None
                time.sleep(0.0005)
                continue
            self.moved_at = time.monotonic()
            view = view[sent:]

    def drop_received(self) -> None:
        with suppress(BlockingIOError):
            while data := self.sock.recv(1 << 20):
                self.moved_at = time.monotonic()
            if self.is_stream and not data:
                raise ConnectionError("closed")


def flood(
    load: str, front: str, transport: str, port: int, rate: float, seconds: float, sent: Synchronized[int]
) -> None:
    """Sends messages over one connection or socket, and drops what comes back; opens a new one if it ends."""
    batch_size = 1 if transport == "udp" else FLOOD_BATCH
    number, start = 0, time.monotonic()
    until = start + seconds
    while time.monotonic() < until:
        with suppress(OSError):
            peer = FloodSocket(transport, port)
            with peer.sock:
                while time.monotonic() < until:
                    ahead = number / rate - (time.monotonic() - start) if rate else 0.0
                    if ahead > 0:
                        time.sleep(ahead)
                    batch = range(number, number + batch_size)
                    peer.send(b"".join(flood_message(load, front, transport, n) for n in batch), until)
                    number += batch_size
                    sent.value = number
        time.sleep(0.05)


def partial_messages(
    load: str, front: str, transport: str, port: int, rate: float, seconds: float, sent: Synchronized[int]
) -> None:
    """Keeps hundreds of connections with an incomplete large message on each; reopens what is closed."""
    if load == "partial-fields":
        head = set_up(front, "tcp", "a" * 16, "1000").replace(
            b"\r\nCall-ID", f"\r\n{MANY_FIELDS}Call-ID".encode()
        )
        data = (
            head.split(b"\r\n\r\n")[0].rpartition(b"\r\n")[0]
            + b"\r\nContent-Length: 3000\r\n\r\n"
            + b"c" * 2000
        )
    else:
        data = set_up(front, "tcp", "a" * 16, "1000", body=b"c" * 15000)[:-1000]
    deadline = time.monotonic() + seconds
    socks: list[socket.socket] = []
    while time.monotonic() < deadline:
        while len(socks) < MAX_CALLER_CONNECTIONS - 2 and time.monotonic() < deadline:
            with suppress(OSError):
                sock = socket.create_connection(("127.0.0.1", port), timeout=1)
                sock.sendall(data)
                sock.setblocking(False)
                socks.append(sock)
                sent.value += 1
        for sock in list(socks):
            try:
                if load == "slow-partial":
                    sock.send(b"c")
                if not sock.recv(65536):
                    raise OSError("closed")
            except BlockingIOError:
                pass
            except OSError:
                sock.close()
                socks.remove(sock)
        time.sleep(0.1)


def deaf_clients(
    load: str, front: str, transport: str, port: int, rate: float, seconds: float, sent: Synchronized[int]
) -> None:
    """Hundreds of connections that ask for large responses and never read one."""
    pad = "".join(f"Via: SIP/2.0/TCP 127.0.0.1:9;x={'p' * 1000};branch=z9hG4bK{n}\r\n" for n in range(12))
    data = simple_request("OPTIONS", "tcp", 1).replace(b"Via:", pad.encode() + b"Via:", 1)
    deadline = time.monotonic() + seconds
    socks: list[socket.socket] = []
    while time.monotonic() < deadline:
        while len(socks) < MAX_CALLER_CONNECTIONS - 2 and time.monotonic() < deadline:
            with suppress(OSError):
                sock = socket.create_connection(("127.0.0.1", port), timeout=1)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                socks.append(sock)
        for sock in list(socks):
            try:
                while True:
                    sock.send(data)
                    sent.value += 1
            except BlockingIOError:
                pass
            except OSError:
                sock.close()
                socks.remove(sock)
        time.sleep(0.01)


class HostileClients:
    """Processes that play one load while the context is open, `seconds` at the most."""

    def __init__(
        self,
        load: str,
        front: str,
        transport: str,
        port: int,
        seconds: float,
        rate_per_s: float = 0.0,
        clients: int = 1,
    ) -> None:
        work = partial_messages if load in PARTIAL_LOADS else deaf_clients if load == "deaf" else flood
        self._sent: list[Any] = [multiprocessing.Value("q", 0) for _ in range(clients)]
        self._processes = [
            multiprocessing.Process(
                target=work, args=(load, front, transport, port, rate_per_s / clients, seconds, sent)
            )
            for sent in self._sent
        ]

    @property
    def offered(self) -> int:
        """The messages that all of them have sent."""
        return sum(sent.value for sent in self._sent)

    def __enter__(self) -> HostileClients:
        for process in self._processes:
            process.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for process in self._processes:
            process.terminate()
            process.join()
