"""Truncates a capture after its last whole record, so that any reader accepts it."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from landingdeal.capture.formats import read_packets
from landingdeal.capture.problems import ProblemKind, Problems
from landingdeal.capture.source import GZIP, ZSTD, ByteSource, open_source
from landingdeal.errors import ConfigError

CHUNK_BYTES = 1024 * 1024
TAIL_PROBLEMS = (ProblemKind.TRUNCATED_FILE, ProblemKind.BAD_RECORD)


@dataclass(frozen=True, slots=True)
class RepairResult:
    """What a repair kept and removed."""

    kept_bytes: int
    removed_bytes: int
    packet_count: int
    reason: str  # empty: the tail was not damaged


def _scan(source: ByteSource) -> tuple[int, int, str]:
    """Returns the end of the last whole record, the number of packets, and what is wrong after it."""
    problems = Problems()
    packets = 0
    reader = read_packets(source, problems)
    for _packet in reader:
        packets += 1
    last_problem = problems.listed[-1] if problems.listed else None
    if (
        last_problem is None
        or last_problem.kind not in TAIL_PROBLEMS
        or last_problem.packet
        and last_problem.packet <= packets
    ):
        return source.offset, packets, ""
    return last_problem.offset, packets, last_problem.detail


def repair(path: Path, out: Path) -> RepairResult:
    """Writes the undamaged part of `path` to `out`.

    Raises ConfigError for a compressed file, NotACapture for one that is not a capture, and OSError.
    """
    with path.open("rb") as file:
        head = file.read(4)
        if head[:2] == GZIP or head == ZSTD:
            raise ConfigError(f"{path}: unpack it first; a compressed file is not repaired in place")
        size = os.fstat(file.fileno()).st_size
    source = open_source(str(path))
    try:
        kept_bytes, packets, reason = _scan(source)
    finally:
        source.close()
    if not reason:
        kept_bytes = size
    part = out.with_name(out.name + ".part")
    with path.open("rb") as file, part.open("wb") as output:
        remaining = kept_bytes
        while remaining > 0 and (data := file.read(min(CHUNK_BYTES, remaining))):
            output.write(data)
            remaining -= len(data)
        output.flush()
        os.fsync(output.fileno())
    os.replace(part, out)
    return RepairResult(kept_bytes, size - kept_bytes, packets, reason)
