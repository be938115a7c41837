"""A lab hub that is slow but sound is heard: its messages come late on each connection, or in pieces.

Guards against connections that are given up before their lab hub speaks, so that the next one starts anew.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from badgerstile.wire import read_settings
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.events import Attempt, AttemptEstablished, CoreEvent, LoadReported, Offer
from landingdeal.core.inbox import Inbox
from landingdeal.net import hub_connector
from landingdeal.net.hubs import HubConnections
from landingdeal.net.link import dial
from landingdeal.net.transaction import CallerTransaction
from landingdeal.sip.message import Framer, MalformedMessage, Message, encode, request, response
from tests.scenario import BODY, SETTINGS, PlatformHarness, call_id, play

HUB_NAME = b"h"
STATE = ("x-state", "x0:40;x1:40")
CUT_CAUSE = ("reason", "Q.850;cause=41")
PIECES = 6  # that a slow hub writes a message in


class SlowHub:
    """Accepts each connection and set-up, but speaks late or in pieces."""

    def __init__(self, late_s: float = 0.0, message_s: float = 0.0) -> None:
        """`late_s`: before each message; `message_s`: from its first byte to its last."""
        self.late_s, self.message_s = late_s, message_s
        self.connections = 0
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                with self.lock:
                    self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        writing = threading.Lock()
        state = request("NOTIFY", "sip:state@net", ("call-id", "1"), ("cseq", "1 NOTIFY"), STATE)
        self._write_later(sock, writing, state)
        framer = Framer()
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                for message in framer.feed(data):
                    assert not isinstance(message, MalformedMessage)
                    self._handle(sock, writing, message)

    def _handle(self, sock: socket.socket, writing: threading.Lock, message: Message) -> None:
        if message.method == "INVITE":
            self._write_later(sock, writing, response(message, 200, STATE, body=BODY))
        elif message.method in ("OPTIONS", "BYE"):
            self._write_later(sock, writing, response(message, 200, STATE))

    def _write_later(self, sock: socket.socket, writing: threading.Lock, message: Message) -> None:
        def write() -> None:
            time.sleep(self.late_s)
            data = encode(message)
            size = len(data) // PIECES + 1
            with contextlib.suppress(OSError), writing:
                for start in range(0, len(data), size):
                    if start:
                        time.sleep(self.message_s / (PIECES - 1))
                    sock.sendall(data[start : start + size])

        threading.Thread(target=write, daemon=True).start()

    def end(self) -> None:
        self.listener.close()


class SlowHubHarness:
    """`HubConnections` with one slow hub; the test takes the place of the core."""

    def __init__(self, hub: SlowHub) -> None:
        self.hub, self.inbox = hub, Inbox()
        self.hubs = HubConnections(
            read_settings(json.dumps(SETTINGS).encode()), self.inbox, "127.0.0.1:1", 500.0
        )
        self.hubs.update_hub(HUB_NAME, hub.address, False)
        self.hubs.start()
        self.events: list[tuple[float, CoreEvent]] = []  # when each came, in seconds from the start
        self.started_ms = now_ms()

    def run(self, duration_s: float, until: Callable[[], bool] = lambda: False) -> None:
        end_ms = now_ms() + duration_s * 1000
        while now_ms() < end_ms and not until():
            for event in self.inbox.take(min(now_ms() + 20, end_ms)):
                self.events.append(((now_ms() - self.started_ms) / 1000, event))

    def longest_time_unheard_s(self) -> float:
        """The longest time between two reports of the load, the start and the end included."""
        times = [at for at, event in self.events if isinstance(event, LoadReported)]
        ends = [*times, (now_ms() - self.started_ms) / 1000]
        return max(end - start for start, end in zip([0.0, *times], ends, strict=True))

    def end(self) -> None:
        self.hubs.update_hub(HUB_NAME, "", True)
        self.hub.end()


@contextlib.contextmanager
def slow_hub(late_s: float = 0.0, message_s: float = 0.0) -> Iterator[SlowHubHarness]:
    harness = SlowHubHarness(SlowHub(late_s, message_s))
    try:
        yield harness
    finally:
        harness.end()


@pytest.mark.parametrize(
    ("late_s", "message_s", "unheard_s", "run_s"),
    [
        (3.0, 0.0, 5.0, 10.0),
        (6.0, 0.0, 7.5, 20.0),
        (0.0, 0.6, 4.0, 10.0),
        (0.0, 1.5, 4.0, 10.0),
        (2.0, 1.5, 6.0, 15.0),
    ],
)
def test_a_hub_that_speaks_late_or_in_pieces_is_heard_again_and_again(
    late_s: float, message_s: float, unheard_s: float, run_s: float
) -> None:
    with slow_hub(late_s, message_s) as harness:
        harness.run(run_s)
        assert harness.longest_time_unheard_s() <= unheard_s
        assert harness.hub.connections <= 2 * run_s


@pytest.mark.parametrize("message_s", [0.6, 1.2])
def test_an_answer_that_comes_in_pieces_establishes_its_call(message_s: float) -> None:
    with slow_hub(message_s=message_s) as harness:
        harness.run(5.0, lambda: bool(harness.events))
        caller = CallerTransaction(None, None, None)  # type: ignore[arg-type]
        offer = Offer("a", "sip:a@net", "voice", 1, now_ms() + 4000, BODY, caller)
        attempt = Attempt(offer, 0, HUB_NAME, now_ms(), now_ms() + 3000)
        harness.hubs.set_up(attempt)
        established = AttemptEstablished(attempt, BODY)
        harness.run(3.0, lambda: established in [event for _, event in harness.events])
        assert established in [event for _, event in harness.events]


class SlowConnects:
    """Stands in for `dial`: each connect takes a while, as to a peer that is far away or crowded."""

    def __init__(self, connect_s: float) -> None:
        self.connect_s = connect_s
        self.under_way: Counter[int] = Counter()  # by port: peers of earlier tests are still dialled
        self.most_under_way: Counter[int] = Counter()
        self.lock = threading.Lock()

    def dial(self, host: str, port: int, deadline_ms: float) -> socket.socket:
        with self.lock:
            self.under_way[port] += 1
            self.most_under_way[port] = max(self.most_under_way[port], self.under_way[port])
        try:
            remaining_s = seconds_until(deadline_ms)
            time.sleep(min(self.connect_s, remaining_s))
            if remaining_s < self.connect_s:
                raise TimeoutError("timed out")
            return dial(host, port, deadline_ms + 1000)
        finally:
            with self.lock:
                self.under_way[port] -= 1


@pytest.mark.parametrize("connect_s", [0.7, 3.0, 6.5])
def test_a_hub_whose_connects_take_longer_than_the_dial_timeout_is_connected(
    connect_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against dials that each end sooner than the connect, with the next one starting anew."""
    connects = SlowConnects(connect_s)
    monkeypatch.setattr(hub_connector, "dial", connects.dial)
    with slow_hub() as harness:
        harness.run(connect_s + 1.5, lambda: bool(harness.events))
        assert [type(event) for _, event in harness.events] == [LoadReported]
        assert harness.hubs.all_connected()
        assert connects.most_under_way[harness.hub.port] <= 2


class LateHubHarness(PlatformHarness):
    """The program as it is after a restart: one hub accepts its connection and speaks late on it."""

    LATE_HUB, LATE_S = "hub2", 6.0

    def _accept(self, name: str, listener: socket.socket) -> None:
        if name != self.LATE_HUB:
            super()._accept(name, listener)
            return
        with contextlib.suppress(OSError):
            for number in itertools.count():
                sock, _ = listener.accept()
                threading.Thread(target=self._speak_late, args=(sock, number), daemon=True).start()

    def _speak_late(self, sock: socket.socket, number: int) -> None:
        """A release from before the restart comes on the first connection only."""
        time.sleep(self.LATE_S)
        release = request("BYE", "sip:hub@net", ("call-id", call_id("old")), ("cseq", "2 BYE"), CUT_CAUSE)
        messages = [request("NOTIFY", "sip:state@net", ("call-id", "1"), ("cseq", "1 NOTIFY"), STATE)]
        messages += [release] if number == 0 else []
        with sock, contextlib.suppress(OSError):
            sock.sendall(b"".join(encode(message) for message in messages))
            while sock.recv(65536):
                pass


def test_a_release_from_before_a_restart_is_passed_on_though_its_hub_speaks_late(tmp_path: Path) -> None:
    harness = LateHubHarness(tmp_path)
    try:
        time.sleep(LateHubHarness.LATE_S)
        play(harness, "front expect BYE old Reason:Q.850;cause=41")
    finally:
        harness.end()
