"""Emulated discovery: numbered events over HTTP as server-sent events, with its faults."""

from __future__ import annotations

import json
import random
import socket
import time
from typing import Any

from landingdeal.lab.trial.loop import EmulatedConnection, TrialEventLoop
from landingdeal.lab.trial.rules import HubStatusChange, Observations

COMMENT_S = 1.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class EventLog:
    """The events that discovery has; every address of discovery serves the same ones."""

    def __init__(self, known: list[dict[str, Any]]) -> None:
        self.events: list[tuple[dict[str, Any], list[HubStatusChange]]] = [(event, []) for event in known]

    @property
    def known(self) -> dict[str, Any]:
        return {"offset": len(self.events), "batch": [event for event, _ in self.events]}

    def add(self, rows: list[dict[str, Any]], changes: list[HubStatusChange], snapshot: bool = False) -> None:
        offset = len(self.events) + 1
        topology = {"index": offset, "snapshot": snapshot, "endpoints": rows}
        self.events.append(({"offset": offset, "topology": topology}, changes))


class Bus:
    def __init__(
        self, loop: TrialEventLoop, rng: random.Random, observations: Observations, log: EventLog
    ) -> None:
        self.loop, self.rng, self.observations, self.log = loop, rng, observations, log
        self.readers: dict[EmulatedConnection, int] = {}  # and the last event written to each
        self.silent = self.refusing = False
        self.listener: socket.socket | None = loop.listen(self._accepted)
        self.port: int = self.listener.getsockname()[1]
        loop.call_after(COMMENT_S, self._comment)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def _accepted(self, sock: socket.socket) -> None:
        connection = EmulatedConnection(self.loop, sock, lambda _c, _m: None, self._ended, raw=True)
        self.loop.call_after(0.005, lambda: self._serve(connection, 100))

    def _serve(self, connection: EmulatedConnection, tries: int) -> None:
        head, end, _ = connection.received.partition(b"\r\n\r\n")
        if connection.ended or self.silent:
            return
        if not end:
            if tries:
                self.loop.call_after(0.01, lambda: self._serve(connection, tries - 1))
            return
        if self.refusing:
            connection.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            connection.close()
            return
        last = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"last-event-id":
                last = int(value)
        connection.send(HEAD)
        self.readers[connection] = last
        self.tell()

    def _ended(self, connection: EmulatedConnection) -> None:
        self.readers.pop(connection, None)

    def _comment(self) -> None:
        if not self.silent:
            for connection in list(self.readers):
                connection.send(b":\n\n")
        self.loop.call_after(COMMENT_S, self._comment)

    def tell(self) -> None:
        """Writes what each reader has not had yet."""
        if self.silent or self.refusing:
            return
        for connection, last in list(self.readers.items()):
            for number in range(last, len(self.log.events)):
                event, changes = self.log.events[number]
                data = f"id: {number + 1}\ndata: {json.dumps(event)}\n\n".encode()
                connection.send(data * (2 if self.rng.random() < 0.2 else 1))
                for change in changes:
                    change.notified_at = change.notified_at or time.time()
            self.readers[connection] = len(self.log.events)

    def break_off(self) -> None:
        """Every reader gets half an event, then the end."""
        for connection in list(self.readers):
            connection.send(b'id: 99999\ndata: {"offset": 99999, "topo')
            connection.close(reset=self.rng.random() < 0.5)
        self.readers.clear()

    def down(self) -> None:
        if self.listener is not None:
            self.loop.close_listener(self.listener)
            self.listener = None
        for connection in list(self.readers):
            connection.close(reset=True)
        self.readers.clear()

    def fall_silent(self) -> None:
        self.silent = True

    def back(self) -> None:
        """Whoever reads or comes from now on is served. Connections that fell silent stay so."""
        if self.silent:
            self.readers.clear()
        self.silent = self.refusing = False
        if self.listener is None:
            self.listener = self.loop.listen(self._accepted, self.port)
        self.observations.discovery_reachable_at.append(time.time())
