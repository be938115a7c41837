"""The one thread of the SIP front: work to do now, and a timer heap. It never waits on a peer or the core."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import queue
import sys
import traceback
from collections.abc import Callable

from landingdeal.clock import now_ms, seconds_until
from landingdeal.threads import start_thread

WAITING_MOST = 8192  # pieces of work above which messages of the wire are dropped
IDLE_MS = 1000.0

Work = Callable[[], None]


class Loop:
    def __init__(self) -> None:
        self.queue: queue.SimpleQueue[Work] = queue.SimpleQueue()
        self.timers: list[tuple[float, int, Work]] = []
        self.order = itertools.count()

    def post(self, work: Work) -> None:
        """From any thread."""
        self.queue.put(work)

    def room(self) -> bool:
        return self.queue.qsize() < WAITING_MOST

    def at(self, deadline_ms: float, work: Work) -> None:
        """From the loop's own thread."""
        heapq.heappush(self.timers, (deadline_ms, next(self.order), work))

    def now(self) -> float:
        return now_ms()

    def start(self) -> None:
        start_thread("sip", self._run)

    def _run(self) -> None:
        while True:
            due = self.timers[0][0] if self.timers else now_ms() + IDLE_MS
            with contextlib.suppress(queue.Empty):
                self._safely(self.queue.get(timeout=seconds_until(due)))
            while self.timers and self.timers[0][0] <= now_ms():
                self._safely(heapq.heappop(self.timers)[2])

    @staticmethod
    def _safely(work: Work) -> None:
        try:
            work()
        except Exception:  # guards all other calls: one message that goes wrong must not end the front
            traceback.print_exc(file=sys.stderr)
