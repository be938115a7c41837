"""A caller's TCP connection ends while its INVITE is open; the caller put `rport` into its Via."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import common
from common import SDP, Record, Send, Sip, TcpLine, TcpServer, UdpPeer, reply

ANSWER_S = 1.0  # the hub rings at once and answers so long after the INVITE
CLOSE_S = 0.4  # so long after the INVITE the caller's connection ends
PATIENCE_S = 9.0  # the class's deadline_ms


class Hub(UdpPeer):
    """Rings at once and answers each INVITE after a second, as the device rack needs it."""

    def __init__(self, record: Record) -> None:
        self.answered: dict[str, Sip] = {}
        super().__init__(self.handle, record, "hub-1")

    def handle(self, message: Sip, send: Send) -> None:
        if message.status or message.method == "ACK":
            return
        contact = ("contact", f"<sip:hub@127.0.0.1:{self.port}>")
        if message.method != "INVITE":
            send(reply(message, 200, tag="hub"))
            return
        key = f"{message.call_id} {message.get('cseq')}"
        if key in self.answered:
            return
        self.answered[key] = message
        send(reply(message, 100))
        send(reply(message, 180, contact, tag="hub"))
        body = ("content-type", "application/sdp")
        threading.Timer(ANSWER_S, send, [reply(message, 200, contact, body, tag="hub", body=SDP)]).start()


class Caller:
    """A user agent on TCP. It listens at the address that its Via and Contact name."""

    def __init__(self, record: Record, front_port: int, name: str) -> None:
        self.record, self.front_port, self.name = record, front_port, name
        self.server = TcpServer(self.handle, record, f"{name} (listening)")
        self.line: TcpLine | None = None
        self.finals: dict[str, list[tuple[float, int]]] = {}  # by CSeq of the INVITE
        self.to, self.target = f"<sip:1001@127.0.0.1:{front_port}>", f"sip:1001@127.0.0.1:{front_port}"
        self.released = False

    def connect(self) -> TcpLine:
        sock = socket.create_connection(("127.0.0.1", self.front_port))
        self.line = TcpLine(sock, self.handle, self.record, self.name)
        return self.line

    def request(self, method: str, number: int, branch: str, body: bytes = b"") -> Sip:
        port = self.server.port
        headers = [
            ("via", f"SIP/2.0/TCP 127.0.0.1:{port};branch=z9hG4bK{self.name}{branch};rport"),
            ("max-forwards", "70"),
            ("from", f"<sip:{self.name}@127.0.0.1>;tag={self.name}"),
            ("to", self.to),
            ("call-id", f"{self.name}@review"),
            ("cseq", f"{number} {method}"),
            ("contact", f"<sip:{self.name}@127.0.0.1:{port};transport=tcp>"),
            ("subject", "device-status"),
        ]
        return Sip(f"{method} {self.target} SIP/2.0", headers, body)

    def handle(self, message: Sip, send: Send) -> None:
        if not message.status:
            if message.method != "ACK":
                send(reply(message, 200))
            self.released |= message.method == "BYE"
        elif message.method == "INVITE" and message.status >= 200:
            cseq = message.get("cseq").split()[0]
            self.finals.setdefault(cseq, []).append((self.record.now(), message.status))
            if message.status < 300:
                self.to = message.get("to")
                self.target = message.get("contact").strip("<>")
                send(self.request("ACK", int(cseq), f"ack{cseq}"))
            else:
                send(self.request("ACK", int(cseq), f"invite{cseq}"))

    def wait_final(self, cseq: str, seconds: float) -> bool:
        deadline = time.monotonic() + seconds
        while cseq not in self.finals and time.monotonic() < deadline:
            time.sleep(0.02)
        return cseq in self.finals


def call_during_set_up(record: Record, port: int, name: str) -> list[str]:
    """The connection ends while the hub rings (an early dialog): the INVITE is owed one final answer."""
    caller = Caller(record, port, name)
    line = caller.connect()
    line.send(caller.request("INVITE", 1, "invite1", SDP))
    time.sleep(CLOSE_S)
    if common.TROUBLE:
        line.close()
    return check(caller, "1")


def call_during_reinvite(record: Record, port: int, name: str) -> list[str]:
    """The connection is reset during a re-INVITE of a call that stands: it is owed one final answer too."""
    caller = Caller(record, port, name)
    line = caller.connect()
    line.send(caller.request("INVITE", 1, "invite1", SDP))
    if not caller.wait_final("1", PATIENCE_S):
        return [f"{name}: the first INVITE, before any disruption, had no answer"]
    time.sleep(0.2)
    line.send(caller.request("INVITE", 2, "invite2", SDP))
    time.sleep(CLOSE_S)
    if common.TROUBLE:
        line.reset()
    return check(caller, "2")


def check(caller: Caller, cseq: str) -> list[str]:
    caller.wait_final(cseq, PATIENCE_S)
    time.sleep(0.5)
    statuses = {status for _, status in caller.finals.get(cseq, [])}
    if len(statuses) == 1:
        return []
    return [f"{caller.name}: INVITE with CSeq {cseq} got {len(statuses)} final answers, not one"]


def case(record: Record) -> int:
    hub = Hub(record)
    _, port = common.start_sip_front(record, [(1, "udp", hub.port)])
    broken: list[str] = []

    def run(part: object, name: str) -> None:
        broken.extend(part(record, port, name))  # type: ignore[operator]

    parts = [(call_during_set_up, f"caller{n}") for n in (1, 2, 3)] + [(call_during_reinvite, "caller4")]
    threads = [threading.Thread(target=run, args=part) for part in parts]
    for thread in threads:
        thread.start()
        time.sleep(0.1)
    for thread in threads:
        thread.join()
    for line in broken:
        record.add(f"BROKEN {line}")
    return common.BROKEN if broken else common.HELD


if __name__ == "__main__":
    common.main(Path(__file__).resolve().parent, case)
