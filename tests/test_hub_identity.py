"""A lab hub is known by its name, its address and the start of its process."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from badgerstile.interface import AttemptOutcome
from badgerstile.wire import read_settings
from landingdeal.clock import now_ms
from landingdeal.core.events import Attempt, AttemptFailed, HubFailed, Offer
from landingdeal.core.inbox import Inbox
from landingdeal.net.hub import Hub
from landingdeal.net.hubs import HubConnections
from landingdeal.net.link import HubLink, dial
from tests.scenario import BODY, SETTINGS, TIMEOUT_S, PlatformHarness, play
from tests.test_core import RecordingCaller

SCENARIOS = {
    "a_name_at_a_new_address_gets_its_set_ups_there_though_the_old_process_lives": """
        bus tell hub1 up at=hub3
        hub3 wait 300
        caller send INVITE a dest=1
        hub3 expect INVITE a
        hub3 send 200 a
        caller expect 200 a
        hub3 expect ACK a
        hub1 wait 200
    """,
    "a_call_that_stands_at_the_old_address_is_released_by_either_side": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 200 a
        caller expect 200 a
        hub1 expect ACK a
        caller send INVITE b dest=1
        hub1 expect INVITE b
        hub1 send 200 b
        caller expect 200 b
        hub1 expect ACK b
        bus tell hub1 up at=hub3
        hub3 wait 300
        caller send BYE a
        caller expect 200 a
        hub1 expect BYE a
        hub1 send BYE b Reason:Q.850;cause=16
        hub1 expect 200 b
        caller expect BYE b Reason:Q.850;cause=16
        hub3 wait 200
    """,
    "a_later_start_at_the_same_address_ends_the_connections_and_calls_of_before": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 200 a
        caller expect 200 a
        hub1 expect ACK a
        bus tell hub1 up since=now
        caller expect BYE a Reason:Q.850;cause=41
        caller send INVITE b dest=1
        hub1 expect end
        hub1 expect INVITE b
        hub1 send 200 b
        caller expect 200 b
        hub1 expect ACK b
        bus tell hub1 up since=now
        caller expect BYE b Reason:Q.850;cause=41
    """,
    "a_new_name_at_the_address_of_another_takes_its_place": """
        caller send INVITE a dest=1
        hub1 expect INVITE a
        hub1 send 200 a
        caller expect 200 a
        hub1 expect ACK a
        bus tell hub1 up named=new
        caller expect BYE a Reason:Q.850;cause=41
        hub1 expect end
    """,
    "a_known_name_that_moves_to_the_address_of_another_takes_its_place": """
        caller send INVITE a dest=2
        hub2 expect INVITE a
        hub2 send 200 a
        caller expect 200 a
        hub2 expect ACK a
        bus tell hub1 up at=hub2
        caller expect BYE a Reason:Q.850;cause=41
        hub2 expect end
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str, tmp_path: Path) -> None:
    harness = PlatformHarness(tmp_path)
    try:
        play(harness, SCENARIOS[name])
    finally:
        harness.end()


class DialGate:
    """Holds connects back after they have been made, until `released` is set."""

    def __init__(self) -> None:
        self.connected, self.released = threading.Event(), threading.Event()

    def dial(self, host: str, port: int, deadline_ms: float) -> socket.socket:
        sock = dial(host, port, deadline_ms)
        self.connected.set()
        self.released.wait(TIMEOUT_S)
        return sock


@pytest.fixture
def gate(monkeypatch: pytest.MonkeyPatch) -> Iterator[DialGate]:
    dial_gate = DialGate()
    monkeypatch.setattr("landingdeal.net.hub_connector.dial", dial_gate.dial)
    yield dial_gate
    dial_gate.released.set()


def give_another_its_address(hubs: HubConnections, address: str) -> None:
    hubs.update_hub(b"other", address, False)


def move(hubs: HubConnections, address: str) -> None:
    hubs.update_hub(b"h", "127.0.0.1:9", False)


def restart(hubs: HubConnections, address: str) -> None:
    hubs.update_hub(b"h", address, False, started_ms=now_ms())


@pytest.mark.parametrize("change", [give_another_its_address, move, restart])
def test_a_set_up_that_waits_for_a_dial_is_not_sent_to_another_process(
    gate: DialGate, change: Callable[[HubConnections, str], None]
) -> None:
    inbox = Inbox()
    hubs = HubConnections(read_settings(json.dumps(SETTINGS).encode()), inbox, "127.0.0.1:1", 500.0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        hubs.start()
        hubs.update_hub(b"h", address, False)
        assert gate.connected.wait(TIMEOUT_S)
        first, _ = server.accept()
        first.settimeout(TIMEOUT_S)
        attempt = make_attempt()
        hubs.set_up(attempt)
        change(hubs, address)
        gate.released.set()
        assert first.recv(4096) == b"", "nothing is written before the close"
        if change is not restart:
            events = take_events(inbox, AttemptFailed)
            assert events[0].attempt is attempt and events[0].outcome is AttemptOutcome.NOT_SENT


def make_attempt() -> Attempt:
    offer = Offer("a", "sip:a@net", "voice", 1, now_ms() + 4000, BODY, RecordingCaller())
    return Attempt(offer, 0, b"h", now_ms(), now_ms() + 3000)


def take_events(inbox: Inbox, kind: type[AttemptFailed]) -> list[AttemptFailed]:
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        events = [event for event in inbox.take(now_ms() + 50) if isinstance(event, kind)]
        if events:
            return events
    raise AssertionError(f"no {kind.__name__}")


def test_the_failure_of_a_moved_hub_ends_no_call_of_the_process_that_has_its_name() -> None:
    hub = Hub(b"h", "127.0.0.1", 1)
    hub.replaced_ms = 1000.0
    assert hub.failed(5000.0) == HubFailed(b"h", 1000.0) and hub.failed(500.0) == HubFailed(b"h", 500.0)


def test_a_start_in_the_future_of_this_clock_is_taken_as_now() -> None:
    ours, theirs = socket.socketpair()
    link = HubLink(ours, lambda on, message: None, lambda on, reset: None)
    hub = Hub(b"h", "127.0.0.1", 1)
    hub.pending[link] = {}
    link.dialled_ms -= 10.0
    future_ms = now_ms() + 60_000.0
    assert hub.take_older_links(future_ms) == [link] and hub.take_older_links(future_ms) == []
    link.dialled_ms = now_ms() + 1.0
    assert hub.is_peer_of(link)
    ours.close()
    theirs.close()
