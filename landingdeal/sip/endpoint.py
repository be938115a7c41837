"""The user agent's lower half: transactions are found or made here, and what belongs to none is answered.

Runs in the front's one thread; `received` and `flow_ended` are called from readers' threads and only post.
"""

from __future__ import annotations

import ipaddress
import random
from collections.abc import Callable
from dataclasses import replace

from landingdeal.core.lifecycle import Lifecycle
from landingdeal.sip.address import (
    MAGIC,
    BadAddress,
    Via,
    parse_name_addr,
    parse_uri,
    parse_via,
    split_top,
    top_via,
)
from landingdeal.sip.call import SipConfig
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.loop import Loop, Work
from landingdeal.sip.message import MalformedMessage, Message, response
from landingdeal.sip.transaction import ClientTransaction, Flow, ServerTransaction, Transaction
from landingdeal.sip.transport import Received, Tap, TcpFlow, Transports

TRANSACTIONS_MOST = 8192

OnResponse = Callable[[Message], None]


class ReplyFlow:
    """Where responses go: the request's connection, else a new one to the address in its Via (18.2.2)."""

    def __init__(self, endpoint: Endpoint, received: Received, via: Via) -> None:
        self.endpoint, self.first = endpoint, received.flow
        self.host = received.host
        self.port = received.port if "rport" in via.params else via.port
        self.kind, self.reliable = received.flow.kind, received.flow.reliable
        self.alive = self.was_up = True
        self.spare: Flow | None = None

    def send(self, message: Message) -> None:
        if not self.reliable:
            self.endpoint.transports.to("UDP", self.host, self.port).send(message)
        elif self.first.alive:
            self.first.send(message)
        else:
            self.spare = self.endpoint.transports.to("TCP", self.host, self.port)
            self.spare.send(message)


class Endpoint:
    """`new_request`, `new_ack`, `server_over` and `flow_lost` are the upper half's."""

    def __init__(self, config: SipConfig, seed: int, life: Lifecycle, tap: Tap | None = None) -> None:
        self.config = config
        self.timing = config.timing
        self.random = random.Random(seed)
        self.loop = Loop()
        self.transports = Transports(config.host, config.port, self.received, self.flow_ended, life, tap)
        self.servers: dict[str, ServerTransaction] = {}
        self.clients: dict[str, ClientTransaction] = {}
        self.strays = 0

    def new_request(self, transaction: ServerTransaction, key: str, to_tag: str, flow: Flow) -> None:
        raise NotImplementedError

    def new_ack(self, message: Message, key: str, flow: Flow) -> None:
        raise NotImplementedError

    def server_over(self, key: str) -> None:
        raise NotImplementedError

    def flow_lost(self, flow: Flow) -> None:
        raise NotImplementedError

    # --- what transactions need (Layer) ---

    def at(self, deadline_ms: float, work: Work) -> None:
        self.loop.at(deadline_ms, work)

    def now(self) -> float:
        return self.loop.now()

    def over(self, transaction: Transaction) -> None:
        if isinstance(transaction, ServerTransaction):
            self.servers.pop(transaction.key, None)
            self.server_over(transaction.key)
        else:
            self.clients.pop(transaction.key, None)

    # --- from readers' threads ---

    def received(self, received: Received) -> None:
        if self.loop.room():
            self.loop.post(lambda: self._received(received))
        elif isinstance(received.flow, TcpFlow) and received.flow.link is not None:
            received.flow.link.close()  # guards the memory: a stream can't lose one message

    def flow_ended(self, flow: TcpFlow) -> None:
        self.loop.post(lambda: self.flow_lost(flow))

    # --- making messages ---

    def _tag(self) -> str:
        return f"{self.random.getrandbits(48):012x}"

    def _via(self, flow: Flow) -> str:
        branch = f"{MAGIC}{self.random.getrandbits(64):016x}"
        return f"SIP/2.0/{flow.kind} {self.config.host}:{self.config.port};branch={branch};rport"

    def _contact(self, flow: Flow) -> tuple[str, str]:
        suffix = ";transport=tcp" if flow.kind == "TCP" else ""
        return "contact", f"<sip:landingdeal@{self.config.host}:{self.config.port}{suffix}>"

    def _reply(
        self, to: Message, status: int, *more: tuple[str, str], tag: str = "", body: bytes = b""
    ) -> Message:
        """A response; each but 100 gets a To tag (8.2.6.2)."""
        made = response(to, status, *more, body=body)
        if status == 100:
            return made
        headers = tuple(
            (k, f"{v};tag={tag or self._tag()}" if k == "to" and ";tag=" not in v.lower() else v)
            for k, v in made.headers
        )
        return replace(made, headers=headers)

    # --- taking messages ---

    def _received(self, received: Received) -> None:
        message = received.message
        if isinstance(message, MalformedMessage):
            self._malformed(received, message)
        elif message.status:
            self._response(message)
        else:
            self._request(received, message)

    def _malformed(self, received: Received, malformed: MalformedMessage) -> None:
        message = malformed.message
        if not message.status and message.method not in ("", "ACK"):
            status = 505 if malformed.problem == "version" else 400
            reply = self._reply(message, status)
            received.flow.send(replace(reply, reason_phrase=f"{reply.reason_phrase} ({malformed.problem})"))

    def _response(self, message: Message) -> None:
        try:
            branch = top_via(message.get_all("via")).branch
        except BadAddress:
            branch = ""
        transaction = self.clients.get(f"{branch}|{message.cseq[1]}")
        if transaction is None:
            self.strays += 1  # late, or not ours
        else:
            transaction.received(message)

    def _request(self, received: Received, message: Message) -> None:
        try:
            first, *others = split_top(message.get("via"), ",")
            via = parse_via(first)
            sender, target = parse_name_addr(message.get("from")), parse_name_addr(message.get("to"))
            if not sender.uri or not target.uri or not sender.tag and via.branch.startswith(MAGIC):
                raise BadAddress("From or To")
            hops = message.get("max-forwards", "70").strip()
            if not (hops.isascii() and hops.isdecimal() and int(hops) <= 255):
                raise BadAddress("Max-Forwards")
        except BadAddress as error:
            self._malformed(received, MalformedMessage(str(error), message))
            return
        marked = first.strip()
        if via.host != received.host:
            marked += f";received={received.host}"
        if "rport" in via.params and not via.params["rport"]:
            marked = marked.replace(";rport", f";rport={received.port}", 1)
        top = ", ".join([marked, *(other.strip() for other in others)])
        index = next(n for n, (k, _) in enumerate(message.headers) if k == "via")
        headers = (*message.headers[:index], ("via", top), *message.headers[index + 1 :])
        message = replace(message, headers=headers)
        key = self._key(message, via, sender.tag)
        flow = ReplyFlow(self, received, via)
        if message.method == "ACK":
            self.new_ack(message, key, received.flow)
            return
        known = self.servers.get(f"{key}|{message.method}")
        if known is not None:
            known.retransmitted()
            return
        if len(self.servers) >= TRANSACTIONS_MOST:
            flow.send(self._reply(message, 503, ("retry-after", "2")))
            return
        transaction = ServerTransaction(self, flow, message, f"{key}|{message.method}")
        self.servers[transaction.key] = transaction
        self.new_request(transaction, key, target.tag, received.flow)

    @staticmethod
    def _key(message: Message, via: Via, from_tag: str) -> str:
        """What makes requests one transaction (17.2.3); without the cookie, what RFC 2543 went by."""
        if via.branch.startswith(MAGIC):
            return f"{via.branch}|{via.host}:{via.port}"
        return f"{message.call_id}|{from_tag}|{message.cseq[0]}|{via.host}:{via.port}|{message.uri}"

    # --- sending ---

    def _client(self, flow: Flow, made: Message, on_response: OnResponse) -> ClientTransaction:
        branch = parse_via(made.get("via")).branch
        transaction = ClientTransaction(self, flow, made, f"{branch}|{made.method}", on_response)
        self.clients[transaction.key] = transaction
        transaction.start()
        if not flow.alive:
            self.loop.post(transaction.failed)
        return transaction

    def _flow_for(self, dialog: Dialog) -> Flow:
        """TCP: the dialog's connection while it lives; else the next hop's address, always an IP address."""
        if dialog.flow.reliable and dialog.flow.alive:
            return dialog.flow
        try:
            uri = parse_uri(dialog.next_hop())
            ipaddress.IPv4Address(uri.host)  # guards this thread against the look-up of a name
        except (BadAddress, ValueError):
            return dialog.flow
        reliable = dialog.flow.reliable or uri.transport == "tcp"
        flow = self.transports.to("TCP" if reliable else "UDP", uri.host, uri.port)
        if reliable:
            dialog.flow = flow
        return flow
