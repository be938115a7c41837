"""One thread that plays every party of a trial: a selector, a timer heap and nonblocking connections."""

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

TICK_S = 0.02  # the longest wait of the selector
READ_SIZE = 65536
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: the close sends a reset


class Loop:
    """Times are seconds of the system's Unix clock."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.lag_s = 0.0  # the longest time between two looks

    def at(self, when: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (when, next(self._order), work))

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        self.at(time.time() + seconds, work)

    def run(self, done: Callable[[], bool], deadline: float) -> bool:
        """Plays until `done`, or the deadline; False if that came first."""
        looked = time.time()
        while not done():
            now = time.time()
            self.lag_s, looked = max(self.lag_s, now - looked - TICK_S), now
            if now >= deadline:
                return False
            due = min(self._timers[0][0] if self._timers else deadline, deadline, now + TICK_S)
            for key, mask in self.selector.select(max(due - now, 0.0)):
                key.data(mask)
            while self._timers and self._timers[0][0] <= time.time():
                heapq.heappop(self._timers)[2]()
        return True

    def listen(self, accepted: Callable[[socket.socket], None], port: int = 0) -> socket.socket:
        """At that port, or at one that stays free while nobody listens there."""
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
            accepted(sock)

        self.selector.register(listener, selectors.EVENT_READ, ready)
        return listener

    def unlisten(self, listener: socket.socket) -> None:
        self.selector.unregister(listener)
        listener.close()

    def close(self) -> None:
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()


class Connection:
    """A nonblocking connection of one emulated party. `on_end` is called once, unless the party closes it."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_message: Callable[[Connection, Message], None],
        on_end: Callable[[Connection], None] = lambda _: None,
        on_unreadable: Callable[[Connection], None] = lambda _: None,
        raw: bool = False,
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sock, self.raw = loop, sock, raw
        self.on_message, self.on_end, self.on_unreadable = on_message, on_end, on_unreadable
        self.framer = Framer()
        self.received = b""  # only where `raw`: not cut into messages
        self.ended = self.hung = False
        self._out: deque[tuple[bytes, Callable[[], None]]] = deque()
        loop.selector.register(sock, selectors.EVENT_READ, self._ready)

    def send(self, data: bytes, written: Callable[[], None] = lambda: None) -> None:
        """`written` is called once the system has taken the last byte."""
        if not self.ended:
            self._out.append((data, written))
            self._flush()

    def send_in_pieces(self, data: bytes, pieces: int, gap_s: float, written: Callable[[], None]) -> None:
        """Nothing else may be sent on this connection until `written` is called."""
        size = max(len(data) // pieces, 1)
        parts = [data[at : at + size] for at in range(0, len(data), size)]

        def put(number: int) -> None:
            last = number == len(parts) - 1
            self.send(parts[number], written if last else lambda: None)
            if not last:
                self.loop.after(gap_s, lambda: put(number + 1))

        put(0)

    def hang(self, hung: bool) -> None:
        """Neither reads nor writes any more, and stays open."""
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
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()

    def _flush(self) -> None:
        while self._out and not self.ended and not self.hung:
            data, written = self._out[0]
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
                self._out[0] = data[count:], written
                continue
            self._out.popleft()
            written()

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
            data = self.sock.recv(READ_SIZE)
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
                    return  # its party closed it meanwhile: what is left was never seen
                if isinstance(message, MalformedMessage):
                    self.on_unreadable(self)
                else:
                    self.on_message(self, message)
        except FramingError:
            self.on_unreadable(self)
            self.close()
