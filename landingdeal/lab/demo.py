"""The demonstration: the SIP side of the program, two stub hubs, and a sample capture offered as load."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from landingdeal.capture.calls import CallTracker
from landingdeal.capture.encode import PcapngEncoder
from landingdeal.capture.plan import ReplayOptions, SkippedCalls, plan
from landingdeal.capture.player import ReplayResult
from landingdeal.capture.reader import ReadReport, read_messages
from landingdeal.capture.replay import Replay, ReplayReport
from landingdeal.capture.results import last_tries, rows
from landingdeal.capture.sample import TrafficProfile as Traffic
from landingdeal.capture.sample import encode_capture, generate_traffic, to_packets
from landingdeal.clock import now_ms, seconds_until
from landingdeal.errors import ConfigError
from landingdeal.lab.answerer import StubBehaviour, StubUserAgent

START_TIMEOUT_MS = 10_000.0
OPERATOR_FILE = """
[sip]
enabled = true
listen = "127.0.0.1:{port}"
t1_ms = 500
default_class = "device-status"
[[sip.hub]]
name = "addis-1"
number = 1
address = "127.0.0.1:{first}"
transport = "udp"
circuits = 120
[[sip.hub]]
name = "hawassa-1"
number = 2
address = "127.0.0.1:{second}"
transport = "tcp"
circuits = 120
[[sip.route]]
prefix = "1"
hub = 1
[[sip.route]]
prefix = "2"
hub = 2
[settings]
balancers = 1
tick_ms = 5.0
discovery = "pushed"
[[settings.classes]]
name = "device-status"
slo_ms = 1500.0
deadline_ms = 9000.0
points = 1.0
late_worth = 0.1
effect = "free"
[[settings.classes]]
name = "test-report"
slo_ms = 1500.0
deadline_ms = 9000.0
points = 2.0
late_worth = 0.1
effect = "free"
[settings.caps]
most_tries = 6
may_probe = false
retry_after = true
max_retry_after_ms = 2000.0
[settings.load_report]
how = "piggyback"
names = ["free", "size", "depth", "can_take"]
[settings.rules]
drain_grace_ms = 1000.0
cold_from = 0.3
cold_ms = 14000.0
fall_multiple = 2.0
fall_ms = 1000.0
[settings.specifics]
topology = "pools"
release_ms = 300.0
mean_hold_ms = [10500.0, 12600.0]
widths = [1, 1]
skilled_pools = [[1, 2], [1, 2]]
"""


def free_port() -> int:
    """Returns a port that is free for both UDP and TCP."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            port: int = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind(("127.0.0.1", port))
                return port


@contextlib.contextmanager
def running_program(folder: Path, hub_ports: tuple[int, int], extra_sections: str = "") -> Iterator[int]:
    """Runs the program with its SIP side on a free port and yields the port; the log is in the folder."""
    port = free_port()
    operator_path = folder / "operator.toml"
    operator_path.write_text(
        OPERATOR_FILE.format(port=port, first=hub_ports[0], second=hub_ports[1]).replace(
            "[[sip.hub]]", extra_sections + "[[sip.hub]]", 1
        )
    )
    env = {key: value for key, value in os.environ.items() if key != "ROUTER_CONFIG"}
    with (folder / "log").open("wb") as log:
        command = [sys.executable, "-m", "landingdeal", "--operator", str(operator_path)]
        program = subprocess.Popen(command, env=env, stderr=log)
        try:
            deadline_ms = now_ms() + START_TIMEOUT_MS
            while now_ms() < deadline_ms and program.poll() is None:
                with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)):
                    break
                time.sleep(seconds_until(now_ms() + 20))
            else:
                raise ConfigError(f"the program does not start: {(folder / 'log').read_text().strip()}")
            yield port
        finally:
            program.send_signal(signal.SIGTERM)
            deadline_ms = now_ms() + START_TIMEOUT_MS
            while program.poll() is None and now_ms() < deadline_ms:
                time.sleep(seconds_until(now_ms() + 20))
            program.kill()
            program.wait()


@dataclass(frozen=True, slots=True)
class DemonstrationResult:
    """The report of the replay, the number of planned calls and a table row per call."""

    report: ReplayReport
    planned: int
    table: list[dict[str, Any]]

    @property
    def unanswered(self) -> list[ReplayResult]:
        """The last tries that did not get exactly one final answer."""
        return [result for result in last_tries(self.report) if result.final_answers != 1]


def demonstrate(calls: int = 40, per_s: float = 20.0, seed: int = 1) -> DemonstrationResult:
    """Replays a sample capture against the program. Raises ConfigError if the program does not start."""
    hubs = [
        StubUserAgent(StubBehaviour(ring_ms=5.0, answer_ms=25.0, refusal_status=busy_status))
        for _ in range(2)
    ]
    try:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            capture = folder / "sample.pcapng"
            sample_calls = generate_traffic(Traffic(calls, per_s, hold_ms=(300.0, 1500.0)), seed)
            capture.write_bytes(encode_capture(to_packets(sample_calls), PcapngEncoder()))
            call_table = CallTracker()
            recorded_calls = [
                call for seen in read_messages([str(capture)], ReadReport()) for call in call_table.feed(seen)
            ]
            planned = plan(
                [*recorded_calls, *call_table.end()], ReplayOptions(linger_ms=0.0), SkippedCalls({})
            )
            with running_program(folder, (hubs[0].port, hubs[1].port)) as port:
                report = Replay(planned, ("127.0.0.1", port), ReplayOptions()).run()
    finally:
        for hub in hubs:
            hub.end()
    return DemonstrationResult(report, len(planned), list(rows(report)))


def busy_status(user: str) -> int:
    """Refuses one called number in ten as busy."""
    return 486 if user.endswith("7") else 0
