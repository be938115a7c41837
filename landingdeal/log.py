"""Lines on standard error: free text, and records of one kind with named fields.

Each kind has a bucket of its own, so that a storm of one hides no other; what was left out is counted in the
next line of that kind. Nothing raises here: a closed or full standard error must not end the thread that
writes.
"""

from __future__ import annotations

import contextlib
import sys
import threading

from landingdeal.clock import now_ms

LINES_PER_S = 20.0  # of each kind
TEXT = "text"  # the kind of free text


class Bucket:
    """Lets through so many lines a second, and as many at once."""

    __slots__ = ("room", "filled_at", "dropped")

    def __init__(self, now: float) -> None:
        self.room, self.filled_at, self.dropped = LINES_PER_S, now, 0

    def take(self, now: float) -> bool:
        self.room = min(self.room + (now - self.filled_at) / 1000 * LINES_PER_S, LINES_PER_S)
        self.filled_at = now
        if self.room < 1:
            self.dropped += 1
            return False
        self.room -= 1
        return True


_lock = threading.Lock()
_buckets: dict[str, Bucket] = {}


def _write(kind: str, text: str) -> None:
    with _lock:
        now = now_ms()
        bucket = _buckets.get(kind)
        if bucket is None:
            bucket = _buckets[kind] = Bucket(now)
        if not bucket.take(now):
            return
        missed, bucket.dropped = bucket.dropped, 0
    more = f" ({missed} lines left out before this)" if missed else ""
    with contextlib.suppress(OSError, ValueError):
        print(f"{now / 1000:.3f} {text}{more}", file=sys.stderr, flush=True)


def log_text(text: str) -> None:
    """A line of free text."""
    _write(TEXT, text)


def log_event(kind: str, **fields: object) -> None:
    """A line `kind name=value ...`. Kinds are few and fixed: each keeps a bucket."""
    _write(kind, " ".join([kind, *(f"{name}={_shown(value)}" for name, value in fields.items())]))


def _shown(value: object) -> str:
    if isinstance(value, bytes):
        return value.decode("ascii", "replace")
    if isinstance(value, float):
        return f"{value:.0f}"
    text = str(value)
    return repr(text) if " " in text or not text else text
