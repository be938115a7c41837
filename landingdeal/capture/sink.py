"""Writes the program's own messages to capture files, in a thread behind a bounded queue.

Callers never block: if the disk is slow or full, messages are dropped and counted. Each batch is flushed as
a whole, so that a killed program leaves a file that is readable to its last record.
"""

from __future__ import annotations

import contextlib
import gzip
import queue
import shutil
import threading
import time
from collections import OrderedDict
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from landingdeal.capture.encode import CaptureEncoder, PacketBuilder, PcapEncoder, PcapngEncoder
from landingdeal.capture.layers import Address
from landingdeal.capture.rotation import ClosedFile, RotationLimits, files_to_remove, needs_new_file
from landingdeal.clock import now_ms, seconds_until
from landingdeal.log import log_text
from landingdeal.sip.message import Message, encode
from landingdeal.threads import start_thread

MAX_QUEUED_MESSAGES = 8192
MAX_BATCH_MESSAGES = 512
REOPEN_DELAY_MS = 1000.0  # after a failed write
MAX_REMEMBERED_CLASSES = 8192


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message that was sent or received, or the end of a connection if `message` is None."""

    at_ms: float
    transport: str
    source: Address
    target: Address
    message: Message | None
    reset: bool = False


class CaptureWriter:
    """Queues messages from any thread and writes them to rotated files; `end` closes the file."""

    def __init__(self, path: Path, limits: RotationLimits = RotationLimits(), compress: str = "") -> None:  # noqa: B008
        self.path, self.limits, self.compress = path, limits, compress
        self.encoder: CaptureEncoder = PcapngEncoder() if ".pcapng" in path.name else PcapEncoder()
        self.queue: queue.Queue[QueuedMessage | None] = queue.Queue(MAX_QUEUED_MESSAGES)
        self.dropped_messages = 0  # because the queue was full
        self.failed_messages = 0  # because the file could not be written
        self.written_messages = 0
        self.builder = PacketBuilder()
        self.class_by_call: OrderedDict[str, str] = OrderedDict()
        self.file: BinaryIO | None = None
        self.file_bytes, self.opened_ms, self.last_ns = 0, 0.0, 0
        self.reopen_at_ms = float("-inf")
        self.last_file_number = 0
        self.closed_files: list[ClosedFile] = []
        self.finished = threading.Event()
        self._open_file()
        start_thread("capture-writer", self._run)

    # --- from any thread ---

    def message_passed(self, transport: str, source: Address, target: Address, message: Message) -> None:
        """Queues a message that was sent or received."""
        self._enqueue(QueuedMessage(now_ms(), transport, source, target, message))

    def connection_closed(self, source: Address, target: Address, reset: bool) -> None:
        """Queues the end of a TCP connection."""
        self._enqueue(QueuedMessage(now_ms(), "TCP", source, target, None, reset))

    def _enqueue(self, queued: QueuedMessage) -> None:
        try:
            self.queue.put_nowait(queued)
        except queue.Full:  # a slow disk must not block the core
            self.dropped_messages += 1

    def end(self, deadline_ms: float) -> None:
        """Waits, at most until the deadline, for the queue to be written and the file to be closed."""
        with contextlib.suppress(queue.Full):
            self.queue.put(None, timeout=seconds_until(deadline_ms))
        self.finished.wait(seconds_until(deadline_ms))

    # --- the writer's thread ---

    def _run(self) -> None:
        running = True
        while running:
            batch = [self.queue.get()]
            with contextlib.suppress(queue.Empty):
                while len(batch) < MAX_BATCH_MESSAGES:
                    batch.append(self.queue.get_nowait())
            running = None not in batch
            self._write_batch([queued for queued in batch if queued is not None])
        if self.file is not None:
            with contextlib.suppress(OSError):
                for frame in self.builder.close_all():
                    self.file.write(self.encoder.packet_record(self.last_ns, frame))
                self.file.close()
        summary = f"capture: {self.written_messages} messages written"
        log_text(
            f"{summary}, {self.dropped_messages} dropped (queue full), "
            f"{self.failed_messages} not written (disk error)"
        )
        self.finished.set()

    def _write_batch(self, batch: list[QueuedMessage]) -> None:
        if not batch:
            return
        data = b"".join(self._encode_records(queued) for queued in batch)
        now = now_ms()
        if self.file is None and now >= self.reopen_at_ms:
            with contextlib.suppress(OSError):
                self._open_file()
        if self.file is not None and needs_new_file(
            self.limits, self.file_bytes, self.opened_ms, now, len(data)
        ):
            self._rotate()
        if self.file is None:
            self.failed_messages += len(batch)
            return
        try:
            self.file.write(data)
            self.file.flush()
        except OSError as error:
            self.failed_messages += len(batch)
            self._abandon_file(str(error))
            return
        self.file_bytes += len(data)
        self.written_messages += sum(queued.message is not None for queued in batch)

    def _encode_records(self, queued: QueuedMessage) -> bytes:
        message, endpoints = queued.message, (queued.source, queued.target)
        if message is None:
            frames, comment = self.builder.close_connection(*endpoints, queued.reset), ""
        else:
            to_frames = (
                self.builder.datagram_frames if queued.transport == "UDP" else self.builder.stream_frames
            )
            frames, comment = to_frames(*endpoints, encode(message)), self._comment(message)
        time_ns, records = round(queued.at_ms * 1e6), []
        for index, frame in enumerate(frames):
            # packets of one message are a microsecond apart, and none is earlier than a previous message's:
            # a reader that sorts by time would see a response before its request
            self.last_ns = max(time_ns + 1000 * index, self.last_ns + 1)
            records.append(self.encoder.packet_record(self.last_ns, frame, comment))
        return b"".join(records)

    def _comment(self, message: Message) -> str:
        """The pcapng comment: call, class (of the call's INVITE) and attempt."""
        call, _, attempt = message.call_id.rpartition("-")
        if not call or not attempt.isdecimal():
            call, attempt = message.call_id, ""
        if message.method == "INVITE" and message.get("subject"):
            self.class_by_call[call] = message.get("subject")
            while len(self.class_by_call) > MAX_REMEMBERED_CLASSES:
                self.class_by_call.popitem(last=False)
        comment = f"call {call}"
        if call in self.class_by_call:
            comment += f" class {self.class_by_call[call]}"
        return comment + (f" attempt {attempt}" if attempt else "")

    # --- files ---

    def _open_file(self) -> None:
        """Creates the file and writes its header. Raises OSError."""
        self.file = self.path.open("wb")
        file_header = self.encoder.file_header()
        self.file.write(file_header)
        self.file.flush()
        self.file_bytes, self.opened_ms = len(file_header), now_ms()

    def _abandon_file(self, error: str) -> None:
        """Closes the file after a write error; it is kept, and a new one is opened later."""
        log_text(f"capture: {error}; messages are dropped until a new file opens")
        self._close_file()
        self.reopen_at_ms = now_ms() + REOPEN_DELAY_MS

    def _close_file(self) -> Path | None:
        """Closes the file and renames it to its number; returns the new path, None on failure."""
        if self.file is None:
            return None
        with contextlib.suppress(OSError):
            self.file.close()
        self.file, size = None, self.file_bytes
        self.last_file_number += 1
        numbered = self._numbered_path(self.last_file_number)
        try:
            self.path.rename(numbered)
        except OSError:
            return None
        self.closed_files.append(ClosedFile(self.last_file_number, size))
        return numbered

    def _numbered_path(self, number: int) -> Path:
        stem, _, suffixes = self.path.name.partition(".")
        return self.path.with_name(f"{stem}-{number:06d}.{suffixes}")

    def _rotate(self) -> None:
        closed = self._close_file()
        self.builder = PacketBuilder()  # each file contains complete connections
        try:
            self._open_file()
        except OSError as error:
            log_text(f"capture: {error}; messages are dropped until a new file opens")
            self.reopen_at_ms = now_ms() + REOPEN_DELAY_MS
        if closed is not None and self.compress:
            number = self.last_file_number
            start_thread("capture-compress", lambda: self._compress(closed, number))
        for number in files_to_remove(
            self.limits, self.closed_files, max(self.file_bytes, self.limits.max_file_bytes)
        ):
            self.closed_files = [file for file in self.closed_files if file.number != number]
            for path in (
                self._numbered_path(number),
                *(compressed_path(self._numbered_path(number), method) for method in COMPRESSION_SUFFIXES),
            ):
                path.unlink(missing_ok=True)

    def _compress(self, path: Path, number: int) -> None:
        compress_file(path, self.compress)
        if all(file.number != number for file in self.closed_files):  # the file was removed in the meantime
            compressed_path(path, self.compress).unlink(missing_ok=True)


COMPRESSION_SUFFIXES = {"gzip": ".gz", "zstd": ".zst"}


def compressed_path(path: Path, method: str) -> Path:
    return path.with_name(path.name + COMPRESSION_SUFFIXES[method])


def compress_file(path: Path, method: str) -> None:
    """Compresses a closed file; the original is removed only after the compressed one is complete."""
    compressed = compressed_path(path, method)
    part = compressed.with_name(compressed.name + ".part")
    try:
        with path.open("rb") as source:
            if method == "gzip":
                with gzip.open(part, "wb", 6) as target:
                    shutil.copyfileobj(source, target)
            else:
                import zstandard

                with part.open("wb") as file:
                    zstandard.ZstdCompressor().copy_stream(source, file)
        part.rename(compressed)
        path.unlink(missing_ok=True)
    except OSError as error:
        log_text(f"capture: {path.name} stays uncompressed: {error}")
        with contextlib.suppress(OSError):
            part.unlink(missing_ok=True)


def wait_written(writer: CaptureWriter, deadline_ms: float) -> bool:
    """Waits until the queue is empty and returns whether it is; for tests and the end of commands."""
    while writer.queue.qsize() and now_ms() < deadline_ms:
        time.sleep(seconds_until(min(now_ms() + 5, deadline_ms)))
    return not writer.queue.qsize()
