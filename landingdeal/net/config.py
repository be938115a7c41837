"""The configuration that the platform hands over, as typed values; anything unusable is one plain line."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from badgerstile.interface import ExchangeEntry, ExchangeList, Health, ListKind, Settings
from badgerstile.wire import WireError, read_settings
from landingdeal.errors import ConfigError, parse_address

HEALTH = {"up": Health.READY, "draining": Health.DRAINING, "removed": Health.REMOVED}


@dataclass(frozen=True, slots=True)
class HubAddress:
    """One lab hub of an event, for the client side. `where` is host:port, empty where one is gone."""

    name: bytes
    where: str
    health: Health


@dataclass(frozen=True, slots=True)
class TopologyEvent:
    """One event of the event bus: the change for the core, and the addresses for the client side."""

    offset: int
    change: ExchangeList
    addresses: tuple[HubAddress, ...]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    host: str
    port: int
    seed: int
    sockets: int
    bus: tuple[str, int]
    offset: int
    known: tuple[TopologyEvent, ...]
    settings: Settings
    dial_ms: float


def topology_event(raw: Any) -> TopologyEvent:
    """Raises ConfigError on an event that is not of the event bus."""
    try:
        topology = raw["topology"]
        entries, addresses = [], []
        for row in topology["endpoints"]:
            name, health = str(row["name"]).encode(), HEALTH[row["status"]]
            came_up = float(row.get("since_ms") or 0.0)
            where = str(row.get("address") or "")
            if where:
                parse_address(where, "an endpoint")
            elif health is not Health.REMOVED:
                raise ConfigError(f"no address for {row['name']}")
            entries.append(ExchangeEntry(name, int(row["group"]) if "group" in row else -1, health, came_up))
            addresses.append(HubAddress(name, where, health))
        kind = ListKind.FULL if topology.get("snapshot") else ListKind.CHANGES
        return TopologyEvent(int(raw["offset"]), ExchangeList(kind, tuple(entries)), tuple(addresses))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(
            f"an event of the event bus can't be used: {type(error).__name__} {error}"
        ) from None


def read_config(text: str) -> Config:
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
            known=tuple(topology_event(event) for event in known["batch"]),
            settings=read_settings(json.dumps(raw["settings"]).encode()),
            dial_ms=float((raw["settings"].get("caps") or {}).get("dial_timeout_ms") or 500.0),
        )
    except WireError as error:
        raise ConfigError(str(error)) from None
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration holds a value that can't be used: {error}") from None
