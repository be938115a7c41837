"""Stand-ins of the second review: lab hubs, the event bus, callers and the start of one border controller.

Standard library only; everything listens on 127.0.0.1. Run with the interpreter that the deploy file's build
leaves in .venv. Times are Unix seconds, as the protocol page asks.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LINGER_RESET = struct.pack("ii", 1, 0)
CASE_LIMIT_S = 100.0
TEMPORARY_FOLDERS: list[str] = []


class CannotRun(Exception):
    """The case could not be played; says why."""


class Record:
    """What was sent, answered and run, in order; written to record.txt beside the case."""

    def __init__(self, folder: Path) -> None:
        self.path, self.lines, self.start = folder / "record.txt", [], time.time()
        self.add("case", f"TROUBLE={'1' if TROUBLE else '0'}")

    def add(self, who: str, text: str) -> None:
        self.lines.append(f"{time.time() - self.start:8.3f} {who}: {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"


def free_port() -> int:
    """A free port below the range from which the kernel takes those of outgoing connections."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Message:
    def __init__(self, head: str, body: bytes) -> None:
        lines = head.split("\r\n")
        self.start, self.body = lines[0], body
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers.setdefault(name.strip().lower(), value.strip())
        self.status = int(self.start.split(" ")[1]) if self.start.startswith("SIP/2.0 ") else 0
        self.method = "" if self.status else self.start.split(" ")[0]
        self.uri = "" if self.status else self.start.split(" ")[1]

    @property
    def call(self) -> str:
        return self.headers.get("call-id", "")

    @property
    def cseq_method(self) -> str:
        return self.headers.get("cseq", "").partition(" ")[2].strip()


def encode(start: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reply(
    message: Message, status: int, extra: list[tuple[str, str]] | None = None, body: bytes = b""
) -> bytes:
    copied = [
        (n, message.headers[n.lower()]) for n in ("Via", "Call-ID", "CSeq") if n.lower() in message.headers
    ]
    return encode(f"SIP/2.0 {status} X", copied + (extra or []), body)


class Peer:
    """One TCP connection that carries SIP; messages go to `on_message`, its end to `on_end`."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_message: Callable[[Peer, Message], None],
        on_end: Callable[[Peer], None],
    ) -> None:
        self.reader, self.writer, self.on_message, self.on_end = reader, writer, on_message, on_end
        self.ended = False
        self.last_traffic = time.time()
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.name = "%s:%d" % writer.get_extra_info("peername")[:2]
        self.task = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                text = head[:-4].decode("utf-8", "replace").lstrip("\r\n")
                message = Message(text, b"")
                length = int(message.headers.get("content-length", "0"))
                if length:
                    message.body = await self.reader.readexactly(length)
                self.last_traffic = time.time()
                if self.ended:
                    return
                self.on_message(self, message)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            self.close()

    def send(self, data: bytes) -> None:
        if not self.ended and not self.writer.is_closing():
            self.last_traffic = time.time()
            self.writer.write(data)

    def close(self, reset: bool = False) -> None:
        if self.ended:
            return
        self.ended = True
        if reset:
            self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.writer.transport.abort()
        else:
            self.writer.close()
        self.on_end(self)


class HubCall:
    """A call at a lab hub."""

    def __init__(self, peer: Peer, call: str) -> None:
        self.peer, self.id = peer, call
        self.sent_at = time.time()
        self.stands = False
        self.ended_at, self.ended_by = 0.0, ""


class Hub:
    """A lab hub: answers set-ups, holds calls, releases them as the protocol page says."""

    def __init__(self, record: Record, name: str, number: int) -> None:
        self.record, self.name, self.number = record, name, number
        self.peers: list[Peer] = []
        self.calls: dict[str, HubCall] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.unreported: list[tuple[str, int]] = []
        self.hold_s, self.answer_s = 20.0, 0.02
        self.max_connections = 1000
        self.circuits = 120
        self.server: asyncio.Server | None = None
        self.port = free_port()
        self.silent = False  # takes set-ups and answers nothing

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def entry(self, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
        return {"name": self.name, "address": self.address, "zone": "addis", "type": "small-box",
                "group": self.number, "status": status, "weight": 1, "since_ms": since_ms}  # fmt: skip

    async def listen(self) -> None:
        if self.server is None:
            self.server = await asyncio.start_server(
                self._accepted, "127.0.0.1", self.port, reuse_address=True
            )

    def stop_listening(self) -> None:
        if self.server is not None:
            for sock in self.server.sockets:
                asyncio.get_running_loop().remove_reader(sock.fileno())
            self.server.close()
            self.server = None

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer, self.received, self._ended)
        self.peers.append(peer)
        self.record.add(self.name, f"connection from {peer.name} ({len(self.peers)} open)")
        if len(self.peers) >= self.max_connections and self.server is not None:
            self.record.add(self.name, "holds all the connections it accepts: further connects are refused")
            self.stop_listening()
        self.send_state(peer)
        unreported, self.unreported = self.unreported, []
        for call, cause in unreported:
            self._send_bye(peer, call, cause)

    def _ended(self, peer: Peer) -> None:
        if peer in self.peers:
            self.peers.remove(peer)
        for call in list(self.calls.values()):
            if call.peer is peer and not call.stands and not call.ended_at:
                call.ended_at, call.ended_by = time.time(), "its connection ended"
        self.record.add(self.name, f"connection from {peer.name} ended")
        if self.server is None and len(self.peers) < self.max_connections:
            asyncio.get_running_loop().create_task(self.listen())

    def state(self) -> list[tuple[str, str]]:
        used = sum(1 for call in self.calls.values() if call.stands and not call.ended_at)
        return [("X-State", f"x0:{self.circuits - used};x1:{self.circuits};queue:0;qps:100")]

    def send_state(self, peer: Peer) -> None:
        peer.send(encode("NOTIFY sip:state@net SIP/2.0",
                         [("Via", "SIP/2.0/TCP hub"), ("Call-ID", "0" * 16), ("CSeq", "1 NOTIFY"), *self.state()]))  # fmt: skip

    def received(self, peer: Peer, message: Message) -> None:
        if message.status:
            return
        if message.method == "OPTIONS":
            peer.send(reply(message, 200, self.state()))
        elif message.method == "INVITE":
            self.invite(peer, message)
        elif message.method == "CANCEL":
            self.record.add(self.name, f"CANCEL {message.call}")
            self.cancelled(peer, message)
        elif message.method == "BYE":
            peer.send(reply(message, 200))
            self.record.add(self.name, f"BYE from the border controller {message.call}")
            call = self.calls.get(message.call)
            if call is not None and not call.ended_at:
                call.ended_at, call.ended_by = time.time(), "the border controller"

    def cancelled(self, peer: Peer, message: Message) -> None:
        call = self.calls.get(message.call)
        if call is not None and not call.stands and not call.ended_at:
            call.ended_at, call.ended_by = time.time(), "cancelled"

    def invite(self, peer: Peer, message: Message) -> None:
        self.arrivals.append((time.time(), message.call))
        self.record.add(self.name, f"set-up {message.call}")
        call = self.calls[message.call] = HubCall(peer, message.call)
        if not self.silent:
            asyncio.get_running_loop().call_later(self.answer_s, self.answer, call, message)

    def answer(self, call: HubCall, message: Message) -> None:
        if call.ended_at or call.peer.ended or self.calls.get(call.id) is not call:
            return
        call.stands = True
        body = f"{random.getrandbits(64):016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n".encode()
        call.peer.send(reply(message, 200, self.state(), body))
        self.record.add(self.name, f"answered {call.id}: the call stands")
        asyncio.get_running_loop().call_later(self.hold_s, self.release, call, 16)

    def release(self, call: HubCall, cause: int) -> None:
        if call.ended_at:
            return
        call.ended_at, call.ended_by = time.time(), f"the lab hub, cause {cause}"
        self.unreported.append((call.id, cause))
        open_peers = [p for p in self.usable_peers() if p is call.peer] or self.usable_peers()
        if open_peers:
            self._send_bye(open_peers[0], call.id, cause)
        else:
            self.record.add(self.name, f"release of {call.id}: no connection open")

    def usable_peers(self) -> list[Peer]:
        return [peer for peer in self.peers if not peer.ended]

    def _send_bye(self, peer: Peer, call: str, cause: int) -> None:
        self.record.add(self.name, f"releases {call}, cause {cause}")
        peer.send(encode("BYE sip:bc@net SIP/2.0", [("Via", "SIP/2.0/TCP hub"), ("Call-ID", call),
                                                    ("CSeq", "2 BYE"), ("Reason", f"Q.850;cause={cause}")]))  # fmt: skip


def false_releases(hubs: list[Hub], caller: Caller) -> list[str]:
    """A release tells the caller that its call is over: it must have ended at its lab hub by then."""
    broken = []
    for hub in hubs:
        for call in hub.calls.values():
            set_up = caller.set_ups.get(call.id)
            if set_up is None or not call.stands or not set_up.releases:
                continue
            at, reason = set_up.releases[0]
            if not call.ended_at or call.ended_at > at + 0.05:
                how = (
                    f"{call.ended_at - at:.1f} s, until {call.ended_by} ended it"
                    if call.ended_at
                    else "to the end"
                )
                broken.append(f"call {call.id}: its caller was told that it is over ({reason}); nobody had ended it, "
                              f"and at the running lab hub it stood on for {how}")  # fmt: skip
    return broken


class Bus:
    """The event bus: numbered events as server-sent events, a comment every second."""

    def __init__(self, record: Record) -> None:
        self.record, self.port = record, free_port()
        self.events: list[dict[str, Any]] = []
        self.written_at: dict[int, float] = {}
        self.recorded_at: dict[int, float] = {}
        self.readers: dict[asyncio.StreamWriter, int] = {}
        self.answer_delay_s = 0.0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        await asyncio.start_server(self._accepted, "127.0.0.1", self.port)
        asyncio.get_running_loop().create_task(self._comment())

    def add(self, entries: list[dict[str, Any]], snapshot: bool = False) -> int:
        number = len(self.events) + 1
        topology = {"index": number, "snapshot": snapshot, "endpoints": entries}
        self.events.append({"offset": number, "topology": topology})
        self.recorded_at[number] = time.time()
        self._flush()
        return number

    def known(self) -> dict[str, Any]:
        return {"offset": len(self.events), "batch": list(self.events)}

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = 0
            for line in head.split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "last-event-id":
                    last = int(value)
            self.record.add("event bus", f"GET /bus/read, Last-Event-ID {last}")
            if self.answer_delay_s:
                closed = asyncio.get_running_loop().create_task(reader.read(1))
                done, _ = await asyncio.wait([closed], timeout=self.answer_delay_s)
                if done:
                    self.record.add("event bus", "the reader has gone before its request was answered")
                    writer.close()
                    return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.readers[writer] = last
            self._flush()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            writer.close()

    def _flush(self) -> None:
        for writer, last in list(self.readers.items()):
            if writer.is_closing():
                del self.readers[writer]
                continue
            for number in range(last + 1, len(self.events) + 1):
                writer.write(f"id: {number}\ndata: {json.dumps(self.events[number - 1])}\n\n".encode())
                self.written_at.setdefault(number, time.time())
                self.record.add("event bus", f"event {number} written")
            self.readers[writer] = len(self.events)

    async def _comment(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in list(self.readers):
                if not writer.is_closing():
                    writer.write(b": \n\n")

    def break_off(self) -> None:
        self.record.add("event bus", "breaks its streams off")
        for writer in list(self.readers):
            writer.close()
        self.readers.clear()


class SetUp:
    """A set-up as its caller sees it."""

    def __init__(self, call: str, patience_s: float) -> None:
        self.id, self.sent_at, self.patience_s = call, time.time(), patience_s
        self.answers: list[tuple[float, int, bytes]] = []
        self.releases: list[tuple[float, str]] = []
        self.connection_ended_at = 0.0

    @property
    def stands(self) -> bool:
        return bool(self.answers) and self.answers[0][1] == 200 and not self.releases


class Caller:
    """The callers of one border controller, on a few connections."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.set_ups: dict[str, SetUp] = {}
        self.peers: list[Peer] = []
        self.test_passed = asyncio.Event()

    async def connect(self) -> Peer:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        peer = Peer(reader, writer, self.received, self._ended)
        self.peers.append(peer)
        return peer

    def _ended(self, peer: Peer) -> None:
        if peer in self.peers:
            self.peers.remove(peer)

    def test(self, peer: Peer) -> None:
        peer.send(encode("OPTIONS sip:ping@net SIP/2.0",
                         [("Via", "SIP/2.0/TCP peer"), ("Call-ID", new_id()), ("CSeq", "1 OPTIONS")]))  # fmt: skip

    def place(self, peer: Peer, dest: int, class_name: str = "device-status", patience_ms: int = 3000,
              facts: str = "", number: str = "") -> SetUp:  # fmt: skip
        set_up = SetUp(new_id(), patience_ms / 1000)
        self.set_ups[set_up.id] = set_up
        body = f"{random.getrandbits(64):016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n".encode()
        peer.send(encode(f"INVITE sip:{number or new_id()}@net SIP/2.0", [
            ("Via", "SIP/2.0/TCP peer"), ("Call-ID", set_up.id), ("CSeq", "1 INVITE"), ("Subject", class_name),
            ("X-Patience", str(patience_ms)), ("X-Facts", facts or f"dest:{dest};width:1;via:-1"),
        ], body))  # fmt: skip
        self.record.add("caller", f"set-up {set_up.id} to {dest}{f', number {number}' if number else ''}")
        return set_up

    def bye(self, peer: Peer, call: str) -> None:
        self.record.add("caller", f"BYE {call}")
        peer.send(encode("BYE sip:bc@net SIP/2.0", [("Via", "SIP/2.0/TCP peer"), ("Call-ID", call),
                                                    ("CSeq", "2 BYE"), ("Reason", "Q.850;cause=16")]))  # fmt: skip

    def received(self, peer: Peer, message: Message) -> None:
        if message.status:
            if message.cseq_method == "OPTIONS" and message.status == 200:
                self.test_passed.set()
            if message.cseq_method == "INVITE" and message.status >= 200:
                set_up = self.set_ups.get(message.call)
                self.record.add("caller", f"answer {message.status} to {message.call}")
                if set_up is not None:
                    set_up.answers.append((time.time(), message.status, message.body))
                peer.send(encode("ACK sip:bc@net SIP/2.0",
                                 [("Via", "SIP/2.0/TCP peer"), ("Call-ID", message.call), ("CSeq", "1 ACK")]))  # fmt: skip
            return
        if message.method == "BYE":
            reason = message.headers.get("reason", "")
            self.record.add("caller", f"release of {message.call} ({reason})")
            peer.send(reply(message, 200))
            set_up = self.set_ups.get(message.call)
            if set_up is not None:
                set_up.releases.append((time.time(), reason))


def default_settings() -> dict[str, Any]:
    """The settings of the wire page's example: abay-labs-net."""
    classes = [
        {"deadline_ms": 9000.0, "effect": "free", "group": "all", "late_worth": 0.1, "name": name,
         "points": points, "slo_ms": 1500.0, "streaming": True, "window_ms": 5000.0}
        for name, points in (("device-status", 1.0), ("test-report", 2.0))
    ]  # fmt: skip
    return {
        "balancers": 6,
        "callers": {"marks_retry": False},
        "caps": {"cancel": True, "conn_idle_ms": 600000.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 300000,
                 "dial_timeout_ms": 500.0, "max_open": 20000, "max_retry_after_ms": 2000.0, "may_probe": True,
                 "most_tries": 6, "peers": False, "retry_after": True, "second_copies": False,
                 "streams_per_conn": 1048576},
        "classes": classes,
        "discovery": "pushed", "family": "trunks", "kinds": ["small-box"],
        "load_report": {"how": "piggyback", "names": ["free", "size", "depth", "can_take"]},
        "rules": {"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.3, "cold_ms": 14000.0,
                  "drain_grace_ms": 1000.0, "fall_ms": 1000.0, "fall_multiple": 2.0},
        "slot_no": 0,
        "specifics": {"advice": False, "here": 0, "mean_hold_ms": [10500.0, 12600.0], "release_ms": 300.0,
                      "remote_load": "piggyback", "retransmit_ms": 0.0, "says_wait": False,
                      "skilled_pools": [], "topology": "mesh", "widths": [1, 1]},
        "tick_ms": 5.0, "tier": 0, "tiers": ["lab-hubs"], "weights": "silent", "worth_by": "request",
        "zone": 2, "zones": ["addis", "hawassa", "bahir-dar"],
    }  # fmt: skip


class Controller:
    """One border controller, started with `run` of the deploy file."""

    processes: list[subprocess.Popen[bytes]] = []  # all that were started

    def __init__(
        self, record: Record, bus: Bus, settings: dict[str, Any], folder: Path, sockets: int = 1024
    ) -> None:
        self.record, self.bus, self.settings, self.folder = record, bus, settings, folder
        self.port, self.sockets = free_port(), sockets
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def write_config(self) -> Path:
        path = self.folder / "config.json"
        path.write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": new_id(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "bus": self.bus.address, "known": self.bus.known(), "settings": self.settings,
        }))  # fmt: skip
        return path

    def start(self) -> None:
        with (ROOT / "deploy" / "balancer.toml").open("rb") as deploy:
            command = tomllib.load(deploy)["run"]
        self.starts += 1
        private = self.folder / f"tmp{self.starts}"
        private.mkdir()
        environment = {**os.environ, "ROUTER_NAME": "n0", "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
                       "ROUTER_CONFIG": str(self.write_config()), "TMPDIR": str(private)}  # fmt: skip
        for name in ("LANDINGDEAL_OPERATOR", "PYTHONPATH"):
            environment.pop(name, None)
        self.log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)  # fmt: skip
        Controller.processes.append(self.process)
        self.record.add("border controller", "started")

    async def ready(self, caller: Caller) -> Peer:
        """Waits until a test is passed; returns the connection of the test."""
        until = time.time() + 30
        while time.time() < until:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRun("the border controller has ended during its start")
            try:
                peer = await caller.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            caller.test_passed.clear()
            caller.test(peer)
            try:
                await asyncio.wait_for(caller.test_passed.wait(), 0.5)
                self.record.add("border controller", "has passed a test")
                return peer
            except asyncio.TimeoutError:
                peer.close()
        raise CannotRun("the border controller is not ready within 30 s")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.record.add("border controller", f"gets {number.name}")
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def play(folder: str, scenario: Callable[[Record, Path], Awaitable[list[str]]]) -> int:
    """Plays a case; writes record.txt; returns the exit code. The scenario returns what broke the rule."""
    record = Record(Path(folder))
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        TEMPORARY_FOLDERS.append(temporary)
        try:
            broken = asyncio.run(asyncio.wait_for(scenario(record, Path(temporary)), CASE_LIMIT_S))
            for line in broken:
                record.add("RULE BROKEN", line)
            code = BROKEN if broken else HELD
            record.add("result", "the rule was broken" if broken else "the rule held")
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            record.add("result", f"could not run: {type(error).__name__} {error}")
        log = Path(temporary) / "log"
        if log.exists():
            for line in log.read_text(errors="replace").splitlines()[-400:]:
                record.lines.append(f"log of the border controller: {line}")
    record.write()
    print("\n".join(line for line in record.lines if "RULE BROKEN" in line or " result: " in line))
    return code


def main(file: str, scenario: Callable[[Record, Path], Awaitable[list[str]]]) -> None:
    """Plays the case and ends the process; a case that hangs could not run, and leaves nothing behind."""

    def give_up(why: str) -> None:
        for process in Controller.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for folder in TEMPORARY_FOLDERS:
            shutil.rmtree(folder, ignore_errors=True)
        print(f"could not run: {why}", file=sys.stderr, flush=True)
        os._exit(COULD_NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda received, _frame: give_up(f"signal {received}"))
    watchdog = threading.Timer(CASE_LIMIT_S + 3.0, lambda: give_up("the case hangs"))
    watchdog.daemon = True
    watchdog.start()
    code = play(str(Path(file).resolve().parent), scenario)
    sys.stdout.flush()
    os._exit(code)  # without the destructors of connections whose loop has ended
