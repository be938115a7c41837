"""One TCP connection that carries SIP messages: a reader, a writer and a bounded queue between."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct
import sys
import threading
import traceback
from collections.abc import Callable

from landingdeal.clock import now_ms, seconds_until
from landingdeal.log import say
from landingdeal.sip.message import BrokenFraming, Framer, Malformed, Message, Oversize, encode

FOREVER = float("inf")
TCP_CLOSED = 7  # the state after a reset; after an orderly end of the peer it is CLOSE_WAIT, 8
SKIP_MOST = 64 * 1024 * 1024  # of a message that is refused for its size: read and dropped up to here
QUEUE_MOST = 512  # messages waiting for one peer; a peer that reads none of so many is cut off
STACK = 256 * 1024
_TIMEVAL = struct.Struct("ll")  # seconds and microseconds, as the system wants them
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


def receive_by(sock: socket.socket, deadline_ms: float) -> None:
    """The next recv ends at the deadline with BlockingIOError. Only receiving: a writer is not hurried."""
    left = 0.0 if deadline_ms == FOREVER else max(seconds_until(deadline_ms), 0.001)  # 0: no end
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _TIMEVAL.pack(int(left), int(left % 1 * 1e6)))


class Link:
    """Nobody waits on it: `send` queues, `close` only marks. `on_end` runs once, in the reader's thread."""

    FIRST_MS = FOREVER  # by then, counted from the connect, a first whole message has come
    UNFINISHED_MS = 3000.0  # by then, counted from its first byte, a message is whole
    STUCK_S = 3  # a peer that takes nothing for so long is cut off

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[Link, Message | Malformed], None],
        on_end: Callable[[Link, bool], None],
    ) -> None:
        self.sock = sock
        self.on_message, self.on_end = on_message, on_end
        self.waiting: queue.Queue[bytes | None] = queue.Queue(QUEUE_MOST)
        self.heard_ms = self.began_ms = now_ms()
        self.alive, self.broken = True, False

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
        with contextlib.suppress(OSError):  # guards the writer against a peer that takes nothing any more
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _TIMEVAL.pack(self.STUCK_S, 0))
        while True:
            data = self.waiting.get()
            if data is None:
                break
            try:
                self.sock.sendall(data)
            except BlockingIOError:
                say("a connection whose peer does not read is closed")
                break
            except OSError:
                self.broken = self.alive  # guards against a reset that the writer meets before the reader
                break
        self.close()

    def _read(self) -> None:
        framer, reset = Framer(), False
        due, set_to = self.began_ms + self.FIRST_MS, FOREVER
        try:
            while True:
                if due != set_to:  # guards against messages that never end, or never begin
                    receive_by(self.sock, due)
                    set_to = due
                elif due <= now_ms():  # it comes byte by byte
                    raise BlockingIOError
                data = self.sock.recv(READ_SIZE)
                if not data:
                    reset = self.alive and self._torn()
                    break
                self.heard_ms = now_ms()
                began, whole = bool(framer.held), False
                for message in framer.feed(data):
                    whole = True
                    self.on_message(self, message)
                if not framer.held:
                    due = FOREVER if whole else due
                elif whole or not began:
                    due = min(self.heard_ms + self.UNFINISHED_MS, FOREVER if whole else due)
        except Oversize as error:
            say(f"a connection is closed: {error}")
            self._skip(error)
        except BrokenFraming as error:
            say(f"a connection is closed: {error}")
        except BlockingIOError:
            say("a connection is closed: a message was not whole in time")
        except OSError:
            # guards against taking our own close for the death of the peer: what is still under way from
            # there then comes back as a reset too, and its standing calls would be thrown away
            reset = self.alive
        except Exception:  # guards what is open here: a handler that goes wrong must not leave it waiting
            traceback.print_exc(file=sys.stderr)
        self.close()
        self.on_end(self, reset or self.broken)
        with contextlib.suppress(queue.Full):  # full: the writer is at work, and its next send fails
            self.waiting.put_nowait(None)
        self.sock.close()

    def _torn(self) -> bool:
        """Guards against an end that looks orderly since the writer's send took the error of a reset."""
        with contextlib.suppress(OSError):
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSED
        return False

    def _skip(self, error: Oversize) -> None:
        """Refused, then read without being kept: a close with bytes unread would overtake the refusal."""
        self.on_message(self, error.malformed)
        left, until, into = error.rest, now_ms() + self.UNFINISHED_MS, bytearray(4 * READ_SIZE)
        if left > SKIP_MOST:
            return
        with contextlib.suppress(OSError):
            while left > 0 and now_ms() < until:
                receive_by(self.sock, until)
                count = self.sock.recv_into(into)
                if not count:
                    return
                left -= count


class CallerLink(Link):
    """Whoever connects is owed a refusal, an error or a close within 3 s."""

    FIRST_MS = 2000.0
    UNFINISHED_MS = 2000.0
    trust = 0  # 1: it sent what is whole, 2: a call stood; a release goes to whom it can be told


class HubLink(Link):
    """A lab hub writes its messages in one go: one that stops short has spoilt its connection."""

    UNFINISHED_MS = 400.0

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[HubLink, Message | Malformed], None],
        on_end: Callable[[HubLink, bool], None],
    ) -> None:
        super().__init__(sock, lambda _, message: on_message(self, message), lambda _, r: on_end(self, r))
        self.asked_ms = 0.0  # when it was asked whether anyone is still there, having been replaced
        self.replaced_ms = 0.0
        self.unanswered_ms = 0.0  # the first set-up sent here since anything was heard
        self.final_ms = 0.0  # the last answer to a set-up
        self.given_up: dict[str, None] = {}  # set-ups called off: an answer that crossed that is released

    def mute_for(self, now: float) -> float:
        """How long set-ups have gone out here without a word coming back."""
        return now - self.unanswered_ms if self.unanswered_ms > self.heard_ms else 0.0


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
