"""Emulated discovery: serves numbered events over HTTP as server-sent events and injects faults."""

from __future__ import annotations

import json
import random
import socket
import time
from typing import Any

from landingdeal.lab.trial.loop import EmulatedConnection, TrialEventLoop
from landingdeal.lab.trial.rules import HubStatusChange, Observations

COMMENT_INTERVAL_S = 1.0
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class EventLog:
    """The events of discovery; every discovery server serves the same ones."""

    def __init__(self, known: list[dict[str, Any]]) -> None:
        self.events: list[tuple[dict[str, Any], list[HubStatusChange]]] = [(event, []) for event in known]

    @property
    def known(self) -> dict[str, Any]:
        """All events up to now, as the configuration gives them to the program."""
        return {"offset": len(self.events), "batch": [event for event, _ in self.events]}

    def add(
        self, endpoints: list[dict[str, Any]], changes: list[HubStatusChange], snapshot: bool = False
    ) -> None:
        """Appends an event with the next number; `changes` are notified when it is written."""
        offset = len(self.events) + 1
        topology = {"index": offset, "snapshot": snapshot, "endpoints": endpoints}
        self.events.append(({"offset": offset, "topology": topology}, changes))


class DiscoveryServer:
    """One address of discovery, with its faults."""

    def __init__(
        self, loop: TrialEventLoop, rng: random.Random, observations: Observations, event_log: EventLog
    ) -> None:
        self.loop, self.rng, self.observations, self.event_log = loop, rng, observations, event_log
        self.subscribers: dict[EmulatedConnection, int] = {}  # the number of the last event written to each
        self.unresponsive = self.refuses_requests = False
        self.listener: socket.socket | None = loop.listen(self._accept_connection)
        self.port: int = self.listener.getsockname()[1]
        loop.call_after(COMMENT_INTERVAL_S, self._send_comments)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def _accept_connection(self, sock: socket.socket) -> None:
        connection = EmulatedConnection(
            self.loop, sock, lambda _c, _m: None, self._connection_ended, raw=True
        )
        self.loop.call_after(0.005, lambda: self._serve_when_requested(connection, 100))

    def _serve_when_requested(self, connection: EmulatedConnection, checks_left: int) -> None:
        """Waits for the whole request head, then starts the event stream after Last-Event-ID."""
        head, end, _ = connection.received.partition(b"\r\n\r\n")
        if connection.ended or self.unresponsive:
            return
        if not end:
            if checks_left:
                self.loop.call_after(0.01, lambda: self._serve_when_requested(connection, checks_left - 1))
            return
        if self.refuses_requests:
            connection.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            connection.close()
            return
        last_sent = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"last-event-id":
                last_sent = int(value)
        connection.send(RESPONSE_HEAD)
        self.subscribers[connection] = last_sent
        self.send_events()

    def _connection_ended(self, connection: EmulatedConnection) -> None:
        self.subscribers.pop(connection, None)

    def _send_comments(self) -> None:
        """Sends a comment to every subscriber at a fixed interval, as a keep-alive."""
        if not self.unresponsive:
            for connection in list(self.subscribers):
                connection.send(b":\n\n")
        self.loop.call_after(COMMENT_INTERVAL_S, self._send_comments)

    def send_events(self) -> None:
        """Writes to each subscriber the events that it has not received."""
        if self.unresponsive or self.refuses_requests:
            return
        for connection, last_sent in list(self.subscribers.items()):
            for number in range(last_sent, len(self.event_log.events)):
                event, changes = self.event_log.events[number]
                data = f"id: {number + 1}\ndata: {json.dumps(event)}\n\n".encode()
                connection.send(data * (2 if self.rng.random() < 0.2 else 1))
                for change in changes:
                    change.notified_at = change.notified_at or time.time()
            self.subscribers[connection] = len(self.event_log.events)

    def break_streams(self) -> None:
        """Sends half an event to every subscriber and closes its connection."""
        for connection in list(self.subscribers):
            connection.send(b'id: 99999\ndata: {"offset": 99999, "topo')
            connection.close(reset=self.rng.random() < 0.5)
        self.subscribers.clear()

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self.listener is not None:
            self.loop.close_listener(self.listener)
            self.listener = None
        for connection in list(self.subscribers):
            connection.close(reset=True)
        self.subscribers.clear()

    def stop_responding(self) -> None:
        """Keeps connections open but sends nothing more, not even comments."""
        self.unresponsive = True

    def recover(self) -> None:
        """Serves new subscribers again. Connections that became unresponsive stay so."""
        if self.unresponsive:
            self.subscribers.clear()
        self.unresponsive = self.refuses_requests = False
        if self.listener is None:
            self.listener = self.loop.listen(self._accept_connection, self.port)
        self.observations.discovery_reachable_at.append(time.time())
