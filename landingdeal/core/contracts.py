"""Teams' contracts: which classes a team may use, and its budgets of rate and of calls at once."""

from __future__ import annotations

from dataclasses import dataclass

AT_ONCE_RETRY_AFTER_MS = 1000.0  # where only the end of another call of the team makes room


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
        self.tokens_by_team = {contract.team: (max(contract.per_s, 1.0), 0.0) for contract in contracts}
        self.team_by_call: dict[str, str] = {}
        self.calls_by_team = {contract.team: 0 for contract in contracts}

    def replace(self, contracts: tuple[Contract, ...], now: float) -> None:
        """New contracts; what a team holds and has spent is kept, so that a reload makes no new burst."""
        tokens_by_team, calls_by_team = self.tokens_by_team, self.calls_by_team
        self.contracts = {contract.team: contract for contract in contracts}
        self.tokens_by_team = {
            c.team: tokens_by_team.get(c.team, (max(c.per_s, 1.0), now)) for c in contracts
        }
        self.calls_by_team = {c.team: calls_by_team.get(c.team, 0) for c in contracts}
        self.team_by_call = {call: team for call, team in self.team_by_call.items() if team in self.contracts}

    def admit(self, team: str, class_name: str, call: str, now: float) -> float:
        """0: admitted, and counted until `ended`. Above: the milliseconds to stay away. -1: never allowed."""
        if not self.contracts:
            return 0.0
        contract = self.contracts.get(team)
        if contract is None or class_name not in contract.classes:
            return -1.0
        burst = max(contract.per_s, 1.0)
        tokens, filled_ms = self.tokens_by_team[team]
        tokens = min(tokens + max(now - filled_ms, 0.0) / 1000 * contract.per_s, burst)
        self.tokens_by_team[team] = (tokens, now)
        if self.calls_by_team[team] >= contract.at_once:
            return AT_ONCE_RETRY_AFTER_MS
        if tokens < 1:
            return (1 - tokens) / contract.per_s * 1000
        self.tokens_by_team[team] = (tokens - 1, now)
        self.team_by_call[call] = team
        self.calls_by_team[team] += 1
        return 0.0

    def call_ended(self, call: str) -> None:
        team = self.team_by_call.pop(call, None)
        if team is not None:
            self.calls_by_team[team] -= 1
