"""Two captures call by call: which calls are in both, how they ended, how far their times differ. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from landingdeal.capture.calls import CallRecord


@dataclass(slots=True)
class Comparison:
    pairs: list[tuple[CallRecord, CallRecord]] = field(default_factory=list)
    only_a: list[CallRecord] = field(default_factory=list)
    only_b: list[CallRecord] = field(default_factory=list)

    @property
    def differing(self) -> list[tuple[CallRecord, CallRecord]]:
        """Pairs with another outcome, final answer or side that ended them."""
        return [(a, b) for a, b in self.pairs if _end(a) != _end(b)]

    @property
    def equal(self) -> bool:
        return not (self.only_a or self.only_b or self.differing)


def _end(call: CallRecord) -> tuple[Any, ...]:
    return call.outcome, call.status, call.released_by


def compare(a: Iterable[CallRecord], b: Iterable[CallRecord]) -> Comparison:
    """Pairs by Call-ID; what is left (a replay has new ones) by caller and number, in order of time."""
    made = Comparison()
    rest_b = {call.call_id: call for call in b}
    rest_a = []
    for call in a:
        other = rest_b.pop(call.call_id, None)
        if other is None:
            rest_a.append(call)
        else:
            made.pairs.append((call, other))
    waiting: dict[tuple[str, str], list[CallRecord]] = defaultdict(list)
    for call in sorted(rest_b.values(), key=lambda one: one.start_ns):
        waiting[_who(call)].append(call)
    for call in sorted(rest_a, key=lambda one: one.start_ns):
        same = waiting[_who(call)]
        if same:
            made.pairs.append((call, same.pop(0)))
        else:
            made.only_a.append(call)
    made.only_b = sorted((c for left in waiting.values() for c in left), key=lambda one: one.start_ns)
    return made


def _who(call: CallRecord) -> tuple[str, str]:
    return call.caller.partition("@")[0], call.called


def shifts(made: Comparison) -> dict[str, list[float]]:
    """Milliseconds that B is later than A: starts (from each one's first), answers, holding times."""
    if not made.pairs:
        return {}
    first_a, first_b = (min(pair[n].start_ns for pair in made.pairs) for n in (0, 1))
    return {
        "start_ms": [((b.start_ns - first_b) - (a.start_ns - first_a)) / 1e6 for a, b in made.pairs],
        "answer_ms": [b.answer_ms - a.answer_ms for a, b in made.pairs if min(a.answer_ms, b.answer_ms) >= 0],
        "hold_ms": [b.hold_ms - a.hold_ms for a, b in made.pairs if min(a.hold_ms, b.hold_ms) >= 0],
    }
