"""The process under test, started with `run` of the deploy file, and its lab hub and event bus."""

from __future__ import annotations

import json
import os
import resource
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from landingdeal.lab.answerer import StubBehaviour, StubUserAgent
from landingdeal.lab.hostile.messages import BODY
from landingdeal.lab.ports import free_port
from landingdeal.sip.message import Framer, Message, encode, request, response

ROOT = Path(__file__).resolve().parent.parent.parent.parent
MAX_DESCRIPTORS = 1024
MAX_CALLER_CONNECTIONS = MAX_DESCRIPTORS // 3
READY_TIMEOUT_S = 20.0
# What the platform's hub tells of itself at each connection and each release: it is never full
STATE = encode(
    request("NOTIFY", "sip:state@net", ("call-id", "1"), ("cseq", "1 NOTIFY"), ("x-state", "x0:400;x1:400"))
)
DEPLOYED_INTERPRETER = ".venv/bin/python"  # in `run` of the deploy file
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
        with suppress(OSError):
            sock.sendall(STATE)
            while data := sock.recv(65536):
                for message in framer.feed(data):
                    if isinstance(message, Message):
                        self._handle(sock, message)

    def _handle(self, sock: socket.socket, message: Message) -> None:
        if message.method == "INVITE":
            self.received.append((time.time(), message.call_id))
            time.sleep(self.answer_s)
            sock.sendall(encode(response(message, 200, body=BODY)))
        elif message.method == "OPTIONS":
            sock.sendall(encode(response(message, 200)))
        elif message.method == "BYE":
            sock.sendall(encode(response(message, 200)) + STATE)


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
def running_target(
    tree: Path,
    front: str,
    class_changes: dict[str, Any] | None = None,
    interpreter: str = DEPLOYED_INTERPRETER,
) -> Iterator[Target]:
    """Starts the process in `tree` with `run` of its deploy file, and ends it.

    `interpreter` takes the place of the one that the deploy file's `build` leaves.
    """
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
        command = command.replace(DEPLOYED_INTERPRETER, interpreter)
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
