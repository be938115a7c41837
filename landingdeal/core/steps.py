"""Named steps of a request's way at which a test can hold the thread that makes them."""

from __future__ import annotations

from collections.abc import Callable

ACCEPTED = "accepted"  # by the machine, before it is known here
READ = "read"  # bytes taken from the system, not cut into messages yet
REGISTERED = "taken"  # a set-up is open here, before it is in the inbox
ANSWERED = "answered"  # the core has decided, before the answer is queued
QUEUED = "queued"  # queued, before the set-up counts as answered
WRITING = "writing"  # taken from the writer's queue, before the system has it
CLOSING = "closing"  # chosen to be closed, before it is looked at once more

# None in service: only tests set it
hook: Callable[[str], None] | None = None


def reached(step: str) -> None:
    if hook is not None:
        hook(step)
