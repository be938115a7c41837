"""An emulated lab hub that plays faults: slow, malformed, repeated and late answers, resets, restarts."""

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

LOAD_REPORT = ("x-state", "x0:400;x1:400;free:400;size:400;depth:0;can_take:400")
MAX_CONNECTIONS = 8
PROMPT_DELAY_S = (0.001, 0.08)
SLOW_DELAY_S = (0.1, 0.9)
RESUME_READ_S = 0.1  # after a hang: time to read what arrived during it
IN_TRANSIT_S = 0.2  # a reset may lose what was written so shortly before
MAX_UNREPORTED_RELEASES = 400
HOLD_TIME_S = (0.03, 1.5)  # how long a call stays established


@dataclass(frozen=True)
class FaultRates:
    """The share of all set-ups to which each fault applies; the rest is answered without a fault."""

    refuse: float = 0.06
    slow: float = 0.06
    unanswered: float = 0.03  # never answered
    release_before_answer: float = 0.0  # the release (BYE) is sent before the answer
    second_answer: float = 0.0  # a second answer follows some milliseconds later
    malformed: float = 0.0  # the answer is damaged
    reset: float = 0.0  # the connection is reset while the set-up is pending
    unknown_call_id: float = 0.0  # messages with a Call-ID that was never sent
    repeated_refusal: float = 0.0  # of all refusals: sent again some milliseconds later


DEFAULT_FAULT_RATES = FaultRates()
HIGH_FAULT_RATES = FaultRates(0.08, 0.08, 0.04, 0.06, 0.08, 0.03, 0.015, 0.06, 0.5)


def make_malformed(answer: bytes, rng: random.Random) -> bytes:
    """Damages an encoded answer in one of five ways."""
    head, _, body = answer.partition(b"\r\n\r\n")
    variant = rng.randrange(5)
    if variant == 0:
        return b"\x01\x02noise\r\n\r\n"
    if variant == 1:
        lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
        return b"\r\n".join(lines) + b"\r\n\r\n" + body
    if variant == 2:
        return head + b"\r\nX-Pad: " + b"p" * 17000
    if variant == 3:
        return answer[: len(answer) // 2]  # the rest is never sent
    return head.replace(b"SIP/2.0", b"SIP/9.9", 1) + b"\r\n\r\n" + body


class LabHub:
    """Answers set-ups over TCP, injects faults at the configured rates and records every attempt."""

    def __init__(
        self, loop: TrialEventLoop, rng: random.Random, observations: Observations, name: str, number: int
    ) -> None:
        self.loop, self.rng, self.observations = loop, rng, observations
        self.name, self.number, self.fault_rates = name, number, DEFAULT_FAULT_RATES
        self.connections: list[EmulatedConnection] = []
        self.attempts: dict[tuple[EmulatedConnection, str], ObservedAttempt] = {}
        self.established: dict[str, ObservedAttempt] = {}
        # Call-IDs of releases since the last connection was opened; sent again on the next one.
        self.unreported_releases: deque[str] = deque(maxlen=MAX_UNREPORTED_RELEASES)
        self.hung = False
        self.resumed_at = 0.0  # end of the last hang
        # Time of the release, connection that carried it, attempt.
        self.recent_releases: list[tuple[float, EmulatedConnection, ObservedAttempt]] = []
        self.connect_delay_s = 0.0
        self.listener: socket.socket | None = loop.listen(self._accept_after_delay)
        self.port: int = self.listener.getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    # --- connections ---

    def _accept_after_delay(self, sock: socket.socket) -> None:
        delayed = self.connect_delay_s > 0
        self.loop.call_after(self.connect_delay_s, lambda: self._accept_connection(sock, delayed))

    def _accept_connection(self, sock: socket.socket, delayed: bool) -> None:
        if delayed:  # data and a close that arrived during the delay are read only now
            self.resumed_at = time.time()
        if self.listener is None or len(self.connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        connection = EmulatedConnection(self.loop, sock, self._received, self.connection_ended)
        self.connections.append(connection)
        if self.hung:
            connection.hang(True)
            return
        self._send_load_report(connection)

    def _send_load_report(self, connection: EmulatedConnection) -> None:
        headers = ("call-id", "0" * 16), ("cseq", "1 NOTIFY"), LOAD_REPORT
        connection.send(encode(request("NOTIFY", "sip:state@net", *headers)))
        while self.unreported_releases:
            call_id = self.unreported_releases.popleft()
            connection.send(self._bye(call_id, 16))

    def connection_ended(self, connection: EmulatedConnection, outcome: str = "closed") -> None:
        """Ends all attempts of a connection that has ended."""
        if connection in self.connections:
            self.connections.remove(connection)
        for (attempt_connection, _), attempt in list(self.attempts.items()):
            if attempt_connection is connection:
                self._end_attempt(connection, attempt, outcome)

    def _end_attempt(self, connection: EmulatedConnection, attempt: ObservedAttempt, outcome: str) -> None:
        if not attempt.outcome:
            attempt.outcome, attempt.ended_at = outcome, time.time()
        self.attempts.pop((connection, attempt.call_id), None)

    def reset(self, connection: EmulatedConnection) -> None:
        """Resets the connection; releases that were just written to it are lost."""
        for at, release_connection, attempt in self.recent_releases:
            if release_connection is connection and time.time() - at < IN_TRANSIT_S:
                attempt.call_end_cause = "unreported"
        connection.close(reset=True)
        self.connection_ended(connection, "reset")

    # --- faults of the whole hub ---

    def hang(self, hung: bool) -> None:
        """Starts or ends a hang; the outcome of attempts that were pending at its start is unknown."""
        self.hung = hung
        if not hung:
            self.resumed_at = time.time()
        for connection in self.connections:
            connection.hang(hung)
        if hung:
            for attempt in self.attempts.values():
                attempt.outcome, attempt.ended_at = "unknown", time.time()
            self.attempts.clear()

    def crash(self) -> None:
        """Emulates the end of the process: connections reset, calls ended, new connections refused."""
        if self.listener is not None:
            self.loop.close_listener(self.listener)
            self.listener = None
        for connection in list(self.connections):
            self.reset(connection)
        for attempt in self.established.values():
            attempt.call_ended_at, attempt.call_end_cause = time.time(), "unreported"
        self.established.clear()
        self.hung = False

    def start(self) -> None:
        """Listens again on the same port after a crash."""
        if self.listener is None:
            self.listener = self.loop.listen(self._accept_after_delay, self.port)

    # --- messages ---

    def _received(self, connection: EmulatedConnection, message: Message) -> None:
        match message.method:
            case "OPTIONS":
                connection.send(encode(response(message, 200, LOAD_REPORT)))
            case "INVITE":
                self._invite(connection, message)
            case "CANCEL":
                attempt = self.attempts.get((connection, message.call_id))
                if attempt is not None:
                    self._end_attempt(connection, attempt, "cancelled")
            case "BYE":
                connection.send(encode(response(message, 200)))
                attempt = self.established.pop(message.call_id, None)
                if attempt is not None:
                    attempt.call_ended_at, attempt.call_end_cause = time.time(), "by the program"

    def _invite(self, connection: EmulatedConnection, message: Message) -> None:
        attempt = ObservedAttempt(message.call_id, self.name, time.time())
        attempt.arrival_uncertain = time.time() < self.resumed_at + RESUME_READ_S
        self.observations.attempts.append(attempt)
        self.attempts[connection, message.call_id] = attempt
        body = f"{self.rng.getrandbits(64):016x}\r\nc=IN IP4 10.0.0.{self.number}\r\n".encode()
        rates, remaining = self.fault_rates, self.rng.random()

        def answer() -> None:
            self._answer(connection, message, attempt, body)

        weighted_actions: list[tuple[float, Callable[[], None]]] = [
            (rates.refuse, lambda: self._refuse_after_delay(connection, message, attempt)),
            (rates.slow, lambda: self._after_random_delay(SLOW_DELAY_S, answer)),
            (rates.unanswered, lambda: None),
            (
                rates.release_before_answer,
                lambda: self._release_before_answer(connection, message, attempt, body),
            ),
            (rates.second_answer, lambda: self._answer_twice(connection, message, attempt, body)),
            (rates.malformed, lambda: self._send_malformed_answer(connection, message, body)),
            (rates.reset, lambda: self.reset(connection)),
            (rates.unknown_call_id, lambda: self._send_unknown_call_id(connection, message, attempt, body)),
        ]
        for rate, action in weighted_actions:
            if remaining < rate:
                action()
                return
            remaining -= rate
        self._after_random_delay(PROMPT_DELAY_S, answer)

    def _after_random_delay(self, delay_range_s: tuple[float, float], callback: Callable[[], None]) -> None:
        self.loop.call_after(self.rng.uniform(*delay_range_s), callback)

    def _is_pending(self, connection: EmulatedConnection, attempt: ObservedAttempt) -> bool:
        return self.attempts.get((connection, attempt.call_id)) is attempt and not connection.ended

    def _answer(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt, body: bytes
    ) -> None:
        if not self._is_pending(connection, attempt):
            return
        attempt.body = body
        self._end_attempt(connection, attempt, "answered")
        self.established[attempt.call_id] = attempt
        connection.send(encode(response(message, 200, body=body)))
        self._after_random_delay(HOLD_TIME_S, lambda: self._release(connection, attempt))

    def _release(self, connection: EmulatedConnection, attempt: ObservedAttempt) -> None:
        """Ends the call and reports it on the call's connection or, if that has ended, on another one."""
        if self.established.get(attempt.call_id) is not attempt or self.hung:
            return
        del self.established[attempt.call_id]
        attempt.call_ended_at, attempt.call_end_cause = time.time(), "released"
        release_connection: EmulatedConnection | None = connection
        if connection.ended:
            release_connection = next(iter(self.connections), None)
        self.unreported_releases.append(attempt.call_id)  # the release is also sent on the next connection
        if release_connection is None:
            attempt.call_end_cause = "unreported"
            return
        release_connection.send(self._bye(attempt.call_id, 16))
        self.recent_releases = [
            (at, c, a) for at, c, a in self.recent_releases if at > attempt.call_ended_at - IN_TRANSIT_S
        ]
        self.recent_releases.append((attempt.call_ended_at, release_connection, attempt))

    @staticmethod
    def _bye(call_id: str, cause: int) -> bytes:
        headers = ("call-id", call_id), ("cseq", "2 BYE"), ("reason", f"Q.850;cause={cause}")
        return encode(request("BYE", "sip:hub@net", *headers))

    def _refuse_after_delay(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt
    ) -> None:
        status = self.rng.choice((503, 503, 480, 486, 504))

        def refuse() -> None:
            if not self._is_pending(connection, attempt):
                return
            self._end_attempt(connection, attempt, "cancelled" if status == 504 else "refused")
            refusal = encode(response(message, status, LOAD_REPORT))
            connection.send(refusal)
            if self.rng.random() < self.fault_rates.repeated_refusal:
                self._after_random_delay((0.0, 0.02), lambda: connection.send(refusal))

        self._after_random_delay(PROMPT_DELAY_S, refuse)

    def _release_before_answer(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt, body: bytes
    ) -> None:
        """Sends the release of the call before its answer."""

        def release() -> None:
            if self._is_pending(connection, attempt):
                connection.send(self._bye(attempt.call_id, 16))
                self._after_random_delay(SLOW_DELAY_S, answer)

        def answer() -> None:
            if self._is_pending(connection, attempt):
                attempt.body = body
                self._end_attempt(connection, attempt, "answered")
                attempt.call_ended_at, attempt.call_end_cause = time.time(), "released"
                connection.send(encode(response(message, 200, body=body)))

        self._after_random_delay(PROMPT_DELAY_S, release)

    def _answer_twice(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt, body: bytes
    ) -> None:
        second_status = self.rng.choice((200, 503))

        def answer_twice() -> None:
            if not self._is_pending(connection, attempt):
                return
            self._answer(connection, message, attempt, body)
            second_response = response(
                message, second_status, body=b"0123456789abcdef\r\n" if second_status == 200 else b""
            )
            self._after_random_delay((0.0, 0.02), lambda: connection.send(encode(second_response)))

        self._after_random_delay(PROMPT_DELAY_S, answer_twice)

    def _send_malformed_answer(self, connection: EmulatedConnection, message: Message, body: bytes) -> None:
        malformed = make_malformed(encode(response(message, 200, body=body)), self.rng)
        self._after_random_delay(PROMPT_DELAY_S, lambda: connection.send(malformed))

    def _send_unknown_call_id(
        self, connection: EmulatedConnection, message: Message, attempt: ObservedAttempt, body: bytes
    ) -> None:
        unknown_call_id = f"{self.rng.getrandbits(64):016x}"
        if self.rng.random() < 0.5:
            connection.send(self._bye(unknown_call_id, 41))
        else:
            unmatched_request = request(
                "INVITE", "sip:x@net", ("call-id", unknown_call_id), ("cseq", "1 INVITE")
            )
            connection.send(
                encode(response(unmatched_request, self.rng.choice((200, 503)), body=b"stray\r\n"))
            )
        self._after_random_delay(PROMPT_DELAY_S, lambda: self._answer(connection, message, attempt, body))
