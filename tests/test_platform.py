"""The platform's front: the program is started and spoken to over sockets."""

from __future__ import annotations

import json
import os
import queue
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from badgerstile.wire import read_settings
from landingdeal.clock import now_ms
from landingdeal.core.broker import Inbox
from landingdeal.core.events import HubDied, Probed
from landingdeal.net.bus import BusReader
from landingdeal.net.config import TopologyEvent
from landingdeal.net.hubs import Hub, Hubs
from landingdeal.net.link import Link
from tests.scenario import ROOT, SETTINGS, Platform, play

SCENARIOS = {
    "a call stands, its hub ends it, its caller is told": """
        caller send INVITE a dest=1
        hub1 expect INVITE a Subject:voice X-Patience:1
        hub1 send 180 a
        hub1 send 200 a
        caller expect 200 a
        hub1 expect ACK a
        hub1 send BYE a Reason:Q.850;cause=16
        hub1 expect 200 a
        caller expect BYE a Reason:Q.850;cause=16
    """,
    "a full far processor is a refusal at once, with a time to come back": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 503 a X-Note:ovl
        hub1 expect ACK a
        caller expect 503 a X-Later-Ms:2000
        hub1 wait 300
    """,
    "a caller that gives up takes its attempt with it": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        caller send CANCEL a
        hub1 expect CANCEL a
        hub1 send 200 a
        hub1 expect ACK a
        hub1 expect BYE a
        caller wait 200
    """,
    "a silent hub: given up, then not sent again within 300 ms, and one final answer": """
        caller send INVITE a dest=1 patience=1200
        hub1 expect INVITE a
        hub1 expect CANCEL a
        caller expect 503 a X-Later-Ms:2000
        hub1 wait 320
        caller wait 20
    """,
    "a reset during the set-up: no resend within 300 ms": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 reset
        hub1 wait 290
        hub1 expect INVITE a
        hub1 send 200 a
        caller expect 200 a
    """,
    "a release from before a restart reaches a caller": """
        hub2 send BYE old Reason:Q.850;cause=41
        hub2 expect 200 old
        front expect BYE old Reason:Q.850;cause=41
    """,
    "a standing call belongs to no connection": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller close
        hub1 send BYE a Reason:Q.850;cause=16
        front expect BYE a Reason:Q.850;cause=16
    """,
    "nothing new goes to a hub that drains": """
        bus tell hub1 draining
        hub2 wait 100
        caller send INVITE a dest=1 patience=400
        hub1 wait 300
        caller expect 503 a
    """,
    "a hub that dies leaves no call standing": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 200 a
        caller expect 200 a
        hub1 reset
        caller expect BYE a Reason:Q.850;cause=41
    """,
    "news that a hub is gone is late: its connection and its calls live on": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        bus tell hub1 removed
        caller wait 200
        hub1 send BYE a Reason:Q.850;cause=16
        caller expect BYE a Reason:Q.850;cause=16
    """,
    "a framed message that is not SIP gets 400 and its connection lives": """
        caller raw NONSENSE\\r\\nCall-ID:\\x20x\\r\\nCSeq:\\x201\\x20X\\r\\nContent-Length:\\x200\\r\\n\\r\\n
        caller expect 400
        caller send INVITE a dest=x
        caller expect 400 a
        caller send OPTIONS b
        caller expect 200 b
    """,
    "broken framing closes that connection alone": """
        caller send OPTIONS a
        caller expect 200 a
        caller raw INVITE\\x20x\\x20SIP/2.0\\r\\nContent-Length:\\x20-4\\r\\n\\r\\n
        caller expect end
        front send OPTIONS b
        front expect 200 b
    """,
    "a call in transit goes on to its destination or back": """
        caller send INVITE a dest=2 via=1 transit=1
        hub2 expect INVITE a X-Facts:dest:2
        hub2 send 503 a X-Note:nc
        hub2 expect ACK a
        caller expect 503 a
    """,
    "an unknown class has failed, and an unknown method is named": """
        caller send INVITE a class=other
        caller expect 500 a
        caller send PUBLISH b
        caller expect 405 b
    """,
    "the id of an open call serves nobody else, nor ends that call": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        caller2 send INVITE a dest=2
        caller2 expect 500 a
        caller send INVITE a dest=1
        caller expect 400 a
        caller2 send CANCEL a
        hub1 wait 100
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller2 send CANCEL a
        caller2 close
        hub1 wait 200
    """,
    "a new configuration: the event bus elsewhere goes on with its numbers, and no call is dropped": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        program reload bus2
        program says again
        bus2 tell hub2 draining
        hub0 wait 200
        caller send INVITE b dest=2 patience=400
        hub2 wait 300
        caller expect 503 b
        hub1 send 200 a
        caller expect 200 a
        program reload unusable
        program says stays:
        bus2 tell hub2 up
        hub0 wait 200
        caller send INVITE c dest=2
        hub2 expect INVITE c
    """,
    "stopped: what is open is answered, new set-ups too, then it ends well": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        program stop
        caller2 send INVITE b dest=2
        hub2 expect INVITE b
        hub2 send 200 b
        caller2 expect 200 b
        hub1 send 200 a
        caller expect 200 a
        program ends 0
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_platform(name: str, tmp_path: Path) -> None:
    stage = Platform(tmp_path)
    try:
        play(stage, SCENARIOS[name])
    finally:
        log = stage.end()
    assert "Traceback" not in log, log


@pytest.mark.parametrize(
    "figures",
    [
        "dest=-3", "dest=70000", "dest=nan", "dest=1e0", "dest=1_0", "dest=", "width=0", "width=999",
        "via=-2", "transit=2", "patience=-5", "patience=nan", "patience=0", "patience=" + "9" * 23,
        "patience=1e3", "dest=\u0661", "x=" + "9" * 5000,
    ],
)  # fmt: skip
def test_figures_out_of_range_are_refused_and_reach_no_hub(figures: str, running: Platform) -> None:
    play(running, f"""
        caller send INVITE bad {figures}
        caller expect 400 bad
        hub1 wait 20
    """)  # fmt: skip


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Platform]:
    stage = Platform(tmp_path_factory.mktemp("running"))
    yield stage
    assert "Traceback" not in stage.end()


SIP = (ROOT / "deploy/operator.toml").read_text()
CONTRACT = '[[contract]]\nteam = "payments"\nclasses = ["voice"]\nper_s = 0.01\nat_once = 1\n'


def test_contracts_hold_on_the_platform_and_the_sip_front_stays_off(tmp_path: Path) -> None:
    stage = Platform(tmp_path, CONTRACT + SIP)
    try:
        play(stage, """
            caller send INVITE a Organization:payments
            hub1 expect INVITE a
            caller send INVITE b Organization:payments
            caller expect 503 b X-Later-Ms:
            caller send INVITE c Organization:payments class=data
            caller expect 403 c
            caller send INVITE d Organization:others
            caller expect 403 d
            hub1 send 200 a
            caller expect 200 a
        """)  # fmt: skip
    finally:
        log = stage.end()
    assert "SIP front" not in log


def test_a_peer_that_does_not_read_is_cut_off_and_stalls_nobody(tmp_path: Path) -> None:
    stage = Platform(tmp_path)
    try:
        stage.line("front", "send", "OPTIONS", "first")
        stage.line("front", "expect", "200", "first")
        with socket.create_connection(("127.0.0.1", stage.port)) as deaf:
            deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            asked = f"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nVia: {'x' * 8000}\r\n"
            with suppress(OSError):  # it is cut off while it still sends
                for _ in range(20000):
                    deaf.sendall(f"{asked}Content-Length: 0\r\n\r\n".encode())
                raise AssertionError("it was never cut off")
        play(stage, """
            caller send INVITE a
            hub1 expect INVITE a
            hub1 send 200 a
            caller expect 200 a
        """)  # fmt: skip
    finally:
        log = stage.end()
    assert "does not read" in log


def test_a_silent_hub_is_written_off_once_before_eight_seconds() -> None:
    inbox = Inbox()
    hubs = Hubs(read_settings(json.dumps(SETTINGS).encode()), inbox, "127.0.0.1:1", 50.0)
    hub = hubs.hubs[b"h"] = Hub(b"h", "127.0.0.1", 1)
    last = hub.heard_ms
    for later in (2000, 6900, 7250, 7500, 9000):
        hubs.watch(last + later)
    assert [event for event in inbox.take(last)] == [HubDied(b"h", last + 7250)]


def test_a_hub_that_was_gone_is_connected_to_again_whatever_is_left_of_it() -> None:
    hubs = Hubs(read_settings(json.dumps(SETTINGS).encode()), Inbox(), "127.0.0.1:1", 500.0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(5)
        where = f"127.0.0.1:{server.getsockname()[1]}"
        hubs.known(b"h", where, False)
        silent, _ = server.accept()
        hub, until = hubs.hubs[b"h"], now_ms() + 5000
        while hub.link is None and now_ms() < until:
            time.sleep(0.01)
        hubs.known(b"h", where, True)
        hubs.watch(hub.heard_ms + 2600)  # silent by now: its connection is in doubt, and still open
        while hub.kept and now_ms() < until:
            time.sleep(0.01)
        assert hub.open and not hub.kept
        hubs.known(b"h", where, False)
        again, _ = server.accept()
        for sock in (silent, again):
            sock.close()


def test_a_probe_without_an_answer_is_told_as_failed() -> None:
    inbox = Inbox()
    hubs = Hubs(read_settings(json.dumps(SETTINGS).encode()), inbox, "127.0.0.1:1", 50.0)
    hubs.hubs[b"h"] = Hub(b"h", "127.0.0.1", 1)
    hubs.probe(b"h", now_ms() + 250)
    hubs.watch(now_ms() + 251)
    (event,) = inbox.take(now_ms())
    assert isinstance(event, Probed) and not event.well and 249 < event.latency_ms <= 250


@pytest.mark.parametrize(
    ("config", "operator", "line"),
    [
        ("{", "", "the configuration is not JSON"),
        ("[]", "", "the configuration is not a JSON object"),
        ('{"listen": "here"}', "", "listen is not an address"),
        ('{"listen": "127.0.0.1:5060", "bus": "127.0.0.1:1"}', "", "the configuration lacks 'settings'"),
        (None, "", "neither ROUTER_CONFIG nor an operator's file"),
        (None, "=", "the operator's file is not TOML"),
        (None, "[sip]\nenabled = true", "the operator's file lacks 'settings'"),
        (None, SIP.replace("127.0.0.1:5071", "hub.example:5071"), "sip.hub addis-1 is not an IPv4 address"),
        (None, SIP.replace("hub = 2", "hub = 9"), "leads to 9, which no lab hub has"),
        (None, "[sop]", "names what is not known: sop"),
        (None, '[[contract]]\nteam = "a"\nclasses = []\nper_s = 0\nat_once = 1', "must be above 0"),
    ],
)
def test_a_bad_file_ends_the_start_with_one_line(
    config: str | None, operator: str, line: str, tmp_path: Path
) -> None:
    env = {key: value for key, value in os.environ.items() if key != "ROUTER_CONFIG"}
    command = [sys.executable, "-m", "landingdeal"]
    if config is not None:
        (tmp_path / "c.json").write_text(config)
        env["ROUTER_CONFIG"] = str(tmp_path / "c.json")
    if operator:
        (tmp_path / "o.toml").write_text(operator)
        command += ["--operator", str(tmp_path / "o.toml")]
    done = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True)
    assert done.returncode == 2
    assert line in done.stderr and done.stderr.count("\n") == 1


EVENT = json.dumps({"offset": 7, "topology": {"snapshot": False, "endpoints": [
    {"name": "s-1", "address": "127.0.0.1:9", "group": 1, "status": "draining"}]}})  # fmt: skip


@pytest.mark.parametrize("chunked", [False, True])
def test_the_event_bus_is_read_from_the_last_event_on(chunked: bool) -> None:
    told: queue.Queue[TopologyEvent] = queue.Queue()
    with socket.create_server(("127.0.0.1", 0)) as bus:
        reader = BusReader(("127.0.0.1", bus.getsockname()[1]), 6, told.put)
        reader.start()
        for offset in (6, 7):  # the second time it has seen event 7, so that nothing is told again
            sock, _ = bus.accept()
            with sock:
                assert f"Last-Event-ID: {offset}\r\n" in sock.recv(4096).decode()
                body = f": hello\n\nid: 7\ndata: {EVENT}\n\n".encode()
                if chunked:
                    parts = body[:30], body[30:]
                    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
                how = "Transfer-Encoding: chunked\r\n" if chunked else ""
                sock.sendall(f"HTTP/1.1 200 OK\r\n{how}\r\n".encode() + body)
                if offset == 6:
                    event = told.get(timeout=5)
        reader.stopped = True
    assert event.offset == 7 and event.addresses == ((b"s-1", "127.0.0.1:9", False),)
    assert told.empty()


@pytest.mark.parametrize(("ours", "reset"), [(True, False), (False, True)])
def test_only_the_peer_can_reset_a_link(ours: bool, reset: bool) -> None:
    ended: queue.Queue[bool] = queue.Queue()
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
        link = Link(near, lambda on, message: None, lambda on, was_reset: ended.put(was_reset))
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if ours:
            link.close()
            far.close()  # answers our close with a reset
        link.start()
        far.close()
        assert ended.get(timeout=5) is reset
