"""Reads the event bus: server-sent events over HTTP, resumed after the last known event."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import replace

from landingdeal.clock import now_ms, seconds_until
from landingdeal.errors import ConfigError
from landingdeal.log import log_event, log_text
from landingdeal.net.config import TopologyEvent, parse_topology_event
from landingdeal.net.link import dial
from landingdeal.threads import start_supervised_thread

MAX_SILENCE_MS = 2200.0  # a comment arrives every second: after so long without one the connection has failed
DIAL_TIMEOUT_MS = 500.0
RECONNECT_PAUSE_MS = 100.0
MAX_NUMBER_DIGITS = 15  # of an event number
MAX_LINE_BYTES = 4 * 1024 * 1024


def _is_event_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS


class BusReader:
    """Passes each event on once, by its number, whichever address or connection it came from."""

    def __init__(
        self, address: tuple[str, int], offset: int, on_event: Callable[[TopologyEvent], None]
    ) -> None:
        self.address, self.offset, self.on_event = address, offset, on_event
        self.stopped = False
        self.unusable_number = ""  # the number of the last event that could not be read
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None

    def start(self) -> None:
        """Starts the thread that reads the event bus and reconnects to it."""
        start_supervised_thread("bus", self._run)

    def change_address(self, address: tuple[str, int], known: tuple[TopologyEvent, ...]) -> None:
        """Applies the events and the bus address of a new configuration; the numbering continues.

        A connection to the old address is closed: an event bus that is no longer used stays open without
        sending events.
        """
        for event in known:
            self._apply(event)
        with self.lock:
            if address == self.address:
                return
            self.address = address
            if self.sock is not None:
                with contextlib.suppress(OSError):
                    # ends the read in the bus thread, which then closes the socket
                    self.sock.shutdown(socket.SHUT_RDWR)
        log_text(f"event bus: now read from {address[0]}:{address[1]}")

    def _apply(self, event: TopologyEvent) -> None:
        with self.lock:  # held during the call, so that two threads can't apply events in the wrong order
            if event.offset > self.offset:
                self.on_event(event)
                self.offset = event.offset
                log_event("event", number=event.offset, entries=len(event.addresses))

    def _handle_event(self, number: str, data: str) -> None:
        """Parses and applies one event.

        An event that can't be read may have been cut off, so it is requested again. If it can't be read the
        second time either it is skipped, since the events after it would never be received.
        """
        try:
            event = parse_topology_event(json.loads(data))
        except (ValueError, ConfigError, RecursionError) as error:
            repeated = number == self.unusable_number
            self.unusable_number = number
            if not (repeated and _is_event_number(number)):
                raise ValueError(f"cannot use event {number[:20]!r}: {error}") from None
            log_event("event_passed_over", number=number, error=type(error).__name__)
            with self.lock:
                self.offset = max(self.offset, int(number))
            return
        self._apply(replace(event, offset=int(number)) if _is_event_number(number) else event)

    def _run(self) -> None:
        while not self.stopped:
            address = self.address
            try:
                sock = dial(*address, now_ms() + DIAL_TIMEOUT_MS)
                with sock:
                    with self.lock:
                        current = address == self.address
                        self.sock = sock
                    if current:
                        self._read(sock)
                    with self.lock:
                        self.sock = None
            except (OSError, ValueError) as error:
                log_text(f"event bus: {type(error).__name__} {error} (the last event was {self.offset})")
            if address == self.address:
                time.sleep(seconds_until(now_ms() + RECONNECT_PAUSE_MS))

    def _read(self, sock: socket.socket) -> None:
        request_text = (
            f"GET /bus/read HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n"
            f"Accept: text/event-stream\r\nLast-Event-ID: {self.offset}\r\n\r\n"
        )
        sock.sendall(request_text.encode())
        number, data = "", ""
        for line in self._body_lines(sock):
            if line.startswith("id:"):
                number = line[3:].strip()
            elif line.startswith("data:"):
                data += line[5:].strip()
            elif not line and data:
                self._handle_event(number, data)
                number, data = "", ""

    def _body_lines(self, sock: socket.socket) -> Iterator[str]:
        """Yields the lines of the body, decoded if the transfer encoding is chunked."""
        raw_lines = self._raw_lines(sock)
        status = next(raw_lines, "")
        if " 200" not in status:
            raise ValueError(f"unexpected status {status!r}")
        chunked = False
        for line in raw_lines:
            if not line:
                break
            name, _, value = line.partition(":")
            chunked |= name.lower() == "transfer-encoding" and "chunked" in value.lower()
        if not chunked:
            yield from raw_lines
            return
        partial = ""
        for size_line in raw_lines:  # a chunk may end inside a line
            size = int(size_line.split(";")[0] or "0", 16)
            if size == 0:
                return
            chunk = ""
            while len(chunk) < size + 1:
                part = next(raw_lines, None)
                if part is None:
                    return
                chunk += part + "\n"
            partial += chunk[:size] if len(chunk) > size else chunk
            *lines, partial = partial.split("\n")
            yield from (line.rstrip("\r") for line in lines)

    def _raw_lines(self, sock: socket.socket) -> Iterator[str]:
        partial = b""
        while True:
            sock.settimeout(seconds_until(now_ms() + MAX_SILENCE_MS))
            data = sock.recv(65536)
            if not data:
                return
            partial += data
            if len(partial) > MAX_LINE_BYTES:
                raise ValueError("line too long")
            *lines, partial = partial.split(b"\n")
            for line in lines:
                yield line.decode("utf-8", "replace").rstrip("\r")
