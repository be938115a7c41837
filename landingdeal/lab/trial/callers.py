"""Emulated callers: usual ones, hasty ones, and bad ones."""

from __future__ import annotations

import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from landingdeal.lab.trial.loop import EmulatedConnection, TrialEventLoop
from landingdeal.lab.trial.rules import CLOSE_RACE_S, Observations, SetUpRequest
from landingdeal.sip.message import Message, encode, request, response

CONNECT_S = 0.5
BAD_CALLER_S = 3.0  # within which a bad caller is owed a refusal, an error or a close
BODY = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


@dataclass(frozen=True)
class Habits:
    """Shares of all set-ups that are sent so."""

    pieces: float = 0.15
    gives_up: float = 0.08
    repeats: float = 0.0  # the same set-up again on the same connection
    cut: float = 0.0  # the connection is cut just after the set-up, which goes out again on a new one
    leaves: float = 0.03  # the connection is closed with the set-up open


USUAL = Habits()
HASTY = Habits(0.3, 0.15, 0.06, 0.05, 0.04)


@dataclass
class Line:
    """One connection of the callers and what is open on it."""

    connection: EmulatedConnection
    open: dict[str, SetUpRequest] = field(default_factory=dict)
    busy: bool = False  # a set-up is being written in pieces
    heard: int = 0


class Callers:
    def __init__(
        self,
        loop: TrialEventLoop,
        rng: random.Random,
        observations: Observations,
        port: int,
        numbers: list[int],
    ) -> None:
        self.loop, self.rng, self.observations, self.port, self.numbers = (
            loop,
            rng,
            observations,
            port,
            numbers,
        )
        self.habits = USUAL
        self.deadlines_s: dict[str, float] = {}  # of each class
        self.lines: list[Line] = []
        self.lines_most = 6
        self.per_s = 80.0
        self.connecting = self.calling = True
        self.well = False
        self.sent = 0
        self.texts: dict[str, tuple[bytes, float]] = {}  # each set-up as sent, and its patience in seconds

    # --- connections ---

    def _dial(self) -> socket.socket | None:
        sock = socket.socket()
        sock.settimeout(CONNECT_S)
        try:
            sock.connect(("127.0.0.1", self.port))
        except OSError:
            sock.close()
            return None
        return sock

    def connect(self) -> Line | None:
        sock = self._dial()
        if sock is None:
            return None
        connection = EmulatedConnection(self.loop, sock, lambda _c, m: self._message(line, m),
                                lambda _c: self._ended(line), lambda _c: self._unreadable(line))  # fmt: skip
        line = Line(connection)
        self.lines.append(line)
        return line

    def _unreadable(self, line: Line) -> None:
        self.observations.add_problem("a caller got what cannot be read")
        self._ended(line)

    def _ended(self, line: Line) -> None:
        """The program closed it, or its process has ended."""
        if line in self.lines:
            self.lines.remove(line)
        now = time.time()
        for one in line.open.values():
            if one.final_responses or one.cancelled_at:
                continue
            if not one.written_at or now - one.written_at <= CLOSE_RACE_S:
                self._send_again(one)

    def _send_again(self, one: SetUpRequest) -> None:
        """Once, on a new connection; where none comes up nothing has been taken."""
        line = None if one.resent else self.connect()
        if line is None:
            one.exemption = one.exemption or ("" if one.resent else "crossed a close, and nobody listens")
            return
        one.resent = True
        self._put(line, one, pieces=1)

    def leave(self, line: Line, reset: bool = False) -> None:
        for one in line.open.values():
            one.exemption = one.exemption or "its caller left"
        line.connection.close(reset)
        if line in self.lines:
            self.lines.remove(line)

    # --- set-ups ---

    def start(self) -> None:
        self.loop.call_after(self.rng.expovariate(self.per_s), self._arrive)

    def _arrive(self) -> None:
        if not self.calling:
            return
        self.call()
        self.loop.call_after(self.rng.expovariate(self.per_s), self._arrive)

    def call(self) -> None:
        free = [line for line in self.lines if not line.busy and not line.connection.ended]
        line: Line | None = None
        if self.connecting and (len(self.lines) < self.lines_most or not free):
            line = self.connect()
        if line is None and free:
            line = self.rng.choice(free)
        if line is None:
            return
        self.set_up(line)
        if self.connecting and self.rng.random() < 0.05:
            idle = [one for one in self.lines if not one.open and not one.busy]
            if idle:
                self.leave(self.rng.choice(idle))

    def set_up(self, line: Line) -> None:
        class_name, longest = self.rng.choice(list(self.deadlines_s.items()))
        patience = longest if self.rng.random() < 0.7 else self.rng.uniform(0.05, longest)
        one = SetUpRequest(f"{self.rng.getrandbits(64):016x}")
        self.observations.requests[one.call_id] = one
        self.sent += 1
        text = encode(request(
            "INVITE", f"sip:{one.call_id}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", one.call_id),
            ("cseq", "1 INVITE"), ("subject", class_name), ("x-patience", str(int(patience * 1000))),
            ("x-facts", f"dest:{self.rng.choice(self.numbers)};width:1;via:-1"), body=BODY,
        ))  # fmt: skip
        self.texts[one.call_id] = text, patience
        pieces = self.rng.randint(2, 6) if self.rng.random() < self.habits.pieces else 1
        self._put(line, one, pieces)
        self._habit(line, one)

    def _put(self, line: Line, one: SetUpRequest, pieces: int) -> None:
        text, patience = self.texts[one.call_id]
        line.open[one.call_id] = one

        def written() -> None:
            line.busy = False
            one.written_at = time.time()
            one.deadline = one.written_at + patience

        if pieces == 1:
            line.connection.send(text, written)
            return
        line.busy = True
        line.connection.send_in_pieces(text, pieces, self.rng.uniform(0.0, 0.03), written)

    def _habit(self, line: Line, one: SetUpRequest) -> None:
        habits, chance = self.habits, self.rng.random()
        plays: list[tuple[float, Callable[[], None]]] = [
            (habits.gives_up, lambda: self._give_up(line, one)),
            (habits.repeats, lambda: self._repeat(line, one)),
            (habits.cut, lambda: self._cut(line, one)),
            (habits.leaves, lambda: self._leave_with(line, one)),
        ]
        for share, play in plays:
            if chance < share:
                self.loop.call_after(self.rng.choice((0.0, 0.002, 0.02, 0.1)), play)
                return
            chance -= share

    def _give_up(self, line: Line, one: SetUpRequest) -> None:
        if line.connection.ended or line.busy or not one.written_at or one.final_responses:
            return

        def written() -> None:
            one.cancelled_at = time.time()

        headers = ("via", "SIP/2.0/TCP peer"), ("call-id", one.call_id), ("cseq", "1 CANCEL")
        line.connection.send(encode(request("CANCEL", f"sip:{one.call_id}@net", *headers)), written)

    def _repeat(self, line: Line, one: SetUpRequest) -> None:
        if not line.connection.ended and not line.busy and one.written_at:
            line.connection.send(self.texts[one.call_id][0])

    def _cut(self, line: Line, one: SetUpRequest) -> None:
        """The network cuts the connection: its caller cannot tell that from a close that was crossed."""
        if (
            line.connection.ended
            or one.final_responses
            or not one.written_at
            or time.time() - one.written_at > CLOSE_RACE_S
        ):
            return
        others = [other for other in line.open.values() if other is not one]
        for other in others:
            other.exemption = other.exemption or "its connection was cut"
        line.connection.close(reset=self.rng.random() < 0.5)
        if line in self.lines:
            self.lines.remove(line)
        self._send_again(one)

    def _leave_with(self, line: Line, one: SetUpRequest) -> None:
        if not line.connection.ended and one.written_at and not one.final_responses:
            self.leave(line, reset=self.rng.random() < 0.5)

    # --- what comes back ---

    def _message(self, line: Line, message: Message) -> None:
        line.heard += 1
        if message.method:
            self._released(line, message)
            return
        method = message.cseq[1]
        if method == "OPTIONS":
            self.well = message.status == 200
        if method != "INVITE" or message.status < 200:
            return
        one = self.observations.requests.get(message.call_id)
        if one is None:
            self.observations.add_problem(f"an answer to {message.call_id}, which nobody sent")
            return
        line.open.pop(one.call_id, None)
        one.final_responses.append((time.time(), message.status, message.body))
        headers = ("via", "SIP/2.0/TCP peer"), ("call-id", one.call_id), ("cseq", "1 ACK")
        if not line.busy:
            line.connection.send(encode(request("ACK", f"sip:{one.call_id}@net", *headers)))

    def _released(self, line: Line, message: Message) -> None:
        if not line.busy:
            line.connection.send(encode(response(message, 200)))
        one = self.observations.requests.get(message.call_id)
        if message.method == "BYE" and one is not None:
            one.release_times.append(time.time())

    # --- tests and bad callers ---

    def test(self, line: Line) -> None:
        headers = ("call-id", "1"), ("cseq", "1 OPTIONS")
        line.connection.send(encode(request("OPTIONS", "sip:ping@net", *headers)))

    def bad(self) -> None:
        """A caller that sends what is wrong; it is owed a refusal, an error or a close."""
        sock = self._dial()
        if sock is None:
            return
        heard: list[bool] = []
        connection = EmulatedConnection(self.loop, sock, lambda _c, _m: heard.append(True),
                                lambda _c: heard.append(True), lambda _c: heard.append(True))  # fmt: skip

        def judge() -> None:
            self.observations.unanswered_bad_callers += not heard
            connection.close()

        self.loop.call_after(BAD_CALLER_S, judge)
        connection.send(self._nonsense())

    def _nonsense(self) -> bytes:
        stolen = [call for line in self.lines for call in line.open]
        kind = self.rng.randrange(7)
        if kind == 0:
            return b""
        if kind == 1:
            head = b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\n"
            return head + b"Content-Length: 90000\r\n\r\n" + b"x" * 90000
        if kind == 2:
            return b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: -4\r\n\r\n"
        if kind == 3:
            return b"\x00\xff" * 40 + b"\r\n\r\n"
        if kind == 4:
            return b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nCSe"
        if not stolen:
            return b"PUBLISH x SIP/2.0\r\nContent-Length: 0\r\n\r\n"
        text = self.texts[self.rng.choice(stolen)][0]
        return text if kind == 5 else text * 40
