"""Generates synthetic SIP traffic and captures of it for the demo, the tests and the benchmarks."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from landingdeal.capture.encode import CaptureEncoder, PacketBuilder
from landingdeal.capture.layers import Address
from landingdeal.sip.message import Message, encode, request, response

SDP = (
    b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
    b"m=audio 31000 RTP/AVP 0 8\r\n"
)
START_NS = 1_700_000_000 * 10**9


@dataclass(frozen=True, slots=True)
class SampleMessage:
    """One SIP message with its time, transport and endpoints."""

    time_ns: int
    transport: str
    source: Address
    target: Address
    message: Message


@dataclass(frozen=True, slots=True)
class TrafficProfile:
    """Parameters of the generated calls. Ranges are in milliseconds; shares are fractions of all calls."""

    call_count: int = 20
    calls_per_s: float = 20.0
    answer_ms: tuple[float, float] = (5.0, 60.0)
    hold_ms: tuple[float, float] = (200.0, 800.0)
    refused_share: float = 0.1  # 503 with Retry-After
    cancelled_share: float = 0.05
    called_release_share: float = 0.3
    transport: str = "UDP"
    class_names: Sequence[str] = ("device-status", "test-report")
    number_prefixes: Sequence[str] = ("1", "2")  # first digits of the called numbers
    target_address: Address = ("127.0.0.1", 5060)
    padding_bytes: int = 0  # extra bytes in each session description (SDP)


def call_messages(
    number: int, at_ns: int, profile: TrafficProfile, random_: random.Random
) -> Iterator[SampleMessage]:
    """Yields the messages of one call in time order."""
    caller: Address = (f"127.0.{2 + number // 20000 % 200}.1", 10000 + number % 20000)
    called = random_.choice(profile.number_prefixes) + f"{random_.randrange(1000):03d}"
    uri = f"sip:{called}@{profile.target_address[0]}:{profile.target_address[1]}"
    caller_header = f"<sip:caller{number}@{caller[0]}>;tag=c{number:x}"
    call_id = f"{random_.getrandbits(64):016x}"
    padding = b"a=" + b"x" * profile.padding_bytes + b"\r\n" if profile.padding_bytes else b""

    def build_request(
        method: str, cseq: int, to: str, branch: str, *extra_headers: tuple[str, str], body: bytes = b""
    ) -> Message:
        return request(
            method, uri,
            ("via", f"SIP/2.0/{profile.transport} {caller[0]}:{caller[1]};branch=z9hG4bK{branch}"),
            ("max-forwards", "70"), ("from", caller_header), ("to", to), ("call-id", call_id),
            ("cseq", f"{cseq} {method}"), ("contact", f"<sip:caller{number}@{caller[0]}:{caller[1]}>"),
            *extra_headers, body=body,
        )  # fmt: skip

    def sample_at(ms: float, message: Message, to_caller: bool = False) -> SampleMessage:
        endpoints = (profile.target_address, caller) if to_caller else (caller, profile.target_address)
        return SampleMessage(at_ns + round(ms * 1e6), profile.transport, *endpoints, message)

    def build_response(
        to: Message, status: int, *extra_headers: tuple[str, str], body: bytes = b""
    ) -> Message:
        untagged = response(to, status, *extra_headers, body=body)
        tag = f";tag=h{number:x}"
        tagged = tuple((k, v + tag if k == "to" and "tag=" not in v else v) for k, v in untagged.headers)
        return Message(status=status, reason_phrase=untagged.reason_phrase, headers=tagged, body=body)

    class_name = random_.choice(profile.class_names)
    invite = build_request(
        "INVITE", 1, f"<{uri}>", f"{number:x}i", ("subject", class_name), ("x-patience", "9000"),
        ("content-type", "application/sdp"), body=SDP + padding,
    )  # fmt: skip
    called_header = f"<{uri}>;tag=h{number:x}"
    delay = random_.uniform(*profile.answer_ms)
    yield sample_at(0.0, invite)
    yield sample_at(delay / 4, response(invite, 100), True)
    outcome_draw = random_.random()
    if outcome_draw < profile.refused_share:
        yield sample_at(
            delay, build_response(invite, 503, ("retry-after", "2"), ("x-later-ms", "2000")), True
        )
        yield sample_at(delay + 1, build_request("ACK", 1, called_header, f"{number:x}i"))
        return
    yield sample_at(delay / 2, build_response(invite, 180), True)
    if outcome_draw < profile.refused_share + profile.cancelled_share:
        cancel = build_request("CANCEL", 1, f"<{uri}>", f"{number:x}i")
        yield sample_at(delay, cancel)
        yield sample_at(delay + 1, build_response(cancel, 200), True)
        yield sample_at(delay + 2, build_response(invite, 487), True)
        yield sample_at(delay + 3, build_request("ACK", 1, called_header, f"{number:x}i"))
        return
    contact = ("contact", f"<sip:landingdeal@{profile.target_address[0]}:{profile.target_address[1]}>")
    content_type = ("content-type", "application/sdp")
    yield sample_at(delay, build_response(invite, 200, contact, content_type, body=SDP + padding), True)
    yield sample_at(delay + 1, build_request("ACK", 1, called_header, f"{number:x}a"))
    release_ms = delay + random_.uniform(*profile.hold_ms)
    reason = ("reason", "Q.850;cause=16")
    if random_.random() < profile.called_release_share:
        bye = request(
            "BYE", f"sip:caller{number}@{caller[0]}:{caller[1]}",
            ("via", f"SIP/2.0/{profile.transport} {profile.target_address[0]}:{profile.target_address[1]}"
                    f";branch=z9hG4bK{number:x}b"),
            ("max-forwards", "70"), ("from", called_header), ("to", caller_header), ("call-id", call_id),
            ("cseq", "2 BYE"), reason,
        )  # fmt: skip
        yield sample_at(release_ms, bye, True)
        yield sample_at(release_ms + 1, response(bye, 200))
    else:
        bye = build_request("BYE", 2, called_header, f"{number:x}b", reason)
        yield sample_at(release_ms, bye)
        yield sample_at(release_ms + 1, build_response(bye, 200), True)


def generate_traffic(profile: TrafficProfile, seed: int = 1, start_ns: int = START_NS) -> list[SampleMessage]:
    """Returns the messages of all calls in time order; arrivals are a Poisson process."""
    random_ = random.Random(seed)
    at, messages = float(start_ns), list[SampleMessage]()
    for number in range(1, profile.call_count + 1):
        messages.extend(call_messages(number, round(at), profile, random_))
        at += random_.expovariate(profile.calls_per_s) * 1e9
    messages.sort(key=lambda sent: sent.time_ns)
    return messages


def to_packets(messages: Sequence[SampleMessage], close_connections: bool = True) -> list[tuple[int, bytes]]:
    """Returns the messages as timed Ethernet frames; TCP messages get complete connections."""
    builder, timed_frames = PacketBuilder(), list[tuple[int, bytes]]()
    for sent in messages:
        to_frames = builder.datagram_frames if sent.transport == "UDP" else builder.stream_frames
        # packets of one message are a microsecond apart
        frames = to_frames(sent.source, sent.target, encode(sent.message))
        timed_frames += [(sent.time_ns + index * 1000, frame) for index, frame in enumerate(frames)]
    if close_connections and messages:
        timed_frames += [(messages[-1].time_ns + 10**6, frame) for frame in builder.close_all()]
    return timed_frames


def encode_capture(frames: Sequence[tuple[int, bytes]], encoder: CaptureEncoder) -> bytes:
    """Returns a capture file of timed frames."""
    return encoder.file_header() + b"".join(encoder.packet_record(at, frame) for at, frame in frames)
