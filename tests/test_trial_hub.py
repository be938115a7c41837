"""The emulated lab hub of the trials does what a lab hub does."""

from __future__ import annotations

import random
import socket
import time
from contextlib import closing

from landingdeal.lab.trial.hub import FaultRates, LabHub
from landingdeal.lab.trial.loop import TrialEventLoop
from landingdeal.lab.trial.rules import Observations
from landingdeal.sip.message import encode, request

ONLY_SECOND_ANSWERS = FaultRates(refuse=0.0, slow=0.0, unanswered=0.0, second_answer=1.0)
INVITE = request(
    "INVITE", "sip:1@net", ("via", "SIP/2.0/TCP peer"), ("call-id", "a"), ("cseq", "1 INVITE"), body=b"x\r\n"
)


def test_a_hub_that_hangs_before_its_answer_sends_no_second_one_afterwards() -> None:
    """The program would pass on an answer that the checks do not know."""
    loop = TrialEventLoop()
    with closing(loop):
        hub = LabHub(loop, random.Random(1), Observations(), "s-1", 1)
        hub.fault_rates = ONLY_SECOND_ANSWERS
        with socket.create_connection(("127.0.0.1", hub.port)) as sock:
            sock.sendall(encode(INVITE))
            loop.run(lambda: bool(hub.attempts), time.time() + 1.0)
            hub.hang(True)
            loop.run(lambda: False, time.time() + 0.2)
            hub.hang(False)
            sock.settimeout(0.2)
            assert b"INVITE" not in sock.recv(65536)
