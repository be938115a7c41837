"""A lab hub for tests of `HubConnections`, with connections that can be made to pass nothing on.

It releases a call on the connection of its set-up, otherwise on any open one, and repeats the release on the
next connection that is opened. What is written to a quiet connection is kept until it passes on again.
"""

from __future__ import annotations

import json
import socket
import struct
import threading
from collections.abc import Callable
from contextlib import suppress

from badgerstile.wire import read_settings
from landingdeal.clock import now_ms
from landingdeal.core.events import Attempt, AttemptEstablished, CoreEvent, HubReleased, LoadReported, Offer
from landingdeal.core.inbox import Inbox
from landingdeal.net.hub import Hub
from landingdeal.net.hubs import HubConnections
from landingdeal.net.transaction import CallerTransaction
from landingdeal.sip.message import Framer, MalformedMessage, Message, encode, request, response
from tests.scenario import BODY, SETTINGS

WAIT_MS = 5000.0
HUB_NAME = b"h"
NOTIFY = encode(
    request("NOTIFY", "sip:state@net", ("call-id", "1"), ("cseq", "1 NOTIFY"), ("x-state", "x0:40;x1:40"))
)


def bye(call: str) -> bytes:
    return encode(
        request("BYE", "sip:hub@net", ("call-id", call), ("cseq", "2 BYE"), ("reason", "Q.850;cause=16"))
    )


class HubConnection:
    """One connection as the lab hub sees it; it is open until the lab hub reads its end."""

    def __init__(self, sock: socket.socket, hub: ReleasingHub) -> None:
        self.sock, self.hub = sock, hub
        self.passing = threading.Event()  # what the lab hub writes is passed on
        self.reading = threading.Event()  # what this side writes, and its end, is passed on
        self.passing.set()
        self.reading.set()
        self.carries_state = True
        self.unsent = b""
        self.received: list[Message] = []

    def write(self, data: bytes) -> None:
        self.unsent += data
        if self.passing.is_set():
            with suppress(OSError):
                self.sock.sendall(self.unsent)
            self.unsent = b""

    def read(self) -> None:
        framer = Framer()
        with suppress(OSError):
            while data := self.sock.recv(65536):
                self.reading.wait()
                for message in framer.feed(data):
                    assert not isinstance(message, MalformedMessage), message
                    self.received.append(message)
                    self.hub.handle(self, message)
        self.reading.wait()
        self.hub.closed(self)

    def fall_quiet(self) -> None:
        """Passes nothing on any more, and stays open."""
        self.passing.clear()
        self.reading.clear()

    def pass_on(self) -> None:
        """Ends the quiet."""
        self.passing.set()
        self.write(b"")
        self.reading.set()

    def reset(self) -> None:
        with suppress(OSError):  # it may have been closed meanwhile
            self._reset()

    def _reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)
        self.sock.close()

    def received_methods(self, call: str) -> list[str]:
        return [message.method for message in self.received if message.call_id == call and message.method]


class ReleasingHub:
    """Listens on a port of its own, accepts each set-up at once unless told otherwise."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.connections: list[HubConnection] = []  # all that were opened
        self.open: list[HubConnection] = []
        self.call_connections: dict[str, HubConnection] = {}
        self.invites: dict[str, Message] = {}
        self.to_repeat: list[str] = []
        self.answers = True
        self.resets_closed_connections = False  # it answers our close with a reset
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                connection = HubConnection(sock, self)
                with self.lock:
                    self.connections.append(connection)
                    self.open.append(connection)
                    connection.write(NOTIFY + b"".join(bye(call) for call in self.to_repeat))
                    self.to_repeat.clear()
                threading.Thread(target=connection.read, daemon=True).start()

    def handle(self, connection: HubConnection, message: Message) -> None:
        with self.lock:
            match message.method:
                case "INVITE":
                    self.call_connections[message.call_id] = connection
                    self.invites[message.call_id] = message
                    if self.answers:
                        self.answer(message.call_id, connection)
                case "OPTIONS":
                    connection.write(encode(response(message, 200)))
                case "BYE":
                    connection.write(encode(response(message, 200)))

    def answer(self, call: str, connection: HubConnection) -> None:
        """Accepts a call, or repeats that, on this connection."""
        connection.write(encode(response(self.invites[call], 200, body=BODY)))

    def closed(self, connection: HubConnection) -> None:
        with self.lock:
            if connection in self.open:
                self.open.remove(connection)
            if self.resets_closed_connections:
                connection.reset()
            connection.sock.close()

    def send_state(self) -> None:
        """Sends its state unasked on the open connections, so that it is not silent."""
        with self.lock:
            for connection in self.open:
                if connection.passing.is_set() and connection.carries_state:
                    connection.write(NOTIFY)

    def release(self, call: str) -> None:
        with self.lock:
            connection = self.call_connections[call]
            self.to_repeat.append(call)
            targets = [connection] if connection in self.open else self.open[:1]
            for target in targets:
                target.write(bye(call))

    def stop_listening(self) -> None:
        """Refuses further connections."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        self.listener.close()

    def end(self) -> None:
        self.stop_listening()
        for connection in self.connections:
            connection.reading.set()
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
            connection.sock.close()


class HubConnectionsHarness:
    """`HubConnections` with one `ReleasingHub`, and the events that the core would get."""

    def __init__(self) -> None:
        self.inbox = Inbox()
        self.hubs = HubConnections(
            read_settings(json.dumps(SETTINGS).encode()), self.inbox, "127.0.0.1:1", 500.0
        )
        self.hub = ReleasingHub()
        self.hubs.update_hub(HUB_NAME, self.hub.address, False)
        self.events: list[CoreEvent] = []
        self.timed_releases: list[tuple[float, HubReleased]] = []  # when each came
        self.wait_for(lambda: self.state.link is not None and bool(self.hub.connections))

    @property
    def state(self) -> Hub:
        return self.hubs.hubs[HUB_NAME]

    def wait_for(self, condition: Callable[[], bool], within_ms: float = WAIT_MS) -> None:
        until = now_ms() + within_ms
        while not condition():
            assert now_ms() < until, f"not in time; events: {self.events_of_calls()}"
            self.pass_time(10.0)

    def pass_time(self, duration_ms: float) -> None:
        """Checks the lab hub as the program does, and takes the events of that time."""
        until = now_ms() + duration_ms
        while now_ms() < until:
            self.hub.send_state()
            self.hubs.check_hubs(now_ms())
            events = list(self.inbox.take(min(now_ms() + 10, until)))
            self.events += events
            self.timed_releases += [(now_ms(), event) for event in events if isinstance(event, HubReleased)]

    def attempt(self, call: str) -> Attempt:
        caller = CallerTransaction(None, None, None)  # type: ignore[arg-type]
        offer = Offer(call, f"sip:{call}@net", "voice", 1, now_ms() + 9000, BODY, caller)
        return Attempt(offer, 0, HUB_NAME, now_ms(), now_ms() + 8000)

    def set_up(self, call: str) -> Attempt:
        """Sends a set-up and waits until the lab hub has read it."""
        attempt = self.attempt(call)
        self.hubs.set_up(attempt)
        self.wait_for(lambda: any(on.received_methods(call) for on in self.hub.connections))
        return attempt

    def establish(self, call: str) -> HubConnection:
        """Sets up a call; returns the connection on which it was established."""
        attempt = self.set_up(call)
        self.wait_for(lambda: AttemptEstablished(attempt, BODY) in self.events)
        return self.hub.call_connections[call]

    def events_of_calls(self) -> list[CoreEvent]:
        """The events so far without the reports of the lab hub's state."""
        return [event for event in self.events if not isinstance(event, LoadReported)]

    def released(self) -> set[str]:
        """The calls whose release by the lab hub has reached the core."""
        return {event.call_id for event in self.events if isinstance(event, HubReleased)}

    def replace_current(self) -> HubConnection:
        """Makes the current connection silent and waits until another one is up; returns the silent one."""
        silent = self.hub.connections[-1]
        silent.fall_quiet()
        self.pass_time(50.0)  # what was on its way has come before the connection is probed
        self.dial_again()
        return silent

    def dial_again(self) -> HubConnection:
        """Replaces the current connection as if it were silent; returns the new one."""
        count = len(self.hub.connections)
        with self.state.changed:
            self.hubs._replace_connection(self.state, now_ms())
        return self.wait_for_connection(count)

    def wait_for_connection(self, count: int) -> HubConnection:
        """Waits until more than `count` connections were opened and there is a current one; the last one."""
        self.wait_for(lambda: len(self.hub.connections) > count and self.state.link is not None)
        return self.hub.connections[-1]

    def end(self) -> None:
        """Removes the lab hub, whose keeper thread ends once no call stands there."""
        for call in list(self.hub.call_connections):
            self.hubs.forget(HUB_NAME, call)
        self.hubs.update_hub(HUB_NAME, "", True)
        self.hub.end()
