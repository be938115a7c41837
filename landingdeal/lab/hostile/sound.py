"""Sound callers at a steady rate, and what they notice."""

from __future__ import annotations

import socket
import statistics
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field

from landingdeal.lab.hostile.messages import in_dialog, set_up
from landingdeal.sip.message import Framer, Message, decode_datagram, encode, response

ANSWER_TIMEOUT_S = 3.0
T1_S = 0.5


@dataclass
class SoundCalls:
    """Calls at a steady rate over one connection, or one datagram socket; each is released soon after."""

    front: str
    transport: str
    port: int
    rate_per_s: float
    sent: dict[str, float] = field(default_factory=dict)
    answers: dict[str, tuple[float, int]] = field(default_factory=dict)
    retransmit_at: dict[str, float] = field(default_factory=dict)  # of each INVITE without a response
    retransmitted: int = 0
    connection_ended: bool = False

    def __post_init__(self) -> None:
        address = ("127.0.0.1", self.port)
        if self.transport == "udp":
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.connect(address)
        else:
            self.sock = socket.create_connection(address)
        threading.Thread(target=self._read, daemon=True).start()

    def run(self, seconds: float) -> None:
        """Sends calls for so long, then waits for the last answers."""
        start = time.monotonic()
        for number in range(int(seconds * self.rate_per_s)):
            time.sleep(max(start + number / self.rate_per_s - time.monotonic(), 0))
            self._send_set_up(f"{number:016x}")
            self._retransmit()
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while len(self.answers) < len(self.sent) and time.monotonic() < deadline:
            self._retransmit()
            time.sleep(0.02)

    def _retransmit(self) -> None:
        """Over UDP, sends each INVITE again that has no response at all (RFC 3261, timer A)."""
        if self.transport != "udp":
            return
        now = time.monotonic()
        for call, due in list(self.retransmit_at.items()):
            if now >= due:
                self.retransmit_at[call] = self.sent[call] + 2 * (due - self.sent[call]) + T1_S
                self.retransmitted += 1
                self._put(set_up(self.front, self.transport, call, user="1000"))

    def _send_set_up(self, call: str) -> None:
        self.sent[call] = time.monotonic()
        self.retransmit_at[call] = self.sent[call] + T1_S
        self._put(set_up(self.front, self.transport, call, user="1000"))

    def _put(self, data: bytes) -> None:
        with suppress(OSError):
            self.sock.sendall(data)

    def _read(self) -> None:
        framer = Framer()
        with suppress(OSError):
            while data := self.sock.recv(65536):
                messages = [decode_datagram(data)] if self.transport == "udp" else framer.feed(data)
                for message in messages:
                    if isinstance(message, Message):
                        self._handle(message)
        self.connection_ended = True

    def _handle(self, message: Message) -> None:
        self.retransmit_at.pop(message.call_id, None)
        if message.method == "BYE":
            self._put(encode(response(message, 200)))
        elif message.cseq[1] == "INVITE" and message.status >= 200:
            first = message.call_id not in self.answers
            self.answers.setdefault(message.call_id, (time.monotonic(), message.status))
            self._put(in_dialog("ACK", self.transport, message, self.port, number=1))
            if first and message.status == 200:
                self._put(in_dialog("BYE", self.transport, message, self.port, number=2))

    def summary(self) -> str:
        """How many were established, and the latency of the answers in milliseconds."""
        stood = [call for call, (_, status) in self.answers.items() if status == 200]
        latencies = sorted((self.answers[call][0] - self.sent[call]) * 1000 for call in stood) or [0.0]
        p95 = latencies[int(len(latencies) * 0.95)] if len(latencies) > 1 else latencies[0]
        return (
            f"{len(stood)} of {len(self.sent)} stood, latency p50 {statistics.median(latencies):.0f} "
            f"p95 {p95:.0f} max {latencies[-1]:.0f} ms, {self.retransmitted} retransmitted"
        )
