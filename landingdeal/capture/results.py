"""Compares a replay with its capture per call and per class, and shows how late its set-ups were. Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from typing import Any

from landingdeal.capture.calls import Outcome
from landingdeal.capture.player import ReplayResult
from landingdeal.capture.replay import ReplayReport

LATE_THRESHOLD_MS = 1.0  # set-ups sent later than this are counted
MAX_HISTOGRAM_US = 3_600_000_000  # an hour; longer times are recorded as this


def quantile(values: Sequence[float], fraction: float) -> float:
    """The quantile by nearest rank; nan if there are no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def _histogram(values_ms: Sequence[float]) -> dict[str, float]:
    """Percentiles by an HDR histogram (three digits, a microsecond to an hour). Negative times are unset."""
    from hdrh.histogram import HdrHistogram

    histogram, values_ms = HdrHistogram(1, MAX_HISTOGRAM_US, 3), [value for value in values_ms if value >= 0]
    for value in values_ms:
        histogram.record_value(min(max(round(value * 1000), 1), MAX_HISTOGRAM_US))
    if not values_ms:
        return {}
    percentiles = {
        f"p{fraction:g}": histogram.get_value_at_percentile(fraction) / 1000
        for fraction in (50, 90, 99, 99.9)
    }
    return {**percentiles, "most": histogram.get_max_value() / 1000}


def last_tries(report: ReplayReport) -> list[ReplayResult]:
    """One result per call: that of its last try, in the order of the plan."""
    latest: dict[int, ReplayResult] = {}
    for result in report.results:
        previous = latest.get(result.planned.index)
        if previous is None or result.try_number > previous.try_number:
            latest[result.planned.index] = result
    return [latest[index] for index in sorted(latest)]


def matches_recording(result: ReplayResult) -> bool:
    """Whether the call had the same outcome and status as in the capture."""
    call = result.planned
    return (result.outcome, result.status) == (call.recorded_outcome, call.recorded_status)


def rows(report: ReplayReport) -> Iterator[dict[str, Any]]:
    """One row per call: recorded and replayed outcome."""
    for result in last_tries(report):
        call = result.planned
        yield {
            "call": call.name, "class": call.class_name, "at_ms": round(call.at_ms, 3),
            "tries": result.try_number, "recorded": call.recorded_outcome.value,
            "recorded_status": call.recorded_status, "recorded_ms": round(call.recorded_ms, 3),
            "replayed": result.outcome.value, "replayed_status": result.status,
            "replayed_ms": round(result.answer_ms, 3),
            "late_ms": round(result.late_ms, 3), "ended_by": result.ended_by, "finals": result.final_answers,
            "error": result.error, "same": matches_recording(result),
        }  # fmt: skip


def summary(report: ReplayReport) -> dict[str, Any]:
    """Totals, send delays and answer times per class."""
    results = last_tries(report)
    delays_ms = [result.late_ms for result in report.results if not result.error.startswith("shed")]
    by_class: dict[str, list[ReplayResult]] = defaultdict(list)
    for result in results:
        by_class[result.planned.class_name or "-"].append(result)
    return {
        "calls": len(results), "same": sum(map(matches_recording, results)),
        "outcomes": dict(sorted(Counter(r.outcome.value for r in results).items())),
        "errors": dict(sorted(Counter(r.error for r in results if r.error).items())),
        "twice_answered": sum(r.final_answers > 1 for r in report.results),
        "without_outcome": 0 if not report.stopped else None,
        "shed": dict(sorted(report.shed.items())), "retries": report.retries,
        "retries_denied": report.retries_denied, "skipped": report.skipped,
        "left_in_flight": len(report.left_in_flight), "strays": report.unmatched_messages,
        "late_ms": {
            "p50": round(quantile(delays_ms, 0.5), 3), "p99": round(quantile(delays_ms, 0.99), 3),
            "most": round(max(delays_ms, default=float("nan")), 3),
            "over_1_ms": sum(value > LATE_THRESHOLD_MS for value in delays_ms),
        },
        "classes": {
            name: {
                "calls": len(class_results), "same": sum(map(matches_recording, class_results)),
                "stood": sum(r.outcome is Outcome.ESTABLISHED for r in class_results),
                "recorded_ms": _histogram([r.planned.recorded_ms for r in class_results]),
                "replayed_ms": _histogram([r.answer_ms for r in class_results]),
            }
            for name, class_results in sorted(by_class.items())
        },
    }  # fmt: skip
