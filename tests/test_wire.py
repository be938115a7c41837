"""Tests of the wire codec and of the simulator's adapter, on batches written for these tests.

Records are packed here with the layouts of the wire, independently of the codec. The event codes are:
1 instance created, 2 PEERS_KNOWN, 3 KNOCK, 4 established, 5 RESOLVED, 6 abandoned, 7 timer fired,
8 load report, 9 peer message, 10 instance killed, 11 LIST.
"""

from __future__ import annotations

import io
import json
import os
import struct
import subprocess
import sys

import pytest

from badgerstile.drill import serve
from badgerstile.interface import (
    AttemptEnded,
    AttemptOutcome,
    CallEstablished,
    CallOffered,
    ExchangeList,
    FailCall,
    Health,
    ListKind,
    LoadReporting,
    LogMessage,
    PeerMessage,
    Probe,
    Refuse,
    RejectionReason,
    Report,
    SetTimer,
    SetUp,
    TimerFired,
    WatchList,
)
from badgerstile.wire import Decoder, InstanceCreated, InstanceKilled, WireError, encode, read_settings

SETTINGS = {
    "balancers": 3,
    "caps": {"most_tries": 5, "may_probe": True, "retry_after": True, "max_retry_after_ms": 2000.0},
    "classes": [{"slo_ms": 1500.0, "deadline_ms": 9000.0, "points": 1.0, "effect": "free", "new_key": [1]}],
    "load_report": {"how": "piggyback", "names": ["free", "size", "hold_back", "unknown_field"]},
    "rules": {
        "drain_grace_ms": 500.0, "cold_from": 0.3, "cold_ms": 9000.0, "fall_multiple": 2.0, "fall_ms": 1000.0,
    },
    "specifics": {
        "here": 0, "release_ms": 500.0, "retransmit_ms": 500.0, "topology": "mesh", "widths": [1],
        "mean_hold_ms": [9000.0], "skilled_pools": None,
    },
    "realms": None,
}  # fmt: skip
EXCHANGE_A, EXCHANGE_B = b"\x0a\x00\x00\x01\x13\x88", b"\x0a\x00\x00\x02\x13\x88"


def record(code: int, body: bytes) -> bytes:
    return struct.pack(">BI", code, len(body)) + body


def batch(records: list[bytes], number: int = 1, now: float = 250.0) -> bytes:
    body = b"".join(records)
    return struct.pack(">IdII", len(body), now, len(records), number) + body


def instance_created(settings: dict[str, object] | None = None, instance: int = 0) -> bytes:
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    return record(1, struct.pack(">HQI", instance, 7, len(text)) + text)


def exchange_list_records() -> list[bytes]:
    entries = b"".join(
        e + struct.pack(">BBHBfd", 0, 0, n, 2, 1.0, 0.0) for n, e in enumerate((EXCHANGE_A, EXCHANGE_B))
    )
    return [record(11, struct.pack(">HI", 4, 2) + entries), record(2, struct.pack(">HBIH", 0, 2, 9, 4))]


def call_offered(call: int = 8, destination: int = 1) -> bytes:
    return record(3, struct.pack(">HIfHfQddfHI", 0, call, destination, 0, 1.0, 5, 3000.0, 0.0, -1.0, 0, 0))


def load_report(free: float = 9.0) -> bytes:
    return record(8, struct.pack(">HdH6sB4f", 0, 0.0, 0, EXCHANGE_B, 4, free, 10.0, -1.0, -1.0))


def decode_events(*records: bytes) -> list[object]:
    body = b"".join(records)
    return [event for _, event in Decoder().decode_batch(body, len(records))]


def test_every_event_is_decoded() -> None:
    events = decode_events(
        instance_created(), *exchange_list_records(), call_offered(),
        record(4, struct.pack(">HI6sBd", 0, 8, EXCHANGE_B, 0, 40.0)),
        record(5, struct.pack(
            ">HIB6sHdBIB2f", 0, 8, 1, EXCHANGE_B, 254, 20.0, 0, 3 + 16 * 700, 2, 5.0, 10.0  # full for 700 ms
        )),
        record(6, struct.pack(">HI", 0, 8)), record(7, struct.pack(">HQ", 0, 77)), load_report(),
        record(9, struct.pack(">HHH", 0, 2, 2) + b"hi"), record(10, struct.pack(">H", 0)),
    )  # fmt: skip
    created_event, list_event, call, established, ended, abandoned, timer, report, message, killed = events
    assert (
        isinstance(created_event, InstanceCreated)
        and created_event.seed == 7
        and created_event.settings.load_reporting is LoadReporting.WITH_ANSWERS
    )
    assert isinstance(list_event, ExchangeList) and list_event.kind is ListKind.CACHED
    assert [(e.exchange, e.number, e.health) for e in list_event.entries] == [
        (EXCHANGE_A, 0, Health.READY),
        (EXCHANGE_B, 1, Health.READY),
    ]
    assert call == CallOffered(8, 1, 0, 1, 3000.0, called_number=5)
    assert established == CallEstablished(8, EXCHANGE_B, 0, 40.0)
    assert ended == AttemptEnded(
        8,
        EXCHANGE_B,
        1,
        AttemptOutcome.TURNED_BACK,
        False,
        20.0,
        RejectionReason.PROCESSOR_FULL,
        700.0,
        (5.0, 10.0),
    )
    assert getattr(abandoned, "call", None) == 8 and timer == TimerFired(77)
    assert isinstance(report, Report) and not report.probed and report.load_values[:2] == (9.0, 10.0)
    assert message == PeerMessage(2, b"hi") and isinstance(killed, InstanceKilled)


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (SetUp(8, EXCHANGE_B, 80.0), "01 00000014 0003 00000008 0a0000021388 4054000000000000"),
        (Refuse(8, 2000.0), "02 0000000e 0003 00000008 409f400000000000"),
        (FailCall(8), "03 00000006 0003 00000008"),
        (SetTimer(9008.25, 77), "05 00000012 0003 40c1982000000000 000000000000004d"),
        (Probe(EXCHANGE_B), "06 00000008 0003 0a0000021388"),
        (WatchList(True), "0b 00000003 0003 01"),
        (LogMessage("hi"), "09 00000006 0003 0002 6869"),
    ],
)
def test_every_action_is_encoded(action: object, text: str) -> None:
    assert encode(3, action) == bytes.fromhex(text)  # type: ignore[arg-type]


@pytest.mark.parametrize("section", ["caps", "rules", "specifics", "classes"])
def test_a_missing_section_of_the_settings_is_named_in_the_error(section: str) -> None:
    with pytest.raises(WireError, match=section):
        read_settings(json.dumps({k: v for k, v in SETTINGS.items() if k != section}).encode())


def test_a_missing_key_of_the_settings_is_named_in_the_error() -> None:
    settings = json.loads(json.dumps(SETTINGS))
    del settings["specifics"]["release_ms"]
    with pytest.raises(WireError, match="release_ms"):
        read_settings(json.dumps(settings).encode())


def run_adapter(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": seed}
    return subprocess.run(
        [sys.executable, "-m", "badgerstile.drill"], input=data, capture_output=True, env=env, check=False
    )


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (batch([])[:9], "truncated"),
        (batch([call_offered()])[:-3], "batch 1: truncated"),
        (struct.pack(">IdII", 2**32 - 1, 1.0, 1, 6), "batch 6: impossible length"),
        (batch([record(99, b"\0\0")]), "batch 1: unknown event code 99"),
        (batch([record(3, b"\0\0")]), "ends inside"),
        (batch([record(2, struct.pack(">HBIH", 0, 1, 1, 3))]), "list 3 was never defined"),
        (batch([instance_created({})]), "settings lack 'caps'"),
    ],
)
def test_malformed_input_gives_one_error_line_and_a_nonzero_exit_code(data: bytes, expected: str) -> None:
    completed = run_adapter(data)
    assert completed.returncode != 0 and completed.stdout == b""
    lines = completed.stderr.decode().splitlines()
    assert len(lines) == 1 and expected in lines[0]


def test_end_of_input_between_batches_is_a_clean_exit() -> None:
    assert run_adapter(b"").returncode == 0
    completed = run_adapter(batch([]))
    assert completed.returncode == 0 and completed.stdout == struct.pack(">III", 0, 0, 1)


def test_an_exception_in_the_decision_module_gives_a_crash_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("no such luck")

    monkeypatch.setattr("badgerstile.control.Softswitch.handle", fail)
    output = io.BytesIO()
    serve(io.BytesIO(batch([instance_created(), *exchange_list_records()])), output)
    assert b"RuntimeError: no such luck" in output.getvalue() and output.getvalue()[12] == 10


def test_the_reply_does_not_depend_on_the_hash_seed() -> None:
    data = batch([instance_created(), *exchange_list_records(), load_report()])
    data += b"".join(batch([call_offered(c)], c, 300.0 + c) for c in range(10, 60))
    first_run = run_adapter(data, "1")
    assert first_run.returncode == 0 and len(first_run.stdout) > 500
    assert first_run.stdout == run_adapter(data, "2").stdout
