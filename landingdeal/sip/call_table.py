"""The calls of the SIP front, bounded in all and for each source."""

from __future__ import annotations

from collections import Counter

from landingdeal.sip.call import SipCall

MAX_CALLS = 4000
MAX_CALLS_PER_SOURCE = MAX_CALLS // 2  # so that one source leaves room for others


class CallTable:
    """Calls by their key in the core. Used by the thread of the event loop alone."""

    def __init__(self) -> None:
        self._calls: dict[str, SipCall] = {}
        self._by_source: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, key: str) -> bool:
        return key in self._calls

    def has_room(self, source: str) -> bool:
        """Whether one more call of this source is taken."""
        return len(self._calls) < MAX_CALLS and self._by_source[source] < MAX_CALLS_PER_SOURCE

    def get(self, key: str) -> SipCall | None:
        """The call with this key, if it has not ended."""
        return self._calls.get(key)

    def all(self) -> list[SipCall]:
        """All calls, in the order of their arrival."""
        return list(self._calls.values())

    def add(self, call: SipCall) -> None:
        """Adds a new call."""
        self._calls[call.key] = call
        self._by_source[call.source] += 1

    def remove(self, key: str) -> None:
        """Forgets a call, if it is there."""
        call = self._calls.pop(key, None)
        if call is None:
            return
        self._by_source[call.source] -= 1
        if not self._by_source[call.source]:
            del self._by_source[call.source]
