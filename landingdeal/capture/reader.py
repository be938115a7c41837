"""Reads the SIP messages of capture files, merged by time, in one pass and bounded memory."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field

from landingdeal.capture.formats import NotACapture, read_packets
from landingdeal.capture.messages import CapturedMessage, MessageExtractor
from landingdeal.capture.problems import Problem, ProblemKind, Problems
from landingdeal.capture.source import ByteSource, open_source

REORDER_WINDOW_NS = 1_000 * 10**6  # messages of one file are sorted within this span


@dataclass
class ReadReport:
    """Problems, counters and time span of one pass over captures."""

    problems: Problems = field(default_factory=Problems)
    counts: Counter[str] = field(default_factory=Counter)
    first_ns: int = 0
    last_ns: int = 0

    @property
    def complete(self) -> bool:
        """Whether everything in the captures could be read."""
        return not len(self.problems)


def read_messages(
    paths: Sequence[str], report: ReadReport, strict_checksums: bool = False
) -> Iterator[CapturedMessage]:
    """Yields the messages of all files in time order.

    Raises OSError; a file that is not a capture is added to the problems.
    """
    with ExitStack() as stack:
        streams = []
        for path in paths:
            source = open_source(path)
            stack.callback(source.close)
            streams.append(_sorted_by_time(_read_file(source, report, strict_checksums)))
        if len(streams) == 1:
            yield from streams[0]
        else:
            yield from heapq.merge(*streams, key=lambda captured: captured.time_ns)


def _read_file(source: ByteSource, report: ReadReport, strict_checksums: bool) -> Iterator[CapturedMessage]:
    extractor = MessageExtractor(report.problems, source.name, strict_checksums)
    try:
        yield from extractor.run(read_packets(source, report.problems))
    except NotACapture as error:
        report.problems.add(Problem(ProblemKind.NOT_A_CAPTURE, str(error), 0, 0, source.name))
    finally:
        report.counts.update(extractor.counts)
        if extractor.counts["packets"]:
            earliest_ns = min(report.first_ns or extractor.first_ns, extractor.first_ns)
            report.first_ns, report.last_ns = earliest_ns, max(report.last_ns, extractor.last_ns)


def _sorted_by_time(messages: Iterator[CapturedMessage]) -> Iterator[CapturedMessage]:
    """Sorts messages by time, provided that they are at most `REORDER_WINDOW_NS` out of order."""
    buffered: list[tuple[int, int, CapturedMessage]] = []
    latest_ns, sequence = 0, 0
    for captured in messages:
        latest_ns, sequence = max(latest_ns, captured.time_ns), sequence + 1
        heapq.heappush(buffered, (captured.time_ns, sequence, captured))
        while buffered and buffered[0][0] <= latest_ns - REORDER_WINDOW_NS:
            yield heapq.heappop(buffered)[2]
    while buffered:
        yield heapq.heappop(buffered)[2]
