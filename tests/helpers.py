"""Settings and a harness for tests of the decision module."""

from __future__ import annotations

from dataclasses import replace

from badgerstile.control import Softswitch
from badgerstile.interface import (
    Action,
    CallClass,
    CallOffered,
    Event,
    ExchangeEntry,
    ExchangeList,
    FailCall,
    Health,
    ListKind,
    LoadField,
    LoadReporting,
    Refuse,
    Report,
    SetTimer,
    Settings,
    SetUp,
    TimerFired,
)

SETTINGS = Settings(
    own_number=0,
    mesh=True,
    classes=(
        CallClass("plain", 1500.0, 9000.0, 1.0, 0.25, 1, 10000.0),
        CallClass("wide", 2000.0, 9000.0, 3.0, 0.1, 4, 10000.0),
    ),
    release_wait_ms=500.0,
    retransmit_ms=500.0,
    max_attempts=5,
    may_probe=False,
    may_message=False,
    sends_retry_after=True,
    max_retry_after_ms=2000.0,
    load_reporting=LoadReporting.WITH_ANSWERS,
    load_fields=(LoadField.FREE_CIRCUITS, LoadField.GROUP_SIZE, LoadField.HOLD_BACK),
    list_on_request=False,
    list_request_within_ms=10000.0,
    drain_grace_ms=1000.0,
    cold_initial_share=0.34,
    cold_ramp_ms=15000.0,
    overload_multiple=2.0,
    overload_window_ms=1000.0,
    softswitch_count=5,
    tick_ms=5.0,
)
EVEN = replace(SETTINGS, classes=(SETTINGS.classes[0],))
START = 1_000_000.0


def exchange(number: int, generation: int = 0) -> bytes:
    """The identity of an exchange; each generation is a new process."""
    return bytes([10, 0, generation, number, 19, 136])


def list_entry(
    number: int, health: Health = Health.READY, started_ms: float = 0.0, generation: int = 0
) -> ExchangeEntry:
    """An entry of the exchange list."""
    return ExchangeEntry(exchange(number, generation), number, health, started_ms)


class SoftswitchHarness:
    """One softswitch with a simulated clock and a record of its actions."""

    def __init__(
        self, settings: Settings = SETTINGS, other_exchanges: int = 4, seed: int = 1, free_circuits: int = 50
    ) -> None:
        self.now = START
        self.timer_times: list[float] = []
        self.switch = Softswitch(settings, seed)
        self.recorded_actions: list[tuple[float, Action]] = []
        self.next_call = 0
        self.give(ExchangeList(ListKind.CACHED, tuple(list_entry(n) for n in range(other_exchanges + 1))))
        for n in range(1, other_exchanges + 1):
            self.circuits(n, free_circuits)

    def give(self, event: Event, after_ms: float = 0.0) -> list[Action]:
        """Passes an event to the softswitch, and before it each timer that is due by then."""
        event_time = self.now + after_ms
        while self.timer_times and self.timer_times[0] <= event_time and not isinstance(event, TimerFired):
            self.now = max(self.now, self.timer_times.pop(0))
            self._handle(TimerFired(0))
        self.now = event_time
        return self._handle(event)

    def _handle(self, event: Event) -> list[Action]:
        if isinstance(event, TimerFired):
            self.timer_times.clear()
        actions = self.switch.handle(event, self.now)
        self.timer_times += [action.due_ms for action in actions if isinstance(action, SetTimer)]
        self.recorded_actions += [(self.now, action) for action in actions]
        return actions

    def circuits(self, number: int, free_circuits: int, hold_back: float = -1.0) -> list[Action]:
        """Reports the free circuits of an exchange, and its hold-back share as the result of a probe."""
        return self.give(
            Report(exchange(number), hold_back >= 0, True, 0.0, (float(free_circuits), 100.0, hold_back)), 1.0
        )

    def call(self, number: int, width: int = 1, budget_ms: float = 3000.0, transit: bool = False,
             class_index: int = 0) -> tuple[int, list[Action]]:  # fmt: skip
        """Offers a call; returns its number and the resulting actions."""
        self.next_call += 1
        event = CallOffered(self.next_call, number, class_index, width, budget_ms, in_transit=transit)
        return self.next_call, self.give(event)

    def sent(self, call: int) -> list[bytes]:
        """The exchanges that set-ups of this call were sent to, in order."""
        return [a.exchange for _, a in self.recorded_actions if isinstance(a, SetUp) and a.call == call]

    def answers(self, call: int) -> int:
        """How many times this call was refused or failed."""
        return sum(isinstance(a, Refuse | FailCall) and a.call == call for _, a in self.recorded_actions)
