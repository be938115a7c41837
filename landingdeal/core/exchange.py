"""The one object in which server side and client side meet."""

from __future__ import annotations

from landingdeal.core.events import Attempt, HubReleased, Offer, RefusalReason


class PendingCall:
    """A call: its absolute deadline, its one attempt, its one final answer."""

    __slots__ = ("offer", "number", "deadline_ms", "attempt", "attempt_count", "not_before_ms", "concluded",
                 "refusal_reason", "early_release", "refused_ms_by_hub")  # fmt: skip

    def __init__(self, offer: Offer, number: int) -> None:
        self.offer = offer
        self.number = number  # what the decision module calls it
        self.deadline_ms = offer.deadline_ms
        self.attempt: Attempt | None = None
        self.attempt_count = 0
        self.not_before_ms = float("-inf")
        self.concluded = False
        self.refusal_reason = RefusalReason.UNAVAILABLE  # what its last attempt came to
        self.refused_ms_by_hub: dict[bytes, float] = {}  # when each lab hub last refused it
        self.early_release: HubReleased | None = None  # it overtook the answer of the attempt that is out

    def answer(self, description: bytes) -> bool:
        """The call stands. False if it has had its final answer already."""
        if self.concluded:
            return False
        self.concluded = True
        self.offer.caller.answer(description)
        return True

    def refuse(
        self, retry_after_ms: float, refusal_reason: RefusalReason = RefusalReason.UNAVAILABLE
    ) -> bool:
        if self.concluded:
            return False
        self.concluded = True
        self.offer.caller.refuse(retry_after_ms, refusal_reason)
        return True

    def cancel(self) -> bool:
        """The caller stopped waiting: no answer is owed and none may follow."""
        if self.concluded:
            return False
        self.concluded = True
        return True


class EstablishedCall:
    """A call that stands: it belongs to no connection."""

    __slots__ = ("offer", "number", "attempt", "description", "since_ms")

    def __init__(self, call: PendingCall, attempt: Attempt, description: bytes, now: float) -> None:
        self.offer, self.number, self.attempt = call.offer, call.number, attempt
        self.description, self.since_ms = description, now
