"""The callers' side of the platform's front in this process, with the core's part played by the test."""

from __future__ import annotations

import json
import socket
import threading

from badgerstile.wire import read_settings
from landingdeal.clock import now_ms
from landingdeal.core import steps
from landingdeal.core.broker import Inbox
from landingdeal.core.events import Offer
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.lab.ports import free_port
from landingdeal.net.callers import CallerConnections
from landingdeal.sip.message import encode, request
from tests.scenario import BODY, SETTINGS, TIMEOUT_S


class Gate:
    """Holds the first thread that comes to a step, until it is let go."""

    def __init__(self, step: str) -> None:
        self.step, self.came, self.go = step, threading.Event(), threading.Event()
        self.once = threading.Lock()
        steps.hook = self._at

    def _at(self, step: str) -> None:
        if step == self.step and self.once.acquire(blocking=False):
            self.came.set()
            self.go.wait(TIMEOUT_S)

    def held(self) -> None:
        assert self.came.wait(TIMEOUT_S), f"nobody comes to {self.step}"


class Front:
    """The callers' side in this process, with the core's part played by the test."""

    def __init__(self) -> None:
        self.inbox, self.life = Inbox(), Lifecycle()
        settings = read_settings(json.dumps(SETTINGS).encode())
        self.callers = CallerConnections(settings, self.inbox, "127.0.0.1", free_port(), 1024, self.life)
        self.where = self.callers.acceptor.listener.getsockname()
        self.sock = socket.create_connection(self.where)
        self.sock.settimeout(TIMEOUT_S)

    def set_up(self, call: str = "a") -> None:
        self.sock.sendall(encode(request(
            "INVITE", f"sip:{call}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", call), ("cseq", "1 INVITE"),
            ("subject", "voice"), ("x-patience", "3000"), ("x-facts", "dest:1;width:1;via:-1"), body=BODY,
        )))  # fmt: skip

    def offered(self) -> Offer:
        until = now_ms() + TIMEOUT_S * 1000
        (event,) = list(self.inbox.take(until))
        assert isinstance(event, Offer), event
        return event

    def sweep(self) -> None:
        """Too many connections are held: whoever may go goes."""
        self.callers.max_links = 0
        self.callers._close_surplus()

    def gone(self) -> bool:
        """Whether our connection has been closed; what is left to read stays there."""
        with self.callers.lock:
            return not any(link.alive for link in self.callers.links)

    def reads(self) -> bytes:
        return self.sock.recv(65536)

    def end(self) -> None:
        self.life.request_stop(0.0)
        self.life.core_stopped(0.0)
        self.sock.close()
