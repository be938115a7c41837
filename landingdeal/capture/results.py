"""A replay against its capture: call by call, by class, and how late its sends were. Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from typing import Any

from landingdeal.capture.calls import Outcome
from landingdeal.capture.player import ReplayResult
from landingdeal.capture.replay import ReplayReport

LATE_MS = 1.0  # a send so much after its plan is told
HISTOGRAM_MOST_US = 3_600_000_000


def quantile(values: Sequence[float], part: float) -> float:
    """The nearest rank; nan of nothing."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def _histogram(values_ms: Sequence[float]) -> dict[str, float]:
    """HDR histogram of the spans that happened: three digits, from a microsecond to an hour."""
    from hdrh.histogram import HdrHistogram

    made, values_ms = HdrHistogram(1, HISTOGRAM_MOST_US, 3), [value for value in values_ms if value >= 0]
    for value in values_ms:
        made.record_value(min(max(round(value * 1000), 1), HISTOGRAM_MOST_US))
    if not values_ms:
        return {}
    told = {f"p{part:g}": made.get_value_at_percentile(part) / 1000 for part in (50, 90, 99, 99.9)}
    return {**told, "most": made.get_max_value() / 1000}


def last_tries(report: ReplayReport) -> list[ReplayResult]:
    """One result a call: that of its last try."""
    made: dict[int, ReplayResult] = {}
    for result in report.results:
        known = made.get(result.offered.index)
        if known is None or result.tries > known.tries:
            made[result.offered.index] = result
    return [made[index] for index in sorted(made)]


def same(result: ReplayResult) -> bool:
    """Whether the replay came to what the capture holds."""
    one = result.offered
    return (result.outcome, result.status) == (one.recorded_outcome, one.recorded_status)


def rows(report: ReplayReport) -> Iterator[dict[str, Any]]:
    for result in last_tries(report):
        one = result.offered
        yield {
            "call": one.name, "class": one.class_name, "at_ms": round(one.at_ms, 3), "tries": result.tries,
            "recorded": one.recorded_outcome.value, "recorded_status": one.recorded_status,
            "recorded_ms": round(one.recorded_ms, 3), "replayed": result.outcome.value,
            "replayed_status": result.status, "replayed_ms": round(result.answer_ms, 3),
            "late_ms": round(result.late_ms, 3), "ended_by": result.ended_by, "finals": result.finals,
            "error": result.error, "same": same(result),
        }  # fmt: skip


def summary(report: ReplayReport) -> dict[str, Any]:
    results = last_tries(report)
    late = [result.late_ms for result in report.results if not result.error.startswith("shed")]
    by_class: dict[str, list[ReplayResult]] = defaultdict(list)
    for result in results:
        by_class[result.offered.class_name or "-"].append(result)
    return {
        "calls": len(results), "same": sum(map(same, results)),
        "outcomes": dict(sorted(Counter(r.outcome.value for r in results).items())),
        "errors": dict(sorted(Counter(r.error for r in results if r.error).items())),
        "twice_answered": sum(r.finals > 1 for r in report.results),
        "without_outcome": 0 if not report.stopped else None,
        "shed": dict(sorted(report.shed.items())), "retries": report.retries,
        "retries_denied": report.retries_denied, "skipped": report.skipped,
        "left_in_flight": len(report.left_in_flight), "strays": report.strays,
        "late_ms": {
            "p50": round(quantile(late, 0.5), 3), "p99": round(quantile(late, 0.99), 3),
            "most": round(max(late, default=float("nan")), 3),
            "over_1_ms": sum(value > LATE_MS for value in late),
        },
        "classes": {
            name: {
                "calls": len(found), "same": sum(map(same, found)),
                "stood": sum(r.outcome is Outcome.STOOD for r in found),
                "recorded_ms": _histogram([r.offered.recorded_ms for r in found]),
                "replayed_ms": _histogram([r.answer_ms for r in found]),
            }
            for name, found in sorted(by_class.items())
        },
    }  # fmt: skip
