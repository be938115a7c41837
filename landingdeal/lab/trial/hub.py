"""An emulated lab hub with its faults: slow, spoilt, doubled and overtaken answers, resets, restarts."""

from __future__ import annotations

import random
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from landingdeal.lab.trial.loop import EmulatedConnection, TrialEventLoop
from landingdeal.lab.trial.rules import Observations, ObservedAttempt
from landingdeal.sip.message import Message, encode, request, response

REPORT = ("x-state", "x0:400;x1:400;free:400;size:400;depth:0;can_take:400")
CONNECTIONS_MOST = 8
PROMPT_S = (0.001, 0.08)
SLOW_S = (0.1, 0.9)
RESUMING_S = 0.1  # after a hang, for what has come meanwhile to be read
UNDER_WAY_S = 0.2
UNTOLD_MOST = 400
HOLD_S = (0.03, 1.5)  # how long a call stands


@dataclass(frozen=True)
class Faults:
    """How often, of all set-ups, each fault is played; what is left is answered well."""

    refuse: float = 0.06
    slow: float = 0.06
    mute: float = 0.03  # never answered
    overtaken: float = 0.0  # the release comes before the answer
    doubled: float = 0.0  # a second answer some milliseconds later
    spoilt: float = 0.0
    reset: float = 0.0  # the connection, under the set-up
    stray: float = 0.0  # messages under ids that nobody sent
    refused_twice: float = 0.0  # of the refusals: the same again some milliseconds later


CALM = Faults()
ROUGH = Faults(0.08, 0.08, 0.04, 0.06, 0.08, 0.03, 0.015, 0.06, 0.5)


def spoil(answer: bytes, rng: random.Random) -> bytes:
    head, _, body = answer.partition(b"\r\n\r\n")
    kind = rng.randrange(5)
    if kind == 0:
        return b"\x01\x02noise\r\n\r\n"
    if kind == 1:
        lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
        return b"\r\n".join(lines) + b"\r\n\r\n" + body
    if kind == 2:
        return head + b"\r\nX-Pad: " + b"p" * 17000
    if kind == 3:
        return answer[: len(answer) // 2]  # the rest never comes
    return head.replace(b"SIP/2.0", b"SIP/9.9", 1) + b"\r\n\r\n" + body


class Hub:
    def __init__(
        self, loop: TrialEventLoop, rng: random.Random, observations: Observations, name: str, number: int
    ) -> None:
        self.loop, self.rng, self.observations = loop, rng, observations
        self.name, self.number, self.faults = name, number, CALM
        self.connections: list[EmulatedConnection] = []
        self.attempts: dict[tuple[EmulatedConnection, str], ObservedAttempt] = {}
        self.standing: dict[str, ObservedAttempt] = {}
        self.untold: deque[str] = deque(maxlen=UNTOLD_MOST)  # released since the last connection came up
        self.hung = False
        self.resumed_at = 0.0  # when it last came out of a hang
        self.released: list[
            tuple[float, EmulatedConnection, ObservedAttempt]
        ] = []  # lately, and on which connection
        self.connect_delay_s = 0.0
        self.listener: socket.socket | None = loop.listen(self._accepted)
        self.port: int = self.listener.getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    # --- connections ---

    def _accepted(self, sock: socket.socket) -> None:
        late = self.connect_delay_s > 0
        self.loop.call_after(self.connect_delay_s, lambda: self._open(sock, late))

    def _open(self, sock: socket.socket, late: bool) -> None:
        if late:  # what has come on it by now is read only now, and so is its end
            self.resumed_at = time.time()
        if self.listener is None or len(self.connections) >= CONNECTIONS_MOST:
            sock.close()
            return
        connection = EmulatedConnection(self.loop, sock, self._message, self.ended)
        self.connections.append(connection)
        if self.hung:
            connection.hang(True)
            return
        self._greet(connection)

    def _greet(self, connection: EmulatedConnection) -> None:
        headers = ("call-id", "0" * 16), ("cseq", "1 NOTIFY"), REPORT
        connection.send(encode(request("NOTIFY", "sip:state@net", *headers)))
        while self.untold:
            call = self.untold.popleft()
            connection.send(self._bye(call, 16))

    def ended(self, connection: EmulatedConnection, how: str = "closed") -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        for (on, _), attempt in list(self.attempts.items()):
            if on is connection:
                self._end(connection, attempt, how)

    def _end(self, connection: EmulatedConnection, attempt: ObservedAttempt, how: str) -> None:
        if not attempt.outcome:
            attempt.outcome, attempt.ended_at = how, time.time()
        self.attempts.pop((connection, attempt.call_id), None)

    def reset(self, connection: EmulatedConnection) -> None:
        """What is still under way is lost with it."""
        for at, on, attempt in self.released:
            if on is connection and time.time() - at < UNDER_WAY_S:
                attempt.call_end_cause = "hub failed"
        connection.close(reset=True)
        self.ended(connection, "reset")

    # --- faults of the whole hub ---

    def hang(self, hung: bool) -> None:
        self.hung = hung
        if not hung:
            self.resumed_at = time.time()
        for connection in self.connections:
            connection.hang(hung)
        if hung:
            for attempt in self.attempts.values():
                attempt.outcome, attempt.ended_at = "unknown", time.time()
            self.attempts.clear()

    def die(self) -> None:
        """The process ends: connections are reset, its calls are over, connects are refused."""
        if self.listener is not None:
            self.loop.close_listener(self.listener)
            self.listener = None
        for connection in list(self.connections):
            self.reset(connection)
        for attempt in self.standing.values():
            attempt.call_ended_at, attempt.call_end_cause = time.time(), "hub failed"
        self.standing.clear()
        self.hung = False

    def start(self) -> None:
        if self.listener is None:
            self.listener = self.loop.listen(self._accepted, self.port)

    # --- messages ---

    def _message(self, connection: EmulatedConnection, message: Message) -> None:
        match message.method:
            case "OPTIONS":
                connection.send(encode(response(message, 200, REPORT)))
            case "INVITE":
                self._invite(connection, message)
            case "CANCEL":
                attempt = self.attempts.get((connection, message.call_id))
                if attempt is not None:
                    self._end(connection, attempt, "cancelled")
            case "BYE":
                connection.send(encode(response(message, 200)))
                attempt = self.standing.pop(message.call_id, None)
                if attempt is not None:
                    attempt.call_ended_at, attempt.call_end_cause = time.time(), "by the program"

    def _invite(self, connection: EmulatedConnection, message: Message) -> None:
        attempt = ObservedAttempt(message.call_id, self.name, time.time())
        attempt.arrival_uncertain = time.time() < self.resumed_at + RESUMING_S
        self.observations.attempts.append(attempt)
        self.attempts[connection, message.call_id] = attempt
        body = f"{self.rng.getrandbits(64):016x}\r\nc=IN IP4 10.0.0.{self.number}\r\n".encode()
        faults, chance = self.faults, self.rng.random()

        def answer() -> None:
            self._answer(connection, message, attempt, body)

        plays: list[tuple[float, Callable[[], None]]] = [
            (faults.refuse, lambda: self._refuse(connection, message, attempt)),
            (faults.slow, lambda: self._later(SLOW_S, answer)),
            (faults.mute, lambda: None),
            (faults.overtaken, lambda: self._overtaken(connection, message, attempt, body)),
            (faults.doubled, lambda: self._doubled(connection, message, attempt, body)),
            (faults.spoilt, lambda: self._spoilt(connection, message, body)),
            (faults.reset, lambda: self.reset(connection)),
            (faults.stray, lambda: self._stray(connection, message, attempt, body)),
        ]
        for share, play in plays:
            if chance < share:
                play()
                return
            chance -= share
        self._later(PROMPT_S, answer)

    def _later(self, span: tuple[float, float], work: Callable[[], None]) -> None:
        self.loop.call_after(self.rng.uniform(*span), work)

    def _out(self, connection: EmulatedConnection, attempt: ObservedAttempt) -> bool:
        return self.attempts.get((connection, attempt.call_id)) is attempt and not connection.ended

    def _answer(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt, body: bytes
    ) -> None:
        if not self._out(connection, attempt):
            return
        attempt.body = body
        self._end(connection, attempt, "answered")
        self.standing[attempt.call_id] = attempt
        connection.send(encode(response(message, 200, body=body)))
        self._later(HOLD_S, lambda: self._release(connection, attempt))

    def _release(self, connection: EmulatedConnection, attempt: ObservedAttempt) -> None:
        if self.standing.get(attempt.call_id) is not attempt or self.hung:
            return
        del self.standing[attempt.call_id]
        attempt.call_ended_at, attempt.call_end_cause = time.time(), "released"
        on: EmulatedConnection | None = connection
        if connection.ended:
            on = next(iter(self.connections), None)
        self.untold.append(attempt.call_id)  # its release also goes out on the next connection
        if on is None:
            attempt.call_end_cause = "hub failed"
            return
        on.send(self._bye(attempt.call_id, 16))
        self.released = [(at, c, a) for at, c, a in self.released if at > attempt.call_ended_at - UNDER_WAY_S]
        self.released.append((attempt.call_ended_at, on, attempt))

    @staticmethod
    def _bye(call: str, cause: int) -> bytes:
        headers = ("call-id", call), ("cseq", "2 BYE"), ("reason", f"Q.850;cause={cause}")
        return encode(request("BYE", "sip:hub@net", *headers))

    def _refuse(self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt) -> None:
        status = self.rng.choice((503, 503, 480, 486, 504))

        def refuse() -> None:
            if not self._out(connection, attempt):
                return
            self._end(connection, attempt, "cancelled" if status == 504 else "refused")
            refusal = encode(response(message, status, REPORT))
            connection.send(refusal)
            if self.rng.random() < self.faults.refused_twice:
                self._later((0.0, 0.02), lambda: connection.send(refusal))

        self._later(PROMPT_S, refuse)

    def _overtaken(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt, body: bytes
    ) -> None:
        """The call has come to its end before its answer is through."""

        def release() -> None:
            if self._out(connection, attempt):
                connection.send(self._bye(attempt.call_id, 16))
                self._later(SLOW_S, answer)

        def answer() -> None:
            if self._out(connection, attempt):
                attempt.body = body
                self._end(connection, attempt, "answered")
                attempt.call_ended_at, attempt.call_end_cause = time.time(), "released"
                connection.send(encode(response(message, 200, body=body)))

        self._later(PROMPT_S, release)

    def _doubled(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt, body: bytes
    ) -> None:
        second = self.rng.choice((200, 503))

        def both() -> None:
            self._answer(connection, message, attempt, body)
            late = response(message, second, body=b"0123456789abcdef\r\n" if second == 200 else b"")
            self._later((0.0, 0.02), lambda: connection.send(encode(late)))

        self._later(PROMPT_S, both)

    def _spoilt(self, connection: EmulatedConnection, message: Message, body: bytes) -> None:
        spoilt = spoil(encode(response(message, 200, body=body)), self.rng)
        self._later(PROMPT_S, lambda: connection.send(spoilt))

    def _stray(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt, body: bytes
    ) -> None:
        nobody = f"{self.rng.getrandbits(64):016x}"
        if self.rng.random() < 0.5:
            connection.send(self._bye(nobody, 41))
        else:
            stray = request("INVITE", "sip:x@net", ("call-id", nobody), ("cseq", "1 INVITE"))
            connection.send(encode(response(stray, self.rng.choice((200, 503)), body=b"stray\r\n")))
        self._later(PROMPT_S, lambda: self._answer(connection, message, attempt, body))
