"""How far a replay has come, saved so that a killed one goes on without offering a call twice.

The state is written to a new file, flushed to the disk and renamed over the old one: a kill at any moment
leaves one or the other. Calls are started in the order of the plan and are recorded before they are sent.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from landingdeal.errors import ConfigError

VERSION = 1


class ReplayState(msgspec.Struct, forbid_unknown_fields=True):
    """`started` calls of the plan may have gone out; those of them that are not in `done` were in flight."""

    version: int
    plan: str  # the fingerprint
    at_ms: float  # how far the clock of the plan had come
    started: int
    done: dict[int, str]  # outcome by index, of calls that have ended


def load(path: Path, plan: str) -> ReplayState | None:
    """None where there is none yet. Raises ConfigError on what belongs to another plan or is damaged."""
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return None
    try:
        state: ReplayState = msgspec.json.decode(raw, type=ReplayState)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{path}: no state of a replay: {error}") from None
    if state.version != VERSION:
        raise ConfigError(f"{path}: a state of version {state.version}, not {VERSION}")
    if state.plan != plan:
        raise ConfigError(f"{path}: the state of another replay (other files, filter or options)")
    return state


def save(path: Path, state: ReplayState) -> None:
    """Raises OSError; the old state is then untouched."""
    new_path = path.with_name(path.name + ".new")
    try:
        with new_path.open("wb") as file:
            file.write(msgspec.json.encode(state))
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, path)
    except OSError:
        with contextlib.suppress(OSError):
            new_path.unlink()
        raise


def in_flight(state: ReplayState) -> list[int]:
    """Calls that had gone out and not ended: they are not offered again."""
    return [index for index in range(state.started) if index not in state.done]
