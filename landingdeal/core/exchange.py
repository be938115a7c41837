"""The one object in which server side and client side meet."""

from __future__ import annotations

from landingdeal.core.events import Attempt, HubReleased, Offer, RefusalReason


class PendingCall:
    """A call: its absolute deadline, its one attempt, its one final answer."""

    __slots__ = ("offer", "number", "deadline_ms", "attempt", "attempts", "not_before", "final", "why",
                 "released", "answered_ms")  # fmt: skip

    def __init__(self, offer: Offer, number: int) -> None:
        self.offer = offer
        self.number = number  # what the decision module calls it
        self.deadline_ms = offer.deadline_ms
        self.attempt: Attempt | None = None
        self.attempts = 0
        self.not_before = float("-inf")
        self.final = False
        self.why = RefusalReason.UNAVAILABLE  # what its last attempt came to
        self.answered_ms: dict[bytes, float] = {}  # when each lab hub last refused it
        self.released: HubReleased | None = None  # it overtook the answer of the attempt that is out

    def answer(self, description: bytes) -> bool:
        """The call stands. False if it has had its final answer already."""
        if self.final:
            return False
        self.final = True
        self.offer.caller.answer(description)
        return True

    def refuse(self, come_back_ms: float, why: RefusalReason = RefusalReason.UNAVAILABLE) -> bool:
        if self.final:
            return False
        self.final = True
        self.offer.caller.refuse(come_back_ms, why)
        return True

    def withdraw(self) -> bool:
        """The caller stopped waiting: no answer is owed and none may follow."""
        if self.final:
            return False
        self.final = True
        return True


class EstablishedCall:
    """A call that stands: it belongs to no connection."""

    __slots__ = ("offer", "number", "attempt", "description", "since_ms")

    def __init__(self, exchange: PendingCall, attempt: Attempt, description: bytes, now: float) -> None:
        self.offer, self.number, self.attempt = exchange.offer, exchange.number, attempt
        self.description, self.since_ms = description, now
