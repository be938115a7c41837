"""When a capture file that is being written is closed, and which closed ones go. Decisions only."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RotationLimits:
    """0: without that bound."""

    max_file_bytes: int = 64 * 1024 * 1024
    max_file_ms: float = 15 * 60 * 1000.0
    max_total_bytes: int = 1024 * 1024 * 1024  # of all files, the open one included


@dataclass(frozen=True, slots=True)
class ClosedFile:
    """A file that is no longer written, the newest with the highest number."""

    number: int
    size: int


def needs_new_file(bounds: RotationLimits, size: int, opened_ms: float, now_ms: float, more: int) -> bool:
    """Whether `more` bytes go to a new file. A file that holds nothing yet takes any record."""
    if size <= 0:
        return False
    too_large = 0 < bounds.max_file_bytes < size + more
    return too_large or 0 < bounds.max_file_ms <= now_ms - opened_ms


def files_to_remove(bounds: RotationLimits, closed: Sequence[ClosedFile], open_size: int) -> list[int]:
    """Numbers of closed files that go, the oldest first; the open one never does."""
    if bounds.max_total_bytes <= 0:
        return []
    total, gone = open_size + sum(file.size for file in closed), []
    for file in sorted(closed, key=lambda one: one.number):
        if total <= bounds.max_total_bytes:
            break
        total -= file.size
        gone.append(file.number)
    return gone
