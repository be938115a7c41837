"""Logging to standard error."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager, redirect_stderr, suppress

from landingdeal import log


@contextmanager
def unread_pipe() -> Iterator[int]:
    """Makes standard error a pipe that is full; yields the descriptor to read it."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with suppress(BlockingIOError):
        while True:
            os.write(write_end, bytes(log.PIPE_ROOM_BYTES))
    os.set_blocking(write_end, True)
    os.set_blocking(read_end, False)
    with os.fdopen(write_end, "w") as stream, redirect_stderr(stream):
        yield read_end
    os.close(read_end)


def read_all(descriptor: int) -> bytes:
    received = b""
    with suppress(BlockingIOError):
        while data := os.read(descriptor, 65536):
            received += data
    return received


def test_lines_that_a_full_pipe_does_not_take_are_left_out_and_counted() -> None:
    with unread_pipe() as read_end:
        log.log_event("test", call="a")
        log.log_event("test", call="b")
        read_all(read_end)
        log.log_event("test", call="c")
        line = read_all(read_end).decode()
    assert line.split(" ", 1)[1] == "test call=c (2 lines left out before this)\n"


def test_a_traceback_longer_than_a_pipe_takes_does_not_stall_its_thread() -> None:
    with unread_pipe() as read_end:
        read_all(read_end)
        try:
            raise RuntimeError("x" * 300_000)
        except RuntimeError:
            log.log_exception()
        assert b"Traceback" in read_all(read_end)


def lines_of(kind: str, written: bytes) -> list[str]:
    return [line for line in written.decode().splitlines() if f" {kind} " in line]


def test_one_source_does_not_take_the_log_from_others() -> None:
    flooding, other = log.LogShare(), log.LogShare()
    with unread_pipe() as read_end:
        read_all(read_end)
        for number in range(500):
            log.log_event("flooded", flooding, call=number)
        log.log_event("flooded", other, call="other")
        lines = lines_of("flooded", read_all(read_end))
    assert len(lines) <= log.MAX_LINES_PER_S_AND_SOURCE + 1
    assert "call=other" in lines[-1] and "lines left out before this" in lines[-1]
