"""The platform's configuration as typed values; an unusable one raises ConfigError of one line."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from badgerstile.interface import ExchangeEntry, ExchangeList, Health, ListKind, Settings
from badgerstile.wire import WireError, read_settings
from landingdeal.errors import ConfigError, parse_address

HEALTH_BY_STATUS = {"up": Health.READY, "draining": Health.DRAINING, "removed": Health.REMOVED}


@dataclass(frozen=True, slots=True)
class HubAddress:
    """Address of one lab hub of an event; `host_port` may be empty if the lab hub was removed."""

    name: bytes
    host_port: str
    health: Health
    started_ms: float = 0.0  # of its process; 0 for long ago


@dataclass(frozen=True, slots=True)
class TopologyEvent:
    """One event of the event bus: the change for the core and the addresses for `HubConnections`."""

    offset: int
    change: ExchangeList
    addresses: tuple[HubAddress, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The platform's configuration of this process."""

    name: str
    host: str
    port: int
    seed: int
    sockets: int  # limit of descriptors
    bus: tuple[str, int]
    offset: int  # number of the last event in `known`
    known: tuple[TopologyEvent, ...]
    settings: Settings
    dial_timeout_ms: float


def parse_topology_event(raw: Any) -> TopologyEvent:
    """Parses one event of the event bus; raises ConfigError if it can't be used."""
    try:
        topology = raw["topology"]
        entries, addresses = [], []
        for endpoint in topology["endpoints"]:
            name, health = str(endpoint["name"]).encode(), HEALTH_BY_STATUS[endpoint["status"]]
            up_since_ms = float(endpoint.get("since_ms") or 0.0)
            host_port = str(endpoint.get("address") or "")
            if host_port:
                parse_address(host_port, "an endpoint")
            elif health is not Health.REMOVED:
                raise ConfigError(f"no address for {endpoint['name']}")
            entries.append(
                ExchangeEntry(
                    name, int(endpoint["group"]) if "group" in endpoint else -1, health, up_since_ms
                )
            )
            addresses.append(HubAddress(name, host_port, health, up_since_ms))
        kind = ListKind.FULL if topology.get("snapshot") else ListKind.CHANGES
        return TopologyEvent(int(raw["offset"]), ExchangeList(kind, tuple(entries)), tuple(addresses))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(
            f"an event of the event bus can't be used: {type(error).__name__} {error}"
        ) from None


def read_config(text: str) -> Config:
    """Parses the configuration; raises ConfigError if it can't be used."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"the configuration is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("the configuration is not a JSON object")
    try:
        host, port = parse_address(raw["listen"], "listen")
        known = raw.get("known") or {"offset": 0, "batch": []}
        return Config(
            name=str(raw.get("name", "")),
            host=host,
            port=port,
            seed=int(str(raw.get("seed", "0")) or "0", 16),
            sockets=int((raw.get("limits") or {}).get("sockets", 1024)),
            bus=parse_address(raw["bus"], "bus"),
            offset=int(known["offset"]),
            known=tuple(parse_topology_event(event) for event in known["batch"]),
            settings=read_settings(json.dumps(raw["settings"]).encode()),
            dial_timeout_ms=float((raw["settings"].get("caps") or {}).get("dial_timeout_ms") or 500.0),
        )
    except WireError as error:
        raise ConfigError(str(error)) from None
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration holds a value that can't be used: {error}") from None
