"""Requests that must not run a second time, and of which an attempt is out or may have run.

Shared between the core, which fills it, and the fronts, which may have to refuse a request when the core
can't: it is full or has ended. One request is known by its identity, whichever connection it comes on.
"""

from __future__ import annotations

import threading
from collections import OrderedDict

from landingdeal.core.events import RefusalReason

MAX_REQUESTS = 20_000  # then the oldest is forgotten


class RequestHistory:
    """Bounded table of such requests; safe for use from any thread."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self.max_requests = max_requests
        self._reasons: OrderedDict[str, RefusalReason] = OrderedDict()
        self._lock = threading.Lock()

    def attempt_started(self, identity: str, refusal_is_harmless: bool) -> None:
        """Records a request before its first attempt; it is refused with a matching reason from now on."""
        reason = RefusalReason.UNAVAILABLE if refusal_is_harmless else RefusalReason.FAILED
        with self._lock:
            self._reasons[identity] = reason
            while len(self._reasons) > self.max_requests:
                self._reasons.popitem(last=False)

    def never_ran(self, identity: str) -> None:
        """Forgets a request: all its attempts are known to have had no effect."""
        with self._lock:
            self._reasons.pop(identity, None)

    def refusal_reason(self, identity: str) -> RefusalReason | None:
        """The reason with which a request is to be refused; None if it may be sent."""
        with self._lock:
            return self._reasons.get(identity)

    def __len__(self) -> int:
        return len(self._reasons)
