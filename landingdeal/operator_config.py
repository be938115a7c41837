"""Parses the operator's file (TOML): teams' contracts, and the SIP front with its lab hubs and settings.

Each section is parsed by the package that it configures, which is imported only if it is used.
"""

from __future__ import annotations

import json
import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from landingdeal.core.contracts import Contract
from landingdeal.core.contracts_file import read_contracts
from landingdeal.errors import ConfigError

if TYPE_CHECKING:
    from badgerstile.interface import Settings
    from landingdeal.capture.settings import CaptureSettings
    from landingdeal.sip.call import SipConfig


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The contents of the operator's file; `sip` and `settings` are set if the SIP front is enabled."""

    contracts: tuple[Contract, ...] = ()
    sip: SipConfig | None = None
    settings: Settings | None = None
    capture: CaptureSettings | None = None


def parse_operator_config(text: str, on_platform: bool = False) -> OperatorConfig:
    """Raises ConfigError with a one-line message. On the platform only the contracts are used."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"the operator's file is not TOML: {error}") from None
    unknown = sorted(set(raw) - {"contract", "sip", "settings"})
    if unknown:
        raise ConfigError(f"the operator's file has unknown sections: {', '.join(unknown)}")
    try:
        contracts = read_contracts(raw.get("contract", []))
        sip = raw.get("sip", {})
        if on_platform or not sip.get("enabled", False):
            return OperatorConfig(contracts)
        return _with_sip(contracts, sip, raw["settings"])
    except KeyError as error:
        raise ConfigError(f"the operator's file lacks {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the operator's file has an invalid value: {error}") from None


def _with_sip(contracts: tuple[Contract, ...], sip: dict[str, Any], raw_settings: Any) -> OperatorConfig:
    from badgerstile.wire import WireError, read_settings
    from landingdeal.sip.config import read_sip_config

    try:
        settings = read_settings(json.dumps(raw_settings).encode())
    except WireError as error:
        raise ConfigError(f"the operator's file: {error}") from None
    capture = None
    if "capture" in sip:
        from landingdeal.capture.settings import read_capture

        capture = read_capture(sip["capture"])
    return OperatorConfig(contracts, read_sip_config(sip, settings), settings, capture)
