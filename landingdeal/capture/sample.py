"""Captures that the project makes itself: for the demonstration, the tests and the benchmarks."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from landingdeal.capture.encode import CaptureFile, Conversations
from landingdeal.capture.layers import Address
from landingdeal.sip.message import Message, encode, request, response

SDP = (
    b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
    b"m=audio 31000 RTP/AVP 0 8\r\n"
)
START_NS = 1_700_000_000 * 10**9


@dataclass(frozen=True, slots=True)
class Sent:
    """One message as it passes."""

    time_ns: int
    transport: str
    source: Address
    target: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Shape:
    """What calls look like. Times in milliseconds; parts are shares of all calls."""

    calls: int = 20
    per_s: float = 20.0
    answer_ms: tuple[float, float] = (5.0, 60.0)
    hold_ms: tuple[float, float] = (200.0, 800.0)
    refused: float = 0.1  # 503 with Retry-After
    withdrawn: float = 0.05
    called_ends: float = 0.3
    transport: str = "UDP"
    classes: Sequence[str] = ("device-status", "test-report")
    numbers: Sequence[str] = ("1", "2")  # first digits of the numbers called
    to: Address = ("127.0.0.1", 5060)
    padding: int = 0  # bytes more in each description


def call(number: int, at_ns: int, shape: Shape, random_: random.Random) -> Iterator[Sent]:
    """The messages of one call, in order of time."""
    caller: Address = (f"127.0.{2 + number // 20000 % 200}.1", 10000 + number % 20000)
    called = random_.choice(shape.numbers) + f"{random_.randrange(1000):03d}"
    uri = f"sip:{called}@{shape.to[0]}:{shape.to[1]}"
    mine = f"<sip:caller{number}@{caller[0]}>;tag=c{number:x}"
    call_id = f"{random_.getrandbits(64):016x}"
    padding = b"a=" + b"x" * shape.padding + b"\r\n" if shape.padding else b""

    def ask(
        method: str, cseq: int, to: str, branch: str, *more: tuple[str, str], body: bytes = b""
    ) -> Message:
        return request(
            method, uri, ("via", f"SIP/2.0/{shape.transport} {caller[0]}:{caller[1]};branch=z9hG4bK{branch}"),
            ("max-forwards", "70"), ("from", mine), ("to", to), ("call-id", call_id),
            ("cseq", f"{cseq} {method}"), ("contact", f"<sip:caller{number}@{caller[0]}:{caller[1]}>"), *more,
            body=body,
        )  # fmt: skip

    def out(ms: float, message: Message, back: bool = False) -> Sent:
        ends = (shape.to, caller) if back else (caller, shape.to)
        return Sent(at_ns + round(ms * 1e6), shape.transport, *ends, message)

    def answer(to: Message, status: int, *more: tuple[str, str], body: bytes = b"") -> Message:
        made = response(to, status, *more, body=body)
        tag = f";tag=h{number:x}"
        tagged = tuple((k, v + tag if k == "to" and "tag=" not in v else v) for k, v in made.headers)
        return Message(status=status, reason_phrase=made.reason_phrase, headers=tagged, body=body)

    kind = random_.choice(shape.classes)
    invite = ask("INVITE", 1, f"<{uri}>", f"{number:x}i", ("subject", kind), ("x-patience", "9000"),
                 ("content-type", "application/sdp"), body=SDP + padding)  # fmt: skip
    theirs = f"<{uri}>;tag=h{number:x}"
    delay = random_.uniform(*shape.answer_ms)
    yield out(0.0, invite)
    yield out(delay / 4, response(invite, 100), True)
    fate = random_.random()
    if fate < shape.refused:
        yield out(delay, answer(invite, 503, ("retry-after", "2"), ("x-later-ms", "2000")), True)
        yield out(delay + 1, ask("ACK", 1, theirs, f"{number:x}i"))
        return
    yield out(delay / 2, answer(invite, 180), True)
    if fate < shape.refused + shape.withdrawn:
        cancel = ask("CANCEL", 1, f"<{uri}>", f"{number:x}i")
        yield out(delay, cancel)
        yield out(delay + 1, answer(cancel, 200), True)
        yield out(delay + 2, answer(invite, 487), True)
        yield out(delay + 3, ask("ACK", 1, theirs, f"{number:x}i"))
        return
    contact = ("contact", f"<sip:landingdeal@{shape.to[0]}:{shape.to[1]}>")
    kind_of = ("content-type", "application/sdp")
    yield out(delay, answer(invite, 200, contact, kind_of, body=SDP + padding), True)
    yield out(delay + 1, ask("ACK", 1, theirs, f"{number:x}a"))
    ends = delay + random_.uniform(*shape.hold_ms)
    reason = ("reason", "Q.850;cause=16")
    if random_.random() < shape.called_ends:
        bye = request(
            "BYE", f"sip:caller{number}@{caller[0]}:{caller[1]}",
            ("via", f"SIP/2.0/{shape.transport} {shape.to[0]}:{shape.to[1]};branch=z9hG4bK{number:x}b"),
            ("max-forwards", "70"), ("from", theirs), ("to", mine), ("call-id", call_id), ("cseq", "2 BYE"),
            reason,
        )  # fmt: skip
        yield out(ends, bye, True)
        yield out(ends + 1, response(bye, 200))
    else:
        bye = ask("BYE", 2, theirs, f"{number:x}b", reason)
        yield out(ends, bye)
        yield out(ends + 1, answer(bye, 200), True)


def traffic(shape: Shape, seed: int = 1, start_ns: int = START_NS) -> list[Sent]:
    """All messages of all calls, in order of time; arrivals at exponential distances."""
    random_ = random.Random(seed)
    at, made = float(start_ns), list[Sent]()
    for number in range(1, shape.calls + 1):
        made.extend(call(number, round(at), shape, random_))
        at += random_.expovariate(shape.per_s) * 1e9
    made.sort(key=lambda sent: sent.time_ns)
    return made


def packets(messages: Sequence[Sent], end: bool = True) -> list[tuple[int, bytes]]:
    """The messages as frames with their times, TCP as whole connections."""
    conversations, made = Conversations(), list[tuple[int, bytes]]()
    for sent in messages:
        put = conversations.datagram if sent.transport == "UDP" else conversations.stream
        # packets of one message lie a microsecond apart
        frames = put(sent.source, sent.target, encode(sent.message))
        made += [(sent.time_ns + n * 1000, frame) for n, frame in enumerate(frames)]
    if end and messages:
        made += [(messages[-1].time_ns + 10**6, frame) for frame in conversations.end()]
    return made


def capture_file(frames: Sequence[tuple[int, bytes]], form: CaptureFile) -> bytes:
    return form.head() + b"".join(form.record(at, frame) for at, frame in frames)
