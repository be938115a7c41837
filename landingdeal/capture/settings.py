"""The section `[sip.capture]` of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

import msgspec

from landingdeal.capture.rotation import RotationLimits
from landingdeal.errors import ConfigError


class _CaptureSection(msgspec.Struct, forbid_unknown_fields=True):
    """The section as written in the file. A size or time of 0 means no limit."""

    read: str | list[str] = []
    write: str = ""
    file_mb: float = 64.0
    file_minutes: float = 15.0
    total_mb: float = 1024.0
    compress: Literal["", "gzip", "zstd"] = ""


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """`read`: captures that are played as callers. `write`: the file that calls are recorded to, or None."""

    read: tuple[str, ...] = ()
    write: Path | None = None
    bounds: RotationLimits = RotationLimits()  # noqa: RUF009 (frozen)
    compress: str = ""


def parse_capture_settings(raw: dict[str, Any]) -> CaptureSettings:
    """Checks the section. Raises ConfigError with the section, key and reason."""
    try:
        section = msgspec.convert(raw, _CaptureSection)
    except msgspec.ValidationError as error:
        raise ConfigError(f"sip.capture: {error}") from None
    for key in ("file_mb", "file_minutes", "total_mb"):
        if not 0 <= getattr(section, key) < 1e9:
            raise ConfigError(f"sip.capture.{key} is from 0 (no bound) to 1e9")
    if 0 < section.total_mb < section.file_mb or section.file_mb == 0 < section.total_mb:
        raise ConfigError("sip.capture.total_mb is less than one file may hold")
    read = (section.read,) if isinstance(section.read, str) else tuple(section.read)
    bounds = RotationLimits(
        round(section.file_mb * 2**20), section.file_minutes * 60_000, round(section.total_mb * 2**20)
    )
    write = Path(section.write) if section.write else None
    return CaptureSettings(tuple(filter(None, read)), write, bounds, section.compress)
