"""The state file of a replay. A killed replay resumes from it without offering a call twice.

The state is written to a new file, flushed to the disk and renamed over the old one, so that a kill at any
moment leaves a whole file. Calls start in the order of the plan and are recorded before they are sent.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from landingdeal.errors import ConfigError

VERSION = 1


class ReplayState(msgspec.Struct, forbid_unknown_fields=True):
    """The first `started` calls of the plan may have been sent; those not in `done` were in flight."""

    version: int
    plan: str  # fingerprint of the plan
    at_ms: float  # time in the plan at the save
    started: int
    done: dict[int, str]  # outcomes of the finished calls, by index in the plan


def load(path: Path, plan: str) -> ReplayState | None:
    """Returns None if there is no file. Raises ConfigError if it is damaged or belongs to another plan."""
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return None
    try:
        state: ReplayState = msgspec.json.decode(raw, type=ReplayState)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{path}: not a replay state file: {error}") from None
    if state.version != VERSION:
        raise ConfigError(f"{path}: state file version {state.version} is not supported, only {VERSION}")
    if state.plan != plan:
        raise ConfigError(f"{path}: state file of another replay (different files, filter or options)")
    return state


def save(path: Path, state: ReplayState) -> None:
    """Replaces the state file. Raises OSError and then leaves the old file unchanged."""
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
    """Indexes of the calls that were started but not finished; a resumed replay does not offer them again."""
    return [index for index in range(state.started) if index not in state.done]
