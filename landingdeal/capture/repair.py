"""Cuts a damaged tail off a capture, so that any reader takes the rest."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from landingdeal.capture.formats import read_packets
from landingdeal.capture.problems import ProblemKind, Problems
from landingdeal.capture.source import GZIP, ZSTD, ByteSource, open_source
from landingdeal.errors import ConfigError

CHUNK = 1024 * 1024
TAIL = (ProblemKind.TRUNCATED_FILE, ProblemKind.BAD_RECORD)


@dataclass(frozen=True, slots=True)
class RepairResult:
    kept_bytes: int  # bytes
    removed_bytes: int
    packet_count: int
    reason: str  # empty: nothing was wrong with the tail


def _scan(source: ByteSource) -> tuple[int, int, str]:
    """Where the last whole record ends, how many packets there are, and what comes after."""
    problems = Problems()
    packets = 0
    reader = read_packets(source, problems)
    for _packet in reader:
        packets += 1
    last = problems.listed[-1] if problems.listed else None
    if last is None or last.kind not in TAIL or last.packet and last.packet <= packets:
        return source.offset, packets, ""
    return last.offset, packets, last.detail


def repair(path: Path, out: Path) -> RepairResult:
    """Raises ConfigError on what is compressed, NotCapture on what is none, and OSError."""
    with path.open("rb") as file:
        head = file.read(4)
        if head[:2] == GZIP or head == ZSTD:
            raise ConfigError(f"{path}: unpack it first; a compressed file is not repaired in place")
        size = os.fstat(file.fileno()).st_size
    source = open_source(str(path))
    try:
        end, packets, reason = _scan(source)
    finally:
        source.close()
    if not reason:
        end = size
    part = out.with_name(out.name + ".part")
    with path.open("rb") as file, part.open("wb") as made:
        left = end
        while left > 0 and (data := file.read(min(CHUNK, left))):
            made.write(data)
            left -= len(data)
        made.flush()
        os.fsync(made.fileno())
    os.replace(part, out)
    return RepairResult(end, size - end, packets, reason)
