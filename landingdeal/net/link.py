"""One TCP connection that carries SIP messages: a reader, a writer and a bounded queue between."""

from __future__ import annotations

import contextlib
import queue
import socket
import threading
from collections.abc import Callable

from landingdeal.clock import now_ms, seconds_until
from landingdeal.log import say
from landingdeal.sip.message import BrokenFraming, Framer, Malformed, Message, encode

QUEUE_MOST = 512  # messages waiting for one peer; a peer that reads none of so many is cut off
STACK = 256 * 1024
READ_SIZE = 16 * 1024


def start_thread(name: str, work: Callable[[], None]) -> None:
    threading.stack_size(STACK)
    threading.Thread(target=work, name=name, daemon=True).start()


def dial(host: str, port: int, deadline_ms: float) -> socket.socket:
    """A connected socket, or OSError at the deadline at the latest."""
    sock = socket.create_connection((host, port), timeout=max(seconds_until(deadline_ms), 0.001))
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class Link:
    """Nobody waits on it: `send` queues, `close` only marks. `on_end` runs once, in the reader's thread."""

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[Link, Message | Malformed], None],
        on_end: Callable[[Link, bool], None],
    ) -> None:
        self.sock = sock
        self.on_message, self.on_end = on_message, on_end
        self.waiting: queue.Queue[bytes | None] = queue.Queue(QUEUE_MOST)
        self.heard_ms = now_ms()
        self.alive = True

    def start(self) -> None:
        start_thread("writer", self._write)
        start_thread("reader", self._read)

    def send(self, message: Message) -> bool:
        if not self.alive:
            return False
        try:
            self.waiting.put_nowait(encode(message))
        except queue.Full:  # guards the memory, and the core, against a peer that does not read
            say("a connection whose peer does not read is closed")
            self.close()
            return False
        return True

    def close(self) -> None:
        """Both threads see it: the reader at once, the writer when its queue is empty or its send fails."""
        self.alive = False
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _write(self) -> None:
        while True:
            data = self.waiting.get()
            if data is None:
                break
            try:
                self.sock.sendall(data)
            except OSError:
                break
        self.close()

    def _read(self) -> None:
        framer, reset = Framer(), False
        try:
            while True:
                data = self.sock.recv(READ_SIZE)
                if not data:
                    break
                self.heard_ms = now_ms()
                for message in framer.feed(data):
                    self.on_message(self, message)
        except BrokenFraming as error:
            say(f"a connection is closed: {error}")
        except OSError:
            # guards against taking our own close for the death of the peer: what is still under way from
            # there then comes back as a reset too, and its standing calls would be thrown away
            reset = self.alive
        self.close()
        self.on_end(self, reset)
        with contextlib.suppress(queue.Full):  # full: the writer is at work, and its next send fails
            self.waiting.put_nowait(None)
        self.sock.close()


def serve(host: str, port: int, on_socket: Callable[[socket.socket], None]) -> socket.socket:
    """Listens, and hands over each accepted connection from a thread of its own."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(512)

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                if listener.fileno() < 0:
                    return
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            on_socket(sock)

    start_thread("accept", accept)
    return listener
