"""Captures as a transport of the SIP front: callers' messages read from files, at the pace of the recording.

Nothing is captured here. What is sent to those callers goes to nobody; the tap is told of it all the same.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence

from landingdeal.capture.messages import Seen
from landingdeal.capture.reader import Reading, read
from landingdeal.clock import now_ms, seconds_until
from landingdeal.errors import ConfigError
from landingdeal.log import log_text
from landingdeal.sip.message import Message
from landingdeal.sip.transport import Received, Tap

FLOWS_MOST = 4096


class CaptureFlow:
    """Stands for one caller of a capture. It loses nothing, so nothing need be sent to it twice."""

    alive = True
    was_up = True
    reliable = True

    def __init__(self, tap: Tap | None, kind: str, local: tuple[str, int], remote: tuple[str, int]) -> None:
        self.tap, self.kind, self.local, self.remote = tap, kind, local, remote

    def send(self, message: Message) -> None:
        if self.tap is not None:
            self.tap.passed(self.kind, self.local, self.remote, message)


class Capture:
    """Plays the arrivals of captures for our port. Raises ConfigError or OSError where there is none."""

    def __init__(self, paths: Sequence[str], tap: Tap | None, listen: tuple[str, int]) -> None:
        self.reading, self.tap, self.port = Reading(), tap, listen[1]
        self.messages = read(paths, self.reading)
        self.first = next(self.messages, None)
        if self.first is None:
            kept = self.reading.problems.kept
            raise ConfigError(f"nothing to play: {kept[0].line() if kept else 'no message in it'}")

    def play(self, on_received: Callable[[Received], None]) -> None:
        """In a thread of its own. Ends with a line that says what was taken up and what was not."""
        flows: dict[object, CaptureFlow] = {}
        first, began_ms, taken, elsewhere = self.first, now_ms(), 0, 0
        assert first is not None
        for seen in self._all():
            if seen.target[1] != self.port:
                elsewhere += 1
                continue
            time.sleep(seconds_until(began_ms + (seen.time_ns - first.time_ns) / 1e6))
            key = seen.transport, seen.source, seen.target
            flow = flows.get(key)
            if flow is None:
                flow = flows[key] = CaptureFlow(self.tap, seen.transport, seen.target, seen.source)
                while len(flows) > FLOWS_MOST:  # guards the memory against a capture of very many
                    del flows[next(iter(flows))]
            if self.tap is not None:
                self.tap.passed(seen.transport, seen.source, seen.target, seen.message)
            taken += 1
            on_received(Received(seen.message, *seen.source, flow))
        told = {kind.value: count for kind, count in self.reading.problems.counts.items()}
        if elsewhere:
            told["to another port"] = elsewhere
        rest = ", ".join(f"{count} {what}" for what, count in sorted(told.items())) or "nothing"
        log_text(f"capture: {taken} messages taken up; passed over: {rest}")

    def _all(self) -> Iterator[Seen]:
        if self.first is not None:
            yield self.first
        yield from self.messages


__all__ = ["Capture", "CaptureFlow"]
