"""Signals: noted by the handler, carried out by one thread, in the order in which they came."""

from __future__ import annotations

import queue
import signal
from collections.abc import Callable
from dataclasses import dataclass

from landingdeal.clock import now_ms
from landingdeal.log import log_event
from landingdeal.threads import start_supervised_thread

STOPS = (signal.SIGTERM, signal.SIGINT)


@dataclass(frozen=True, slots=True)
class Signalled:
    number: int
    at_ms: float


class Signals:
    """Made before anything is opened or read: from then on no signal ends the process by itself.

    What comes before `carry_out` waits for it. The handlers only put into a queue that allows for that: they
    may interrupt anything, themselves too, and start no thread, which the system may refuse.
    """

    def __init__(self) -> None:
        self._came: queue.SimpleQueue[Signalled] = queue.SimpleQueue()
        for number in (*STOPS, signal.SIGHUP):
            signal.signal(number, self._note)

    def _note(self, number: int, _frame: object) -> None:
        self._came.put(Signalled(number, now_ms()))

    def carry_out(self, stop: Callable[[float], None], reread: Callable[[], None]) -> None:
        """`stop` is given the time of its signal; SIGHUP is for `reread`. Neither may raise."""

        def work() -> None:
            while True:
                came = self._came.get()
                log_event("signal", number=came.number)
                if came.number in STOPS:
                    stop(came.at_ms)
                else:
                    reread()

        start_supervised_thread("signals", work)
