"""Teams' contracts: which classes a team may use, and its budgets of rate and of calls at once."""

from __future__ import annotations

from dataclasses import dataclass

COME_BACK_MS = 1000.0  # where only the end of another call of the team makes room


@dataclass(frozen=True, slots=True)
class Contract:
    team: str
    classes: frozenset[str]
    per_s: float
    at_once: int


class Contracts:
    """Without any contract every call is admitted; with some, a team without one has no budget."""

    def __init__(self, contracts: tuple[Contract, ...]) -> None:
        self.contracts = {contract.team: contract for contract in contracts}
        self.room = {contract.team: (max(contract.per_s, 1.0), 0.0) for contract in contracts}
        self.calls: dict[str, str] = {}
        self.held = {contract.team: 0 for contract in contracts}

    def replace(self, contracts: tuple[Contract, ...], now: float) -> None:
        """New contracts; what a team holds and has spent is kept, so that a reload makes no new burst."""
        room, held = self.room, self.held
        self.contracts = {contract.team: contract for contract in contracts}
        self.room = {c.team: room.get(c.team, (max(c.per_s, 1.0), now)) for c in contracts}
        self.held = {c.team: held.get(c.team, 0) for c in contracts}
        self.calls = {call: team for call, team in self.calls.items() if team in self.contracts}

    def admit(self, team: str, class_name: str, call: str, now: float) -> float:
        """0: admitted, and counted until `ended`. Above: the milliseconds to stay away. -1: never allowed."""
        if not self.contracts:
            return 0.0
        contract = self.contracts.get(team)
        if contract is None or class_name not in contract.classes:
            return -1.0
        burst = max(contract.per_s, 1.0)
        tokens, at = self.room[team]
        tokens = min(tokens + max(now - at, 0.0) / 1000 * contract.per_s, burst)
        self.room[team] = (tokens, now)
        if self.held[team] >= contract.at_once:
            return COME_BACK_MS
        if tokens < 1:
            return (1 - tokens) / contract.per_s * 1000
        self.room[team] = (tokens - 1, now)
        self.calls[call] = team
        self.held[team] += 1
        return 0.0

    def ended(self, call: str) -> None:
        team = self.calls.pop(call, None)
        if team is not None:
            self.held[team] -= 1
