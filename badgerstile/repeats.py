"""Whether a call may be sent again, and whether its caller may be told that trying again is harmless.

Both follow from the effect of the call's class and the outcomes of its attempts. The decision module and the
core of the real program use this one rule.
"""

from __future__ import annotations

from badgerstile.interface import AttemptOutcome, CallClass, RetryPolicy

OUTCOMES_WITHOUT_EFFECT = frozenset(
    {AttemptOutcome.TURNED_BACK, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT}
)


class RepeatSafety:
    """What is known of one call's attempts, and what its class allows after them.

    `call_class` is None for a call whose class is unknown: no attempt is ever made for it.
    """

    __slots__ = ("call_class", "may_have_run")

    def __init__(self, call_class: CallClass | None) -> None:
        self.call_class = call_class
        self.may_have_run = False

    def attempt_ended(self, outcome: AttemptOutcome, was_sent: bool = True) -> None:
        """Takes the outcome of an attempt; with `was_sent` false, no byte of it has left."""
        if was_sent and outcome not in OUTCOMES_WITHOUT_EFFECT:
            self.may_have_run = True

    @property
    def class_allows_repeats(self) -> bool:
        """Whether calls of the class may run more than once."""
        return self.call_class is not None and self.call_class.retry_policy is RetryPolicy.FREE

    @property
    def repeats_are_discarded(self) -> bool:
        """Whether every exchange discards a repeat of a call of the class."""
        return (
            self.call_class is not None
            and self.call_class.retry_policy is RetryPolicy.GUARDED
            and self.call_class.repeats_discarded_everywhere
        )

    @property
    def may_be_sent_again(self) -> bool:
        """Whether another attempt can do no harm."""
        return not self.may_have_run or self.class_allows_repeats

    @property
    def refusal_is_harmless(self) -> bool:
        """Whether the caller may be told to try again."""
        return self.may_be_sent_again or self.repeats_are_discarded
