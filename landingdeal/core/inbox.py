"""The event queue of the core, and what the fronts may answer while it takes nothing."""

from __future__ import annotations

import queue
from collections import deque
from collections.abc import Iterator

from landingdeal.clock import seconds_until
from landingdeal.core.events import CoreEvent, Offer, RefusalReason
from landingdeal.core.request_history import RequestHistory

MAX_INBOX_SIZE = 4096  # events; above this, set-ups are refused at once
MAX_BATCH_SIZE = 256  # events handled in one turn


class Inbox:
    """The event queue of the core. When it is full, set-ups are refused and other events block the sender."""

    def __init__(self) -> None:
        self.queue: queue.Queue[CoreEvent] = queue.Queue(MAX_INBOX_SIZE * 2)
        self.core_events: deque[CoreEvent] = deque()
        self.request_history = RequestHistory()
        self.closed = False

    def offer(self, offer: Offer) -> bool:
        """Queues a set-up. False if the inbox is full or the core has ended: the front must refuse it."""
        if self.closed or self.queue.qsize() >= MAX_INBOX_SIZE:
            return False
        self.queue.put(offer)
        return True

    def refusal_reason(self, identity: str) -> RefusalReason:
        """The reason with which a front refuses a request that the core doesn't answer."""
        return self.request_history.refusal_reason(identity) or RefusalReason.UNAVAILABLE

    def put(self, event: CoreEvent) -> None:
        """Queues an event; blocks while the queue is full."""
        self.queue.put(event)

    def put_from_core(self, event: CoreEvent) -> None:
        """Queues an event from the core's own thread, which must not block: it alone empties the queue."""
        self.core_events.append(event)

    def size(self) -> int:
        """The number of queued events."""
        return len(self.core_events) + self.queue.qsize()

    def take(self, until_ms: float) -> Iterator[CoreEvent]:
        """Waits for an event, at most until `until_ms`; then yields all queued events, up to a batch."""
        must_wait = not self.core_events
        while self.core_events:
            yield self.core_events.popleft()
        try:
            if must_wait:
                yield self.queue.get(timeout=seconds_until(until_ms))
            for _ in range(MAX_BATCH_SIZE):
                yield self.queue.get_nowait()
        except queue.Empty:
            return
