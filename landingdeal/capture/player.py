"""One try of a planned call, as a user agent client plays it against real answers. No I/O, no own clock.

Transactions and timers are those of the SIP front (RFC 3261 17); the layer that owns the thread gives time
and timers, the flow sends. What the capture holds sets when CANCEL and BYE go out; tags, routes and targets
are those of the answers that really came.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from landingdeal.capture.calls import Outcome
from landingdeal.capture.plan import Offered, identity
from landingdeal.sip.address import AddressError, parse_name_addr, parse_uri
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.message import Message, request, response
from landingdeal.sip.transaction import (
    ClientTransaction,
    Flow,
    ServerTransaction,
    TransactionServices,
    TransactionState,
    request_in_transaction,
)

PATIENCE_MS = 32_000.0  # where the capture tells none
OWN = frozenset((
    "via", "from", "to", "call-id", "cseq", "contact", "route", "record-route", "max-forwards",
    "content-length", "proxy-authorization", "authorization",
))  # fmt: skip


@dataclass(frozen=True, slots=True)
class Target:
    """Where the load goes, and where it comes from."""

    to: tuple[str, int]
    local: tuple[str, int]


@dataclass(slots=True)
class Result:
    """What became of one try. Spans in milliseconds from when its INVITE was due; -1: did not happen."""

    offered: Offered
    tries: int
    late_ms: float  # by so much the INVITE left after its plan
    status: int = 0
    answer_ms: float = -1.0
    outcome: Outcome = Outcome.UNANSWERED
    later_ms: float = 0.0
    ended_by: str = ""  # us, them, or nobody
    error: str = ""
    finals: int = 0  # final answers to the INVITE; more than one breaks the first rule


class Player:
    """`over` is called once, with the result, when nothing more of the call will happen."""

    def __init__(
        self,
        layer: TransactionServices,
        flow: Flow,
        target: Target,
        offered: Offered,
        tries: int,
        seed: int,
        over: Callable[[Player], None],
        answered: Callable[[Player], None] = lambda player: None,
    ) -> None:
        self.layer, self.flow, self.target, self.offered = layer, flow, target, offered
        self.call_id, self.tag = identity(offered, tries, seed)
        self.over, self.answered = over, answered
        self.result = Result(offered, tries, 0.0)
        self.transaction: ClientTransaction | None = None  # of the INVITE
        self.cancelling: ClientTransaction | None = None
        self.ending: ClientTransaction | None = None
        self.dialog: Dialog | None = None
        self.provisional = self.cancelled = self.ended = False
        self.requests: dict[tuple[int, str], ServerTransaction] = {}
        self.began_ms = 0.0
        self.branches = 0

    # --- out ---

    def start(self, planned_ms: float) -> None:
        self.began_ms = planned_ms
        self.result.late_ms = self.layer.now() - planned_ms
        self.transaction = self._client(self._invite(), self._on_invite)
        if self.ended:
            return
        if self.offered.cancel_ms >= 0:
            self.layer.schedule_at(planned_ms + self.offered.cancel_ms, self.cancel)
        patience = self.offered.patience_ms or PATIENCE_MS
        self.layer.schedule_at(planned_ms + patience, self.cancel)
        # after that nothing is awaited for longer than a transaction lasts
        self.layer.schedule_at(planned_ms + patience + self.layer.timing.transaction_timeout, self._give_up)

    def _via(self) -> str:
        self.branches += 1
        host, port = self.target.local
        return (
            f"SIP/2.0/{self.flow.transport} {host}:{port};branch=z9hG4bK{self.call_id}{self.branches};rport"
        )

    def _contact(self) -> tuple[str, str]:
        host, port = self.target.local
        suffix = ";transport=tcp" if self.flow.transport == "TCP" else ""
        return "contact", f"<sip:replay@{host}:{port}{suffix}>"

    def _invite(self) -> Message:
        recorded, (host, port) = self.offered.invite, self.target.to
        try:
            user = parse_uri(recorded.uri).user
            caller = parse_uri(parse_name_addr(recorded.get("from")).uri).user
        except AddressError:
            user, caller = "", ""
        uri = f"sip:{user}@{host}:{port}" if user else f"sip:{host}:{port}"
        mine = f"<sip:{caller or 'replay'}@{self.target.local[0]}>;tag={self.tag}"
        kept = tuple(header for header in recorded.headers if header[0] not in OWN)
        return request(
            "INVITE", uri, ("via", self._via()), ("max-forwards", "70"), ("from", mine), ("to", f"<{uri}>"),
            ("call-id", self.call_id), ("cseq", "1 INVITE"), self._contact(), *kept, body=recorded.body,
        )  # fmt: skip

    def _client(self, made: Message, on_response: Callable[[Message], None]) -> ClientTransaction:
        branch = made.get("via").partition("branch=")[2].partition(";")[0]
        transaction = ClientTransaction(self.layer, self.flow, made, f"{branch}|{made.method}", on_response)
        transaction.start()
        return transaction

    def cancel(self) -> None:
        """The caller has no more patience, or gave up at this point in the capture."""
        transaction = self.transaction
        if self.cancelled or self.ended or transaction is None or self.result.finals:
            return
        self.cancelled = True
        if self.provisional:  # else it has to wait for a provisional response (9.1)
            self._send_cancel()

    def _send_cancel(self) -> None:
        assert self.transaction is not None
        self.cancelling = self._client(
            request_in_transaction(self.transaction.request, "CANCEL"), lambda message: None
        )

    def bye(self) -> None:
        if self.dialog is None or self.dialog.terminated or self.ended:
            return
        self.dialog.terminated = True
        self.result.ended_by = "us"
        made = self.dialog.make_request("BYE", self._via(), ("reason", "Q.850;cause=16"))
        self.ending = self._client(made, self._on_bye)

    def _on_bye(self, message: Message) -> None:
        if message.status >= 200:
            self._end()

    # --- in ---

    def _on_invite(self, message: Message) -> None:
        status = message.status
        if status < 200:
            self.provisional = True
            if self.cancelled and self.cancelling is None:
                self._send_cancel()
            return
        again = self.dialog is not None and 200 <= status < 300
        if again:
            self._again(message)
            return
        self.result.finals += 1
        self.result.status = status
        self.result.answer_ms = self.layer.now() - self.began_ms
        self.result.later_ms = later_of(message)
        if 200 <= status < 300:
            self._stands(message)
        else:
            withdrawn = self.cancelled and status == 487
            timed_out = not message.get("via")  # made by our own timers
            self.result.outcome = Outcome.WITHDRAWN if withdrawn else Outcome.REFUSED
            if timed_out:
                self.result.outcome, self.result.status = Outcome.UNANSWERED, 0
                self.result.error = "no answer" if status == 408 else "the connection failed"
                self.result.answer_ms = -1.0
            self.answered(self)
            self._end()

    def _stands(self, message: Message) -> None:
        assert self.transaction is not None
        self.result.outcome = Outcome.STOOD
        self.dialog = Dialog(self.transaction.request, message, self.flow, True)
        self._ack()
        self.answered(self)
        if self.cancelled:  # it crossed our CANCEL: what stands for nobody is ended
            self.bye()
        else:
            self.layer.schedule_at(self.layer.now() + max(self.offered.hold_ms, 0.0), self.bye)

    def _again(self, message: Message) -> None:
        """A 2xx once more: its ACK got lost; or that of another fork, which is ended (13.2.2.4)."""
        assert self.dialog is not None and self.transaction is not None
        other = Dialog(self.transaction.request, message, self.flow, True)
        if other.key == self.dialog.key:
            self._ack()
            return
        self.flow.send(other.make_request("ACK", self._via(), sequence_number=other.invite_sequence_number))
        self._client(other.make_request("BYE", self._via()), lambda message: None)

    def _ack(self) -> None:
        assert self.dialog is not None
        self.flow.send(
            self.dialog.make_request("ACK", self._via(), sequence_number=self.dialog.invite_sequence_number)
        )

    def response(self, message: Message) -> None:
        """Any response of this call: found by branch and method (17.1.3)."""
        branch = message.get("via").partition("branch=")[2].partition(";")[0]
        key = f"{branch}|{message.cseq[1]}"
        for transaction in (self.transaction, self.cancelling, self.ending):
            if transaction is not None and transaction.key == key:
                transaction.response_received(message)

    def request(self, message: Message) -> None:
        """A request of the other side within this call."""
        key = message.cseq
        known = self.requests.get(key)
        if known is not None:
            known.request_retransmitted()
            return
        if message.method == "ACK":
            return
        server = self.requests[key] = ServerTransaction(self.layer, self.flow, message, f"{key}")
        if len(self.requests) > 32:
            del self.requests[next(iter(self.requests))]
        match message.method:
            case "BYE" if self.dialog is not None:
                server.respond(response(message, 200))
                if not self.dialog.terminated:
                    self.dialog.terminated = True
                    self.result.ended_by = "them"
                    self._end()
            case "OPTIONS" | "INFO" | "NOTIFY" if self.dialog is not None:
                server.respond(response(message, 200))
            case "INVITE" | "UPDATE" if self.dialog is not None:
                server.respond(response(message, 488))  # the capture holds no second description
            case _:
                server.respond(response(message, 481))

    def failed(self) -> None:
        """The connection is gone."""
        transaction = self.transaction
        if transaction is not None and transaction.state in (
            TransactionState.CALLING,
            TransactionState.PROCEEDING,
        ):
            transaction.transport_failed()
        elif not self.ended and self.dialog is not None:
            self.result.error = self.result.error or "the connection ended while the call stood"
            self._end()

    def _give_up(self) -> None:
        if not self.ended and not self.result.finals:
            assert self.transaction is not None
            self.transaction.terminate()
            self.result.error = "no final answer"
            self.answered(self)
            self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            self.over(self)


def later_of(message: Message) -> float:
    """The time to stay away that a refusal tells, in milliseconds; 0 where it tells none."""
    told = message.get("x-later-ms").strip()
    if told.isascii() and told.isdecimal() and len(told) <= 9:
        return float(told)
    after = message.get("retry-after").partition(";")[0].partition("(")[0].strip()
    return 1000.0 * int(after) if after.isascii() and after.isdecimal() and len(after) <= 6 else 0.0
