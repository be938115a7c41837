"""Captures as a transport of the SIP front: callers' messages read from a pcap file, answers written to one.

Nothing is captured here. Messages are taken up at the pace at which they were recorded.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path

from landingdeal.clock import now_ms, seconds_until
from landingdeal.log import say
from landingdeal.pcap import STREAMS_MOST, TCP, UDP, NotPcap, Reader, Reassembly, Writer
from landingdeal.sip.message import BrokenFraming, Framer, Malformed, Message, decode_datagram, encode
from landingdeal.sip.transport import Received


class CaptureWriter:
    """What is sent to callers; shared by all flows of a capture."""

    def __init__(self, path: str) -> None:
        self.lock = threading.Lock()
        self.writer = Writer(Path(path).open("wb")) if path else None  # noqa: SIM115 (open to the end)

    def put(self, protocol: int, source: tuple[str, int], target: tuple[str, int], message: Message) -> None:
        if self.writer is not None:
            with self.lock:
                self.writer.put(now_ms(), protocol, source, target, encode(message))


class CaptureFlow:
    """Stands for one caller of a capture. It loses nothing, so nothing need be sent to it twice."""

    alive = True
    was_up = True
    reliable = True

    def __init__(
        self, sink: CaptureWriter, protocol: int, local: tuple[str, int], remote: tuple[str, int]
    ) -> None:
        self.sink, self.protocol, self.local, self.remote = sink, protocol, local, remote
        self.kind = "UDP" if protocol == UDP else "TCP"

    def send(self, message: Message) -> None:
        self.sink.put(self.protocol, self.local, self.remote, message)


class Capture:
    """Plays the arrivals of a pcap file for our port; an OSError or NotPcap says why it can't."""

    def __init__(self, path: str, sink: CaptureWriter, listen: tuple[str, int]) -> None:
        self.file = Path(path).open("rb")  # noqa: SIM115 (closed when it has been played)
        self.reader = Reader(self.file)
        self.sink, self.port = sink, listen[1]
        self.skipped: dict[str, int] = {}

    def play(self, on_received: Callable[[Received], None]) -> None:
        """In a thread of its own. Ends with a line that says what was taken up and what was not."""
        streams, framers = Reassembly(), dict[object, Framer]()
        flows: dict[object, CaptureFlow] = {}
        first_ms, began_ms, taken = None, now_ms(), 0
        with self.file:
            for packet in self.reader:
                if packet.target[1] != self.port:
                    self._skip("to another port")
                    continue
                first_ms = packet.at_ms if first_ms is None else first_ms
                time.sleep(seconds_until(began_ms + packet.at_ms - first_ms))
                key = packet.protocol, packet.source, packet.target
                flow = flows.get(key)
                if flow is None:
                    flow = CaptureFlow(self.sink, packet.protocol, packet.target, packet.source)
                    flows[key] = flow
                    while len(flows) > STREAMS_MOST:  # guards the memory against a capture of very many
                        oldest = next(iter(flows))
                        del flows[oldest]
                        framers.pop(oldest, None)
                messages: list[Message | Malformed] = []
                if packet.protocol == UDP and packet.payload.strip(b"\r\n\0"):
                    messages.append(decode_datagram(packet.payload))
                elif packet.protocol == TCP:
                    if packet.syn:
                        framers.pop(key, None)
                    try:
                        messages.extend(framers.setdefault(key, Framer()).feed(streams.feed(packet)))
                    except BrokenFraming:
                        framers.pop(key, None)
                        self._skip("broken framing")
                for message in messages:
                    taken += 1
                    on_received(Received(message, *packet.source, flow))
        told = {**self.reader.counts, **self.skipped}
        if streams.gaps:
            told["TCP gaps"] = streams.gaps
        rest = ", ".join(f"{count} {what}" for what, count in sorted(told.items())) or "nothing"
        say(f"capture: {taken} messages taken up; passed over: {rest}")

    def _skip(self, what: str) -> None:
        self.skipped[what] = self.skipped.get(what, 0) + 1


__all__ = ["Capture", "CaptureFlow", "CaptureWriter", "NotPcap"]
