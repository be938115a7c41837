"""One request to the event bus, in a thread of its own: connects, asks and reads until a side ends it."""

from __future__ import annotations

import contextlib
import socket
from enum import Enum
from typing import Protocol

from landingdeal.bus.requests import Address
from landingdeal.bus.stream import (
    EventReceived,
    EventStreamDecoder,
    HeadReceived,
    RequestRefused,
    StreamEnded,
    StreamError,
)
from landingdeal.clock import now_ms
from landingdeal.log import log_event, log_exception
from landingdeal.net.byte_budget import ByteBudget
from landingdeal.net.link import connect
from landingdeal.threads import start_thread

CONNECT_TIMEOUT_MS = 10_000.0  # a SYN is repeated by the system after 1, 3 and 7 s
MAX_HELD_BYTES_IN_ALL = 8 * 1024 * 1024  # of events that are not complete, over all requests
READ_SIZE = 65536


class End(Enum):
    """How a request ended."""

    REFUSED = "refused"  # the connection, or the request with another status than 200
    NOT_CONNECTED = "not_connected"  # the connection did not come up
    CUT_OFF = "cut_off"
    UNUSABLE = "unusable"  # the answer can't be read, or an event can't be used
    NOT_APPLIED = "not_applied"  # an event could not be applied
    CLOSED = "closed"  # by this side


class BusConnectionOwner(Protocol):
    """What a request reports, from its own thread."""

    def connected(self, connection: BusConnection) -> None:
        """The connection is up."""

    def head_received(self, connection: BusConnection) -> None:
        """The whole head of an answer with status 200 has come."""

    def line_received(self, connection: BusConnection) -> None:
        """A whole line of the stream has come."""

    def event_received(self, connection: BusConnection, event: EventReceived) -> None:
        """A whole event has come; raises StreamError if it can't be used."""

    def ended(self, connection: BusConnection, end: End, error: str) -> None:
        """The request is over, and its socket closed; the thread is about to end."""

    def last_event_number(self) -> int:
        """The number of the last known event."""


class BusConnection:
    """One request. `close` may be called from any thread, and does not wait."""

    def __init__(self, number: int, address: Address, owner: BusConnectionOwner) -> None:
        self.number, self.address, self.owner = number, address, owner
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._closed = self._is_connected = False
        self._decoder = EventStreamDecoder()

    def start(self) -> None:
        """Starts the thread; raises RuntimeError if the system has none left."""
        try:
            start_thread("bus-request", self._run)
        except RuntimeError:
            self._sock.close()
            raise

    def close(self) -> None:
        """Ends the request: the thread wakes up, reports the end and closes the socket."""
        self._closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)  # also ends a connect that is under way

    def _run(self) -> None:
        end, error_text = End.CUT_OFF, ""
        try:
            end = self._exchange()
        except RequestRefused as error:
            end, error_text = End.REFUSED, str(error)
        except StreamError as error:
            end, error_text = End.UNUSABLE, str(error)
        except ConnectionRefusedError as error:
            end, error_text = End.REFUSED, str(error)
        except OSError as error:
            end, error_text = self._end_of_connection(), f"{type(error).__name__} {error}"
        except Exception as error:  # what applies events must not end the reading of the event bus
            log_exception()
            end, error_text = End.NOT_APPLIED, f"{type(error).__name__} {error}"
        finally:
            held_bytes.update(self, 0)
            self._sock.close()
            self.owner.ended(self, End.CLOSED if self._closed else end, error_text)

    def _end_of_connection(self) -> End:
        return End.CUT_OFF if self._is_connected else End.NOT_CONNECTED

    def _exchange(self) -> End:
        """Connects, asks and reads to the end; raises OSError, StreamError and what the owner raises."""
        if self._closed:
            return End.CLOSED
        connect(self._sock, self.address, now_ms() + CONNECT_TIMEOUT_MS)
        self._is_connected = True
        self.owner.connected(self)
        self._sock.sendall(self._request())
        while not self._closed:
            data = self._sock.recv(READ_SIZE)
            if not data or not self._handle(data):
                break
        return End.CUT_OFF

    def _request(self) -> bytes:
        host, port = self.address
        return (
            f"GET /bus/read HTTP/1.1\r\nHost: {host}:{port}\r\n"
            f"Accept: text/event-stream\r\nLast-Event-ID: {self.owner.last_event_number()}\r\n\r\n"
        ).encode()

    def _handle(self, data: bytes) -> bool:
        """Reports what the bytes complete; false if the body has ended."""
        for item in self._decoder.feed(data):
            if self._closed or isinstance(item, StreamEnded):
                return False
            if isinstance(item, HeadReceived):
                self.owner.head_received(self)
                continue
            if isinstance(item, EventReceived):
                self.owner.event_received(self, item)
            self.owner.line_received(self)
        self._count_held_bytes()
        return True

    def _count_held_bytes(self) -> None:
        largest = held_bytes.update(self, self._decoder.held_bytes)
        if largest is not None:
            log_event("bus_request_too_large", request=largest.number)
            largest.close()


held_bytes: ByteBudget[BusConnection] = ByteBudget(MAX_HELD_BYTES_IN_ALL)
