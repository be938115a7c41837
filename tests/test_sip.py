"""The SIP front: the program is started and spoken to by stand-in callers and hubs, over UDP and TCP."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import pytest

from landingdeal.clock import now_ms
from landingdeal.core.broker import Inbox
from landingdeal.core.events import Attempt, Offer, SetUpCancelled
from landingdeal.lab.ports import free_port
from landingdeal.operator_config import parse_operator_config
from landingdeal.sip.front import SipFront
from tests.scenario import TIMEOUT_S, play
from tests.scenario_sip import Party, SipHarness, operator_file

STANDS = """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 180 a
        caller expect 180 a
        hub1 send 200 a
        caller expect 200 a
        hub1 expect ACK a
        caller send ACK a
"""
SCENARIOS = {
    "a call from INVITE to the caller's BYE": STANDS + """
        caller send BYE a
        caller expect 200 a
        hub1 expect BYE a Reason:Q.850;cause=16
        hub1 send 200 a of=BYE
    """,
    "a call ended by its hub": STANDS + """
        hub1 send BYE a Reason:Q.850;cause=41
        hub1 expect 200 a
        caller expect BYE a Reason:Q.850;cause=41
        caller send 200 a of=BYE
        caller send BYE a
        caller expect 481 a
    """,
    "a release before the caller's ACK waits for it": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 200 a
        caller expect 200 a
        hub1 expect ACK a
        hub1 send BYE a
        hub1 expect 200 a
        caller wait 100
        caller send ACK a
        caller expect BYE a
    """,
    "an INVITE again is no new call: before and after 1xx, and after the final response": """
        caller send INVITE a
        caller expect 100 a
        caller again a
        caller repeats 1
        hub1 expect INVITE a
        hub1 send 180 a
        caller expect 180 a
        caller again a
        caller repeats 2
        hub1 wait 200
        hub1 send 200 a
        caller expect 200 a
        hub1 expect ACK a
        caller again a
        caller repeats 4
        caller send ACK a
        hub1 wait 200
    """,
    "CANCEL while the hub queues": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 100 a
        hub1 send 180 a
        caller expect 180 a
        caller send CANCEL a
        caller expect 200 a
        caller expect 487 a
        caller send ACK a
        hub1 expect CANCEL a
        hub1 send 200 a of=CANCEL
        hub1 send 487 a
        hub1 expect ACK a
        caller wait 200
    """,
    "CANCEL before the hub has said anything waits for its provisional response": """
        caller send INVITE a
        hub1 expect INVITE a
        caller send CANCEL a
        caller expect 200 a
        caller expect 487 a
        caller send ACK a
        hub1 wait 100
        hub1 send 180 a
        hub1 expect CANCEL a
        hub1 send 200 a of=CANCEL
        hub1 send 487 a
        hub1 expect ACK a
    """,
    "an answer that crosses CANCEL is acknowledged and released": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 180 a
        caller expect 180 a
        caller send CANCEL a
        caller expect 200 a
        caller expect 487 a
        caller send ACK a
        hub1 expect CANCEL a
        hub1 send 200 a of=CANCEL
        hub1 send 200 a
        hub1 expect ACK a
        hub1 expect BYE a
        caller wait 200
    """,
    "a refusal says when to come back": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 503 a X-Note:ovl
        hub1 expect ACK a
        caller expect 503 a Retry-After:2 X-Later-Ms:2000
        caller send ACK a
        hub1 wait 300
        hub2 wait 10
    """,
    "busy stays busy, whatever its Subject": """
        caller send INVITE a Subject:hello
        hub1 expect INVITE a
        hub1 send 486 a
        hub1 expect ACK a
        caller expect 486 a
        caller send ACK a
    """,
    "a hub that queues past the deadline is cancelled, and the caller is told": """
        caller send INVITE a X-Patience:900
        hub1 expect INVITE a
        hub1 send 100 a
        hub1 expect CANCEL a
        hub1 send 200 a of=CANCEL
        hub1 send 487 a
        hub1 expect ACK a
        caller expect 408 a Retry-After:2
        caller send ACK a
        hub1 wait 320
    """,
    "re-INVITE passes both ways": STANDS + """
        caller send INVITE a
        hub1 expect INVITE a CSeq:2
        hub1 send 200 a
        hub1 expect ACK a CSeq:2
        caller expect 200 a CSeq:2
        caller send ACK a
        caller send OPTIONS b
        caller expect 200 b
        hub1 send INVITE a
        caller expect INVITE a
        caller send 488 a
        caller expect ACK a
        hub1 expect 488 a
        hub1 send ACK a
        caller send BYE a
        caller expect 200 a
        hub1 expect BYE a
    """,
    "CANCEL of a re-INVITE goes on, and the call stands": STANDS + """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 180 a
        caller send CANCEL a
        caller expect 200 a
        hub1 expect CANCEL a
        hub1 send 200 a of=CANCEL
        hub1 send 487 a
        hub1 expect ACK a
        caller expect 487 a
        caller send ACK a
        hub1 send BYE a
        hub1 expect 200 a
        caller expect BYE a
    """,
    "a re-INVITE answered after the call is over is acknowledged": STANDS + """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 180 a
        caller send BYE a
        caller expect 200 a
        caller expect 487 a
        hub1 expect BYE a
        hub1 send 200 a of=BYE
        hub1 send 200 a of=INVITE
        hub1 expect ACK a
    """,
    "re-INVITEs that cross: 491": STANDS + """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send INVITE a
        hub1 expect 491 a
        hub1 send ACK a
    """,
    "what belongs to no call": """
        caller send BYE x
        caller expect 481 x
        caller send CANCEL y
        caller expect 481 y
        caller send ACK z
        caller send OPTIONS o
        caller expect 200 o Allow:INVITE
        caller send PUBLISH p
        caller expect 405 p Allow:INVITE
        caller send INVITE n to=9999
        caller expect 404 n
        caller send INVITE u uri=tel:+251
        caller expect 416 u
        caller send INVITE r Require:100rel
        caller expect 420 r Unsupported:100rel
        caller send INVITE m X-Patience:soon
        caller expect 400 m
        hub1 wait 10
    """,
    "the same call by another way is merged": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 180 a
        caller send INVITE a branch=z9hG4bKother cseq=1
        caller expect 482 a
    """,
    "malformed is 400, another version 505": """
        caller send INVITE v version=3.0
        caller expect 505 v
        caller send INVITE w drop=from
        caller expect 400 w
        caller send INVITE x Max-Forwards:many drop=max-forwards
        caller expect 400 x
        caller send OPTIONS o
        caller expect 200 o
    """,
    "stopped: no call is left standing": STANDS + """
        program stop
        caller expect BYE a Reason:Q.850;cause=41
        caller send 200 a of=BYE
        hub1 expect BYE a
        hub1 send 200 a of=BYE
        program ends 0
    """,
}  # fmt: skip
TCP_ONLY = {
    "the caller's connection closes during the set-up: its answer comes on a new one": """
        caller send INVITE a
        hub1 expect INVITE a
        caller close
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller send ACK a
        hub1 wait 100
    """,
    "a caller that is gone after the answer leaves no call": STANDS + """
        caller gone
        hub1 expect BYE a Reason:Q.850;cause=41
    """,
    "a connection that closes while the call stands does not end it": STANDS + """
        caller close
        caller expect OPTIONS a
        caller send 200 a of=OPTIONS
        hub1 wait 150
        hub1 send BYE a
        hub1 expect 200 a
        caller expect BYE a
    """,
    "the hub's connection is reset during the set-up": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 reset
        hub2 wait 290
        hub2 expect INVITE b
        hub2 send 200 b
        caller expect 200 a
    """,
    "the hub's connection is reset during a re-INVITE": STANDS + """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 reset
        caller expect 503 a
        caller send ACK a
        caller expect BYE a
        caller wait 100
    """,
    "the caller's connection is reset during its re-INVITE, and it is gone": STANDS + """
        caller send INVITE a
        hub1 expect INVITE a
        caller gone
        hub1 expect BYE a Reason:Q.850;cause=41
    """,
}  # fmt: skip
CASES = [(t, name, s) for name, s in SCENARIOS.items() for t in ("udp", "tcp")]
CASES += [("tcp", name, s) for name, s in TCP_ONLY.items()]


@pytest.mark.parametrize(
    ("transport", "scenario"), [(t, s) for t, _, s in CASES], ids=[f"{t}: {n}" for t, n, _ in CASES]
)
def test_sip(transport: str, scenario: str, tmp_path: Path) -> None:
    stage = SipHarness(tmp_path, transport)
    try:
        play(stage, scenario)
    finally:
        log = stage.end()
        print(log)
    assert "Traceback" not in log, log


Told = TypeVar("Told")


class Wireside(SipHarness):
    """The language without the program: the front runs in this process, and the test plays the core."""

    def __init__(self, transport: str) -> None:
        self.transport, self.port = transport, free_port()
        self.parties = {"hub1": Party("hub1", transport)}
        operator = parse_operator_config(operator_file(self.port, self.parties))
        assert operator.sip is not None and operator.settings is not None
        self.inbox = Inbox()
        self.front = SipFront(operator.sip, operator.settings, self.inbox, 1)
        self.front.start()

    def told(self, kind: type[Told]) -> Told:
        """The next event of that kind that the core is told; others are passed over."""
        until = now_ms() + TIMEOUT_S * 1000
        while now_ms() < until:
            for event in self.inbox.take(until):
                if isinstance(event, kind):
                    return event
        raise AssertionError(f"no {kind.__name__}")


@pytest.mark.parametrize("transport", ["udp", "tcp"])
def test_a_slow_core_leaves_no_hub_ringing_for_a_caller_that_gave_up(transport: str) -> None:
    """The ACK of 487 ends the caller's transaction before the core has heard of the CANCEL."""
    stage = Wireside(transport)
    play(stage, "caller send INVITE a")
    attempt = Attempt(stage.told(Offer), 0, b"hub1", now_ms(), now_ms() + 5000)
    stage.front.set_up(attempt)
    play(
        stage,
        """
        hub1 expect INVITE a
        hub1 send 180 a
        caller expect 180 a
        caller send CANCEL a
        caller expect 200 a
        caller expect 487 a
        caller send ACK a
        caller send OPTIONS b
        caller expect 200 b
    """,
    )  # the front has taken the ACK
    stage.told(SetUpCancelled)
    stage.front.cancel(attempt)  # only now
    play(
        stage,
        """
        hub1 expect CANCEL a
        hub1 send 200 a of=CANCEL
        hub1 send 487 a
        hub1 expect ACK a
    """,
    )
    for party in stage.parties.values():
        party.sock.close()
