"""The bytes of a capture: a file or standard input, plain, gzip or zstd, streamed.

Damage to the compression ends the bytes where it begins; what came before is still read.
"""

from __future__ import annotations

import sys
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import IO

GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"
CHUNK_BYTES = 256 * 1024
MAX_ZSTD_WINDOW_BYTES = 128 * 1024 * 1024  # of zstd: memory that a frame may ask for
STDIN = "-"


class ByteSource:
    """`read` gives exactly what is asked for until the bytes end; `offset` counts what was given."""

    def __init__(self, name: str, file: IO[bytes]) -> None:
        self.name, self.file = name, file
        self.offset = 0
        self.damage = ""  # why the bytes ended early
        self._held = b""
        head = file.read(4)
        if head[:2] == GZIP:
            self._parts = self._gzip(head)
        elif head == ZSTD:
            self._parts = self._zstd(head)
        else:
            self._parts = self._plain(head)

    def read(self, size: int) -> bytes:
        """Up to `size` bytes; fewer only at the end."""
        held = self._held
        if len(held) < size:
            parts, have = [held], len(held)
            for part in self._parts:
                parts.append(part)
                have += len(part)
                if have >= size:
                    break
            held = b"".join(parts)
        given, self._held = held[:size], held[size:]
        self.offset += len(given)
        return given

    def skip(self, size: int) -> int:
        """Passes over that many bytes; how many there were."""
        left = size
        while left > 0:
            got = len(self.read(min(left, CHUNK_BYTES)))
            if not got:
                break
            left -= got
        return size - left

    def close(self) -> None:
        if self.name != STDIN:
            self.file.close()

    def _plain(self, head: bytes) -> Iterator[bytes]:
        yield head
        while data := self.file.read(CHUNK_BYTES):
            yield data

    def _gzip(self, head: bytes) -> Iterator[bytes]:
        data: bytes = head
        inflate = zlib.decompressobj(wbits=31)
        try:
            while data:
                made = inflate.decompress(data, CHUNK_BYTES)
                while made:
                    yield made
                    made = inflate.decompress(inflate.unconsumed_tail, CHUNK_BYTES)
                if inflate.eof:  # another member may follow
                    data = inflate.unused_data or self.file.read(CHUNK_BYTES)
                    if data:
                        inflate = zlib.decompressobj(wbits=31)
                    continue
                data = self.file.read(CHUNK_BYTES)
            if not inflate.eof:
                self.damage = "the gzip data ends early"
        except zlib.error as error:
            self.damage = f"the gzip data is damaged: {error}"

    def _zstd(self, head: bytes) -> Iterator[bytes]:
        import zstandard

        data: bytes = head
        made = zstandard.ZstdDecompressor(max_window_size=MAX_ZSTD_WINDOW_BYTES)
        inflate = made.decompressobj()
        try:
            while data:
                # small pieces in: what one piece unfolds to is held at once
                for at in range(0, len(data), 4096):
                    piece = data[at : at + 4096]
                    while piece:
                        out = inflate.decompress(piece)
                        if out:
                            yield out
                        piece = inflate.unused_data if inflate.eof else b""
                        if inflate.eof:
                            inflate = made.decompressobj()
                data = self.file.read(CHUNK_BYTES)
        except zstandard.ZstdError as error:
            self.damage = f"the zstd data is damaged: {error}"


def open_source(path: str) -> ByteSource:
    """Raises OSError."""
    if path == STDIN:
        return ByteSource(STDIN, sys.stdin.buffer)
    return ByteSource(path, Path(path).open("rb"))  # noqa: SIM115 (closed by `close`)
