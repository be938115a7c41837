"""The event bus over real sockets: its stand-in is slow, silent, refuses or breaks off.

Guards against events that are never heard because each request is given up sooner than it is answered.
"""

from __future__ import annotations

import contextlib
import json
import queue
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from badgerstile.interface import Health
from landingdeal.bus.reader import BusReader
from landingdeal.clock import now_ms
from landingdeal.lab.ports import free_port
from landingdeal.net.config import HubAddress, TopologyEvent
from tests.scenario import PlatformHarness

TOLD_S = 7.0  # what the event bus has to tell counts as told then
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
COMMENT = b": \n\n"


def event_text(number: int) -> bytes:
    entry = {"name": "s-1", "address": "127.0.0.1:9", "group": 1, "status": "draining", "since_ms": number}
    event = {"offset": number, "topology": {"index": number, "snapshot": False, "endpoints": [entry]}}
    return f"id: {number}\ndata: {json.dumps(event)}\n\n".encode()


@dataclass
class Exchange:
    """One request at the stand-in, on which its conduct acts."""

    sock: socket.socket
    bus: StandInBus
    number: int
    last_event: int

    def pause(self, seconds: float) -> None:
        """Waits; raises ConnectionError as soon as the reader has gone."""
        until = time.monotonic() + seconds
        while (remaining := until - time.monotonic()) > 0 and not self.bus.ended:
            self.sock.settimeout(min(remaining, 0.1))
            with contextlib.suppress(TimeoutError):
                if not self.sock.recv(1):
                    raise ConnectionError("the reader has gone")
        if self.bus.ended:
            raise ConnectionError("the stand-in ends")

    def stream(self, seconds: float = 60.0) -> None:
        """Sends the events after the last one, those that are added and a comment every second."""
        until = time.monotonic() + seconds
        comment_due = time.monotonic() + 1.0
        while time.monotonic() < until:
            while self.last_event < len(self.bus.events):
                self.last_event += 1
                self.sock.sendall(event_text(self.last_event))
            if time.monotonic() >= comment_due:
                self.sock.sendall(COMMENT)
                comment_due += 1.0
            self.pause(0.02)


@dataclass
class StandInBus:
    """An event bus whose `conduct` decides how each request is answered, in a thread of its own."""

    conduct: Callable[[Exchange], None]
    events: list[float] = field(default_factory=list)  # when each was added
    requests: int = 0
    open_requests: int = 0
    most_open: int = 0
    ended: bool = False
    port: int = field(default_factory=free_port)
    lock: threading.Lock = field(default_factory=threading.Lock)
    listener: socket.socket | None = None

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    def listen(self, backlog: int = 64) -> None:
        self.listener = socket.create_server(self.address, backlog=backlog)

    def serve(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()

    def add_event(self) -> None:
        self.events.append(time.monotonic())

    def _accept(self) -> None:
        assert self.listener is not None
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._answer, args=(sock,), daemon=True).start()

    def _answer(self, sock: socket.socket) -> None:
        with self.lock:
            self.requests += 1
            number = self.requests
            self.open_requests += 1
            self.most_open = max(self.most_open, self.open_requests)
        with sock, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head and (data := sock.recv(4096)):
                head += data
            if b"\r\n\r\n" in head:
                last_event = int(head.split(b"Last-Event-ID: ")[1].split(b"\r\n")[0])
                self.conduct(Exchange(sock, self, number, last_event))
        with self.lock:
            self.open_requests -= 1

    def end(self) -> None:
        self.ended = True
        if self.listener is not None:
            self.listener.close()


class Follower:
    """A reader of the event bus, and when it knew each event."""

    def __init__(self, bus: StandInBus) -> None:
        self.applied: queue.Queue[tuple[int, float]] = queue.Queue()
        self.reader = BusReader(bus.address, 0, self._on_event)
        self.reader.start()

    def _on_event(self, event: TopologyEvent) -> None:
        self.applied.put((event.offset, time.monotonic()))

    def wait_for(self, number: int, timeout_s: float = TOLD_S) -> float:
        """Waits until the event with this number comes, the next one due; returns when."""
        got, at = self.applied.get(timeout=timeout_s)
        assert got == number, "each event is applied once and in order"
        return at


@contextlib.contextmanager
def following(conduct: Callable[[Exchange], None]) -> Iterator[tuple[StandInBus, Follower]]:
    bus = StandInBus(conduct)
    bus.listen()
    bus.serve()
    follower = Follower(bus)
    try:
        yield bus, follower
    finally:
        follower.reader.stop()
        bus.end()


def sound(exchange: Exchange) -> None:
    exchange.sock.sendall(HEAD)
    exchange.stream()


def slow_head(exchange: Exchange) -> None:
    exchange.pause(3.0)
    sound(exchange)


def dripping_head(exchange: Exchange) -> None:
    for byte in HEAD:
        exchange.sock.sendall(bytes([byte]))
        exchange.pause(4.0 / len(HEAD))
    exchange.stream()


def slow_stream(exchange: Exchange) -> None:
    exchange.sock.sendall(HEAD)
    exchange.pause(4.0)
    exchange.stream()


def dripping_event(exchange: Exchange) -> None:
    exchange.sock.sendall(HEAD)
    while True:
        exchange.sock.sendall(COMMENT)
        exchange.pause(0.5)
        if exchange.last_event == len(exchange.bus.events):
            continue
        exchange.last_event += 1
        data = event_text(exchange.last_event)
        for part in range(0, len(data), 16):
            exchange.sock.sendall(data[part : part + 16])
            exchange.pause(4.0 / (len(data) / 16))


def unanswered_at_first(exchange: Exchange) -> None:
    if exchange.number <= 3:
        exchange.pause(60.0)
    slow_head(exchange)


def refusing_at_first(exchange: Exchange) -> None:
    if exchange.number <= 4:
        exchange.sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        return
    slow_head(exchange)


def breaking_off(exchange: Exchange) -> None:
    exchange.pause(3.0)
    exchange.sock.sendall(HEAD)
    exchange.stream(seconds=0.2)


def silent_stream_at_first(exchange: Exchange) -> None:
    if exchange.number == 1:
        exchange.sock.sendall(HEAD + COMMENT)
        exchange.pause(60.0)
    slow_head(exchange)


# each was never heard, or heard too late, when a request was given up after 2.2 s of silence
SLOW_CONDUCTS = [
    slow_head,
    dripping_head,
    slow_stream,
    dripping_event,
    unanswered_at_first,
    refusing_at_first,
    breaking_off,
    silent_stream_at_first,
]


@pytest.mark.parametrize("conduct", SLOW_CONDUCTS, ids=lambda conduct: conduct.__name__)
def test_a_slow_event_bus_is_heard_in_time_after_each_break(conduct: Callable[[Exchange], None]) -> None:
    with following(conduct) as (bus, follower):
        for number in (1, 2, 3):
            bus.add_event()
            assert follower.wait_for(number, TOLD_S + 1.0) - bus.events[number - 1] <= TOLD_S
        assert bus.most_open <= 9
    assert follower.applied.empty()


def test_an_event_bus_that_takes_connections_late_is_heard() -> None:
    """The queue of its listener is full for 3.5 s, so that a connect gets no answer."""
    bus = StandInBus(sound)
    bus.listen(backlog=0)
    assert bus.listener is not None
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(bus.address)
    time.sleep(0.1)
    bus.add_event()
    follower = Follower(bus)
    try:
        time.sleep(3.5)
        for filler in fillers:
            filler.close()
        bus.serve()
        assert follower.wait_for(1) - bus.events[0] <= TOLD_S
    finally:
        follower.reader.stop()
        bus.end()


def test_an_event_bus_that_is_not_there_at_first_is_heard_at_once(capsys: pytest.CaptureFixture[str]) -> None:
    bus = StandInBus(sound)
    bus.add_event()
    follower = Follower(bus)
    time.sleep(1.5)
    bus.listen()
    bus.serve()
    try:
        assert follower.wait_for(1) - bus.events[0] <= 3.0
    finally:
        follower.reader.stop()
        bus.end()
    assert "bus_request_ended how=refused stage=connecting" in capsys.readouterr().err


def test_the_log_tells_apart_what_the_event_bus_does(capsys: pytest.CaptureFixture[str]) -> None:
    def conduct(exchange: Exchange) -> None:
        if exchange.number == 1:
            exchange.pause(60.0)  # no head
        elif exchange.number == 2:
            exchange.sock.sendall(HEAD + COMMENT)
            exchange.pause(60.0)  # a silent stream
        elif exchange.number == 3:
            exchange.sock.sendall(HEAD + event_text(1))  # cut off
        elif exchange.number == 4:
            exchange.sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\n\r\n")
        else:
            sound(exchange)

    with following(conduct) as (bus, follower):
        bus.add_event()
        follower.wait_for(1)
        bus.add_event()
        follower.wait_for(2)
        time.sleep(2.5)
    log = capsys.readouterr().err
    assert (
        "bus_asked_again request=2 connecting=0 no_head=1 stream_silent=0 last_event=0 knowledge_age_ms=1"
        in log
    )
    assert (
        "bus_asked_again request=3 connecting=0 no_head=1 stream_silent=1 last_event=0 knowledge_age_ms=1"
        in log
    )
    assert "bus_request_ended how=cut_off stage=streaming request=3 last_event=1 knowledge_age_ms=" in log
    assert "bus_request_ended how=refused stage=no_head request=4 last_event=1 knowledge_age_ms=" in log
    assert "bus_request_given_up request=1 why=another_stream" in log


def test_a_stop_ends_all_requests_and_threads_at_once() -> None:
    with following(lambda exchange: exchange.pause(60.0)) as (bus, follower):
        deadline = time.monotonic() + 10
        while bus.open_requests < 3 and time.monotonic() < deadline:
            time.sleep(0.05)
        assert bus.open_requests == 3
        started = time.monotonic()
        follower.reader.stop()
        assert time.monotonic() - started < 0.2
        while bus.open_requests and time.monotonic() < started + 2:
            time.sleep(0.02)
        assert bus.open_requests == 0
        time.sleep(1.5)
        assert bus.requests == 3, "asked again after the stop"


def test_a_new_address_that_answers_late_is_heard_and_the_old_one_is_left() -> None:
    new_bus = StandInBus(slow_head)
    new_bus.listen()
    new_bus.serve()
    with following(sound) as (bus, follower):
        bus.add_event()
        new_bus.add_event()
        follower.wait_for(1)
        follower.reader.change_address(new_bus.address, ())
        new_bus.add_event()
        assert follower.wait_for(2) - new_bus.events[1] <= TOLD_S
        deadline = time.monotonic() + 5
        while bus.open_requests and time.monotonic() < deadline:
            time.sleep(0.05)
        assert bus.open_requests == 0 and new_bus.open_requests == 1
    new_bus.end()
    assert follower.applied.empty()


class SlowBusHarness(PlatformHarness):
    """The program with an event bus that breaks its stream off and then answers each request after 3 s."""

    ANSWER_S = 3.0

    def __init__(self, folder: Path) -> None:
        self.breaks_off = threading.Event()
        super().__init__(folder)

    def _bus(self, sock: socket.socket, events: queue.Queue[str]) -> None:
        with sock, contextlib.suppress(OSError):
            sock.recv(4096)
            if self.breaks_off.is_set():
                sock.settimeout(self.ANSWER_S)
                with contextlib.suppress(TimeoutError):
                    sock.recv(1)
                    return  # the reader has gone
                sock.settimeout(None)
                sock.sendall(HEAD)
                while True:
                    sock.sendall(events.get().encode() if events.qsize() else COMMENT)
                    time.sleep(0.5)
            sock.sendall(HEAD + COMMENT)
            self.breaks_off.wait()


def test_a_drain_is_known_in_time_though_the_event_bus_answers_late(tmp_path: Path) -> None:
    """Guards against set-ups to a draining hub: each request was given up before the event bus answered."""
    harness = SlowBusHarness(tmp_path)
    try:
        harness.breaks_off.set()
        time.sleep(0.5)
        harness.run_step("bus", "tell", "hub1", "draining")
        told_by = time.monotonic() + TOLD_S
        while b"event number=2" not in harness.log:
            assert time.monotonic() < told_by, harness.log.decode()
            time.sleep(0.02)
        harness.run_step("caller", "send", "INVITE", "a", "dest=1")
        harness.run_step("hub1", "wait", "500")
    finally:
        harness.end()


# --- events that are repeated, unusable or not applied ---


EVENT = json.dumps({"offset": 7, "topology": {"snapshot": False, "endpoints": [
    {"name": "s-1", "address": "127.0.0.1:9", "group": 1, "status": "draining"}]}})  # fmt: skip


@pytest.mark.parametrize("chunked", [False, True])
def test_the_event_bus_is_resumed_after_the_last_event(chunked: bool) -> None:
    received: queue.Queue[TopologyEvent] = queue.Queue()
    with socket.create_server(("127.0.0.1", 0)) as bus:
        reader = BusReader(("127.0.0.1", bus.getsockname()[1]), 6, received.put)
        reader.start()
        for offset in (6, 7):  # the second time it has seen event 7, which must not be passed on again
            sock, _ = bus.accept()
            with sock:
                assert f"Last-Event-ID: {offset}\r\n" in sock.recv(4096).decode()
                body = f": hello\n\nid: 7\ndata: {EVENT}\n\n".encode()
                if chunked:
                    parts = body[:30], body[30:]
                    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
                encoding_header = "Transfer-Encoding: chunked\r\n" if chunked else ""
                sock.sendall(f"HTTP/1.1 200 OK\r\n{encoding_header}\r\n".encode() + body)
                if offset == 6:
                    event = received.get(timeout=5)
        reader.stop()
    assert event.offset == 7 and event.addresses == (HubAddress(b"s-1", "127.0.0.1:9", Health.DRAINING),)
    assert received.empty()


@pytest.mark.parametrize(
    "damaged",
    ["{", "[" * 100_000, '{"topology": 1}', '{"offset": 7, "topology": {"endpoints": [1]}}'],
    ids=["cut short", "too deep", "no list", "no endpoint"],
)
def test_an_unusable_event_does_not_hide_later_ones(damaged: str) -> None:
    received: queue.Queue[TopologyEvent] = queue.Queue()
    later = EVENT.replace('"offset": 7', '"offset": 8')
    with socket.create_server(("127.0.0.1", 0)) as bus:
        bus.settimeout(5)
        reader = BusReader(("127.0.0.1", bus.getsockname()[1]), 6, received.put)
        reader.start()
        for _ in range(2):  # the event may have been cut off: it is requested once more
            sock, _ = bus.accept()
            with sock:
                assert b"Last-Event-ID: 6\r\n" in sock.recv(4096)
                sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                with contextlib.suppress(OSError):
                    sock.sendall(f"id: 7\ndata: {damaged}\n\nid: 8\ndata: {later}\n\n".encode())
                sock.settimeout(1)
                with contextlib.suppress(OSError):
                    sock.recv(1)  # until the reader closes or has read everything
        assert received.get(timeout=5).offset == 8
        reader.stop()


def test_an_event_that_could_not_be_applied_is_passed_on_again() -> None:
    received: list[int] = []

    def on_event(event: TopologyEvent) -> None:
        received.append(event.offset)
        if len(received) == 1:
            raise RuntimeError("can't start new thread")

    with socket.create_server(("127.0.0.1", 0)) as bus:
        bus.settimeout(5)
        reader = BusReader(("127.0.0.1", bus.getsockname()[1]), 6, on_event)
        reader.start()
        for _ in range(2):
            sock, _ = bus.accept()
            with sock:
                assert b"Last-Event-ID: 6\r\n" in sock.recv(4096)
                sock.sendall(f"HTTP/1.1 200 OK\r\n\r\nid: 7\ndata: {EVENT}\n\n".encode())
                sock.settimeout(1)
                with contextlib.suppress(OSError):
                    sock.recv(1)
        until = now_ms() + 5000
        while received != [7, 7] and now_ms() < until:
            time.sleep(0.01)
        reader.stop()
    assert received == [7, 7]
