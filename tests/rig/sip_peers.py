"""SIP peers on TCP whose connections end, for the soak of the SIP front: callers and one lab hub.

They keep the rules of RFC 3261 that the front relies on: a response goes on the connection of its request,
else on a new one to the address in Via, and a 2xx is sent again until its ACK.
"""

from __future__ import annotations

import random
import select
import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from landingdeal.sip.address import parse_name_addr, top_via
from landingdeal.sip.message import Framer, Message, encode, request, response

Send = Callable[[Message], None]
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger
POLL_S = 0.02
RETRANSMIT_S = (0.05, 0.1, 0.2, 0.4, 0.4, 0.4)  # of a 2xx that has no ACK


class Connection:
    """One TCP connection, read by a thread of its own."""

    def __init__(self, sock: socket.socket, peer: TcpPeer) -> None:
        self.sock, self.peer, self.alive = sock, peer, True
        peer.connections.append(self)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        framer = Framer()
        with suppress(OSError):
            while data := self.sock.recv(65536):
                for message in framer.feed(data):
                    if isinstance(message, Message):
                        self.peer.on_message(message, self)
        self.alive = False

    def put(self, message: Message) -> bool:
        """Writes a message; False if the connection has ended."""
        if not self.alive:
            return False
        try:
            self.sock.sendall(encode(message))
        except OSError:
            self.alive = False
        return self.alive

    def end(self, reset: bool) -> None:
        self.alive = False
        with suppress(OSError):
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.sock.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
        self.sock.close()


class TcpPeer:
    """A peer that listens on a port, unless it is cut off: then connections to it never come up."""

    def __init__(self) -> None:
        self.connections: list[Connection] = []
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.server.getsockname()[1]
        self.cut_off = self.closed = False
        self.accepting = threading.Lock()
        self.fillers: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError, ValueError):
            while not self.closed:
                self._has_waiting(POLL_S)
                with self.accepting:
                    if not self.cut_off and self._has_waiting():
                        Connection(self.server.accept()[0], self)
                if self.cut_off:
                    time.sleep(POLL_S)

    def _has_waiting(self, within_s: float = 0.0) -> bool:
        """Whether a connection waits in the accept queue, or comes in time."""
        poll = select.poll()  # not select(), which takes no descriptor over 1023
        poll.register(self.server, select.POLLIN)
        return bool(poll.poll(within_s * 1000))

    def on_message(self, message: Message, connection: Connection) -> None:
        raise NotImplementedError

    def end_connections(self, reset: bool) -> None:
        for connection in list(self.connections):
            connection.end(reset)
        self.connections.clear()

    def cut(self) -> None:
        """Ends all connections and fills the accept queue; what came up meanwhile is reset unread."""
        with self.accepting:
            self.cut_off = True
        self.server.listen(0)  # the accept queue takes one connection
        while not self._fill_accept_queue():
            self._reset_accept_queue()
        self.end_connections(reset=True)

    def _fill_accept_queue(self) -> bool:
        """Takes the free place of the accept queue; False if another connection has it."""
        filler = socket.socket()
        filler.settimeout(POLL_S)
        try:
            filler.connect(("127.0.0.1", self.port))
        except TimeoutError:
            filler.close()
            return False
        self.fillers.append(filler)
        return True

    def _reset_accept_queue(self) -> None:
        while self._has_waiting():
            sock, _ = self.server.accept()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()

    def heal(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.server.listen(64)
        self.cut_off = False

    def close(self) -> None:
        self.closed = True
        self.end_connections(reset=False)
        self.server.close()

    def respond(self, connection: Connection, message: Message) -> None:
        """Sends a response on the connection of its request, else on a new one to the address in Via."""
        if not connection.put(message):
            via = top_via(message.get_all("via"))
            with suppress(OSError):
                Connection(socket.create_connection((via.host, via.port), timeout=1.0), self).put(message)


@dataclass
class HubCall:
    """What the hub has seen and done of one set-up."""

    name: str
    received_s: float
    answered: int = 0
    acknowledged: bool = False
    ended: bool = False


class SoakHub(TcpPeer):
    """Rings, then answers or refuses; what it does with a call follows from the call's name and the seed."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.seed = seed
        self.calls: dict[str, HubCall] = {}

    def on_message(self, message: Message, connection: Connection) -> None:
        call = self.calls.get(message.call_id)
        if message.status:
            return
        if message.method == "ACK":
            if call is not None:
                call.acknowledged = True
        elif message.method == "INVITE" and call is None:
            self._set_up(message, connection)
        elif message.method == "INVITE":
            self.respond(connection, self._answer(message))
        else:
            self.respond(connection, response(message, 200))
            if call is not None and message.method in ("BYE", "CANCEL"):
                self._end(call, message, connection)

    def _set_up(self, invite: Message, connection: Connection) -> None:
        name = invite.body.partition(b"s=")[2].partition(b"\r\n")[0].decode()
        draw = random.Random(f"{self.seed} {invite.call_id[-1]} {name}")
        call = self.calls[invite.call_id] = HubCall(name, time.monotonic())
        self.respond(connection, tagged(response(invite, 180, self._contact())))
        status = draw.choices((200, 486, 503), (8, 1, 1))[0]

        def answer() -> None:
            if not call.answered:
                call.answered = status
                final = self._answer(invite) if status == 200 else tagged(response(invite, status))
                self._send_final(call, connection, final)

        threading.Timer(draw.uniform(0.005, 0.3), answer).start()

    def _send_final(self, call: HubCall, connection: Connection, final: Message) -> None:
        self.respond(connection, final)
        for pause_s in RETRANSMIT_S if final.status < 300 else ():
            time.sleep(pause_s)
            if call.acknowledged or self.closed:
                break
            self.respond(connection, final)

    def _end(self, call: HubCall, message: Message, connection: Connection) -> None:
        if message.method == "BYE":
            call.ended = True
        elif not call.answered:
            call.answered, call.ended = 487, True

    def _contact(self) -> tuple[str, str]:
        return "contact", f"<sip:hub@127.0.0.1:{self.port};transport=tcp>"

    def _answer(self, invite: Message) -> Message:
        return tagged(response(invite, 200, self._contact(), ("content-type", "application/sdp"),
                               body=invite.body))  # fmt: skip


def tagged(message: Message) -> Message:
    """Adds the tag of the answerer to To, where there is none."""
    headers = tuple(
        (name, f"{value};tag=peer" if name == "to" and ";tag=" not in value else value)
        for name, value in message.headers
    )
    return Message(status=message.status, reason_phrase=message.reason_phrase, headers=headers,
                   body=message.body)  # fmt: skip


@dataclass
class SoakCall:
    """One call of a caller: the final answers to each INVITE by CSeq, and when the first one came."""

    call_id: str
    to: str
    target: str
    received: set[int] = field(default_factory=set)  # CSeq of the INVITEs that have any response
    finals: dict[int, set[int]] = field(default_factory=dict)
    refused_s: float = 0.0
    released: bool = False
    changed: threading.Event = field(default_factory=threading.Event)


class SoakCaller(TcpPeer):
    """A caller that is always reachable, on connections that may end at any time."""

    def __init__(self, front_port: int, with_rport: bool) -> None:
        super().__init__()
        self.front_port, self.rport = front_port, ";rport" if with_rport else ""
        self.calls: dict[str, SoakCall] = {}
        self.line: Connection | None = None

    def new_call(self, name: str) -> SoakCall:
        target = f"sip:1000@127.0.0.1:{self.front_port}"
        call = self.calls[name] = SoakCall(name, f"<{target}>", target)
        return call

    def _via(self, call: SoakCall, branch: str) -> str:
        return f"SIP/2.0/TCP 127.0.0.1:{self.port}{self.rport};branch=z9hG4bK{call.call_id}{branch}"

    def send(self, call: SoakCall, method: str, number: int, *headers: tuple[str, str]) -> None:
        """Sends a request on the current connection, or on a new one."""
        branch_method = "INVITE" if method == "CANCEL" else method
        via = self._via(call, f"{branch_method}{number}")
        body = f"v=0\r\ns={call.call_id}\r\n".encode() if method == "INVITE" else b""
        message = request(
            method, call.target, ("via", via), ("max-forwards", "70"),
            ("from", f"<sip:{call.call_id}@127.0.0.1>;tag=c"), ("to", call.to), ("call-id", call.call_id),
            ("cseq", f"{number} {method}"),
            ("contact", f"<sip:caller@127.0.0.1:{self.port};transport=tcp>"), *headers, body=body,
        )  # fmt: skip
        if self.line is None or not self.line.put(message):
            self.line = Connection(socket.create_connection(("127.0.0.1", self.front_port)), self)
            self.line.put(message)

    def on_message(self, message: Message, connection: Connection) -> None:
        call = self.calls.get(message.call_id)
        if call is None:
            return
        if not message.status:
            if message.method != "ACK":
                self.respond(connection, tagged(response(message, 200)))
                call.released |= message.method == "BYE"
                call.changed.set()
            return
        number, method = message.cseq
        if method == "INVITE":
            call.received.add(number)
            call.changed.set()
        if method != "INVITE" or message.status < 200:
            return
        if message.status < 300:
            call.to = message.get("to")
            call.target = parse_name_addr(message.get("contact")).uri
        elif not call.refused_s:
            call.refused_s = time.monotonic()
        self._acknowledge(call, message, number, connection)
        call.finals.setdefault(number, set()).add(message.status)
        call.changed.set()

    def _acknowledge(self, call: SoakCall, final: Message, number: int, connection: Connection) -> None:
        branch = "ACK" if final.status < 300 else "INVITE"
        via = self._via(call, f"{branch}{number}")
        connection.put(request("ACK", call.target, ("via", via), ("max-forwards", "70"),
            ("from", f"<sip:{call.call_id}@127.0.0.1>;tag=c"), ("to", final.get("to")),
            ("call-id", call.call_id), ("cseq", f"{number} ACK")))  # fmt: skip
