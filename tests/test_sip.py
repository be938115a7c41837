"""The SIP front, driven by simulated callers and hubs over UDP and TCP."""

from __future__ import annotations

import os
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest

from landingdeal.clock import now_ms
from landingdeal.core.events import Attempt, Offer, RefusalReason, SetUpCancelled
from landingdeal.sip.message import encode, request
from tests.scenario import TIMEOUT_S, play
from tests.scenario_sip import ScenarioParty, SipHarness
from tests.sip_front import InProcessFront

ESTABLISHED_CALL = """
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
    "a call from INVITE to the caller's BYE": ESTABLISHED_CALL + """
        caller send BYE a
        caller expect 200 a
        hub1 expect BYE a Reason:Q.850;cause=16
        hub1 send 200 a of=BYE
    """,
    "a call ended by its hub": ESTABLISHED_CALL + """
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
    "a retransmitted INVITE is no new call: before and after 1xx, and after the final response": """
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
    "CANCEL before any response of the hub waits for its provisional response": """
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
    "a 2xx that crosses CANCEL is acknowledged and released": """
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
    "a refusal has Retry-After": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 503 a X-Note:ovl
        hub1 expect ACK a
        caller expect 503 a Retry-After:2 X-Later-Ms:2000
        caller send ACK a
        hub1 wait 300
        hub2 wait 10
    """,
    "486 is forwarded as 486, whatever the Subject of the call": """
        caller send INVITE a Subject:hello
        hub1 expect INVITE a
        hub1 send 486 a
        hub1 expect ACK a
        caller expect 486 a
        caller send ACK a
    """,
    "a hub that queues past the deadline is cancelled, and the caller gets 408": """
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
    "re-INVITE is forwarded both ways": ESTABLISHED_CALL + """
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
    "CANCEL of a re-INVITE is forwarded, and the call stays established": ESTABLISHED_CALL + """
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
    "a 2xx to a re-INVITE after the end of the call is acknowledged": ESTABLISHED_CALL + """
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
    "re-INVITEs that cross: 491": ESTABLISHED_CALL + """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send INVITE a
        hub1 expect 491 a
        hub1 send ACK a
    """,
    "requests that belong to no call, and requests that are refused": """
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
    "a copy of the INVITE by another path is refused with 482": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 180 a
        caller send INVITE a branch=z9hG4bKother cseq=1
        caller expect 482 a
    """,
    "malformed requests get 400, another version 505": """
        caller send INVITE v version=3.0
        caller expect 505 v
        caller send INVITE w drop=from
        caller expect 400 w
        caller send INVITE x Max-Forwards:many drop=max-forwards
        caller expect 400 x
        caller send OPTIONS o
        caller expect 200 o
    """,
    "a stopped program releases its calls": ESTABLISHED_CALL + """
        program stop
        caller expect BYE a Reason:Q.850;cause=41
        caller send 200 a of=BYE
        hub1 expect BYE a
        hub1 send 200 a of=BYE
        program ends 0
    """,
}  # fmt: skip
TCP_ONLY = {
    "the caller's connection closes during the set-up: the answer is sent on a new one": """
        caller send INVITE a
        hub1 expect INVITE a
        caller close
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller send ACK a
        hub1 wait 100
    """,
    "the caller's connection closes during the set-up: a refusal is sent on a new one": """
        caller send INVITE a
        hub1 expect INVITE a
        caller close
        hub1 send 486 a
        hub1 expect ACK a
        caller expect 486 a
        caller send ACK a
        hub1 wait 100
    """,
    "the caller's connection is reset during its re-INVITE: the answer is sent on a new one": ESTABLISHED_CALL
    + """
        caller send INVITE a
        hub1 expect INVITE a
        caller reset
        caller expect OPTIONS a
        caller send 200 a of=OPTIONS
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a CSeq:2
        caller send ACK a
        hub1 wait 100
    """,
    "the hub's connection is reset during its re-INVITE: the answer is sent on a new one": ESTABLISHED_CALL
    + """
        caller send OPTIONS b
        caller expect 200 b
        hub1 send INVITE a
        caller expect INVITE a
        hub1 reset
        hub1 expect OPTIONS a
        hub1 send 200 a of=OPTIONS
        caller send 200 a
        caller expect ACK a
        hub1 expect 200 a
        hub1 send ACK a
        caller wait 100
    """,
    "a second connection of the caller that closes does not end an established call": """
        caller send INVITE a
        hub1 expect INVITE a
        caller close
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller send ACK a
        caller send OPTIONS b
        caller expect 200 b
        caller close
        caller expect OPTIONS a
        caller send 200 a of=OPTIONS
        hub1 wait 150
        hub1 send BYE a
        hub1 expect 200 a
        caller expect BYE a
    """,
    "a second connection of the caller that closes before its ACK: the refusal is sent on a third": """
        caller send INVITE a
        hub1 expect INVITE a
        caller close
        hub1 send 486 a
        hub1 expect ACK a
        caller expect 486 a
        caller close
        caller repeats 1
        caller send ACK a
    """,
    "a BYE that meets a reset of the caller's connection is sent on a new one": ESTABLISHED_CALL + """
        caller send OPTIONS b
        caller expect 200 b
        hub1 send BYE a
        hub1 expect 200 a
        caller expect BYE a
        caller reset
        caller expect BYE a
        caller send 200 a of=BYE
        caller wait 100
    """,
    "a BYE that meets a reset of the hub's connection is sent on a new one": ESTABLISHED_CALL + """
        caller send BYE a
        caller expect 200 a
        hub1 expect BYE a
        hub1 reset
        hub1 expect BYE a
        hub1 send 200 a of=BYE
        hub1 wait 100
    """,
    "a connection that closes during the check of its peer does not end an established call": ESTABLISHED_CALL
    + """
        caller send OPTIONS b
        caller expect 200 b
        caller close
        caller expect OPTIONS a
        caller reset
        caller expect OPTIONS a
        caller send 200 a of=OPTIONS
        hub1 wait 150
        hub1 send BYE a
        hub1 expect 200 a
        caller expect BYE a
    """,
    "a caller that sent its ACK on a new connection is unreachable: the call is released": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 200 a
        hub1 expect ACK a
        caller expect 200 a
        caller close
        caller send ACK a
        caller send OPTIONS b
        caller expect 200 b
        caller gone
        hub1 expect BYE a Reason:Q.850;cause=41
    """,
    "a caller that is unreachable after the answer: the call is released": ESTABLISHED_CALL + """
        caller gone
        hub1 expect BYE a Reason:Q.850;cause=41
    """,
    "a connection that closes does not end an established call": ESTABLISHED_CALL + """
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
    "an answer on a new connection after the reset of the hub's connection is released": """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 send 180 a
        caller expect 180 a
        hub1 reset
        hub2 expect INVITE b
        hub1 answer_on_new_connection a
        hub1 expect ACK a
        hub1 expect BYE a
        hub1 send 200 a of=BYE
        hub2 send 200 b
        caller expect 200 a
        hub2 expect ACK b
    """,
    "the hub's connection is reset during a re-INVITE": ESTABLISHED_CALL + """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 reset
        caller expect 503 a
        caller send ACK a
        caller expect BYE a
        caller wait 100
    """,
    "a hub whose connection is reset during a re-INVITE is released on a new one": ESTABLISHED_CALL + """
        caller send INVITE a
        hub1 expect INVITE a
        hub1 reset
        caller expect 503 a
        caller send ACK a
        hub1 expect BYE a
    """,
    "the caller's connection is reset during its re-INVITE, and it is unreachable": ESTABLISHED_CALL + """
        caller send INVITE a
        hub1 expect INVITE a
        caller gone
        hub1 expect BYE a Reason:Q.850;cause=41
    """,
}  # fmt: skip
CASES = [(transport, name, scenario) for name, scenario in SCENARIOS.items() for transport in ("udp", "tcp")]
CASES += [("tcp", name, scenario) for name, scenario in TCP_ONLY.items()]


@pytest.mark.parametrize(
    ("transport", "scenario"),
    [(transport, scenario) for transport, _, scenario in CASES],
    ids=[f"{transport}: {name}" for transport, name, _ in CASES],
)
def test_sip_scenario(transport: str, scenario: str, tmp_path: Path) -> None:
    environment = SipHarness(tmp_path, transport)
    play_on_program(environment, scenario)


@pytest.mark.parametrize("scenario", TCP_ONLY.values(), ids=TCP_ONLY)
def test_tcp_callers_with_rport_get_their_answers_after_their_connection_ended(
    scenario: str, tmp_path: Path
) -> None:
    """Over TCP a new connection goes to the port of sent-by, whether or not Via has rport."""
    environment = SipHarness(tmp_path, "tcp")
    environment.with_rport = True
    play_on_program(environment, scenario)


def test_a_program_whose_log_nobody_reads_serves_its_callers(tmp_path: Path) -> None:
    """A full pipe at standard error must not stall the front."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with suppress(BlockingIOError):
        while True:
            os.write(write_end, bytes(4096))
    os.set_blocking(write_end, True)
    environment = SipHarness(tmp_path, "tcp", stderr=write_end)
    try:
        play_on_program(environment, ESTABLISHED_CALL)
    finally:
        os.close(read_end)
        os.close(write_end)


def play_on_program(environment: SipHarness, scenario: str) -> None:
    """Plays a scenario, ends the program and checks that no exception is in its log."""
    try:
        play(environment, scenario)
    finally:
        log = environment.end()
        print(log)
    assert "Traceback" not in log, log


def wait_for(event: threading.Event) -> None:
    """Holds the calling thread until the test goes on."""
    assert event.wait(TIMEOUT_S)


def test_a_final_response_goes_out_once_when_it_overtakes_the_end_of_the_connection() -> None:
    """The response goes to a new connection before the front has handled the end of the first one."""
    environment = InProcessFront("tcp")
    play(environment, "caller send INVITE a")
    offer = environment.next_event(Offer)
    caller = environment.parties["caller"]
    request_flow = next(iter(environment.front.transport_layer.flows.values()))
    proceed = threading.Event()
    environment.front.event_loop.post(lambda: wait_for(proceed))
    offer.caller.refuse(0.0, RefusalReason.BUSY)
    play(environment, "caller close")
    while request_flow.alive:
        time.sleep(0.005)
    proceed.set()
    play(
        environment,
        """
        caller expect 486 a
        caller send OPTIONS b
        caller expect 200 b
    """,
    )  # the response to OPTIONS shows that the front has handled the end of the connection
    assert caller.repeat_count() == 0
    environment.close_parties()


@pytest.mark.parametrize(("rport", "receiver"), [("", "listener"), (";rport", "sender")])
def test_a_malformed_datagram_is_refused_where_its_via_asks_for_it(rport: str, receiver: str) -> None:
    """Without rport a response goes to the port of sent-by, not to the port that the datagram came from."""
    environment = InProcessFront("udp")
    parties = {name: ScenarioParty(name, "udp") for name in ("listener", "sender")}
    environment.parties.update(parties)
    via = f"SIP/2.0/UDP 127.0.0.1:{parties['listener'].port}{rport};branch=z9hG4bKm"
    options = request("OPTIONS", "sip:127.0.0.1", ("via", via), ("to", "<sip:127.0.0.1>"), ("call-id", "m"),
                      ("cseq", "1 OPTIONS"))  # fmt: skip
    parties["sender"].sock.sendto(encode(options), ("127.0.0.1", environment.port))
    play(environment, f"{receiver} expect 400 m")
    environment.close_parties()


@pytest.mark.parametrize("transport", ["udp", "tcp"])
def test_a_slow_core_leaves_no_hub_ringing_for_a_cancelled_call(transport: str) -> None:
    """The ACK of the 487 ends the transaction of the caller before the core has handled the CANCEL."""
    environment = InProcessFront(transport)
    play(environment, "caller send INVITE a")
    attempt = Attempt(environment.next_event(Offer), 0, b"hub1", now_ms(), now_ms() + 5000)
    environment.front.set_up(attempt)
    play(
        environment,
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
    )  # the response to OPTIONS shows that the front has handled the ACK
    environment.next_event(SetUpCancelled)
    environment.front.cancel(attempt)
    play(
        environment,
        """
        hub1 expect CANCEL a
        hub1 send 200 a of=CANCEL
        hub1 send 487 a
        hub1 expect ACK a
    """,
    )
    environment.close_parties()
