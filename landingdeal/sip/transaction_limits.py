"""Bounds on the server transactions that are kept: their number, and the bytes of their requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass

MAX_TRANSACTIONS = 8192
MAX_TRANSACTIONS_PER_SOURCE = MAX_TRANSACTIONS // 2
MAX_REQUEST_BYTES = 16 * 1024 * 1024  # of the requests that have no final response yet


@dataclass(frozen=True, slots=True)
class TransactionShare:
    """What one transaction takes: one of its source's number, and the bytes of its request."""

    source: Hashable
    request_bytes: int


class TransactionLimits:
    """Counts what the transactions take. Used by the thread of the event loop alone."""

    def __init__(self) -> None:
        self.request_bytes = 0
        self._shares: dict[str, TransactionShare] = {}
        self._by_source: Counter[Hashable] = Counter()

    def admits(self, share: TransactionShare) -> bool:
        """Whether there is room for one more transaction."""
        return (
            len(self._shares) < MAX_TRANSACTIONS
            and self._by_source[share.source] < MAX_TRANSACTIONS_PER_SOURCE
            and self.request_bytes + share.request_bytes <= MAX_REQUEST_BYTES
        )

    def add(self, key: str, share: TransactionShare) -> None:
        """Counts a new transaction."""
        self._shares[key] = share
        self._by_source[share.source] += 1
        self.request_bytes += share.request_bytes

    def request_dropped(self, key: str) -> None:
        """The request of a transaction is kept no longer."""
        share = self._shares.get(key)
        if share is not None:
            self.request_bytes -= share.request_bytes
            self._shares[key] = TransactionShare(share.source, 0)

    def remove(self, key: str) -> None:
        """The transaction has ended."""
        share = self._shares.pop(key, None)
        if share is None:
            return
        self.request_bytes -= share.request_bytes
        self._by_source[share.source] -= 1
        if not self._by_source[share.source]:
            del self._by_source[share.source]
