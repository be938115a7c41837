"""Every decision of a softswitch. Events, actions and settings are defined in badgerstile/interface.py.

In the order of a call's life: offered, thinned by the hold-back shares on its path, routed (direct, else over
the tandem whose first leg is freest), held while a route may still come free, tried again, and answered once.
"""

from __future__ import annotations

import random
import struct

from badgerstile.interface import (
    Action,
    AttemptEnded,
    CallClass,
    CallerLeft,
    CallOffered,
    CallStands,
    Ending,
    Event,
    ExchangeList,
    Figure,
    FollowList,
    GiveUp,
    Health,
    Listed,
    ListKind,
    PeerMessage,
    Probe,
    Reason,
    Refuse,
    Repeat,
    Report,
    Reports,
    Settings,
    SetUp,
    Tell,
    WakeAt,
    Woken,
)

STALL_MS = 100.0  # a wake so much later than asked: this softswitch itself stood still
BUDGET_TOLERANCE_MS = 50.0  # callers' times nearer than this are the same
MAX_BUDGET_VOTES = 20  # callers of another time than usual that make theirs the usual_budget one
TICK_MS = 100.0  # how often held calls and silent exchanges are looked at when nothing else happens
SHARE_LIFETIME_MS = 5000.0  # a share not heard again for so long is forgotten (the design's default)
PROBE_INTERVAL_MS = 1000.0  # where only probes tell, ask about once a second (the design's default)
MAX_PROBERS = (
    8  # senders that may probe one exchange so often; more of them ask more rarely, for its work's sake
)
TARGET_WAIT = 0.5  # wait, in retransmission times, at which a mapped share stays: answers wait as set-ups do
SHARE_STEP_PER_S = 0.4  # by which a mapped share moves in a second, for each target of wait above or below
MAX_WAIT_EXCESS = 4.0  # targets above: more does not step faster
FAILED_PROBE_WAIT = 2.0  # a failed probe counts as a wait of so many retransmission times
SHED_START_WAIT, SHED_FULL_WAIT = (
    0.6,
    2.4,
)  # in retransmission times: a far wait from which thinning starts, and is full
MIN_ADMITTED_SHARE = 0.05  # always left through, so that answers keep telling how the far end does
LATENCY_SMOOTHING = 0.3  # weight of a new latency sample: about three answers decide
INITIAL_WINDOW, MIN_WINDOW, MAX_WINDOW = 4.0, 0.25, 16.0  # unanswered set-ups towards one exchange
WORTH_SMOOTHING = 0.02  # weight of a new call in the mix of worths offered: some fifty calls decide
MAX_RECOVERY_BACKOFF = 4  # trials of a dead exchange come no rarer than this many times the shortest pause
RATE_HALF_LIFE_MS, LN2_MS_PER_S = 15000.0, 693.1  # half-life of the rate at which calls for an exchange come
COLD_PACE_SAFETY = 0.6  # part of the allowed multiple that is used towards a cold processor
MIN_COLD_RATE_PER_S = (
    4.0  # calls a second, from all softswitches together, on which a cold pace is based at least
)
COLD_START_SPREAD = 0.9  # of an aim, over which the first set-ups to a newly started exchange are spread
TRUNK_RESERVATION = (
    0.1  # of a first leg's circuits, which only direct calls and those without a group may take
)
TANDEM_ADMISSION_FACTOR, TANDEM_SUCCESS_SMOOTHING = (
    1.5,
    0.04,
)  # two-leg calls are thinned when under two thirds of some 25 attempts stand
SECOND_LEG_LIFETIME = (
    0.5  # of a mean call: so long a second leg is held to be open after a call stood over it
)
TANDEM_BACKOFF = (
    0.2,
    1.6,
)  # of a mean call, first and longest: a tandem that turned a call back is left alone
LEG_REPORT_LIFETIME_MS = 3000.0  # what a far exchange told of its free circuits is used for so long
LEG_QUERY_TIMEOUT_MS = (
    100.0  # a blocked call waits so long for such an answer; messages take a fraction of it
)
MAX_REPORTED_LEGS = 60  # freest groups named in one answer: they fit the 256 bytes of a message
MIN_RESTART_MS = 2000.0  # no processor starts again so fast: who answered since was only cut off from here
MAX_GONE_EXCHANGES = 32  # exchanges that are gone and still known, in case they come back
ANSWER_MARGIN_MS = 60.0  # an answer is given so long before the caller's time is up


class RemoteExchange:
    """One exchange as seen from here: its place in the list, its circuits, its shares and its silence."""

    def __init__(self, entry: Listed) -> None:
        self.exchange = entry.exchange
        self.number = entry.number
        self.health = entry.health
        self.started_at = 0.0
        self.free_circuits, self.group_size = -1, 0.0
        self.reported_share, self.share_reported_at = 0.0, float("-inf")
        self.latency, self.latency_at = 0.0, float("-inf")
        self.pending: dict[int, float] = {}
        self.last_answer_at = float("-inf")
        self.recovery_probe: int | None = None
        self.failures, self.recovery_probe_at, self.failed = 0, float("-inf"), False
        self.next_paced_at = float("-inf")
        self.probed_at = float("-inf")
        self.adapted_share, self.adapted_at = 0.0, float("-inf")
        self.window, self.halved_at, self.window_opens_at = INITIAL_WINDOW, float("-inf"), float("-inf")
        self.tandem_backoff: dict[int, tuple[float, float]] = {}
        self.second_leg_open_at: dict[int, float] = {}
        self.reported_legs: dict[int, int] = {}  # its own free circuits, as it told them
        self.legs_reported_at = self.legs_queried_at = float("-inf")
        self.unanswered_queries = 0
        self.last_sent_at, self.last_sent_width = float("-inf"), 0

    def has_room(self, width: int) -> bool:
        return self.free_circuits < 0 or self.free_circuits >= width

    def update_window(self, wait_steps: float, latency_ms: float, now: float) -> None:
        """The window of unanswered set-ups: quick answers widen it, slow ones halve it once per latency."""
        if wait_steps < 1:
            self.window = min(self.window + 1 / max(self.window, 1), MAX_WINDOW)
        elif wait_steps > 2 and now - self.halved_at > latency_ms:
            self.window, self.halved_at = max(self.window / 2, MIN_WINDOW), now
        self.window_opens_at = now + latency_ms * max(1 / self.window - 1, 0.0)

    def window_open(self, now: float) -> bool:
        return len(self.pending) < max(self.window, 1.0) and now >= self.window_opens_at

    def adapt_share(self, wait_in_targets: float, now: float) -> None:
        """Steps the mapped share by a wait, in targets; weighed by time: repeats of one report count once."""
        elapsed_s = min(now - self.adapted_at, 1000.0) / 1000
        self.adapted_share += SHARE_STEP_PER_S * elapsed_s * min(wait_in_targets - 1, MAX_WAIT_EXCESS)
        self.adapted_share, self.adapted_at = min(max(self.adapted_share, 0.0), 1.0), now

    def current_adapted_share(self, now: float) -> float:
        """The mapped share; it falls gradually when nothing more is heard, so that no burst follows."""
        return (
            self.adapted_share
            - SHARE_STEP_PER_S * max(now - self.adapted_at - SHARE_LIFETIME_MS / 2, 0.0) / 1000
        )

    def mark_answered(self, now: float) -> None:
        self.recovery_probe = None
        if self.failed and now - self.last_answer_at > MIN_RESTART_MS:
            # whatever comes back from the dead starts cold, even if no list has told so yet
            self.started_at = max(self.started_at, now)
        self.last_answer_at = now
        self.failures, self.failed = 0, False

    def mark_failed(self, now: float, pause_ms: float) -> None:
        """A set-up was cut or found no connection, or a trial got no answer: the processor is gone."""
        self.failures, self.failed = self.failures + 1, True
        self.recovery_probe_at = now + pause_ms * min(2 ** (self.failures - 1), MAX_RECOVERY_BACKOFF)


class Call:
    """A call that is owed an answer."""

    __slots__ = (
        "id", "number", "kind", "width", "transit", "roll", "came_at", "aim_at", "end_at", "not_before",
        "attempts", "out", "tried", "may_have_run", "advised", "called", "first_at",
    )  # fmt: skip

    def __init__(self, event: CallOffered, now: float, first_at: float, aim_ms: float, roll: float) -> None:
        self.called, self.first_at = event.called, first_at
        self.id = event.call
        self.number = event.destination
        self.kind = event.call_class
        self.width = event.width
        self.transit = event.in_transit
        self.advised = -1 if event.in_transit else event.advised
        self.roll = roll
        self.end_at = now + event.budget_ms - ANSWER_MARGIN_MS
        late = now - first_at > aim_ms
        self.came_at = now if late else first_at
        self.aim_at = min(self.came_at + aim_ms, self.end_at - TICK_MS)
        self.not_before = now
        self.attempts = 0
        self.out: bytes | None = None
        self.tried: list[bytes] = []
        self.may_have_run = False


class Softswitch:
    """The decisions of one softswitch, which knows nothing but its own settings and events."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.exchanges: dict[bytes, RemoteExchange] = {}
        self.ready_by_number: dict[int, RemoteExchange] = {}
        self.peer_by_number: dict[int, int] = {}
        self.calls: dict[int, Call] = {}
        self.actions: list[Action] = []
        self.timer_set, self.timer_due_at = False, 0.0
        self.resumed_at = float("-inf")  # the end of the last standstill of its own
        self.stalled_ms = 0.0
        self.tandem_success = 1.0  # part of the attempts over tandems that stand
        self.usual_budget: dict[int, tuple[float, int]] = {}  # the time that first tries of a class come with
        self.offered_rates: dict[int, tuple[float, float]] = {}
        self.started = False
        self.list_request_at: float | None = None
        self.list_retry_ms = settings.ask_within_ms / 16
        aim_ms = min(c.aim_ms for c in settings.classes)
        self.base_latency = aim_ms
        self.wait_unit_ms = min(settings.retransmit_ms or aim_ms, aim_ms / 3)
        self.worth_mix: dict[float, float] = {}  # parts of the worths in the calls offered of late
        self.unserved: dict[int, float] = {}  # numbers whose call got nowhere, and when it was first made
        self.own_down_until = float("-inf")
        self.mean_hold_ms = max((c.hold_ms for c in settings.classes), default=0.0) or 10 * aim_ms
        self.probe_interval_ms = PROBE_INTERVAL_MS * max(settings.softswitches / MAX_PROBERS, 1.0)

    def handle(self, event: Event, now: float) -> list[Action]:
        self.actions = []
        if self.timer_set and now - self.timer_due_at > STALL_MS:
            self.resumed_at, self.stalled_ms = now, now - self.timer_due_at
        if not self.started:
            self.started = True
            self._ask_list()
        match event:
            case ExchangeList():
                self._list(event, now)
            case CallOffered():
                self._offered(event, now)
            case CallStands():
                self._stands(event, now)
            case AttemptEnded():
                self._ended(event, now)
            case CallerLeft(name):
                call = self.calls.pop(name, None)
                if call is not None:
                    self._got_nowhere(call)
            case Report():
                self._report(event, now)
            case PeerMessage(sender, payload):
                self._message(sender, payload, now)
            case Woken():
                self.timer_set = False
                self._tick(now)
            case _:
                pass
        if not self.timer_set:
            self.timer_set, self.timer_due_at = True, now + TICK_MS
            self.actions.append(WakeAt(now + TICK_MS, 0))
        return self.actions

    # --- the list of exchanges ---

    def _ask_list(self) -> None:
        self.list_request_at = None
        if self.settings.list_on_request:
            self.actions.append(FollowList())  # always answered, by a list or by a failure

    def _list(self, event: ExchangeList, now: float) -> None:
        if event.kind is ListKind.FAILED:
            self.list_request_at = now + self.list_retry_ms
            return
        for entry in event.entries:
            remote = self.exchanges.get(entry.exchange)
            if remote is None:
                remote = self.exchanges[entry.exchange] = RemoteExchange(entry)
            remote.number, remote.health = entry.number, entry.health
            if entry.came_up_ms > remote.started_at:
                remote.started_at = entry.came_up_ms
                if self._cold(
                    remote, now
                ):  # all hear of it at once: their first set-ups are spread at random
                    remote.next_paced_at = (
                        now + self.random.random() * COLD_START_SPREAD * self.settings.classes[0].aim_ms
                    )
        if event.kind is not ListKind.CHANGES:
            named = {entry.exchange for entry in event.entries}
            for exchange, remote in self.exchanges.items():
                if exchange not in named:
                    remote.health = Health.GONE
        gone = [
            remote
            for remote in self.exchanges.values()
            if remote.health is Health.GONE and not remote.pending
        ]
        for remote in gone[:-MAX_GONE_EXCHANGES]:  # those that were met first
            del self.exchanges[remote.exchange]
        self._index()
        self._retry_held(now)

    def _index(self) -> None:
        """Which exchange now has a number: the ready one that came up last."""
        self.ready_by_number = {}
        for remote in self.exchanges.values():
            best = self.ready_by_number.get(remote.number)
            if remote.health is Health.READY and (best is None or remote.started_at >= best.started_at):
                self.ready_by_number[remote.number] = remote

    # --- shares ---

    def _figures(self, remote: RemoteExchange, figures: tuple[float, ...], now: float) -> None:
        told = dict(zip(self.settings.figures, figures, strict=False))
        if told.get(Figure.FREE_CIRCUITS, -1) >= 0:
            taken = (
                remote.last_sent_width if remote.last_sent_at == now else 0
            )  # sent since this figure was true
            remote.free_circuits = max(int(told[Figure.FREE_CIRCUITS]) - taken, 0)
            remote.group_size = told.get(Figure.GROUP_SIZE, remote.group_size)
        share = -1.0
        if told.get(Figure.HOLD_BACK, -1) >= 0:
            share = told[Figure.HOLD_BACK]
        wait = max(told.get(Figure.WAIT_MS, -1.0), told.get(Figure.QUEUE, -1.0) * self.wait_unit_ms / 10)
        if wait >= 0:
            share = max(share, self._share_of_wait(wait))
            self._heed(remote, wait, now)
        if share >= 0:
            remote.reported_share, remote.share_reported_at = min(share, 1.0), now

    def _heed(self, remote: RemoteExchange, wait_ms: float, now: float) -> None:
        remote.adapt_share(wait_ms / (TARGET_WAIT * self.wait_unit_ms), now)

    def _share_of_wait(self, wait_ms: float) -> float:
        low, high = SHED_START_WAIT * self.wait_unit_ms, SHED_FULL_WAIT * self.wait_unit_ms
        return min(max((wait_ms - low) / (high - low), 0.0), 1.0)

    def _share(self, remote: RemoteExchange, now: float) -> float:
        """The hold-back share that counts for this exchange now."""
        share = remote.reported_share if now - remote.share_reported_at < SHARE_LIFETIME_MS else 0.0
        return min(max(share, remote.current_adapted_share(now)), 1 - MIN_ADMITTED_SHARE)

    def _own_share(self, now: float) -> float:
        """The own processor is on every path: its probed share, or else what latencies have in common."""
        own, share = self.ready_by_number.get(self.settings.here), self._share_of_wait(self._common_wait(now))
        return min(max(share, self._share(own, now) if own is not None else 0.0), 1 - MIN_ADMITTED_SHARE)

    # --- a call ---

    def _offered(self, event: CallOffered, now: float) -> None:
        kind = self._kind(event.call_class)
        first_at = self._first_try(event, kind, now)
        late = now - first_at > kind.aim_ms
        worth = kind.worth * (kind.late_worth if late else 1.0)
        for level in self.worth_mix:
            self.worth_mix[level] *= 1 - WORTH_SMOOTHING
        self.worth_mix[worth] = self.worth_mix.get(worth, 0.0) + WORTH_SMOOTHING
        # a share holds back the least worth first, at random among equals, and as much of the mix as it says
        below = sum(part for level, part in self.worth_mix.items() if level < worth)
        roll = (below + self.random.random() * self.worth_mix[worth]) / sum(self.worth_mix.values())
        call = self.calls[event.call] = Call(event, now, first_at, kind.aim_ms, roll)
        if first_at == now:  # first tries only: what is wanted of an exchange, also while it is away
            rate, at = self.offered_rates.get(call.number, (0.0, now))
            self.offered_rates[call.number] = (
                rate * 0.5 ** ((now - at) / RATE_HALF_LIFE_MS) + LN2_MS_PER_S / RATE_HALF_LIFE_MS,
                now,
            )
        self._decide(call, now)

    def _kind(self, index: int) -> CallClass:
        kinds = self.settings.classes
        return kinds[index if index < len(kinds) else 0]

    def _first_try(self, event: CallOffered, kind: CallClass, now: float) -> float:
        """When this caller first tried: a number that got nowhere lately and is called again is a redial.

        A number that many call at once looks the same; its lines are busy then, whatever its calls are worth.
        """
        if event.in_transit:
            return now
        first_at = self.unserved.pop(event.called, float("-inf")) if event.called else float("-inf")
        for called, at in list(self.unserved.items())[:2]:  # the oldest, two for each that may be added
            if now - at > 2 * kind.deadline_ms:
                del self.unserved[called]
        if now - first_at < kind.deadline_ms:
            return first_at
        if event.redialled:
            return now - 2 * kind.aim_ms
        usual_budget, votes = self.usual_budget.get(event.call_class, (event.budget_ms, 0))
        if (
            now == self.resumed_at
        ):  # it waited for this softswitch, by as much as its time is shorter than usual
            waited = usual_budget - event.budget_ms
            return now - waited if 0 < waited < self.stalled_ms + TICK_MS else now
        votes += 1 if abs(event.budget_ms - usual_budget) < BUDGET_TOLERANCE_MS else -1
        self.usual_budget[event.call_class] = (
            (usual_budget, min(votes, MAX_BUDGET_VOTES)) if votes >= 0 else (event.budget_ms, 1)
        )
        return now

    def _got_nowhere(self, call: Call) -> None:
        if not call.transit and call.called:
            self.unserved[call.called] = call.first_at

    def _decide(self, call: Call, now: float) -> None:
        """Sends the call if a route is open to it, holds it while one may open in time, else answers it."""
        if now < call.not_before and call.not_before < call.aim_at:
            return
        remote = None
        if now >= call.not_before and call.attempts < self.settings.max_attempts and now < call.end_at:
            remote = self._route(call, now)
        if remote is not None:
            self._send(call, remote, now)
        elif call.transit or now >= call.aim_at or call.attempts >= self.settings.max_attempts:
            self._turn_away(call)

    def _route(self, call: Call, now: float) -> RemoteExchange | None:
        remote = self.ready_by_number.get(call.number)
        if call.number == self.settings.here:
            # handed over while the caller's own exchange starts: no group leads home, a tandem's two legs do
            blocked = call.transit or now < self.own_down_until
            return None if blocked else self._alternate(call, None, now)
        if call.transit:
            if (
                remote is None
                or call.attempts
                or not remote.has_room(call.width)
                or self._barred(remote, now)
            ):
                return None
            return remote
        if now < self.own_down_until:
            return None
        if remote is None or call.roll < max(self._share(remote, now), self._own_share(now)):
            return None if self.settings.mesh else self._alternate(call, remote, now)
        if (
            now > call.came_at
            and call.aim_at - now < remote.latency
            and now - remote.latency_at < SHARE_LIFETIME_MS
        ):
            return None  # held too long to stand in time: its set-up would be work for nothing
        if not self._barred(remote, now) and remote.window_open(now):
            able = self.settings.mesh or remote.number in (self._kind(call.kind).pools or (remote.number,))
            if able and remote.has_room(call.width) and remote.exchange not in call.tried:
                return remote
        elif self.settings.mesh:
            return None  # the destination itself can't take it, whichever the route
        if self.settings.mesh and self._asks(remote, now):
            return None
        return self._alternate(call, remote, now)

    def _alternate(self, call: Call, to: RemoteExchange | None, now: float) -> RemoteExchange | None:
        """The tandem with the freest first leg, or the freest pool of second choice.

        A tandem whose second leg is known to be open (a centre named it, or a call stood over it lately) goes
        before one that is not known. Calls that have a group of their own leave room for direct ones.
        """
        able = self._kind(call.kind).pools
        displaces = self.settings.mesh and to is not None and to.group_size > 0
        reported_legs = (
            to.reported_legs
            if to is not None and now - to.legs_reported_at < LEG_REPORT_LIFETIME_MS
            else None
        )
        if self.settings.mesh and call.roll < 1 - TANDEM_ADMISSION_FACTOR * self.tandem_success:
            return None
        best, best_key = None, (-1, -1.0)
        for remote in self.exchanges.values():
            room = call.width + (TRUNK_RESERVATION * remote.group_size if displaces else 0)
            known = (
                now - remote.second_leg_open_at.get(call.number, float("-inf"))
                < self.mean_hold_ms * SECOND_LEG_LIFETIME
            )
            if remote.number == call.advised or to is not None and remote.number in to.reported_legs:
                known = True
            key = (int(known), float(remote.free_circuits))
            if (
                key > best_key
                and remote.free_circuits >= room
                and remote.health is Health.READY
                and remote.number not in (call.number, self.settings.here)
                and (self.settings.mesh or not able or remote.number in able)
                and remote.exchange not in call.tried
                and (reported_legs is None or reported_legs.get(remote.number, 0) >= call.width)
                and now >= remote.tandem_backoff.get(call.number, (now, 0.0))[0]
                and call.roll >= self._share(remote, now)
                and remote.window_open(now)
                and not self._cold(remote, now)
                and not self._barred(remote, now)
            ):
                best, best_key = remote, key
        return best

    def _barred(self, remote: RemoteExchange, now: float) -> bool:
        return self._shut(remote, now) or not self._paced(remote, now)

    def _shut(self, remote: RemoteExchange, now: float) -> bool:
        """A dead exchange (cuts, refused connections) gets one trial at a time, ever rarer, until it answers.

        Guards against bursts of failures that come back at once, which neither a share nor the window sees.
        """
        return remote.failed and (now < remote.recovery_probe_at or remote.recovery_probe in self.calls)

    def _send(self, call: Call, remote: RemoteExchange, now: float) -> None:
        call.attempts += 1
        call.out = remote.exchange
        remote.pending[call.id] = now
        if remote.failed:
            remote.recovery_probe = call.id
        pace = self._pace(remote, now)
        if pace:
            remote.next_paced_at = now + 1000.0 / pace
        remote.last_sent_width = call.width + (remote.last_sent_width if remote.last_sent_at == now else 0)
        remote.last_sent_at = now
        remote.free_circuits = (
            max(remote.free_circuits - call.width, 0) if remote.free_circuits >= 0 else remote.free_circuits
        )
        wait = min(max(call.aim_at - now, self.wait_unit_ms), call.end_at - now)
        self.actions.append(SetUp(call.id, remote.exchange, wait))

    def _turn_away(self, call: Call) -> None:
        del self.calls[call.id]
        self._got_nowhere(call)
        advice = self.settings.max_retry_advice_ms if self.settings.retry_advice else 0.0
        self.actions.append(GiveUp(call.id, advice) if self._spent(call) else Refuse(call.id, advice))

    def _spent(self, call: Call) -> bool:
        """The call may have run, and is of a class that must not run twice."""
        return call.may_have_run and self._kind(call.kind).repeat is not Repeat.FREE

    # --- messages: which second legs have room, asked of the destination, which knows its own groups ---

    def _asks(self, to: RemoteExchange, now: float) -> bool:
        """Asks the destination of a blocked call for its free circuits; true while the call should wait.

        Nothing depends on it: where the last questions stayed without answer, no call waits for the next.
        """
        if not self.settings.may_message or now - to.legs_reported_at < LEG_REPORT_LIFETIME_MS:
            return False
        if now - to.legs_queried_at >= LEG_REPORT_LIFETIME_MS:
            to.legs_queried_at, to.unanswered_queries = now, to.unanswered_queries + 1
            slot = self.peer_by_number.get(to.number, to.number)
            self.actions.append(Tell(slot, struct.pack(">cH", b"?", to.number)))
        return to.unanswered_queries <= 2 and now - to.legs_queried_at < LEG_QUERY_TIMEOUT_MS

    def _message(self, sender: int, payload: bytes, now: float) -> None:
        """A question for, or an answer with, free circuits; anything else is ignored, as is a stranger's."""
        if not self.settings.may_message or sender >= self.settings.softswitches or len(payload) < 3:
            return
        kind, number = struct.unpack_from(">cH", payload)
        if kind == b"?" and number == self.settings.here:
            ready = [
                f
                for f in self.ready_by_number.values()
                if f.group_size > 0 and f.number != self.settings.here
            ]
            ready.sort(key=lambda remote: -remote.free_circuits)
            told = [
                struct.pack(">HB", f.number, min(f.free_circuits, 255)) for f in ready[:MAX_REPORTED_LEGS]
            ]
            self.actions.append(Tell(sender, struct.pack(">cH", b"!", number) + b"".join(told)))
        elif kind == b"!" and len(payload) % 3 == 0 and number in self.ready_by_number:
            remote = self.ready_by_number[number]
            remote.reported_legs = dict(struct.iter_unpack(">HB", payload[3:]))
            remote.legs_reported_at, remote.unanswered_queries = now, 0
            self.peer_by_number[number] = sender
            self._retry_held(now, number)

    # --- cold processors ---

    def _cold(self, remote: RemoteExchange, now: float) -> bool:
        return remote.started_at > 0 and now - remote.started_at < self.settings.cold_ms

    def _pace(self, remote: RemoteExchange, now: float) -> float:
        """Set-ups a second that may go to a cold processor from here; 0 when it is warm."""
        if not self._cold(remote, now):
            return 0.0
        warm = max(now - remote.started_at, 0.0) / self.settings.cold_ms
        ramp = self.settings.cold_from + (1 - self.settings.cold_from) * warm
        rate, _ = self.offered_rates.get(remote.number, (0.0, now))
        least = MIN_COLD_RATE_PER_S / max(self.settings.softswitches, 1)
        return max(rate, least) * ramp * max(self.settings.fall_multiple * COLD_PACE_SAFETY, 0.5)

    def _paced(self, remote: RemoteExchange, now: float) -> bool:
        return now >= remote.next_paced_at or not self._cold(remote, now)

    # --- what comes back ---

    def _stands(self, event: CallStands, now: float) -> None:
        call = self.calls.pop(event.call, None)
        remote = self.exchanges.get(event.exchange)
        if remote is None:
            return
        remote.pending.pop(event.call, None)
        remote.mark_answered(now)
        self._retry_held(now, remote.number)
        if call is not None and call.number != remote.number and self.settings.mesh:
            remote.tandem_backoff.pop(call.number, None)
            remote.second_leg_open_at[call.number] = now
            self.tandem_success += (1 - self.tandem_success) * TANDEM_SUCCESS_SMOOTHING
            return  # over a tandem: the wait of two processors, which says little of either
        self.base_latency = min(self.base_latency, event.latency_ms)
        self._latency(remote, event.latency_ms, now)

    def _latency(self, remote: RemoteExchange, latency_ms: float, now: float) -> None:
        if now == self.resumed_at:  # what came while this softswitch stood still tells of itself alone
            return
        fresh = now - remote.latency_at < SHARE_LIFETIME_MS
        remote.latency += (latency_ms - remote.latency) * (LATENCY_SMOOTHING if fresh else 1.0)
        remote.latency_at = now
        remote.update_window((latency_ms - self.base_latency) / self.wait_unit_ms, latency_ms, now)
        own = self.ready_by_number.get(self.settings.here)
        if own is not None:
            self._heed(own, self._common_wait(now) / 2, now)

    def _common_wait(self, now: float) -> float:
        """What the latest latencies to all exchanges have in common: the own processor is on every path."""
        seen = [f.latency for f in self.exchanges.values() if now - f.latency_at < SHARE_LIFETIME_MS / 2]
        return min(seen) - self.base_latency if len(seen) > 1 else 0.0

    def _ended(self, event: AttemptEnded, now: float) -> None:
        remote = self.exchanges.get(event.exchange)
        call = self.calls.get(event.call)
        if remote is not None:
            self._learn(remote, call, event, now)
        if call is not None:
            self._go_on(remote, call, event, now)

    def _learn(self, remote: RemoteExchange, call: Call | None, event: AttemptEnded, now: float) -> None:
        """What the end of an attempt tells of the exchange that it went to."""
        self._figures(remote, event.report, now)
        sent = remote.pending.pop(event.call, None)
        direct = call is None or call.number == remote.number
        full = event.reason is Reason.PROCESSOR_FULL and event.ending is Ending.TURNED_BACK
        late = full or event.ending is Ending.TIMED_OUT
        if late and direct:  # it would have waited at least so long
            waited = max(
                event.latency_ms, remote.latency, self.base_latency + SHED_FULL_WAIT * self.wait_unit_ms
            )
            self._latency(remote, waited, now)
        if remote.recovery_probe == event.call:
            remote.recovery_probe = None
        broken = event.ending in (Ending.UNREACHABLE, Ending.CUT)
        failed = broken and sent is not None and remote.last_answer_at < sent
        if failed or remote.failed and event.ending is Ending.TIMED_OUT:
            if direct or event.ending is not Ending.CUT:
                remote.mark_failed(now, self.wait_unit_ms)
        elif event.ending is Ending.TURNED_BACK and not late or event.ending is Ending.ERROR:
            remote.mark_answered(
                now
            )  # the end of a standing call is no sign of life, nor a full processor's refusal

    def _go_on(self, remote: RemoteExchange | None, call: Call, event: AttemptEnded, now: float) -> None:
        """What becomes of the call: concluded, tried again after its release, or answered."""
        call.out = None
        if event.over:
            del self.calls[call.id]
            self._got_nowhere(call)
            return
        if event.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED):
            call.not_before = now + self.settings.release_ms
        if event.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED, Ending.ERROR):
            call.may_have_run = True
        if remote is not None and remote.number != call.number:
            self._failed_over(remote, call, now)
        elif event.reason is Reason.NO_CIRCUIT and event.ending is not Ending.NOT_SENT:
            call.tried.append(event.exchange)
        if event.reason is Reason.PROCESSOR_FULL and event.ending is Ending.NOT_SENT:
            self.own_down_until = (
                now + 2 * self.wait_unit_ms
            )  # the own processor is down: all calls wait for it
        hopeless = event.ending is not Ending.NOT_SENT and event.reason in (
            Reason.LINES_BUSY,
            Reason.PROCESSOR_FULL,
            Reason.TANDEM_FAR_FULL,
        )
        if hopeless or self._spent(call) or call.transit:
            self._turn_away(call)
        else:
            self._decide(call, now)

    def _failed_over(self, remote: RemoteExchange, call: Call, now: float) -> None:
        """A tandem that did not set a call up is left alone towards that destination, ever longer."""
        call.tried.append(remote.exchange)
        self.tandem_success -= self.tandem_success * TANDEM_SUCCESS_SMOOTHING
        last = remote.tandem_backoff.get(call.number, (0.0, self.mean_hold_ms * TANDEM_BACKOFF[0] / 2))[1]
        pause = min(2 * last, self.mean_hold_ms * TANDEM_BACKOFF[1])
        remote.tandem_backoff[call.number] = (now + pause, pause)
        remote.second_leg_open_at.pop(call.number, None)

    def _report(self, event: Report, now: float) -> None:
        remote = self.exchanges.get(event.exchange)
        if remote is None:
            return
        if event.asked:  # a probe waits in the same line: its time, or its failing, tells of the processor
            self._heed(remote, event.latency_ms if event.well else FAILED_PROBE_WAIT * self.wait_unit_ms, now)
        if event.well:
            self._figures(remote, event.figures, now)
            if not event.asked:
                self._retry_held(now, remote.number)

    # --- time passes ---

    def _retry_held(self, now: float, number: int | None = None) -> None:
        """Looks at held calls again: those for one exchange when it changed, all of them at each tick."""
        held = [c for c in self.calls.values() if c.out is None and number in (None, c.number)]
        for call in held:
            self._decide(call, now)

    def _tick(self, now: float) -> None:
        if self.list_request_at is not None and now > self.list_request_at:
            self._ask_list()
        if self.settings.may_probe and self.settings.reports is not Reports.NONE:
            pull = self.settings.reports is Reports.WHEN_PROBED
            for remote in self.exchanges.values():
                own = remote.number == self.settings.here  # which no other probes
                every = PROBE_INTERVAL_MS if own else self.probe_interval_ms
                used = own or pull and now - remote.last_sent_at < 2 * every
                if remote.health is Health.READY and used and now - remote.probed_at >= every:
                    remote.probed_at = now
                    self.actions.append(Probe(remote.exchange))
        self._retry_held(now)
