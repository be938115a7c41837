"""Decodes the answer of the event bus: server-sent events over HTTP/1.1. There is no I/O here.

Source: RFC 9112 (sections 4, 6 and 7.1) and the HTML standard, "Server-sent events".
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

MAX_HEAD_BYTES = 64 * 1024
MAX_EVENT_BYTES = 4 * 1024 * 1024  # of one line, and of the data of one event
MAX_CHUNK_SIZE_LINE_BYTES = 4096
EMPTY_LINE = re.compile(rb"\r?\n\r?\n")


class StreamError(ValueError):
    """The answer can't be read any further."""


class RequestRefused(StreamError):
    """The answer has another status than 200."""


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """The whole head of an answer with status 200."""


@dataclass(frozen=True, slots=True)
class LineReceived:
    """A whole line of the stream that ends no event: a comment, a field or an empty line."""


@dataclass(frozen=True, slots=True)
class EventReceived:
    """A whole event: its `id` field, which may be empty, and its data."""

    number: str
    data: str


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The last chunk of the body."""


StreamItem = HeadReceived | LineReceived | EventReceived | StreamEnded


class EventStreamDecoder:
    """Turns the bytes of one answer into what they mean; after a StreamError it is not to be used again."""

    def __init__(self) -> None:
        self._head_received = False
        self._chunks: ChunkDecoder | None = None
        self._undecoded = b""  # of the head, then of the body's last line
        self._number = ""
        self._data_lines: list[str] = []
        self._data_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The bytes kept until more of them come."""
        return len(self._undecoded) + self._data_bytes + (self._chunks.held_bytes if self._chunks else 0)

    def feed(self, data: bytes) -> Iterator[StreamItem]:
        """Yields what the bytes complete; raises StreamError."""
        if not self._head_received:
            taken = self._take_head(data)
            if taken is None:
                return
            head, data = taken
            self._read_head(head)
            yield HeadReceived()
        if self._chunks is None:
            yield from self._read_body(data)
            return
        yield from self._read_body(self._chunks.feed(data))
        if self._chunks.finished:
            yield StreamEnded()

    def _take_head(self, data: bytes) -> tuple[bytes, bytes] | None:
        """The head and what follows it, once it is whole."""
        self._undecoded = (self._undecoded + data).lstrip(b"\r\n")
        separator = EMPTY_LINE.search(self._undecoded)
        head_size = separator.start() if separator else len(self._undecoded)
        if head_size > MAX_HEAD_BYTES:
            raise StreamError("the head of the answer is too long")
        if separator is None:
            return None
        head, rest = self._undecoded[:head_size], self._undecoded[separator.end() :]
        self._undecoded = b""
        return head, rest

    def _read_head(self, head: bytes) -> None:
        status_line, *fields = head.decode("utf-8", "replace").splitlines()
        version, _, status = status_line.partition(" ")
        if not version.startswith("HTTP/"):
            raise StreamError(f"unexpected status line {status_line[:80]!r}")
        if status.split(" ")[0] != "200":
            raise RequestRefused(f"unexpected status {status_line[:80]!r}")
        self._head_received = True
        for line in fields:
            name, _, value = line.partition(":")
            if name.strip().lower() == "transfer-encoding" and "chunked" in value.lower():
                self._chunks = ChunkDecoder()

    def _read_body(self, data: bytes) -> Iterator[StreamItem]:
        *lines, self._undecoded = (self._undecoded + data).split(b"\n")
        for line in lines:
            yield self._read_line(line.decode("utf-8", "replace").rstrip("\r"))
        if len(self._undecoded) > MAX_EVENT_BYTES:
            raise StreamError("a line is too long")

    def _read_line(self, line: str) -> StreamItem:
        if not line and self._data_lines:
            event = EventReceived(self._number, "\n".join(self._data_lines))
            self._number, self._data_bytes = "", 0
            self._data_lines.clear()
            return event
        name, _, value = line.partition(":")
        if name == "id":
            self._number = value.strip()
        elif name == "data":
            self._data_lines.append(value.strip())
            self._data_bytes += len(line)
            if self._data_bytes > MAX_EVENT_BYTES:
                raise StreamError("an event is too long")
        return LineReceived()


class ChunkDecoder:
    """Decodes the chunked transfer encoding (RFC 9112, section 7.1); trailers are not read."""

    def __init__(self) -> None:
        self._undecoded = b""
        self._remaining = 0  # bytes of the current chunk
        self._expects_line_end = False  # after the data of a chunk
        self.finished = False

    @property
    def held_bytes(self) -> int:
        """The bytes kept until more of them come."""
        return len(self._undecoded)

    def feed(self, data: bytes) -> bytes:
        """Returns the decoded bytes; raises StreamError."""
        decoded = []
        undecoded = self._undecoded + data
        while undecoded and not self.finished:
            if self._remaining:
                part, undecoded = undecoded[: self._remaining], undecoded[self._remaining :]
                decoded.append(part)
                self._remaining -= len(part)
                self._expects_line_end = not self._remaining
                continue
            line, end, rest = undecoded.partition(b"\n")
            if not end:
                break
            undecoded = rest
            self._read_line(line.strip())
        self._undecoded = undecoded
        if not self._remaining and len(undecoded) > MAX_CHUNK_SIZE_LINE_BYTES:
            raise StreamError("a chunk size is too long")
        return b"".join(decoded)

    def _read_line(self, line: bytes) -> None:
        """Reads the line between two chunks: the end of one, or the size of the next."""
        if self._expects_line_end:
            if line:
                raise StreamError("a chunk is longer than its size")
            self._expects_line_end = False
            return
        try:
            self._remaining = int(line.split(b";")[0], 16)
        except ValueError:
            raise StreamError(f"unusable chunk size {line[:20]!r}") from None
        if self._remaining < 0:
            raise StreamError(f"unusable chunk size {line[:20]!r}")
        self.finished = self._remaining == 0
