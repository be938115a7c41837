"""Captures: every layout that is read, what is passed over, and a call played from one file into another."""

from __future__ import annotations

import io
import struct
import time
from contextlib import suppress
from pathlib import Path

import pytest

from landingdeal.pcap import (
    COOKED,
    COOKED2,
    ETHERNET,
    IPV4,
    IPV6,
    LOOP,
    MICRO,
    NANO,
    NULL,
    RAW,
    TCP,
    UDP,
    NotPcap,
    Packet,
    Reader,
    Reassembly,
    Writer,
)  # fmt: skip
from landingdeal.sip.message import Framer, Message, encode, request
from tests.scenario import BODY, PATIENCE_S, free_port, play
from tests.scenario_sip import SipStage

V4 = ("10.0.0.1", 5060), ("10.0.0.2", 5070)
V6 = ("2001:db8::1", 5060), ("2001:db8::2", 5070)
Ends = tuple[tuple[str, int], tuple[str, int]]


def frame(ends: Ends, protocol: int = UDP, payload: bytes = b"hello") -> bytes:
    """One Ethernet frame as the writer makes it."""
    out = io.BytesIO()
    Writer(out).put(0.0, protocol, *ends, payload)
    return out.getvalue()[24 + 16 :]


def capture(
    link: int, *frames: bytes, order: str = "<", magic: int = MICRO, length: int | None = None
) -> io.BytesIO:
    out = struct.pack(order + "IHHiIII", magic, 2, 4, 0, 0, 65535, link)
    for data in frames:
        out += struct.pack(order + "IIII", 7, 250, len(data), len(data) if length is None else length) + data
    return io.BytesIO(out)


def link_frame(link: int, ends: Ends) -> bytes:
    ip, v6 = frame(ends)[14:], ends == V6
    kind = struct.pack(">H", 0x86DD if v6 else 0x0800)
    return {
        ETHERNET: bytes(12) + b"\x81\x00\x00\x07" + kind + ip,  # with a VLAN tag
        COOKED: bytes(14) + kind + ip,
        COOKED2: kind + bytes(18) + ip,
        NULL: struct.pack("<I", 30 if v6 else 2) + ip,
        LOOP: struct.pack(">I", 30 if v6 else 2) + ip,
    }.get(link, ip)


@pytest.mark.parametrize("ends", [V4, V6], ids=["v4", "v6"])
@pytest.mark.parametrize("link", [ETHERNET, RAW, COOKED, COOKED2, NULL, LOOP, IPV4, IPV6])
@pytest.mark.parametrize(("order", "magic"), [("<", MICRO), (">", MICRO), ("<", NANO), (">", NANO)])
def test_every_layout_is_read(ends: Ends, link: int, order: str, magic: int) -> None:
    reader = Reader(capture(link, link_frame(link, ends), order=order, magic=magic))
    (packet,) = list(reader)
    assert (packet.source, packet.target, packet.payload, packet.protocol) == (*ends, b"hello", UDP)
    assert packet.at_ms == pytest.approx(7000.25 if magic == MICRO else 7000.00025)
    assert reader.counts == {}


def fragment() -> bytes:
    data = bytearray(frame(V4))
    data[20] = 0x20  # more fragments follow
    return bytes(data)


@pytest.mark.parametrize(
    ("data", "what"),
    [
        (capture(ETHERNET, frame(V4), length=99), "truncated packet"),
        (io.BytesIO(capture(ETHERNET, frame(V4)).getvalue()[:-3]), "truncated file"),
        (io.BytesIO(capture(ETHERNET, frame(V4)).getvalue()[:30]), "truncated file"),
        (capture(ETHERNET, fragment()), "fragment"),
        (capture(ETHERNET, frame(V4)[:20]), "broken packet"),
        (capture(ETHERNET, bytes(12) + b"\x08\x06" + bytes(40)), "not IP"),
        (capture(ETHERNET, frame(V4)[:23] + b"\x01" + frame(V4)[24:]), "neither UDP nor TCP"),
        (
            io.BytesIO(capture(ETHERNET).getvalue() + struct.pack("<IIII", 0, 0, 1 << 30, 1 << 30)),
            "impossible length",
        ),
    ],
)
def test_what_is_passed_over_is_counted(data: io.BytesIO, what: str) -> None:
    reader = Reader(data)
    assert list(reader) == []
    assert reader.counts == {what: 1}


@pytest.mark.parametrize(
    ("data", "what"),
    [
        (b"", "ends inside"),
        (b"\x0a\x0d\x0d\x0a" + bytes(30), "pcapng"),
        (b"GET / HTTP/1.1\r\nHost: none\r\n", "no classic pcap"),
        (capture(195).getvalue(), "link type 195"),
    ],
)
def test_no_capture_is_one_plain_line(data: bytes, what: str) -> None:
    with pytest.raises(NotPcap, match=what):
        Reader(io.BytesIO(data))


def segment(seq: int, payload: bytes, syn: bool = False, ended: bool = False) -> Packet:
    return Packet(0.0, TCP, *V4, payload, seq, syn, ended)


def test_tcp_is_put_together_out_of_order_repeated_overlapping_and_past_the_wrap() -> None:
    streams, start = Reassembly(), 2**32 - 4
    segments = [
        segment(start - 1, b"", syn=True),
        segment((start + 5) % 2**32, b"fghij"),
        segment(start, b"abcde"),
        segment(start, b"abcde"),
        segment((start + 8) % 2**32, b"ijklm"),
        segment((start + 13) % 2**32, b"", ended=True),
    ]
    assert b"".join(streams.feed(one) for one in segments) == b"abcdefghijklm"
    assert not streams.streams


def test_a_missing_segment_does_not_hold_a_stream_for_ever() -> None:
    streams = Reassembly()
    streams.feed(segment(0, b"", syn=True))
    got = b"".join(streams.feed(segment(100 + n, b"x")) for n in range(70))
    assert got == b"x" * 70
    assert streams.gaps == 1


def messages_of(path: Path, protocol: int) -> list[Message]:
    """What the program has written so far; TCP in order of each connection."""
    streams, framers, found = Reassembly(), dict[object, Framer](), []
    with path.open("rb") as file, suppress(NotPcap):
        for packet in Reader(file):
            assert packet.protocol == protocol
            data = packet.payload if protocol == UDP else streams.feed(packet)
            found += list(framers.setdefault((packet.source, packet.target), Framer()).feed(data))
    assert all(isinstance(message, Message) for message in found)
    return [message for message in found if isinstance(message, Message)]


@pytest.mark.parametrize(("protocol", "kind"), [(UDP, "UDP"), (TCP, "TCP")])
def test_a_call_played_from_a_capture_is_answered_into_another(
    protocol: int, kind: str, tmp_path: Path
) -> None:
    port = free_port()
    caller, listen = ("10.9.9.9", 5099), ("10.1.1.1", port)

    def make(method: str, to_tag: str, number: int = 1, body: bytes = b"") -> bytes:
        via = ("via", f"SIP/2.0/{kind} 10.9.9.9:5099;branch=z9hG4bK{method}")
        return encode(request(
            method, f"sip:1000@10.1.1.1:{port}", via, ("from", "<sip:c@10.9.9.9>;tag=c"),
            ("to", f"<sip:1000@10.1.1.1>{to_tag}"), ("call-id", "recorded"), ("cseq", f"{number} {method}"),
            ("contact", "<sip:c@10.9.9.9:5099>"), body=body,
        ))  # fmt: skip

    with (tmp_path / "in.pcap").open("wb") as file:
        writer = Writer(file)
        writer.put(1000.0, protocol, caller, listen, make("INVITE", "", body=BODY))
        writer.put(1020.0, UDP, caller, ("10.1.1.1", 9), b"to another port")
        writer.put(2000.0, protocol, caller, listen, make("ACK", ";tag=recorded"))
        writer.put(2100.0, protocol, caller, listen, make("BYE", ";tag=recorded", 2))
    extra = f'[sip.capture]\nread = "{tmp_path}/in.pcap"\nwrite = "{tmp_path}/out.pcap"\n'
    stage = SipStage(tmp_path, "udp", extra, port=port)
    try:
        play(stage, "hub1 expect INVITE a\nhub1 send 200 a\nhub1 expect ACK a\nhub1 expect BYE a\n")
        until = time.monotonic() + PATIENCE_S
        wanted = [(100, "INVITE"), (200, "INVITE"), (200, "BYE")]
        seen: list[tuple[int, str]] = []
        while seen != wanted and time.monotonic() < until:
            sent = messages_of(tmp_path / "out.pcap", protocol)
            seen = list(dict.fromkeys((message.status, message.cseq[1]) for message in sent))
            time.sleep(0.05)
        assert seen == wanted
        assert next(m for m in sent if (m.status, m.cseq[1]) == (200, "INVITE")).body == BODY
    finally:
        log = stage.end()
    assert "3 messages taken up; passed over: 1 to another port" in log
