"""Codec of the simulator's wire protocol: batches of events in, replies with actions out.

Contains no decisions. Error messages name a record as the wire protocol does: LIST, PEERS_KNOWN, KNOCK (a
call is offered) or RESOLVED (an attempt ended). All numbers are big-endian.
"""

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

BATCH_HEADER = struct.Struct(">IdII")  # body size, time in ms, number of records, number of the batch
REPLY_HEADER = struct.Struct(">III")  # number of records, body size, number of the batch
RECORD_HEADER = struct.Struct(">BI")  # event or action code, size
MAX_BATCH_BYTES = 256 * 1024 * 1024
LIST_ENTRY = struct.Struct(">6sBBHBfd")  # identity, zone, SKU, number, health, size, start in ms
LOAD_FIELDS = {  # names in the settings
    "free": LoadField.FREE_CIRCUITS,
    "size": LoadField.GROUP_SIZE,
    "concurrent": LoadField.CALLS_IN_PROGRESS,
    "depth": LoadField.QUEUE_LENGTH,
    "load_share": LoadField.UTILIZATION,
    "mean_ms": LoadField.WAIT_MS,
    "can_take": LoadField.CAPACITY_PER_S,
    "hold_back": LoadField.HOLD_BACK,
}
LOAD_REPORTING = {  # names in the settings
    "piggyback": LoadReporting.WITH_ANSWERS,
    "pull": LoadReporting.WHEN_PROBED,
    "silent": LoadReporting.NONE,
}
OUTCOMES = {  # status of a RESOLVED record
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
    """Malformed input; the message says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class InstanceCreated:
    """The simulator created a softswitch instance."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """The simulator killed a softswitch instance."""


WireEvent = Event | InstanceCreated | InstanceKilled


class _RecordReader:
    """Reads the fields of one record in order.

    `record_name` is the name of the record in error messages.
    """

    __slots__ = ("data", "offset", "record_name")

    def __init__(self, data: memoryview, record_name: str) -> None:
        self.data, self.offset, self.record_name = data, 0, record_name

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        if self.offset + layout.size > len(self.data):
            raise WireError(f"{self.record_name}: the record ends inside a field")
        values = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return values

    def read_bytes(self, size: int) -> bytes:
        if self.offset + size > len(self.data):
            raise WireError(f"{self.record_name}: the record ends inside its content")
        content = bytes(self.data[self.offset : self.offset + size])
        self.offset += size
        return content

    def read_floats(self) -> tuple[float, ...]:
        """Reads a count of one byte and so many 32-bit floats."""
        (count,) = self.unpack(_U8)
        return tuple(float(v) for v in self.unpack(struct.Struct(f">{count}f")))


_U8, _U16, _U32, _U64 = (struct.Struct(">" + c) for c in "BHIQ")
_INSTANCE_CREATED = struct.Struct(">QI")  # event code 1
_PEERS_KNOWN = struct.Struct(">BIH")  # event code 2, PEERS_KNOWN
_CALL_OFFERED = struct.Struct(">IfHfQddfHI")  # event code 3, KNOCK
_CALL_ESTABLISHED = struct.Struct(">I6sBd")  # event code 4, ACCEPTED
_ATTEMPT_ENDED = struct.Struct(">IB6sHdBI")  # event code 5, RESOLVED
_LOAD_REPORT = struct.Struct(">dH6s")  # event code 8, PONG


def _section(document: dict[str, Any], name: str) -> dict[str, Any]:
    if not isinstance(document.get(name), dict):
        raise WireError(f"settings lack '{name}'")
    return dict(document[name])


def read_settings(text: bytes) -> Settings:
    """Reads the settings from JSON. Unknown keys are ignored; the WireError for a missing key names it."""
    try:
        document = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings are not JSON: {error}") from None
    if not isinstance(document, dict):
        raise WireError("settings are not a JSON object")
    caps, rules, specifics = (
        _section(document, "caps"),
        _section(document, "rules"),
        _section(document, "specifics"),
    )
    load_report = document.get("load_report") or {}
    raw_classes = document.get("classes")
    if not isinstance(raw_classes, list) or not raw_classes:
        raise WireError("settings lack 'classes'")
    mesh = specifics.get("topology", "mesh") != "pools"
    widths, mean_holds = specifics.get("widths") or [], specifics.get("mean_hold_ms") or []
    skilled_pools = specifics.get("skilled_pools") or []
    for section in (caps, rules, specifics, load_report, *raw_classes):  # null stands for an absent value
        for key in [k for k, v in section.items() if v is None]:
            del section[key]
    try:
        classes = tuple(
            CallClass(
                name=str(raw.get("name", "")),
                slo_ms=float(raw["slo_ms"]),
                deadline_ms=float(raw["deadline_ms"]),
                worth=float(raw.get("points", 1.0)),
                late_worth=float(raw.get("late_worth", 0.0)),
                width=int(widths[k]) if k < len(widths) else 1,
                mean_hold_ms=float(mean_holds[k]) if k < len(mean_holds) else 0.0,
                retry_policy=RetryPolicy(raw.get("effect") or "free"),
                repeats_discarded_everywhere=raw.get("group") == "all",
                pools=tuple(int(p) for p in skilled_pools[k] or ()) if k < len(skilled_pools) else (),
            )
            for k, raw in enumerate(raw_classes)
        )
        return Settings(
            own_number=int(specifics["here"]) if mesh else -1,
            mesh=mesh,
            classes=classes,
            release_wait_ms=float(specifics["release_ms"]),
            retransmit_ms=float(specifics.get("retransmit_ms", 0.0)),
            max_attempts=int(caps["most_tries"]),
            may_probe=bool(caps.get("may_probe", False)),
            may_message=bool(caps.get("peers", False)),
            sends_retry_after=bool(caps.get("retry_after", False)),
            max_retry_after_ms=float(caps.get("max_retry_after_ms", 0.0)),
            load_reporting=LOAD_REPORTING.get(load_report.get("how") or "silent", LoadReporting.NONE),
            load_fields=tuple(LOAD_FIELDS.get(n, LoadField.UNKNOWN) for n in load_report.get("names") or ()),
            list_on_request=document.get("discovery", "pushed") == "on_request",
            list_request_within_ms=float(rules.get("ask_within_ms", 10000.0)),
            drain_grace_ms=float(rules["drain_grace_ms"]),
            cold_initial_share=float(rules["cold_from"]),
            cold_ramp_ms=float(rules["cold_ms"]),
            overload_multiple=float(rules["fall_multiple"]),
            overload_window_ms=float(rules["fall_ms"]),
            softswitch_count=int(document.get("balancers", 1)),
            tick_ms=float(document.get("tick_ms", 1.0)),
        )
    except KeyError as error:
        raise WireError(f"settings lack {error}") from None
    except (TypeError, ValueError) as error:
        raise WireError(f"settings contain an invalid value: {error}") from None


def _rejection(note: int, outcome: AttemptOutcome) -> tuple[RejectionReason, float]:
    """The reason in the low four bits of the note; the bits above hold its detail, such as a waiting time."""
    if note & 15 == 3:
        return RejectionReason.PROCESSOR_FULL, float(note >> 4)
    if note & 15 == 2:
        return (RejectionReason.TANDEM_FAR_FULL if note >> 4 else RejectionReason.TANDEM), 0.0
    return {1: RejectionReason.NO_CIRCUIT, 4: RejectionReason.LINES_BUSY}.get(
        note & 15, RejectionReason.NONE
    ), 0.0


def _to_int(value: float, name: str) -> int:
    if not math.isfinite(value):
        raise WireError(f"{name}: a number is not finite")
    return int(value)


class Decoder:
    """Decodes batches of events.

    Keeps the exchange lists of LIST records by their number: all instances of the process share them.
    """

    def __init__(self) -> None:
        self.lists: dict[int, tuple[ExchangeEntry, ...]] = {}

    def decode_batch(self, body: bytes, count: int) -> Iterator[tuple[int, WireEvent]]:
        """Yields the instance number and the event of each record, in order."""
        view, offset = memoryview(body), 0
        for _ in range(count):
            if offset + RECORD_HEADER.size > len(body):
                raise WireError("the batch ends inside a record header")
            code, size = RECORD_HEADER.unpack_from(body, offset)
            offset += RECORD_HEADER.size
            if offset + size > len(body):
                raise WireError(f"event code {code}: the record is longer than the batch")
            decoded = self.decode_record(code, view[offset : offset + size])
            offset += size
            if decoded is not None:
                yield decoded
        if offset != len(body):
            raise WireError(f"{len(body) - offset} bytes follow the last record")

    def decode_record(self, code: int, data: memoryview) -> tuple[int, WireEvent] | None:
        """Decodes one record; None for a LIST record, which only defines an exchange list.

        A LIST record has the number of the list in the place of the instance number.
        """
        reader = _RecordReader(data, f"event code {code}")
        if code not in range(1, 12):
            raise WireError(f"unknown event code {code}")
        (instance,) = reader.unpack(_U16)
        if code == 11:
            (entry_count,) = reader.unpack(_U32)
            if entry_count * LIST_ENTRY.size > len(data):
                raise WireError("LIST: more entries than fit in the record")
            self.lists[instance] = tuple(self._decode_list_entry(reader) for _ in range(entry_count))
            return None
        return instance, self._decode_event(code, reader)

    @staticmethod
    def _decode_list_entry(reader: _RecordReader) -> ExchangeEntry:
        exchange, _zone, _sku, number, health, size, started_ms = reader.unpack(LIST_ENTRY)
        if health > 2:
            raise WireError(f"LIST: unknown health {health}")
        return ExchangeEntry(exchange, number, Health(health), started_ms, size)

    def _decode_event(self, code: int, reader: _RecordReader) -> WireEvent:
        if code == 1:
            seed, size = reader.unpack(_INSTANCE_CREATED)
            return InstanceCreated(seed, read_settings(reader.read_bytes(size)))
        if code == 2:
            kind, _version, list_number = reader.unpack(_PEERS_KNOWN)
            if kind > 3:
                raise WireError(f"PEERS_KNOWN: unknown kind {kind}")
            if kind == 3:
                return ExchangeList(ListKind.FAILED)
            if list_number not in self.lists:
                raise WireError(f"PEERS_KNOWN: list {list_number} was never defined")
            return ExchangeList(ListKind(kind), self.lists[list_number])
        if code == 3:
            (
                call,
                destination,
                call_class,
                width,
                called_number,
                budget_ms,
                _hint,
                advised_number,
                flags,
                _tenant,
            ) = reader.unpack(_CALL_OFFERED)
            return CallOffered(
                call=call,
                destination=_to_int(destination, "KNOCK"),
                call_class=call_class,
                width=max(1, _to_int(width, "KNOCK")),
                budget_ms=budget_ms,
                advised_number=_to_int(advised_number, "KNOCK"),
                is_redial=bool(flags & 2),
                in_transit=bool(flags & 8),
                is_redial_after_cut=bool(flags & 16),
                called_number=called_number,
            )
        if code == 4:
            call, exchange, attempt, latency_ms = reader.unpack(_CALL_ESTABLISHED)
            return CallEstablished(call, exchange, attempt, latency_ms)
        if code == 5:
            call, attempt, exchange, status, latency_ms, call_ended, note = reader.unpack(_ATTEMPT_ENDED)
            if status not in OUTCOMES:
                raise WireError(f"RESOLVED: unknown status {status}")
            outcome = OUTCOMES[status]
            reason, reported_wait_ms = _rejection(note, outcome)
            return AttemptEnded(
                call,
                exchange,
                attempt,
                outcome,
                bool(call_ended),
                latency_ms,
                reason,
                reported_wait_ms,
                reader.read_floats(),
            )
        if code == 6:
            return CallAbandoned(reader.unpack(_U32)[0])
        if code == 7:
            return TimerFired(reader.unpack(_U64)[0])
        if code == 8:
            latency_ms, status, exchange = reader.unpack(_LOAD_REPORT)
            return Report(
                exchange, latency_ms > 0 or status != 0, status == 0, latency_ms, reader.read_floats()
            )
        if code == 9:
            (sender,) = reader.unpack(_U16)
            return PeerMessage(sender, reader.read_bytes(reader.unpack(_U16)[0]))
        return InstanceKilled()


def _encode_text(text: str) -> bytes:
    """Encodes text with its length in two bytes, cut to 60,000 bytes so that the length fits."""
    data = text.encode("utf-8", "replace")[:60000]
    return _U16.pack(len(data)) + data


def encode(instance: int, action: Action) -> bytes:
    """Encodes one action as a record."""
    match action:
        case SetUp(call, exchange, timeout_ms):
            code, body = 1, struct.pack(">I6sd", call, exchange, timeout_ms)
        case Refuse(call, retry_after_ms):
            code, body = 2, struct.pack(">Id", call, retry_after_ms)
        case FailCall(call, _):
            code, body = 3, _U32.pack(call)
        case SetTimer(due_ms, token):
            code, body = 5, struct.pack(">dQ", due_ms, token)
        case SendPeerMessage(receiver, payload):
            code, body = 8, struct.pack(">IH", receiver, len(payload)) + payload
        case Probe(exchange):
            code, body = 6, struct.pack(">6s", exchange)
        case WatchList(enabled):
            code, body = 11, _U8.pack(enabled)
        case LogMessage(text):
            code, body = 9, _encode_text(text)
    return RECORD_HEADER.pack(code, len(body) + 2) + _U16.pack(instance) + body


def encode_crash(instance: int, text: str) -> bytes:
    """Encodes the record that tells the simulator that the instance failed."""
    body = _encode_text(text)
    return RECORD_HEADER.pack(10, len(body) + 2) + _U16.pack(instance) + body


def encode_reply(batch_number: int, records: Iterable[bytes]) -> bytes:
    """Encodes the reply to a batch: its header and the records."""
    encoded = list(records)
    body = b"".join(encoded)
    return REPLY_HEADER.pack(len(encoded), len(body), batch_number) + body
