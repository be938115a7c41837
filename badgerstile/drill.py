"""Runs softswitches for the simulator: batches of events on standard input, replies on standard output.

Contains no decisions. The wire protocol is in `badgerstile.wire`.
"""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from badgerstile.control import Softswitch
from badgerstile.wire import (
    BATCH_HEADER,
    MAX_BATCH_BYTES,
    Decoder,
    InstanceCreated,
    InstanceKilled,
    WireError,
    WireEvent,
    encode,
    encode_crash,
    encode_reply,
)


class SoftswitchHost:
    """Holds the softswitches of this process by instance number."""

    def __init__(self) -> None:
        self.decoder = Decoder()
        self.softswitches: dict[int, Softswitch] = {}

    def handle_batch(self, body: bytes, count: int, now: float) -> list[bytes]:
        """Handles the events of one batch and returns the encoded actions.

        If a softswitch raises an exception, a crash record ends the reply; the rest of the batch is skipped.
        """
        records: list[bytes] = []
        for instance, event in self.decoder.decode_batch(body, count):
            try:
                self._handle_event(instance, event, now, records)
            except Exception as error:  # the wire has its own action for a failed module
                traceback.print_exc(file=sys.stderr)
                records.append(encode_crash(instance, f"{type(error).__name__}: {error}"))
                break
        return records

    def _handle_event(self, instance: int, event: WireEvent, now: float, records: list[bytes]) -> None:
        if isinstance(event, InstanceCreated):
            self.softswitches[instance] = Softswitch(event.settings, event.seed)
        elif isinstance(event, InstanceKilled):
            self.softswitches.pop(instance, None)
        elif instance in self.softswitches:
            records.extend(
                encode(instance, action) for action in self.softswitches[instance].handle(event, now)
            )


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    """Reads `size` bytes, fewer only at the end of the stream."""
    chunks = []
    while size > 0:
        chunk = stream.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to batches until the input ends; raises WireError if the input is malformed."""
    host, position = SoftswitchHost(), "before the first batch"
    while True:
        header = _read_up_to(source, BATCH_HEADER.size)
        if not header:
            return
        if len(header) < BATCH_HEADER.size:
            raise WireError(f"truncated batch header ({position})")
        size, now, count, batch_number = BATCH_HEADER.unpack(header)
        if size > MAX_BATCH_BYTES:
            raise WireError(f"batch {batch_number}: impossible length {size}")
        body = _read_up_to(source, size)
        if len(body) < size:
            raise WireError(f"batch {batch_number}: truncated, {len(body)} of {size} bytes received")
        try:
            records = host.handle_batch(body, count, now)
        except WireError as error:
            raise WireError(f"batch {batch_number}: {error}") from None
        sink.write(encode_reply(batch_number, records))
        sink.flush()
        position = f"after batch {batch_number}"


def main() -> int:
    """Returns the exit code: 0 at the end of the input, 2 if the input is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"badgerstile: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
