"""A lab hub on TCP is cut off; callers that gave up or were refused meanwhile are set up afterwards."""

from __future__ import annotations

import socket
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import common
from common import SDP, Record, Send, Sip, TcpLine, UdpPeer, reply

CUT_S = 6.0  # "cut off from the others for 5.8 to 19 s"
CALLS_BEFORE_END_S = 0.8  # the calls arrive so long before the cut ends
GIVE_UP_S = 0.5  # a caller that stops waiting sends CANCEL so long after its INVITE
SHORT_PATIENCE_MS = 700  # a caller with little time left
ANSWER_S = 1.0  # the hub rings at once and answers so long after the INVITE
SLACK_S = 0.05  # "each time limit is 50 ms longer"


class Hub:
    """A lab hub on TCP. While it is cut off, new connections never come up (its accept queue is full)."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = common.free_port()
        self.invites: dict[
            str, tuple[float, str]
        ] = {}  # by Call-ID: when it came, the caller's name of the call
        self.ended: dict[str, str] = {}  # by Call-ID: CANCEL or BYE that came for it
        self.acked: set[str] = set()
        self.answers: set[str] = set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", self.port))
        self.fillers: list[socket.socket] = []

    def start(self, cut_off: bool) -> None:
        self.sock.listen(0 if cut_off else 64)
        if not cut_off:
            self._serve()
            return
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)
        self.record.add("hub-1: cut off, new connections do not come up")

    def heal(self) -> None:
        self.record.add("hub-1: the cut ends")
        for filler in self.fillers:
            filler.close()
        self.sock.listen(64)
        self._serve()

    def _serve(self) -> None:
        def accept() -> None:
            with suppress(OSError):
                while True:
                    sock, _ = self.sock.accept()
                    TcpLine(sock, self.handle, self.record, "hub-1")

        threading.Thread(target=accept, daemon=True).start()

    def handle(self, message: Sip, send: Send) -> None:
        call = message.call_id
        if message.status:
            return
        if message.method == "ACK":
            self.acked.add(call)
            return
        contact = ("contact", f"<sip:hub@127.0.0.1:{self.port};transport=tcp>")
        if message.method == "INVITE":
            # the description passes on unchanged: its subject line tells which call of a caller this is
            subject = message.body.partition(b"\r\ns=")[2].partition(b"\r\n")[0].decode()
            self.invites[call] = (self.record.now(), subject)
            self.record.add(f"hub-1: {call} is the set-up of {subject}")
            send(reply(message, 100))
            send(reply(message, 180, contact, tag="hub"))
            threading.Timer(ANSWER_S, self._answer, [message, send, contact]).start()
            return
        send(reply(message, 200, tag="hub"))
        if message.method in ("CANCEL", "BYE"):
            self.ended.setdefault(call, message.method)

    def _answer(self, invite: Sip, send: Send, contact: tuple[str, str]) -> None:
        if self.ended.get(invite.call_id) == "CANCEL":
            send(reply(invite, 487, tag="hub"))
            return
        self.answers.add(invite.call_id)
        send(reply(invite, 200, contact, ("content-type", "application/sdp"), tag="hub", body=SDP))


class Callers(UdpPeer):
    """Callers on UDP, one number called each."""

    def __init__(self, record: Record, front_port: int) -> None:
        self.front = ("127.0.0.1", front_port)
        self.finals: dict[str, tuple[float, int]] = {}  # by Call-ID: the first final answer
        self.invites: dict[str, Sip] = {}
        super().__init__(self.handle, record, "caller")

    def request(self, method: str, number: str, call: str, branch: str, *headers: tuple[str, str]) -> Sip:
        host, port = self.front
        fixed = [
            ("via", f"SIP/2.0/UDP 127.0.0.1:{self.port};branch=z9hG4bK{branch}"),
            ("max-forwards", "70"),
            ("from", f"<sip:c{number}@127.0.0.1>;tag=c{call}"),
            ("to", f"<sip:{number}@{host}:{port}>"),
            ("call-id", call),
            ("cseq", f"1 {method}"),
            ("contact", f"<sip:c{number}@127.0.0.1:{self.port}>"),
            ("subject", "device-status"),
        ]
        body = SDP.replace(b"s=-", f"s={call}".encode()) if method == "INVITE" else b""
        return Sip(f"{method} sip:{number}@{host}:{port} SIP/2.0", [*fixed, *headers], body)

    def invite(self, number: str, call: str, *headers: tuple[str, str]) -> None:
        self.invites[call] = message = self.request("INVITE", number, call, call, *headers)
        self.send_to(message, self.front)

    def give_up(self, number: str, call: str) -> None:
        if call not in self.finals:
            self.send_to(self.request("CANCEL", number, call, call), self.front)

    def handle(self, message: Sip, send: Send) -> None:
        if not message.status:
            send(reply(message, 200))
        elif message.method == "INVITE" and message.status >= 200:
            call, number = message.call_id, self.invites[message.call_id].uri[4:].partition("@")[0]
            self.finals.setdefault(call, (self.record.now(), message.status))
            branch = call if message.status >= 300 else f"{call}ack"
            ack = self.request("ACK", number, call, branch)
            ack.headers = [("to", message.get("to")) if k == "to" else (k, v) for k, v in ack.headers]
            self.send_to(ack, self.front)


def case(record: Record) -> int:
    hub = Hub(record)
    _, port = common.start_sip_front(record, [(1, "tcp", hub.port)])
    callers = Callers(record, port)
    hub.start(common.TROUBLE)
    time.sleep(CUT_S - CALLS_BEFORE_END_S)
    gave_up, little_time = ("1001", "1002"), ("1101", "1102")
    for number in gave_up:
        callers.invite(number, f"a{number}")
    for number in little_time:
        callers.invite(number, f"a{number}", ("x-patience", str(SHORT_PATIENCE_MS)))
    time.sleep(GIVE_UP_S)
    for number in gave_up:
        callers.give_up(number, f"a{number}")
    time.sleep(CALLS_BEFORE_END_S - GIVE_UP_S)
    if common.TROUBLE:
        hub.heal()
    time.sleep(2.4)
    for number in little_time:  # refused with Retry-After 2: the caller dials again, which is harmless
        callers.invite(number, f"b{number}")
    time.sleep(6.0)
    first_calls = [f"a{number}" for number in (*gave_up, *little_time)]
    if any(call not in callers.finals for call in first_calls):
        return common.CANNOT_RUN
    broken = []
    for attempt, (at, call) in sorted(hub.invites.items(), key=lambda item: item[1]):
        answered_at, status = callers.finals.get(call, (at, 0))
        if status >= 300 and at > answered_at + SLACK_S:
            broken.append(
                f"call {call} had its final answer {status} at {answered_at:.3f}; its set-up came to "
                f"the hub at {at:.3f}; the hub answered 200: {attempt in hub.answers}, then heard ACK: "
                f"{attempt in hub.acked}, CANCEL or BYE: {hub.ended.get(attempt, 'none')}"
            )
    for line in broken:
        record.add(f"BROKEN {line}")
    return common.BROKEN if broken else common.HELD


if __name__ == "__main__":
    common.main(Path(__file__).resolve().parent, case)
