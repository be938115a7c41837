"""Threads of the house: small stacks, daemons, named."""

from __future__ import annotations

import threading
from collections.abc import Callable

STACK = 256 * 1024


def start_thread(name: str, work: Callable[[], None]) -> None:
    """Raises RuntimeError where the system has no thread left."""
    threading.stack_size(STACK)
    threading.Thread(target=work, name=name, daemon=True).start()
