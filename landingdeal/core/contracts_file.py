"""Reads the `[[contract]]` tables of the operator's file."""

from __future__ import annotations

from typing import Any

from landingdeal.core.contracts import Contract
from landingdeal.errors import ConfigError


def read_contracts(rows: list[dict[str, Any]]) -> tuple[Contract, ...]:
    """Raises ConfigError, or KeyError, TypeError or ValueError on a missing or malformed value."""
    contracts = tuple(_read_contract(row) for row in rows)
    if len({contract.team for contract in contracts}) < len(contracts):
        raise ConfigError("the operator's file has two contracts for the same team")
    return contracts


def _read_contract(row: dict[str, Any]) -> Contract:
    contract = Contract(
        str(row["team"]),
        frozenset(str(name) for name in row["classes"]),
        float(row["per_s"]),
        int(row["at_once"]),
    )
    if not 0 < contract.per_s < 1e9 or contract.at_once < 1:
        raise ConfigError(f"the contract of {contract.team}: per_s and at_once must be above 0")
    return contract
