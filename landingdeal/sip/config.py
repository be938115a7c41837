"""The section `[sip]` of the operator's file."""

from __future__ import annotations

import ipaddress
from typing import Any

from badgerstile.interface import Settings
from landingdeal.errors import ConfigError, parse_address
from landingdeal.sip.call import HubPlace, SipConfig
from landingdeal.sip.transaction import Timing


def ip_address(text: Any, what: str) -> tuple[str, int]:
    """No name: nothing here may wait for a look-up."""
    host, port = parse_address(text, what)
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"{what} is not an IPv4 address: {text!r}") from None
    return host, port


def read_sip(sip: dict[str, Any], settings: Settings) -> SipConfig:
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
