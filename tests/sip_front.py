"""The SIP front in the process of the test, which takes the place of the core."""

from __future__ import annotations

import threading
from typing import TypeVar

from landingdeal.clock import now_ms
from landingdeal.core.inbox import Inbox
from landingdeal.lab.ports import free_port
from landingdeal.operator_config import parse_operator_config
from landingdeal.sip.front import SipFront
from tests.scenario import TIMEOUT_S
from tests.scenario_sip import ScenarioParty, SipHarness, operator_file

EventType = TypeVar("EventType")


class InProcessFront(SipHarness):
    """Runs the front in this process, without the program; the test takes the place of the core."""

    def __init__(self, transport: str) -> None:
        self.transport, self.port = transport, free_port()
        self.parties = {"hub1": ScenarioParty("hub1", transport)}
        operator = parse_operator_config(operator_file(self.port, self.parties))
        assert operator.sip is not None and operator.settings is not None
        self.inbox = Inbox()
        self.front = SipFront(operator.sip, operator.settings, self.inbox, 1)
        self.front.start()

    def next_event(self, event_type: type[EventType]) -> EventType:
        """Returns the next event of this type that the front reports to the core; skips others."""
        deadline_ms = now_ms() + TIMEOUT_S * 1000
        while now_ms() < deadline_ms:
            for event in self.inbox.take(deadline_ms):
                if isinstance(event, event_type):
                    return event
        raise AssertionError(f"no {event_type.__name__} event was reported")

    def handle_posted_work(self) -> None:
        """Waits until the front has handled all that was posted to it so far."""
        handled = threading.Event()
        self.front.event_loop.post(handled.set)
        assert handled.wait(TIMEOUT_S)

    def close_parties(self) -> None:
        """Closes the sockets of the parties."""
        for party in self.parties.values():
            party.sock.close()
