"""Writes messages of captures to a new capture: filtered, merged, or with names and numbers replaced. Pure.

The packets are generated from the messages, not copied: there are no fragments, TCP segments are in order,
and lengths and checksums are correct.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from landingdeal.capture.encode import CaptureEncoder, PacketBuilder
from landingdeal.capture.layers import Address
from landingdeal.capture.messages import CapturedMessage
from landingdeal.sip.message import Message, encode

MessageFilter = Callable[[CapturedMessage], bool]


def encode_messages(messages: Iterable[CapturedMessage], file_format: CaptureEncoder) -> Iterator[bytes]:
    """The bytes of a capture file with these messages, in chunks."""
    yield file_format.file_header()
    builder, last_ns = PacketBuilder(), 0
    for captured in messages:
        frames_of = builder.datagram_frames if captured.transport == "UDP" else builder.stream_frames
        for number, frame in enumerate(frames_of(captured.source, captured.target, encode(captured.message))):
            last_ns = max(captured.time_ns + number * 1000, last_ns + 1)
            yield file_format.packet_record(last_ns, frame)
    for frame in builder.close_all():
        last_ns += 1000
        yield file_format.packet_record(last_ns, frame)


# --- scrubbing ---

_URI_USER = re.compile(r"(sips?:|tel:)([^@;>\s,\"?]+)(?=@)|(tel:)([^;>\s,\"?]+)", re.IGNORECASE)
_HOST = re.compile(r"(?<=@)[A-Za-z0-9.\-]+|(?<![\w.])\d{1,3}(?:\.\d{1,3}){3}(?![\w.])")
_V6 = re.compile(r"\[[0-9A-Fa-f:.]+\]")
_DISPLAY = re.compile(r'"(?:[^"\\]|\\.)*"(?=\s*<)|^[^<",;:]+(?=<)')
_ADDRESS_HEADERS = frozenset((
    "from", "to", "contact", "via", "route", "record-route", "reply-to", "referred-by", "refer-to",
    "p-asserted-identity", "p-preferred-identity", "diversion", "history-info", "path", "remote-party-id",
))  # fmt: skip
_NAME_HEADERS = frozenset(("organization", "user-agent", "server"))
_SDP_NAME = re.compile(rb"^(o=)(\S+)( .*)$|^([sieup]=)(.*)$")
_SDP_HOST = re.compile(rb"(IN IP4 )([0-9.]+)|(IN IP6 )([0-9A-Fa-f:]+)")


def _short_name(number: int) -> str:
    return f"n{number % 16**6:06x}"


class Scrubber:
    """Replaces names, numbers and addresses. The same input and key give the same replacement.

    Digits are replaced by digits, except the first one, so that routes by prefix still apply.
    Classes (Subject) and times are kept.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.replacements: dict[tuple[str, str], str] = {}

    def _hash(self, category: str, text: str) -> int:
        import xxhash

        return xxhash.xxh3_64_intdigest(f"{self.key}\0{category}\0{text}".encode("utf-8", "surrogateescape"))

    def _replacement(self, category: str, text: str, build: Callable[[int], str]) -> str:
        replacement = self.replacements.get((category, text))
        if replacement is None:
            if len(self.replacements) > 1_000_000:  # limits the memory; they are recomputed when needed
                self.replacements.clear()
            replacement = self.replacements[category, text] = build(self._hash(category, text))
        return replacement

    def scrub_user(self, text: str) -> str:
        """Replaces a user name or telephone number."""
        if text.lstrip("+").isdecimal() and len(text.lstrip("+")) > 1:
            plus, digits = text[: len(text) - len(text.lstrip("+"))], text.lstrip("+")
            digit_count = len(digits) - 1
            return self._replacement(
                "digits", text, lambda h: f"{plus}{digits[0]}{h % 10**digit_count:0{digit_count}d}"
            )
        return self._replacement("user", text, lambda h: f"u{h % 16**10:010x}")

    def scrub_host(self, text: str) -> str:
        """Replaces a host name or IP address by one of the same type."""
        if re.fullmatch(r"[\d.]+", text):
            return self._replacement("v4", text, lambda h: f"10.{h >> 16 & 255}.{h >> 8 & 255}.{h % 254 + 1}")
        if ":" in text:
            return self._replacement("v6", text, lambda h: f"2001:db8::{h >> 16 & 0xFFFF:x}:{h & 0xFFFF:x}")
        return self._replacement("name", text.lower(), lambda h: f"h{h % 16**8:08x}.example")

    def scrub_address(self, address: Address) -> Address:
        return self.scrub_host(address[0]), address[1]

    def scrub_value(self, text: str) -> str:
        """Replaces users, hosts and display names in a header value or a URI."""
        text = _DISPLAY.sub(lambda m: f'"{self._replacement("display", m[0].strip(), _short_name)}" ', text)
        text = _URI_USER.sub(lambda m: (m[1] or m[3]) + self.scrub_user(m[2] or m[4]), text)
        text = _HOST.sub(lambda m: self.scrub_host(m[0]), text)
        return _V6.sub(lambda m: f"[{self.scrub_host(m[0][1:-1])}]", text)

    def scrub_body(self, content_type: str, data: bytes) -> bytes:
        """Replaces names and addresses in SDP; overwrites any other body with as many x."""
        if not content_type.lower().startswith("application/sdp"):
            return b"x" * len(data)
        lines = []
        for line in data.split(b"\r\n"):
            name_match = _SDP_NAME.match(line)
            if name_match and name_match[1]:
                line = name_match[1] + b"- " + name_match[3].lstrip()
            elif name_match:
                line = name_match[4] + b"-"
            line = _SDP_HOST.sub(
                lambda m: (m[1] or m[3]) + self.scrub_host((m[2] or m[4]).decode("ascii")).encode(), line
            )
            lines.append(line)
        return b"\r\n".join(lines)

    def scrub_message(self, message: Message) -> Message:
        """Replaces names and addresses in all parts of a message; removes credentials."""
        headers = []
        for name, value in message.headers:
            if name == "call-id":
                value = self._replacement("call", value, lambda h: f"{h:016x}")
            elif name in _ADDRESS_HEADERS:
                value = self.scrub_value(value)
            elif name in _NAME_HEADERS:
                value = self._replacement(name, value, _short_name)
            elif name in ("authorization", "proxy-authorization"):
                continue
            headers.append((name, value))
        content_type = message.get("content-type", "application/sdp")
        body = self.scrub_body(content_type, message.body) if message.body else b""
        uri = self.scrub_value(message.uri) if message.uri else ""
        return replace(message, uri=uri, headers=tuple(headers), body=body)

    def scrub_captured(self, captured: CapturedMessage) -> CapturedMessage:
        source, target = self.scrub_address(captured.source), self.scrub_address(captured.target)
        return replace(captured, source=source, target=target, message=self.scrub_message(captured.message))
