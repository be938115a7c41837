"""The transport layer of the SIP front: UDP datagrams and TCP connections. No call here waits for a peer."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from landingdeal.clock import now_ms
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.core.pending_send import PendingSend
from landingdeal.log import log_event, log_text
from landingdeal.net.acceptor import Acceptor
from landingdeal.net.link import Link, dial
from landingdeal.net.receive_limiter import DatagramSources, ReceiveLimiter
from landingdeal.sip.message import MAX_MESSAGE_BYTES, MalformedMessage, Message, decode_datagram, encode
from landingdeal.sip.transaction import Flow
from landingdeal.threads import start_thread

DIAL_TIMEOUT_MS = 2000.0
SLOW_DIAL_TIMEOUT_MS = 7000.0  # of a connect to a lab hub that was not up in time; nothing waits for it
MAX_QUEUED_MESSAGES = 64  # messages that wait for one connection to be established
MAX_CONNECTIONS = 400
DROP_LOG_INTERVAL_MS = 1000.0
UDP_BUFFER_BYTES = 4 * 1024 * 1024  # asked for; the system may give less


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A received message, its source address, and the flow on which a response goes back."""

    message: Message | MalformedMessage
    host: str
    port: int
    flow: Flow
    is_from_hub: bool = False

    @property
    def may_be_dropped(self) -> bool:
        """Whether its sender repeats it: it is a datagram."""
        return isinstance(self.flow, UdpFlow)

    @property
    def size(self) -> int:
        """About the number of its bytes."""
        message = self.message.message if isinstance(self.message, MalformedMessage) else self.message
        return len(message.uri) + len(message.body) + sum(len(n) + len(v) for n, v in message.headers)


class Tap(Protocol):
    """Observer of every message sent or received and of the end of every connection. Must not block."""

    def message_passed(
        self, transport: str, source: tuple[str, int], target: tuple[str, int], message: Message
    ) -> None: ...

    def connection_closed(self, source: tuple[str, int], target: tuple[str, int], reset: bool) -> None: ...


class UdpFlow:
    """Sends datagrams from the socket of the front to one address."""

    transport = "UDP"
    reliable = False
    alive = True
    was_connected = True
    peer_has_left = False

    def __init__(self, sock: socket.socket, host: str, port: int, tap: Tap | None = None) -> None:
        self.sock, self.host, self.port, self.tap = sock, host, port, tap
        self.name = self.source = f"UDP {host}:{port}"

    def send(self, message: Message, pending: PendingSend | None = None) -> bool:
        if pending is not None and not pending.claim():
            return False
        if self.tap is not None:  # before sending, so that the answer is not reported first
            self.tap.message_passed("UDP", self.sock.getsockname()[:2], (self.host, self.port), message)
        try:
            self.sock.sendto(encode(message), socket.MSG_DONTWAIT, (self.host, self.port))
        except OSError as error:  # like a lost datagram: the transaction retransmits
            log_text(f"{self.name}: {error}")
        return True


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message that waits for its connection; with `pending`, its owner may still withdraw it."""

    message: Message
    pending: PendingSend | None

    @property
    def withdrawn(self) -> bool:
        return self.pending is not None and self.pending.withdrawn


class TcpFlow:
    """One TCP connection; until it is established, messages to send are queued."""

    transport = "TCP"
    reliable = True

    def __init__(self, host: str, port: int, tap: Tap | None = None, dialled: bool = False) -> None:
        """`dialled`: this side opens the connection."""
        self.host, self.port, self.tap = host, port, tap
        self.source = f"TCP {host}:{port}"
        self.local: tuple[str, int] = ("", 0)
        self.lock = threading.Lock()
        self.link: Link | None = None
        self.queued: list[QueuedMessage] = []
        self.alive = True
        self.was_connected = False
        self.dialled = dialled
        self._dial_settled = False

    def send(self, message: Message, pending: PendingSend | None = None) -> bool:
        queued = QueuedMessage(message, pending)
        with self.lock:
            link = self.link
            if link is None:
                return self.alive and self._enqueue(queued)
        return self._send(link, queued)

    @property
    def peer_has_left(self) -> bool:
        """Whether the peer has ended the connection."""
        return not self.alive or self.link is not None and not self.link.peer_reachable()

    def _enqueue(self, queued: QueuedMessage) -> bool:
        """Queues a message for the connection that is being established; False if there is no room."""
        if len(self.queued) >= MAX_QUEUED_MESSAGES:
            self.queued = [waiting for waiting in self.queued if not waiting.withdrawn]
        if len(self.queued) >= MAX_QUEUED_MESSAGES:
            return False
        self.queued.append(queued)
        return True

    def _send(self, link: Link, queued: QueuedMessage) -> bool:
        return link.send(queued.message, still_wanted=lambda: self._begin_write(link, queued))

    def _begin_write(self, link: Link, queued: QueuedMessage) -> bool:
        """Called by the writer right before it sends a message; False if the message was withdrawn."""
        if queued.pending is not None and not queued.pending.claim():
            return False
        if self.tap is not None and link.alive:  # before sending, so that the answer is not reported first
            self.tap.message_passed("TCP", self.local, (self.host, self.port), queued.message)
        return True

    def settle_dial(self) -> bool:
        """True for the first dial that has come up or failed, which decides what becomes of the flow."""
        with self.lock:
            is_first, self._dial_settled = not self._dial_settled, True
        return is_first

    def connected(self, link: Link) -> None:
        """Takes the established connection and passes the queued messages on to it."""
        with self.lock:
            self.link, self.was_connected = link, True
            self.local = link.sock.getsockname()[:2]
            waiting, self.queued = self.queued, []
            for queued in waiting:
                self._send(link, queued)


class TransportLayer:
    """All flows of the front. `on_received` and `on_flow_ended` are called in reader threads."""

    def __init__(
        self,
        host: str,
        port: int,
        on_received: Callable[[ReceivedMessage], None],
        on_flow_ended: Callable[[TcpFlow], None],
        lifecycle: Lifecycle,
        tap: Tap | None = None,
        hubs: frozenset[tuple[str, str, int]] = frozenset(),
    ) -> None:
        """`hubs` are the transports and addresses of lab hubs, whose messages are not limited."""
        self.host, self.port, self.lifecycle = host, port, lifecycle
        self.hubs = hubs
        udp_hubs = frozenset((host, port) for transport, host, port in hubs if transport == "UDP")
        self.sources = DatagramSources(now_ms(), udp_hubs)
        self.on_received, self.on_flow_ended, self.tap = on_received, on_flow_ended, tap
        self.lock = threading.Lock()
        self.flows: dict[Link, TcpFlow] = {}
        self.outgoing: dict[tuple[str, int], TcpFlow] = {}
        self.slow_dials: set[tuple[str, int]] = set()  # the lab hubs with a connect that was not up in time
        self.oversized_datagrams = self.dropped_datagrams = 0
        self.next_drop_log_ms = 0.0
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UDP_BUFFER_BYTES)
        self.udp.bind((host, port))

    def start(self) -> None:
        self.lifecycle.open_listeners += 1
        self.listener = Acceptor(
            self.host,
            self.port,
            self._accept_connection,
            lambda: self.lifecycle.accepts_connections,
            self._listener_closed,
        )
        self.lifecycle.phase_listeners.append(self.listener.wake)
        start_thread("udp", self._read_udp)

    def _listener_closed(self) -> None:
        self.lifecycle.open_listeners -= 1

    def unsent(self) -> int:
        """Returns the number of connections with data still to be written."""
        with self.lock:
            return sum(link.alive and link.unsent() > 0 for link in self.flows)

    def flow_to(self, transport: str, host: str, port: int) -> Flow:
        """Returns a flow to an address. A TCP connection is reused, or dialled in another thread."""
        if transport != "TCP":
            return UdpFlow(self.udp, host, port, self.tap)
        with self.lock:
            flow = self.outgoing.get((host, port))
            if flow is not None and flow.alive:
                return flow
            flow = self.outgoing[host, port] = TcpFlow(host, port, self.tap, dialled=True)
        try:
            start_thread("dial", lambda: self._dial(flow))
        except RuntimeError:  # the system has no thread left
            self._dial_failed(flow)
        return flow

    def is_to_hub(self, flow: TcpFlow) -> bool:
        """Whether a connection was opened by this side to a lab hub."""
        return flow.dialled and ("TCP", flow.host, flow.port) in self.hubs

    def _dial(self, flow: TcpFlow) -> None:
        try:
            sock = dial(flow.host, flow.port, now_ms() + DIAL_TIMEOUT_MS)
        except OSError as error:
            if flow.settle_dial():
                self._dial_failed(flow)
            if isinstance(error, TimeoutError) and self.is_to_hub(flow):
                self._dial_slowly(flow.host, flow.port)
            return
        if not flow.settle_dial():
            sock.close()
            return
        with contextlib.suppress(RuntimeError):  # the connection has ended, which is logged and reported
            self._start_connection(flow, sock)

    def _dial_slowly(self, host: str, port: int) -> None:
        """Connects to a lab hub for the messages to come, for longer, beside their own dials; once at a time.

        One whose connects all take longer than the dial timeout would never be connected otherwise.
        """
        address = host, port
        with self.lock:
            if address in self.slow_dials:
                return
            self.slow_dials.add(address)
        try:
            sock = dial(host, port, now_ms() + SLOW_DIAL_TIMEOUT_MS)
        except OSError as error:
            log_event("hub_slow_dial_failed", host=host, port=port, error=f"{type(error).__name__} {error}")
            return
        finally:
            with self.lock:
                self.slow_dials.discard(address)
        with self.lock:
            flow = self.outgoing.get(address)
            if flow is None or not flow.alive:
                flow = self.outgoing[address] = TcpFlow(host, port, self.tap, dialled=True)
        if not flow.settle_dial():
            sock.close()
            return
        with contextlib.suppress(RuntimeError):
            self._start_connection(flow, sock)

    def _dial_failed(self, flow: TcpFlow) -> None:
        flow.alive = False
        self.on_flow_ended(flow)

    def _accept_connection(self, sock: socket.socket) -> None:
        try:
            host, port = sock.getpeername()[:2]
        except OSError:
            sock.close()
            return
        if len(self.flows) >= MAX_CONNECTIONS:  # limits the file descriptors
            sock.close()
            return
        self._start_connection(TcpFlow(host, port, self.tap), sock, ReceiveLimiter(now_ms()))

    def _start_connection(
        self, flow: TcpFlow, sock: socket.socket, limiter: ReceiveLimiter | None = None
    ) -> None:
        link = Link(
            sock,
            lambda _, message: self._message_received(flow, message),
            lambda ended_link, reset: self._connection_ended(flow, ended_link, reset),
            limiter,
        )
        with self.lock:
            self.flows[link] = flow
        flow.connected(link)
        try:
            link.start()
        except RuntimeError:  # the system has no thread left
            link.close()
            self._connection_ended(flow, link, reset=False)
            raise

    def _message_received(self, flow: TcpFlow, message: Message | MalformedMessage) -> None:
        if self.tap is not None and isinstance(message, Message):
            self.tap.message_passed("TCP", (flow.host, flow.port), flow.local, message)
        self.on_received(ReceivedMessage(message, flow.host, flow.port, flow, self.is_to_hub(flow)))

    def _connection_ended(self, flow: TcpFlow, link: Link, reset: bool) -> None:
        flow.alive = False
        if self.tap is not None:
            self.tap.connection_closed((flow.host, flow.port), flow.local, reset)
        with self.lock:
            self.flows.pop(link, None)
            if self.outgoing.get((flow.host, flow.port)) is flow:
                del self.outgoing[flow.host, flow.port]
        self.on_flow_ended(flow)

    def _count_dropped(self, host: str, port: int) -> None:
        """Counts a datagram over its source's rate; logs now and then, as each must cost little."""
        self.dropped_datagrams += 1
        now = now_ms()
        if now >= self.next_drop_log_ms:
            self.next_drop_log_ms = now + DROP_LOG_INTERVAL_MS
            log_event("datagram_dropped", host=host, port=port, count=self.dropped_datagrams)

    def _read_udp(self) -> None:
        while True:
            try:
                data, (host, port) = self.udp.recvfrom(65536)
            except OSError:
                if self.udp.fileno() < 0:
                    return
                continue  # an ICMP error for an earlier datagram
            if len(data) > MAX_MESSAGE_BYTES:
                self.oversized_datagrams += 1
                log_event(
                    "oversized_datagram",
                    host=host,
                    port=port,
                    bytes=len(data),
                    count=self.oversized_datagrams,
                )
            elif not self.sources.admit((host, port), data, now_ms()):
                self._count_dropped(host, port)
            elif data.strip(b"\r\n\0"):  # a keep-alive has no content
                message = decode_datagram(data)
                if self.tap is not None and isinstance(message, Message):
                    self.tap.message_passed("UDP", (host, port), (self.host, self.port), message)
                flow = UdpFlow(self.udp, host, port, self.tap)
                is_from_hub = (host, port) in self.sources.trusted
                self.on_received(ReceivedMessage(message, host, port, flow, is_from_hub))
