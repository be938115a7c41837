"""The transaction layer (RFC 3261, chapter 17): matches messages to transactions, or starts new ones.

Runs in the thread of the SIP front; `message_received` and `flow_ended` are called in reader threads and
only post work to it.
"""

from __future__ import annotations

import contextlib
import hashlib
import ipaddress
import random
from collections.abc import Callable
from dataclasses import replace

from landingdeal.core.lifecycle import Lifecycle
from landingdeal.core.pending_send import PendingSend
from landingdeal.sip.address import (
    MAGIC_COOKIE,
    AddressError,
    Via,
    parse_name_addr,
    parse_uri,
    parse_via,
    top_via,
)
from landingdeal.sip.backlog import ReceiveBacklog
from landingdeal.sip.call import SipConfig
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.loop import EventLoop, ScheduledWork, Work
from landingdeal.sip.message import MalformedMessage, Message, response
from landingdeal.sip.response_flow import ResponseFlow, with_source_address
from landingdeal.sip.transaction import ClientTransaction, Flow, ServerTransaction, Transaction
from landingdeal.sip.transaction_limits import TransactionLimits, TransactionShare
from landingdeal.sip.transport import ReceivedMessage, Tap, TcpFlow, TransportLayer

ResponseHandler = Callable[[Message], None]


class TransactionLayer:
    """Base of a user agent; the transaction user implements the methods that raise NotImplementedError."""

    def __init__(self, config: SipConfig, seed: int, lifecycle: Lifecycle, tap: Tap | None = None) -> None:
        self.config = config
        self.timing = config.timing
        self.random = random.Random(seed)
        self.tag_key = self.random.randbytes(16)
        self.event_loop = EventLoop()
        self.backlog: ReceiveBacklog[ReceivedMessage | TcpFlow] = ReceiveBacklog()
        self.transport_layer = TransportLayer(
            config.host,
            config.port,
            self.message_received,
            self.flow_ended,
            lifecycle,
            tap,
            frozenset((hub.transport, hub.host, hub.port) for hub in config.hubs),
        )
        self.server_transactions: dict[str, ServerTransaction] = {}
        self.transaction_limits = TransactionLimits()
        self.client_transactions: dict[str, ClientTransaction] = {}
        self.unmatched_responses = 0

    def new_request(self, transaction: ServerTransaction, branch_key: str, to_tag: str, flow: Flow) -> None:
        """Handles a request that is not a retransmission; called for every method but ACK."""
        raise NotImplementedError

    def new_ack(self, message: Message, branch_key: str, flow: Flow) -> None:
        """Handles any ACK, of a 2xx or of another final response."""
        raise NotImplementedError

    def server_transaction_terminated(self, key: str) -> None:
        """Called when a server transaction has ended."""
        raise NotImplementedError

    def flow_lost(self, flow: Flow) -> None:
        """Called when a connection has ended or could not be made."""
        raise NotImplementedError

    # --- TransactionServices ---

    def schedule_at(self, deadline_ms: float, work: Work) -> ScheduledWork:
        return self.event_loop.schedule_at(deadline_ms, work)

    def now(self) -> float:
        return self.event_loop.now()

    def request_dropped(self, transaction: Transaction) -> None:
        self.transaction_limits.request_dropped(transaction.key)

    def transaction_terminated(self, transaction: Transaction) -> None:
        if isinstance(transaction, ServerTransaction):
            self.server_transactions.pop(transaction.key, None)
            self.transaction_limits.remove(transaction.key)
            self.server_transaction_terminated(transaction.key)
        else:
            self.client_transactions.pop(transaction.key, None)

    # --- called in reader threads ---

    def message_received(self, received: ReceivedMessage) -> None:
        """Queues a message for the event loop; a reader of a connection waits until there is room for it."""
        source, size = (received.host, received.port), received.size
        if received.is_from_hub and self.backlog.try_put_from_hub(received, size):
            pass
        elif not received.may_be_dropped:
            self.backlog.put(source, received, size)
        elif not self.backlog.try_put(source, received, size):
            return
        self.event_loop.post(self._handle_next_received)

    def flow_ended(self, flow: TcpFlow) -> None:
        """Queues the end of a connection behind the messages that came on it."""
        self.backlog.put_last((flow.host, flow.port), flow, self.transport_layer.is_to_hub(flow))
        self.event_loop.post(self._handle_next_received)

    # --- making messages ---

    def _new_tag(self) -> str:
        return f"{self.random.getrandbits(48):012x}"

    def _derived_tag(self, answered_request: Message) -> str:
        """A To tag for a response without state: the same for each repetition of the request (8.2.7)."""
        names = ("via", "from", "call-id", "cseq")
        text = "\0".join(answered_request.get(name) for name in names)
        digest = hashlib.blake2b(text.encode("utf-8", "surrogateescape"), key=self.tag_key, digest_size=6)
        return digest.hexdigest()

    def _new_via(self, flow: Flow) -> str:
        branch = f"{MAGIC_COOKIE}{self.random.getrandbits(64):016x}"
        return f"SIP/2.0/{flow.transport} {self.config.host}:{self.config.port};branch={branch};rport"

    def _contact_header(self, flow: Flow) -> tuple[str, str]:
        suffix = ";transport=tcp" if flow.transport == "TCP" else ""
        return "contact", f"<sip:landingdeal@{self.config.host}:{self.config.port}{suffix}>"

    def _make_response(
        self,
        answered_request: Message,
        status: int,
        *extra_headers: tuple[str, str],
        local_tag: str = "",
        body: bytes = b"",
    ) -> Message:
        """Makes a response; all but 100 get a To tag (8.2.6.2)."""
        reply = response(answered_request, status, *extra_headers, body=body)
        if status == 100:
            return reply
        headers = tuple(
            (
                name,
                f"{value};tag={local_tag or self._derived_tag(answered_request)}"
                if name == "to" and ";tag=" not in value.lower()
                else value,
            )
            for name, value in reply.headers
        )
        return replace(reply, headers=headers)

    # --- received messages ---

    def _handle_next_received(self) -> None:
        received = self.backlog.take()
        if isinstance(received, TcpFlow):
            self.flow_lost(received)
        elif received is not None:
            self._handle_message(received)

    def _handle_message(self, received: ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, MalformedMessage):
            self._reject_malformed(received, message)
        elif message.status:
            self._handle_response(message)
        else:
            self._handle_request(received, message)

    def _reject_malformed(self, received: ReceivedMessage, malformed: MalformedMessage) -> None:
        message = malformed.message
        if not message.status and message.method not in ("", "ACK"):
            flow = received.flow
            with contextlib.suppress(AddressError):
                message, via = with_source_address(message, received.host, received.port)
                flow = self._response_flow(received, via)
            status = 505 if malformed.problem == "version" else 400
            reply = self._make_response(message, status)
            flow.send(replace(reply, reason_phrase=f"{reply.reason_phrase} ({malformed.problem})"))

    def _response_flow(self, received: ReceivedMessage, via: Via) -> ResponseFlow:
        return ResponseFlow(self.transport_layer.flow_to, received.flow, received.host, received.port, via)

    def _handle_response(self, message: Message) -> None:
        try:
            branch = top_via(message.get_all("via")).branch
        except AddressError:
            branch = ""
        transaction = self.client_transactions.get(f"{branch}|{message.cseq[1]}")
        if transaction is None:
            self.unmatched_responses += 1  # too late, or not to a request of ours
        else:
            transaction.response_received(message)

    def _handle_request(self, received: ReceivedMessage, received_message: Message) -> None:
        try:
            message, via = with_source_address(received_message, received.host, received.port)
            sender, recipient = parse_name_addr(message.get("from")), parse_name_addr(message.get("to"))
            if not sender.uri or not recipient.uri or not sender.tag and via.branch.startswith(MAGIC_COOKIE):
                raise AddressError("From or To")
            max_forwards = message.get("max-forwards", "70").strip()
            if not (max_forwards.isascii() and max_forwards.isdecimal() and int(max_forwards) <= 255):
                raise AddressError("Max-Forwards")
        except AddressError as error:
            self._reject_malformed(received, MalformedMessage(str(error), received_message))
            return
        key = self._branch_key(message, via, sender.tag)
        flow = self._response_flow(received, via)
        if message.method == "ACK":
            self.new_ack(message, key, received.flow)
            return
        existing = self.server_transactions.get(f"{key}|{message.method}")
        if existing is not None:
            existing.retransmit_response()
            return
        share = TransactionShare((received.host, received.port), received.size)
        if not self.transaction_limits.admits(share):
            flow.send(self._make_response(message, 503, ("retry-after", "2")))
            return
        transaction = ServerTransaction(self, flow, message, f"{key}|{message.method}")
        self.server_transactions[transaction.key] = transaction
        self.transaction_limits.add(transaction.key, share)
        self.new_request(transaction, key, recipient.tag, received.flow)

    @staticmethod
    def _branch_key(message: Message, via: Via, from_tag: str) -> str:
        """Returns what identifies a transaction (17.2.3); without the magic cookie, as in RFC 2543."""
        if via.branch.startswith(MAGIC_COOKIE):
            return f"{via.branch}|{via.host}:{via.port}"
        return f"{message.call_id}|{from_tag}|{message.cseq[0]}|{via.host}:{via.port}|{message.uri}"

    # --- sending ---

    def _start_client_transaction(
        self,
        flow: Flow,
        message: Message,
        on_response: ResponseHandler,
        pending_request: PendingSend | None = None,
    ) -> ClientTransaction:
        """Sends a request; with `pending_request`, its owner may withdraw it until it is written."""
        branch = parse_via(message.get("via")).branch
        key = f"{branch}|{message.method}"
        transaction = ClientTransaction(self, flow, message, key, on_response, pending_request)
        self.client_transactions[transaction.key] = transaction
        accepted = transaction.start()
        if not accepted or not flow.alive:
            self.event_loop.post(transaction.transport_failed)
        return transaction

    def _dialog_flow(self, dialog: Dialog) -> Flow:
        """Returns the flow for requests of a dialog.

        That is its TCP connection while it is alive, else a flow to the next hop if that is an IP address.
        """
        if dialog.flow.reliable and dialog.flow.alive:
            return dialog.flow
        try:
            uri = parse_uri(dialog.next_hop())
            ipaddress.IPv4Address(uri.host)  # a host name would block this thread for a DNS lookup
        except (AddressError, ValueError):
            return dialog.flow
        reliable = dialog.flow.reliable or uri.transport == "tcp"
        flow = self.transport_layer.flow_to("TCP" if reliable else "UDP", uri.host, uri.port)
        if reliable:
            dialog.flow = flow
        return flow
