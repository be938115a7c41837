"""Transactions of RFC 3261, chapter 17, with the Accepted states of RFC 6026.

They are independent of sockets and calls. All run in the thread of the SIP front; `TransactionServices`
provides the clock and the timers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from landingdeal.core.pending_send import PendingSend
from landingdeal.sip.loop import ScheduledWork
from landingdeal.sip.message import Message, request, response, response_context


@dataclass(frozen=True, slots=True)
class Timing:
    """Timer values in milliseconds, all scaled from T1 (RFC 3261, table 4)."""

    t1: float = 500.0

    @property
    def t2(self) -> float:
        return 8 * self.t1

    @property
    def t4(self) -> float:
        return 10 * self.t1

    @property
    def transaction_timeout(self) -> float:
        """Timers B, F, H, J, L and M, and D over UDP."""
        return 64 * self.t1


class Flow(Protocol):
    """A channel to one peer, on which a transaction sends its messages."""

    @property
    def transport(self) -> str:
        """UDP or TCP, as Via names it."""

    # whether the transport retransmits by itself, so that the transaction need not
    @property
    def reliable(self) -> bool: ...

    # False after the connection has ended or could not be made
    @property
    def alive(self) -> bool: ...

    # whether the connection was ever established; always true over UDP
    @property
    def was_connected(self) -> bool: ...

    # the transport and address of the peer
    @property
    def source(self) -> str: ...

    # whether the peer has ended the connection, also if that is not read yet; never over UDP
    @property
    def peer_has_left(self) -> bool: ...

    def send(self, message: Message, pending: PendingSend | None = None) -> bool:
        """Sends a message or queues it until it can be written; False if it will never be sent.

        With `pending`, whoever writes it claims it first, so that the sender may withdraw it until then.
        """


class TransactionServices(Protocol):
    """Clock, timers and the notice of termination, provided by the thread that runs the transactions."""

    timing: Timing

    def schedule_at(self, deadline_ms: float, work: Callable[[], None]) -> ScheduledWork: ...

    def now(self) -> float: ...

    def transaction_terminated(self, transaction: Transaction) -> None: ...

    def request_dropped(self, transaction: Transaction) -> None:
        """Called when a server transaction keeps no more of its request than its responses need."""


class SipTransactionState(Enum):
    CALLING = "calling"  # also stands for Trying of a non-INVITE client transaction
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    ACCEPTED = "accepted"
    FAILED = "failed"  # an INVITE whose connection ended; a 2xx may still arrive on another one
    TERMINATED = "terminated"


class Transaction:
    """What client and server transactions share: the state, its timers and the flow."""

    def __init__(self, services: TransactionServices, flow: Flow, message: Message, key: str) -> None:
        self.services, self.flow, self.request, self.key = services, flow, message, key
        self.state = SipTransactionState.CALLING
        self.timing = services.timing
        self._timers: list[ScheduledWork] = []

    def schedule_at(self, deadline_ms: float, work: Callable[[], None]) -> None:
        """Starts a timer of this transaction, which ends with it."""
        scheduled = self.services.schedule_at(deadline_ms, work)
        self._timers = [*(timer for timer in self._timers if timer.pending), scheduled]

    def deadline_after(self, interval: float) -> float:
        """Returns the deadline of a timer that starts now."""
        return self.services.now() + interval

    def terminate_at(self, deadline_ms: float) -> None:
        """Timers D, H, I, J, K, L and M: terminates, unless the state changes before.

        Until then retransmissions of the peer are absorbed.
        """
        state = self.state

        def on_timer() -> None:
            if self.state is state:
                self.terminate()

        if deadline_ms <= self.services.now():
            self.terminate()
        else:
            self.schedule_at(deadline_ms, on_timer)

    def terminate(self) -> None:
        """Ends the transaction and notifies its owner, once."""
        if self.state is not SipTransactionState.TERMINATED:
            self.state = SipTransactionState.TERMINATED
            for timer in self._timers:  # what they refer to would stay in memory until they are due
                timer.cancel()
            self._timers = []
            self.services.transaction_terminated(self)

    def schedule_retransmits(
        self,
        interval: float,
        max_interval: float,
        while_in_states: tuple[SipTransactionState, ...],
        send: Callable[[], None],
    ) -> None:
        """Timers A, E and G: sends again after `interval`, which doubles each time up to `max_interval`."""

        def on_timer() -> None:
            if self.state in while_in_states:
                send()
                self.schedule_retransmits(
                    min(2 * interval, max_interval), max_interval, while_in_states, send
                )

        self.schedule_at(self.deadline_after(interval), on_timer)


class ServerTransaction(Transaction):
    """An INVITE or non-INVITE server transaction; the transaction user answers with `respond`."""

    def __init__(self, services: TransactionServices, flow: Flow, message: Message, key: str) -> None:
        super().__init__(services, flow, message, key)
        self.is_invite = message.method == "INVITE"
        self.state = SipTransactionState.PROCEEDING
        self.last_response: Message | None = None
        self.pending_response = PendingSend()

    @property
    def final_response_sent(self) -> bool:
        """Whether the transaction user has given the final response."""
        return self.state is not SipTransactionState.PROCEEDING

    def retransmit_response(self) -> None:
        """Sends the last response again, unless it still waits to be sent on a connection that lives.

        Called for each retransmission of the request, and by the timers of the final response.
        """
        if self.last_response is None or self.state not in (
            SipTransactionState.PROCEEDING,
            SipTransactionState.COMPLETED,
            SipTransactionState.ACCEPTED,
        ):
            return
        if self.flow.alive and self.pending_response.waiting:
            return
        self._send_response(self.last_response)

    def _send_response(self, message: Message) -> None:
        self.last_response, self.pending_response = message, PendingSend()
        if not self.flow.send(message, self.pending_response):
            self.pending_response.withdraw()

    def respond(self, message: Message) -> bool:
        """Sends a response; returns False if the final response was sent before, as there is only one."""
        if self.final_response_sent:
            return False
        self._send_response(message)
        if message.status < 200:
            return True
        if message.status >= 300 or not self.is_invite:
            self.request = response_context(self.request)
            self.services.request_dropped(self)
        if not self.is_invite:
            self.state = SipTransactionState.COMPLETED
            self.terminate_at(
                self.deadline_after(0 if self.flow.reliable else self.timing.transaction_timeout)
            )  # timer J
        elif message.status < 300:
            self.state = SipTransactionState.ACCEPTED
            self.terminate_at(self.deadline_after(self.timing.transaction_timeout))  # timer L
        else:
            self.state = SipTransactionState.COMPLETED
            if not self.flow.reliable:  # timer G
                self.schedule_retransmits(
                    self.timing.t1,
                    self.timing.t2,
                    (SipTransactionState.COMPLETED,),
                    self.retransmit_response,
                )
            self.terminate_at(self.deadline_after(self.timing.transaction_timeout))  # timer H
        return True

    def respond_once(self, message: Message) -> None:
        """Sends the final response and ends at once; a repeated request is answered anew (8.2.7).

        For requests whose repetition changes nothing: no state is kept for them.
        """
        self._send_response(message)
        self.terminate()

    def ack_received(self) -> None:
        """Takes the ACK of a final response other than 2xx."""
        if self.is_invite and self.state is SipTransactionState.COMPLETED:
            self.state = SipTransactionState.CONFIRMED
            self.terminate_at(self.deadline_after(0 if self.flow.reliable else self.timing.t4))  # timer I


class ClientTransaction(Transaction):
    """An INVITE or non-INVITE client transaction. It owns its request while that waits to be sent.

    `on_response` gets each provisional response, and the final one once (every 2xx to an INVITE). A time-out
    is reported as a 408 and a failed transport as a 503, both without Via (RFC 3261, 8.1.3.1).
    """

    def __init__(
        self,
        services: TransactionServices,
        flow: Flow,
        message: Message,
        key: str,
        on_response: Callable[[Message], None],
        pending_request: PendingSend | None = None,
    ) -> None:
        super().__init__(services, flow, message, key)
        self.is_invite = message.method == "INVITE"
        self.on_response = on_response
        self.pending_request = pending_request or PendingSend()
        self.abandoned = False
        self.ack: Message | None = None

    def start(self) -> bool:
        """Sends the request and starts its timers; False if the request can't be sent."""
        accepted = self.flow.send(self.request, self.pending_request)
        if not self.flow.reliable:  # timer A, or E
            max_interval = self.timing.transaction_timeout if self.is_invite else self.timing.t2
            retransmit_states = (
                (SipTransactionState.CALLING,)
                if self.is_invite
                else (SipTransactionState.CALLING, SipTransactionState.PROCEEDING)
            )
            self.schedule_retransmits(self.timing.t1, max_interval, retransmit_states, self._retransmit)
        # timer B, or F
        self.schedule_at(self.deadline_after(self.timing.transaction_timeout), self._timed_out)
        return accepted

    def abandon(self) -> bool:
        """Gives the request up: it is neither sent nor retransmitted from now on. Returns as `withdraw`."""
        self.abandoned = True
        return self.withdraw()

    def withdraw(self) -> bool:
        """Withdraws the request if it still waits to be sent.

        Returns True if it was never sent: then the transaction has ended, and no response will come.
        """
        if not self.pending_request.ensure_withdrawn():
            return False
        self.terminate()
        return True

    def terminate(self) -> None:
        """Ends the transaction, and with it the reason for a request that still waits to be sent."""
        self.pending_request.withdraw()
        super().terminate()

    def _retransmit(self) -> None:
        if not self.abandoned:
            self.flow.send(self.request)

    def _timed_out(self) -> None:
        awaiting_states = (
            (SipTransactionState.CALLING,)
            if self.is_invite
            else (SipTransactionState.CALLING, SipTransactionState.PROCEEDING)
        )
        if self.state in awaiting_states:
            self.terminate()
            self.on_response(response(Message(), 408))

    def transport_failed(self) -> None:
        """Ends the transaction with a 503 if it still waits for a final response."""
        if self.state not in (SipTransactionState.CALLING, SipTransactionState.PROCEEDING):
            return
        never_sent = self.pending_request.ensure_withdrawn()
        if self.is_invite and not never_sent:
            self.state = SipTransactionState.FAILED
            self.terminate_at(self.deadline_after(self.timing.transaction_timeout))
        else:
            self.terminate()
        self.on_response(response(Message(), 503))

    def response_received(self, message: Message) -> None:
        """Takes a response that matches this transaction, retransmissions included."""
        if message.status < 200:
            if self.state in (SipTransactionState.CALLING, SipTransactionState.PROCEEDING):
                self.state = SipTransactionState.PROCEEDING
                self.on_response(message)
            return
        if self.state in (SipTransactionState.CALLING, SipTransactionState.PROCEEDING):
            self._final_response_received(message)
        elif self.state is SipTransactionState.COMPLETED and self.ack is not None and message.status >= 300:
            self.flow.send(self.ack)
        elif (
            self.state in (SipTransactionState.ACCEPTED, SipTransactionState.FAILED) and message.status < 300
        ):
            self.on_response(message)  # a retransmitted 2xx whose ACK was lost, or one on a new connection

    def _final_response_received(self, message: Message) -> None:
        if not self.is_invite:
            self.state = SipTransactionState.COMPLETED
            self.terminate_at(self.deadline_after(0 if self.flow.reliable else self.timing.t4))  # timer K
        elif message.status < 300:
            self.state = SipTransactionState.ACCEPTED
            self.terminate_at(self.deadline_after(self.timing.transaction_timeout))  # timer M
        else:
            self.state = SipTransactionState.COMPLETED
            self.ack = ack_for_non_2xx(self.request, message)
            self.flow.send(self.ack)
            # timer D
            self.terminate_at(
                self.deadline_after(0 if self.flow.reliable else self.timing.transaction_timeout)
            )
        self.on_response(message)


def is_transport_failure(message: Message) -> bool:
    """Whether a final response stands for a failed transport: it was made locally, so it has no Via."""
    return message.status == 503 and not message.get("via")


def request_in_transaction(
    original_request: Message, method: str, *extra_headers: tuple[str, str]
) -> Message:
    """Makes the CANCEL of a request or the ACK of a non-2xx response; same branch (9.1, 17.1.1.3)."""
    sequence_number = original_request.cseq[0]
    copied = [
        (name, value)
        for name, value in original_request.headers
        if name in ("from", "to", "call-id", "route", "max-forwards")
    ]
    return request(
        method,
        original_request.uri,
        ("via", original_request.get("via")),
        *copied,
        ("cseq", f"{sequence_number} {method}"),
        *extra_headers,
    )


def ack_for_non_2xx(invite: Message, final_response: Message) -> Message:
    """Makes the ACK of a final response other than 2xx; To is that of the response."""
    ack = request_in_transaction(invite, "ACK")
    headers = tuple(
        (name, final_response.get("to", value) if name == "to" else value) for name, value in ack.headers
    )
    return Message("ACK", ack.uri, headers=headers)
