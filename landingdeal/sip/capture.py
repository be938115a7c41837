"""Plays captures into the SIP front: recorded messages of callers, at the pace of the recording.

Nothing is captured here. Responses to the recorded callers are not sent, but they are reported to the tap.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence

from landingdeal.capture.messages import CapturedMessage
from landingdeal.capture.reader import ReadReport, read_messages
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.pending_send import PendingSend
from landingdeal.errors import ConfigError
from landingdeal.log import log_text
from landingdeal.sip.message import Message
from landingdeal.sip.transport import ReceivedMessage, Tap

MAX_FLOWS = 4096


class PlaybackFlow:
    """The flow to a recorded caller. It is reliable, so that nothing is retransmitted."""

    alive = True
    was_connected = True
    reliable = True
    peer_has_left = False

    def __init__(
        self, tap: Tap | None, transport: str, local: tuple[str, int], remote: tuple[str, int]
    ) -> None:
        self.tap, self.transport, self.local, self.remote = tap, transport, local, remote
        self.source = f"{transport} {remote[0]}:{remote[1]}"

    def send(self, message: Message, pending: PendingSend | None = None) -> bool:
        if pending is not None and not pending.claim():
            return False
        if self.tap is not None:
            self.tap.message_passed(self.transport, self.local, self.remote, message)
        return True


class CapturePlayback:
    """Plays the recorded messages to our port. Raises ConfigError or OSError if there is nothing to play."""

    def __init__(self, paths: Sequence[str], tap: Tap | None, listen: tuple[str, int]) -> None:
        self.reading, self.tap, self.port = ReadReport(), tap, listen[1]
        self.messages = read_messages(paths, self.reading)
        self.first_message = next(self.messages, None)
        if self.first_message is None:
            kept = self.reading.problems.listed
            raise ConfigError(f"nothing to play: {kept[0].line() if kept else 'no message in it'}")

    def play(self, on_received: Callable[[ReceivedMessage], None]) -> None:
        """Runs in a thread of its own. At the end logs how many messages were played and skipped."""
        flows: dict[object, PlaybackFlow] = {}
        first_message, started_ms, played, to_other_port = self.first_message, now_ms(), 0, 0
        assert first_message is not None
        for captured in self._all_messages():
            if captured.target[1] != self.port:
                to_other_port += 1
                continue
            time.sleep(seconds_until(started_ms + (captured.time_ns - first_message.time_ns) / 1e6))
            key = captured.transport, captured.source, captured.target
            flow = flows.get(key)
            if flow is None:
                flow = flows[key] = PlaybackFlow(
                    self.tap, captured.transport, captured.target, captured.source
                )
                while len(flows) > MAX_FLOWS:  # limits memory with a capture of very many callers
                    del flows[next(iter(flows))]
            if self.tap is not None:
                self.tap.message_passed(
                    captured.transport, captured.source, captured.target, captured.message
                )
            played += 1
            on_received(ReceivedMessage(captured.message, *captured.source, flow))
        skipped_counts = {
            problem_kind.value: count for problem_kind, count in self.reading.problems.counts.items()
        }
        if to_other_port:
            skipped_counts["to another port"] = to_other_port
        skipped = (
            ", ".join(f"{count} {reason}" for reason, count in sorted(skipped_counts.items())) or "nothing"
        )
        log_text(f"capture: {played} messages played; skipped: {skipped}")

    def _all_messages(self) -> Iterator[CapturedMessage]:
        if self.first_message is not None:
            yield self.first_message
        yield from self.messages


__all__ = ["CapturePlayback", "PlaybackFlow"]
