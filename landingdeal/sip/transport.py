"""Flows of the SIP front: UDP datagrams and TCP connections. Nobody here waits on a peer."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from landingdeal.clock import now_ms
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.log import log_text
from landingdeal.net.link import Acceptor, Link, dial
from landingdeal.sip.message import MAX_MESSAGE, Malformed, Message, decode_datagram, encode
from landingdeal.sip.transaction import Flow
from landingdeal.threads import start_thread

DIAL_MS = 2000.0
HELD_MOST = 64  # messages that wait for a connection to come up
LINKS_MOST = 400


@dataclass(frozen=True, slots=True)
class Received:
    """A message as it came: from where, and the flow on which an answer goes back."""

    message: Message | Malformed
    host: str
    port: int
    flow: Flow


class Tap(Protocol):
    """Is told of each message that passes, and of each connection's end. Neither may block."""

    def passed(
        self, transport: str, source: tuple[str, int], target: tuple[str, int], message: Message
    ) -> None: ...

    def closed(self, source: tuple[str, int], target: tuple[str, int], reset: bool) -> None: ...


class UdpFlow:
    kind = "UDP"
    reliable = False
    alive = True
    was_up = True

    def __init__(self, sock: socket.socket, host: str, port: int, tap: Tap | None = None) -> None:
        self.sock, self.host, self.port, self.tap = sock, host, port, tap
        self.name = f"UDP {host}:{port}"

    def send(self, message: Message) -> None:
        if self.tap is not None:  # before it goes: an answer must not be told first
            self.tap.passed("UDP", self.sock.getsockname()[:2], (self.host, self.port), message)
        try:
            self.sock.sendto(encode(message), socket.MSG_DONTWAIT, (self.host, self.port))
        except OSError as error:  # a datagram may get lost; the transaction sends it again
            log_text(f"{self.name}: {error}")


class TcpFlow:
    """One connection, perhaps still coming up; what is sent meanwhile is held."""

    kind = "TCP"
    reliable = True

    def __init__(self, host: str, port: int, tap: Tap | None = None) -> None:
        self.host, self.port, self.tap = host, port, tap
        self.local: tuple[str, int] = ("", 0)
        self.lock = threading.Lock()
        self.link: Link | None = None
        self.held: list[Message] = []
        self.alive = True
        self.was_up = False

    def send(self, message: Message) -> None:
        with self.lock:
            if self.link is None:
                if self.alive and len(self.held) < HELD_MOST:
                    self.held.append(message)
                return
            link = self.link
        self._send(link, message)

    def _send(self, link: Link, message: Message) -> None:
        if self.tap is not None and link.alive:  # before it goes: an answer must not be told first
            self.tap.passed("TCP", self.local, (self.host, self.port), message)
        link.send(message)

    def up(self, link: Link) -> None:
        with self.lock:
            self.link, self.was_up = link, True
            self.local = link.sock.getsockname()[:2]
            held, self.held = self.held, []
            for message in held:
                self._send(link, message)


class Transports:
    """All flows of the front. `on_received` and `on_end` are called from readers' threads."""

    def __init__(
        self,
        host: str,
        port: int,
        on_received: Callable[[Received], None],
        on_end: Callable[[TcpFlow], None],
        life: Lifecycle,
        tap: Tap | None = None,
    ) -> None:
        self.host, self.port, self.life = host, port, life
        self.on_received, self.on_end, self.tap = on_received, on_end, tap
        self.lock = threading.Lock()
        self.flows: dict[Link, TcpFlow] = {}
        self.out: dict[tuple[str, int], TcpFlow] = {}
        self.oversize = 0
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((host, port))

    def start(self) -> None:
        self.life.open_listeners += 1
        self.door = Acceptor(
            self.host, self.port, self._accepted, lambda: self.life.accepts_connections, self._shut
        )
        self.life.phase_listeners.append(self.door.wake)
        start_thread("udp", self._read_udp)

    def _shut(self) -> None:
        self.life.open_listeners -= 1

    def unsent(self) -> int:
        """Connections on which something is still to be written."""
        with self.lock:
            return sum(link.alive and link.unsent() > 0 for link in self.flows)

    def to(self, transport: str, host: str, port: int, deadline_ms: float | None = None) -> Flow:
        """A flow towards an address; a TCP connection there is used again, or dialled off this thread."""
        if transport != "TCP":
            return UdpFlow(self.udp, host, port, self.tap)
        with self.lock:
            flow = self.out.get((host, port))
            if flow is not None and flow.alive:
                return flow
            flow = self.out[host, port] = TcpFlow(host, port, self.tap)
        until = deadline_ms if deadline_ms is not None else now_ms() + DIAL_MS
        start_thread("dial", lambda: self._dial(flow, min(until, now_ms() + DIAL_MS)))
        return flow

    def _dial(self, flow: TcpFlow, deadline_ms: float) -> None:
        try:
            sock = dial(flow.host, flow.port, deadline_ms)
        except OSError:
            flow.alive = False
            self.on_end(flow)
            return
        self._run(flow, sock)

    def _accepted(self, sock: socket.socket) -> None:
        try:
            host, port = sock.getpeername()[:2]
        except OSError:
            sock.close()
            return
        if len(self.flows) >= LINKS_MOST:  # guards the descriptors
            sock.close()
            return
        self._run(TcpFlow(host, port, self.tap), sock)

    def _run(self, flow: TcpFlow, sock: socket.socket) -> None:
        link = Link(sock, lambda _, m: self._received(flow, m), lambda on, r: self._ended(flow, on, r))
        with self.lock:
            self.flows[link] = flow
        flow.up(link)
        link.start()

    def _received(self, flow: TcpFlow, message: Message | Malformed) -> None:
        if self.tap is not None and isinstance(message, Message):
            self.tap.passed("TCP", (flow.host, flow.port), flow.local, message)
        self.on_received(Received(message, flow.host, flow.port, flow))

    def _ended(self, flow: TcpFlow, link: Link, reset: bool) -> None:
        flow.alive = False
        if self.tap is not None:
            self.tap.closed((flow.host, flow.port), flow.local, reset)
        with self.lock:
            self.flows.pop(link, None)
            if self.out.get((flow.host, flow.port)) is flow:
                del self.out[flow.host, flow.port]
        self.on_end(flow)

    def _read_udp(self) -> None:
        while True:
            try:
                data, (host, port) = self.udp.recvfrom(65536)
            except OSError:
                if self.udp.fileno() < 0:
                    return
                continue  # an ICMP error of an earlier datagram
            if len(data) > MAX_MESSAGE:
                self.oversize += 1
                log_text(f"UDP {host}:{port}: {len(data)} bytes are over 16 KiB ({self.oversize} so far)")
            elif data.strip(b"\r\n\0"):  # keep-alives are empty
                message = decode_datagram(data)
                if self.tap is not None and isinstance(message, Message):
                    self.tap.passed("UDP", (host, port), (self.host, self.port), message)
                self.on_received(Received(message, host, port, UdpFlow(self.udp, host, port, self.tap)))
