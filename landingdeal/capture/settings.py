"""The section `[sip.capture]` of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

import msgspec

from landingdeal.capture.rotation import RotationLimits
from landingdeal.errors import ConfigError


class _Section(msgspec.Struct, forbid_unknown_fields=True):
    read: str | list[str] = []
    write: str = ""
    file_mb: float = 64.0
    file_minutes: float = 15.0
    total_mb: float = 1024.0
    compress: Literal["", "gzip", "zstd"] = ""


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """`read`: files played as callers, none of them to play nothing; `write` None: nothing is written."""

    read: tuple[str, ...] = ()
    write: Path | None = None
    bounds: RotationLimits = RotationLimits()  # noqa: RUF009 (frozen)
    compress: str = ""


def read_capture(raw: dict[str, Any]) -> CaptureSettings:
    """Raises ConfigError that names section, key and reason."""
    try:
        told = msgspec.convert(raw, _Section)
    except msgspec.ValidationError as error:
        raise ConfigError(f"sip.capture: {error}") from None
    for key in ("file_mb", "file_minutes", "total_mb"):
        if not 0 <= getattr(told, key) < 1e9:
            raise ConfigError(f"sip.capture.{key} is from 0 (no bound) to 1e9")
    if 0 < told.total_mb < told.file_mb or told.file_mb == 0 < told.total_mb:
        raise ConfigError("sip.capture.total_mb is less than one file may hold")
    read = (told.read,) if isinstance(told.read, str) else tuple(told.read)
    bounds = RotationLimits(
        round(told.file_mb * 2**20), told.file_minutes * 60_000, round(told.total_mb * 2**20)
    )
    write = Path(told.write) if told.write else None
    return CaptureSettings(tuple(filter(None, read)), write, bounds, told.compress)
