"""Codec of the simulator's wire: batches of events in, replies of actions out. No decisions here."""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from badgerstile.interface import (
    Action,
    AttemptEnded,
    AttemptOutcome,
    CallAbandoned,
    CallClass,
    CallEstablished,
    CallOffered,
    Event,
    ExchangeEntry,
    ExchangeList,
    FailCall,
    Health,
    ListKind,
    LoadField,
    LoadReporting,
    LogMessage,
    PeerMessage,
    Probe,
    Refuse,
    RejectionReason,
    Report,
    RetryPolicy,
    SendPeerMessage,
    SetTimer,
    Settings,
    SetUp,
    TimerFired,
    WatchList,
)

HEADER = struct.Struct(">IdII")
REPLY_HEADER = struct.Struct(">III")
RECORD = struct.Struct(">BI")
MAX_BATCH = 256 * 1024 * 1024
LINE = struct.Struct(">6sBBHBfd")
FIGURES = {
    "free": LoadField.FREE_CIRCUITS,
    "size": LoadField.GROUP_SIZE,
    "concurrent": LoadField.CALLS_IN_PROGRESS,
    "depth": LoadField.QUEUE_LENGTH,
    "load_share": LoadField.UTILIZATION,
    "mean_ms": LoadField.WAIT_MS,
    "can_take": LoadField.CAPACITY_PER_S,
    "hold_back": LoadField.HOLD_BACK,
}
REPORTS = {
    "piggyback": LoadReporting.WITH_ANSWERS,
    "pull": LoadReporting.WHEN_PROBED,
    "silent": LoadReporting.NONE,
}
ENDINGS = {
    0: AttemptOutcome.ENDED,
    255: AttemptOutcome.ERROR,
    254: AttemptOutcome.TURNED_BACK,
    253: AttemptOutcome.TIMED_OUT,
    252: AttemptOutcome.UNREACHABLE,
    251: AttemptOutcome.CUT,
    250: AttemptOutcome.CANCELLED,
    249: AttemptOutcome.NOT_SENT,
}


class WireError(Exception):
    """What came in is not of the wire; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Created:
    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Killed:
    pass


Arrival = Event | Created | Killed


class _Fields:
    """Reads the fields of one record in order."""

    __slots__ = ("data", "at", "name")

    def __init__(self, data: memoryview, name: str) -> None:
        self.data, self.at, self.name = data, 0, name

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        if self.at + layout.size > len(self.data):
            raise WireError(f"{self.name}: the record ends inside a field")
        out = layout.unpack_from(self.data, self.at)
        self.at += layout.size
        return out

    def blob(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise WireError(f"{self.name}: the record ends inside its content")
        out = bytes(self.data[self.at : self.at + size])
        self.at += size
        return out

    def floats(self) -> tuple[float, ...]:
        (count,) = self.take(_U8)
        return tuple(float(v) for v in self.take(struct.Struct(f">{count}f")))


_U8, _U16, _U32, _U64 = (struct.Struct(">" + c) for c in "BHIQ")
_START = struct.Struct(">QI")
_NEWS = struct.Struct(">BIH")
_KNOCK = struct.Struct(">IfHfQddfHI")
_ACCEPTED = struct.Struct(">I6sBd")
_RESOLVED = struct.Struct(">IB6sHdBI")
_PONG = struct.Struct(">dH6s")


def _section(info: dict[str, Any], name: str) -> dict[str, Any]:
    if not isinstance(info.get(name), dict):
        raise WireError(f"settings lack '{name}'")
    return dict(info[name])


def read_settings(text: bytes) -> Settings:
    """Turns the settings text into Settings; unknown keys are skipped, a missing needed one is named."""
    try:
        info = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings are not JSON: {error}") from None
    if not isinstance(info, dict):
        raise WireError("settings are not a JSON object")
    caps, rules, special = _section(info, "caps"), _section(info, "rules"), _section(info, "specifics")
    report = info.get("load_report") or {}
    raw = info.get("classes")
    if not isinstance(raw, list) or not raw:
        raise WireError("settings lack 'classes'")
    mesh = special.get("topology", "mesh") != "pools"
    widths, holds = special.get("widths") or [], special.get("mean_hold_ms") or []
    skills = special.get("skilled_pools") or []
    for section in (caps, rules, special, report, *raw):  # an absent value may be written as null
        for key in [k for k, v in section.items() if v is None]:
            del section[key]
    try:
        classes = tuple(
            CallClass(
                name=str(c.get("name", "")),
                slo_ms=float(c["slo_ms"]),
                deadline_ms=float(c["deadline_ms"]),
                worth=float(c.get("points", 1.0)),
                late_worth=float(c.get("late_worth", 0.0)),
                width=int(widths[k]) if k < len(widths) else 1,
                mean_hold_ms=float(holds[k]) if k < len(holds) else 0.0,
                retry_policy=RetryPolicy(c.get("effect") or "free"),
                pools=tuple(int(p) for p in skills[k] or ()) if k < len(skills) else (),
            )
            for k, c in enumerate(raw)
        )
        return Settings(
            own_number=int(special["here"]) if mesh else -1,
            mesh=mesh,
            classes=classes,
            release_wait_ms=float(special["release_ms"]),
            retransmit_ms=float(special.get("retransmit_ms", 0.0)),
            max_attempts=int(caps["most_tries"]),
            may_probe=bool(caps.get("may_probe", False)),
            may_message=bool(caps.get("peers", False)),
            sends_retry_after=bool(caps.get("retry_after", False)),
            max_retry_after_ms=float(caps.get("max_retry_after_ms", 0.0)),
            load_reporting=REPORTS.get(report.get("how") or "silent", LoadReporting.NONE),
            load_fields=tuple(FIGURES.get(n, LoadField.UNKNOWN) for n in report.get("names") or ()),
            list_on_request=info.get("discovery", "pushed") == "on_request",
            list_request_within_ms=float(rules.get("ask_within_ms", 10000.0)),
            drain_grace_ms=float(rules["drain_grace_ms"]),
            cold_initial_share=float(rules["cold_from"]),
            cold_ramp_ms=float(rules["cold_ms"]),
            overload_multiple=float(rules["fall_multiple"]),
            overload_window_ms=float(rules["fall_ms"]),
            softswitch_count=int(info.get("balancers", 1)),
            tick_ms=float(info.get("tick_ms", 1.0)),
        )
    except KeyError as error:
        raise WireError(f"settings lack {error}") from None
    except (TypeError, ValueError) as error:
        raise WireError(f"settings hold a value that can't be used: {error}") from None


def _reason(note: int, ending: AttemptOutcome) -> tuple[RejectionReason, float]:
    if note & 15 == 3:
        return RejectionReason.PROCESSOR_FULL, float(note >> 4)
    if note & 15 == 2:
        return (RejectionReason.TANDEM_FAR_FULL if note >> 4 else RejectionReason.TANDEM), 0.0
    return {1: RejectionReason.NO_CIRCUIT, 4: RejectionReason.LINES_BUSY}.get(
        note & 15, RejectionReason.NONE
    ), 0.0


def _whole(value: float, name: str) -> int:
    if not math.isfinite(value):
        raise WireError(f"{name}: a number is not finite")
    return int(value)


class Decoder:
    """Decodes batches; keeps the numbered exchange lists, which belong to the whole process."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[ExchangeEntry, ...]] = {}

    def batch(self, body: bytes, count: int) -> Iterator[tuple[int, Arrival]]:
        """Yields (instance, event) in order of arrival."""
        view, at = memoryview(body), 0
        for _ in range(count):
            if at + RECORD.size > len(body):
                raise WireError("the batch ends inside a record's head")
            code, size = RECORD.unpack_from(body, at)
            at += RECORD.size
            if at + size > len(body):
                raise WireError(f"event code {code}: the record is longer than the batch")
            found = self.record(code, view[at : at + size])
            at += size
            if found is not None:
                yield found
        if at != len(body):
            raise WireError(f"{len(body) - at} bytes follow the last record")

    def record(self, code: int, data: memoryview) -> tuple[int, Arrival] | None:
        fields = _Fields(data, f"event code {code}")
        if code not in range(1, 12):
            raise WireError(f"unknown event code {code}")
        (inst,) = fields.take(_U16)
        if code == 11:
            (rows,) = fields.take(_U32)
            if rows * LINE.size > len(data):
                raise WireError("LIST: more entries than the record holds")
            self.lists[inst] = tuple(self._line(fields) for _ in range(rows))
            return None
        return inst, self._event(code, fields)

    @staticmethod
    def _line(fields: _Fields) -> ExchangeEntry:
        exchange, _zone, _sku, number, health, size, came_up = fields.take(LINE)
        if health > 2:
            raise WireError(f"LIST: unknown health {health}")
        return ExchangeEntry(exchange, number, Health(health), came_up, size)

    def _event(self, code: int, fields: _Fields) -> Arrival:
        if code == 1:
            seed, size = fields.take(_START)
            return Created(seed, read_settings(fields.blob(size)))
        if code == 2:
            form, _version, buffer = fields.take(_NEWS)
            if form > 3:
                raise WireError(f"PEERS_KNOWN: unknown form {form}")
            if form == 3:
                return ExchangeList(ListKind.FAILED)
            if buffer not in self.lists:
                raise WireError(f"PEERS_KNOWN: list {buffer} was never defined")
            return ExchangeList(ListKind(form), self.lists[buffer])
        if code == 3:
            call, dest, cls, width, key, left, _hint, via, marks, _tenant = fields.take(_KNOCK)
            return CallOffered(
                call=call,
                destination=_whole(dest, "KNOCK"),
                call_class=cls,
                width=max(1, _whole(width, "KNOCK")),
                budget_ms=left,
                advised_number=_whole(via, "KNOCK"),
                is_redial=bool(marks & 2),
                in_transit=bool(marks & 8),
                is_redial_after_cut=bool(marks & 16),
                called_number=key,
            )
        if code == 4:
            call, exchange, attempt, latency = fields.take(_ACCEPTED)
            return CallEstablished(call, exchange, attempt, latency)
        if code == 5:
            call, attempt, exchange, status, latency, over, note = fields.take(_RESOLVED)
            if status not in ENDINGS:
                raise WireError(f"RESOLVED: unknown status {status}")
            ending = ENDINGS[status]
            reason, wait = _reason(note, ending)
            return AttemptEnded(
                call, exchange, attempt, ending, bool(over), latency, reason, wait, fields.floats()
            )
        if code == 6:
            return CallAbandoned(fields.take(_U32)[0])
        if code == 7:
            return TimerFired(fields.take(_U64)[0])
        if code == 8:
            latency, status, exchange = fields.take(_PONG)
            return Report(exchange, latency > 0 or status != 0, status == 0, latency, fields.floats())
        if code == 9:
            (sender,) = fields.take(_U16)
            return PeerMessage(sender, fields.blob(fields.take(_U16)[0]))
        return Killed()


def _text(text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:60000]
    return _U16.pack(len(data)) + data


def encode(inst: int, action: Action) -> bytes:
    """One action as a record."""
    match action:
        case SetUp(call, exchange, wait):
            code, body = 1, struct.pack(">I6sd", call, exchange, wait)
        case Refuse(call, come_back):
            code, body = 2, struct.pack(">Id", call, come_back)
        case FailCall(call, _):
            code, body = 3, _U32.pack(call)
        case SetTimer(at, token):
            code, body = 5, struct.pack(">dQ", at, token)
        case SendPeerMessage(to, payload):
            code, body = 8, struct.pack(">IH", to, len(payload)) + payload
        case Probe(exchange):
            code, body = 6, struct.pack(">6s", exchange)
        case WatchList(on):
            code, body = 11, _U8.pack(on)
        case LogMessage(text):
            code, body = 9, _text(text)
    return RECORD.pack(code, len(body) + 2) + _U16.pack(inst) + body


def encode_crash(inst: int, text: str) -> bytes:
    body = _text(text)
    return RECORD.pack(10, len(body) + 2) + _U16.pack(inst) + body


def encode_reply(batch: int, records: Iterable[bytes]) -> bytes:
    rows = list(records)
    body = b"".join(rows)
    return REPLY_HEADER.pack(len(rows), len(body), batch) + body
