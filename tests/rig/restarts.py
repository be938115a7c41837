"""A test environment that counts, per request, what a restart or a surge of connections costs the callers.

One thread and one selector run the callers, a lab hub that answers everything and the event bus; the program
runs as the platform starts it. The callers keep a number of connections, send set-ups without waiting for
answers, open new connections and close old ones. In each round SIGTERM comes at a random moment; new
connections are opened for 0.2 to 0.4 s after it and set-ups are sent on open ones for 0.2 s beyond, as at a
planned restart.

A set-up is `lost` if its connection ends without a whole answer to it. If its last byte was written at most
50 ms before the end, it counts as `raced_close`: the protocol allows a close while nothing is pending there.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import json
import os
import random
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from landingdeal.lab.ports import free_port
from landingdeal.sip.message import Framer, FramingError, MalformedMessage, Message, encode, request, response
from tests.scenario import BODY, ROOT, SETTINGS

CLOSE_RACE_S = 0.050
READY_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 4.0  # after SIGTERM; SIGKILL comes 3.7 s after it at the earliest


@dataclass
class RoundPlan:
    """One round: `set_ups_per_s`, and `connections` kept open, with `new_connections_per_s`."""

    seed: int = 1
    connections: int = 60
    new_connections_per_s: float = 40.0
    set_ups_per_s: float = 120.0
    answer_delay_ms: tuple[float, float] = (1.0, 250.0)
    load_duration_s: tuple[float, float] = (0.3, 0.8)
    stop: bool = True  # False: the round ends without SIGTERM
    surge: int = 0  # additional connections opened at once, at a random moment of the load
    surge_request_delay_s: float = 0.3  # the longest time from the surge to a set-up on such a connection
    sockets: int = 256
    core: int | None = None  # the only core that the program may use
    port: int = 0  # 0: any free port; environments that run in parallel are given theirs


@dataclass
class RoundTally:
    """The counts of a round, per set-up, and notes on what went wrong."""

    sent: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    raced_close: int = 0
    closed_before_use: int = 0  # no response on the connection, and the set-up never reached the hub
    answered_twice: int = 0
    left_pending: int = 0  # the connection was still open at the end of the round
    exit_ms: float = 0.0  # from SIGTERM to the exit
    code: int | None = None  # exit code
    notes: list[str] = field(default_factory=list)

    def add(self, other: RoundTally) -> None:
        for name in (
            "sent",
            "answered",
            "refused",
            "lost",
            "raced_close",
            "closed_before_use",
            "answered_twice",
            "left_pending",
        ):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.exit_ms = max(self.exit_ms, other.exit_ms)
        self.code = other.code if self.code in (0, None) else self.code
        self.notes += other.notes


class HarnessConnection:
    """One nonblocking connection of the test environment, with its unsent data and pending set-ups."""

    def __init__(self, sock: socket.socket, on_message: Callable[[HarnessConnection, Message], None]) -> None:
        sock.setblocking(False)
        self.sock, self.on_message = sock, on_message
        self.framer, self.unsent = Framer(), b""
        self.pending: dict[str, float] = {}  # by Call-ID: when the last byte was written
        self.unsent_calls: list[str] = []  # set-ups not yet written whole
        self.set_ups_sent = self.responses_received = 0
        self.ended = False
        self.last_used_at = time.monotonic()


class RestartEnvironment:
    """The program's process with emulated callers, a lab hub and the event bus, for one round."""

    def __init__(self, plan: RoundPlan, folder: Path, program: list[str] | None = None) -> None:
        self.plan, self.tally = plan, RoundTally()
        self.rng = random.Random(plan.seed)
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_numbers, self.call_numbers = itertools.count(), itertools.count(1)
        self.responses_by_call: dict[str, int] = {}  # number of answers to each set-up
        self.calls_at_hub: set[str] = set()
        self.caller_connections: list[HarnessConnection] = []
        self.set_ups_stop_at = self.connecting_stops_at = float("inf")
        self.hub, self.bus = socket.create_server(("127.0.0.1", 0)), socket.create_server(("127.0.0.1", 0))
        for listener, on_connection in (
            (self.hub, self._accept_at_hub),
            (self.bus, self._accept_at_discovery),
        ):
            listener.setblocking(False)
            self.selector.register(listener, selectors.EVENT_READ, on_connection)
        self.port = plan.port or free_port()
        self.process = self._start(folder, program or [sys.executable, "-B", "-m", "landingdeal"])

    def _start(self, folder: Path, program: list[str]) -> subprocess.Popen[bytes]:
        def address_of(listener: socket.socket) -> str:
            return f"127.0.0.1:{listener.getsockname()[1]}"

        entry = {"name": "s-1", "address": address_of(self.hub), "group": 1, "status": "up", "since_ms": 0}
        event = {"offset": 1, "topology": {"index": 1, "snapshot": True, "endpoints": [entry]}}
        config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": f"{self.plan.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.plan.sockets},
            "bus": address_of(self.bus), "known": {"offset": 1, "batch": [event]}, "settings": SETTINGS,
        }  # fmt: skip
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        self.log = (folder / "log").open("wb")
        environment = {**os.environ, "ROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        process = subprocess.Popen(program, cwd=ROOT, env=environment, stderr=self.log, stdout=self.log)
        if self.plan.core is not None:
            os.sched_setaffinity(process.pid, {self.plan.core})
        return process

    # --- the event loop ---

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (when, next(self.timer_numbers), callback))

    def run_until(self, done: Callable[[], bool], deadline: float) -> bool:
        while not done():
            now = time.monotonic()
            if now >= deadline:
                return False
            due = min(self.timers[0][0] if self.timers else deadline, deadline, now + 0.02)
            for key, mask in self.selector.select(max(due - now, 0.0)):
                key.data(mask)
            while self.timers and self.timers[0][0] <= time.monotonic():
                heapq.heappop(self.timers)[2]()
        return True

    def _register(self, connection: HarnessConnection) -> None:
        self.selector.register(
            connection.sock, selectors.EVENT_READ, lambda mask: self._on_socket_event(connection, mask)
        )

    def send(self, connection: HarnessConnection, message: Message) -> None:
        connection.unsent += encode(message)
        self._flush(connection)

    def _flush(self, connection: HarnessConnection) -> None:
        if connection.ended:
            return
        try:
            while connection.unsent:
                connection.unsent = connection.unsent[connection.sock.send(connection.unsent) :]
        except BlockingIOError:
            events = selectors.EVENT_READ | selectors.EVENT_WRITE
            self.selector.modify(
                connection.sock, events, lambda mask: self._on_socket_event(connection, mask)
            )
            return
        except OSError:
            self._end(connection, "reset while written to")
            return
        for call_id in connection.unsent_calls:
            connection.pending[call_id] = time.monotonic()
        connection.unsent_calls.clear()

    def _on_socket_event(self, connection: HarnessConnection, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            self.selector.modify(
                connection.sock, selectors.EVENT_READ, lambda m: self._on_socket_event(connection, m)
            )
            self._flush(connection)
        if connection.ended or not mask & selectors.EVENT_READ:
            return
        try:
            data = connection.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self._end(connection, "reset")
            return
        if not data:
            self._end(connection, "closed")
            return
        try:
            for message in connection.framer.feed(data):
                assert not isinstance(message, MalformedMessage), message
                connection.on_message(connection, message)
        except FramingError as error:
            self.tally.notes.append(f"unreadable: {error}")
            self._end(connection, "unreadable")

    def _end(self, connection: HarnessConnection, ending: str) -> None:
        if connection.ended:
            return
        connection.ended = True
        now = time.monotonic()
        self.selector.unregister(connection.sock)
        connection.sock.close()
        if connection in self.caller_connections:
            self.caller_connections.remove(connection)
        for call_id, written in connection.pending.items():
            if now - written <= CLOSE_RACE_S:
                self.tally.raced_close += 1
                continue
            if not connection.responses_received and call_id not in self.calls_at_hub:
                self.tally.closed_before_use += 1
                continue
            self.tally.lost += 1
            self.tally.notes.append(
                f"{call_id}: written {(now - written) * 1000:.0f} ms before its connection was {ending}, "
                f"{'seen' if call_id in self.calls_at_hub else 'not seen'} at the hub, "
                f"{(now - self.stop_requested_at) * 1000:.0f} ms after SIGTERM"
            )

    # --- the lab hub and the event bus ---

    def _accept_at_hub(self, _mask: int) -> None:
        sock, _ = self.hub.accept()
        connection = HarnessConnection(sock, self._received_at_hub)
        self._register(connection)
        self.send(connection, request("NOTIFY", "sip:state@net", ("call-id", "1"), ("cseq", "1 NOTIFY"),
                               ("x-state", "x0:4000;x1:4000")))  # fmt: skip

    def _received_at_hub(self, connection: HarnessConnection, message: Message) -> None:
        if message.method == "OPTIONS" or message.method == "BYE":
            self.send(connection, response(message, 200))
        elif message.method == "INVITE":
            self.calls_at_hub.add(message.call_id)
            delay_s = self.rng.uniform(*self.plan.answer_delay_ms) / 1000
            self.call_at(
                time.monotonic() + delay_s, lambda: self.send(connection, response(message, 200, body=BODY))
            )

    def _accept_at_discovery(self, _mask: int) -> None:
        sock, _ = self.bus.accept()
        connection = HarnessConnection(sock, lambda _w, _m: None)
        connection.sock.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")

        def send_comments() -> None:
            with contextlib.suppress(OSError):
                connection.sock.send(b":\n\n")
                self.call_at(time.monotonic() + 1.0, send_comments)

        send_comments()

    # --- callers ---

    def connect(self) -> HarnessConnection | None:
        sock = socket.socket()
        sock.settimeout(2.0)
        try:
            sock.connect(("127.0.0.1", self.port))
        except OSError:
            sock.close()
            return None
        connection = HarnessConnection(sock, self._received_at_caller)
        self.caller_connections.append(connection)
        self._register(connection)
        return connection

    def send_set_up(self, connection: HarnessConnection) -> None:
        call_id = f"{next(self.call_numbers):016x}"
        connection.last_used_at = time.monotonic()
        connection.set_ups_sent += 1
        connection.unsent_calls.append(call_id)
        self.tally.sent += 1
        self.responses_by_call[call_id] = 0
        self.send(connection, request("INVITE", f"sip:{call_id}@net", ("via", "SIP/2.0/TCP peer"),
                               ("call-id", call_id), ("cseq", "1 INVITE"), ("subject", "voice"),
                               ("x-patience", "3000"), ("x-facts", "dest:1;width:1;via:-1"),
                               body=BODY))  # fmt: skip

    def _received_at_caller(self, connection: HarnessConnection, message: Message) -> None:
        if message.method:
            return  # a release
        if message.cseq[1] == "OPTIONS":
            self.ready = message.status == 200
            return
        if message.cseq[1] != "INVITE" or message.status < 200:
            return
        call_id = message.call_id
        connection.responses_received += 1
        connection.pending.pop(call_id, None)
        self.responses_by_call[call_id] += 1
        if self.responses_by_call[call_id] > 1:
            self.tally.answered_twice += 1
        elif message.status < 300:
            self.tally.answered += 1
        else:
            self.tally.refused += 1
        self.send(connection, request("ACK", f"sip:{call_id}@net", ("via", "SIP/2.0/TCP peer"),
                               ("call-id", call_id), ("cseq", "1 ACK")))  # fmt: skip

    def _send_next(self) -> None:
        """Sends a set-up, perhaps on a new connection, and schedules the next after an exponential delay."""
        now = time.monotonic()
        if now >= self.set_ups_stop_at:
            return
        plan = self.plan
        on_new_connection = (
            now < self.connecting_stops_at
            and self.rng.random() < plan.new_connections_per_s / plan.set_ups_per_s
        )
        connection = self.connect() if on_new_connection or not self.caller_connections else None
        if connection is None and self.caller_connections:
            connection = self.rng.choice(self.caller_connections)
        if connection is not None:
            self.send_set_up(connection)
        idle = [
            c
            for c in self.caller_connections
            if not c.pending and not c.unsent and c.set_ups_sent and c is not connection
        ]
        if len(self.caller_connections) > plan.connections and idle:
            self._end(min(idle, key=lambda c: c.last_used_at), "left")
        self.call_at(now + self.rng.expovariate(plan.set_ups_per_s), self._send_next)

    def _open_surge(self) -> None:
        """Opens connections at once, as when callers move here; each soon sends a set-up."""
        for _ in range(self.plan.surge):
            connection = self.connect()
            if connection is not None:
                send_at = time.monotonic() + self.rng.uniform(0.0, self.plan.surge_request_delay_s)
                self.call_at(send_at, lambda c=connection: None if c.ended else self.send_set_up(c))  # type: ignore[misc]

    # --- a round ---

    def _wait_until_ready(self, deadline: float) -> None:
        self.ready = False
        while time.monotonic() < deadline and not self.ready:
            connection = self.connect()
            if connection is None:
                time.sleep(0.02)
                continue
            self.send(connection, request("OPTIONS", "sip:ping@net", ("call-id", "1"), ("cseq", "1 OPTIONS")))
            self.run_until(lambda: self.ready, time.monotonic() + 0.1)
            self._end(connection, "left")
        assert self.ready, "the program does not become ready"

    def run(self) -> RoundTally:
        """Runs the load, then the stop if the plan has one, and returns the counts."""
        plan, tally = self.plan, self.tally
        self.stop_requested_at = time.monotonic()
        self._wait_until_ready(time.monotonic() + READY_TIMEOUT_S)
        for _ in range(plan.connections):
            self.connect()
        load_start = time.monotonic()
        load_duration_s = self.rng.uniform(*plan.load_duration_s)
        self.call_at(load_start, self._send_next)
        if plan.surge:
            self.call_at(load_start + self.rng.uniform(0.0, load_duration_s), self._open_surge)
        self.run_until(lambda: False, load_start + load_duration_s)
        self.stop_requested_at = time.monotonic()
        if plan.stop:
            self.connecting_stops_at = self.stop_requested_at + self.rng.uniform(0.2, 0.4)
            self.set_ups_stop_at = self.connecting_stops_at + 0.2
            self.process.send_signal(signal.SIGTERM)
            exited = self.run_until(
                lambda: self.process.poll() is not None, self.stop_requested_at + EXIT_TIMEOUT_S
            )
            tally.exit_ms = (time.monotonic() - self.stop_requested_at) * 1000
            if not exited:
                tally.notes.append("the program does not end")
            tally.code = self.process.poll()
            self.run_until(lambda: not self.caller_connections, time.monotonic() + 0.2)
        else:
            self.set_ups_stop_at = self.stop_requested_at
            self.run_until(lambda: False, time.monotonic() + plan.surge_request_delay_s)
            self.run_until(
                lambda: not any(c.pending for c in self.caller_connections), time.monotonic() + 4.0
            )
        tally.left_pending = sum(len(connection.pending) for connection in self.caller_connections)
        return tally

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()
        self.log.close()


def run_round(plan: RoundPlan, program: list[str] | None = None) -> RoundTally:
    """Runs one round in a temporary folder; a traceback or a nonzero exit adds the log to the notes."""
    with tempfile.TemporaryDirectory() as folder:
        environment = RestartEnvironment(plan, Path(folder), program)
        try:
            tally = environment.run()
        finally:
            environment.end()
        log = (Path(folder) / "log").read_text(errors="replace")
    if "Traceback" in log or tally.code:
        tally.notes.append(log[max(log.find("Traceback"), 0) :][:2000])
    return tally


@contextlib.contextmanager
def busy_cores(cores: list[int]) -> Iterator[None]:
    """Keeps these cores busy with one spinning process each, for at most two hours."""
    spin = "import time\nend = time.monotonic() + 7200\nwhile time.monotonic() < end: pass"
    spinners = []
    for core in cores:
        spinners.append(subprocess.Popen([sys.executable, "-c", spin]))
        os.sched_setaffinity(spinners[-1].pid, {core})
    try:
        yield
    finally:
        for spinner in spinners:
            spinner.kill()
            spinner.wait()
