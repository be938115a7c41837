"""Problems found in captures, each with its position. None of them stops reading."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

MAX_LISTED_PROBLEMS = 10_000  # listed individually; further ones are only counted


class ProblemKind(StrEnum):
    TRUNCATED_FILE = "truncated-file"  # the file ends inside a record
    TRUNCATED_PACKET = "truncated-packet"  # cut by the snap length of the capture
    BAD_RECORD = "bad-record"  # impossible lengths or fields
    FRAGMENT_MISSING = "fragment-missing"
    FRAGMENT_OVERLAP = "fragment-overlap"  # the packet is discarded (RFC 5722, RFC 3128)
    TCP_GAP = "tcp-gap"  # a segment is not in the capture
    TCP_CONFLICT = "tcp-conflict"  # retransmitted bytes differ from the first ones
    BAD_CHECKSUM = "bad-checksum"
    MALFORMED_MESSAGE = "malformed-message"
    NOT_A_CAPTURE = "not-a-capture"


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem and its position in the capture."""

    kind: ProblemKind
    detail: str
    offset: int = -1  # in bytes of the uncompressed file; -1 if it has no single position
    packet: int = 0  # packet number from 1; 0 if there is none
    file: str = ""

    def line(self) -> str:
        """Returns the problem as one line of text."""
        byte_text = f" at byte {self.offset}" if self.offset >= 0 else ""
        packet_text = f", packet {self.packet}" if self.packet else ""
        return f"{self.file or 'capture'}{byte_text}{packet_text}: {self.kind}: {self.detail}"


class Problems:
    """Collects problems: a bounded list, and the count of each kind."""

    def __init__(self) -> None:
        self.listed: list[Problem] = []
        self.counts: Counter[ProblemKind] = Counter()

    def add(self, problem: Problem) -> None:
        self.counts[problem.kind] += 1
        if len(self.listed) < MAX_LISTED_PROBLEMS:
            self.listed.append(problem)

    def __len__(self) -> int:
        return self.counts.total()
