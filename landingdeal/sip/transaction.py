"""Transactions of RFC 3261 chapter 17, with the Accepted states of RFC 6026. They know no socket and no call.

Each is driven by the one thread of the SIP front; `Layer` gives it the time, timers and its user.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from landingdeal.sip.message import Message, request, response


@dataclass(frozen=True, slots=True)
class Timing:
    """All timers are scaled from T1 (RFC 3261, table 4)."""

    t1: float = 500.0

    @property
    def t2(self) -> float:
        return 8 * self.t1

    @property
    def t4(self) -> float:
        return 10 * self.t1

    @property
    def b(self) -> float:  # and F, H, J, L, M
        return 64 * self.t1


class Flow(Protocol):
    """Where messages of a transaction go."""

    @property
    def kind(self) -> str:
        """UDP or TCP, as Via names it."""

    @property
    def reliable(self) -> bool: ...

    @property
    def alive(self) -> bool: ...

    @property
    def was_up(self) -> bool: ...

    def send(self, message: Message) -> None: ...


class Layer(Protocol):
    """What a transaction needs of the thread that runs it."""

    timing: Timing

    def at(self, deadline_ms: float, work: Callable[[], None]) -> None: ...

    def now(self) -> float: ...

    def over(self, transaction: Transaction) -> None: ...


class State(Enum):
    CALLING = "calling"  # also Trying, of a transaction that is no INVITE
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    ACCEPTED = "accepted"
    TERMINATED = "terminated"


class Transaction:
    def __init__(self, layer: Layer, flow: Flow, message: Message, key: str) -> None:
        self.layer, self.flow, self.request, self.key = layer, flow, message, key
        self.state = State.CALLING
        self.timing = layer.timing

    def within(self, interval: float) -> float:
        """The deadline of a timer of RFC 3261 that starts now."""
        return self.layer.now() + interval

    def end_at(self, deadline_ms: float) -> None:
        """Timers D, H, I, J, K, L and M: nothing more is done but to absorb what still comes."""
        state = self.state

        def due() -> None:
            if self.state is state:
                self.terminate()

        if deadline_ms <= self.layer.now():
            self.terminate()
        else:
            self.layer.at(deadline_ms, due)

    def terminate(self) -> None:
        if self.state is not State.TERMINATED:
            self.state = State.TERMINATED
            self.layer.over(self)

    def repeat(
        self, interval: float, most: float, while_in: tuple[State, ...], work: Callable[[], None]
    ) -> None:
        """Timers A, E and G: again after `interval`, then after twice as long, up to `most`."""

        def due() -> None:
            if self.state in while_in:
                work()
                self.repeat(min(2 * interval, most), most, while_in, work)

        self.layer.at(self.within(interval), due)


class ServerTransaction(Transaction):
    """INVITE or not; the user answers with `respond`."""

    def __init__(self, layer: Layer, flow: Flow, message: Message, key: str) -> None:
        super().__init__(layer, flow, message, key)
        self.invite = message.method == "INVITE"
        self.state = State.PROCEEDING
        self.last: Message | None = None
        self.on_unacknowledged: Callable[[], None] | None = None

    @property
    def answered(self) -> bool:
        return self.state is not State.PROCEEDING

    def retransmitted(self) -> None:
        """The same request again: absorbed, and answered with the last response."""
        if self.last is not None and self.state in (State.PROCEEDING, State.COMPLETED, State.ACCEPTED):
            self.flow.send(self.last)

    def respond(self, message: Message) -> bool:
        """False if the final response has been given already: there is only one."""
        if self.answered:
            return False
        self.last = message
        self.flow.send(message)
        if message.status < 200:
            return True
        if not self.invite:
            self.state = State.COMPLETED
            self.end_at(self.within(0 if self.flow.reliable else self.timing.b))  # timer J
        elif message.status < 300:
            self.state = State.ACCEPTED
            self.end_at(self.within(self.timing.b))  # timer L
        else:
            self.state = State.COMPLETED
            if not self.flow.reliable:  # timer G
                self.repeat(self.timing.t1, self.timing.t2, (State.COMPLETED,), self.retransmitted)
            self.end_at(self.within(self.timing.b))  # timer H
        return True

    def acknowledged(self) -> None:
        """The ACK of a final response that is no 2xx."""
        if self.invite and self.state is State.COMPLETED:
            self.state = State.CONFIRMED
            self.end_at(self.within(0 if self.flow.reliable else self.timing.t4))  # timer I


class ClientTransaction(Transaction):
    """INVITE or not. `on_response` sees each provisional one, and the final one once; 408 is a time-out and
    503 with no Via a transport that failed, as RFC 3261 8.1.3.1 has the user treat them."""

    def __init__(
        self, layer: Layer, flow: Flow, message: Message, key: str, on_response: Callable[[Message], None]
    ) -> None:
        super().__init__(layer, flow, message, key)
        self.invite = message.method == "INVITE"
        self.on_response = on_response
        self.abandoned = False
        self.ack: Message | None = None

    def start(self) -> None:
        self.flow.send(self.request)
        if not self.flow.reliable:  # timer A, or E
            most = self.timing.b if self.invite else self.timing.t2
            states = (State.CALLING,) if self.invite else (State.CALLING, State.PROCEEDING)
            self.repeat(self.timing.t1, most, states, self._again)
        self.layer.at(self.within(self.timing.b), self._timed_out)  # timer B, or F

    def _again(self) -> None:
        if not self.abandoned:  # a set-up that was given up is not pressed on a hub any more
            self.flow.send(self.request)

    def _timed_out(self) -> None:
        waits = (State.CALLING,) if self.invite else (State.CALLING, State.PROCEEDING)
        if self.state in waits:
            self.terminate()
            self.on_response(response(Message(), 408))

    def failed(self) -> None:
        """The transport has failed: that ends it where a response is still awaited."""
        if self.state in (State.CALLING, State.PROCEEDING):
            self.terminate()
            self.on_response(response(Message(), 503))

    def received(self, message: Message) -> None:
        if message.status < 200:
            if self.state in (State.CALLING, State.PROCEEDING):
                self.state = State.PROCEEDING
                self.on_response(message)
            return
        if self.state in (State.CALLING, State.PROCEEDING):
            self._final(message)
        elif self.state is State.COMPLETED and self.ack is not None and message.status >= 300:
            self.flow.send(self.ack)
        elif self.state is State.ACCEPTED and message.status < 300:
            self.on_response(message)  # a 2xx again: its ACK got lost

    def _final(self, message: Message) -> None:
        if not self.invite:
            self.state = State.COMPLETED
            self.end_at(self.within(0 if self.flow.reliable else self.timing.t4))  # timer K
        elif message.status < 300:
            self.state = State.ACCEPTED
            self.end_at(self.within(self.timing.b))  # timer M
        else:
            self.state = State.COMPLETED
            self.ack = ack_of(self.request, message)
            self.flow.send(self.ack)
            self.end_at(self.within(0 if self.flow.reliable else self.timing.b))  # timer D
        self.on_response(message)


def within(sent: Message, method: str, *more: tuple[str, str]) -> Message:
    """A request of the same transaction as `sent`: the CANCEL, or the ACK of a refusal (9.1, 17.1.1.3)."""
    number = sent.cseq[0]
    kept = [(k, v) for k, v in sent.headers if k in ("from", "to", "call-id", "route", "max-forwards")]
    return request(method, sent.uri, ("via", sent.get("via")), *kept, ("cseq", f"{number} {method}"), *more)


def ack_of(sent: Message, got: Message) -> Message:
    made = within(sent, "ACK")
    headers = tuple((k, got.get("to", v) if k == "to" else v) for k, v in made.headers)
    return Message("ACK", made.uri, headers=headers)
