"""Signals: noted by the handler, carried out by one thread, in the order in which they came."""

from __future__ import annotations

import queue
import signal
from collections.abc import Callable
from dataclasses import dataclass

from landingdeal.clock import now_ms
from landingdeal.log import record
from landingdeal.threads import start_lasting_thread

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@dataclass(frozen=True, slots=True)
class ReceivedSignal:
    number: int
    at_ms: float


class Signals:
    """Made before anything is opened or read: from then on no signal ends the process by itself.

    What comes before `carry_out` waits for it. The handlers only put into a queue that allows for that: they
    may interrupt anything, themselves too, and start no thread, which the system may refuse.
    """

    def __init__(self) -> None:
        self._received: queue.SimpleQueue[ReceivedSignal] = queue.SimpleQueue()
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, _frame: object) -> None:
        self._received.put(ReceivedSignal(number, now_ms()))

    def handle_with(self, stop: Callable[[float], None], reread: Callable[[], None]) -> None:
        """`stop` is given the time of its signal; SIGHUP is for `reread`. Neither may raise."""

        def handle_signals() -> None:
            while True:
                received = self._received.get()
                record("signal", number=received.number)
                if received.number in STOP_SIGNALS:
                    stop(received.at_ms)
                else:
                    reread()

        start_lasting_thread("signals", handle_signals)
