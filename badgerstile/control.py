"""All decisions of a softswitch: admission, routing, pacing and retries of calls.

A call is offered, thinned by the hold-back shares of the exchanges on its path, routed (over the direct trunk
group, else over the tandem with the most free circuits on its first leg), queued while a route may still
become free, tried again after a failed attempt, and answered exactly once.

Events, actions and settings are defined in badgerstile/interface.py. All times are in milliseconds.
"""

from __future__ import annotations

import random
import struct

from badgerstile.interface import (
    Action,
    AttemptEnded,
    AttemptOutcome,
    CallAbandoned,
    CallClass,
    CallEstablished,
    CallOffered,
    Event,
    ExchangeEntry,
    ExchangeList,
    FailCall,
    Health,
    ListKind,
    LoadField,
    LoadReporting,
    PeerMessage,
    Probe,
    Refuse,
    RejectionReason,
    Report,
    SendPeerMessage,
    SetTimer,
    Settings,
    SetUp,
    TimerFired,
    WatchList,
)
from badgerstile.repeats import RepeatSafety

# A wait unit is Softswitch.wait_unit_ms: the time to a retransmission, at most a third of the shortest slo.
STALL_MS = 100.0  # a timer that fires this late means that this softswitch itself was stalled
BUDGET_TOLERANCE_MS = 50.0  # callers' time budgets that differ by less count as equal
MAX_VOTES = 20  # calls with another budget that it takes at most to replace the usual budget
TICK_MS = 100.0  # interval at which queued calls and probes are checked when no other event comes
SHARE_LIFETIME_MS = 5000.0  # a reported share or a latency that is older is ignored
PROBE_INTERVAL_MS = 1000.0  # where load values come with probes only
MAX_PROBERS = 8  # more softswitches than this probe each exchange less often, to limit its probe load
TARGET_WAIT = 0.5  # wait units at which the adapted share is steady: answers queue as set-ups do
SHARE_STEP = 0.4  # change of the adapted share a second, per TARGET_WAIT above or below the target
MAX_WAIT_EXCESS = 4.0  # in TARGET_WAITs: a longer wait does not raise the share faster
FAILED_PROBE_WAIT = 2.0  # wait units that a failed probe counts as
SHED_START_WAIT, SHED_FULL_WAIT = 0.6, 2.4  # wait units at which shedding starts and is full
MIN_ADMITTED = 0.05  # always admitted, so that answers keep showing the state of the exchange
LATENCY_SMOOTHING = 0.3  # weight of a new sample in the moving average: it spans about three answers
INITIAL_WINDOW, MIN_WINDOW, MAX_WINDOW = 4.0, 0.25, 16.0  # pending set-ups to one exchange
WORTH_SMOOTHING = 0.02  # weight of a new call in the distribution of worths: it spans some 50 calls
MAX_RECOVERY_BACKOFF = 4  # longest pause between recovery probes, in multiples of the shortest
RATE_HALF_LIFE_MS, LN2_MS_PER_S = 15000.0, 693.1  # half-life of the rate of calls offered per exchange
COLD_PACE_SAFETY = 0.6  # fraction of the allowed rate multiple that is used towards a cold processor
MIN_COLD_RATE_PER_S = 4.0  # least offered rate, of all softswitches together, that a cold pace assumes
COLD_START_SPREAD = 0.9  # of an slo: the first set-ups to a newly started exchange are spread over it
TRUNK_RESERVATION = 0.1  # of a first leg's circuits: for direct calls and calls without a group of their own
# Two-leg calls are thinned when fewer than two thirds of about 25 attempts succeed.
TANDEM_ADMISSION_FACTOR, TANDEM_SUCCESS_SMOOTHING = 1.5, 0.04
OPEN_LEG_LIFETIME = 0.5  # of a mean holding time: how long a second leg that carried a call counts as open
TANDEM_BACKOFF = (0.2, 1.6)  # shortest and longest, in mean holding times, after it rejected a call
LEGS_LIFETIME_MS = 3000.0  # how long an exchange's report of its free circuits is used
LEG_QUERY_TIMEOUT_MS = 100.0  # wait of a blocked call for such a report; messages take a fraction of it
MAX_REPORTED_LEGS = 60  # groups in one report, so that it fits a message of 256 bytes
MIN_RESTART_MS = 2000.0  # no restart is faster: an exchange that answered since was only unreachable
MAX_GONE_EXCHANGES = 32  # removed exchanges that are remembered in case they return
MAX_UNSERVED = 10_000  # called numbers whose last call failed; then the oldest is forgotten
ANSWER_MARGIN_MS = 60.0  # an answer is given this long before the caller's budget ends


class RemoteExchange:
    """One exchange as seen from here, the own one too: list entry, circuits, hold-back shares, failures."""

    def __init__(self, entry: ExchangeEntry) -> None:
        self.exchange = entry.exchange
        self.number = entry.number
        self.health = entry.health
        self.started_at = 0.0
        self.free_circuits, self.circuits = -1, 0.0  # of its trunk group; free is -1 until reported
        self.reported_share, self.share_reported_at = 0.0, float("-inf")
        self.latency, self.latency_at = 0.0, float("-inf")
        self.pending: dict[int, float] = {}  # call id to the time of its set-up
        self.last_answer_at = float("-inf")
        self.recovery_probe: int | None = None  # id of the call that serves as probe
        self.failures, self.recovery_probe_at, self.failed = 0, float("-inf"), False
        self.next_paced_at = float("-inf")
        self.probed_at = float("-inf")
        self.adapted_share, self.adapted_at = 0.0, float("-inf")
        self.window, self.halved_at, self.window_opens_at = INITIAL_WINDOW, float("-inf"), float("-inf")
        self.tandem_backoff: dict[int, tuple[float, float]] = {}  # by destination: end and length
        self.leg_open_at: dict[int, float] = {}  # by destination: when its leg last carried a new call
        self.legs: dict[int, int] = {}  # its own trunk groups: number at the far end to free circuits
        self.legs_at = self.legs_queried_at = float("-inf")
        self.unanswered_queries = 0
        self.last_sent_at, self.last_sent_width = float("-inf"), 0  # width: sum of the set-ups of that time

    def has_room(self, width: int) -> bool:
        """Whether the trunk group has that many free circuits, or does not report them."""
        return self.free_circuits < 0 or self.free_circuits >= width

    def update_window(self, wait_units: float, latency_ms: float, now: float) -> None:
        """Quick answers widen the window of pending set-ups; slow ones halve it, at most once per latency."""
        if wait_units < 1:
            self.window = min(self.window + 1 / max(self.window, 1), MAX_WINDOW)
        elif wait_units > 2 and now - self.halved_at > latency_ms:
            self.window, self.halved_at = max(self.window / 2, MIN_WINDOW), now
        self.window_opens_at = now + latency_ms * max(1 / self.window - 1, 0.0)

    def window_open(self, now: float) -> bool:
        """Whether the window admits another set-up; below one it spaces single set-ups in time."""
        return len(self.pending) < max(self.window, 1.0) and now >= self.window_opens_at

    def adapt_share(self, wait_in_targets: float, now: float) -> None:
        """Moves the adapted share by how far a wait is from the target.

        The step is weighted by the time since the last one, so that a repeated report counts once.
        """
        elapsed_s = min(now - self.adapted_at, 1000.0) / 1000
        self.adapted_share += SHARE_STEP * elapsed_s * min(wait_in_targets - 1, MAX_WAIT_EXCESS)
        self.adapted_share, self.adapted_at = min(max(self.adapted_share, 0.0), 1.0), now

    def current_adapted_share(self, now: float) -> float:
        """The adapted share; without reports it decays gradually, as a sudden drop would cause a burst."""
        return (
            self.adapted_share - SHARE_STEP * max(now - self.adapted_at - SHARE_LIFETIME_MS / 2, 0.0) / 1000
        )

    def mark_answered(self, now: float) -> None:
        """Called when the exchange proved that it works: ends its failure and the back-off."""
        self.recovery_probe = None
        if self.failed and now - self.last_answer_at > MIN_RESTART_MS:
            # A failed exchange that answers again is treated as cold, even before a list reports its start.
            self.started_at = max(self.started_at, now)
        self.last_answer_at = now
        self.failures, self.failed = 0, False

    def mark_failed(self, now: float, pause_ms: float) -> None:
        """Called when a set-up was cut or found no connection, or a recovery probe timed out; backs off."""
        self.failures, self.failed = self.failures + 1, True
        self.recovery_probe_at = now + pause_ms * min(2 ** (self.failures - 1), MAX_RECOVERY_BACKOFF)


class Call:
    """A call that has not been answered yet."""

    __slots__ = (
        "id", "number", "class_index", "width", "transit", "worth_quantile", "slo_started_at", "slo_at",
        "answer_by", "not_before", "attempts", "pending_exchange", "tried_exchanges", "repeat_safety",
        "advised", "called", "first_tried_at",
    )  # fmt: skip

    def __init__(
        self,
        event: CallOffered,
        now: float,
        first_tried_at: float,
        call_class: CallClass,
        worth_quantile: float,
    ) -> None:
        slo_ms = call_class.slo_ms
        self.called, self.first_tried_at = event.called_number, first_tried_at
        self.id = event.call
        self.number = event.destination
        self.class_index = event.call_class
        self.width = event.width
        self.transit = event.in_transit
        self.advised = -1 if event.in_transit else event.advised_number
        self.worth_quantile = worth_quantile
        self.answer_by = now + event.budget_ms - ANSWER_MARGIN_MS
        past_slo = now - first_tried_at > slo_ms
        self.slo_started_at = now if past_slo else first_tried_at
        self.slo_at = min(self.slo_started_at + slo_ms, self.answer_by - TICK_MS)
        self.not_before = now
        self.attempts = 0
        self.pending_exchange: bytes | None = None
        self.tried_exchanges: list[bytes] = []
        self.repeat_safety = RepeatSafety(call_class)


class Softswitch:
    """The decision logic of one softswitch; it depends on its settings, its seed and its events only."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.exchanges: dict[bytes, RemoteExchange] = {}
        self.by_number: dict[int, RemoteExchange] = {}  # ready exchanges only
        self.peer_by_number: dict[int, int] = {}  # number to the index of its softswitch, as learned
        self.calls: dict[int, Call] = {}
        self.actions: list[Action] = []
        self.timer_set, self.timer_due_at = False, 0.0
        self.resumed_at = float("-inf")  # end of the last stall of this softswitch
        self.stalled_ms = 0.0
        self.tandem_success = 1.0  # moving average: fraction of tandem attempts that succeed
        self.usual_budget: dict[int, tuple[float, int]] = {}  # by class: usual ms of first tries, votes
        self.offered_rates: dict[int, tuple[float, float]] = {}  # by number: calls a second, time of update
        self.started = False
        self.list_request_at: float | None = None
        self.list_retry_ms = settings.list_request_within_ms / 16
        slo_ms = min(c.slo_ms for c in settings.classes)
        self.base_latency = slo_ms  # lowest latency so far: the latency without queueing
        self.wait_unit_ms = min(settings.retransmit_ms or slo_ms, slo_ms / 3)
        self.worth_mix: dict[float, float] = {}  # worth to its fraction of recently offered calls
        self.unserved: dict[int, float] = {}  # called number to the first try of its failed call
        self.own_down_until = float("-inf")
        self.mean_hold_ms = max((c.mean_hold_ms for c in settings.classes), default=0.0) or 10 * slo_ms
        self.probe_interval_ms = PROBE_INTERVAL_MS * max(settings.softswitch_count / MAX_PROBERS, 1.0)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Processes one event and returns the actions that follow from it."""
        self.actions = []
        if self.timer_set and now - self.timer_due_at > STALL_MS:
            self.resumed_at, self.stalled_ms = now, now - self.timer_due_at
        if not self.started:
            self.started = True
            self._request_list()
        match event:
            case ExchangeList():
                self._update_list(event, now)
            case CallOffered():
                self._on_call_offered(event, now)
            case CallEstablished():
                self._on_call_established(event, now)
            case AttemptEnded():
                self._on_attempt_ended(event, now)
            case CallAbandoned(call_id):
                call = self.calls.pop(call_id, None)
                if call is not None:
                    self._remember_unserved(call)
            case Report():
                self._on_report(event, now)
            case PeerMessage(sender, payload):
                self._on_peer_message(sender, payload, now)
            case TimerFired():
                self.timer_set = False
                self._on_tick(now)
            case _:
                pass
        if not self.timer_set:
            self.timer_set, self.timer_due_at = True, now + TICK_MS
            self.actions.append(SetTimer(now + TICK_MS, 0))
        return self.actions

    # --- the list of exchanges ---

    def _request_list(self) -> None:
        self.list_request_at = None
        if self.settings.list_on_request:
            self.actions.append(WatchList())  # always answered, with a list or a failure

    def _update_list(self, event: ExchangeList, now: float) -> None:
        if event.kind is ListKind.FAILED:
            self.list_request_at = now + self.list_retry_ms
            return
        for entry in event.entries:
            remote = self.exchanges.get(entry.exchange)
            if remote is None:
                remote = self.exchanges[entry.exchange] = RemoteExchange(entry)
            remote.number, remote.health = entry.number, entry.health
            if entry.started_ms > remote.started_at:
                remote.started_at = entry.started_ms
                # All softswitches learn of it at once: their first set-ups are spread at random.
                if self._is_cold(remote, now):
                    remote.next_paced_at = (
                        now + self.random.random() * COLD_START_SPREAD * self.settings.classes[0].slo_ms
                    )
        if event.kind is not ListKind.CHANGES:
            listed = {entry.exchange for entry in event.entries}
            for exchange, remote in self.exchanges.items():
                if exchange not in listed:
                    remote.health = Health.REMOVED
        gone = [r for r in self.exchanges.values() if r.health is Health.REMOVED and not r.pending]
        for remote in gone[:-MAX_GONE_EXCHANGES]:  # the oldest entries
            del self.exchanges[remote.exchange]
        self._index_by_number()
        self._retry_queued(now)

    def _index_by_number(self) -> None:
        """Maps each number to its ready exchange; of several, to the one that started last."""
        self.by_number = {}
        for remote in self.exchanges.values():
            best = self.by_number.get(remote.number)
            if remote.health is Health.READY and (best is None or remote.started_at >= best.started_at):
                self.by_number[remote.number] = remote

    # --- shares ---

    def _update_load(self, remote: RemoteExchange, load_values: tuple[float, ...], now: float) -> None:
        load = dict(zip(self.settings.load_fields, load_values, strict=False))
        if load.get(LoadField.FREE_CIRCUITS, -1) >= 0:
            # Set-ups sent at this very time are not yet part of the reported value.
            sent_now = remote.last_sent_width if remote.last_sent_at == now else 0
            remote.free_circuits = max(int(load[LoadField.FREE_CIRCUITS]) - sent_now, 0)
            remote.circuits = load.get(LoadField.GROUP_SIZE, remote.circuits)
        share = -1.0
        if load.get(LoadField.HOLD_BACK, -1) >= 0:
            share = load[LoadField.HOLD_BACK]
        wait = max(
            load.get(LoadField.WAIT_MS, -1.0), load.get(LoadField.QUEUE_LENGTH, -1.0) * self.wait_unit_ms / 10
        )
        if wait >= 0:
            share = max(share, self._share_of_wait(wait))
            self._adapt_share(remote, wait, now)
        if share >= 0:
            remote.reported_share, remote.share_reported_at = min(share, 1.0), now

    def _adapt_share(self, remote: RemoteExchange, wait_ms: float, now: float) -> None:
        remote.adapt_share(wait_ms / (TARGET_WAIT * self.wait_unit_ms), now)

    def _share_of_wait(self, wait_ms: float) -> float:
        low, high = SHED_START_WAIT * self.wait_unit_ms, SHED_FULL_WAIT * self.wait_unit_ms
        return min(max((wait_ms - low) / (high - low), 0.0), 1.0)

    def _share_to(self, remote: RemoteExchange, now: float) -> float:
        """The hold-back share in force towards this exchange: the reported or the adapted one."""
        share = remote.reported_share if now - remote.share_reported_at < SHARE_LIFETIME_MS else 0.0
        return min(max(share, remote.current_adapted_share(now)), 1 - MIN_ADMITTED)

    def _own_share(self, now: float) -> float:
        """The hold-back share of the own processor (on every path), from probes and from the common wait."""
        own, share = self.by_number.get(self.settings.own_number), self._share_of_wait(self._common_wait(now))
        return min(max(share, self._share_to(own, now) if own is not None else 0.0), 1 - MIN_ADMITTED)

    # --- a call ---

    def _on_call_offered(self, event: CallOffered, now: float) -> None:
        service_class = self._class_at(event.call_class)
        first_tried_at = self._estimate_first_try(event, service_class, now)
        past_slo = now - first_tried_at > service_class.slo_ms
        worth = service_class.worth * (service_class.late_worth if past_slo else 1.0)
        for other_worth in self.worth_mix:
            self.worth_mix[other_worth] *= 1 - WORTH_SMOOTHING
        self.worth_mix[worth] = self.worth_mix.get(worth, 0.0) + WORTH_SMOOTHING
        # A hold-back share applies to the quantile: it sheds the calls of least worth first, at random among
        # equals, and in total the fraction of calls that it states.
        below = sum(fraction for other_worth, fraction in self.worth_mix.items() if other_worth < worth)
        worth_quantile = (below + self.random.random() * self.worth_mix[worth]) / sum(self.worth_mix.values())
        call = self.calls[event.call] = Call(event, now, first_tried_at, service_class, worth_quantile)
        # First tries only, so that the rate is the demand for an exchange, also while it is unavailable.
        if first_tried_at == now:
            rate, updated_at = self.offered_rates.get(call.number, (0.0, now))
            self.offered_rates[call.number] = (
                rate * 0.5 ** ((now - updated_at) / RATE_HALF_LIFE_MS) + LN2_MS_PER_S / RATE_HALF_LIFE_MS,
                now,
            )
        self._decide(call, now)

    def _class_at(self, index: int) -> CallClass:
        known_classes = self.settings.classes
        return known_classes[index if index < len(known_classes) else 0]

    def _estimate_first_try(self, event: CallOffered, service_class: CallClass, now: float) -> float:
        """The time of the caller's first try: a call to a number whose last call failed counts as a redial.

        Many callers of one number look the same, but its lines are busy then, whatever the calls are worth.
        """
        if event.in_transit:
            return now
        first_tried_at = (
            self.unserved.pop(event.called_number, float("-inf")) if event.called_number else float("-inf")
        )
        for called, tried_at in list(self.unserved.items())[:2]:  # the two oldest, as a call adds at most one
            if now - tried_at > 2 * service_class.deadline_ms:
                del self.unserved[called]
        if now - first_tried_at < service_class.deadline_ms:
            return first_tried_at
        if event.is_redial:
            return now - 2 * service_class.slo_ms
        usual_budget, votes = self.usual_budget.get(event.call_class, (event.budget_ms, 0))
        # The call waited during the stall of this softswitch, by as much as its budget is shorter than usual.
        if now == self.resumed_at:
            waited = usual_budget - event.budget_ms
            return now - waited if 0 < waited < self.stalled_ms + TICK_MS else now
        votes += 1 if abs(event.budget_ms - usual_budget) < BUDGET_TOLERANCE_MS else -1
        self.usual_budget[event.call_class] = (
            (usual_budget, min(votes, MAX_VOTES)) if votes >= 0 else (event.budget_ms, 1)
        )
        return now

    def _remember_unserved(self, call: Call) -> None:
        if not call.transit and call.called:
            self.unserved.pop(call.called, None)  # the order of the entries is that of their calls
            self.unserved[call.called] = call.first_tried_at
            if len(self.unserved) > MAX_UNSERVED:
                del self.unserved[next(iter(self.unserved))]

    def _decide(self, call: Call, now: float) -> None:
        """Sends the call if a route is free, queues it while one may become free in time, else refuses it."""
        if now < call.not_before and call.not_before < call.slo_at:
            return
        remote = None
        if now >= call.not_before and call.attempts < self.settings.max_attempts and now < call.answer_by:
            remote = self._select_route(call, now)
        if remote is not None:
            self._send_set_up(call, remote, now)
        elif call.transit or now >= call.slo_at or call.attempts >= self.settings.max_attempts:
            self._refuse(call)

    def _select_route(self, call: Call, now: float) -> RemoteExchange | None:
        remote = self.by_number.get(call.number)
        if call.number == self.settings.own_number:
            # Handed over while the own exchange of the caller starts: no trunk group leads to the own number,
            # but two legs over a tandem do.
            blocked = call.transit or now < self.own_down_until
            return None if blocked else self._overflow_route(call, None, now)
        if call.transit:
            if (
                remote is None
                or call.attempts
                or not remote.has_room(call.width)
                or self._paused(remote, now)
            ):
                return None
            return remote
        if now < self.own_down_until:
            return None
        if remote is None or call.worth_quantile < max(self._share_to(remote, now), self._own_share(now)):
            return None if self.settings.mesh else self._overflow_route(call, remote, now)
        if (
            now > call.slo_started_at
            and call.slo_at - now < remote.latency
            and now - remote.latency_at < SHARE_LIFETIME_MS
        ):
            return None  # too late: it would be established after its slo
        if not self._paused(remote, now) and remote.window_open(now):
            eligible = self.settings.mesh or remote.number in (
                self._class_at(call.class_index).pools or (remote.number,)
            )
            if eligible and remote.has_room(call.width) and remote.exchange not in call.tried_exchanges:
                return remote
        elif self.settings.mesh:
            return None  # the destination has no capacity, over any route
        if self.settings.mesh and self._query_legs(remote, now):
            return None
        return self._overflow_route(call, remote, now)

    def _overflow_route(self, call: Call, target: RemoteExchange | None, now: float) -> RemoteExchange | None:
        """The tandem with the most free circuits on its first leg, or the alternate pool with the most.

        A tandem whose second leg is known to be open (it was advised, reported or lately carried a call)
        goes first. Calls that overflow from a direct trunk group leave the trunk reservation free.
        """
        allowed_pools = self._class_at(call.class_index).pools
        has_direct_group = self.settings.mesh and target is not None and target.circuits > 0
        legs = target.legs if target is not None and now - target.legs_at < LEGS_LIFETIME_MS else None
        if self.settings.mesh and call.worth_quantile < 1 - TANDEM_ADMISSION_FACTOR * self.tandem_success:
            return None
        best, best_key = None, (-1, -1.0)
        for remote in self.exchanges.values():
            required = call.width + (TRUNK_RESERVATION * remote.circuits if has_direct_group else 0)
            leg_open = (
                now - remote.leg_open_at.get(call.number, float("-inf"))
                < self.mean_hold_ms * OPEN_LEG_LIFETIME
            )
            if remote.number == call.advised or target is not None and remote.number in target.legs:
                leg_open = True
            key = (int(leg_open), float(remote.free_circuits))
            if (
                key > best_key
                and remote.free_circuits >= required
                and remote.health is Health.READY
                and remote.number not in (call.number, self.settings.own_number)
                and (self.settings.mesh or not allowed_pools or remote.number in allowed_pools)
                and remote.exchange not in call.tried_exchanges
                and (legs is None or legs.get(remote.number, 0) >= call.width)
                and now >= remote.tandem_backoff.get(call.number, (now, 0.0))[0]
                and call.worth_quantile >= self._share_to(remote, now)
                and remote.window_open(now)
                and not self._is_cold(remote, now)
                and not self._paused(remote, now)
            ):
                best, best_key = remote, key
        return best

    def _paused(self, remote: RemoteExchange, now: float) -> bool:
        return self._awaits_recovery(remote, now) or not self._pace_allows(remote, now)

    def _awaits_recovery(self, remote: RemoteExchange, now: float) -> bool:
        """Whether a failed exchange takes no set-up now: it gets single recovery probes with growing pauses.

        Guards against bursts of immediate failures, which change neither a hold-back share nor the window.
        """
        return remote.failed and (now < remote.recovery_probe_at or remote.recovery_probe in self.calls)

    def _send_set_up(self, call: Call, remote: RemoteExchange, now: float) -> None:
        call.attempts += 1
        call.pending_exchange = remote.exchange
        remote.pending[call.id] = now
        if remote.failed:
            remote.recovery_probe = call.id
        pace = self._cold_pace(remote, now)
        if pace:
            remote.next_paced_at = now + 1000.0 / pace
        remote.last_sent_width = call.width + (remote.last_sent_width if remote.last_sent_at == now else 0)
        remote.last_sent_at = now
        remote.free_circuits = (
            max(remote.free_circuits - call.width, 0) if remote.free_circuits >= 0 else remote.free_circuits
        )
        wait = min(max(call.slo_at - now, self.wait_unit_ms), call.answer_by - now)
        self.actions.append(SetUp(call.id, remote.exchange, wait))

    def _refuse(self, call: Call) -> None:
        del self.calls[call.id]
        self._remember_unserved(call)
        advice = self.settings.max_retry_after_ms if self.settings.sends_retry_after else 0.0
        harmless = call.repeat_safety.refusal_is_harmless
        self.actions.append(Refuse(call.id, advice) if harmless else FailCall(call.id, advice))

    # --- peer messages: free circuits of second legs, which only the destination knows ---

    def _query_legs(self, target: RemoteExchange, now: float) -> bool:
        """Asks the destination of a blocked call for its free circuits; true while the call should wait.

        The answer is optional: after two queries without an answer no call waits for the next one.
        """
        if not self.settings.may_message or now - target.legs_at < LEGS_LIFETIME_MS:
            return False
        if now - target.legs_queried_at >= LEGS_LIFETIME_MS:
            target.legs_queried_at, target.unanswered_queries = now, target.unanswered_queries + 1
            peer = self.peer_by_number.get(target.number, target.number)
            self.actions.append(SendPeerMessage(peer, struct.pack(">cH", b"?", target.number)))
        return target.unanswered_queries <= 2 and now - target.legs_queried_at < LEG_QUERY_TIMEOUT_MS

    def _on_peer_message(self, sender: int, payload: bytes, now: float) -> None:
        """Handles a query (?) or a report (!) of free circuits; ignores anything else and unknown senders."""
        if not self.settings.may_message or sender >= self.settings.softswitch_count or len(payload) < 3:
            return
        code, number = struct.unpack_from(">cH", payload)
        if code == b"?" and number == self.settings.own_number:
            groups = [
                r for r in self.by_number.values() if r.circuits > 0 and r.number != self.settings.own_number
            ]
            groups.sort(key=lambda remote: -remote.free_circuits)
            entries = [
                struct.pack(">HB", r.number, min(r.free_circuits, 255)) for r in groups[:MAX_REPORTED_LEGS]
            ]
            self.actions.append(SendPeerMessage(sender, struct.pack(">cH", b"!", number) + b"".join(entries)))
        elif code == b"!" and len(payload) % 3 == 0 and number in self.by_number:
            remote = self.by_number[number]
            remote.legs = dict(struct.iter_unpack(">HB", payload[3:]))
            remote.legs_at, remote.unanswered_queries = now, 0
            self.peer_by_number[number] = sender
            self._retry_queued(now, number)

    # --- cold processors ---

    def _is_cold(self, remote: RemoteExchange, now: float) -> bool:
        return remote.started_at > 0 and now - remote.started_at < self.settings.cold_ramp_ms

    def _cold_pace(self, remote: RemoteExchange, now: float) -> float:
        """Set-ups a second that this softswitch may send to a cold processor; 0 when it is not cold."""
        if not self._is_cold(remote, now):
            return 0.0
        progress = max(now - remote.started_at, 0.0) / self.settings.cold_ramp_ms
        ramp = self.settings.cold_initial_share + (1 - self.settings.cold_initial_share) * progress
        rate, _ = self.offered_rates.get(remote.number, (0.0, now))
        min_rate = MIN_COLD_RATE_PER_S / max(self.settings.softswitch_count, 1)
        return max(rate, min_rate) * ramp * max(self.settings.overload_multiple * COLD_PACE_SAFETY, 0.5)

    def _pace_allows(self, remote: RemoteExchange, now: float) -> bool:
        return now >= remote.next_paced_at or not self._is_cold(remote, now)

    # --- outcomes of attempts, and load reports ---

    def _on_call_established(self, event: CallEstablished, now: float) -> None:
        call = self.calls.pop(event.call, None)
        remote = self.exchanges.get(event.exchange)
        if remote is None:
            return
        remote.pending.pop(event.call, None)
        remote.mark_answered(now)
        self._retry_queued(now, remote.number)
        if call is not None and call.number != remote.number and self.settings.mesh:
            remote.tandem_backoff.pop(call.number, None)
            remote.leg_open_at[call.number] = now
            self.tandem_success += (1 - self.tandem_success) * TANDEM_SUCCESS_SMOOTHING
            return  # the latency of two processors says little of either
        self.base_latency = min(self.base_latency, event.latency_ms)
        self._update_latency(remote, event.latency_ms, now)

    def _update_latency(self, remote: RemoteExchange, latency_ms: float, now: float) -> None:
        # Latencies that were measured across an own stall say nothing about the exchange.
        if now == self.resumed_at:
            return
        recent = now - remote.latency_at < SHARE_LIFETIME_MS
        remote.latency += (latency_ms - remote.latency) * (LATENCY_SMOOTHING if recent else 1.0)
        remote.latency_at = now
        remote.update_window((latency_ms - self.base_latency) / self.wait_unit_ms, latency_ms, now)
        own = self.by_number.get(self.settings.own_number)
        if own is not None:
            self._adapt_share(own, self._common_wait(now) / 2, now)

    def _common_wait(self, now: float) -> float:
        """The wait common to recent latencies to all exchanges: the own processor, as it is on every path."""
        latencies = [r.latency for r in self.exchanges.values() if now - r.latency_at < SHARE_LIFETIME_MS / 2]
        return min(latencies) - self.base_latency if len(latencies) > 1 else 0.0

    def _on_attempt_ended(self, event: AttemptEnded, now: float) -> None:
        remote = self.exchanges.get(event.exchange)
        call = self.calls.get(event.call)
        if remote is not None:
            self._record_outcome(remote, call, event, now)
        if call is not None:
            self._continue_call(remote, call, event, now)

    def _record_outcome(
        self, remote: RemoteExchange, call: Call | None, event: AttemptEnded, now: float
    ) -> None:
        """Updates the view of the exchange that a failed attempt went to."""
        self._update_load(remote, event.load_values, now)
        sent_at = remote.pending.pop(event.call, None)
        direct = call is None or call.number == remote.number
        processor_full = (
            event.reason is RejectionReason.PROCESSOR_FULL and event.outcome is AttemptOutcome.TURNED_BACK
        )
        overloaded = processor_full or event.outcome is AttemptOutcome.TIMED_OUT
        if overloaded and direct:  # the wait would have been at least this long
            min_latency = max(
                event.latency_ms, remote.latency, self.base_latency + SHED_FULL_WAIT * self.wait_unit_ms
            )
            self._update_latency(remote, min_latency, now)
        if remote.recovery_probe == event.call:
            remote.recovery_probe = None
        connection_lost = event.outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.CUT)
        failed = connection_lost and sent_at is not None and remote.last_answer_at < sent_at
        if failed or remote.failed and event.outcome is AttemptOutcome.TIMED_OUT:
            if direct or event.outcome is not AttemptOutcome.CUT:
                remote.mark_failed(now, self.wait_unit_ms)
        elif (
            event.outcome is AttemptOutcome.TURNED_BACK
            and not overloaded
            or event.outcome is AttemptOutcome.ERROR
        ):
            # The end of an established call does not show that the exchange works, nor does a full processor.
            remote.mark_answered(now)

    def _continue_call(
        self, remote: RemoteExchange | None, call: Call, event: AttemptEnded, now: float
    ) -> None:
        """Concludes the call, tries it again once its attempt is released, or refuses it."""
        call.pending_exchange = None
        if event.call_ended:
            del self.calls[call.id]
            self._remember_unserved(call)
            return
        if event.outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CUT, AttemptOutcome.CANCELLED):
            call.not_before = now + self.settings.release_wait_ms
        call.repeat_safety.attempt_ended(event.outcome, event.was_sent)
        if remote is not None and remote.number != call.number:
            self._back_off_tandem(remote, call, now)
        elif event.reason is RejectionReason.NO_CIRCUIT and event.outcome is not AttemptOutcome.NOT_SENT:
            call.tried_exchanges.append(event.exchange)
        if event.reason is RejectionReason.PROCESSOR_FULL and event.outcome is AttemptOutcome.NOT_SENT:
            self.own_down_until = now + 2 * self.wait_unit_ms  # all calls wait for the own processor
        not_retryable = event.outcome is not AttemptOutcome.NOT_SENT and event.reason in (
            RejectionReason.LINES_BUSY, RejectionReason.PROCESSOR_FULL, RejectionReason.TANDEM_FAR_FULL
        )  # fmt: skip
        if not_retryable or not call.repeat_safety.may_be_sent_again or call.transit:
            self._refuse(call)
        else:
            self._decide(call, now)

    def _back_off_tandem(self, remote: RemoteExchange, call: Call, now: float) -> None:
        """Excludes a tandem that failed a call from routes to that destination, with exponential back-off."""
        call.tried_exchanges.append(remote.exchange)
        self.tandem_success -= self.tandem_success * TANDEM_SUCCESS_SMOOTHING
        last = remote.tandem_backoff.get(call.number, (0.0, self.mean_hold_ms * TANDEM_BACKOFF[0] / 2))[1]
        pause = min(2 * last, self.mean_hold_ms * TANDEM_BACKOFF[1])
        remote.tandem_backoff[call.number] = (now + pause, pause)
        remote.leg_open_at.pop(call.number, None)

    def _on_report(self, event: Report, now: float) -> None:
        remote = self.exchanges.get(event.exchange)
        if remote is None:
            return
        # A probe waits in the same queue as set-ups: its latency or failure shows the load of the processor.
        if event.probed:
            self._adapt_share(
                remote, event.latency_ms if event.succeeded else FAILED_PROBE_WAIT * self.wait_unit_ms, now
            )
        if event.succeeded:
            self._update_load(remote, event.load_values, now)
            if not event.probed:
                self._retry_queued(now, remote.number)

    # --- timers ---

    def _retry_queued(self, now: float, number: int | None = None) -> None:
        """Decides again on queued calls: those for one exchange after it changed, all of them at a tick."""
        queued = [c for c in self.calls.values() if c.pending_exchange is None and number in (None, c.number)]
        for call in queued:
            self._decide(call, now)

    def _on_tick(self, now: float) -> None:
        if self.list_request_at is not None and now > self.list_request_at:
            self._request_list()
        if self.settings.may_probe and self.settings.load_reporting is not LoadReporting.NONE:
            probes_only = self.settings.load_reporting is LoadReporting.WHEN_PROBED
            for remote in self.exchanges.values():
                is_own = remote.number == self.settings.own_number  # no other softswitch probes it
                interval = PROBE_INTERVAL_MS if is_own else self.probe_interval_ms
                in_use = is_own or probes_only and now - remote.last_sent_at < 2 * interval
                if remote.health is Health.READY and in_use and now - remote.probed_at >= interval:
                    remote.probed_at = now
                    self.actions.append(Probe(remote.exchange))
        self._retry_queued(now)
