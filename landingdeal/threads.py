"""Starts the program's threads: named daemon threads with small stacks."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from landingdeal.clock import now_ms, seconds_until
from landingdeal.log import log_event, log_exception

STACK_BYTES = 256 * 1024
RETRY_DELAY_MS = 100.0  # before a thread is started, or failed work is run, again
START_TIMEOUT_MS = 20_000.0  # for essential threads; the process has 30 s to get ready


def start_thread(name: str, work: Callable[[], None], retry_for_ms: float = 0.0) -> threading.Thread:
    """Starts a thread. If the system has none left, retries for `retry_for_ms`, then raises RuntimeError."""
    deadline_ms = now_ms() + retry_for_ms
    while True:
        threading.stack_size(STACK_BYTES)
        thread = threading.Thread(target=work, name=name, daemon=True)
        try:
            thread.start()
            return thread
        except RuntimeError as error:
            log_event("thread_refused", name=name, error=error)
            if now_ms() >= deadline_ms:
                raise
        time.sleep(seconds_until(min(now_ms() + RETRY_DELAY_MS, deadline_ms)))


def start_supervised_thread(name: str, work: Callable[[], None]) -> None:
    """Starts a thread that runs the work again after each exception, until the work returns."""

    def run_until_return() -> None:
        while not _runs_to_end(name, work):
            time.sleep(seconds_until(now_ms() + RETRY_DELAY_MS))

    start_thread(name, run_until_return, START_TIMEOUT_MS)


def _runs_to_end(name: str, work: Callable[[], None]) -> bool:
    """Runs the work; false if it raised, which is logged."""
    try:
        work()
    except Exception as error:
        log_event("thread_failed", name=name, error=f"{type(error).__name__} {error}")
        log_exception()
        return False
    return True
