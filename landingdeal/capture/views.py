"""Shows calls as rows, as a table and as a ladder diagram. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

from landingdeal.capture.calls import CallRecord
from landingdeal.capture.layers import Address

COLUMNS = (
    "number", "call_id", "caller", "called", "class", "transport", "source", "target", "start_s", "outcome",
    "status", "answer_ms", "hold_ms", "ended_by", "cause", "later_ms", "retransmissions", "reinvites",
    "first_try", "begun_before", "cut_off",
)  # fmt: skip


def format_address(address: Address) -> str:
    """HOST:PORT, with brackets around an IPv6 address."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def as_row(call: CallRecord) -> dict[str, Any]:
    """The call as a row with the keys `COLUMNS`. Times are -1 if the capture has no such event."""
    return {
        "number": call.number, "call_id": call.call_id, "caller": call.caller, "called": call.called,
        "class": call.class_name, "transport": call.transport, "source": format_address(call.source),
        "target": format_address(call.target), "start_s": round(call.start_ns / 1e9, 6),
        "outcome": call.outcome.value, "status": call.status, "answer_ms": round(call.answer_ms, 3),
        "hold_ms": round(call.hold_ms, 3), "ended_by": call.released_by.value if call.released_by else "",
        "cause": call.cause, "later_ms": call.retry_after_ms, "retransmissions": call.retransmissions,
        "reinvites": len(call.reinvites), "first_try": call.first_try,
        "begun_before": call.started_before_capture, "cut_off": call.cut_off,
    }  # fmt: skip


def call_table(calls: Iterable[CallRecord]) -> Iterator[str]:
    """The lines of a table for the terminal, a head line first."""
    yield (f"{'call':>6} {'at (UTC)':12}  {'caller':24} {'called':12} {'class':14} {'outcome':11} "
           f"{'status':>6} {'answer ms':>9} {'hold ms':>9}  notes")  # fmt: skip
    for call in calls:
        notes = []
        if call.first_try:
            notes.append(f"tries {call.first_try} again")
        if call.retransmissions:
            notes.append(f"{call.retransmissions} repeats")
        if call.started_before_capture:
            notes.append("begun before")
        if call.cut_off:
            notes.append("cut off")
        answer = f"{call.answer_ms:.1f}" if call.answer_ms >= 0 else "-"
        hold = f"{call.hold_ms:.0f}" if call.hold_ms >= 0 else "-"
        start_time = datetime.fromtimestamp(call.start_ns / 1e9, UTC).strftime("%H:%M:%S.%f")[:12]
        yield (f"{call.number:6} {start_time}  {call.caller[:24]:24} {call.called[:12]:12} "
               f"{call.class_name[:14]:14} {call.outcome.value:11} {call.status or '-':>6} "
               f"{answer:>9} {hold:>9}  {', '.join(notes)}".rstrip())  # fmt: skip


COLUMN_WIDTH = 34  # between the vertical lines of two parties


def ladder_lines(call: CallRecord) -> Iterator[str]:
    """The lines of a ladder diagram of the call's messages in order of time, drawn as in RFC 3665."""
    parties: list[Address] = []
    for step in call.ladder:
        for endpoint in (step.source, step.target):
            if endpoint not in parties:
                parties.append(endpoint)
    yield f"call {call.number}  {call.call_id}  {call.caller} to {call.called}  {call.outcome.value}"
    yield " " * 11 + "".join(f"{format_address(endpoint):^{COLUMN_WIDTH}}" for endpoint in parties).rstrip()
    middle = COLUMN_WIDTH // 2
    for step in call.ladder:
        line = list(" " * (COLUMN_WIDTH * len(parties)))
        for n in range(len(parties)):
            line[n * COLUMN_WIDTH + middle] = "|"
        low, high = sorted((parties.index(step.source), parties.index(step.target)))
        if low != high:
            left, right = low * COLUMN_WIDTH + middle + 1, high * COLUMN_WIDTH + middle
            to_right = parties.index(step.source) == low
            text = f" {step.label} "[: right - left - 3]
            span = list(text.center(right - left, "-"))
            span[-1 if to_right else 0] = ">" if to_right else "<"
            line[left:right] = span
        elapsed_ms = (step.time_ns - call.ladder[0].time_ns) / 1e6
        yield f"{elapsed_ms:10.3f} " + "".join(line).rstrip()
