"""The clock of the program: Unix milliseconds, anchored at start and advanced monotonically.

Deadlines are not affected when the system clock is set while the program runs.
"""

from __future__ import annotations

import time

_ANCHOR = time.time() * 1000 - time.monotonic() * 1000


def now_ms() -> float:
    """The current time in Unix milliseconds."""
    return _ANCHOR + time.monotonic() * 1000


def seconds_until(deadline_ms: float) -> float:
    """The time left until a deadline, for sockets and queues that expect a timeout in seconds."""
    return max((deadline_ms - now_ms()) / 1000, 0.0)
