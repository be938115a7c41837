"""The decoder of the event bus's answers: however they are cut, and what is not one of them."""

from __future__ import annotations

import pytest

from landingdeal.bus.stream import (
    EventReceived,
    EventStreamDecoder,
    HeadReceived,
    LineReceived,
    RequestRefused,
    StreamEnded,
    StreamError,
)

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
COMMENT = b": \n\n"


def decode(*parts: bytes) -> list[object]:
    decoder = EventStreamDecoder()
    return [item for part in parts for item in decoder.feed(part)]


ANSWER = HEAD + COMMENT + b"id: 7\ndata: {}\n\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ITEMS = [HeadReceived(), *[LineReceived()] * 4, EventReceived("7", "{}")]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_an_answer_is_decoded_however_it_is_cut(size: int) -> None:
    parts = [ANSWER[start : start + size] for start in range(0, len(ANSWER), size)]
    assert decode(*parts) == ITEMS
    body = ANSWER[len(HEAD) :]
    chunks = b"".join(b"%x;x=1\r\n%s\r\n" % (len(c), c) for c in (body[:5], body[5:12], body[12:]))
    chunked = CHUNKED_HEAD + chunks + b"0\r\n\r\n"
    parts = [chunked[start : start + size] for start in range(0, len(chunked), size)]
    assert decode(*parts)[: len(ITEMS) + 1] == [*ITEMS, StreamEnded()]


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (b"HTTP/1.1 503 Busy\r\n\r\n", RequestRefused),
        (b"SIP/2.0 200 OK\r\n\r\n", StreamError),
        (b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 20_000, StreamError),
        (HEAD + b"data: " + b"x" * 5_000_000, StreamError),
        (HEAD + b"data: xxxxxxx\n" * 700_000, StreamError),
        (CHUNKED_HEAD + b"zz\r\n", StreamError),
        (CHUNKED_HEAD + b"-5\r\n", StreamError),
        (CHUNKED_HEAD + b"2\r\nabc\r\n", StreamError),
        (CHUNKED_HEAD + b"1" * 5000, StreamError),
    ],
    ids=[
        "refused",
        "not HTTP",
        "long head",
        "long line",
        "long event",
        "no size",
        "negative size",
        "long chunk",
        "long size",
    ],
)
def test_an_unusable_answer_is_an_error(answer: bytes, error: type[StreamError]) -> None:
    with pytest.raises(error):
        decode(answer)
