"""What the cases share: the record, the program as a separate process, and small SIP peers on loopback.

The peers parse and write SIP themselves, so that a fault of the program's parser can't hide here.
"""

from __future__ import annotations

import os
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
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
EXIT_BASE = 20  # run.sh subtracts it, so that a failing interpreter is not taken for a broken rule
SDP = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 31000 RTP/AVP 0\r\n"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes record.txt: one line for each thing sent, answered or run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.add(f"TROUBLE={int(TROUBLE)}")

    def now(self) -> float:
        return time.monotonic() - self.started

    def add(self, text: str) -> float:
        with self.lock:
            at = self.now()
            self.file.write(f"{at:8.3f} {text}\n")
            self.file.flush()
        return at


def free_port() -> int:
    """A port that is free for UDP and TCP on loopback, below the range for outgoing connections."""
    first = 10000 + os.getpid() % 200 * 100
    for port in [*range(first, 32000), *range(10000, first)]:
        with suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", port))
            with socket.socket() as tcp:
                tcp.bind(("127.0.0.1", port))
                if port not in _given:
                    _given.add(port)
                    return port
    raise CannotRun("no free port")


_given: set[int] = set()


def temporary_folder() -> Path:
    """A folder that goes with the end of the case."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    _folders.append(folder)
    return folder


_folders: list[Path] = []


class Program:
    """The program, started with `run` of the deploy file (or its command line), in a session of its own."""

    def __init__(
        self, record: Record, env: dict[str, str], arguments: str = "", name: str = "program"
    ) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.record, self.name = record, name
        self.folder = temporary_folder()
        self.log_path = self.folder / "log"
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "LANDINGDEAL_"))}
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", f"{run} {arguments}".strip()], cwd=ROOT, stdout=log, stderr=log,
                env={**clean, "TMPDIR": str(self.folder), **env}, start_new_session=True,
            )  # fmt: skip
        _programs.append(self)
        record.add(f"{name}: started: {run} {arguments}".rstrip())

    def send_signal(self, number: signal.Signals) -> None:
        self.record.add(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def log(self) -> str:
        return self.log_path.read_text(errors="replace")

    def wait_for_log(self, text: str, seconds: float = 20.0) -> None:
        deadline = time.monotonic() + seconds
        while text not in self.log():
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise CannotRun(f"{self.name} did not log {text!r}: {self.log()[-2000:]}")
            time.sleep(0.02)

    def end(self) -> None:
        """Ends it and all that it started."""
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()
        for line in self.log().splitlines():
            self.record.add(f"{self.name} log: {line}")


_programs: list[Program] = []


def main(folder: Path, case: Callable[[Record], int], limit_s: float = 105.0) -> None:
    """Runs a case and exits with its code; ends whatever was started, also past the time limit."""
    record = Record(folder)
    code = [CANNOT_RUN]

    def work() -> None:
        try:
            code[0] = case(record)
        except Exception as error:
            record.add(f"cannot run: {type(error).__name__} {error}")

    def end_all() -> None:
        for program in list(_programs):
            program.end()
        for temporary in _folders:
            shutil.rmtree(temporary, ignore_errors=True)

    def stop(*_: object) -> None:
        end_all()
        os._exit(EXIT_BASE + CANNOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    thread.join(limit_s)
    if thread.is_alive():
        record.add("cannot run: out of time")
    end_all()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}
    record.add(f"exit {code[0]}: {verdict[code[0]]}")
    print(verdict[code[0]], flush=True)
    sys.stdout.flush()
    os._exit(EXIT_BASE + code[0])


# --- SIP ---


class Sip:
    """One SIP message: start line, headers in order (names in lower case), body."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self) -> int:
        return int(self.start.split()[1]) if self.start.startswith("SIP/2.0 ") else 0

    @property
    def method(self) -> str:
        """The method of a request, or of the request that a response belongs to."""
        return self.get("cseq").split()[1] if self.status else self.start.split()[0]

    @property
    def uri(self) -> str:
        return self.start.split()[1]

    @property
    def call_id(self) -> str:
        return self.get("call-id")

    def get(self, name: str) -> str:
        return next((value for key, value in self.headers if key == name), "")

    def brief(self) -> str:
        kind = f"{self.status} to {self.method}" if self.status else self.start.rsplit(" ", 1)[0]
        return f"{kind} Call-ID={self.call_id} CSeq={self.get('cseq')}"

    def encode(self) -> bytes:
        lines = [self.start, *(f"{k}: {v}" for k, v in self.headers if k != "content-length")]
        return "\r\n".join([*lines, f"content-length: {len(self.body)}", "", ""]).encode() + self.body


def parse(head: bytes, body: bytes) -> Sip:
    start, *lines = head.decode().split("\r\n")
    pairs = [line.split(":", 1) for line in lines]
    return Sip(start, [(name.strip().lower(), value.strip()) for name, value in pairs], body)


def cut_stream(buffer: bytes) -> tuple[list[Sip], bytes]:
    """The whole messages at the start of a stream, and the rest."""
    messages = []
    while True:
        buffer = buffer.lstrip(b"\r\n")
        head, separator, rest = buffer.partition(b"\r\n\r\n")
        if not separator:
            return messages, buffer
        length = int(parse(head, b"").get("content-length") or 0)
        if len(rest) < length:
            return messages, buffer
        messages.append(parse(head, rest[:length]))
        buffer = rest[length:]


def reply(to: Sip, status: int, *headers: tuple[str, str], tag: str = "", body: bytes = b"") -> Sip:
    """A response; `tag` is added to To where it has none."""
    copied = []
    for name, value in to.headers:
        if name in ("via", "from", "to", "call-id", "cseq", "record-route"):
            needs_tag = name == "to" and tag and ";tag=" not in value
            copied.append((name, f"{value};tag={tag}" if needs_tag else value))
    reason = {100: "Trying", 180: "Ringing", 200: "OK", 487: "Request Terminated"}.get(status, "Other")
    return Sip(f"SIP/2.0 {status} {reason}", [*copied, *headers], body)


Send = Callable[[Sip], None]
Handler = Callable[[Sip, Send], None]


class TcpLine:
    """One TCP connection with a thread that reads it."""

    def __init__(self, sock: socket.socket, on_message: Handler, record: Record, name: str) -> None:
        self.sock, self.on_message, self.record, self.name = sock, on_message, record, name
        self.lock = threading.Lock()
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, message: Sip) -> None:
        self.record.add(f"{self.name} sends {message.brief()}")
        with self.lock, suppress(OSError):
            self.sock.sendall(message.encode())

    def _read(self) -> None:
        buffer = b""
        with suppress(OSError):
            while data := self.sock.recv(65536):
                messages, buffer = cut_stream(buffer + data)
                for message in messages:
                    self.record.add(f"{self.name} receives {message.brief()}")
                    self.on_message(message, self.send)
        self.record.add(f"{self.name}: connection ended")

    def reset(self) -> None:
        """Ends the connection with a reset."""
        self.record.add(f"{self.name}: resets its connection")
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)
        self.sock.close()

    def close(self) -> None:
        self.record.add(f"{self.name}: closes its connection")
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class TcpServer:
    """Accepts TCP connections on a port, each a TcpLine."""

    def __init__(self, on_message: Handler, record: Record, name: str, port: int = 0) -> None:
        self.port = port or free_port()
        self.on_message, self.record, self.name = on_message, record, name
        self.lines: list[TcpLine] = []
        self.sock = socket.create_server(("127.0.0.1", self.port), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                self.record.add(f"{self.name}: a new connection")
                self.lines.append(TcpLine(sock, self.on_message, self.record, self.name))


class UdpPeer:
    """A peer on one UDP socket."""

    def __init__(self, on_message: Handler, record: Record, name: str) -> None:
        self.port = free_port()
        self.on_message, self.record, self.name = on_message, record, name
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", self.port))
        threading.Thread(target=self._read, daemon=True).start()

    def send_to(self, message: Sip, address: tuple[str, int]) -> None:
        self.record.add(f"{self.name} sends {message.brief()}")
        with suppress(OSError):
            self.sock.sendto(message.encode(), address)

    def _read(self) -> None:
        while True:
            try:
                data, address = self.sock.recvfrom(65536)
            except OSError:
                return
            head, _, body = data.partition(b"\r\n\r\n")
            message = parse(head, body)
            self.record.add(f"{self.name} receives {message.brief()}")
            self.on_message(message, lambda m, to=address: self.send_to(m, to))


def sip_operator_file(port: int, hubs: list[tuple[int, str, int]], capture: str = "") -> str:
    """An operator's file like deploy/operator.toml, with its settings, for hubs (number, transport, port)."""
    example = (ROOT / "deploy/operator.toml").read_text()
    settings = example[example.index("[settings]") :]
    tables = "".join(
        f'[[sip.hub]]\nname = "hub-{number}"\nnumber = {number}\naddress = "127.0.0.1:{hub_port}"\n'
        f'transport = "{transport}"\ncircuits = 120\n[[sip.route]]\nprefix = "{number}"\nhub = {number}\n'
        for number, transport, hub_port in hubs
    )
    return (
        f'[sip]\nenabled = true\nlisten = "127.0.0.1:{port}"\nt1_ms = 500\n'
        f'default_class = "device-status"\n{capture}{tables}{settings}'
    )


def start_sip_front(
    record: Record, hubs: list[tuple[int, str, int]], capture: str = ""
) -> tuple[Program, int]:
    """Starts the SIP front; returns it and its port."""
    port = free_port()
    path = temporary_folder() / "operator.toml"
    path.write_text(sip_operator_file(port, hubs, capture))
    program = Program(record, {"LANDINGDEAL_OPERATOR": str(path)})
    program.wait_for_log("SIP front on")
    return program, port
