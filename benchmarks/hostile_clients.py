"""Plays hostile clients against one process beside sound callers, and measures what the sound ones notice.

    python -m benchmarks.hostile_clients --front platform --load quiet
    python -m benchmarks.hostile_clients --front sip --transport udp --load options --rate 9000

The process is started with `run` of the deploy file, in the tree that `--tree` names, with the platform's
limit of descriptors. The load comes from processes of its own; `--rate` is its messages a second in all, 0
for as many as its sockets take. Prints one line: what was offered, how many sound calls were established,
their latency in milliseconds, the peak of resident memory, and what the lab hub received.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import resource
import socket
import statistics
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from multiprocessing.sharedctypes import Synchronized
from pathlib import Path
from typing import Any

from landingdeal.lab.answerer import StubBehaviour, StubUserAgent
from landingdeal.lab.ports import free_port
from landingdeal.sip.message import Framer, Message, decode_datagram, encode, request, response

ROOT = Path(__file__).resolve().parent.parent
MAX_DESCRIPTORS = 1024
MAX_CALLER_CONNECTIONS = MAX_DESCRIPTORS // 3
READY_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 3.0
FLOOD_BATCH = 32  # messages that a flood over TCP writes at once
LINGER_RESET = struct.pack("ii", 1, 0)
STUCK_S = 0.3  # a flood opens a new connection when its peer has taken nothing for so long
BODY = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
LARGE_BODY = b"c" * 7000 + b"\r\n"
MANY_FIELDS = "".join(f"x{n % 10}:\r\n" for n in range(2000))  # 12 KB of a head that holds at most 16 KiB
CLASSES = [{"deadline_ms": 9000.0, "effect": "free", "name": "voice", "points": 1.0, "slo_ms": 1500.0}]
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "caps": {"cancel": True, "dial_timeout_ms": 500.0, "max_retry_after_ms": 2000.0, "may_probe": False,
             "most_tries": 6, "peers": False, "retry_after": True, "second_copies": False},
    "classes": CLASSES, "discovery": "pushed",
    "load_report": {"how": "piggyback", "names": ["free", "size", "depth", "can_take"]},
    "rules": {"ask_within_ms": 10000.0, "cold_from": 0.3, "cold_ms": 14000.0, "drain_grace_ms": 1000.0,
              "fall_ms": 1000.0, "fall_multiple": 2.0},
    "specifics": {"here": 0, "mean_hold_ms": [10500.0], "release_ms": 300.0, "topology": "mesh",
                  "widths": [1]},
    "tick_ms": 5.0,
}  # fmt: skip


# --- the process under test and its lab hub ---


class PlatformHub:
    """A lab hub of the platform that answers each set-up at once and records when it came."""

    def __init__(self, answer_s: float = 0.005) -> None:
        self.answer_s = answer_s
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.received: list[tuple[float, str]] = []  # time and Call-ID of each INVITE
        threading.Thread(target=self._accept, daemon=True).start()

    def arrival_times(self) -> list[float]:
        """The Unix time of each INVITE."""
        return [at for at, _ in list(self.received)]

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        framer = Framer()
        state = ("x-state", "x0:400;x1:400")
        headers = ("call-id", "1"), ("cseq", "1 NOTIFY"), state
        with suppress(OSError):
            sock.sendall(encode(request("NOTIFY", "sip:state@net", *headers)))
            while data := sock.recv(65536):
                for message in framer.feed(data):
                    if isinstance(message, Message):
                        self._handle(sock, message)

    def _handle(self, sock: socket.socket, message: Message) -> None:
        if message.method == "INVITE":
            self.received.append((time.time(), message.call_id))
            time.sleep(self.answer_s)
            sock.sendall(encode(response(message, 200, body=BODY)))
        elif message.method in ("OPTIONS", "BYE"):
            sock.sendall(encode(response(message, 200)))


class EventBus:
    """An event bus that tells nothing but that it is there."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    @staticmethod
    def _serve(sock: socket.socket) -> None:
        with suppress(OSError):
            sock.recv(4096)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                sock.sendall(b":\n\n")
                time.sleep(1)


@dataclass
class Target:
    """The running process: where it listens, and what its lab hub has received."""

    port: int
    process: subprocess.Popen[bytes]
    hub_times: Callable[[], list[float]]  # Unix time of each INVITE that its lab hub received
    log_path: Path

    def peak_memory_mb(self) -> float:
        """Its peak resident memory so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        peak_kb = next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]
        return int(peak_kb) / 1024

    def cpu_s(self) -> float:
        """The processor time that it has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))


@contextmanager
def running_target(tree: Path, front: str, class_changes: dict[str, Any] | None = None) -> Iterator[Target]:
    """Starts the process in `tree` with `run` of its deploy file, and ends it."""
    port, environment = free_port(), dict(os.environ)
    for name in ("ROUTER_CONFIG", "LANDINGDEAL_OPERATOR", "PYTHONPATH"):
        environment.pop(name, None)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if front == "platform":
            hub, bus = PlatformHub(), EventBus()
            hub_times = hub.arrival_times
            environment["ROUTER_CONFIG"] = str(_platform_config(folder, port, hub, bus, class_changes or {}))
        else:
            agent = StubUserAgent(StubBehaviour())
            offset = time.time() - time.monotonic()

            def hub_times() -> list[float]:
                return [at + offset for at in list(agent.received.first_invite_at.values())]

            environment["LANDINGDEAL_OPERATOR"] = str(_operator_file(folder, port, agent.port))
        command = tomllib.loads((tree / "deploy/balancer.toml").read_text())["run"]
        with (folder / "log").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=tree, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=_limit_descriptors,
            )  # fmt: skip
        try:
            _wait_until_ready(port)
            yield Target(port, process, hub_times, folder / "log")
        finally:
            process.kill()
            process.wait()


def _platform_config(
    folder: Path, port: int, hub: PlatformHub, bus: EventBus, class_changes: dict[str, Any]
) -> Path:
    endpoint = {"name": "s-1", "address": f"127.0.0.1:{hub.port}", "group": 1, "status": "up", "since_ms": 0}
    known = {"offset": 1, "topology": {"index": 1, "snapshot": True, "endpoints": [endpoint]}}
    path = folder / "config.json"
    path.write_text(json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_DESCRIPTORS},
        "bus": f"127.0.0.1:{bus.port}", "known": {"offset": 1, "batch": [known]},
        "settings": {**SETTINGS, "classes": [{**CLASSES[0], **class_changes}]},
    }))  # fmt: skip
    return path


def _operator_file(folder: Path, port: int, hub_port: int) -> Path:
    text = (ROOT / "deploy/operator.toml").read_text()
    path = folder / "operator.toml"
    path.write_text(
        f'[sip]\nenabled = true\nlisten = "127.0.0.1:{port}"\nt1_ms = 500\n'
        f'[[sip.hub]]\nname = "hub1"\nnumber = 1\naddress = "127.0.0.1:{hub_port}"\ntransport = "udp"\n'
        f'circuits = 0\n[[sip.route]]\nprefix = "1"\nhub = 1\n{text[text.index("[settings]"):]}'
    )
    return path


def _wait_until_ready(port: int) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with suppress(OSError), socket.create_connection(("127.0.0.1", port)):
            time.sleep(1.2)  # health checks pass a second after the start at the latest
            return
        time.sleep(0.05)
    raise RuntimeError("the process did not become ready")


# --- sound callers ---


@dataclass
class SoundCalls:
    """Calls at a steady rate over one connection, or one datagram socket; each is released soon after."""

    front: str
    transport: str
    port: int
    rate_per_s: float
    sent: dict[str, float] = field(default_factory=dict)
    answers: dict[str, tuple[float, int]] = field(default_factory=dict)
    connection_ended: bool = False

    def __post_init__(self) -> None:
        address = ("127.0.0.1", self.port)
        if self.transport == "udp":
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.connect(address)
        else:
            self.sock = socket.create_connection(address)
        threading.Thread(target=self._read, daemon=True).start()

    def run(self, seconds: float) -> None:
        """Sends calls for so long, then waits for the last answers."""
        start = time.monotonic()
        for number in range(int(seconds * self.rate_per_s)):
            time.sleep(max(start + number / self.rate_per_s - time.monotonic(), 0))
            self._send_set_up(f"{number:016x}")
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while len(self.answers) < len(self.sent) and time.monotonic() < deadline:
            time.sleep(0.02)

    def _send_set_up(self, call: str) -> None:
        self.sent[call] = time.monotonic()
        self._put(set_up(self.front, self.transport, call, user="1000"))

    def _put(self, data: bytes) -> None:
        with suppress(OSError):
            self.sock.sendall(data)

    def _read(self) -> None:
        framer = Framer()
        with suppress(OSError):
            while data := self.sock.recv(65536):
                messages = [decode_datagram(data)] if self.transport == "udp" else framer.feed(data)
                for message in messages:
                    if isinstance(message, Message):
                        self._handle(message)
        self.connection_ended = True

    def _handle(self, message: Message) -> None:
        if message.method == "BYE":
            self._put(encode(response(message, 200)))
        elif message.cseq[1] == "INVITE" and message.status >= 200:
            first = message.call_id not in self.answers
            self.answers.setdefault(message.call_id, (time.monotonic(), message.status))
            self._put(in_dialog("ACK", self.transport, message, self.port, number=1))
            if first and message.status == 200:
                self._put(in_dialog("BYE", self.transport, message, self.port, number=2))

    def summary(self) -> str:
        """How many were established, and the latency of the answers in milliseconds."""
        stood = [call for call, (_, status) in self.answers.items() if status == 200]
        latencies = sorted((self.answers[call][0] - self.sent[call]) * 1000 for call in stood) or [0.0]
        p95 = latencies[int(len(latencies) * 0.95)] if len(latencies) > 1 else latencies[0]
        return (
            f"{len(stood)} of {len(self.sent)} stood, latency p50 {statistics.median(latencies):.0f} "
            f"p95 {p95:.0f} max {latencies[-1]:.0f} ms"
        )


def _via(transport: str, branch: str) -> tuple[str, str]:
    return "via", f"SIP/2.0/{transport.upper()} 127.0.0.1:9;rport;branch=z9hG4bK{branch}"


def set_up(
    front: str, transport: str, call: str, user: str, class_name: str = "voice", body: bytes = BODY
) -> bytes:
    """A sound INVITE of this front."""
    if front == "platform":
        return encode(request(
            "INVITE", f"sip:{call}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", call), ("cseq", "1 INVITE"),
            ("subject", class_name), ("x-patience", "3000"), ("x-facts", "dest:1;width:1;via:-1"), body=body,
        ))  # fmt: skip
    return encode(request(
        "INVITE", f"sip:{user}@127.0.0.1", _via(transport, call), ("max-forwards", "70"),
        ("from", f"<sip:c@127.0.0.1>;tag=t{call}"), ("to", f"<sip:{user}@127.0.0.1>"), ("call-id", call),
        ("cseq", "1 INVITE"), ("contact", "<sip:c@127.0.0.1:9>"), ("subject", class_name), body=body,
    ))  # fmt: skip


def in_dialog(method: str, transport: str, answer: Message, port: int, number: int) -> bytes:
    """An ACK or BYE after this answer."""
    branch = answer.call_id if method == "ACK" and answer.status >= 300 else f"{method}{answer.call_id}"
    headers = [(name, value) for name, value in answer.headers if name in ("from", "to", "call-id")]
    return encode(request(method, f"sip:landingdeal@127.0.0.1:{port}", _via(transport, branch),
                          ("max-forwards", "70"), *headers, ("cseq", f"{number} {method}")))  # fmt: skip


# --- loads ---


def simple_request(method: str, transport: str, number: int, cseq: str = "") -> bytes:
    """A request outside any dialog, under a Call-ID of its own."""
    call = f"f{number:015x}"
    return encode(request(
        method, "sip:ping@127.0.0.1", _via(transport, call), ("max-forwards", "70"),
        ("from", f"<sip:f@127.0.0.1>;tag=f{number}"), ("to", "<sip:ping@127.0.0.1>"), ("call-id", call),
        ("cseq", cseq or f"1 {method}"),
    ))  # fmt: skip


def flood_message(load: str, front: str, transport: str, number: int) -> bytes:
    """The message with this number of a flood."""
    call = f"e{number:015x}"
    match load:
        case "options" | "bye" | "cancel" | "ack":
            return simple_request(load.upper(), transport, number)
        case "method":
            return simple_request(f"M{number}", transport, number)
        case "malformed":
            return simple_request("OPTIONS", transport, number, cseq="x OPTIONS")
        case "bad-set-up":  # an invite without what its front asks for
            return simple_request("INVITE", transport, number)
        case "class":
            return set_up(front, transport, call, "1000", class_name=f"class-{number}")
        case "number":  # to a number that no route leads to, or no lab hub had
            return set_up(front, transport, call, f"7{number}").replace(b"dest:1", b"dest:7")
        case "set-up":
            return set_up(front, transport, call, f"1{number}")
        case "large-set-up":
            return set_up(front, transport, call, f"1{number}", body=LARGE_BODY)
        case "fields":
            return set_up(front, transport, call, f"1{number}").replace(
                b"\r\nCall-ID", f"\r\n{MANY_FIELDS}Call-ID".encode(), 1
            )
    raise ValueError(f"unknown load {load!r}")


class FloodSocket:
    """Sends as fast as its peer takes it and drops what comes back, in one thread."""

    def __init__(self, transport: str, port: int) -> None:
        kind = socket.SOCK_DGRAM if transport == "udp" else socket.SOCK_STREAM
        self.is_stream = kind is socket.SOCK_STREAM
        self.sock = socket.socket(socket.AF_INET, kind)
        self.sock.connect(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.moved_at = time.monotonic()

    def send(self, data: bytes, until: float) -> None:
        """Sends all of the data; raises OSError if the connection ends or nothing moves for `STUCK_S`."""
        view = memoryview(data)
        while view and time.monotonic() < until:
            self.drop_received()
            try:
                sent = self.sock.send(view)
            except BlockingIOError:
                if time.monotonic() - self.moved_at > STUCK_S:
                    raise ConnectionError("the peer takes nothing") from None
                time.sleep(0.0005)
                continue
            self.moved_at = time.monotonic()
            view = view[sent:]

    def drop_received(self) -> None:
        with suppress(BlockingIOError):
            while data := self.sock.recv(1 << 20):
                self.moved_at = time.monotonic()
            if self.is_stream and not data:
                raise ConnectionError("closed")


def flood(
    load: str, front: str, transport: str, port: int, rate: float, seconds: float, sent: Synchronized[int]
) -> None:
    """Sends messages over one connection or socket, and drops what comes back; opens a new one if it ends."""
    batch_size = 1 if transport == "udp" else FLOOD_BATCH
    number, start = 0, time.monotonic()
    until = start + seconds
    while time.monotonic() < until:
        with suppress(OSError):
            peer = FloodSocket(transport, port)
            with peer.sock:
                while time.monotonic() < until:
                    ahead = number / rate - (time.monotonic() - start) if rate else 0.0
                    if ahead > 0:
                        time.sleep(ahead)
                    batch = range(number, number + batch_size)
                    peer.send(b"".join(flood_message(load, front, transport, n) for n in batch), until)
                    number += batch_size
                    sent.value = number
        time.sleep(0.05)


def partial_messages(
    load: str, front: str, transport: str, port: int, rate: float, seconds: float, sent: Synchronized[int]
) -> None:
    """Keeps hundreds of connections with an incomplete large message on each; reopens what is closed."""
    if load == "partial-fields":
        head = set_up(front, "tcp", "a" * 16, "1000").replace(
            b"\r\nCall-ID", f"\r\n{MANY_FIELDS}Call-ID".encode()
        )
        data = (
            head.split(b"\r\n\r\n")[0].rpartition(b"\r\n")[0]
            + b"\r\nContent-Length: 3000\r\n\r\n"
            + b"c" * 2000
        )
    else:
        data = set_up(front, "tcp", "a" * 16, "1000", body=b"c" * 15000)[:-1000]
    deadline = time.monotonic() + seconds
    socks: list[socket.socket] = []
    while time.monotonic() < deadline:
        while len(socks) < MAX_CALLER_CONNECTIONS - 2 and time.monotonic() < deadline:
            with suppress(OSError):
                sock = socket.create_connection(("127.0.0.1", port), timeout=1)
                sock.sendall(data)
                sock.setblocking(False)
                socks.append(sock)
                sent.value += 1
        for sock in list(socks):
            try:
                if load == "slow-partial":
                    sock.send(b"c")
                if not sock.recv(65536):
                    raise OSError("closed")
            except BlockingIOError:
                pass
            except OSError:
                sock.close()
                socks.remove(sock)
        time.sleep(0.1)


def deaf_clients(
    load: str, front: str, transport: str, port: int, rate: float, seconds: float, sent: Synchronized[int]
) -> None:
    """Hundreds of connections that ask for large responses and never read one."""
    pad = "".join(f"Via: SIP/2.0/TCP 127.0.0.1:9;x={'p' * 1000};branch=z9hG4bK{n}\r\n" for n in range(12))
    data = simple_request("OPTIONS", "tcp", 1).replace(b"Via:", pad.encode() + b"Via:", 1)
    deadline = time.monotonic() + seconds
    socks: list[socket.socket] = []
    while time.monotonic() < deadline:
        while len(socks) < MAX_CALLER_CONNECTIONS - 2 and time.monotonic() < deadline:
            with suppress(OSError):
                sock = socket.create_connection(("127.0.0.1", port), timeout=1)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                socks.append(sock)
        for sock in list(socks):
            try:
                while True:
                    sock.send(data)
                    sent.value += 1
            except BlockingIOError:
                pass
            except OSError:
                sock.close()
                socks.remove(sock)
        time.sleep(0.01)


PARTIAL_LOADS = ("partial-fields", "partial-body", "slow-partial")
LEAVE_BY = ("close", "half-close", "reset")
LEAVING_CALLS = 300
CROSSING_S = 0.05  # what reaches the hub so soon after its caller has left may have crossed the leaving


def play_leaving(args: argparse.Namespace) -> str:
    """One client sends many set-ups at once and leaves; returns what the lab hub received after that."""
    how = args.load.removeprefix("leave-")
    with running_target(Path(args.tree).resolve(), args.front) as target:
        sock = socket.create_connection(("127.0.0.1", target.port))
        calls = (f"e{number:015x}" for number in range(LEAVING_CALLS))
        sock.sendall(b"".join(set_up(args.front, "tcp", call, "1000") for call in calls))
        time.sleep(args.stay_ms / 1000)
        left_at = time.time()
        if how == "half-close":
            sock.shutdown(socket.SHUT_WR)
        else:
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()
        time.sleep(args.seconds)
        times = target.hub_times()
        late = [at - left_at for at in times if at > left_at + CROSSING_S]
        return (
            f"{args.front} {args.load} {args.stay_ms:.0f} ms after {LEAVING_CALLS} set-ups: "
            f"the lab hub received {len(times)}, "
            f"{len(late)} of them later than {CROSSING_S * 1000:.0f} ms after that, the last "
            f"{max(late, default=0) * 1000:.0f} ms after"
        )


def play(args: argparse.Namespace) -> str:
    """Runs one load beside sound callers; returns the line with what was measured."""
    with running_target(Path(args.tree).resolve(), args.front) as target:
        sound = SoundCalls(args.front, args.transport, target.port, args.sound_rate)
        sent: Any = multiprocessing.Value("q", 0)
        work = (
            partial_messages if args.load in PARTIAL_LOADS else deaf_clients if args.load == "deaf" else flood
        )
        arguments = (
            args.load,
            args.front,
            args.transport,
            target.port,
            args.rate / args.clients,
            args.seconds + 1,
            sent,
        )
        count = 0 if args.load == "quiet" else args.clients
        clients = [multiprocessing.Process(target=work, args=arguments) for _ in range(count)]
        for client in clients:
            client.start()
        time.sleep(0.5)
        cpu_before = target.cpu_s()
        sound.run(args.seconds)
        cpu = target.cpu_s() - cpu_before
        for client in clients:
            client.terminate()
            client.join()
        ended = target.process.poll()
        memory = target.peak_memory_mb() if ended is None else -1.0
        log_lines = target.log_path.read_bytes().count(b"\n")
        return (
            f"{args.front}/{args.transport} {args.load}: "
            f"offered {sent.value} messages of each of {count} clients in {args.seconds + 1:.0f} s; "
            f"{sound.summary()}; peak {memory:.0f} MB, {cpu:.1f} s of processor, "
            f"{log_lines} lines of log, hub received {len(target.hub_times())}"
            + (", sound connection ended" if sound.connection_ended else "")
            + (f", ended with {ended}" if ended is not None else "")
        )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--front", choices=("platform", "sip"), default="platform")
    parser.add_argument("--transport", choices=("tcp", "udp"), default="tcp")
    parser.add_argument("--load", default="quiet")
    parser.add_argument("--rate", type=float, default=0.0, help="messages a second of all clients together")
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--sound-rate", type=float, default=40.0)
    parser.add_argument("--tree", default=str(ROOT))
    parser.add_argument("--stay-ms", type=float, default=20.0, help="of a leaving client, after its set-ups")
    args = parser.parse_args()
    print((play_leaving if args.load.startswith("leave-") else play)(args), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
