"""Named steps in the processing of a request, at which a test can block the thread that reaches them."""

from __future__ import annotations

from collections.abc import Callable

ACCEPTED = "accepted"  # the system accepted the connection, the program does not know it yet
READ = "read"  # bytes were received and are not parsed yet
REGISTERED = "taken"  # a set-up is registered on its connection, not in the inbox yet
ANSWERED = "answered"  # the core has decided, the answer is not queued yet
QUEUED = "queued"  # the answer is queued, the set-up does not count as answered yet
WRITING = "writing"  # taken from the write queue, not passed to the system yet
CLOSING = "closing"  # a connection was selected for closing, not checked again yet

# None in production; only tests set it
hook: Callable[[str], None] | None = None


def reached(step: str) -> None:
    """Calls the test hook, if there is one."""
    if hook is not None:
        hook(step)
