"""What ends a command with one line, and the small readers that raise it."""

from __future__ import annotations

from typing import Any


class ConfigError(Exception):
    """The text is the one line that the program ends with."""


def parse_address(text: Any, setting: str) -> tuple[str, int]:
    """`host:port`, taken apart; raises ConfigError."""
    host, colon, port = str(text).rpartition(":")
    if not host or not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"{setting} is not an address: {text!r}")
    return host, int(port)
