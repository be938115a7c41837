"""Compares two captures call by call: which calls are in both, their outcomes and their times. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from landingdeal.capture.calls import CallRecord


@dataclass(slots=True)
class Comparison:
    """The calls in both captures, as pairs, and those in only one."""

    pairs: list[tuple[CallRecord, CallRecord]] = field(default_factory=list)
    only_a: list[CallRecord] = field(default_factory=list)
    only_b: list[CallRecord] = field(default_factory=list)

    @property
    def differing(self) -> list[tuple[CallRecord, CallRecord]]:
        """Pairs that differ in outcome, final answer or the side that sent BYE."""
        return [(a, b) for a, b in self.pairs if _final_state(a) != _final_state(b)]

    @property
    def equal(self) -> bool:
        """Whether both captures have the same calls with the same outcomes."""
        return not (self.only_a or self.only_b or self.differing)


def _final_state(call: CallRecord) -> tuple[Any, ...]:
    return call.outcome, call.status, call.released_by


def compare(a: Iterable[CallRecord], b: Iterable[CallRecord]) -> Comparison:
    """Pairs calls by Call-ID, the rest by caller and called number in order of time.

    The second step is for replays, which have new Call-IDs.
    """
    comparison = Comparison()
    unmatched_b = {call.call_id: call for call in b}
    unmatched_a = []
    for call in a:
        match = unmatched_b.pop(call.call_id, None)
        if match is None:
            unmatched_a.append(call)
        else:
            comparison.pairs.append((call, match))
    by_parties: dict[tuple[str, str], list[CallRecord]] = defaultdict(list)
    for call in sorted(unmatched_b.values(), key=lambda call: call.start_ns):
        by_parties[_parties(call)].append(call)
    for call in sorted(unmatched_a, key=lambda call: call.start_ns):
        candidates = by_parties[_parties(call)]
        if candidates:
            comparison.pairs.append((call, candidates.pop(0)))
        else:
            comparison.only_a.append(call)
    comparison.only_b = sorted(
        (c for remaining in by_parties.values() for c in remaining), key=lambda call: call.start_ns
    )
    return comparison


def _parties(call: CallRecord) -> tuple[str, str]:
    return call.caller.partition("@")[0], call.called


def time_shifts_ms(comparison: Comparison) -> dict[str, list[float]]:
    """By how much B is later than A: starts (relative to the first paired call), answer and holding times."""
    if not comparison.pairs:
        return {}
    first_a, first_b = (min(pair[n].start_ns for pair in comparison.pairs) for n in (0, 1))
    return {
        "start_ms": [((b.start_ns - first_b) - (a.start_ns - first_a)) / 1e6 for a, b in comparison.pairs],
        "answer_ms": [
            b.answer_ms - a.answer_ms for a, b in comparison.pairs if min(a.answer_ms, b.answer_ms) >= 0
        ],
        "hold_ms": [b.hold_ms - a.hold_ms for a, b in comparison.pairs if min(a.hold_ms, b.hold_ms) >= 0],
    }
