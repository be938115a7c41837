"""The error for invalid settings and arguments, and a parser that raises it."""

from __future__ import annotations

from typing import Any


class ConfigError(Exception):
    """An invalid setting or argument; the program prints the message as one line and exits."""


def parse_address(text: Any, setting: str) -> tuple[str, int]:
    """Splits `host:port`; raises ConfigError, which names the setting."""
    host, colon, port = str(text).rpartition(":")
    if not host or not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"{setting} is not an address: {text!r}")
    return host, int(port)
