"""Follows the event bus: applies each event once and in order, from whichever request it comes.

`requests` decides when to ask and what to give up, `connection` carries out one request.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from dataclasses import replace

from landingdeal.bus.connection import BusConnection, End
from landingdeal.bus.requests import Address, Ask, BusRequests, GiveUp, Stage, WaitingSummary
from landingdeal.bus.stream import EventReceived, StreamError
from landingdeal.clock import now_ms, seconds_until
from landingdeal.errors import ConfigError
from landingdeal.log import log_event, log_text
from landingdeal.net.config import TopologyEvent, parse_topology_event
from landingdeal.threads import start_supervised_thread

MAX_NUMBER_DIGITS = 15  # of an event number
MAX_PAUSE_MS = 60_000.0  # between two decisions


def _is_event_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS


class BusReader:
    """Passes each event on once, by its number, whichever address or connection it came from."""

    def __init__(self, address: Address, offset: int, on_event: Callable[[TopologyEvent], None]) -> None:
        self.offset, self.on_event = offset, on_event
        self.stopped = False
        self._unusable_number = ""  # the number of the last event that could not be read
        self._apply_lock = threading.Lock()  # held while an event is applied, so that none overtakes another
        self._changed = threading.Condition()  # protects what follows; held for short times only
        self._requests = BusRequests(address, now_ms())
        self._connections: dict[int, BusConnection] = {}

    def start(self) -> None:
        """Starts the thread that asks the event bus."""
        start_supervised_thread("bus", self._run)

    def stop(self) -> None:
        """Closes all requests; begins to apply nothing after that. Does not wait for the threads to end."""
        self.stopped = True
        with self._changed:
            self._changed.notify()
            connections = list(self._connections.values())
        for connection in connections:
            connection.close()

    def change_address(self, address: Address, known: tuple[TopologyEvent, ...]) -> None:
        """Applies the events and the bus address of a new configuration; the numbering continues."""
        for event in known:
            self._apply(event)
        with self._changed:
            if address == self._requests.address:
                return
            self._requests.address_changed(address, now_ms())
            self._changed.notify()
        log_text(f"event bus: now read from {address[0]}:{address[1]}")

    # --- events ---

    def _apply(self, event: TopologyEvent) -> None:
        with self._apply_lock:
            if event.offset <= self.offset or self.stopped:
                return
            self.on_event(event)
            self.offset = event.offset
        with self._changed:
            self._requests.event_applied()
        log_event("event", number=event.offset, entries=len(event.addresses))

    def event_received(self, connection: BusConnection, event: EventReceived) -> None:
        """Parses and applies one event; raises StreamError if it can't be used.

        An event that can't be read may have been cut off, so it is requested again. If it can't be read the
        second time either it is skipped, since the events after it would never be received.
        """
        number = event.number
        try:
            parsed = parse_topology_event(json.loads(event.data))
        except (ValueError, ConfigError, RecursionError) as error:
            self._handle_unusable(number, error)
            return
        self._apply(replace(parsed, offset=int(number)) if _is_event_number(number) else parsed)

    def _handle_unusable(self, number: str, error: Exception) -> None:
        with self._apply_lock:
            if _is_event_number(number) and int(number) <= self.offset:
                return  # known from another request
            repeated = number == self._unusable_number
            self._unusable_number = number
            if not (repeated and _is_event_number(number)):
                raise StreamError(f"cannot use event {number[:20]!r}: {error}") from None
            self.offset = int(number)
        log_event("event_passed_over", number=number, error=type(error).__name__)

    # --- requests ---

    def _run(self) -> None:
        while not self.stopped:
            with self._changed:
                now = now_ms()
                actions = self._requests.decide(now)
                if not actions and not self.stopped:
                    next_ms = min(self._requests.next_decision_ms(now), now + MAX_PAUSE_MS)
                    self._changed.wait(seconds_until(next_ms))
            for action in actions:
                if isinstance(action, Ask):
                    self._ask(action)
                else:
                    self._give_up(action)

    def _ask(self, ask: Ask) -> None:
        if ask.number > 1:
            self._log_waiting(ask.number, ask.waiting)
        try:
            connection = BusConnection(ask.number, ask.address, self)
            with self._changed:
                self._connections[ask.number] = connection
            connection.start()
        except (RuntimeError, OSError) as error:  # no thread or no descriptor left
            self._forget(ask.number)
            log_event("bus_request_not_started", request=ask.number, error=error)
        if self.stopped:  # `stop` may have come before the connection was known
            self._close(ask.number)

    def _give_up(self, give_up: GiveUp) -> None:
        log_event("bus_request_given_up", request=give_up.number, why=give_up.reason.value)
        self._close(give_up.number)

    def _close(self, number: int) -> None:
        with self._changed:
            connection = self._connections.get(number)
        if connection is not None:
            connection.close()

    def _forget(self, number: int) -> None:
        with self._changed:
            self._connections.pop(number, None)
            self._requests.ended(number, now_ms())
            self._changed.notify()

    def _log_waiting(self, number: int, waiting: WaitingSummary) -> None:
        log_event(
            "bus_asked_again",
            request=number,
            connecting=waiting.connecting,
            no_head=waiting.no_head,
            stream_silent=waiting.stream_silent,
            last_event=self.offset,
            knowledge_age_ms=waiting.knowledge_age_ms,
        )

    # --- reports of the requests, each from a thread of its own ---

    def last_event_number(self) -> int:
        """The number of the last known event."""
        return self.offset

    def connected(self, connection: BusConnection) -> None:
        """The connection of a request is up."""
        with self._changed:
            self._requests.connected(connection.number, now_ms())
            self._changed.notify()

    def head_received(self, connection: BusConnection) -> None:
        """The head of an answer has come."""
        with self._changed:
            now = now_ms()
            knowledge_age_ms = self._requests.waiting(now).knowledge_age_ms
            self._requests.head_received(connection.number, now)
            self._changed.notify()
        log_event("bus_stream", request=connection.number, last_event=self.offset,
                  knowledge_age_ms=knowledge_age_ms)  # fmt: skip

    def line_received(self, connection: BusConnection) -> None:
        """A whole line of a stream has come."""
        with self._changed:
            if self._requests.line_received(connection.number, now_ms()):
                self._changed.notify()

    def ended(self, connection: BusConnection, end: End, error: str) -> None:
        """A request is over."""
        with self._changed:
            now = now_ms()
            request = self._requests.requests.get(connection.number)
            stage = request.stage if request is not None else Stage.CONNECTING
            knowledge_age_ms = self._requests.waiting(now).knowledge_age_ms
        self._forget(connection.number)
        if end is End.CLOSED:
            return
        log_event("bus_request_ended", how=end.value, stage=stage.value, request=connection.number,
                  last_event=self.offset, knowledge_age_ms=knowledge_age_ms, error=error)  # fmt: skip
