"""SIP messages: decoded once into a small frozen value, encoded once; and their framing on a stream."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_MESSAGE = 16 * 1024
TOO_LARGE = "over 16 KiB"
COMPACT = {
    "v": "via", "f": "from", "t": "to", "i": "call-id", "m": "contact", "l": "content-length",
    "s": "subject", "c": "content-type", "k": "supported", "e": "content-encoding",
}  # fmt: skip
METHOD_CHARS = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-.!%*_+`'~")
REASONS = {
    100: "Trying", 180: "Ringing", 200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 416: "Unsupported URI Scheme",
    420: "Bad Extension", 480: "Temporarily Unavailable", 481: "Call/Transaction Does Not Exist",
    482: "Loop Detected", 483: "Too Many Hops", 486: "Busy Here", 487: "Request Terminated",
    491: "Request Pending", 500: "Server Internal Error", 501: "Not Implemented",
    503: "Service Unavailable", 504: "Server Time-out", 505: "Version Not Supported",
}  # fmt: skip


class BrokenFraming(Exception):
    """Where the next message begins can't be told any more: the connection has to end."""


class Oversize(BrokenFraming):
    """A message over 16 KiB whose end is known: `rest` bytes of it are still to come."""

    def __init__(self, malformed: Malformed, rest: int) -> None:
        super().__init__("a message over 16 KiB")
        self.malformed, self.rest = malformed, rest


@dataclass(frozen=True, slots=True)
class Message:
    """A request has a method and a URI, a response a status. Header names are kept in lower case."""

    method: str = ""
    uri: str = ""
    status: int = 0
    reason: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def all(self, name: str) -> list[str]:
        return [value for key, value in self.headers if key == name]

    @property
    def call_id(self) -> str:
        return self.get("call-id")

    @property
    def cseq(self) -> tuple[int, str]:
        number, _, method = self.get("cseq").strip().partition(" ")
        return (int(number) if number.isdecimal() and len(number) <= 10 else -1), method.strip()


@dataclass(frozen=True, slots=True)
class Malformed:
    """A message whose bounds were clear but whose content is not SIP; `message` is what could be read."""

    why: str
    message: Message = field(default_factory=Message)


def request(method: str, uri: str, *headers: tuple[str, str], body: bytes = b"") -> Message:
    return Message(method, uri, headers=headers, body=body)


def response(to: Message, status: int, *more: tuple[str, str], body: bytes = b"") -> Message:
    """The response to a request: Via, From, To, Call-ID and CSeq are copied as RFC 3261 8.2.6.2 says."""
    kept = tuple((k, v) for k, v in to.headers if k in ("via", "from", "to", "call-id", "cseq"))
    return Message(status=status, reason=REASONS.get(status, "Other"), headers=kept + more, body=body)


_SPELLED = {"call-id": "Call-ID", "cseq": "CSeq", "www-authenticate": "WWW-Authenticate"}


def encode(message: Message) -> bytes:
    if message.status:
        lines = [f"SIP/2.0 {message.status} {message.reason}"]
    else:
        lines = [f"{message.method} {message.uri} SIP/2.0"]
    for name, value in message.headers:
        if name != "content-length":
            lines.append(f"{_SPELLED.get(name) or name.title()}: {value}")
    lines.append(f"Content-Length: {len(message.body)}\r\n\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + message.body


def _headers(lines: list[str]) -> tuple[tuple[tuple[str, str], ...], str]:
    """The headers, with folded lines joined, and what is wrong with them (or nothing)."""
    found: list[tuple[str, str]] = []
    wrong = ""
    for line in lines:
        if line[:1] in (" ", "\t") and found:
            found[-1] = (found[-1][0], f"{found[-1][1]} {line.strip()}".strip())
            continue
        name, colon, value = line.partition(":")
        name = name.strip().lower()
        if not colon or not name or " " in name:
            wrong = wrong or "a header line without a name"
            continue
        found.append((COMPACT.get(name, name), value.strip()))
    return tuple(found), wrong


def content_length(headers: tuple[tuple[str, str], ...]) -> int | None:
    """The stated length; None where none is stated, -1 where it can't be a length or two disagree."""
    stated = {value for name, value in headers if name == "content-length"}
    if not stated:
        return None
    value = stated.pop()
    if stated or not (value.isascii() and value.isdecimal() and len(value) <= 9):
        return -1
    return int(value)


def _build(head: bytes, headers: tuple[tuple[str, str], ...], wrong: str, body: bytes) -> Message | Malformed:
    start = head.split(b"\r\n", 1)[0].decode("utf-8", "surrogateescape")
    words = start.split(" ", 2)
    if words[0] == "SIP/2.0":
        code = words[1] if len(words) > 1 and words[1].isascii() and words[1].isdecimal() else "0"
        if len(code) != 3 or not 100 <= int(code) <= 699:
            return Malformed("status line", Message(headers=headers))
        made = Message("", "", int(code), words[2] if len(words) > 2 else "", headers, body)
    else:
        if len(words) != 3 or not words[0] or not METHOD_CHARS.issuperset(words[0]) or not words[1]:
            return Malformed("request line", Message("UNKNOWN", headers=headers))
        made = Message(words[0], words[1], headers=headers, body=body)
        if words[2] != "SIP/2.0":
            return Malformed("version", made)
    if wrong:
        return Malformed(wrong, made)
    if not made.call_id or " " in made.call_id:
        return Malformed("Call-ID", made)
    number, method = made.cseq
    if number < 0 or number >= 2**31 or not method or (made.method and method != made.method):
        return Malformed("CSeq", made)
    return made


def _split(head: bytes) -> tuple[tuple[tuple[str, str], ...], str]:
    return _headers(head.decode("utf-8", "surrogateescape").split("\r\n")[1:])


def decode_datagram(data: bytes) -> Message | Malformed:
    """One message of a datagram; bytes past Content-Length are dropped, too few are malformed (18.3)."""
    head, gap, body = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    headers, wrong = _split(head)
    length = content_length(headers)
    if length is None:
        length = len(body)
    if not gap or length < 0 or length > len(body):
        wrong, length = wrong or "Content-Length", 0
    return _build(head, headers, wrong, body[:length])


class Framer:
    """Cuts a stream into messages by Content-Length; raises BrokenFraming where that can't be done."""

    def __init__(self) -> None:
        self.held = b""

    def feed(self, data: bytes) -> Iterator[Message | Malformed]:
        self.held += data
        while True:
            self.held = self.held.lstrip(b"\r\n")
            end = self.held.find(b"\r\n\r\n")
            if end < 0:
                if len(self.held) > MAX_MESSAGE:
                    raise BrokenFraming("a message head over 16 KiB")
                return
            head = self.held[:end]
            headers, wrong = _split(head)
            length = content_length(headers)
            if length is None or length < 0:
                raise BrokenFraming("no usable Content-Length")
            total = end + 4 + length
            if total > MAX_MESSAGE:
                built = _build(head, headers, wrong, b"")
                message = built.message if isinstance(built, Malformed) else built
                raise Oversize(Malformed(TOO_LARGE, message), total - len(self.held))
            if len(self.held) < total:
                return
            body, self.held = self.held[end + 4 : total], self.held[total:]
            yield _build(head, headers, wrong, body)
