"""One TCP connection that carries SIP messages: a reader, a writer and a bounded queue between."""

from __future__ import annotations

import contextlib
import errno
import itertools
import os
import queue
import select
import socket
import struct
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass

from landingdeal.clock import now_ms, seconds_until
from landingdeal.core import steps
from landingdeal.core.lifecycle import ConnectionState
from landingdeal.log import log_text
from landingdeal.sip.message import BrokenFraming, Framer, Malformed, Message, Oversize, encode
from landingdeal.threads import start_supervised_thread, start_thread

FOREVER = float("inf")
TCP_CLOSED = 7  # the state after a reset; after an orderly end of the peer it is CLOSE_WAIT, 8
SKIP_MOST = 64 * 1024 * 1024  # of a message that is refused for its size: read and dropped up to here
QUEUE_MOST = 512  # messages waiting for one peer; a peer that reads none of so many is cut off
_RECEIVED = struct.Struct("128xQ")  # tcpi_bytes_received in the system's tcp_info
_TIMEVAL = struct.Struct("ll")  # seconds and microseconds, as the system wants them
READ_SIZE = 16 * 1024
THREAD_MS = 500.0  # for the system to have a thread for a connection: without one it is closed unread
GONE_STATES = frozenset({TCP_CLOSED, 8, 9})  # CLOSE_WAIT and LAST_ACK: the peer has closed its side
NO_ROOM_MS = 50.0  # before the next accept when the system has no descriptor left


def dial(host: str, port: int, deadline_ms: float) -> socket.socket:
    """A connected socket, or OSError at the deadline at the latest."""
    sock = socket.create_connection((host, port), timeout=max(seconds_until(deadline_ms), 0.001))
    return _connected(sock)


def connect(sock: socket.socket, where: tuple[str, int], deadline_ms: float) -> None:
    """The same with a socket that is bound already."""
    sock.settimeout(max(seconds_until(deadline_ms), 0.001))
    sock.connect(where)
    _connected(sock)


def _connected(sock: socket.socket) -> socket.socket:
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def receive_by(sock: socket.socket, deadline_ms: float) -> None:
    """The next recv ends at the deadline with BlockingIOError. Only receiving: a writer is not hurried."""
    left = 0.0 if deadline_ms == FOREVER else max(seconds_until(deadline_ms), 0.001)  # 0: no end
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _TIMEVAL.pack(int(left), int(left % 1 * 1e6)))


_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One message in the queue of a connection's writer."""

    data: bytes
    wanted: Callable[[], bool] | None  # None: it goes out whatever happens


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
        self.waiting: queue.Queue[Outgoing | None] = queue.Queue(QUEUE_MOST)
        self.heard_ms = self.began_ms = now_ms()
        self.alive, self.broken = True, False
        self.number = next(_numbers)  # for the log
        self.why = ""  # why this side ended it; empty where the peer did
        self.handled = 0  # bytes received that have been handled to the end

    def start(self) -> None:
        """Raises RuntimeError where the system has no thread left, also after a while."""
        start_thread("writer", self._write, THREAD_MS)
        try:
            start_thread("reader", self._read, THREAD_MS)
        except RuntimeError:
            self.waiting.put(None)  # the writer ends
            raise

    def send(self, message: Message, wanted: Callable[[], bool] | None = None) -> bool:
        """False if it is not queued. `wanted` is asked by the writer, right before the message goes out."""
        if not self.alive:
            return False
        try:
            self.waiting.put_nowait(Outgoing(encode(message), wanted))
        except queue.Full:  # guards the memory, and the core, against a peer that does not read
            self.end("its peer does not read: too many messages wait")
            return False
        return True

    def unsent(self) -> int:
        """Messages that the system has not taken yet; the one that the writer holds is counted."""
        return self.waiting.unfinished_tasks

    def unread(self) -> bool:
        """Whether bytes have come that were not handled to the end, here or still with the system.

        Compares what the system has received with what was handled: a look into the system's buffer would
        miss what the reader has just taken from there. Between this look and a close right after it no other
        thread of the program runs (the look keeps the interpreter's lock).
        """
        try:
            told = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
            received = _RECEIVED.unpack_from(told)[0] if len(told) >= _RECEIVED.size else -1
            if received >= self.handled:
                return bool(received != self.handled)
            # it keeps no such count: less cannot have been received than was handled
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False  # nothing to read, or nobody to answer

    def held(self, owed: int) -> ConnectionState:
        return ConnectionState(owed, self.unsent(), self.unread())

    def end(self, why: str) -> None:
        """Closes it for a reason that the log tells."""
        self.why = self.why or why
        self.close()

    def close(self) -> None:
        """Both threads see it: the reader at once, the writer when its queue is empty or its send fails."""
        self.alive = False
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _write(self) -> None:
        with contextlib.suppress(OSError):  # guards the writer against a peer that takes nothing any more
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _TIMEVAL.pack(self.STUCK_S, 0))
        while True:
            outgoing = self.waiting.get()
            if outgoing is None:
                break
            try:
                steps.reached(steps.WRITING)
                if outgoing.wanted is None or outgoing.wanted():
                    self.sock.sendall(outgoing.data)
                self.waiting.task_done()
            except BlockingIOError:
                self.why = self.why or "its peer does not read"
                break
            except OSError:
                self.broken = self.alive  # guards against a reset that the writer meets before the reader
                break
        self.close()

    def _read(self) -> None:
        """The reader's thread. However it goes wrong, the connection ends and `on_end` is called."""
        reset = False
        try:
            reset = self._read_to_the_end()
        except OSError:
            # guards against taking our own close for the death of the peer: what is still under way from
            # there then comes back as a reset too, and its standing calls would be thrown away
            reset = self.alive
        except Exception:  # guards what is open here: a handler that goes wrong must not leave it waiting
            traceback.print_exc(file=sys.stderr)
            self._spoilt("its handler failed")
        finally:
            self.close()
            self._finish(reset or self.broken)

    def _finish(self, reset: bool) -> None:
        try:
            self.on_end(self, reset)
        except Exception:  # guards the descriptor and the writer's thread
            traceback.print_exc(file=sys.stderr)
        with contextlib.suppress(queue.Full):  # full: the writer is at work, and its next send fails
            self.waiting.put_nowait(None)
        self.sock.close()

    def _read_to_the_end(self) -> bool:
        """True if the peer has reset the connection."""
        try:
            return self._receive()
        except Oversize as error:
            self._spoilt(str(error))
            self._skip(error)
        except BrokenFraming as error:
            self._spoilt(str(error))
        except BlockingIOError:
            self._spoilt("a message was not whole in time")
        return False

    def _receive(self) -> bool:
        """Hands over message by message until the connection ends; True if the peer has reset it."""
        framer = Framer()
        due, set_to = self.began_ms + self.FIRST_MS, FOREVER
        while True:
            if due != set_to:  # guards against messages that never end, or never begin
                receive_by(self.sock, due)
                set_to = due
            elif due <= now_ms():  # it comes byte by byte
                raise BlockingIOError
            data = self.sock.recv(READ_SIZE)
            if not data:
                return self.alive and self._torn()
            steps.reached(steps.READ)
            self.heard_ms = now_ms()
            began, whole = bool(framer.held), False
            for message in framer.feed(data):
                whole = True
                self.on_message(self, message)
            self.handled += len(data)
            if not framer.held:
                due = FOREVER if whole else due
            elif whole or not began:
                due = min(self.heard_ms + self.UNFINISHED_MS, FOREVER if whole else due)

    def _spoilt(self, why: str) -> None:
        self.why = self.why or why
        self._unreadable()

    def _unreadable(self) -> None:
        """Nothing more can be read here, but what was taken may still be owed an answer. Reader's thread."""

    def _torn(self) -> bool:
        """Guards against an end that looks orderly since the writer's send took the error of a reset."""
        with contextlib.suppress(OSError):
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSED
        return False

    def peer_is_there(self) -> bool:
        """Whether what is sent now can reach the peer, as far as the system knows: ahead of the reader."""
        if not self.alive:
            return False
        with contextlib.suppress(OSError):
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] not in GONE_STATES
        return True

    def _skip(self, error: Oversize) -> None:
        """What becomes of a message that is too large: here its connection just ends."""


class CallerLink(Link):
    """Whoever connects is owed a refusal, an error or a close within 3 s."""

    FIRST_MS = 2000.0
    UNFINISHED_MS = 2000.0
    ANSWERS_MS = 700.0  # for what is open on a connection that can't be read any further to be refused
    trust = 0  # 1: it sent what is whole, 2: a call stood; a release goes to whom it can be told

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[CallerLink, Message | Malformed], None],
        on_end: Callable[[CallerLink, bool], None],
        on_unreadable: Callable[[CallerLink], None],
        owed: Callable[[CallerLink], int],
    ) -> None:
        super().__init__(sock, lambda _, message: on_message(self, message), lambda _, r: on_end(self, r))
        self.on_unreadable, self.owed = on_unreadable, owed

    def _unreadable(self) -> None:
        """Guards what was taken on this connection: it is refused, and written, before the close."""
        self.on_unreadable(self)
        until = now_ms() + self.ANSWERS_MS
        while self.alive and (self.owed(self) or self.unsent()) and now_ms() < until:
            time.sleep(seconds_until(min(now_ms() + 5, until)))

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


class Door:
    """Listens, and hands over each accepted connection from a thread of its own.

    `accepts` is asked all the while; once it says no, whoever the machine has let in by then is still handed
    over, and only then the listener is closed and `on_shut` called.
    """

    def __init__(
        self,
        host: str,
        port: int,
        on_socket: Callable[[socket.socket], None],
        accepts: Callable[[], bool] = lambda: True,
        on_shut: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_socket, self.accepts, self.on_shut = on_socket, accepts, on_shut
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(512)
        self.listener.setblocking(False)
        self.bell = os.eventfd(0, os.EFD_NONBLOCK)
        start_supervised_thread("accept", self._run)

    def wake(self) -> None:
        """From any thread: `accepts` may have changed."""
        os.eventfd_write(self.bell, 1)

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self.listener, select.POLLIN)
        poll.register(self.bell, select.POLLIN)
        while self.accepts():
            poll.poll()
            with contextlib.suppress(BlockingIOError):
                os.eventfd_read(self.bell)
            self._empty()
        self._empty()
        self.listener.close()
        self.on_shut()

    def _empty(self) -> None:
        """Takes whoever waits; out of descriptors, whoever waits stays there a while."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                    time.sleep(seconds_until(now_ms() + NO_ROOM_MS))
                    return
                continue  # it was gone before it was taken
            steps.reached(steps.ACCEPTED)
            try:
                sock.setblocking(True)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.on_socket(sock)
            except Exception as error:  # guards all later ones against what goes wrong with this one
                log_text(f"a connection could not be taken: {type(error).__name__} {error}")
                sock.close()
