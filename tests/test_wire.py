"""The codec and the adapter, on frames written for these tests."""

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

INFO = {
    "balancers": 3,
    "caps": {"most_tries": 5, "may_probe": True, "retry_after": True, "max_retry_after_ms": 2000.0},
    "classes": [{"slo_ms": 1500.0, "deadline_ms": 9000.0, "points": 1.0, "effect": "free", "new_key": [1]}],
    "load_report": {"how": "piggyback", "names": ["free", "size", "hold_back", "unheard_of"]},
    "rules": {
        "drain_grace_ms": 500.0, "cold_from": 0.3, "cold_ms": 9000.0, "fall_multiple": 2.0, "fall_ms": 1000.0,
    },
    "specifics": {
        "here": 0, "release_ms": 500.0, "retransmit_ms": 500.0, "topology": "mesh", "widths": [1],
        "mean_hold_ms": [9000.0], "skilled_pools": None,
    },
    "realms": None,
}  # fmt: skip
A, B = b"\x0a\x00\x00\x01\x13\x88", b"\x0a\x00\x00\x02\x13\x88"


def record(code: int, body: bytes) -> bytes:
    return struct.pack(">BI", code, len(body)) + body


def frame(records: list[bytes], number: int = 1, now: float = 250.0) -> bytes:
    body = b"".join(records)
    return struct.pack(">IdII", len(body), now, len(records), number) + body


def created(info: dict[str, object] | None = None, instance: int = 0) -> bytes:
    text = json.dumps(INFO if info is None else info).encode()
    return record(1, struct.pack(">HQI", instance, 7, len(text)) + text)


def listing() -> list[bytes]:
    rows = b"".join(e + struct.pack(">BBHBfd", 0, 0, n, 2, 1.0, 0.0) for n, e in enumerate((A, B)))
    return [record(11, struct.pack(">HI", 4, 2) + rows), record(2, struct.pack(">HBIH", 0, 2, 9, 4))]


def knock(call: int = 8, dest: int = 1) -> bytes:
    return record(3, struct.pack(">HIfHfQddfHI", 0, call, dest, 0, 1.0, 5, 3000.0, 0.0, -1.0, 0, 0))


def pong(free: float = 9.0) -> bytes:
    return record(8, struct.pack(">HdH6sB4f", 0, 0.0, 0, B, 4, free, 10.0, -1.0, -1.0))


def decode(*records: bytes) -> list[object]:
    body = b"".join(records)
    return [event for _, event in Decoder().decode_batch(body, len(records))]


def test_every_event_is_read() -> None:
    found = decode(
        created(), *listing(), knock(),
        record(4, struct.pack(">HI6sBd", 0, 8, B, 0, 40.0)),
        record(5, struct.pack(">HIB6sHdBIB2f", 0, 8, 1, B, 254, 20.0, 0, 3 + 16 * 700, 2, 5.0, 10.0)),
        record(6, struct.pack(">HI", 0, 8)), record(7, struct.pack(">HQ", 0, 77)), pong(),
        record(9, struct.pack(">HHH", 0, 2, 2) + b"hi"), record(10, struct.pack(">H", 0)),
    )  # fmt: skip
    first, news, call, stands, ended, left, woken, report, message, killed = found
    assert (
        isinstance(first, InstanceCreated)
        and first.seed == 7
        and first.settings.load_reporting is LoadReporting.WITH_ANSWERS
    )
    assert isinstance(news, ExchangeList) and news.kind is ListKind.CACHED
    assert [(e.exchange, e.number, e.health) for e in news.entries] == [
        (A, 0, Health.READY),
        (B, 1, Health.READY),
    ]
    assert call == CallOffered(8, 1, 0, 1, 3000.0, called_number=5)
    assert stands == CallEstablished(8, B, 0, 40.0)
    assert ended == AttemptEnded(
        8, B, 1, AttemptOutcome.TURNED_BACK, False, 20.0, RejectionReason.PROCESSOR_FULL, 700.0, (5.0, 10.0)
    )
    assert getattr(left, "call", None) == 8 and woken == TimerFired(77)
    assert isinstance(report, Report) and not report.probed and report.load_values[:2] == (9.0, 10.0)
    assert message == PeerMessage(2, b"hi") and isinstance(killed, InstanceKilled)


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (SetUp(8, B, 80.0), "01 00000014 0003 00000008 0a0000021388 4054000000000000"),
        (Refuse(8, 2000.0), "02 0000000e 0003 00000008 409f400000000000"),
        (FailCall(8), "03 00000006 0003 00000008"),
        (SetTimer(9008.25, 77), "05 00000012 0003 40c1982000000000 000000000000004d"),
        (Probe(B), "06 00000008 0003 0a0000021388"),
        (WatchList(True), "0b 00000003 0003 01"),
        (LogMessage("hi"), "09 00000006 0003 0002 6869"),
    ],
)
def test_every_action_is_written(action: object, text: str) -> None:
    assert encode(3, action) == bytes.fromhex(text)  # type: ignore[arg-type]


@pytest.mark.parametrize("section", ["caps", "rules", "specifics", "classes"])
def test_settings_without_a_needed_section_are_named(section: str) -> None:
    with pytest.raises(WireError, match=section):
        read_settings(json.dumps({k: v for k, v in INFO.items() if k != section}).encode())


def test_settings_without_a_needed_key_are_named() -> None:
    info = json.loads(json.dumps(INFO))
    del info["specifics"]["release_ms"]
    with pytest.raises(WireError, match="release_ms"):
        read_settings(json.dumps(info).encode())


def run(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": seed}
    return subprocess.run(
        [sys.executable, "-m", "badgerstile.drill"], input=data, capture_output=True, env=env, check=False
    )


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (frame([])[:9], "truncated"),
        (frame([knock()])[:-3], "batch 1: truncated"),
        (struct.pack(">IdII", 2**32 - 1, 1.0, 1, 6), "batch 6: impossible length"),
        (frame([record(99, b"\0\0")]), "batch 1: unknown event code 99"),
        (frame([record(3, b"\0\0")]), "ends inside"),
        (frame([record(2, struct.pack(">HBIH", 0, 1, 1, 3))]), "list 3 was never defined"),
        (frame([created({})]), "settings lack 'caps'"),
    ],
)
def test_malformed_input_is_one_plain_line_and_a_failing_exit(data: bytes, word: str) -> None:
    done = run(data)
    assert done.returncode != 0 and done.stdout == b""
    lines = done.stderr.decode().splitlines()
    assert len(lines) == 1 and word in lines[0]


def test_end_of_input_between_frames_is_a_clean_exit() -> None:
    assert run(b"").returncode == 0
    done = run(frame([]))
    assert done.returncode == 0 and done.stdout == struct.pack(">III", 0, 0, 1)


def test_a_failing_module_ends_the_day_with_its_text(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("no such luck")

    monkeypatch.setattr("badgerstile.control.Softswitch.handle", fail)
    out = io.BytesIO()
    serve(io.BytesIO(frame([created(), *listing()])), out)
    assert b"RuntimeError: no such luck" in out.getvalue() and out.getvalue()[12] == 10


def test_one_and_the_same_whatever_the_hash_seed() -> None:
    data = frame([created(), *listing(), pong()])
    data += b"".join(frame([knock(c)], c, 300.0 + c) for c in range(10, 60))
    first = run(data, "1")
    assert first.returncode == 0 and len(first.stdout) > 500
    assert first.stdout == run(data, "2").stdout
