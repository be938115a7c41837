"""A stage that counts what a restart, or a crowd of connections, costs the callers: per request, on the wire.

One thread and one selector play the callers, a lab hub that answers everything and the event bus; the program
runs as the platform starts it. A caller holds a few connections, sends set-ups without waiting for answers,
opens new connections and closes old ones. In each round SIGTERM comes at a random moment; new connections go
on for 0.2 to 0.4 s after it and set-ups on open ones for 0.2 s beyond, as at a planned restart.

A set-up is `lost` when its connection ends with no whole answer to it; where its last byte was written at the
most 50 ms before the end, it `crossed` the close, which the protocol allows while nothing is open there.
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

CROSS_S = 0.050
READY_S = 20.0
END_S = 4.0  # after SIGTERM; the kill comes 3.7 s after it at the earliest


@dataclass
class Plan:
    """One round. `per_s` set-ups; `connections` held at once, of which `fresh` a second are new ones."""

    seed: int = 1
    connections: int = 60
    fresh: float = 40.0
    per_s: float = 120.0
    answers_ms: tuple[float, float] = (1.0, 250.0)
    load_s: tuple[float, float] = (0.3, 0.8)
    stop: bool = True  # False: the round ends without SIGTERM
    surge: int = 0  # so many more connections at once, at a random moment of the load
    surge_again: float = 0.3  # how far after it that happens, at most
    sockets: int = 256
    core: int | None = None  # the program is held to this one
    port: int = 0  # 0: any that is free; stages side by side are given theirs


@dataclass
class Tally:
    sent: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    crossed: int = 0
    turned_away: int = 0  # first set-up on a connection that was closed before anything was sent on
    twice: int = 0
    unanswered: int = 0  # its connection stood when the round ended
    exit_ms: float = 0.0
    code: int | None = None
    notes: list[str] = field(default_factory=list)

    def add(self, other: Tally) -> None:
        for name in ("sent", "answered", "refused", "lost", "crossed", "turned_away", "twice", "unanswered"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.exit_ms = max(self.exit_ms, other.exit_ms)
        self.code = other.code if self.code in (0, None) else self.code
        self.notes += other.notes


class Wire:
    """One nonblocking connection of the stage: what it still has to write, and what came."""

    def __init__(self, sock: socket.socket, came: Callable[[Wire, Message], None]) -> None:
        sock.setblocking(False)
        self.sock, self.came = sock, came
        self.framer, self.out = Framer(), b""
        self.open: dict[str, float] = {}  # set-ups without an answer, and when their last byte was written
        self.unwritten: list[str] = []
        self.asked = self.heard = 0
        self.ended = False
        self.used = time.monotonic()


class Stage:
    def __init__(self, plan: Plan, folder: Path, program: list[str] | None = None) -> None:
        self.plan, self.tally = plan, Tally()
        self.random = random.Random(plan.seed)
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.order, self.ids = itertools.count(), itertools.count(1)
        self.calls: dict[str, int] = {}  # answers to each set-up
        self.at_hub: set[str] = set()
        self.wires: list[Wire] = []  # callers'
        self.callers_stop = self.connects_stop = float("inf")
        self.hub, self.bus = socket.create_server(("127.0.0.1", 0)), socket.create_server(("127.0.0.1", 0))
        for listener, accepted in ((self.hub, self._hub_accepted), (self.bus, self._bus_accepted)):
            listener.setblocking(False)
            self.selector.register(listener, selectors.EVENT_READ, accepted)
        self.port = plan.port or free_port()
        self.process = self._start(folder, program or [sys.executable, "-B", "-m", "landingdeal"])

    def _start(self, folder: Path, program: list[str]) -> subprocess.Popen[bytes]:
        def where(listener: socket.socket) -> str:
            return f"127.0.0.1:{listener.getsockname()[1]}"

        row = {"name": "s-1", "address": where(self.hub), "group": 1, "status": "up", "since_ms": 0}
        event = {"offset": 1, "topology": {"index": 1, "snapshot": True, "endpoints": [row]}}
        config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": f"{self.plan.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.plan.sockets},
            "bus": where(self.bus), "known": {"offset": 1, "batch": [event]}, "settings": SETTINGS,
        }  # fmt: skip
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        self.log = (folder / "log").open("wb")
        environment = {**os.environ, "ROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        process = subprocess.Popen(program, cwd=ROOT, env=environment, stderr=self.log, stdout=self.log)
        if self.plan.core is not None:
            os.sched_setaffinity(process.pid, {self.plan.core})
        return process

    # --- the loop ---

    def at(self, when: float, work: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (when, next(self.order), work))

    def until(self, done: Callable[[], bool], deadline: float) -> bool:
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

    def _watch(self, wire: Wire) -> None:
        self.selector.register(wire.sock, selectors.EVENT_READ, lambda mask: self._ready(wire, mask))

    def put(self, wire: Wire, message: Message) -> None:
        wire.out += encode(message)
        self._flush(wire)

    def _flush(self, wire: Wire) -> None:
        if wire.ended:
            return
        try:
            while wire.out:
                wire.out = wire.out[wire.sock.send(wire.out) :]
        except BlockingIOError:
            events = selectors.EVENT_READ | selectors.EVENT_WRITE
            self.selector.modify(wire.sock, events, lambda mask: self._ready(wire, mask))
            return
        except OSError:
            self._end(wire, "reset while written to")
            return
        for call in wire.unwritten:
            wire.open[call] = time.monotonic()
        wire.unwritten.clear()

    def _ready(self, wire: Wire, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            self.selector.modify(wire.sock, selectors.EVENT_READ, lambda m: self._ready(wire, m))
            self._flush(wire)
        if wire.ended or not mask & selectors.EVENT_READ:
            return
        try:
            data = wire.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self._end(wire, "reset")
            return
        if not data:
            self._end(wire, "closed")
            return
        try:
            for message in wire.framer.feed(data):
                assert not isinstance(message, MalformedMessage), message
                wire.came(wire, message)
        except FramingError as error:
            self.tally.notes.append(f"unreadable: {error}")
            self._end(wire, "unreadable")

    def _end(self, wire: Wire, how: str) -> None:
        if wire.ended:
            return
        wire.ended = True
        now = time.monotonic()
        self.selector.unregister(wire.sock)
        wire.sock.close()
        if wire in self.wires:
            self.wires.remove(wire)
        for call, written in wire.open.items():
            if now - written <= CROSS_S:
                self.tally.crossed += 1
                continue
            if not wire.heard and call not in self.at_hub:
                self.tally.turned_away += 1
                continue
            self.tally.lost += 1
            self.tally.notes.append(
                f"{call}: written {(now - written) * 1000:.0f} ms before its connection was {how}, "
                f"{'seen' if call in self.at_hub else 'not seen'} at the hub, "
                f"{(now - self.stopped) * 1000:.0f} ms after SIGTERM"
            )

    # --- the lab hub and the event bus ---

    def _hub_accepted(self, _mask: int) -> None:
        sock, _ = self.hub.accept()
        wire = Wire(sock, self._at_hub)
        self._watch(wire)
        self.put(wire, request("NOTIFY", "sip:state@net", ("call-id", "1"), ("cseq", "1 NOTIFY"),
                               ("x-state", "x0:4000;x1:4000")))  # fmt: skip

    def _at_hub(self, wire: Wire, message: Message) -> None:
        if message.method == "OPTIONS" or message.method == "BYE":
            self.put(wire, response(message, 200))
        elif message.method == "INVITE":
            self.at_hub.add(message.call_id)
            late = self.random.uniform(*self.plan.answers_ms) / 1000
            self.at(time.monotonic() + late, lambda: self.put(wire, response(message, 200, body=BODY)))

    def _bus_accepted(self, _mask: int) -> None:
        sock, _ = self.bus.accept()
        wire = Wire(sock, lambda _w, _m: None)
        wire.sock.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")

        def comment() -> None:
            with contextlib.suppress(OSError):
                wire.sock.send(b":\n\n")
                self.at(time.monotonic() + 1.0, comment)

        comment()

    # --- callers ---

    def connect(self) -> Wire | None:
        sock = socket.socket()
        sock.settimeout(2.0)
        try:
            sock.connect(("127.0.0.1", self.port))
        except OSError:
            sock.close()
            return None
        wire = Wire(sock, self._at_caller)
        self.wires.append(wire)
        self._watch(wire)
        return wire

    def set_up(self, wire: Wire) -> None:
        call = f"{next(self.ids):016x}"
        wire.used = time.monotonic()
        wire.asked += 1
        wire.unwritten.append(call)
        self.tally.sent += 1
        self.calls[call] = 0
        self.put(wire, request("INVITE", f"sip:{call}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", call),
                               ("cseq", "1 INVITE"), ("subject", "voice"), ("x-patience", "3000"),
                               ("x-facts", "dest:1;width:1;via:-1"), body=BODY))  # fmt: skip

    def _at_caller(self, wire: Wire, message: Message) -> None:
        if message.method:
            return  # a release
        if message.cseq[1] == "OPTIONS":
            self.well = message.status == 200
            return
        if message.cseq[1] != "INVITE" or message.status < 200:
            return
        call = message.call_id
        wire.heard += 1
        wire.open.pop(call, None)
        self.calls[call] += 1
        if self.calls[call] > 1:
            self.tally.twice += 1
        elif message.status < 300:
            self.tally.answered += 1
        else:
            self.tally.refused += 1
        self.put(wire, request("ACK", f"sip:{call}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", call),
                               ("cseq", "1 ACK")))  # fmt: skip

    def _arrive(self) -> None:
        """One set-up, perhaps on a new connection; then the next one, at an exponential distance."""
        now = time.monotonic()
        if now >= self.callers_stop:
            return
        plan = self.plan
        fresh = now < self.connects_stop and self.random.random() < plan.fresh / plan.per_s
        wire = self.connect() if fresh or not self.wires else None
        if wire is None and self.wires:
            wire = self.random.choice(self.wires)
        if wire is not None:
            self.set_up(wire)
        idle = [w for w in self.wires if not w.open and not w.out and w.asked and w is not wire]
        if len(self.wires) > plan.connections and idle:
            self._end(min(idle, key=lambda w: w.used), "left")
        self.at(now + self.random.expovariate(plan.per_s), self._arrive)

    def _surge(self) -> None:
        """Callers of others come here at once, and each asks soon after it has connected."""
        for _ in range(self.plan.surge):
            wire = self.connect()
            if wire is not None:
                later = time.monotonic() + self.random.uniform(0.0, self.plan.surge_again)
                self.at(later, lambda on=wire: None if on.ended else self.set_up(on))  # type: ignore[misc]

    # --- a round ---

    def _ready_by(self, deadline: float) -> None:
        self.well = False
        while time.monotonic() < deadline and not self.well:
            wire = self.connect()
            if wire is None:
                time.sleep(0.02)
                continue
            self.put(wire, request("OPTIONS", "sip:ping@net", ("call-id", "1"), ("cseq", "1 OPTIONS")))
            self.until(lambda: self.well, time.monotonic() + 0.1)
            self._end(wire, "left")
        assert self.well, "the program does not get ready"

    def round(self) -> Tally:
        plan, tally = self.plan, self.tally
        self.stopped = time.monotonic()
        self._ready_by(time.monotonic() + READY_S)
        for _ in range(plan.connections):
            self.connect()
        start = time.monotonic()
        load = self.random.uniform(*plan.load_s)
        self.at(start, self._arrive)
        if plan.surge:
            self.at(start + self.random.uniform(0.0, load), self._surge)
        self.until(lambda: False, start + load)
        self.stopped = time.monotonic()
        if plan.stop:
            self.connects_stop = self.stopped + self.random.uniform(0.2, 0.4)
            self.callers_stop = self.connects_stop + 0.2
            self.process.send_signal(signal.SIGTERM)
            over = self.until(lambda: self.process.poll() is not None, self.stopped + END_S)
            tally.exit_ms = (time.monotonic() - self.stopped) * 1000
            if not over:
                tally.notes.append("it does not end")
            tally.code = self.process.poll()
            self.until(lambda: not self.wires, time.monotonic() + 0.2)
        else:
            self.callers_stop = self.stopped
            self.until(lambda: False, time.monotonic() + plan.surge_again)
            self.until(lambda: not any(w.open for w in self.wires), time.monotonic() + 4.0)
        tally.unanswered = sum(len(wire.open) for wire in self.wires)
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


def play_round(plan: Plan, program: list[str] | None = None) -> Tally:
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(plan, Path(folder), program)
        try:
            tally = stage.round()
        finally:
            stage.end()
        log = (Path(folder) / "log").read_text(errors="replace")
    if "Traceback" in log or tally.code:
        tally.notes.append(log[max(log.find("Traceback"), 0) :][:2000])
    return tally


@contextlib.contextmanager
def busy_cores(cores: list[int]) -> Iterator[None]:
    """Keeps these cores busy with one spinning process each, for two hours at the most."""
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
