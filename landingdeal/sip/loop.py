"""The event loop of the SIP front: one thread with a work queue and a timer heap. Work must not block."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import queue
from collections.abc import Callable

from landingdeal.clock import now_ms, seconds_until
from landingdeal.log import log_exception
from landingdeal.threads import start_thread

MAX_IDLE_WAIT_MS = 1000.0

Work = Callable[[], None]


class ScheduledWork:
    """Work that a timer runs once, unless it is cancelled before; what it refers to is free from then on."""

    __slots__ = ("_work",)

    def __init__(self, work: Work) -> None:
        self._work: Work | None = work

    @property
    def pending(self) -> bool:
        """Whether it has neither run nor been cancelled."""
        return self._work is not None

    def cancel(self) -> None:
        self._work = None

    def __call__(self) -> None:
        work, self._work = self._work, None
        if work is not None:
            work()


class EventLoop:
    """Runs posted work and due timers in its own thread."""

    def __init__(self) -> None:
        self.queue: queue.SimpleQueue[Work] = queue.SimpleQueue()
        self.timers: list[tuple[float, int, ScheduledWork]] = []
        self.timer_sequence = itertools.count()

    def post(self, work: Work) -> None:
        """Queues work; may be called from any thread."""
        self.queue.put(work)

    def schedule_at(self, deadline_ms: float, work: Work) -> ScheduledWork:
        """Schedules work; may only be called from the thread of the loop."""
        scheduled = ScheduledWork(work)
        heapq.heappush(self.timers, (deadline_ms, next(self.timer_sequence), scheduled))
        return scheduled

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
        except Exception:  # a fault in handling one message must not end all other calls
            log_exception()
