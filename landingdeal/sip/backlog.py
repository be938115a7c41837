"""Received messages that the event loop has not handled yet: bounded, and served in turn by source."""

from __future__ import annotations

import threading
from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

MAX_MESSAGES = 4096
MAX_BYTES = 8 * 1024 * 1024
MAX_MESSAGES_PER_SOURCE = 64
WAIT_POLL_S = 0.05

Item = TypeVar("Item")


@dataclass(slots=True)
class SourceQueue(Generic[Item]):
    """The messages of one source, each with its size."""

    items: deque[tuple[Item, int]] = field(default_factory=deque)


class ReceiveBacklog(Generic[Item]):
    """A queue between the readers and the event loop. Safe for use from any thread.

    The sources are served in turn, so that a message waits for one of each other source and not for all that
    they have queued. The order within a source is kept. Lab hubs go before callers: what they send ends work
    that has begun.
    """

    def __init__(self) -> None:
        self.messages = self.bytes = 0
        self._sources: OrderedDict[Hashable, SourceQueue[Item]] = OrderedDict()
        self._changed = threading.Condition()
        self._waiting = 0
        self._from_hubs: deque[tuple[Item, int]] = deque()

    def try_put_from_hub(self, item: Item, size: int) -> bool:
        """Queues a message of a lab hub; False if there is no room for it."""
        with self._changed:
            if self.messages >= MAX_MESSAGES or self.bytes + size > MAX_BYTES:
                return False
            self._from_hubs.append((item, size))
            self._count(1, size)
            return True

    def try_put(self, source: Hashable, item: Item, size: int) -> bool:
        """Queues a message; False if there is no room for it."""
        with self._changed:
            if not self._has_room(source, size):
                return False
            self._append(source, item, size)
            return True

    def put(self, source: Hashable, item: Item, size: int) -> None:
        """Queues a message once there is room for it; its connection is not read meanwhile.

        A connection may always have one message here, so that those of others can't shut it out.
        """
        with self._changed:
            self._waiting += 1
            while source in self._sources and not self._has_room(source, size):
                self._changed.wait(WAIT_POLL_S)
            self._waiting -= 1
            self._append(source, item, size)

    def put_last(self, source: Hashable, item: Item, from_hub: bool) -> None:
        """Queues the end of a source behind its messages, whether there is room or not; never waits."""
        with self._changed:
            if from_hub:
                self._from_hubs.append((item, 0))
                self._count(1, 0)
            else:
                self._append(source, item, 0)

    def take(self) -> Item | None:
        """The next message of the source whose turn it is; None if there is none."""
        with self._changed:
            if not self._from_hubs and not self._sources:
                return None
            item, size = self._from_hubs.popleft() if self._from_hubs else self._take_from_next_source()
            self._count(-1, -size)
            if self._waiting:
                self._changed.notify_all()
            return item

    def _take_from_next_source(self) -> tuple[Item, int]:
        source, queue = self._sources.popitem(last=False)
        taken = queue.items.popleft()
        if queue.items:
            self._sources[source] = queue  # its next turn comes after all others
        return taken

    def _has_room(self, source: Hashable, size: int) -> bool:
        queue = self._sources.get(source)
        return (
            self.messages < MAX_MESSAGES
            and self.bytes + size <= MAX_BYTES
            and (queue is None or len(queue.items) < MAX_MESSAGES_PER_SOURCE)
        )

    def _append(self, source: Hashable, item: Item, size: int) -> None:
        queue = self._sources.get(source)
        if queue is None:
            queue = self._sources[source] = SourceQueue()
        queue.items.append((item, size))
        self._count(1, size)

    def _count(self, messages: int, size: int) -> None:
        self.messages += messages
        self.bytes += size
