"""Headers that both fronts read and write: load reports, rejection notes and release causes."""

from __future__ import annotations

from badgerstile.interface import LoadField, RejectionReason, Settings
from landingdeal.sip.message import Message

LOAD_FIELD_NAMES = {
    "x0": LoadField.FREE_CIRCUITS, "free": LoadField.FREE_CIRCUITS,
    "x1": LoadField.GROUP_SIZE, "size": LoadField.GROUP_SIZE,
    "queue": LoadField.QUEUE_LENGTH, "depth": LoadField.QUEUE_LENGTH,
    "qps": LoadField.CAPACITY_PER_S, "can_take": LoadField.CAPACITY_PER_S,
    "util": LoadField.UTILIZATION, "load_share": LoadField.UTILIZATION,
    "latency_ms": LoadField.WAIT_MS, "mean_ms": LoadField.WAIT_MS,
    "inflight": LoadField.CALLS_IN_PROGRESS, "concurrent": LoadField.CALLS_IN_PROGRESS,
    "eps": LoadField.HOLD_BACK, "hold_back": LoadField.HOLD_BACK,
}  # fmt: skip
ALLOW_HEADER = ("allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")
REASONS_BY_NOTE = {
    "nc": RejectionReason.NO_CIRCUIT, "tb": RejectionReason.TANDEM, "fovl": RejectionReason.TANDEM_FAR_FULL,
    "ovl": RejectionReason.PROCESSOR_FULL, "busy": RejectionReason.LINES_BUSY,
}  # fmt: skip


def release_cause(message: Message) -> int:
    """Returns the cause in `Reason: Q.850;cause=N`, or 16 (normal clearing) if it has no usable one."""
    _, _, value = message.get("reason").partition("cause=")
    digits = value.split(";")[0].strip()
    return int(digits) if digits.isascii() and digits.isdecimal() and len(digits) < 4 else 16


def reason_header(cause: int) -> tuple[str, str]:
    """Returns the Reason header that carries a Q.850 cause."""
    return "reason", f"Q.850;cause={cause}"


def rejection_reason(message: Message) -> RejectionReason:
    """Returns the reason that a hub gives in X-Note; NONE if the note is missing or unknown."""
    return REASONS_BY_NOTE.get(message.get("x-note").strip(), RejectionReason.NONE)


def load_values(message: Message, settings: Settings) -> tuple[float, ...]:
    """Returns the load values in `X-State: x0:12;x1:40;queue:3`, in the order of the settings.

    A field that the header does not name, or whose value is not a number, is -1.
    Without the header the result is empty.
    """
    report = message.get("x-state")
    if not report:
        return ()
    reported: dict[LoadField, float] = {}
    for part in report.split(";"):
        name, _, value = part.partition(":")
        try:
            reported[LOAD_FIELD_NAMES.get(name.strip(), LoadField.UNKNOWN)] = float(value)
        except ValueError:
            continue
    return tuple(reported.get(load_field, -1.0) for load_field in settings.load_fields)
