"""Decides when to start a new capture file and which closed files to remove. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RotationLimits:
    """Limits on capture files; 0 means no limit."""

    max_file_bytes: int = 64 * 1024 * 1024
    max_file_ms: float = 15 * 60 * 1000.0
    max_total_bytes: int = 1024 * 1024 * 1024  # of all files, including the open one


@dataclass(frozen=True, slots=True)
class ClosedFile:
    """A file that is no longer written; the newest has the highest number."""

    number: int
    size: int


def needs_new_file(
    limits: RotationLimits, size: int, opened_ms: float, now_ms: float, added_bytes: int
) -> bool:
    """Whether the next `added_bytes` go to a new file. An empty file accepts any record."""
    if size <= 0:
        return False
    too_large = 0 < limits.max_file_bytes < size + added_bytes
    return too_large or 0 < limits.max_file_ms <= now_ms - opened_ms


def files_to_remove(limits: RotationLimits, closed: Sequence[ClosedFile], open_size: int) -> list[int]:
    """Numbers of the closed files to remove, oldest first; the open file is never removed."""
    if limits.max_total_bytes <= 0:
        return []
    total_bytes, removed = open_size + sum(file.size for file in closed), []
    for file in sorted(closed, key=lambda file: file.number):
        if total_bytes <= limits.max_total_bytes:
            break
        total_bytes -= file.size
        removed.append(file.number)
    return removed
