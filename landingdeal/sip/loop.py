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

MAX_QUEUED_WORK = 8192  # pieces of work above which messages of the wire are dropped
MAX_IDLE_WAIT_MS = 1000.0

Work = Callable[[], None]


class EventLoop:
    def __init__(self) -> None:
        self.queue: queue.SimpleQueue[Work] = queue.SimpleQueue()
        self.timers: list[tuple[float, int, Work]] = []
        self.timer_sequence = itertools.count()

    def post(self, work: Work) -> None:
        """From any thread."""
        self.queue.put(work)

    def has_room(self) -> bool:
        return self.queue.qsize() < MAX_QUEUED_WORK

    def schedule_at(self, deadline_ms: float, work: Work) -> None:
        """From the loop's own thread."""
        heapq.heappush(self.timers, (deadline_ms, next(self.timer_sequence), work))

    def now(self) -> float:
        return now_ms()

    def start(self) -> None:
        start_thread("sip", self._run)

    def _run(self) -> None:
        while True:
            due = self.timers[0][0] if self.timers else now_ms() + MAX_IDLE_WAIT_MS
            with contextlib.suppress(queue.Empty):
                self._run_safely(self.queue.get(timeout=seconds_until(due)))
            while self.timers and self.timers[0][0] <= now_ms():
                self._run_safely(heapq.heappop(self.timers)[2])

    @staticmethod
    def _run_safely(work: Work) -> None:
        try:
            work()
        except Exception:  # guards all other calls: one message that goes wrong must not end the front
            traceback.print_exc(file=sys.stderr)
