"""Logging to standard error: free text, and events of a fixed kind with named fields.

Each kind is rate-limited on its own, so that a flood of one hides no other. The next line of a kind states
how many were left out. Nothing here raises or waits: a standard error that is closed, or whose reader is slow
or stopped, costs lines and never the calling thread.
"""

from __future__ import annotations

import contextlib
import select
import sys
import threading
import traceback
from typing import TextIO

from landingdeal.clock import now_ms

MAX_LINES_PER_S = 20.0  # for each kind
MAX_LINES_PER_S_AND_SOURCE = (
    5.0  # of each kind that a connection or source of datagrams causes: a share of it
)
TEXT_KIND = "text"  # the kind that free text is limited under
EXCEPTION_KIND = "exception"
PIPE_ROOM_BYTES = 4096  # PIPE_BUF: a pipe that is ready takes so much without waiting


class TokenBucket:
    """Rate limiter: so many lines a second, with bursts of the same size."""

    __slots__ = ("lines_per_s", "tokens", "filled_ms", "dropped")

    def __init__(self, now: float, lines_per_s: float = MAX_LINES_PER_S) -> None:
        self.lines_per_s = lines_per_s
        self.tokens, self.filled_ms, self.dropped = lines_per_s, now, 0

    def take(self, now: float) -> bool:
        """Takes a token for one line; without one the line is counted as dropped."""
        gained = (now - self.filled_ms) / 1000 * self.lines_per_s
        self.tokens = min(self.tokens + gained, self.lines_per_s)
        self.filled_ms = now
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


class LogShare:
    """What one connection or source of datagrams may log, so that it can't fill the log alone."""

    __slots__ = ("bucket",)

    def __init__(self) -> None:
        self.bucket = TokenBucket(now_ms(), MAX_LINES_PER_S_AND_SOURCE)


_lock = threading.Lock()
_buckets: dict[str, TokenBucket] = {}


def _write(kind: str, text: str, share: LogShare | None = None) -> None:
    with _lock:
        now = now_ms()
        bucket = _buckets.get(kind)
        if bucket is None:
            bucket = _buckets[kind] = TokenBucket(now)
        if share is not None and not share.bucket.take(now):
            bucket.dropped += 1
            return
        if not bucket.take(now):
            return
        suffix = f" ({bucket.dropped} lines left out before this)" if bucket.dropped else ""
        if _write_to_stream(f"{now / 1000:.3f} {text}{suffix}\n"):
            bucket.dropped = 0
        else:
            bucket.dropped += 1


def _write_to_stream(text: str) -> bool:
    """Writes to standard error if that does not wait; false if not all of it was written."""
    with contextlib.suppress(OSError, ValueError):
        for start in range(0, len(text), PIPE_ROOM_BYTES // 4):  # a character has at most four bytes
            if not _takes_more(sys.stderr):
                return False
            sys.stderr.write(text[start : start + PIPE_ROOM_BYTES // 4])
            sys.stderr.flush()
        return True
    return False


def _takes_more(stream: TextIO) -> bool:
    """Whether the stream takes `PIPE_ROOM_BYTES` without waiting; one without a descriptor always does."""
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


def log_text(text: str) -> None:
    """Logs a line of free text."""
    _write(TEXT_KIND, text)


def log_exception() -> None:
    """Logs the exception that is being handled, with its traceback."""
    _write(EXCEPTION_KIND, traceback.format_exc().rstrip())


def log_event(kind: str, share: LogShare | None = None, **fields: object) -> None:
    """Logs a line `kind name=value ...`. Kinds must be few and fixed: each keeps its own rate limiter.

    `share` is that of the caller that causes the line; None for what no caller can cause at will.
    """
    text = " ".join([kind, *(f"{name}={_format_value(value)}" for name, value in fields.items())])
    _write(kind, text, share)


def _format_value(value: object) -> str:
    if isinstance(value, bytes):
        return value.decode("ascii", "replace")
    if isinstance(value, float):
        return f"{value:.0f}"
    text = str(value)
    return repr(text) if " " in text or not text else text
