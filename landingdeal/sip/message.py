"""SIP messages as immutable values: parsing, encoding, and framing on a stream (RFC 3261, 7 and 18.3)."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16 * 1024
TOO_LARGE = "over 16 KiB"
COMPACT_HEADER_NAMES = {
    "v": "via", "f": "from", "t": "to", "i": "call-id", "m": "contact", "l": "content-length",
    "s": "subject", "c": "content-type", "k": "supported", "e": "content-encoding",
}  # fmt: skip
METHOD_CHARACTERS = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-.!%*_+`'~")
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
    copied = tuple(
        (name, value)
        for name, value in answered_request.headers
        if name in ("via", "from", "to", "call-id", "cseq")
    )
    return Message(
        status=status,
        reason_phrase=REASON_PHRASES.get(status, "Other"),
        headers=copied + extra_headers,
        body=body,
    )


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


def content_length(headers: tuple[tuple[str, str], ...]) -> int | None:
    """Returns Content-Length; None if there is none, -1 if it is not a length or two headers disagree."""
    stated = {value for name, value in headers if name == "content-length"}
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
    return _parse_header_lines(head.decode("utf-8", "surrogateescape").split("\r\n")[1:])


def decode_datagram(data: bytes) -> Message | MalformedMessage:
    """Parses one datagram; bytes after Content-Length are dropped, a shorter body is malformed (18.3)."""
    head, separator, body = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    headers, problem = _parse_headers(head)
    length = content_length(headers)
    if length is None:
        length = len(body)
    if not separator or length < 0 or length > len(body):
        problem, length = problem or "Content-Length", 0
    return _parse_message(head, headers, problem, body[:length])


class Framer:
    """Splits a stream into messages by Content-Length."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> Iterator[Message | MalformedMessage]:
        """Adds received bytes and yields complete messages; raises FramingError if it loses the framing."""
        self.buffer += data
        while True:
            self.buffer = self.buffer.lstrip(b"\r\n")
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self.buffer) > MAX_MESSAGE_BYTES:
                    raise FramingError("a message head over 16 KiB")
                return
            head = self.buffer[:end]
            headers, problem = _parse_headers(head)
            length = content_length(headers)
            if length is None or length < 0:
                raise FramingError("no usable Content-Length")
            total = end + 4 + length
            if total > MAX_MESSAGE_BYTES:
                parsed = _parse_message(head, headers, problem, b"")
                message = parsed.message if isinstance(parsed, MalformedMessage) else parsed
                raise OversizedMessage(MalformedMessage(TOO_LARGE, message), total - len(self.buffer))
            if len(self.buffer) < total:
                return
            body, self.buffer = self.buffer[end + 4 : total], self.buffer[total:]
            yield _parse_message(head, headers, problem, body)
