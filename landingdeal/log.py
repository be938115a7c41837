"""Logging to standard error: free text, and events of a fixed kind with named fields.

Each kind is rate-limited on its own, so that a flood of one hides no other. The next line of a kind states
how many were left out. Nothing here raises: a closed or full standard error must not end the calling thread.
"""

from __future__ import annotations

import contextlib
import sys
import threading

from landingdeal.clock import now_ms

MAX_LINES_PER_S = 20.0  # for each kind
TEXT_KIND = "text"  # the kind that free text is limited under


class TokenBucket:
    """Rate limiter: `MAX_LINES_PER_S` lines a second, with bursts of the same size."""

    __slots__ = ("tokens", "filled_ms", "dropped")

    def __init__(self, now: float) -> None:
        self.tokens, self.filled_ms, self.dropped = MAX_LINES_PER_S, now, 0

    def take(self, now: float) -> bool:
        """Takes a token for one line; without one the line is counted as dropped."""
        self.tokens = min(self.tokens + (now - self.filled_ms) / 1000 * MAX_LINES_PER_S, MAX_LINES_PER_S)
        self.filled_ms = now
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


_lock = threading.Lock()
_buckets: dict[str, TokenBucket] = {}


def _write(kind: str, text: str) -> None:
    with _lock:
        now = now_ms()
        bucket = _buckets.get(kind)
        if bucket is None:
            bucket = _buckets[kind] = TokenBucket(now)
        if not bucket.take(now):
            return
        dropped_lines, bucket.dropped = bucket.dropped, 0
    suffix = f" ({dropped_lines} lines left out before this)" if dropped_lines else ""
    with contextlib.suppress(OSError, ValueError):
        print(f"{now / 1000:.3f} {text}{suffix}", file=sys.stderr, flush=True)


def log_text(text: str) -> None:
    """Logs a line of free text."""
    _write(TEXT_KIND, text)


def log_event(kind: str, **fields: object) -> None:
    """Logs a line `kind name=value ...`. Kinds must be few and fixed: each keeps its own rate limiter."""
    _write(kind, " ".join([kind, *(f"{name}={_format_value(value)}" for name, value in fields.items())]))


def _format_value(value: object) -> str:
    if isinstance(value, bytes):
        return value.decode("ascii", "replace")
    if isinstance(value, float):
        return f"{value:.0f}"
    text = str(value)
    return repr(text) if " " in text or not text else text
