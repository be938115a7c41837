"""TCP connections that carry SIP messages: each has a reader, a writer and a bounded send queue."""

from __future__ import annotations

import contextlib
import itertools
import queue
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

from landingdeal.clock import now_ms, seconds_until
from landingdeal.core import steps
from landingdeal.core.lifecycle import ConnectionState
from landingdeal.core.pending_send import PendingSend
from landingdeal.log import LogShare, log_event, log_exception
from landingdeal.net.byte_budget import ByteBudget
from landingdeal.net.receive_limiter import ReceiveLimiter, units_of
from landingdeal.sip.message import Framer, FramingError, MalformedMessage, Message, OversizedMessage, encode
from landingdeal.threads import start_thread

NO_DEADLINE = float("inf")
TCP_CLOSED = 7  # TCP state after a reset; after an orderly close by the peer it is CLOSE_WAIT, 8
MAX_DISCARDED_BYTES = 64 * 1024 * 1024  # of an oversized message that is refused, then read and dropped
MAX_QUEUED_MESSAGES = 512  # per connection; a peer that leaves so many messages unread is disconnected
MAX_QUEUED_BYTES_IN_ALL = 16 * 1024 * 1024  # of the messages that wait to be sent, over all connections
MAX_PARTIAL_BYTES_IN_ALL = 4 * 1024 * 1024  # of the messages that are not complete yet, over all connections
MAX_UNSENT_MESSAGES, MAX_UNSENT_BYTES = 64, 64 * 1024  # of a caller; with more it is not read any further
UNSENT_POLL_MS = 5.0
_TCPI_BYTES_RECEIVED = struct.Struct("128xQ")  # field tcpi_bytes_received of struct tcp_info
_TIMEVAL = struct.Struct("ll")  # struct timeval: seconds and microseconds
READ_SIZE = 16 * 1024
THREAD_START_TIMEOUT_MS = 500.0  # a connection that gets no thread by then is closed unread
CLOSED_BY_PEER_STATES = frozenset({TCP_CLOSED, 8, 9})  # CLOSE_WAIT and LAST_ACK: the peer has closed its side


def dial(host: str, port: int, deadline_ms: float) -> socket.socket:
    """Returns a connected socket; raises OSError by the deadline at the latest."""
    sock = socket.create_connection((host, port), timeout=max(seconds_until(deadline_ms), 0.001))
    return _set_blocking(sock)


def connect(sock: socket.socket, address: tuple[str, int], deadline_ms: float) -> None:
    """Connects a socket that is already bound; raises OSError by the deadline at the latest."""
    sock.settimeout(max(seconds_until(deadline_ms), 0.001))
    sock.connect(address)
    _set_blocking(sock)


def _set_blocking(sock: socket.socket) -> socket.socket:
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def set_receive_deadline(sock: socket.socket, deadline_ms: float) -> None:
    """Lets the next recv fail with BlockingIOError at the deadline. Sending has a timeout of its own."""
    remaining = 0.0 if deadline_ms == NO_DEADLINE else max(seconds_until(deadline_ms), 0.001)  # 0: no timeout
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVTIMEO, _TIMEVAL.pack(int(remaining), int(remaining % 1 * 1e6))
    )


_link_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One message in the send queue of a connection."""

    data: bytes
    still_wanted: Callable[[], bool] | None  # None: the message is always sent


class EndOfSending:
    """In the send queue of a connection: what was queued before is sent, then this side is closed."""


class Link:
    """One TCP connection with a peer. No method waits for the peer.

    `send` queues, `close` does not wait for the threads, and `on_end` runs once, in the reader's thread.
    """

    FIRST_MESSAGE_TIMEOUT_MS = NO_DEADLINE  # from the connect to the end of the first message
    MESSAGE_TIMEOUT_MS = 3000.0  # from the first byte of a message to its last
    SEND_TIMEOUT_S = 3  # a peer that reads nothing for so long is disconnected

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[Link, Message | MalformedMessage], None],
        on_end: Callable[[Link, bool], None],
        limiter: ReceiveLimiter | None = None,
    ) -> None:
        """With `limiter`, a peer that sends more than it allows is read more slowly."""
        self.sock, self.limiter = sock, limiter
        self.on_message, self.on_end = on_message, on_end
        self.send_queue: queue.Queue[Outgoing | EndOfSending | None] = queue.Queue(MAX_QUEUED_MESSAGES)
        self.last_received_ms = self.opened_ms = now_ms()
        self.alive, self.writer_failed = True, False
        self.finishing_ms = 0.0  # when this side closed it for sending; 0 if it has not
        self.closed_by_peer = False  # all that the peer wrote was read, up to its close
        self.reset_after_close = False  # the peer has answered the close of this side with a reset
        self.number = next(_link_numbers)  # identifies the connection in the log
        self.close_reason = ""  # why this side closed it; empty if the peer did
        self.log_share = LogShare()
        self.paused = False  # it was read slowly at least once
        self.stop_reason = ""  # why no more is read; empty: it is read
        self.handled_bytes = 0  # bytes received whose messages have been handled
        self.partial_since_ms = 0.0  # since when a message is incomplete; 0 if none is

    def stop_reading(self, reason: str) -> None:
        """Ends the reading as a malformed stream does: set-ups that came here are answered first."""
        self.stop_reason = self.stop_reason or reason
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)  # wakes the reader

    def start(self) -> None:
        """Starts both threads; raises RuntimeError if the system still refuses one after the timeout."""
        start_thread("writer", self._write, THREAD_START_TIMEOUT_MS)
        try:
            start_thread("reader", self._read, THREAD_START_TIMEOUT_MS)
        except RuntimeError:
            self.send_queue.put(None)  # ends the writer
            raise

    def send(self, message: Message, still_wanted: Callable[[], bool] | None = None) -> bool:
        """Queues a message; False if the connection has ended or its queue is full.

        The writer calls `still_wanted` right before it sends the message, and drops it on False.
        """
        if not self.alive or self.finishing:
            return False
        data = encode(message)
        try:
            self.send_queue.put_nowait(Outgoing(data, still_wanted))
        except queue.Full:  # bounds the memory; the core never waits for a peer that does not read
            self.close_with_reason("its peer does not read: too many messages wait")
            return False
        largest = queued_bytes.add(self, len(data))
        if not self.alive:
            queued_bytes.update(self, 0)
        if largest is not None:
            largest.close_with_reason("its peer does not read: too many bytes wait in all")
        return largest is not self

    @property
    def finishing(self) -> bool:
        """Whether this side is closed for sending, while the peer's messages are still read."""
        return self.finishing_ms > 0

    def finish(self, close_reason: str) -> None:
        """Closes this side once all queued messages are written; the peer is read until it closes too.

        What the peer writes before it sees the end is thus received. The owner bounds how long that may take.
        """
        if not self.alive or self.finishing:
            return
        self.close_reason = self.close_reason or close_reason
        self.finishing_ms = now_ms()
        try:
            self.send_queue.put_nowait(EndOfSending())
        except queue.Full:
            self.close()

    def unsent(self) -> int:
        """Number of messages not yet handed to the system, the one that the writer is sending included."""
        return self.send_queue.unfinished_tasks

    def unread(self) -> bool:
        """Whether bytes have been received that are not handled yet, in this process or in the kernel.

        Compares the kernel's count of received bytes with the handled ones: the receive buffer alone would
        not show what the reader has just taken from it. No other thread of the program runs between this
        check and a close right after it, since the check does not release the interpreter lock.
        """
        try:
            tcp_info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
            received = (
                _TCPI_BYTES_RECEIVED.unpack_from(tcp_info)[0]
                if len(tcp_info) >= _TCPI_BYTES_RECEIVED.size
                else -1
            )
            if received >= self.handled_bytes:
                return bool(received != self.handled_bytes)
            # the kernel keeps no such count: it would never be below the handled bytes
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False  # nothing to read, or the connection has failed

    def pending_work(self, unanswered: int) -> ConnectionState:
        return ConnectionState(unanswered, self.unsent(), self.unread())

    def close_with_reason(self, close_reason: str) -> None:
        """Closes the connection; the first reason given is logged."""
        self.close_reason = self.close_reason or close_reason
        self.close()

    def close(self) -> None:
        """Ends both threads: the reader at once, the writer when its queue is empty or a send fails."""
        self.alive = False
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _write(self) -> None:
        with contextlib.suppress(OSError):  # a peer that does not read must not block the writer forever
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _TIMEVAL.pack(self.SEND_TIMEOUT_S, 0))
        while True:
            outgoing = self.send_queue.get()
            if outgoing is None:
                break
            if isinstance(outgoing, EndOfSending):
                self._end_sending()
                return
            try:
                steps.reached(steps.WRITING)
                if outgoing.still_wanted is None or outgoing.still_wanted():
                    self.sock.sendall(outgoing.data)
                self.send_queue.task_done()
                queued_bytes.add(self, -len(outgoing.data))
            except BlockingIOError:
                self.close_reason = self.close_reason or "its peer does not read"
                break
            except OSError:
                self.writer_failed = self.alive  # the reader may then not see the reset itself
                break
        self.close()
        self._drop_queued()

    def _drop_queued(self) -> None:
        """Frees what will never be sent."""
        with contextlib.suppress(queue.Empty):
            while True:
                self.send_queue.get_nowait()
        queued_bytes.update(self, 0)

    def _end_sending(self) -> None:
        with contextlib.suppress(OSError):  # the reader sees how the connection has ended
            self.sock.shutdown(socket.SHUT_WR)
        self.send_queue.task_done()

    def _read(self) -> None:
        """Runs in the reader's thread. On any error the connection is closed and `on_end` is called."""
        reset = False
        try:
            reset = self._read_to_the_end()
        except OSError:
            # after a close of our own, data still in flight from the peer causes a reset too; taking that for
            # a failure of the peer would release its established calls
            reset = self.alive
            self.reset_after_close = self.alive and self.finishing
        except Exception:  # a failing handler must not leave this connection's set-ups unanswered
            log_exception()
            self._stop_reading("its handler failed")
        finally:
            self.close()
            # a peer may reset what this side has closed; that is no failure of the peer either
            self._finish((reset or self.writer_failed) and not self.finishing)

    def _finish(self, reset: bool) -> None:
        try:
            self.on_end(self, reset)
        except Exception:  # the writer must end and the descriptor be freed all the same
            log_exception()
        partial_bytes.update(self, 0)
        queued_bytes.update(self, 0)
        with contextlib.suppress(queue.Full):  # full: the writer is busy, and its next send fails
            self.send_queue.put_nowait(None)
        self.sock.close()

    def _read_to_the_end(self) -> bool:
        """Reads until the connection ends; True if the peer has reset it."""
        try:
            return self._receive()
        except OversizedMessage as error:
            self._stop_reading(str(error))
            self._discard_rest(error)
        except FramingError as error:
            self._stop_reading(str(error))
        except BlockingIOError:
            self._stop_reading("a message was not whole in time")
        return False

    def _receive(self) -> bool:
        """Passes each message to `on_message` until the connection ends; True if the peer has reset it."""
        framer = Framer()
        due_ms, applied_due_ms = self.opened_ms + self.FIRST_MESSAGE_TIMEOUT_MS, NO_DEADLINE
        while True:
            if due_ms != applied_due_ms:  # ends connections whose message never begins or never ends
                set_receive_deadline(self.sock, due_ms)
                applied_due_ms = due_ms
            elif due_ms <= now_ms():  # single bytes arrive, so that no recv times out
                raise BlockingIOError
            data = self.sock.recv(READ_SIZE)
            if self.stop_reason:
                raise FramingError(self.stop_reason)
            if not data:
                # after a close of both sides the TCP state is that of a reset
                reset = self.alive and not self.finishing and self._reset_by_peer()
                self.closed_by_peer = self.alive and not reset and not self.writer_failed
                if self.closed_by_peer:
                    self._finish_pending_answers()
                return reset
            steps.reached(steps.READ)
            self.last_received_ms = now_ms()
            was_partial, completed = bool(framer.buffer), False
            for message in framer.feed(data):
                completed = True
                self.on_message(self, message)
                self._pause_after(message)
            self.handled_bytes += len(data)
            if was_partial or framer.buffer:
                self._count_partial_bytes(len(framer.buffer))
            if not framer.buffer:
                self.partial_since_ms = 0.0
                due_ms = NO_DEADLINE if completed else due_ms
            elif completed or not was_partial:
                self.partial_since_ms = self.last_received_ms
                due_ms = min(
                    self.last_received_ms + self.MESSAGE_TIMEOUT_MS, NO_DEADLINE if completed else due_ms
                )

    def _pause_after(self, message: Message | MalformedMessage) -> None:
        pause_ms = self.limiter.pause_ms(units_of(message), now_ms()) if self.limiter is not None else 0.0
        if pause_ms > 0:
            if not self.paused:
                log_event("connection_read_slowly", link=self.number)
            self.paused = True
            time.sleep(seconds_until(now_ms() + pause_ms))
        if self.limiter is not None:
            self._wait_for_reading_peer()

    def _wait_for_reading_peer(self) -> None:
        """Reads no further while much waits to be sent to a peer that asks faster than it reads."""
        while (
            self.alive
            and not self.stop_reason
            and (
                self.send_queue.qsize() > MAX_UNSENT_MESSAGES or queued_bytes.held_by(self) > MAX_UNSENT_BYTES
            )
        ):
            time.sleep(seconds_until(now_ms() + UNSENT_POLL_MS))

    def _count_partial_bytes(self, held_bytes: int) -> None:
        largest = partial_bytes.update(self, held_bytes)
        if largest is not None:
            largest.stop_reading("incomplete messages take too much memory")

    def _stop_reading(self, close_reason: str) -> None:
        self.close_reason = self.close_reason or close_reason
        self._finish_pending_answers()

    def _finish_pending_answers(self) -> None:
        """Hook of the reader's thread when no more can be read: received set-ups may still lack an answer."""

    def _reset_by_peer(self) -> bool:
        """Whether an end that looks orderly was a reset whose error the writer's send has consumed."""
        with contextlib.suppress(OSError):
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSED
        return False

    def peer_reachable(self) -> bool:
        """Whether the peer can still receive, by the TCP state: it changes before the reader sees an end."""
        if not self.alive:
            return False
        with contextlib.suppress(OSError):
            return (
                self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] not in CLOSED_BY_PEER_STATES
            )
        return True

    def _discard_rest(self, error: OversizedMessage) -> None:
        """Handles an oversized message: here the connection just ends."""


partial_bytes: ByteBudget[Link] = ByteBudget(MAX_PARTIAL_BYTES_IN_ALL)
queued_bytes: ByteBudget[Link] = ByteBudget(MAX_QUEUED_BYTES_IN_ALL)


class CallerLink(Link):
    """A connection from a caller. Each gets a refusal, an error or a close within 3 s."""

    FIRST_MESSAGE_TIMEOUT_MS = 2000.0
    MESSAGE_TIMEOUT_MS = 2000.0
    REFUSAL_TIMEOUT_MS = 700.0  # for refusing the pending set-ups of an unreadable connection
    # 1: it has sent a valid message, 2: a call was established on it; releases go to the highest level
    trust_level = 0

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[CallerLink, Message | MalformedMessage], None],
        on_end: Callable[[CallerLink, bool], None],
        on_unreadable: Callable[[CallerLink], None],
        unanswered: Callable[[CallerLink], int],
    ) -> None:
        super().__init__(
            sock,
            lambda _, message: on_message(self, message),
            lambda _, reset: on_end(self, reset),
            ReceiveLimiter(now_ms()),
        )
        self.on_unreadable, self.unanswered = on_unreadable, unanswered

    def _finish_pending_answers(self) -> None:
        """Waits until the set-ups received here have been refused and the refusals written."""
        self.on_unreadable(self)
        until = now_ms() + self.REFUSAL_TIMEOUT_MS
        while self.alive and (self.unanswered(self) or self.unsent()) and now_ms() < until:
            time.sleep(seconds_until(min(now_ms() + 5, until)))

    def _discard_rest(self, error: OversizedMessage) -> None:
        """Refuses the message, then drops its rest: a close with unread bytes would discard the refusal."""
        self.on_message(self, error.malformed)
        remaining, until, buffer = (
            error.remaining_bytes,
            now_ms() + self.MESSAGE_TIMEOUT_MS,
            bytearray(READ_SIZE),
        )
        if remaining > MAX_DISCARDED_BYTES:
            return
        with contextlib.suppress(OSError):
            while remaining > 0 and now_ms() < until:
                set_receive_deadline(self.sock, until)
                count = self.sock.recv_into(buffer)
                if not count:
                    return
                remaining -= count


class HubLink(Link):
    """A connection to a lab hub.

    A message that stays incomplete may have been cut short, and swallow those after it: the connection is
    replaced then, but read on, since its lab hub may only be slow.
    """

    STALL_TIMEOUT_MS = 400.0  # from the first byte of a message

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[HubLink, Message | MalformedMessage], None],
        on_end: Callable[[HubLink, bool], None],
    ) -> None:
        super().__init__(sock, lambda _, message: on_message(self, message), lambda _, r: on_end(self, r))
        self.dialled_address: tuple[str, int] | None = None
        self.dialled_ms = self.opened_ms  # when the connect began
        self.for_recovery = False  # opened so that the lab hub repeats its releases; no set-up is sent here
        self.probed_ms = 0.0  # when OPTIONS was sent here after the connection had been replaced
        self.outlived_replacement = False  # a message came here after the first of these probes
        self.replaced_ms = 0.0  # when the connection that replaces it came up
        self.first_unanswered_ms = 0.0  # the first set-up sent here since the last received message
        self.received_malformed = False  # a message that could not be decoded came here
        self.last_answer_ms = 0.0  # the last final answer to a set-up
        self.pending_sends: dict[str, PendingSend] = {}  # of the set-ups sent here, by call
        self.reader_started = False
        self.was_stalled = False  # at the last check of its lab hub

    def start(self) -> None:
        """Starts both threads, the reader first; after a RuntimeError it may be called again.

        The connection stays open meanwhile: releases that its lab hub writes there are not repeated.
        """
        if not self.reader_started:
            start_thread("reader", self._read, THREAD_START_TIMEOUT_MS)
            self.reader_started = True
        start_thread("writer", self._write, THREAD_START_TIMEOUT_MS)

    @property
    def heard_since_probe(self) -> bool:
        """Whether a message came here after the last probe."""
        return self.last_received_ms > self.probed_ms > 0

    @property
    def heard(self) -> bool:
        """Whether anything came here."""
        return self.last_received_ms > self.opened_ms

    def is_stalled(self, now: float) -> bool:
        """Whether a message has been incomplete for too long."""
        partial_since_ms = self.partial_since_ms
        return partial_since_ms > 0 and now - partial_since_ms > self.STALL_TIMEOUT_MS

    def withdraw(self, call: str) -> bool:
        """Withdraws a set-up that still waits to be written; False if it is being or was written."""
        pending_send = self.pending_sends.pop(call, None)
        return pending_send is not None and pending_send.ensure_withdrawn()

    def unresponsive_for_ms(self, now: float) -> float:
        """For how long set-ups have been sent here without anything being received."""
        return now - self.first_unanswered_ms if self.first_unanswered_ms > self.last_received_ms else 0.0
