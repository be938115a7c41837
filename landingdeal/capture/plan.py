"""Turns the calls of a capture into a plan of offered calls. Pure.

The load is open loop: each INVITE has an absolute time in the plan, independent of how earlier calls end.
CANCEL and BYE are planned as delays after the INVITE and the final answer.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from landingdeal.capture.calls import CallRecord, Outcome, Party
from landingdeal.capture.retries import ReplayRetryPolicy
from landingdeal.sip.message import Message

BLOCK = 4096  # calls whose copies are drawn at once
MAX_HOLD_MS = 24 * 3600 * 1000.0


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call to be offered. Times are -1 if the capture has no such event.

    `at_ms` counts from the start of the replay. `copy_number` is 0 for the call as recorded.
    """

    index: int  # position in the plan; the state file refers to calls by it
    number: int  # the call's number in the capture
    copy_number: int
    at_ms: float
    invite: Message
    transport: str
    class_name: str
    patience_ms: float
    cancel_after_ms: float  # after the INVITE
    hold_ms: float  # from the final answer to our BYE
    recorded_ms: float  # from the INVITE to the final answer
    recorded_status: int
    recorded_outcome: Outcome
    first_try: int = 0  # number of the call that this one retries; 0 for a first try

    @property
    def name(self) -> str:
        """The call's number in the capture, with the copy's number for a copy."""
        return f"{self.number}" if not self.copy_number else f"{self.number}.{self.copy_number}"


@dataclass(frozen=True, slots=True)
class ReplayOptions:
    """How the calls of a capture are offered."""

    speed: float = 1.0  # 2 offers the calls in half the time; times within a call are unchanged
    scale: int = 1  # calls offered per recorded call, the recorded one included
    spread_ms: float = 500.0  # mean delay of a copy after the recorded call; exponentially distributed
    seed: int = 1
    retries: ReplayRetryPolicy = ReplayRetryPolicy.RECORDED
    transport: str = ""  # UDP or TCP; empty for the recorded transport
    linger_ms: float = 5000.0  # wait for the called side's BYE, beyond the recorded time, before we send BYE


def skip_reason(call: CallRecord) -> str:
    """Why a call can't be offered; empty if it can."""
    if call.invite is None or call.started_before_capture:
        return "begun before the capture"
    return ""


def planned_call(call: CallRecord, first_ns: int, options: ReplayOptions) -> PlannedCall:
    """The plan entry for a call as recorded."""
    assert call.invite is not None
    cancel = (call.cancel_ns - call.invite_ns) / 1e6 if call.cancel_ns >= 0 else -1.0
    hold = -1.0
    if call.outcome is Outcome.ESTABLISHED:
        if call.released_by is Party.CALLER:
            hold = call.hold_ms
        elif call.released_by is Party.CALLED:
            hold = call.hold_ms + options.linger_ms  # the called side should end it; if it doesn't, we do
        else:
            hold = options.linger_ms  # the capture doesn't contain its end
    return PlannedCall(
        index=0, number=call.number, copy_number=0, at_ms=(call.invite_ns - first_ns) / 1e6 / options.speed,
        invite=call.invite, transport=options.transport or call.transport, class_name=call.class_name,
        patience_ms=call.patience_ms, cancel_after_ms=cancel, hold_ms=min(hold, MAX_HOLD_MS),
        recorded_ms=call.answer_ms, recorded_status=call.status, recorded_outcome=call.outcome,
        first_try=call.first_try,
    )  # fmt: skip


def with_copies(call: PlannedCall, options: ReplayOptions) -> Iterator[PlannedCall]:
    """The call and its copies, each started after a random delay."""
    yield call
    rng = random.Random(f"{options.seed}/{call.number}")
    for copy_number in range(1, options.scale):
        delay_ms = rng.expovariate(1.0) * options.spread_ms / options.speed
        yield replace(call, copy_number=copy_number, at_ms=call.at_ms + delay_ms)


@dataclass(slots=True)
class SkippedCalls:
    """Counts the calls left out of the plan, by reason."""

    reasons: dict[str, int]

    def add(self, reason: str) -> None:
        self.reasons[reason] = self.reasons.get(reason, 0) + 1


def plan(
    calls: Iterable[CallRecord], options: ReplayOptions, skipped: SkippedCalls, first_ns: int | None = None
) -> list[PlannedCall]:
    """The calls in the order in which they are offered, numbered; `skipped` counts those left out."""
    accepted: list[CallRecord] = []
    for call in calls:
        reason = skip_reason(call)
        if not reason and call.first_try and options.retries is not ReplayRetryPolicy.RECORDED:
            reason = "a try again"
        if reason:
            skipped.add(reason)
        else:
            accepted.append(call)
    if not accepted:
        return []
    start_ns = min(call.invite_ns for call in accepted) if first_ns is None else first_ns
    planned = [
        entry for call in accepted for entry in with_copies(planned_call(call, start_ns, options), options)
    ]
    planned.sort(key=lambda entry: (entry.at_ms, entry.number, entry.copy_number))
    return [replace(entry, index=index) for index, entry in enumerate(planned)]


def identity(call: PlannedCall, try_number: int, seed: int) -> tuple[str, str]:
    """Call-ID and From tag of one try of a planned call; the same for the same seed."""
    rng = random.Random(f"{seed}/{call.number}/{call.copy_number}/{try_number}")
    return f"{rng.getrandbits(64):016x}", f"r{rng.getrandbits(32):08x}"


def fingerprint(calls: Sequence[PlannedCall]) -> str:
    """Identifies a plan in the state file: equal fingerprints mean the same calls at the same times."""
    import xxhash

    digest = xxhash.xxh3_128()
    for call in calls:
        digest.update(f"{call.number}.{call.copy_number}@{call.at_ms:.3f} {call.invite.call_id}\n".encode())
    return digest.hexdigest()
