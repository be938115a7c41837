"""Reads the event bus: server-sent events over HTTP, from the last event known on."""

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
from landingdeal.net.config import TopologyEvent, topology_event
from landingdeal.net.link import dial
from landingdeal.threads import start_supervised_thread

SILENCE_MS = 2200.0  # a comment arrives every second: after so long without one the connection is dead
DIAL_MS = 500.0
PAUSE_MS = 100.0
NUMBER_MOST = 15  # digits of an event's number
LINE_MOST = 4 * 1024 * 1024


def _decimal(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= NUMBER_MOST


class BusReader:
    """Every event is told once, by its number, whichever address or connection it came from."""

    def __init__(self, where: tuple[str, int], offset: int, told: Callable[[TopologyEvent], None]) -> None:
        self.where, self.offset, self.told = where, offset, told
        self.stopped = False
        self.unusable = ""  # the number of the last event that could not be used
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None

    def start(self) -> None:
        start_supervised_thread("bus", self._run)

    def move(self, where: tuple[str, int], known: tuple[TopologyEvent, ...]) -> None:
        """A new configuration: the numbers go on, and what it knows already is not awaited from the bus.

        Guards against waiting for an event bus that is no longer used: it stays open and tells nothing.
        """
        for event in known:
            self._heed(event)
        with self.lock:
            if where == self.where:
                return
            self.where = where
            if self.sock is not None:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)  # its reader sees the end, and closes it
        log_text(f"event bus: from now on {where[0]}:{where[1]}")

    def _heed(self, event: TopologyEvent) -> None:
        with self.lock:  # held while it is told, so that two readers can't tell in the wrong order
            if event.offset > self.offset:
                self.told(event)
                self.offset = event.offset
                log_event("event", number=event.offset, entries=len(event.addresses))

    def _take(self, number: str, data: str) -> None:
        """One event as it came.

        What cannot be read may have been cut short: it is asked for again. What comes so twice is passed
        over, since the events behind it would never be heard.
        """
        try:
            made = topology_event(json.loads(data))
        except (ValueError, ConfigError, RecursionError) as error:
            again = number == self.unusable
            self.unusable = number
            if not (again and _decimal(number)):
                raise ValueError(f"event {number[:20]!r} can't be used: {error}") from None
            log_event("event_passed_over", number=number, error=type(error).__name__)
            with self.lock:
                self.offset = max(self.offset, int(number))
            return
        self._heed(replace(made, offset=int(number)) if _decimal(number) else made)

    def _run(self) -> None:
        while not self.stopped:
            where = self.where
            try:
                sock = dial(*where, now_ms() + DIAL_MS)
                with sock:
                    with self.lock:
                        current = where == self.where
                        self.sock = sock
                    if current:
                        self._read(sock)
                    with self.lock:
                        self.sock = None
            except (OSError, ValueError) as error:
                log_text(f"event bus: {type(error).__name__} {error} (the last event was {self.offset})")
            if where == self.where:
                time.sleep(seconds_until(now_ms() + PAUSE_MS))

    def _read(self, sock: socket.socket) -> None:
        head = (
            f"GET /bus/read HTTP/1.1\r\nHost: {self.where[0]}:{self.where[1]}\r\n"
            f"Accept: text/event-stream\r\nLast-Event-ID: {self.offset}\r\n\r\n"
        )
        sock.sendall(head.encode())
        event, data = "", ""
        for line in self._lines(sock):
            if line.startswith("id:"):
                event = line[3:].strip()
            elif line.startswith("data:"):
                data += line[5:].strip()
            elif not line and data:
                self._take(event, data)
                event, data = "", ""

    def _lines(self, sock: socket.socket) -> Iterator[str]:
        """The lines of the body, with chunks undone where the answer comes in chunks."""
        raw = self._raw(sock)
        status = next(raw, "")
        if " 200" not in status:
            raise ValueError(f"answered {status!r}")
        chunked = False
        for line in raw:
            if not line:
                break
            name, _, value = line.partition(":")
            chunked |= name.lower() == "transfer-encoding" and "chunked" in value.lower()
        if not chunked:
            yield from raw
            return
        held = ""
        for size_line in raw:  # a chunk may end inside a line
            size = int(size_line.split(";")[0] or "0", 16)
            if size == 0:
                return
            chunk = ""
            while len(chunk) < size + 1:
                part = next(raw, None)
                if part is None:
                    return
                chunk += part + "\n"
            held += chunk[:size] if len(chunk) > size else chunk
            *whole, held = held.split("\n")
            yield from (line.rstrip("\r") for line in whole)

    def _raw(self, sock: socket.socket) -> Iterator[str]:
        held = b""
        while True:
            sock.settimeout(seconds_until(now_ms() + SILENCE_MS))
            data = sock.recv(65536)
            if not data:
                return
            held += data
            if len(held) > LINE_MOST:
                raise ValueError("a line without an end")
            *whole, held = held.split(b"\n")
            for line in whole:
                yield line.decode("utf-8", "replace").rstrip("\r")
