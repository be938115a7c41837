"""A stub SIP user agent: answers INVITEs over UDP and TCP as configured and counts what it receives."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import selectors
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from landingdeal.lab.ports import free_port
from landingdeal.sip.message import Framer, Message, decode_datagram, encode, request, response

Send = Callable[[Message], None]


@dataclass
class StubBehaviour:
    """How the stub answers. `refusal_status` maps a called number to a status; 0: the call is answered."""

    refusal_status: Callable[[str], int] = lambda user: 0
    ring_ms: float = 0.0
    answer_ms: float = 5.0
    hang_up_after_ms: float = -1.0  # from its answer to its own BYE; -1: it waits for the other side's BYE
    silent_after_invites: int = -1  # it ignores new INVITEs after so many; -1: none


@dataclass
class ReceivedRequests:
    """The requests that the stub received, by Call-ID."""

    invites: Counter[str] = field(default_factory=Counter)  # retransmissions included
    first_invite_at: dict[str, float] = field(default_factory=dict)  # on the monotonic clock, in seconds
    acks: Counter[str] = field(default_factory=Counter)
    byes: Counter[str] = field(default_factory=Counter)
    cancels: Counter[str] = field(default_factory=Counter)
    classes: dict[str, str] = field(default_factory=dict)  # Subject of the INVITE


class StubUserAgent:
    """A SIP user agent on a thread of its own, listening on one port for UDP and TCP."""

    def __init__(self, behaviour: StubBehaviour) -> None:
        self.behaviour, self.received = behaviour, ReceivedRequests()
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.port = free_port()
        self.udp.bind(("127.0.0.1", self.port))
        self.tcp = socket.create_server(("127.0.0.1", self.port))
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.udp, selectors.EVENT_READ, self._receive_datagram)
        self.selector.register(self.tcp, selectors.EVENT_READ, self._accept)
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_numbers = itertools.count()
        self.final_responses: dict[str, Message] = {}
        self.stopped = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stopped:
            due = self.timers[0][0] if self.timers else time.monotonic() + 0.05
            for key, _ in self.selector.select(max(min(due - time.monotonic(), 0.05), 0)):
                key.data()
            while self.timers and self.timers[0][0] <= time.monotonic():
                with contextlib.suppress(OSError):
                    heapq.heappop(self.timers)[2]()

    def _receive_datagram(self) -> None:
        data, peer = self.udp.recvfrom(65536)
        message = decode_datagram(data)
        assert isinstance(message, Message)

        def send(reply: Message) -> None:
            self.udp.sendto(encode(reply), peer)

        self._handle_request(message, send)

    def _accept(self) -> None:
        sock, _ = self.tcp.accept()
        framer = Framer()

        def on_readable() -> None:
            with contextlib.suppress(OSError):
                if data := sock.recv(65536):
                    for message in framer.feed(data):
                        assert isinstance(message, Message)
                        self._handle_request(message, lambda reply: sock.sendall(encode(reply)))
                    return
            self.selector.unregister(sock)
            sock.close()

        self.selector.register(sock, selectors.EVENT_READ, on_readable)

    def _call_after(self, ms: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (time.monotonic() + ms / 1000, next(self.timer_numbers), callback))

    def _handle_request(self, message: Message, send: Send) -> None:
        call_id, received = message.call_id, self.received
        match message.method:
            case "INVITE":
                received.invites[call_id] += 1
                if call_id in received.first_invite_at:
                    if call_id in self.final_responses:
                        send(self.final_responses[call_id])
                    return
                received.first_invite_at[call_id] = time.monotonic()
                received.classes[call_id] = message.get("subject")
                if 0 <= self.behaviour.silent_after_invites < len(received.first_invite_at):
                    return
                send(response(message, 100))
                if self.behaviour.ring_ms:
                    self._call_after(
                        self.behaviour.ring_ms, lambda: send(self._response_with_tag(message, 180))
                    )
                self._call_after(self.behaviour.answer_ms, lambda: self._send_final_response(message, send))
            case "ACK":
                received.acks[call_id] += 1
            case "BYE":
                received.byes[call_id] += 1
                send(response(message, 200))
            case "CANCEL":
                received.cancels[call_id] += 1
                send(response(message, 200))
            case "OPTIONS":
                send(response(message, 200))
            case _:
                pass

    @staticmethod
    def _response_with_tag(
        invite: Message, status: int, *extra_headers: tuple[str, str], body: bytes = b""
    ) -> Message:
        reply = response(invite, status, *extra_headers, body=body)
        headers = tuple((k, f"{v};tag=a" if k == "to" and ";tag=" not in v else v) for k, v in reply.headers)
        return Message(status=status, reason_phrase=reply.reason_phrase, headers=headers, body=body)

    def _send_final_response(self, invite: Message, send: Send) -> None:
        call_id = invite.call_id
        if self.received.cancels[call_id]:
            status = 487
        else:
            status = self.behaviour.refusal_status(invite.uri.removeprefix("sip:").partition("@")[0]) or 200
        contact = ("contact", f"<sip:answerer@127.0.0.1:{self.port}>")
        extra_headers = [contact] if status < 300 else [("retry-after", "1")] if status == 503 else []
        self.final_responses[call_id] = final_response = self._response_with_tag(
            invite, status, *extra_headers, body=invite.body if status < 300 else b""
        )
        send(final_response)
        if status < 300 and self.behaviour.hang_up_after_ms >= 0:
            self._call_after(
                self.behaviour.hang_up_after_ms, lambda: send(self._build_bye(invite, final_response))
            )

    def _build_bye(self, invite: Message, final_response: Message) -> Message:
        contact = invite.get("contact").strip("<>")
        via = f"SIP/2.0/UDP 127.0.0.1:{self.port};branch=z9hG4bK{invite.call_id}e"
        return request("BYE", contact, ("via", via),
                       ("max-forwards", "70"),
                       ("from", final_response.get("to")), ("to", final_response.get("from")),
                       ("call-id", invite.call_id), ("cseq", "1 BYE"))  # fmt: skip

    def end(self) -> None:
        """Stops the thread and closes all sockets."""
        self.stopped = True
        self.thread.join(5)
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()
