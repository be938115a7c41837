"""A scenario language for tests over sockets, shared by both fronts, run here on the platform front.

Each line is one step: a party, a verb and its arguments.

    caller send INVITE a dest=1           sends a request for call `a`; `name=value` sets facts of the set-up
    hub1 expect INVITE a                  the next message received must be this one, within `TIMEOUT_S`
    hub1 send 200 a                       responds to the last INVITE of that call received there
    caller expect 503 a X-Later-Ms:2000   expects a header whose value starts with this
    hub1 wait 300                         no message is received for this many milliseconds
    hub1 close                            closes its connections; `half_close` closes them only for sending,
                                          `reset` resets them, `dies` also closes its listening socket
    bus tell hub1 removed                 sends an event of the event bus; `bus2` is one named by a reload;
                                          `at=hub2` gives its address, `since=now` a start, `named=x` a name
    program stop                          sends SIGTERM; `program ends 0` expects this exit code
    program reload bus2                   writes a new configuration and sends SIGHUP; `program says x` waits
                                          for a log line

Parties are created by the first step that names them; callers are `caller`, `caller2` and so on.
"""

from __future__ import annotations

import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Protocol

from landingdeal.lab.ports import free_port
from landingdeal.sip.message import Framer, MalformedMessage, Message, encode, request, response

TIMEOUT_S = 8.0
ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "caps": {"cancel": True, "dial_timeout_ms": 500.0, "max_retry_after_ms": 2000.0, "may_probe": False,
             "most_tries": 6, "peers": False, "retry_after": True, "second_copies": False},
    "classes": [{"deadline_ms": 9000.0, "effect": "free", "name": name, "points": points, "slo_ms": 1500.0}
                for name, points in (("voice", 1.0), ("data", 2.0))],
    "discovery": "pushed",
    "load_report": {"how": "piggyback", "names": ["free", "size", "depth", "can_take"]},
    "rules": {"ask_within_ms": 10000.0, "cold_from": 0.3, "cold_ms": 14000.0, "drain_grace_ms": 1000.0,
              "fall_ms": 1000.0, "fall_multiple": 2.0},
    "specifics": {"here": 0, "mean_hold_ms": [10500.0, 12600.0], "release_ms": 300.0, "topology": "mesh",
                  "widths": [1, 1]},
    "tick_ms": 5.0,
}  # fmt: skip
BODY = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


class PeerConnection(Protocol):
    """A TCP connection, or a datagram socket with the address of its peer."""

    def put(self, data: bytes) -> None: ...

    def close(self, reset: bool) -> None: ...


class TcpConnection:
    """A TCP connection whose messages are delivered to a mailbox by a reader thread."""

    def __init__(self, sock: socket.socket, mailbox: Mailbox) -> None:
        self.sock = sock
        mailbox.connections.append(self)  # before the first message: `close` of the mailbox must find it
        threading.Thread(target=self._read, args=(mailbox,), daemon=True).start()

    def _read(self, mailbox: Mailbox) -> None:
        framer = Framer()
        with suppress(OSError):
            while data := self.sock.recv(65536):
                for message in framer.feed(data):
                    mailbox.on_message(self, message)
        mailbox.on_message(self, None)

    def put(self, data: bytes) -> None:
        self.sock.sendall(data)

    def close(self, reset: bool) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
        self.sock.close()


@dataclass
class Mailbox:
    """The messages that one party received, with their connections; `None` is the end of a connection."""

    received: queue.Queue[tuple[PeerConnection, Message | None]] = field(default_factory=queue.Queue)
    connections: list[PeerConnection] = field(default_factory=list)
    requests: dict[str, tuple[PeerConnection, Message]] = field(default_factory=dict)

    def on_message(self, connection: PeerConnection, message: Message | MalformedMessage | None) -> None:
        assert not isinstance(message, MalformedMessage), message
        if message is not None and message.uri == "sip:load@net":  # a liveness check of the program
            connection.put(encode(response(message, 200)))
            return
        if message is not None and message.method == "INVITE":
            self.requests[message.call_id] = (connection, message)
        if message is None and connection in self.connections:
            self.connections.remove(connection)
        self.received.put((connection, message))

    def close(self, reset: bool) -> None:
        for connection in list(self.connections):
            connection.close(reset)
        self.connections.clear()


def call_id(name: str) -> str:
    """The Call-ID of a call that the scenario calls `name`."""
    return name.encode().hex().rjust(16, "0")


def check_message(
    party: str,
    expected: str,
    name: str,
    known_call_id: str,
    message: Message | None,
    expected_headers: tuple[str, ...],
) -> None:
    """Asserts that a message, or the end of a connection (None), is what a step expects."""
    failure = f"{party}: expected {expected} {name} {' '.join(expected_headers)}, got {message}"
    if message is None:
        assert expected == "end", failure
        return
    assert expected == (str(message.status) if message.status else message.method), failure
    assert not name or message.call_id == known_call_id, failure
    for header in expected_headers:
        key, _, value = header.partition(":")
        assert message.get(key.lower()).startswith(value), failure
    if expected == "INVITE" or expected == "200" and message.cseq[1] == "INVITE":
        assert message.body == BODY, failure


class PlatformHarness:
    """The program as the platform starts it, with test doubles for lab hubs 0 to 2 and the event bus."""

    def __init__(
        self, folder: Path, operator: str = "", class_changes: Mapping[str, object] | None = None
    ) -> None:
        """Starts the program; `class_changes` replaces these settings of every class."""
        self.mailboxes: dict[str, Mailbox] = {}
        # hub3 is in no list: its address is free for an event of the event bus
        self.listeners = {f"hub{n}": socket.create_server(("127.0.0.1", 0)) for n in range(4)}
        self.bus_events: dict[str, queue.Queue[str]] = {name: queue.Queue() for name in ("bus", "bus2")}
        for name in self.bus_events:
            self.listeners[name] = socket.create_server(("127.0.0.1", 0))
        for name, listener in self.listeners.items():
            self.mailboxes[name] = Mailbox()
            threading.Thread(target=self._accept, args=(name, listener), daemon=True).start()
        self.offset = 1
        self.port = free_port()
        known_events = {"offset": 1, "batch": [self._event(True, "up", "hub0", "hub1", "hub2")]}
        classes = [{**each, **(class_changes or {})} for each in SETTINGS["classes"]]
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "bus": self._address("bus"), "known": known_events,
                  "settings": {**SETTINGS, "classes": classes}}  # fmt: skip
        path = self.config_path = folder / "config.json"
        self.config: dict[str, Any] = config
        path.write_text(json.dumps(config))
        (folder / "operator.toml").write_text(operator)
        self.program = subprocess.Popen(
            [sys.executable, "-m", "landingdeal", "--operator", str(folder / "operator.toml")],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**os.environ, "ROUTER_CONFIG": str(path)},
        )
        self.log = b""
        self.log_thread = threading.Thread(target=self._read_log, daemon=True)
        self.log_thread.start()
        self._wait_until_ready()

    def _read_log(self) -> None:
        assert self.program.stderr is not None
        while data := self.program.stderr.readline():
            self.log += data

    def _address(self, name: str) -> str:
        return f"127.0.0.1:{self.listeners[name].getsockname()[1]}"

    def _event(
        self, whole: bool, status: str, *names: str, at: str = "", since: str = "", named: str = ""
    ) -> dict[str, Any]:
        since_ms = int(time.time() * 1000) if since else 0
        rows = [{"name": f"s-{named or name}", "address": self._address(at or name), "group": int(name[3:]),
                 "status": status, "since_ms": since_ms} for name in names]  # fmt: skip
        return {"offset": self.offset, "topology": {"index": 1, "snapshot": whole, "endpoints": rows}}

    def _accept(self, name: str, listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                sock, _ = listener.accept()
                if name in self.bus_events:
                    threading.Thread(
                        target=self._bus, args=(sock, self.bus_events[name]), daemon=True
                    ).start()
                    continue
                connection = TcpConnection(sock, self.mailboxes[name])
                with suppress(OSError):
                    connection.put(
                        encode(
                            request(
                                "NOTIFY",
                                "sip:state@net",
                                ("call-id", "1"),
                                ("cseq", "1 NOTIFY"),
                                ("x-state", "x0:40;x1:40"),
                            )
                        )
                    )

    def _bus(self, sock: socket.socket, events: queue.Queue[str]) -> None:
        with suppress(OSError):
            sock.recv(4096)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                try:
                    sock.sendall(events.get(timeout=0.5).encode())
                except queue.Empty:
                    sock.sendall(b":\n\n")

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            with suppress(OSError, AssertionError):
                self.run_step("front", "send", "OPTIONS", "ready")
                self.run_step("front", "expect", "200", "ready")
                return
            time.sleep(0.02)
        raise AssertionError("the program did not become ready")

    # --- steps ---

    def run_step(self, party: str, verb: str, *words: str) -> None:
        """Runs one step of a scenario."""
        if party == "program":
            self._program(verb, *words)
        elif party in self.bus_events:
            self.offset += 1
            changes = dict(word.split("=") for word in words[2:])
            event = json.dumps(self._event(False, words[1], words[0], **changes))
            self.bus_events[party].put(f"id: {self.offset}\ndata: {event}\n\n")
        else:
            verbs: dict[str, Callable[..., None]] = {
                "send": self._send, "expect": self._expect, "wait": self._wait, "close": self._close,
                "reset": self._reset, "raw": self._raw, "dies": self._dies, "half_close": self._half_close,
            }  # fmt: skip
            verbs[verb](party, *words)

    def _program(self, verb: str, code: str = "") -> None:
        if verb == "stop":
            self.program.send_signal(signal.SIGTERM)
        elif verb == "reload":  # another event bus, or an invalid file
            new_config = {**self.config, "bus": self._address(code)} if code in self.bus_events else code
            self.config_path.write_text(json.dumps(new_config))
            self.program.send_signal(signal.SIGHUP)
        elif verb == "says":
            deadline = time.monotonic() + TIMEOUT_S
            while code not in self.log.decode():
                assert time.monotonic() < deadline, f"the program did not log {code!r}: {self.log.decode()}"
                time.sleep(0.01)
        else:
            assert self.program.wait(TIMEOUT_S) == int(code)

    def _mailbox(self, party: str) -> Mailbox:
        mailbox = self.mailboxes.setdefault(party, Mailbox())
        if not mailbox.connections and not party.startswith("hub"):
            TcpConnection(socket.create_connection(("127.0.0.1", self.port)), mailbox)
        return mailbox

    def _newest_connection(self, party: str) -> PeerConnection:
        """The newest connection of a party; waits for one that the system has accepted already."""
        mailbox, deadline = self._mailbox(party), time.monotonic() + TIMEOUT_S
        while not mailbox.connections:
            assert time.monotonic() < deadline, f"{party} has no connection"
            time.sleep(0.005)
        return mailbox.connections[-1]

    def _send(self, party: str, method_or_status: str, name: str, *options: str) -> None:
        mailbox, call = self._mailbox(party), call_id(name)
        headers = [(k.lower(), v) for k, v in (m.split(":", 1) for m in options if ":" in m)]
        if method_or_status.isdecimal():
            request_call = [m.split("=")[1] for m in options if m.startswith("of=")]
            connection, answered_request = mailbox.requests[
                call_id(request_call[0]) if request_call else call
            ]
            if request_call:  # an answer with a Call-ID other than that of its request
                renamed = tuple((k, call if k == "call-id" else v) for k, v in answered_request.headers)
                answered_request = replace(answered_request, headers=renamed)
            connection.put(
                encode(
                    response(
                        answered_request,
                        int(method_or_status),
                        *headers,
                        body=BODY if method_or_status == "200" else b"",
                    )
                )
            )
            return
        fields = {
            "dest": "1",
            "width": "1",
            "via": "-1",
            **dict(m.split("=") for m in options if ":" not in m),
        }
        patience = fields.pop("patience", "4000")
        class_name = fields.pop("class", "voice")
        facts = ";".join(f"{k}:{v}" for k, v in fields.items())
        body = b""
        if method_or_status == "INVITE":
            headers += [("subject", class_name), ("x-patience", patience), ("x-facts", facts)]
            body = BODY
        message = request(method_or_status, f"sip:{call}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", call),
                          ("cseq", f"1 {method_or_status}"), *headers, body=body)  # fmt: skip
        self._newest_connection(party).put(encode(message))

    def _raw(self, party: str, *words: str) -> None:
        self._newest_connection(party).put(" ".join(words).encode().decode("unicode_escape").encode())

    def _expect(self, party: str, expected: str, name: str = "", *options: str) -> None:
        _, message = self._mailbox(party).received.get(timeout=TIMEOUT_S)
        check_message(party, expected, name, call_id(name), message, options)

    def _wait(self, party: str, duration_ms: str) -> None:
        deadline = time.monotonic() + int(duration_ms) / 1000
        with suppress(queue.Empty):
            while True:
                message = self._mailbox(party).received.get(timeout=max(deadline - time.monotonic(), 0))[1]
                assert message is None, f"{party}: expected no message, got {message}"

    def _close(self, party: str) -> None:
        self.mailboxes[party].close(False)

    def _reset(self, party: str) -> None:
        self.mailboxes[party].close(True)

    def _half_close(self, party: str) -> None:
        for connection in self.mailboxes[party].connections:
            assert isinstance(connection, TcpConnection)
            connection.sock.shutdown(socket.SHUT_WR)

    def _dies(self, party: str) -> None:
        """Simulates the end of its process: its listening socket is closed and its connections are reset."""
        self.listeners[party].shutdown(socket.SHUT_RDWR)
        self.listeners[party].close()
        self._reset(party)

    def end(self) -> str:
        """Stops everything that was started; returns the program's log."""
        for listener in self.listeners.values():
            listener.close()
        if self.program.poll() is None:
            self.program.kill()
        self.program.wait()
        self.log_thread.join(TIMEOUT_S)
        return self.log.decode()


class ScenarioRunner(Protocol):
    """Runs the steps of a scenario."""

    def run_step(self, party: str, verb: str, *words: str) -> None: ...


def play(harness: ScenarioRunner, scenario: str) -> None:
    """Runs a scenario; a failure names its line."""
    for number, line in enumerate(scenario.strip().splitlines(), 1):
        words = line.split()
        if words:
            try:
                harness.run_step(*words)
            except (AssertionError, queue.Empty) as error:
                raise AssertionError(f"line {number}, {line.strip()!r}: {error!r}") from None
