"""SIP messages as immutable values: parsing, encoding, and framing on a stream (RFC 3261, 7 and 18.3)."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16 * 1024
MAX_HEADER_LINES = 256  # a decoded header takes many times its bytes, so a head of short ones is bounded
TOO_LARGE = "over 16 KiB"
COMPACT_HEADER_NAMES = {
    "v": "via", "f": "from", "t": "to", "i": "call-id", "m": "contact", "l": "content-length",
    "s": "subject", "c": "content-type", "k": "supported", "e": "content-encoding",
}  # fmt: skip
METHOD_CHARACTERS = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-.!%*_+`'~")
COPIED_HEADERS = ("via", "from", "to", "call-id", "cseq")  # from a request to its responses
REASON_PHRASES = {
    100: "Trying", 180: "Ringing", 200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 416: "Unsupported URI Scheme",
    420: "Bad Extension", 480: "Temporarily Unavailable", 481: "Call/Transaction Does Not Exist",
    482: "Loop Detected", 483: "Too Many Hops", 486: "Busy Here", 487: "Request Terminated",
    491: "Request Pending", 500: "Server Internal Error", 501: "Not Implemented",
    503: "Service Unavailable", 504: "Server Time-out", 505: "Version Not Supported",
}  # fmt: skip


class FramingError(Exception):
    """The start of the next message on a stream is unknown, so the connection has to be closed."""


class OversizedMessage(FramingError):
    """A message over 16 KiB whose end is known; `remaining_bytes` of it have not been received yet."""

    def __init__(self, malformed: MalformedMessage, remaining_bytes: int) -> None:
        super().__init__("a message over 16 KiB")
        self.malformed, self.remaining_bytes = malformed, remaining_bytes


@dataclass(frozen=True, slots=True)
class Message:
    """A request has a method and a URI; a response has a status. Header names are in lower case."""

    method: str = ""
    uri: str = ""
    status: int = 0
    reason_phrase: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Returns the first header of this name (in lower case)."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def get_all(self, name: str) -> list[str]:
        """Returns the values of all headers of this name (in lower case), in order."""
        return [value for key, value in self.headers if key == name]

    @property
    def call_id(self) -> str:
        return self.get("call-id")

    @property
    def cseq(self) -> tuple[int, str]:
        """Sequence number and method of CSeq; the number is -1 if it is missing or unusable."""
        number, _, method = self.get("cseq").strip().partition(" ")
        return (int(number) if number.isdecimal() and len(number) <= 10 else -1), method.strip()


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """A message whose bounds are known but whose content is not valid SIP; `message` is the parsed part."""

    problem: str
    message: Message = field(default_factory=Message)


def request(method: str, uri: str, *headers: tuple[str, str], body: bytes = b"") -> Message:
    """Makes a request."""
    return Message(method, uri, headers=headers, body=body)


def response(
    answered_request: Message, status: int, *extra_headers: tuple[str, str], body: bytes = b""
) -> Message:
    """Makes the response to a request; Via, From, To, Call-ID and CSeq are copied (RFC 3261 8.2.6.2)."""
    copied = tuple(header for header in answered_request.headers if header[0] in COPIED_HEADERS)
    return Message(
        status=status,
        reason_phrase=REASON_PHRASES.get(status, "Other"),
        headers=copied + extra_headers,
        body=body,
    )


def response_context(answered_request: Message) -> Message:
    """What has to be kept of a request to answer it later: the headers that `response` copies."""
    copied = tuple(header for header in answered_request.headers if header[0] in COPIED_HEADERS)
    return Message(answered_request.method, answered_request.uri, headers=copied)


_HEADER_SPELLINGS = {"call-id": "Call-ID", "cseq": "CSeq", "www-authenticate": "WWW-Authenticate"}


def encode(message: Message) -> bytes:
    """Encodes a message; Content-Length is always computed from the body."""
    if message.status:
        lines = [f"SIP/2.0 {message.status} {message.reason_phrase}"]
    else:
        lines = [f"{message.method} {message.uri} SIP/2.0"]
    for name, value in message.headers:
        if name != "content-length":
            lines.append(f"{_HEADER_SPELLINGS.get(name) or name.title()}: {value}")
    lines.append(f"Content-Length: {len(message.body)}\r\n\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + message.body


def _parse_header_lines(lines: list[str]) -> tuple[tuple[tuple[str, str], ...], str]:
    """Returns the headers, with folded lines joined, and the first problem in them (empty if none)."""
    headers: list[tuple[str, str]] = []
    problem = ""
    for line in lines:
        if line[:1] in (" ", "\t") and headers:
            headers[-1] = (headers[-1][0], f"{headers[-1][1]} {line.strip()}".strip())
            continue
        name, colon, value = line.partition(":")
        name = name.strip().lower()
        if not colon or not name or " " in name:
            problem = problem or "a header line without a name"
            continue
        headers.append((COMPACT_HEADER_NAMES.get(name, name), value.strip()))
    return tuple(headers), problem


_CONTENT_LENGTH = re.compile(
    rb"\r\n(?:content-length|l)[ \t]*:(.*?)(?=\r\n(?![ \t])|\Z)", re.IGNORECASE | re.DOTALL
)


def content_length(head: bytes) -> int | None:
    """Returns the Content-Length of an encoded head, without decoding the rest of it.

    None if there is none, -1 if it is not a length or two headers disagree.
    """
    stated = {value.strip().decode("latin-1") for value in _CONTENT_LENGTH.findall(head)}
    if not stated:
        return None
    value = stated.pop()
    if stated or not (value.isascii() and value.isdecimal() and len(value) <= 9):
        return -1
    return int(value)


def _parse_message(
    head: bytes, headers: tuple[tuple[str, str], ...], problem: str, body: bytes
) -> Message | MalformedMessage:
    start_line = head.split(b"\r\n", 1)[0].decode("utf-8", "surrogateescape")
    words = start_line.split(" ", 2)
    if words[0] == "SIP/2.0":
        code = words[1] if len(words) > 1 and words[1].isascii() and words[1].isdecimal() else "0"
        if len(code) != 3 or not 100 <= int(code) <= 699:
            return MalformedMessage("status line", Message(headers=headers))
        message = Message("", "", int(code), words[2] if len(words) > 2 else "", headers, body)
    else:
        if len(words) != 3 or not words[0] or not METHOD_CHARACTERS.issuperset(words[0]) or not words[1]:
            return MalformedMessage("request line", Message("UNKNOWN", headers=headers))
        message = Message(words[0], words[1], headers=headers, body=body)
        if words[2] != "SIP/2.0":
            return MalformedMessage("version", message)
    if problem:
        return MalformedMessage(problem, message)
    if not message.call_id or " " in message.call_id:
        return MalformedMessage("Call-ID", message)
    number, method = message.cseq
    if number < 0 or number >= 2**31 or not method or (message.method and method != message.method):
        return MalformedMessage("CSeq", message)
    return message


def _parse_headers(head: bytes) -> tuple[tuple[tuple[str, str], ...], str]:
    """Returns the headers, at most `MAX_HEADER_LINES` of them, and the first problem (empty if none)."""
    lines = head.decode("utf-8", "surrogateescape").split("\r\n", MAX_HEADER_LINES + 1)[1:]
    headers, problem = _parse_header_lines(lines[:MAX_HEADER_LINES])
    return headers, problem if len(lines) <= MAX_HEADER_LINES else "too many header fields"


def decode_datagram(data: bytes) -> Message | MalformedMessage:
    """Parses one datagram; bytes after Content-Length are dropped, a shorter body is malformed (18.3)."""
    head, separator, body = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    headers, problem = _parse_headers(head)
    length = content_length(head)
    if length is None:
        length = len(body)
    if not separator or length < 0 or length > len(body):
        problem, length = problem or "Content-Length", 0
    return _parse_message(head, headers, problem, body[:length])


class Framer:
    """Splits a stream into messages by Content-Length. A message is decoded once, when it is complete."""

    def __init__(self) -> None:
        self.buffer = b""
        self._head_end = -1  # of the message that the buffer begins with; -1: its head is not complete
        self._message_size = 0  # of that message, once its head is complete
        self._searched = 0  # so many bytes of the buffer have no end of a head

    def feed(self, data: bytes) -> Iterator[Message | MalformedMessage]:
        """Adds received bytes and yields complete messages; raises FramingError if it loses the framing."""
        self.buffer += data
        while self._head_is_complete() and len(self.buffer) >= self._message_size:
            yield self._take_message()

    def _head_is_complete(self) -> bool:
        if self._head_end >= 0:
            return True
        if not self._searched:
            self.buffer = self.buffer.lstrip(b"\r\n")
        self._head_end = self.buffer.find(b"\r\n\r\n", max(self._searched - 3, 0))
        if self._head_end < 0:
            self._searched = len(self.buffer)
            if self._searched > MAX_MESSAGE_BYTES:
                raise FramingError("a message head over 16 KiB")
            return False
        head = self.buffer[: self._head_end]
        length = content_length(head)
        if length is None or length < 0:
            raise FramingError("no usable Content-Length")
        self._message_size = self._head_end + 4 + length
        if self._message_size > MAX_MESSAGE_BYTES:
            raise self._oversized(head)
        return True

    def _oversized(self, head: bytes) -> OversizedMessage:
        parsed = _parse_message(head, *_parse_headers(head), b"")
        message = parsed.message if isinstance(parsed, MalformedMessage) else parsed
        remaining_bytes = self._message_size - len(self.buffer)
        return OversizedMessage(MalformedMessage(TOO_LARGE, message), remaining_bytes)

    def _take_message(self) -> Message | MalformedMessage:
        """Removes the complete message that the buffer begins with."""
        head, body = self.buffer[: self._head_end], self.buffer[self._head_end + 4 : self._message_size]
        self.buffer = self.buffer[self._message_size :]
        self._head_end, self._searched = -1, 0
        return _parse_message(head, *_parse_headers(head), body)
