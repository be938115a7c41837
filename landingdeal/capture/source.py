"""Streams the bytes of a capture from a file or standard input, decompressing gzip and zstd.

Damaged compressed data ends the stream at the damage; the bytes before it are still read.
"""

from __future__ import annotations

import sys
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import IO

GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"
CHUNK_BYTES = 256 * 1024
MAX_ZSTD_WINDOW_BYTES = 128 * 1024 * 1024  # memory that a zstd frame may require
STDIN = "-"


class ByteSource:
    """A byte stream: `read` returns short data only at the end; `offset` counts the bytes read."""

    def __init__(self, name: str, file: IO[bytes]) -> None:
        self.name, self.file = name, file
        self.offset = 0
        self.damage = ""  # why the stream ended early
        self._buffered = b""
        head = file.read(4)
        if head[:2] == GZIP:
            self._chunks = self._gzip(head)
        elif head == ZSTD:
            self._chunks = self._zstd(head)
        else:
            self._chunks = self._plain(head)

    def read(self, size: int) -> bytes:
        """Reads `size` bytes; fewer only at the end of the stream."""
        buffered = self._buffered
        if len(buffered) < size:
            chunks, available = [buffered], len(buffered)
            for chunk in self._chunks:
                chunks.append(chunk)
                available += len(chunk)
                if available >= size:
                    break
            buffered = b"".join(chunks)
        result, self._buffered = buffered[:size], buffered[size:]
        self.offset += len(result)
        return result

    def skip(self, size: int) -> int:
        """Skips `size` bytes and returns how many were available."""
        remaining = size
        while remaining > 0:
            skipped = len(self.read(min(remaining, CHUNK_BYTES)))
            if not skipped:
                break
            remaining -= skipped
        return size - remaining

    def close(self) -> None:
        if self.name != STDIN:
            self.file.close()

    def _plain(self, head: bytes) -> Iterator[bytes]:
        yield head
        while data := self.file.read(CHUNK_BYTES):
            yield data

    def _gzip(self, head: bytes) -> Iterator[bytes]:
        data: bytes = head
        decompressor = zlib.decompressobj(wbits=31)
        try:
            while data:
                output = decompressor.decompress(data, CHUNK_BYTES)
                while output:
                    yield output
                    output = decompressor.decompress(decompressor.unconsumed_tail, CHUNK_BYTES)
                if decompressor.eof:  # another member may follow
                    data = decompressor.unused_data or self.file.read(CHUNK_BYTES)
                    if data:
                        decompressor = zlib.decompressobj(wbits=31)
                    continue
                data = self.file.read(CHUNK_BYTES)
            if not decompressor.eof:
                self.damage = "the gzip data ends early"
        except zlib.error as error:
            self.damage = f"the gzip data is damaged: {error}"

    def _zstd(self, head: bytes) -> Iterator[bytes]:
        import zstandard

        data: bytes = head
        factory = zstandard.ZstdDecompressor(max_window_size=MAX_ZSTD_WINDOW_BYTES)
        decompressor = factory.decompressobj()
        try:
            while data:
                # small input pieces, because the whole output of a piece is in memory at once
                for start in range(0, len(data), 4096):
                    piece = data[start : start + 4096]
                    while piece:
                        output = decompressor.decompress(piece)
                        if output:
                            yield output
                        piece = decompressor.unused_data if decompressor.eof else b""
                        if decompressor.eof:
                            decompressor = factory.decompressobj()
                data = self.file.read(CHUNK_BYTES)
        except zstandard.ZstdError as error:
            self.damage = f"the zstd data is damaged: {error}"


def open_source(path: str) -> ByteSource:
    """Opens a file, or standard input for `-`. Raises OSError."""
    if path == STDIN:
        return ByteSource(STDIN, sys.stdin.buffer)
    return ByteSource(path, Path(path).open("rb"))  # noqa: SIM115 (closed by `close`)
