"""One try of a planned call: a SIP user agent client. No I/O and no clock of its own.

The transactions and their timers are those of the SIP front (RFC 3261 17). The event loop's owner provides
time and timers, and the flow sends. The capture sets when CANCEL and BYE are sent; tags, routes and remote
targets come from the responses received during the replay.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from landingdeal.capture.calls import Outcome
from landingdeal.capture.plan import PlannedCall, identity
from landingdeal.sip.address import AddressError, parse_name_addr, parse_uri
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.message import Message, request, response
from landingdeal.sip.transaction import (
    ClientTransaction,
    Flow,
    ServerTransaction,
    SipTransactionState,
    TransactionServices,
    request_in_transaction,
)

DEFAULT_PATIENCE_MS = 32_000.0  # if the capture has none
REPLACED_HEADERS = frozenset((  # not copied from the recorded INVITE
    "via", "from", "to", "call-id", "cseq", "contact", "route", "record-route", "max-forwards",
    "content-length", "proxy-authorization", "authorization",
))  # fmt: skip


@dataclass(frozen=True, slots=True)
class ReplayAddresses:
    """Remote and local address of a flow."""

    remote: tuple[str, int]
    local: tuple[str, int]


@dataclass(slots=True)
class ReplayResult:
    """The outcome of one try. Times count from when its INVITE was due; -1: did not happen."""

    planned: PlannedCall
    try_number: int
    late_ms: float  # delay of the INVITE behind the plan
    status: int = 0
    answer_ms: float = -1.0
    outcome: Outcome = Outcome.UNANSWERED
    retry_after_ms: float = 0.0
    ended_by: str = ""  # "us" or "them": who sent the BYE; else empty
    error: str = ""
    final_answers: int = 0  # to the INVITE; more than one is a fault of the program under load


class CallPlayer:
    """Plays one try. Calls `on_answered` on the final answer or failure, `on_finished` at the end."""

    def __init__(
        self,
        layer: TransactionServices,
        flow: Flow,
        addresses: ReplayAddresses,
        planned: PlannedCall,
        try_number: int,
        seed: int,
        on_finished: Callable[[CallPlayer], None],
        on_answered: Callable[[CallPlayer], None] = lambda player: None,
    ) -> None:
        self.layer, self.flow, self.addresses, self.planned = layer, flow, addresses, planned
        self.call_id, self.tag = identity(planned, try_number, seed)
        self.on_finished, self.on_answered = on_finished, on_answered
        self.result = ReplayResult(planned, try_number, 0.0)
        self.invite_transaction: ClientTransaction | None = None
        self.cancel_transaction: ClientTransaction | None = None
        self.bye_transaction: ClientTransaction | None = None
        self.dialog: Dialog | None = None
        self.provisional_received = self.cancel_requested = self.finished = False
        self.server_transactions: dict[tuple[int, str], ServerTransaction] = {}
        self.start_ms = 0.0
        self.branch_count = 0

    # --- sending ---

    def start(self, due_ms: float) -> None:
        """Sends the INVITE and sets the timers of the caller's patience."""
        self.start_ms = due_ms
        self.result.late_ms = self.layer.now() - due_ms
        self.invite_transaction = self._start_client(self._invite(), self._on_invite_response)
        if self.finished:
            return
        if self.planned.cancel_after_ms >= 0:
            self.layer.schedule_at(due_ms + self.planned.cancel_after_ms, self.cancel)
        patience = self.planned.patience_ms or DEFAULT_PATIENCE_MS
        self.layer.schedule_at(due_ms + patience, self.cancel)
        # the final answer to a cancelled INVITE is awaited for one transaction time-out
        self.layer.schedule_at(due_ms + patience + self.layer.timing.transaction_timeout, self._expire)

    def _via(self) -> str:
        self.branch_count += 1
        host, port = self.addresses.local
        return (
            f"SIP/2.0/{self.flow.transport} {host}:{port}"
            f";branch=z9hG4bK{self.call_id}{self.branch_count};rport"
        )

    def _contact(self) -> tuple[str, str]:
        host, port = self.addresses.local
        suffix = ";transport=tcp" if self.flow.transport == "TCP" else ""
        return "contact", f"<sip:replay@{host}:{port}{suffix}>"

    def _invite(self) -> Message:
        recorded, (host, port) = self.planned.invite, self.addresses.remote
        try:
            user = parse_uri(recorded.uri).user
            caller = parse_uri(parse_name_addr(recorded.get("from")).uri).user
        except AddressError:
            user, caller = "", ""
        uri = f"sip:{user}@{host}:{port}" if user else f"sip:{host}:{port}"
        from_value = f"<sip:{caller or 'replay'}@{self.addresses.local[0]}>;tag={self.tag}"
        copied_headers = tuple(header for header in recorded.headers if header[0] not in REPLACED_HEADERS)
        return request(
            "INVITE", uri, ("via", self._via()), ("max-forwards", "70"), ("from", from_value),
            ("to", f"<{uri}>"), ("call-id", self.call_id), ("cseq", "1 INVITE"), self._contact(),
            *copied_headers, body=recorded.body,
        )  # fmt: skip

    def _start_client(self, outgoing: Message, on_response: Callable[[Message], None]) -> ClientTransaction:
        branch = outgoing.get("via").partition("branch=")[2].partition(";")[0]
        transaction = ClientTransaction(
            self.layer, self.flow, outgoing, f"{branch}|{outgoing.method}", on_response
        )
        transaction.start()
        return transaction

    def cancel(self) -> None:
        """Cancels the INVITE: the patience is over, or the recorded call was cancelled at this time."""
        transaction = self.invite_transaction
        if self.cancel_requested or self.finished or transaction is None or self.result.final_answers:
            return
        self.cancel_requested = True
        if transaction.withdraw():  # the INVITE was never sent
            self.result.outcome = Outcome.CANCELLED
            self.on_answered(self)
            self._finish()
        elif self.provisional_received:  # otherwise the CANCEL waits for a provisional response (9.1)
            self._send_cancel()

    def _send_cancel(self) -> None:
        assert self.invite_transaction is not None
        self.cancel_transaction = self._start_client(
            request_in_transaction(self.invite_transaction.request, "CANCEL"), lambda message: None
        )

    def send_bye(self) -> None:
        """Ends the established call."""
        if self.dialog is None or self.dialog.terminated or self.finished:
            return
        self.dialog.terminated = True
        self.result.ended_by = "us"
        outgoing = self.dialog.make_request("BYE", self._via(), ("reason", "Q.850;cause=16"))
        self.bye_transaction = self._start_client(outgoing, self._on_bye_response)

    def _on_bye_response(self, message: Message) -> None:
        if message.status >= 200:
            self._finish()

    # --- receiving ---

    def _on_invite_response(self, message: Message) -> None:
        status = message.status
        if status < 200:
            self.provisional_received = True
            if self.cancel_requested and self.cancel_transaction is None:
                self._send_cancel()
            return
        repeated = self.dialog is not None and 200 <= status < 300
        if repeated:
            self._on_repeated_2xx(message)
            return
        self.result.final_answers += 1
        self.result.status = status
        self.result.answer_ms = self.layer.now() - self.start_ms
        self.result.retry_after_ms = retry_after_of(message)
        if 200 <= status < 300:
            self._establish(message)
        else:
            abandoned = self.cancel_requested and status == 487
            timed_out = not message.get("via")  # generated locally, by a timer or a transport error
            self.result.outcome = Outcome.CANCELLED if abandoned else Outcome.REFUSED
            if timed_out:
                self.result.outcome, self.result.status = Outcome.UNANSWERED, 0
                self.result.error = "no answer" if status == 408 else "the connection failed"
                self.result.answer_ms = -1.0
            self.on_answered(self)
            self._finish()

    def _establish(self, message: Message) -> None:
        assert self.invite_transaction is not None
        self.result.outcome = Outcome.ESTABLISHED
        self.dialog = Dialog(self.invite_transaction.request, message, self.flow, True)
        self._send_ack()
        self.on_answered(self)
        if self.cancel_requested:  # the answer crossed our CANCEL: nobody wants the call any more
            self.send_bye()
        else:
            self.layer.schedule_at(self.layer.now() + max(self.planned.hold_ms, 0.0), self.send_bye)

    def _on_repeated_2xx(self, message: Message) -> None:
        """Acknowledges a retransmitted 2xx again; ends the dialog of another fork (13.2.2.4)."""
        assert self.dialog is not None and self.invite_transaction is not None
        repeated_dialog = Dialog(self.invite_transaction.request, message, self.flow, True)
        if repeated_dialog.key == self.dialog.key:
            self._send_ack()
            return
        self.flow.send(
            repeated_dialog.make_request(
                "ACK", self._via(), sequence_number=repeated_dialog.invite_sequence_number
            )
        )
        self._start_client(repeated_dialog.make_request("BYE", self._via()), lambda message: None)

    def _send_ack(self) -> None:
        assert self.dialog is not None
        self.flow.send(
            self.dialog.make_request("ACK", self._via(), sequence_number=self.dialog.invite_sequence_number)
        )

    def handle_response(self, message: Message) -> None:
        """Passes a response of this call to its transaction, matched by branch and method (17.1.3)."""
        branch = message.get("via").partition("branch=")[2].partition(";")[0]
        key = f"{branch}|{message.cseq[1]}"
        for transaction in (self.invite_transaction, self.cancel_transaction, self.bye_transaction):
            if transaction is not None and transaction.key == key:
                transaction.response_received(message)

    def handle_request(self, message: Message) -> None:
        """Answers a request that the other side sends within this call."""
        key = message.cseq
        known_transaction = self.server_transactions.get(key)
        if known_transaction is not None:
            known_transaction.retransmit_response()
            return
        if message.method == "ACK":
            return
        transaction = self.server_transactions[key] = ServerTransaction(
            self.layer, self.flow, message, f"{key}"
        )
        if len(self.server_transactions) > 32:
            del self.server_transactions[next(iter(self.server_transactions))]
        match message.method:
            case "BYE" if self.dialog is not None:
                transaction.respond(response(message, 200))
                if not self.dialog.terminated:
                    self.dialog.terminated = True
                    self.result.ended_by = "them"
                    self._finish()
            case "OPTIONS" | "INFO" | "NOTIFY" if self.dialog is not None:
                transaction.respond(response(message, 200))
            case "INVITE" | "UPDATE" if self.dialog is not None:
                transaction.respond(response(message, 488))  # the capture has no second session description
            case _:
                transaction.respond(response(message, 481))

    def connection_failed(self) -> None:
        """The TCP connection of this call failed."""
        transaction = self.invite_transaction
        if transaction is not None and transaction.state in (
            SipTransactionState.CALLING,
            SipTransactionState.PROCEEDING,
        ):
            transaction.transport_failed()
        elif not self.finished and self.dialog is not None:
            self.result.error = self.result.error or "the connection ended while the call stood"
            self._finish()

    def _expire(self) -> None:
        """Ends the try if no final answer arrived in time."""
        if not self.finished and not self.result.final_answers:
            assert self.invite_transaction is not None
            self.invite_transaction.terminate()
            self.result.error = "no final answer"
            self.on_answered(self)
            self._finish()

    def _finish(self) -> None:
        if not self.finished:
            self.finished = True
            self.on_finished(self)


def retry_after_of(message: Message) -> float:
    """The wait that a refusal asks for (X-Later-Ms or Retry-After), in milliseconds; 0 if none."""
    text = message.get("x-later-ms").strip()
    if text.isascii() and text.isdecimal() and len(text) <= 9:
        return float(text)
    seconds = message.get("retry-after").partition(";")[0].partition("(")[0].strip()
    return 1000.0 * int(seconds) if seconds.isascii() and seconds.isdecimal() and len(seconds) <= 6 else 0.0
