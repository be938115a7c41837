"""A connection that was idle during a call is reset when the release comes on it."""

from __future__ import annotations

import socket
import struct
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import common
from common import SDP, Record, Send, Sip, TcpLine, TcpServer, UdpPeer, reply

IDLE_S = 5.0  # the proxy forgets a connection that was idle for so long, as a firewall does
HOLD_S = 10.0  # a call lasts 9.9 to 12 s on average
RELEASE_LIMIT_S = 1.05  # "within 1 s of the release by the lab hub", and 50 ms
CALLS = 5


class Hub(UdpPeer):
    """Answers each INVITE at once and ends the call after HOLD_S."""

    def __init__(self, record: Record) -> None:
        self.seen: set[str] = set()
        self.released_at: dict[str, float] = {}  # by number called
        super().__init__(self.handle, record, "hub-1")

    def handle(self, message: Sip, send: Send) -> None:
        if message.status or message.method == "ACK":
            return
        if message.method != "INVITE":
            send(reply(message, 200, tag="hub"))
            return
        if message.call_id in self.seen:
            return
        self.seen.add(message.call_id)
        contact = ("contact", f"<sip:hub@127.0.0.1:{self.port}>")
        answer = reply(message, 200, contact, ("content-type", "application/sdp"), tag="hub", body=SDP)
        send(answer)
        number = message.uri.removeprefix("sip:").partition("@")[0]
        threading.Timer(HOLD_S, self.release, [number, answer, message, send]).start()

    def release(self, number: str, answer: Sip, invite: Sip, send: Send) -> None:
        headers = [
            ("via", f"SIP/2.0/UDP 127.0.0.1:{self.port};branch=z9hG4bKbye{invite.call_id}"),
            ("max-forwards", "70"),
            ("from", answer.get("to")),
            ("to", answer.get("from")),
            ("call-id", invite.call_id),
            ("cseq", "1 BYE"),
            ("reason", "Q.850;cause=16"),
        ]
        self.released_at[number] = self.record.now()
        send(Sip(f"BYE {invite.get('contact').strip('<>')} SIP/2.0", headers))


class ForgetfulProxy:
    """Passes TCP connections on. What comes on one that it has forgotten is answered by a reset."""

    def __init__(self, record: Record, target_port: int) -> None:
        self.record, self.target_port, self.port = record, target_port, common.free_port()
        self.sock = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self.sock.accept()
            far = socket.create_connection(("127.0.0.1", self.target_port))
            state = {"last": time.monotonic()}
            for source, target in ((near, far), (far, near)):
                threading.Thread(target=self._pass_on, args=(source, target, state), daemon=True).start()

    def _pass_on(self, source: socket.socket, target: socket.socket, state: dict[str, float]) -> None:
        with suppress(OSError):
            while data := source.recv(65536):
                if common.TROUBLE and time.monotonic() - state["last"] > IDLE_S:
                    lost = data.partition(b"\r\n")[0].decode()
                    self.record.add(f"proxy: resets the connection, not passed on: {lost}")
                    source.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    source.close()
                    return
                state["last"] = time.monotonic()
                target.sendall(data)


class Caller:
    """A user agent on TCP, which also listens at the address that its Via and Contact name."""

    def __init__(self, record: Record, front_port: int, proxy_port: int, number: str) -> None:
        self.record, self.front_port, self.number = record, front_port, number
        self.name = f"caller{number}"
        self.answered_at = self.released_at = 0.0
        self.server = TcpServer(self.handle, record, f"{self.name} (listening)")
        self.line = TcpLine(
            socket.create_connection(("127.0.0.1", proxy_port)), self.handle, record, self.name
        )
        self.to, self.target = (
            f"<sip:{number}@127.0.0.1:{front_port}>",
            f"sip:{number}@127.0.0.1:{front_port}",
        )

    def request(self, method: str, body: bytes = b"") -> Sip:
        headers = [
            ("via", f"SIP/2.0/TCP 127.0.0.1:{self.server.port};branch=z9hG4bK{self.name}{method}"),
            ("max-forwards", "70"),
            ("from", f"<sip:{self.name}@127.0.0.1>;tag={self.name}"),
            ("to", self.to),
            ("call-id", f"{self.name}@review"),
            ("cseq", f"1 {method}"),
            ("contact", f"<sip:{self.name}@127.0.0.1:{self.server.port};transport=tcp>"),
            ("subject", "device-status"),
        ]
        return Sip(f"{method} {self.target} SIP/2.0", headers, body)

    def handle(self, message: Sip, send: Send) -> None:
        if not message.status:
            if message.method == "BYE":
                self.released_at = self.released_at or self.record.now()
            send(reply(message, 200))
        elif message.method == "INVITE" and 200 <= message.status < 300:
            self.answered_at = self.answered_at or self.record.now()
            self.to, self.target = message.get("to"), message.get("contact").strip("<>")
            send(self.request("ACK"))


def case(record: Record) -> int:
    hub = Hub(record)
    _, port = common.start_sip_front(record, [(1, "udp", hub.port)])
    proxy = ForgetfulProxy(record, port)
    callers = []
    for number in range(1001, 1001 + CALLS):
        callers.append(Caller(record, port, proxy.port, str(number)))
        callers[-1].line.send(callers[-1].request("INVITE", SDP))
        time.sleep(0.5)
    time.sleep(HOLD_S + 8.0)
    broken = []
    for caller in callers:
        if not caller.answered_at or caller.number not in hub.released_at:
            return common.CANNOT_RUN
        released_by_hub = hub.released_at[caller.number]
        if not caller.released_at or caller.released_at > released_by_hub + RELEASE_LIMIT_S:
            told = f"{caller.released_at:.3f}" if caller.released_at else "never"
            broken.append(
                f"{caller.name}: released by the hub at {released_by_hub:.3f}, towards the caller: {told}"
            )
    for line in broken:
        record.add(f"BROKEN {line}")
    return common.BROKEN if broken else common.HELD


if __name__ == "__main__":
    common.main(Path(__file__).resolve().parent, case)
