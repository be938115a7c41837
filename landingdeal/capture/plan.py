"""From calls of a capture to a plan of offered load: what is sent, when, and after what. Pure.

Open loop: each call's first message has an absolute place in the plan, whatever became of the calls before.
What depends on answers (ACK, BYE, CANCEL) is planned as a span after them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from landingdeal.capture.calls import CallRecord, Outcome, Side
from landingdeal.capture.retries import RetryPolicy
from landingdeal.sip.message import Message

BLOCK = 4096  # calls whose copies are drawn at once
MAX_HOLD_MS = 24 * 3600 * 1000.0


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call to be offered. Spans in milliseconds; -1 where the capture holds nothing of the kind.

    `at_ms` is counted from the start of the replay. `copy` is 0 for the call as recorded.
    """

    index: int  # in the order of the plan; what a resumed replay counts by
    number: int  # of the call in the capture
    copy_number: int
    at_ms: float
    invite: Message
    transport: str
    class_name: str
    patience_ms: float
    cancel_after_ms: float  # after the INVITE
    hold_ms: float  # after the final answer, until this side's BYE; -1: the other side ends it
    recorded_ms: float  # after the INVITE, the final answer
    recorded_status: int
    recorded_outcome: Outcome
    first_try: int = 0

    @property
    def name(self) -> str:
        return f"{self.number}" if not self.copy_number else f"{self.number}.{self.copy_number}"


@dataclass(frozen=True, slots=True)
class ReplayOptions:
    """How a capture is offered."""

    speed: float = 1.0  # 2: in half the time; spans within a call stay as they were
    scale: int = 1  # so many callers for each one recorded
    spread_ms: float = 500.0  # over which copies start after the recorded one, at exponential distances
    seed: int = 1
    retries: RetryPolicy = RetryPolicy.RECORDED
    transport: str = ""  # UDP or TCP instead of the recorded one
    linger_ms: float = 5000.0  # a call that the other side ended in the capture is ended by us so much later


def skip_reason(call: CallRecord) -> str:
    """Why a call can't be offered; empty if it can."""
    if call.invite is None or call.begun_before:
        return "begun before the capture"
    return ""


def planned_call(call: CallRecord, first_ns: int, options: ReplayOptions) -> PlannedCall:
    """The call as recorded."""
    assert call.invite is not None
    cancel = (call.cancel_ns - call.invite_ns) / 1e6 if call.cancel_ns >= 0 else -1.0
    hold = -1.0
    if call.outcome is Outcome.STOOD:
        if call.bye_by is Side.CALLER:
            hold = call.hold_ms
        elif call.bye_by is Side.CALLED:
            hold = call.hold_ms + options.linger_ms  # it is for the other side to end it; else we do
        else:
            hold = options.linger_ms  # its end is not in the capture
    return PlannedCall(
        index=0, number=call.number, copy_number=0, at_ms=(call.invite_ns - first_ns) / 1e6 / options.speed,
        invite=call.invite, transport=options.transport or call.transport, class_name=call.class_name,
        patience_ms=call.patience_ms, cancel_after_ms=cancel, hold_ms=min(hold, MAX_HOLD_MS),
        recorded_ms=call.answer_ms, recorded_status=call.status, recorded_outcome=call.outcome,
        first_try=call.first_try,
    )  # fmt: skip


def with_copies(call: PlannedCall, options: ReplayOptions) -> Iterator[PlannedCall]:
    """The call and its copies: each with an identity of its own, started a little later."""
    yield call
    rng = random.Random(f"{options.seed}/{call.number}")
    for copy_number in range(1, options.scale):
        delay_ms = rng.expovariate(1.0) * options.spread_ms / options.speed
        yield replace(call, copy_number=copy_number, at_ms=call.at_ms + delay_ms)


@dataclass(slots=True)
class SkippedCalls:
    """What was not planned, and why."""

    reasons: dict[str, int]

    def add(self, reason: str) -> None:
        self.reasons[reason] = self.reasons.get(reason, 0) + 1


def plan(
    calls: Iterable[CallRecord], options: ReplayOptions, skipped: SkippedCalls, first_ns: int | None = None
) -> list[PlannedCall]:
    """All calls in the order in which they are offered, numbered; `left` counts those that can't be."""
    found: list[CallRecord] = []
    for call in calls:
        reason = skip_reason(call)
        if not reason and call.first_try and options.retries is not RetryPolicy.RECORDED:
            reason = "a try again"
        if reason:
            skipped.add(reason)
        else:
            found.append(call)
    if not found:
        return []
    start = min(call.invite_ns for call in found) if first_ns is None else first_ns
    planned = [entry for call in found for entry in with_copies(planned_call(call, start, options), options)]
    planned.sort(key=lambda entry: (entry.at_ms, entry.number, entry.copy_number))
    return [replace(entry, index=index) for index, entry in enumerate(planned)]


def identity(call: PlannedCall, try_number: int, seed: int) -> tuple[str, str]:
    """Call-ID and From tag of one try of a planned call: the same on every run with the same seed."""
    rng = random.Random(f"{seed}/{call.number}/{call.copy_number}/{try_number}")
    return f"{rng.getrandbits(64):016x}", f"r{rng.getrandbits(32):08x}"


def fingerprint(calls: Sequence[PlannedCall]) -> str:
    """What a saved state belongs to: two plans with the same one offer the same calls at the same times."""
    import xxhash

    digest = xxhash.xxh3_128()
    for call in calls:
        digest.update(f"{call.number}.{call.copy_number}@{call.at_ms:.3f} {call.invite.call_id}\n".encode())
    return digest.hexdigest()
