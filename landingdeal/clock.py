"""The one clock of the program: Unix milliseconds, anchored at start and advanced monotonically.

Guards against a system clock that is set while the program runs: deadlines would jump with it.
"""

from __future__ import annotations

import time

_ANCHOR = time.time() * 1000 - time.monotonic() * 1000


def now_ms() -> float:
    return _ANCHOR + time.monotonic() * 1000


def seconds_until(deadline_ms: float) -> float:
    """For the one place where a socket or a queue wants a span instead of a deadline."""
    return max((deadline_ms - now_ms()) / 1000, 0.0)
