"""The event loop of a trial: one thread with a selector, a timer heap and nonblocking connections."""

from __future__ import annotations

import heapq
import itertools
import selectors
import socket
import struct
import time
from collections import deque
from collections.abc import Callable

from landingdeal.lab.ports import free_port
from landingdeal.sip.message import Framer, FramingError, MalformedMessage, Message

MAX_WAIT_S = 0.02  # the longest wait in the selector
READ_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with time 0: close() sends a reset


class TrialEventLoop:
    """Runs callbacks at given times and on socket events. Times are seconds of the system's Unix clock."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.max_lag_s = 0.0  # the longest delay of an iteration

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (when, next(self._order), callback))

    def call_after(self, seconds: float, callback: Callable[[], None]) -> None:
        self.call_at(time.time() + seconds, callback)

    def run(self, done: Callable[[], bool], deadline: float) -> bool:
        """Runs until `done` returns True or the deadline has passed; returns False in the second case."""
        last_iteration = time.time()
        while not done():
            now = time.time()
            self.max_lag_s, last_iteration = max(self.max_lag_s, now - last_iteration - MAX_WAIT_S), now
            if now >= deadline:
                return False
            due = min(self._timers[0][0] if self._timers else deadline, deadline, now + MAX_WAIT_S)
            for key, mask in self.selector.select(max(due - now, 0.0)):
                key.data(mask)
            while self._timers and self._timers[0][0] <= time.time():
                heapq.heappop(self._timers)[2]()
        return True

    def listen(self, on_accepted: Callable[[socket.socket], None], port: int = 0) -> socket.socket:
        """Listens on `port`, or on a port that stays free while nothing listens there."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port or free_port()))
        listener.listen(64)
        listener.setblocking(False)

        def ready(_mask: int) -> None:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            on_accepted(sock)

        self.selector.register(listener, selectors.EVENT_READ, ready)
        return listener

    def close_listener(self, listener: socket.socket) -> None:
        self.selector.unregister(listener)
        listener.close()

    def close(self) -> None:
        """Closes all sockets that are still registered, and the selector."""
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()


class EmulatedConnection:
    """A nonblocking connection of an emulated party. `on_end` is called once, unless the party closes it."""

    def __init__(
        self,
        loop: TrialEventLoop,
        sock: socket.socket,
        on_message: Callable[[EmulatedConnection, Message], None],
        on_end: Callable[[EmulatedConnection], None] = lambda _: None,
        on_unreadable: Callable[[EmulatedConnection], None] = lambda _: None,
        raw: bool = False,
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sock, self.raw = loop, sock, raw
        self.on_message, self.on_end, self.on_unreadable = on_message, on_end, on_unreadable
        self.framer = Framer()
        self.received = b""  # only if `raw`: not split into messages
        self.ended = self.hung = False
        self._unsent: deque[tuple[bytes, Callable[[], None]]] = deque()
        loop.selector.register(sock, selectors.EVENT_READ, self._ready)

    def send(self, data: bytes, on_written: Callable[[], None] = lambda: None) -> None:
        """`on_written` is called when the kernel has accepted the last byte."""
        if not self.ended:
            self._unsent.append((data, on_written))
            self._flush()

    def send_in_pieces(self, data: bytes, pieces: int, gap_s: float, on_written: Callable[[], None]) -> None:
        """Nothing else may be sent on this connection until `on_written` is called."""
        size = max(len(data) // pieces, 1)
        parts = [data[at : at + size] for at in range(0, len(data), size)]

        def send_part(number: int) -> None:
            last = number == len(parts) - 1
            self.send(parts[number], on_written if last else lambda: None)
            if not last:
                self.loop.call_after(gap_s, lambda: send_part(number + 1))

        send_part(0)

    def hang(self, hung: bool) -> None:
        """Starts or ends a hang: the connection stays open but neither reads nor writes."""
        if not self.ended and hung is not self.hung:
            self.hung = hung
            if hung:
                self.loop.selector.unregister(self.sock)
            else:
                self.loop.selector.register(self.sock, selectors.EVENT_READ, self._ready)
                self._flush()

    def close(self, reset: bool = False) -> None:
        if self.ended:
            return
        self.ended = True
        if not self.hung:
            self.loop.selector.unregister(self.sock)
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.sock.close()

    def _flush(self) -> None:
        while self._unsent and not self.ended and not self.hung:
            data, on_written = self._unsent[0]
            try:
                count = self.sock.send(data) if data else 0
            except BlockingIOError:
                events = selectors.EVENT_READ | selectors.EVENT_WRITE
                self.loop.selector.modify(self.sock, events, self._ready)
                return
            except OSError:
                self._end()
                return
            if count < len(data):
                self._unsent[0] = data[count:], on_written
                continue
            self._unsent.popleft()
            on_written()

    def _end(self) -> None:
        if not self.ended:
            self.close()
            self.on_end(self)

    def _ready(self, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            self.loop.selector.modify(self.sock, selectors.EVENT_READ, self._ready)
            self._flush()
        if self.ended or self.hung or not mask & selectors.EVENT_READ:
            return
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end()
            return
        if self.raw:
            self.received += data
            return
        try:
            for message in self.framer.feed(data):
                if self.ended:
                    return  # a handler closed the connection: the party never sees the rest
                if isinstance(message, MalformedMessage):
                    self.on_unreadable(self)
                else:
                    self.on_message(self, message)
        except FramingError:
            self.on_unreadable(self)
            self.close()
