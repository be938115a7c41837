"""The headers of the platform and of our hubs that both fronts read: reports, notes, causes, facts."""

from __future__ import annotations

from badgerstile.interface import LoadField, RejectionReason, Settings
from landingdeal.sip.message import Message

REPORT_NAMES = {
    "x0": LoadField.FREE_CIRCUITS, "free": LoadField.FREE_CIRCUITS,
    "x1": LoadField.GROUP_SIZE, "size": LoadField.GROUP_SIZE,
    "queue": LoadField.QUEUE_LENGTH, "depth": LoadField.QUEUE_LENGTH,
    "qps": LoadField.CAPACITY_PER_S, "can_take": LoadField.CAPACITY_PER_S,
    "util": LoadField.UTILIZATION, "load_share": LoadField.UTILIZATION,
    "latency_ms": LoadField.WAIT_MS, "mean_ms": LoadField.WAIT_MS,
    "inflight": LoadField.CALLS_IN_PROGRESS, "concurrent": LoadField.CALLS_IN_PROGRESS,
    "eps": LoadField.HOLD_BACK, "hold_back": LoadField.HOLD_BACK,
}  # fmt: skip
ALLOW = ("allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")
NOTES = {
    "nc": RejectionReason.NO_CIRCUIT, "tb": RejectionReason.TANDEM, "fovl": RejectionReason.TANDEM_FAR_FULL,
    "ovl": RejectionReason.PROCESSOR_FULL, "busy": RejectionReason.LINES_BUSY,
}  # fmt: skip


def cause_of(message: Message) -> int:
    """The cause of `Reason: Q.850;cause=N`; 16, an ordinary end, where none can be read."""
    _, _, value = message.get("reason").partition("cause=")
    digits = value.split(";")[0].strip()
    return int(digits) if digits.isascii() and digits.isdecimal() and len(digits) < 4 else 16


def reason_header(cause: int) -> tuple[str, str]:
    return "reason", f"Q.850;cause={cause}"


def reason_of(message: Message) -> RejectionReason:
    return NOTES.get(message.get("x-note").strip(), RejectionReason.NONE)


def figures_of(message: Message, settings: Settings) -> tuple[float, ...]:
    """`X-State: x0:12;x1:40;queue:3` in the order of the settings; -1 for what it does not name."""
    text = message.get("x-state")
    if not text:
        return ()
    told: dict[LoadField, float] = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            told[REPORT_NAMES.get(name.strip(), LoadField.UNKNOWN)] = float(value)
        except ValueError:
            continue
    return tuple(told.get(figure, -1.0) for figure in settings.load_fields)
