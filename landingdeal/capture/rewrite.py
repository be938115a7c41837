"""Messages of captures written anew: some calls alone, files merged, or names and numbers replaced. Pure.

What is written is one correct conversation made from the messages, not the packets as they lay: fragments and
segments are whole, lengths and checksums right.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from landingdeal.capture.encode import CaptureEncoder, PacketBuilder
from landingdeal.capture.layers import Address
from landingdeal.capture.messages import CapturedMessage
from landingdeal.sip.message import Message, encode

Keep = Callable[[CapturedMessage], bool]


def written(messages: Iterable[CapturedMessage], form: CaptureEncoder) -> Iterator[bytes]:
    """A capture file of these messages, in pieces."""
    yield form.file_header()
    builder, last = PacketBuilder(), 0
    for seen in messages:
        put = builder.datagram_frames if seen.transport == "UDP" else builder.stream_frames
        for number, frame in enumerate(put(seen.source, seen.target, encode(seen.message))):
            last = max(seen.time_ns + number * 1000, last + 1)
            yield form.packet_record(last, frame)
    for frame in builder.close_all():
        last += 1000
        yield form.packet_record(last, frame)


# --- scrubbing ---

_URI_USER = re.compile(r"(sips?:|tel:)([^@;>\s,\"?]+)(?=@)|(tel:)([^;>\s,\"?]+)", re.IGNORECASE)
_HOST = re.compile(r"(?<=@)[A-Za-z0-9.\-]+|(?<![\w.])\d{1,3}(?:\.\d{1,3}){3}(?![\w.])")
_V6 = re.compile(r"\[[0-9A-Fa-f:.]+\]")
_DISPLAY = re.compile(r'"(?:[^"\\]|\\.)*"(?=\s*<)|^[^<",;:]+(?=<)')
_ADDRESSED = frozenset((
    "from", "to", "contact", "via", "route", "record-route", "reply-to", "referred-by", "refer-to",
    "p-asserted-identity", "p-preferred-identity", "diversion", "history-info", "path", "remote-party-id",
))  # fmt: skip
_NAMES = frozenset(("organization", "user-agent", "server"))
_SDP_NAME = re.compile(rb"^(o=)(\S+)( .*)$|^([sieup]=)(.*)$")
_SDP_HOST = re.compile(rb"(IN IP4 )([0-9.]+)|(IN IP6 )([0-9A-Fa-f:]+)")


def _short(number: int) -> str:
    return f"n{number % 16**6:06x}"


class Scrubber:
    """Replaces names, numbers and addresses, the same by the same; another key gives other ones.

    Digits stay digits and the first one stays as it is, so that routes by prefix still lead the same way.
    Classes (Subject) and times stay.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.known: dict[tuple[str, str], str] = {}

    def _hash(self, kind: str, text: str) -> int:
        import xxhash

        return xxhash.xxh3_64_intdigest(f"{self.key}\0{kind}\0{text}".encode("utf-8", "surrogateescape"))

    def _once(self, kind: str, text: str, make: Callable[[int], str]) -> str:
        found = self.known.get((kind, text))
        if found is None:
            if len(self.known) > 1_000_000:  # it is made again when it comes again
                self.known.clear()
            found = self.known[kind, text] = make(self._hash(kind, text))
        return found

    def user(self, text: str) -> str:
        if text.lstrip("+").isdecimal() and len(text.lstrip("+")) > 1:
            plus, digits = text[: len(text) - len(text.lstrip("+"))], text.lstrip("+")
            rest = len(digits) - 1
            return self._once("digits", text, lambda h: f"{plus}{digits[0]}{h % 10**rest:0{rest}d}")
        return self._once("user", text, lambda h: f"u{h % 16**10:010x}")

    def host(self, text: str) -> str:
        if re.fullmatch(r"[\d.]+", text):
            return self._once("v4", text, lambda h: f"10.{h >> 16 & 255}.{h >> 8 & 255}.{h % 254 + 1}")
        if ":" in text:
            return self._once("v6", text, lambda h: f"2001:db8::{h >> 16 & 0xFFFF:x}:{h & 0xFFFF:x}")
        return self._once("name", text.lower(), lambda h: f"h{h % 16**8:08x}.example")

    def address(self, address: Address) -> Address:
        return self.host(address[0]), address[1]

    def value(self, text: str) -> str:
        """A header's value, or a URI."""
        text = _DISPLAY.sub(lambda m: f'"{self._once("display", m[0].strip(), _short)}" ', text)
        text = _URI_USER.sub(lambda m: (m[1] or m[3]) + self.user(m[2] or m[4]), text)
        text = _HOST.sub(lambda m: self.host(m[0]), text)
        return _V6.sub(lambda m: f"[{self.host(m[0][1:-1])}]", text)

    def body(self, kind: str, data: bytes) -> bytes:
        """Of SDP the names and addresses; anything else becomes as many x."""
        if not kind.lower().startswith("application/sdp"):
            return b"x" * len(data)
        lines = []
        for line in data.split(b"\r\n"):
            found = _SDP_NAME.match(line)
            if found and found[1]:
                line = found[1] + b"- " + found[3].lstrip()
            elif found:
                line = found[4] + b"-"
            line = _SDP_HOST.sub(
                lambda m: (m[1] or m[3]) + self.host((m[2] or m[4]).decode("ascii")).encode(), line
            )
            lines.append(line)
        return b"\r\n".join(lines)

    def message(self, message: Message) -> Message:
        headers = []
        for name, value in message.headers:
            if name == "call-id":
                value = self._once("call", value, lambda h: f"{h:016x}")
            elif name in _ADDRESSED:
                value = self.value(value)
            elif name in _NAMES:
                value = self._once(name, value, _short)
            elif name in ("authorization", "proxy-authorization"):
                continue
            headers.append((name, value))
        kind = message.get("content-type", "application/sdp")
        body = self.body(kind, message.body) if message.body else b""
        uri = self.value(message.uri) if message.uri else ""
        return replace(message, uri=uri, headers=tuple(headers), body=body)

    def seen(self, seen: CapturedMessage) -> CapturedMessage:
        source, target = self.address(seen.source), self.address(seen.target)
        return replace(seen, source=source, target=target, message=self.message(seen.message))
