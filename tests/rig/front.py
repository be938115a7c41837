"""Runs the program's connections to callers in this process; the test plays the part of the core."""

from __future__ import annotations

import json
import socket
import threading

from badgerstile.wire import read_settings
from landingdeal.clock import now_ms
from landingdeal.core import steps
from landingdeal.core.events import Offer
from landingdeal.core.inbox import Inbox
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.lab.ports import free_port
from landingdeal.net.callers import CallerConnections
from landingdeal.sip.message import encode, request
from tests.scenario import BODY, SETTINGS, TIMEOUT_S


class StepGate:
    """Pauses the first thread that reaches a step of the program until `released` is set."""

    def __init__(self, step: str) -> None:
        self.step, self.reached, self.released = step, threading.Event(), threading.Event()
        self.first_only = threading.Lock()
        steps.hook = self._pause

    def _pause(self, step: str) -> None:
        if step == self.step and self.first_only.acquire(blocking=False):
            self.reached.set()
            self.released.wait(TIMEOUT_S)

    def wait_until_reached(self) -> None:
        assert self.reached.wait(TIMEOUT_S), f"no thread reaches step {self.step}"


class CallerHarness:
    """The program's connections to callers with a test connection; the test takes events from the inbox."""

    def __init__(self) -> None:
        self.inbox, self.life = Inbox(), Lifecycle()
        settings = read_settings(json.dumps(SETTINGS).encode())
        self.callers = CallerConnections(settings, self.inbox, "127.0.0.1", free_port(), 1024, self.life)
        self.address = self.callers.acceptor.listener.getsockname()
        self.sock = socket.create_connection(self.address)
        self.sock.settimeout(TIMEOUT_S)

    def send_set_up(self, call_id: str = "a") -> None:
        self.sock.sendall(encode(request(
            "INVITE", f"sip:{call_id}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", call_id),
            ("cseq", "1 INVITE"), ("subject", "voice"), ("x-patience", "3000"),
            ("x-facts", "dest:1;width:1;via:-1"), body=BODY,
        )))  # fmt: skip

    def next_offer(self) -> Offer:
        deadline_ms = now_ms() + TIMEOUT_S * 1000
        (event,) = list(self.inbox.take(deadline_ms))
        assert isinstance(event, Offer), event
        return event

    def close_surplus(self) -> None:
        """Makes the program close every connection that it may close, as if there were too many."""
        self.callers.max_links = 0
        self.callers._close_surplus()

    def connection_closed(self) -> bool:
        """Whether the test connection is closed; data that arrived before that can still be read."""
        with self.callers.lock:
            return not any(link.alive for link in self.callers.links)

    def receive(self) -> bytes:
        return self.sock.recv(65536)

    def end(self) -> None:
        self.life.request_stop(0.0)
        self.life.core_stopped(0.0)
        self.sock.close()
