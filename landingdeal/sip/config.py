"""Reads the section `[sip]` of the operator's file."""

from __future__ import annotations

import ipaddress
from typing import Any

from badgerstile.interface import Settings
from landingdeal.errors import ConfigError, parse_address
from landingdeal.sip.call import HubConfig, SipConfig
from landingdeal.sip.transaction import Timing


def parse_ip_address(text: Any, setting: str) -> tuple[str, int]:
    """Parses `host:port`; a host name is refused, because the SIP front must not wait for a DNS lookup."""
    host, port = parse_address(text, setting)
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"{setting} is not an IPv4 address: {text!r}") from None
    return host, port


def read_sip_config(sip: dict[str, Any], settings: Settings) -> SipConfig:
    """Raises ConfigError on values that are not valid or contradict each other."""
    host, port = parse_ip_address(sip["listen"], "sip.listen")
    hubs = []
    for row in sip["hub"]:
        transport = str(row.get("transport", "udp")).upper()
        if transport not in ("UDP", "TCP"):
            raise ConfigError(f"sip.hub {row['name']}: transport must be udp or tcp, not {transport.lower()}")
        host_and_port = parse_ip_address(row["address"], f"sip.hub {row['name']}")
        name = str(row["name"]).encode()
        hubs.append(
            HubConfig(
                name, int(row["number"]), transport, *host_and_port, circuits=int(row.get("circuits", 0))
            )
        )
    if not hubs or len({hub.name for hub in hubs}) < len(hubs):
        raise ConfigError("sip.hub: at least one lab hub is required, and names must be unique")
    routes = tuple((str(row["prefix"]), int(row["hub"])) for row in sip["route"])
    numbers = {hub.number for hub in hubs}
    for prefix, number in routes:
        if number not in numbers:
            raise ConfigError(f"sip.route {prefix!r} refers to hub {number}, which is not in sip.hub")
    class_names = [call_class.name for call_class in settings.classes]
    default_class = str(sip.get("default_class", class_names[0]))
    if default_class not in class_names:
        raise ConfigError(f"sip.default_class {default_class!r} is not a class of the settings")
    t1_ms = float(sip.get("t1_ms", 500.0))
    if not 1 <= t1_ms <= 10000:
        raise ConfigError("sip.t1_ms must be from 1 to 10000")
    longest_first = tuple(sorted(routes, key=lambda route: -len(route[0])))
    return SipConfig(host, port, Timing(t1_ms), tuple(hubs), longest_first, default_class)
