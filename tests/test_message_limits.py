"""Bounds on what one message may cost: its header fields, and how often an incomplete one is decoded."""

from __future__ import annotations

import tracemalloc

import pytest

from landingdeal.net.transaction import CallerTransaction
from landingdeal.sip import message as message_module
from landingdeal.sip.message import (
    MAX_HEADER_LINES,
    Framer,
    FramingError,
    MalformedMessage,
    Message,
    decode_datagram,
    encode,
    request,
)
from tests.rig.front import CallerHarness

MAX_DECODED_BYTES = 128 * 1024  # of a message of 16 KiB
SOUND = encode(request("OPTIONS", "sip:a@net", ("call-id", "1"), ("cseq", "1 OPTIONS"), body=b"x" * 50))


def with_fields(count: int) -> bytes:
    """A message with so many further header fields of few bytes."""
    return SOUND.replace(b"Call-ID", b"x:\r\n" * count + b"Call-ID", 1)


def test_a_head_of_very_many_short_fields_is_malformed_and_takes_little_memory() -> None:
    data = with_fields(3900)
    tracemalloc.start()
    (decoded,) = Framer().feed(data)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(decoded, MalformedMessage) and decoded.problem == "too many header fields"
    assert peak_bytes < MAX_DECODED_BYTES
    assert isinstance(decode_datagram(data), MalformedMessage)


def test_a_message_with_as_many_fields_as_allowed_is_sound() -> None:
    headers_of_its_own = 3
    (decoded,) = Framer().feed(with_fields(MAX_HEADER_LINES - headers_of_its_own))
    assert isinstance(decoded, Message) and len(decoded.body) == 50


def test_a_message_that_comes_byte_by_byte_is_decoded_once(monkeypatch: pytest.MonkeyPatch) -> None:
    decoded_heads: list[bytes] = []
    parse_headers = message_module._parse_headers

    def count(head: bytes) -> tuple[tuple[tuple[str, str], ...], str]:
        decoded_heads.append(head)
        return parse_headers(head)

    monkeypatch.setattr(message_module, "_parse_headers", count)
    framer = Framer()
    messages = [m for n in range(2 * len(SOUND)) for m in framer.feed((SOUND * 2)[n : n + 1])]
    assert len(messages) == 2 and messages[0] == messages[1] and len(decoded_heads) == 2


@pytest.mark.parametrize(
    ("head", "length"),
    [
        (b"A\r\nContent-Length: 12\r\nX: 1", 12),
        (b"A\r\nX: 1\r\nl : 7", 7),
        (b"A\r\nContent-Length: 1\r\n 2", -1),
        (b"A\r\nContent-Length: 1\r\nl: 2", -1),
        (b"A\r\nContent-Length: 1\r\nL: 1", 1),
        (b"A\r\nContent-Length: -1", -1),
        (b"A\r\nX-Content-Length: 1", None),
        (b"Content-Length: 1\r\nX: 1", None),
    ],
)
def test_the_length_is_found_without_decoding_the_head(head: bytes, length: int | None) -> None:
    assert message_module.content_length(head) == length
    if length is None or length < 0:
        with pytest.raises(FramingError):
            list(Framer().feed(head + b"\r\n\r\n"))


def test_an_answered_set_up_keeps_only_what_its_answer_needs() -> None:
    front = CallerHarness()
    front.send_set_up()
    offer = front.next_offer()
    assert isinstance(offer.caller, CallerTransaction)
    kept = offer.caller.invite
    assert not kept.body and not kept.get("x-facts") and kept.call_id == offer.call_id
    front.end()
