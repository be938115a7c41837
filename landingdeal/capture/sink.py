"""Our own exchanges written to capture files, by a thread of its own behind a bounded queue.

Nobody who tells it of a message ever waits: where the disk is slow or full, messages are left out and
counted. Each batch is handed to the system whole, so that a program that is killed leaves a file that reads
to its last record.
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

from landingdeal.capture.encode import CaptureFile, Conversations, PcapFile, PcapngFile
from landingdeal.capture.layers import Address
from landingdeal.capture.rotation import Bounds, Closed, full, to_remove
from landingdeal.clock import now_ms, seconds_until
from landingdeal.log import log_text
from landingdeal.sip.message import Message, encode
from landingdeal.threads import start_thread

WAITING_MOST = 8192
BATCH_MOST = 512
AGAIN_MS = 1000.0  # after the disk refused a write
CLASSES_MOST = 8192


@dataclass(frozen=True, slots=True)
class Passed:
    """A message that was sent or received; without one, the end of a connection."""

    at_ms: float
    transport: str
    source: Address
    target: Address
    message: Message | None
    reset: bool = False


class Sink:
    """`passed` and `closed` from any thread; `end` writes what waits and closes."""

    def __init__(self, path: Path, bounds: Bounds = Bounds(), compress: str = "") -> None:  # noqa: B008
        self.path, self.bounds, self.compress = path, bounds, compress
        self.form: CaptureFile = PcapngFile() if ".pcapng" in path.name else PcapFile()
        self.queue: queue.Queue[Passed | None] = queue.Queue(WAITING_MOST)
        self.left_out = 0  # messages for which there was no room in the queue
        self.failed = 0  # and those that the disk did not take
        self.written = 0
        self.conversations = Conversations()
        self.classes: OrderedDict[str, str] = OrderedDict()
        self.file: BinaryIO | None = None
        self.size, self.opened_ms, self.last_ns = 0, 0.0, 0
        self.shut_until_ms = float("-inf")
        self.number = 0
        self.closed_files: list[Closed] = []
        self.ended = threading.Event()
        self._open()
        start_thread("capture-writer", self._run)

    # --- from any thread ---

    def message_passed(self, transport: str, source: Address, target: Address, message: Message) -> None:
        self._put(Passed(now_ms(), transport, source, target, message))

    def connection_closed(self, source: Address, target: Address, reset: bool) -> None:
        self._put(Passed(now_ms(), "TCP", source, target, None, reset))

    def _put(self, passed: Passed) -> None:
        try:
            self.queue.put_nowait(passed)
        except queue.Full:  # guards the core against a disk that is slow
            self.left_out += 1

    def end(self, deadline_ms: float) -> None:
        """What waits is written by then, or left out."""
        with contextlib.suppress(queue.Full):
            self.queue.put(None, timeout=seconds_until(deadline_ms))
        self.ended.wait(seconds_until(deadline_ms))

    # --- the writer's thread ---

    def _run(self) -> None:
        going = True
        while going:
            batch = [self.queue.get()]
            with contextlib.suppress(queue.Empty):
                while len(batch) < BATCH_MOST:
                    batch.append(self.queue.get_nowait())
            going = None not in batch
            self._write([passed for passed in batch if passed is not None])
        if self.file is not None:
            with contextlib.suppress(OSError):
                for frame in self.conversations.end():
                    self.file.write(self.form.record(self.last_ns, frame))
                self.file.close()
        told = f"capture: {self.written} messages written"
        log_text(f"{told}, {self.left_out} left out, {self.failed} not taken by the disk")
        self.ended.set()

    def _write(self, batch: list[Passed]) -> None:
        if not batch:
            return
        data = b"".join(self._records(passed) for passed in batch)
        now = now_ms()
        if self.file is None and now >= self.shut_until_ms:
            with contextlib.suppress(OSError):
                self._open()
        if self.file is not None and full(self.bounds, self.size, self.opened_ms, now, len(data)):
            self._rotate()
        if self.file is None:
            self.failed += len(batch)
            return
        try:
            self.file.write(data)
            self.file.flush()
        except OSError as error:
            self.failed += len(batch)
            self._give_up(str(error))
            return
        self.size += len(data)
        self.written += sum(passed.message is not None for passed in batch)

    def _records(self, passed: Passed) -> bytes:
        message, ends = passed.message, (passed.source, passed.target)
        if message is None:
            frames, comment = self.conversations.close(*ends, passed.reset), ""
        else:
            put = self.conversations.datagram if passed.transport == "UDP" else self.conversations.stream
            frames, comment = put(*ends, encode(message)), self._comment(message)
        at, out = round(passed.at_ms * 1e6), []
        for number, frame in enumerate(frames):
            # packets of one message lie a microsecond apart, and none before one that was told earlier: a
            # reader that goes by time would see an answer before its request
            self.last_ns = max(at + 1000 * number, self.last_ns + 1)
            out.append(self.form.record(self.last_ns, frame, comment))
        return b"".join(out)

    def _comment(self, message: Message) -> str:
        """Call, class and attempt; the class is that of the call's INVITE."""
        call, _, attempt = message.call_id.rpartition("-")
        if not call or not attempt.isdecimal():
            call, attempt = message.call_id, ""
        if message.method == "INVITE" and message.get("subject"):
            self.classes[call] = message.get("subject")
            while len(self.classes) > CLASSES_MOST:
                self.classes.popitem(last=False)
        told = f"call {call}"
        if call in self.classes:
            told += f" class {self.classes[call]}"
        return told + (f" attempt {attempt}" if attempt else "")

    # --- files ---

    def _open(self) -> None:
        """Raises OSError."""
        self.file = self.path.open("wb")
        head = self.form.head()
        self.file.write(head)
        self.file.flush()
        self.size, self.opened_ms = len(head), now_ms()

    def _give_up(self, why: str) -> None:
        """The disk is full, or gone: what was written stays as it is, and a new file is tried later."""
        log_text(f"capture: {why}; messages are left out")
        self._close()
        self.shut_until_ms = now_ms() + AGAIN_MS

    def _close(self) -> Path | None:
        """Moves the file to its number; where it went."""
        if self.file is None:
            return None
        with contextlib.suppress(OSError):
            self.file.close()
        self.file, size = None, self.size
        self.number += 1
        moved = self._numbered(self.number)
        try:
            self.path.rename(moved)
        except OSError:
            return None
        self.closed_files.append(Closed(self.number, size))
        return moved

    def _numbered(self, number: int) -> Path:
        stem, _, suffixes = self.path.name.partition(".")
        return self.path.with_name(f"{stem}-{number:06d}.{suffixes}")

    def _rotate(self) -> None:
        moved = self._close()
        self.conversations = Conversations()  # each file tells its connections whole
        try:
            self._open()
        except OSError as error:
            log_text(f"capture: {error}; messages are left out")
            self.shut_until_ms = now_ms() + AGAIN_MS
        if moved is not None and self.compress:
            number = self.number
            start_thread("capture-compress", lambda: self._squeeze(moved, number))
        for number in to_remove(self.bounds, self.closed_files, max(self.size, self.bounds.file_bytes)):
            self.closed_files = [file for file in self.closed_files if file.number != number]
            for path in (self._numbered(number), *(with_suffix(self._numbered(number), s) for s in SUFFIXES)):
                path.unlink(missing_ok=True)

    def _squeeze(self, path: Path, number: int) -> None:
        squeeze(path, self.compress)
        if all(file.number != number for file in self.closed_files):  # it had to go meanwhile
            with_suffix(path, self.compress).unlink(missing_ok=True)


SUFFIXES = {"gzip": ".gz", "zstd": ".zst"}


def with_suffix(path: Path, how: str) -> Path:
    return path.with_name(path.name + SUFFIXES[how])


def squeeze(path: Path, how: str) -> None:
    """Compresses a closed file in place; the old one goes only when the new one is whole."""
    made = with_suffix(path, how)
    part = made.with_name(made.name + ".part")
    try:
        with path.open("rb") as source:
            if how == "gzip":
                with gzip.open(part, "wb", 6) as target:
                    shutil.copyfileobj(source, target)
            else:
                import zstandard

                with part.open("wb") as file:
                    zstandard.ZstdCompressor().copy_stream(source, file)
        part.rename(made)
        path.unlink(missing_ok=True)
    except OSError as error:
        log_text(f"capture: {path.name} stays as it is: {error}")
        with contextlib.suppress(OSError):
            part.unlink(missing_ok=True)


def wait_written(sink: Sink, deadline_ms: float) -> bool:
    """Whether all that was told by now has been written or counted; for tests and the end of commands."""
    while sink.queue.qsize() and now_ms() < deadline_ms:
        time.sleep(seconds_until(min(now_ms() + 5, deadline_ms)))
    return not sink.queue.qsize()
