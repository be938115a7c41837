"""Plain lines on standard error, at most so many a second: a storm of trouble must not cost the core."""

from __future__ import annotations

import sys
import threading

from landingdeal.clock import now_ms

LINES_PER_S = 20.0
_lock = threading.Lock()
_room, _filled_at, _dropped = LINES_PER_S, now_ms(), 0


def say(text: str) -> None:
    global _room, _filled_at, _dropped
    with _lock:
        now = now_ms()
        _room = min(_room + (now - _filled_at) / 1000 * LINES_PER_S, LINES_PER_S)
        _filled_at = now
        if _room < 1:
            _dropped += 1
            return
        _room -= 1
        missed, _dropped = _dropped, 0
    more = f" ({missed} lines left out before this)" if missed else ""
    print(f"{now / 1000:.3f} {text}{more}", file=sys.stderr, flush=True)
