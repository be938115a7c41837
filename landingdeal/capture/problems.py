"""What is wrong with a capture, each with its place: nothing in here is fatal to reading the rest."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

MAX_LISTED_PROBLEMS = 10_000  # problems told one by one; all of them are counted


class ProblemKind(StrEnum):
    TRUNCATED_FILE = "truncated-file"  # it ends inside a record
    TRUNCATED_PACKET = "truncated-packet"  # cut by the snap length of whoever captured
    BAD_RECORD = "bad-record"  # lengths or fields that can't be
    FRAGMENT_MISSING = "fragment-missing"
    FRAGMENT_OVERLAP = "fragment-overlap"  # refused, not guessed (RFC 5722, RFC 3128)
    TCP_GAP = "tcp-gap"  # a segment is not in the capture
    TCP_CONFLICT = "tcp-conflict"  # the same place in a stream holds different bytes
    BAD_CHECKSUM = "bad-checksum"
    MALFORMED_MESSAGE = "malformed-message"
    NOT_A_CAPTURE = "not-a-capture"


@dataclass(frozen=True, slots=True)
class Problem:
    kind: ProblemKind
    detail: str
    offset: int = -1  # in the file as it is without compression, in bytes; -1 where it has no one place
    packet: int = 0  # the first is 1; 0 where there is none
    file: str = ""

    def line(self) -> str:
        byte_text = f" at byte {self.offset}" if self.offset >= 0 else ""
        packet_text = f", packet {self.packet}" if self.packet else ""
        return f"{self.file or 'capture'}{byte_text}{packet_text}: {self.kind}: {self.detail}"


class Problems:
    """A bounded list of them, and how many there were of each kind."""

    def __init__(self) -> None:
        self.listed: list[Problem] = []
        self.counts: Counter[ProblemKind] = Counter()

    def add(self, problem: Problem) -> None:
        self.counts[problem.kind] += 1
        if len(self.listed) < MAX_LISTED_PROBLEMS:
            self.listed.append(problem)

    def __len__(self) -> int:
        return self.counts.total()
