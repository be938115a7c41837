"""Signals: queued by the signal handler and handled by one thread in the order of their arrival."""

from __future__ import annotations

import queue
import signal
from collections.abc import Callable
from dataclasses import dataclass

from landingdeal.clock import now_ms
from landingdeal.log import log_event
from landingdeal.threads import start_supervised_thread

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@dataclass(frozen=True, slots=True)
class ReceivedSignal:
    """One signal and when it came."""

    number: int
    at_ms: float


class Signals:
    """Catches SIGTERM, SIGINT and SIGHUP, which from then on do not end the process by themselves.

    Created before anything is opened or read. Signals that come before `handle_with` are queued until then.
    The signal handlers only put into a reentrant queue: they may interrupt any code, themselves included, and
    must not start a thread, which the system may refuse.
    """

    def __init__(self) -> None:
        self._received: queue.SimpleQueue[ReceivedSignal] = queue.SimpleQueue()
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, _frame: object) -> None:
        self._received.put(ReceivedSignal(number, now_ms()))

    def handle_with(self, stop: Callable[[float], None], reload: Callable[[], None]) -> None:
        """Calls `stop` with the time of a SIGTERM or SIGINT, and `reload` on SIGHUP. Neither may raise."""

        def handle_signals() -> None:
            while True:
                received = self._received.get()
                log_event("signal", number=received.number)
                if received.number in STOP_SIGNALS:
                    stop(received.at_ms)
                else:
                    reload()

        start_supervised_thread("signals", handle_signals)
