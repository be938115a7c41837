"""The state of one call: pending until its final answer, then established until its release."""

from __future__ import annotations

from badgerstile.interface import AttemptOutcome, CallClass
from badgerstile.repeats import RepeatSafety
from landingdeal.core.events import Attempt, HubReleased, Offer, RefusalReason


class PendingCall:
    """A call without a final answer yet: it has at most one pending attempt and gets exactly one answer."""

    __slots__ = ("offer", "number", "deadline_ms", "attempt", "attempt_count", "not_before_ms", "concluded",
                 "refusal_reason", "early_release", "refused_ms_by_hub", "repeat_safety")  # fmt: skip

    def __init__(self, offer: Offer, number: int, call_class: CallClass | None = None) -> None:
        self.offer = offer
        self.number = number  # identifies the call in the decision module
        self.deadline_ms = offer.deadline_ms
        self.attempt: Attempt | None = None
        self.attempt_count = 0
        self.not_before_ms = float("-inf")  # until then the last attempt is being released
        self.concluded = False  # it has its final answer, or its caller cancelled
        self.refusal_reason = RefusalReason.UNAVAILABLE  # from the outcome of its last attempt
        self.refused_ms_by_hub: dict[bytes, float] = {}  # time of the last refusal by each lab hub
        self.early_release: HubReleased | None = None  # received before the answer of the pending attempt
        self.repeat_safety = RepeatSafety(call_class)

    def settle_attempt(self, outcome: AttemptOutcome) -> bool:
        """Notes the end of the pending attempt; returns whether any byte of it may have been sent.

        One that still waits to be written is withdrawn, so that it surely never runs.
        """
        if self.attempt is None:
            return False
        was_sent = not self.attempt.pending_send.ensure_withdrawn()
        self.repeat_safety.attempt_ended(outcome, was_sent)
        return was_sent

    def answer(self, description: bytes) -> bool:
        """Accepts the call. False if it already has its final answer."""
        if self.concluded:
            return False
        self.concluded = True
        self.offer.caller.answer(description)
        return True

    def refuse(
        self, retry_after_ms: float, refusal_reason: RefusalReason = RefusalReason.UNAVAILABLE
    ) -> bool:
        """Refuses the call. False if it already has its final answer.

        A caller is not invited to try again while an attempt may have run that its class forbids to repeat.
        """
        if self.concluded:
            return False
        self.settle_attempt(AttemptOutcome.CANCELLED)
        if refusal_reason.invites_retry and not self.repeat_safety.refusal_is_harmless:
            refusal_reason = RefusalReason.FAILED
        self.concluded, self.refusal_reason = True, refusal_reason
        self.offer.caller.refuse(retry_after_ms, refusal_reason)
        return True

    def cancel(self) -> bool:
        """The caller cancelled: no answer may follow. False if the call already has its final answer."""
        if self.concluded:
            return False
        self.settle_attempt(AttemptOutcome.CANCELLED)
        self.concluded = True
        return True


class EstablishedCall:
    """An established call. It is bound to no connection."""

    __slots__ = ("offer", "number", "attempt", "description", "since_ms")

    def __init__(self, call: PendingCall, attempt: Attempt, description: bytes, now: float) -> None:
        self.offer, self.number, self.attempt = call.offer, call.number, attempt
        self.description, self.since_ms = description, now
