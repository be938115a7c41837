"""Teams' contracts: the classes that a team may use, and its limits of rate and of concurrent calls."""

from __future__ import annotations

from dataclasses import dataclass

AT_ONCE_RETRY_AFTER_MS = 1000.0  # at the limit of concurrent calls: only the end of another call makes room


@dataclass(frozen=True, slots=True)
class Contract:
    """The limits of one team: set-ups per second (`per_s`) and concurrent calls (`at_once`)."""

    team: str
    classes: frozenset[str]
    per_s: float
    at_once: int


class Contracts:
    """Admission control by team: a token bucket for the rate, a counter for concurrent calls.

    Without any contract every call is admitted; otherwise calls of a team without one are refused.
    """

    def __init__(self, contracts: tuple[Contract, ...]) -> None:
        self.contracts = {contract.team: contract for contract in contracts}
        self.tokens_by_team = {contract.team: (max(contract.per_s, 1.0), 0.0) for contract in contracts}
        self.team_by_call: dict[str, str] = {}
        self.calls_by_team = {contract.team: 0 for contract in contracts}

    def replace(self, contracts: tuple[Contract, ...], now: float) -> None:
        """Applies new contracts. Tokens and call counts are kept, so that a reload allows no extra burst."""
        tokens_by_team, calls_by_team = self.tokens_by_team, self.calls_by_team
        self.contracts = {contract.team: contract for contract in contracts}
        self.tokens_by_team = {
            c.team: tokens_by_team.get(c.team, (max(c.per_s, 1.0), now)) for c in contracts
        }
        self.calls_by_team = {c.team: calls_by_team.get(c.team, 0) for c in contracts}
        self.team_by_call = {
            call_id: team for call_id, team in self.team_by_call.items() if team in self.contracts
        }

    def admit(self, team: str, class_name: str, call_id: str, now: float) -> float:
        """Returns 0 if admitted (counted until `call_ended`), the retry time in ms, or -1: never allowed."""
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
        self.team_by_call[call_id] = team
        self.calls_by_team[team] += 1
        return 0.0

    def call_ended(self, call_id: str) -> None:
        """Ends the count of an admitted call; other calls are ignored."""
        team = self.team_by_call.pop(call_id, None)
        if team is not None:
            self.calls_by_team[team] -= 1
