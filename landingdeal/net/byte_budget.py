"""A bound on the bytes that all connections hold together, whichever of them hold how much."""

from __future__ import annotations

import threading
from typing import Generic, TypeVar

Holder = TypeVar("Holder")


class ByteBudget(Generic[Holder]):
    """Counts the bytes that each holder keeps, and names the one to evict when they exceed the bound.

    That is the holder of the most bytes: a peer that has little outstanding loses nothing to one that has
    much. Safe for use from any thread.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._held: dict[Holder, int] = {}
        self._lock = threading.Lock()

    def update(self, holder: Holder, held_bytes: int) -> Holder | None:
        """Sets what a holder keeps; returns the holder to evict, which no longer counts, or None."""
        with self._lock:
            self._set(holder, held_bytes)
            return self._take_largest_over_bound()

    def add(self, holder: Holder, change_bytes: int) -> Holder | None:
        """Changes what a holder keeps; returns as `update`. A holder that was evicted starts from nothing."""
        with self._lock:
            self._set(holder, max(self._held.get(holder, 0) + change_bytes, 0))
            return self._take_largest_over_bound()

    def held_by(self, holder: Holder) -> int:
        """The bytes that a holder keeps."""
        return self._held.get(holder, 0)

    def _take_largest_over_bound(self) -> Holder | None:
        if self.total_bytes <= self.max_bytes:
            return None
        largest = max(self._held, key=self._held.__getitem__)
        self._set(largest, 0)
        return largest

    def _set(self, holder: Holder, held_bytes: int) -> None:
        self.total_bytes += held_bytes - self._held.pop(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
