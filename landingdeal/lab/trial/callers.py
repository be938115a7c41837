"""Emulated callers: well-behaved, impatient and misbehaving ones."""

from __future__ import annotations

import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from landingdeal.lab.trial.loop import EmulatedConnection, TrialEventLoop
from landingdeal.lab.trial.rules import CLOSE_RACE_S, Observations, SetUpRequest
from landingdeal.sip.message import Message, encode, request, response

CONNECT_TIMEOUT_S = 0.5
MISBEHAVING_CALLER_LIMIT_S = 3.0  # within which such a caller must get a refusal, an error or a close
BODY = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


@dataclass(frozen=True)
class BehaviourRates:
    """The share of all set-ups to which each behaviour applies."""

    in_pieces: float = 0.15  # written in several parts with pauses
    cancels: float = 0.08  # a CANCEL follows
    repeats_set_up: float = 0.0  # the same set-up is sent again on the same connection
    cuts_connection: float = 0.0  # right after the set-up, which is sent again on a new connection
    closes: float = 0.03  # the caller closes the connection while the set-up is pending


USUAL_BEHAVIOUR = BehaviourRates()
IMPATIENT_BEHAVIOUR = BehaviourRates(0.3, 0.15, 0.06, 0.05, 0.04)


@dataclass
class ClientConnection:
    """One connection from a caller to the program and the set-ups pending on it."""

    connection: EmulatedConnection
    pending: dict[str, SetUpRequest] = field(default_factory=dict)
    writing_in_pieces: bool = False  # a set-up is being written in several parts
    messages_received: int = 0


class Callers:
    """Sends set-ups to the program at random times on several connections and records the responses."""

    def __init__(
        self,
        loop: TrialEventLoop,
        rng: random.Random,
        observations: Observations,
        port: int,
        hub_numbers: list[int],
    ) -> None:
        self.loop, self.rng, self.observations, self.port, self.hub_numbers = (
            loop,
            rng,
            observations,
            port,
            hub_numbers,
        )
        self.behaviour = USUAL_BEHAVIOUR
        self.deadlines_s: dict[str, float] = {}  # by call class
        self.clients: list[ClientConnection] = []
        self.max_clients = 6
        self.set_ups_per_s = 80.0
        self.connecting = self.sending = True
        self.ready = False
        self.sent = 0
        # By Call-ID: the set-up as sent, and its X-Patience in seconds.
        self.sent_texts: dict[str, tuple[bytes, float]] = {}

    # --- connections ---

    def _open_socket(self) -> socket.socket | None:
        sock = socket.socket()
        sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sock.connect(("127.0.0.1", self.port))
        except OSError:
            sock.close()
            return None
        return sock

    def connect(self) -> ClientConnection | None:
        """Opens a connection to the program; returns None if it is refused."""
        sock = self._open_socket()
        if sock is None:
            return None
        connection = EmulatedConnection(self.loop, sock, lambda _c, m: self._received(client, m),
                                        lambda _c: self._connection_ended(client),
                                        lambda _c: self._received_unreadable(client))  # fmt: skip
        client = ClientConnection(connection)
        self.clients.append(client)
        return client

    def _received_unreadable(self, client: ClientConnection) -> None:
        self.observations.add_problem("a caller received an unreadable message")
        self._connection_ended(client)

    def _connection_ended(self, client: ClientConnection) -> None:
        """Handles a connection that the program closed or that ended with its process."""
        if client in self.clients:
            self.clients.remove(client)
        now = time.time()
        for set_up in client.pending.values():
            if set_up.final_responses or set_up.cancelled_at:
                continue
            if not set_up.written_at or now - set_up.written_at <= CLOSE_RACE_S:
                self._resend(set_up)

    def _resend(self, set_up: SetUpRequest) -> None:
        """Sends the set-up once more on a new connection; if none opens, the program took nothing."""
        client = None if set_up.resent else self.connect()
        if client is None:
            set_up.exemption = set_up.exemption or (
                "" if set_up.resent else "raced with a close, and no listener"
            )
            return
        set_up.resent = True
        self._write(client, set_up, pieces=1)

    def close(self, client: ClientConnection, reset: bool = False) -> None:
        """Closes a connection as its caller; no answer is required to what is pending on it."""
        for set_up in client.pending.values():
            set_up.exemption = set_up.exemption or "its caller closed the connection"
        client.connection.close(reset)
        if client in self.clients:
            self.clients.remove(client)

    # --- set-ups ---

    def start(self) -> None:
        """Starts to send set-ups as a Poisson process."""
        self.loop.call_after(self.rng.expovariate(self.set_ups_per_s), self._send_next)

    def _send_next(self) -> None:
        if not self.sending:
            return
        self.place_call()
        self.loop.call_after(self.rng.expovariate(self.set_ups_per_s), self._send_next)

    def place_call(self) -> None:
        """Sends a set-up on a new or an open connection, and sometimes closes an idle one."""
        available = [
            client for client in self.clients if not client.writing_in_pieces and not client.connection.ended
        ]
        client: ClientConnection | None = None
        if self.connecting and (len(self.clients) < self.max_clients or not available):
            client = self.connect()
        if client is None and available:
            client = self.rng.choice(available)
        if client is None:
            return
        self.send_set_up(client)
        if self.connecting and self.rng.random() < 0.05:
            idle = [other for other in self.clients if not other.pending and not other.writing_in_pieces]
            if idle:
                self.close(self.rng.choice(idle))

    def send_set_up(self, client: ClientConnection) -> None:
        """Sends a new set-up on this connection and applies a behaviour drawn for it."""
        class_name, deadline_s = self.rng.choice(list(self.deadlines_s.items()))
        patience_s = deadline_s if self.rng.random() < 0.7 else self.rng.uniform(0.05, deadline_s)
        set_up = SetUpRequest(f"{self.rng.getrandbits(64):016x}")
        self.observations.requests[set_up.call_id] = set_up
        self.sent += 1
        text = encode(request(
            "INVITE", f"sip:{set_up.call_id}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", set_up.call_id),
            ("cseq", "1 INVITE"), ("subject", class_name), ("x-patience", str(int(patience_s * 1000))),
            ("x-facts", f"dest:{self.rng.choice(self.hub_numbers)};width:1;via:-1"), body=BODY,
        ))  # fmt: skip
        self.sent_texts[set_up.call_id] = text, patience_s
        pieces = self.rng.randint(2, 6) if self.rng.random() < self.behaviour.in_pieces else 1
        self._write(client, set_up, pieces)
        self._apply_behaviour(client, set_up)

    def _write(self, client: ClientConnection, set_up: SetUpRequest, pieces: int) -> None:
        """Writes the set-up; its deadline counts from its last byte."""
        text, patience_s = self.sent_texts[set_up.call_id]
        client.pending[set_up.call_id] = set_up

        def on_written() -> None:
            client.writing_in_pieces = False
            set_up.written_at = time.time()
            set_up.deadline = set_up.written_at + patience_s

        if pieces == 1:
            client.connection.send(text, on_written)
            return
        client.writing_in_pieces = True
        client.connection.send_in_pieces(text, pieces, self.rng.uniform(0.0, 0.03), on_written)

    def _apply_behaviour(self, client: ClientConnection, set_up: SetUpRequest) -> None:
        behaviour, remaining = self.behaviour, self.rng.random()
        weighted_actions: list[tuple[float, Callable[[], None]]] = [
            (behaviour.cancels, lambda: self._cancel(client, set_up)),
            (behaviour.repeats_set_up, lambda: self._repeat_set_up(client, set_up)),
            (behaviour.cuts_connection, lambda: self._cut_connection(client, set_up)),
            (behaviour.closes, lambda: self._close_while_pending(client, set_up)),
        ]
        for rate, action in weighted_actions:
            if remaining < rate:
                self.loop.call_after(self.rng.choice((0.0, 0.002, 0.02, 0.1)), action)
                return
            remaining -= rate

    def _cancel(self, client: ClientConnection, set_up: SetUpRequest) -> None:
        if (
            client.connection.ended
            or client.writing_in_pieces
            or not set_up.written_at
            or set_up.final_responses
        ):
            return

        def on_written() -> None:
            set_up.cancelled_at = time.time()

        headers = ("via", "SIP/2.0/TCP peer"), ("call-id", set_up.call_id), ("cseq", "1 CANCEL")
        client.connection.send(encode(request("CANCEL", f"sip:{set_up.call_id}@net", *headers)), on_written)

    def _repeat_set_up(self, client: ClientConnection, set_up: SetUpRequest) -> None:
        if not client.connection.ended and not client.writing_in_pieces and set_up.written_at:
            client.connection.send(self.sent_texts[set_up.call_id][0])

    def _cut_connection(self, client: ClientConnection, set_up: SetUpRequest) -> None:
        """Cuts the connection. To the caller it looks like a close that raced with its set-up."""
        if (
            client.connection.ended
            or set_up.final_responses
            or not set_up.written_at
            or time.time() - set_up.written_at > CLOSE_RACE_S
        ):
            return
        other_set_ups = [other for other in client.pending.values() if other is not set_up]
        for other in other_set_ups:
            other.exemption = other.exemption or "its connection was cut"
        client.connection.close(reset=self.rng.random() < 0.5)
        if client in self.clients:
            self.clients.remove(client)
        self._resend(set_up)

    def _close_while_pending(self, client: ClientConnection, set_up: SetUpRequest) -> None:
        if not client.connection.ended and set_up.written_at and not set_up.final_responses:
            self.close(client, reset=self.rng.random() < 0.5)

    # --- received messages ---

    def _received(self, client: ClientConnection, message: Message) -> None:
        client.messages_received += 1
        if message.method:
            self._received_request(client, message)
            return
        method = message.cseq[1]
        if method == "OPTIONS":
            self.ready = message.status == 200
        if method != "INVITE" or message.status < 200:
            return
        set_up = self.observations.requests.get(message.call_id)
        if set_up is None:
            self.observations.add_problem(f"an answer to {message.call_id}, which no caller sent")
            return
        client.pending.pop(set_up.call_id, None)
        set_up.final_responses.append((time.time(), message.status, message.body))
        headers = ("via", "SIP/2.0/TCP peer"), ("call-id", set_up.call_id), ("cseq", "1 ACK")
        if not client.writing_in_pieces:
            client.connection.send(encode(request("ACK", f"sip:{set_up.call_id}@net", *headers)))

    def _received_request(self, client: ClientConnection, message: Message) -> None:
        if not client.writing_in_pieces:
            client.connection.send(encode(response(message, 200)))
        set_up = self.observations.requests.get(message.call_id)
        if message.method == "BYE" and set_up is not None:
            set_up.release_times.append(time.time())

    # --- readiness tests and misbehaving callers ---

    def send_options(self, client: ClientConnection) -> None:
        """Sends OPTIONS; a 200 in response sets `ready`."""
        headers = ("call-id", "1"), ("cseq", "1 OPTIONS")
        client.connection.send(encode(request("OPTIONS", "sip:ping@net", *headers)))

    def open_bad_connection(self) -> None:
        """Connects and sends invalid data; the program must respond with a refusal, an error or a close."""
        sock = self._open_socket()
        if sock is None:
            return
        reactions: list[bool] = []
        connection = EmulatedConnection(self.loop, sock, lambda _c, _m: reactions.append(True),
                                        lambda _c: reactions.append(True),
                                        lambda _c: reactions.append(True))  # fmt: skip

        def check_reaction() -> None:
            self.observations.unanswered_misbehaving_callers += not reactions
            connection.close()

        self.loop.call_after(MISBEHAVING_CALLER_LIMIT_S, check_reaction)
        connection.send(self._invalid_data())

    def _invalid_data(self) -> bytes:
        """Draws invalid data, or a copy of a set-up that is pending on another connection."""
        pending_call_ids = [call_id for client in self.clients for call_id in client.pending]
        variant = self.rng.randrange(7)
        if variant == 0:
            return b""
        if variant == 1:
            head = b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\n"
            return head + b"Content-Length: 90000\r\n\r\n" + b"x" * 90000
        if variant == 2:
            return b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: -4\r\n\r\n"
        if variant == 3:
            return b"\x00\xff" * 40 + b"\r\n\r\n"
        if variant == 4:
            return b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nCSe"
        if not pending_call_ids:
            return b"PUBLISH x SIP/2.0\r\nContent-Length: 0\r\n\r\n"
        text = self.sent_texts[self.rng.choice(pending_call_ids)][0]
        return text if variant == 5 else text * 40
