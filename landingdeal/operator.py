"""The operator's file (TOML): teams' contracts, and the SIP front with its lab hubs and settings."""

from __future__ import annotations

import ipaddress
import json
import tomllib
from dataclasses import dataclass
from typing import Any

from badgerstile.interface import Settings
from badgerstile.wire import WireError, read_settings
from landingdeal.core.contracts import Contract
from landingdeal.net.config import ConfigError, address
from landingdeal.sip.call import HubPlace, SipConfig
from landingdeal.sip.transaction import Timing


@dataclass(frozen=True, slots=True)
class Operator:
    contracts: tuple[Contract, ...] = ()
    sip: SipConfig | None = None
    settings: Settings | None = None
    capture_in: str = ""
    capture_out: str = ""


def read_operator(text: str) -> Operator:
    """Raises ConfigError with one line that says what is wrong."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"the operator's file is not TOML: {error}") from None
    unknown = sorted(set(raw) - {"contract", "sip", "settings"})
    if unknown:
        raise ConfigError(f"the operator's file names what is not known: {', '.join(unknown)}")
    try:
        contracts = tuple(_contract(row) for row in raw.get("contract", []))
        if len({contract.team for contract in contracts}) < len(contracts):
            raise ConfigError("the operator's file has two contracts of one team")
        sip = raw.get("sip", {})
        if not sip.get("enabled", False):
            return Operator(contracts)
        settings = read_settings(json.dumps(raw["settings"]).encode())
        capture = sip.get("capture", {})
        return Operator(
            contracts,
            _sip(sip, settings),
            settings,
            str(capture.get("read", "")),
            str(capture.get("write", "")),
        )
    except WireError as error:
        raise ConfigError(f"the operator's file: {error}") from None
    except KeyError as error:
        raise ConfigError(f"the operator's file lacks {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the operator's file holds a value that can't be used: {error}") from None


def ip_address(text: Any, what: str) -> tuple[str, int]:
    """No name: nothing here may wait for a look-up."""
    host, port = address(text, what)
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"{what} is not an IPv4 address: {text!r}") from None
    return host, port


def _contract(row: dict[str, Any]) -> Contract:
    made = Contract(
        str(row["team"]),
        frozenset(str(name) for name in row["classes"]),
        float(row["per_s"]),
        int(row["at_once"]),
    )
    if not 0 < made.per_s < 1e9 or made.at_once < 1:
        raise ConfigError(f"the contract of {made.team}: per_s and at_once must be above 0")
    return made


def _sip(sip: dict[str, Any], settings: Settings) -> SipConfig:
    host, port = ip_address(sip["listen"], "sip.listen")
    hubs = []
    for row in sip["hub"]:
        transport = str(row.get("transport", "udp")).upper()
        if transport not in ("UDP", "TCP"):
            raise ConfigError(f"sip.hub {row['name']}: transport is udp or tcp, not {transport.lower()}")
        where = ip_address(row["address"], f"sip.hub {row['name']}")
        name = str(row["name"]).encode()
        hubs.append(
            HubPlace(name, int(row["number"]), transport, *where, circuits=int(row.get("circuits", 0)))
        )
    if not hubs or len({hub.name for hub in hubs}) < len(hubs):
        raise ConfigError("sip.hub: lab hubs are named once each, and there is one at least")
    routes = tuple((str(row["prefix"]), int(row["hub"])) for row in sip["route"])
    numbers = {hub.number for hub in hubs}
    for prefix, number in routes:
        if number not in numbers:
            raise ConfigError(f"sip.route {prefix!r} leads to {number}, which no lab hub has")
    names = [kind.name for kind in settings.classes]
    default = str(sip.get("default_class", names[0]))
    if default not in names:
        raise ConfigError(f"sip.default_class {default!r} is in no class of the settings")
    t1 = float(sip.get("t1_ms", 500.0))
    if not 1 <= t1 <= 10000:
        raise ConfigError("sip.t1_ms is from 1 to 10000")
    longest_first = tuple(sorted(routes, key=lambda route: -len(route[0])))
    return SipConfig(host, port, Timing(t1), tuple(hubs), longest_first, default)
