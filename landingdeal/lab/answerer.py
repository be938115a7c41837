"""A stand-in for whoever is called: answers INVITEs over UDP and TCP as told, and counts what it sees."""

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

Put = Callable[[Message], None]


@dataclass
class Behaviour:
    """`refuse` says the status for a number called (0: it is answered). Times in milliseconds."""

    refuse: Callable[[str], int] = lambda user: 0
    ring_ms: float = 0.0
    answer_ms: float = 5.0
    ends_after_ms: float = -1.0  # its own BYE; -1: it waits for the other side's
    silent_after: int = -1  # INVITEs after which it says nothing more


@dataclass
class Seen:
    invites: Counter[str] = field(default_factory=Counter)  # by Call-ID, repeats included
    at: dict[str, float] = field(default_factory=dict)
    acks: Counter[str] = field(default_factory=Counter)
    byes: Counter[str] = field(default_factory=Counter)
    cancels: Counter[str] = field(default_factory=Counter)
    classes: dict[str, str] = field(default_factory=dict)


class Answerer:
    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour, self.seen = behaviour, Seen()
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.port = free_port()
        self.udp.bind(("127.0.0.1", self.port))
        self.tcp = socket.create_server(("127.0.0.1", self.port))
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.udp, selectors.EVENT_READ, self._datagrams)
        self.selector.register(self.tcp, selectors.EVENT_READ, self._accept)
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.finals: dict[str, Message] = {}
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

    def _datagrams(self) -> None:
        data, peer = self.udp.recvfrom(65536)
        message = decode_datagram(data)
        assert isinstance(message, Message)

        def put(made: Message) -> None:
            self.udp.sendto(encode(made), peer)

        self._message(message, put)

    def _accept(self) -> None:
        sock, _ = self.tcp.accept()
        framer = Framer()

        def ready() -> None:
            with contextlib.suppress(OSError):
                if data := sock.recv(65536):
                    for message in framer.feed(data):
                        assert isinstance(message, Message)
                        self._message(message, lambda made: sock.sendall(encode(made)))
                    return
            self.selector.unregister(sock)
            sock.close()

        self.selector.register(sock, selectors.EVENT_READ, ready)

    def _later(self, ms: float, work: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (time.monotonic() + ms / 1000, next(self.order), work))

    def _message(self, message: Message, put: Put) -> None:
        call, seen = message.call_id, self.seen
        match message.method:
            case "INVITE":
                seen.invites[call] += 1
                if call in seen.at:
                    if call in self.finals:
                        put(self.finals[call])
                    return
                seen.at[call] = time.monotonic()
                seen.classes[call] = message.get("subject")
                if 0 <= self.behaviour.silent_after < len(seen.at):
                    return
                put(response(message, 100))
                if self.behaviour.ring_ms:
                    self._later(self.behaviour.ring_ms, lambda: put(self._tagged(message, 180)))
                self._later(self.behaviour.answer_ms, lambda: self._final(message, put))
            case "ACK":
                seen.acks[call] += 1
            case "BYE":
                seen.byes[call] += 1
                put(response(message, 200))
            case "CANCEL":
                seen.cancels[call] += 1
                put(response(message, 200))
            case "OPTIONS":
                put(response(message, 200))
            case _:
                pass

    @staticmethod
    def _tagged(to: Message, status: int, *more: tuple[str, str], body: bytes = b"") -> Message:
        made = response(to, status, *more, body=body)
        headers = tuple((k, f"{v};tag=a" if k == "to" and ";tag=" not in v else v) for k, v in made.headers)
        return Message(status=status, reason_phrase=made.reason_phrase, headers=headers, body=body)

    def _final(self, invite: Message, put: Put) -> None:
        call = invite.call_id
        if self.seen.cancels[call]:
            status = 487
        else:
            status = self.behaviour.refuse(invite.uri.removeprefix("sip:").partition("@")[0]) or 200
        contact = ("contact", f"<sip:answerer@127.0.0.1:{self.port}>")
        more = [contact] if status < 300 else [("retry-after", "1")] if status == 503 else []
        self.finals[call] = made = self._tagged(
            invite, status, *more, body=invite.body if status < 300 else b""
        )
        put(made)
        if status < 300 and self.behaviour.ends_after_ms >= 0:
            self._later(self.behaviour.ends_after_ms, lambda: put(self._bye(invite, made)))

    def _bye(self, invite: Message, final: Message) -> Message:
        target = invite.get("contact").strip("<>")
        via = f"SIP/2.0/UDP 127.0.0.1:{self.port};branch=z9hG4bK{invite.call_id}e"
        return request("BYE", target, ("via", via),
                       ("max-forwards", "70"), ("from", final.get("to")), ("to", final.get("from")),
                       ("call-id", invite.call_id), ("cseq", "1 BYE"))  # fmt: skip

    def end(self) -> None:
        self.stopped = True
        self.thread.join(5)
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()
