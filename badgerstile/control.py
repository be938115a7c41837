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
    RetryPolicy,
    SendPeerMessage,
    SetTimer,
    Settings,
    SetUp,
    TimerFired,
    WatchList,
)

STALL_MS = 100.0  # a wake so much later than asked: this softswitch itself stood still
SAME_MS = 50.0  # callers' times nearer than this are the same
VOTES_MOST = 20  # callers of another time than usual that make theirs the usual one
TICK_MS = 100.0  # how often held calls and silent exchanges are looked at when nothing else happens
SHARE_LIFE_MS = 5000.0  # a share not heard again for so long is forgotten (the design's default)
PROBE_EVERY_MS = 1000.0  # where only probes tell, ask about once a second (the design's default)
PROBERS = 8  # senders that may probe one exchange so often; more of them ask more rarely, for its work's sake
TARGET = 0.5  # wait, in retransmission times, at which a mapped share stays: answers wait as set-ups do
STEP = 0.4  # by which a mapped share moves in a second, for each target of wait above or below
STEP_MOST = 4.0  # targets above: more does not step faster
PROBE_LOST = 2.0  # a failed probe counts as a wait of so many retransmission times
WAIT_LOW, WAIT_HIGH = 0.6, 2.4  # in retransmission times: a far wait from which thinning starts, and is full
TRICKLE = 0.05  # always left through, so that answers keep telling how the far end does
SMOOTH = 0.3  # weight of a new latency sample: about three answers decide
WINDOW_START, WINDOW_LEAST, WINDOW_MOST = 4.0, 0.25, 16.0  # unanswered set-ups towards one exchange
MIX = 0.02  # weight of a new call in the mix of worths offered: some fifty calls decide
TRIAL_LONGEST = 4  # trials of a dead exchange come no rarer than this many times the shortest pause
RATE_HALF_MS, LN2_S = 15000.0, 693.1  # half-life of the rate at which calls for an exchange come
COLD_SAFETY = 0.6  # part of the allowed multiple that is used towards a cold processor
COLD_LEAST = 4.0  # calls a second, from all softswitches together, on which a cold pace is based at least
COLD_SPREAD = 0.9  # of an aim, over which the first set-ups to a newly started exchange are spread
RESERVE = 0.1  # of a first leg's circuits, which only direct calls and those without a group may take
YIELD, YIELD_SMOOTH = 1.5, 0.04  # two-leg calls are thinned when under two thirds of some 25 attempts stand
WAY_LIFE = 0.5  # of a mean call: so long a second leg is held to be open after a call stood over it
NO_WAY = (0.2, 1.6)  # of a mean call, first and longest: a tandem that turned a call back is left alone
LEGS_LIFE_MS = 3000.0  # what a far exchange told of its free circuits is used for so long
ASKED_MS = 100.0  # a blocked call waits so long for such an answer; messages take a fraction of it
LEGS_MOST = 60  # freest groups named in one answer: they fit the 256 bytes of a message
BACK_LEAST_MS = 2000.0  # no processor starts again so fast: who answered since was only cut off from here
GONE_MOST = 32  # exchanges that are gone and still known, in case they come back
MARGIN_MS = 60.0  # an answer is given so long before the caller's time is up


class FarEnd:
    """One exchange as seen from here: its place in the list, its circuits, its shares and its silence."""

    def __init__(self, entry: ExchangeEntry) -> None:
        self.exchange = entry.exchange
        self.number = entry.number
        self.health = entry.health
        self.came_up = 0.0
        self.free, self.size = -1, 0.0
        self.told_share, self.told_at = 0.0, float("-inf")
        self.latency, self.latency_at = 0.0, float("-inf")
        self.waiting: dict[int, float] = {}
        self.last_answer = float("-inf")
        self.trial: int | None = None
        self.failures, self.next_trial, self.died = 0, float("-inf"), False
        self.next_paced = float("-inf")
        self.probed_at = float("-inf")
        self.stepped, self.stepped_at = 0.0, float("-inf")
        self.window, self.cut_at, self.open_at = WINDOW_START, float("-inf"), float("-inf")
        self.no_way: dict[int, tuple[float, float]] = {}
        self.ways: dict[int, float] = {}
        self.legs: dict[int, int] = {}  # its own free circuits, as it told them
        self.legs_at = self.asked_at = float("-inf")
        self.unheard = 0
        self.sent_at, self.sent_width = float("-inf"), 0

    def room(self, width: int) -> bool:
        return self.free < 0 or self.free >= width

    def pace_by(self, wait_steps: float, latency_ms: float, now: float) -> None:
        """The window of unanswered set-ups: quick answers widen it, slow ones halve it once per latency."""
        if wait_steps < 1:
            self.window = min(self.window + 1 / max(self.window, 1), WINDOW_MOST)
        elif wait_steps > 2 and now - self.cut_at > latency_ms:
            self.window, self.cut_at = max(self.window / 2, WINDOW_LEAST), now
        self.open_at = now + latency_ms * max(1 / self.window - 1, 0.0)

    def open(self, now: float) -> bool:
        return len(self.waiting) < max(self.window, 1.0) and now >= self.open_at

    def heed(self, targets: float, now: float) -> None:
        """Steps the mapped share by a wait, in targets; weighed by time: repeats of one report count once."""
        spell = min(now - self.stepped_at, 1000.0) / 1000
        self.stepped += STEP * spell * min(targets - 1, STEP_MOST)
        self.stepped, self.stepped_at = min(max(self.stepped, 0.0), 1.0), now

    def mapped(self, now: float) -> float:
        """The mapped share; it falls gradually when nothing more is heard, so that no burst follows."""
        return self.stepped - STEP * max(now - self.stepped_at - SHARE_LIFE_MS / 2, 0.0) / 1000

    def answered(self, now: float) -> None:
        self.trial = None
        if self.died and now - self.last_answer > BACK_LEAST_MS:
            # whatever comes back from the dead starts cold, even if no list has told so yet
            self.came_up = max(self.came_up, now)
        self.last_answer = now
        self.failures, self.died = 0, False

    def failed(self, now: float, pause_ms: float) -> None:
        """A set-up was cut or found no connection, or a trial got no answer: the processor is gone."""
        self.failures, self.died = self.failures + 1, True
        self.next_trial = now + pause_ms * min(2 ** (self.failures - 1), TRIAL_LONGEST)


class Call:
    """A call that is owed an answer."""

    __slots__ = (
        "id", "number", "kind", "width", "transit", "roll", "came_at", "aim_at", "end_at", "not_before",
        "attempts", "out", "tried", "may_have_run", "advised", "called", "first_at",
    )  # fmt: skip

    def __init__(self, event: CallOffered, now: float, first_at: float, aim_ms: float, roll: float) -> None:
        self.called, self.first_at = event.called_number, first_at
        self.id = event.call
        self.number = event.destination
        self.kind = event.call_class
        self.width = event.width
        self.transit = event.in_transit
        self.advised = -1 if event.in_transit else event.advised_number
        self.roll = roll
        self.end_at = now + event.budget_ms - MARGIN_MS
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
        self.set = settings
        self.random = random.Random(seed)
        self.far: dict[bytes, FarEnd] = {}
        self.at: dict[int, FarEnd] = {}
        self.slots: dict[int, int] = {}
        self.calls: dict[int, Call] = {}
        self.actions: list[Action] = []
        self.ticking, self.due = False, 0.0
        self.back_at = float("-inf")  # the end of the last standstill of its own
        self.stood_for = 0.0
        self.yields = 1.0  # part of the attempts over tandems that stand
        self.usual: dict[int, tuple[float, int]] = {}  # the time that first tries of a class come with
        self.rates: dict[int, tuple[float, float]] = {}
        self.started = False
        self.ask_list_at: float | None = None
        self.list_retry_ms = settings.list_request_within_ms / 16
        aim_ms = min(c.slo_ms for c in settings.classes)
        self.base_latency = aim_ms
        self.step_ms = min(settings.retransmit_ms or aim_ms, aim_ms / 3)
        self.mix: dict[float, float] = {}  # parts of the worths in the calls offered of late
        self.unserved: dict[int, float] = {}  # numbers whose call got nowhere, and when it was first made
        self.own_down_until = float("-inf")
        self.hold_ms = max((c.mean_hold_ms for c in settings.classes), default=0.0) or 10 * aim_ms
        self.probe_ms = PROBE_EVERY_MS * max(settings.softswitch_count / PROBERS, 1.0)

    def handle(self, event: Event, now: float) -> list[Action]:
        self.actions = []
        if self.ticking and now - self.due > STALL_MS:
            self.back_at, self.stood_for = now, now - self.due
        if not self.started:
            self.started = True
            self._ask_list()
        match event:
            case ExchangeList():
                self._list(event, now)
            case CallOffered():
                self._offered(event, now)
            case CallEstablished():
                self._stands(event, now)
            case AttemptEnded():
                self._ended(event, now)
            case CallAbandoned(name):
                call = self.calls.pop(name, None)
                if call is not None:
                    self._got_nowhere(call)
            case Report():
                self._report(event, now)
            case PeerMessage(sender, payload):
                self._message(sender, payload, now)
            case TimerFired():
                self.ticking = False
                self._tick(now)
            case _:
                pass
        if not self.ticking:
            self.ticking, self.due = True, now + TICK_MS
            self.actions.append(SetTimer(now + TICK_MS, 0))
        return self.actions

    # --- the list of exchanges ---

    def _ask_list(self) -> None:
        self.ask_list_at = None
        if self.set.list_on_request:
            self.actions.append(WatchList())  # always answered, by a list or by a failure

    def _list(self, event: ExchangeList, now: float) -> None:
        if event.kind is ListKind.FAILED:
            self.ask_list_at = now + self.list_retry_ms
            return
        for entry in event.entries:
            far = self.far.get(entry.exchange)
            if far is None:
                far = self.far[entry.exchange] = FarEnd(entry)
            far.number, far.health = entry.number, entry.health
            if entry.started_ms > far.came_up:
                far.came_up = entry.started_ms
                if self._cold(far, now):  # all hear of it at once: their first set-ups are spread at random
                    far.next_paced = now + self.random.random() * COLD_SPREAD * self.set.classes[0].slo_ms
        if event.kind is not ListKind.CHANGES:
            named = {entry.exchange for entry in event.entries}
            for exchange, far in self.far.items():
                if exchange not in named:
                    far.health = Health.REMOVED
        gone = [far for far in self.far.values() if far.health is Health.REMOVED and not far.waiting]
        for far in gone[:-GONE_MOST]:  # those that were met first
            del self.far[far.exchange]
        self._index()
        self._retry_held(now)

    def _index(self) -> None:
        """Which exchange now has a number: the ready one that came up last."""
        self.at = {}
        for far in self.far.values():
            best = self.at.get(far.number)
            if far.health is Health.READY and (best is None or far.came_up >= best.came_up):
                self.at[far.number] = far

    # --- shares ---

    def _figures(self, far: FarEnd, figures: tuple[float, ...], now: float) -> None:
        told = dict(zip(self.set.load_fields, figures, strict=False))
        if told.get(LoadField.FREE_CIRCUITS, -1) >= 0:
            taken = far.sent_width if far.sent_at == now else 0  # sent since this figure was true
            far.free = max(int(told[LoadField.FREE_CIRCUITS]) - taken, 0)
            far.size = told.get(LoadField.GROUP_SIZE, far.size)
        share = -1.0
        if told.get(LoadField.HOLD_BACK, -1) >= 0:
            share = told[LoadField.HOLD_BACK]
        wait = max(
            told.get(LoadField.WAIT_MS, -1.0), told.get(LoadField.QUEUE_LENGTH, -1.0) * self.step_ms / 10
        )
        if wait >= 0:
            share = max(share, self._share_of_wait(wait))
            self._heed(far, wait, now)
        if share >= 0:
            far.told_share, far.told_at = min(share, 1.0), now

    def _heed(self, far: FarEnd, wait_ms: float, now: float) -> None:
        far.heed(wait_ms / (TARGET * self.step_ms), now)

    def _share_of_wait(self, wait_ms: float) -> float:
        low, high = WAIT_LOW * self.step_ms, WAIT_HIGH * self.step_ms
        return min(max((wait_ms - low) / (high - low), 0.0), 1.0)

    def _share(self, far: FarEnd, now: float) -> float:
        """The hold-back share that counts for this exchange now."""
        share = far.told_share if now - far.told_at < SHARE_LIFE_MS else 0.0
        return min(max(share, far.mapped(now)), 1 - TRICKLE)

    def _own_share(self, now: float) -> float:
        """The own processor is on every path: its probed share, or else what latencies have in common."""
        own, share = self.at.get(self.set.own_number), self._share_of_wait(self._common_wait(now))
        return min(max(share, self._share(own, now) if own is not None else 0.0), 1 - TRICKLE)

    # --- a call ---

    def _offered(self, event: CallOffered, now: float) -> None:
        kind = self._kind(event.call_class)
        first_at = self._first_try(event, kind, now)
        late = now - first_at > kind.slo_ms
        worth = kind.worth * (kind.late_worth if late else 1.0)
        for level in self.mix:
            self.mix[level] *= 1 - MIX
        self.mix[worth] = self.mix.get(worth, 0.0) + MIX
        # a share holds back the least worth first, at random among equals, and as much of the mix as it says
        below = sum(part for level, part in self.mix.items() if level < worth)
        roll = (below + self.random.random() * self.mix[worth]) / sum(self.mix.values())
        call = self.calls[event.call] = Call(event, now, first_at, kind.slo_ms, roll)
        if first_at == now:  # first tries only: what is wanted of an exchange, also while it is away
            rate, at = self.rates.get(call.number, (0.0, now))
            self.rates[call.number] = (rate * 0.5 ** ((now - at) / RATE_HALF_MS) + LN2_S / RATE_HALF_MS, now)
        self._decide(call, now)

    def _kind(self, index: int) -> CallClass:
        kinds = self.set.classes
        return kinds[index if index < len(kinds) else 0]

    def _first_try(self, event: CallOffered, kind: CallClass, now: float) -> float:
        """When this caller first tried: a number that got nowhere lately and is called again is a redial.

        A number that many call at once looks the same; its lines are busy then, whatever its calls are worth.
        """
        if event.in_transit:
            return now
        first_at = (
            self.unserved.pop(event.called_number, float("-inf")) if event.called_number else float("-inf")
        )
        for called, at in list(self.unserved.items())[:2]:  # the oldest, two for each that may be added
            if now - at > 2 * kind.deadline_ms:
                del self.unserved[called]
        if now - first_at < kind.deadline_ms:
            return first_at
        if event.is_redial:
            return now - 2 * kind.slo_ms
        usual, votes = self.usual.get(event.call_class, (event.budget_ms, 0))
        if now == self.back_at:  # it waited for this softswitch, by as much as its time is shorter than usual
            waited = usual - event.budget_ms
            return now - waited if 0 < waited < self.stood_for + TICK_MS else now
        votes += 1 if abs(event.budget_ms - usual) < SAME_MS else -1
        self.usual[event.call_class] = (usual, min(votes, VOTES_MOST)) if votes >= 0 else (event.budget_ms, 1)
        return now

    def _got_nowhere(self, call: Call) -> None:
        if not call.transit and call.called:
            self.unserved[call.called] = call.first_at

    def _decide(self, call: Call, now: float) -> None:
        """Sends the call if a route is open to it, holds it while one may open in time, else answers it."""
        if now < call.not_before and call.not_before < call.aim_at:
            return
        far = None
        if now >= call.not_before and call.attempts < self.set.max_attempts and now < call.end_at:
            far = self._route(call, now)
        if far is not None:
            self._send(call, far, now)
        elif call.transit or now >= call.aim_at or call.attempts >= self.set.max_attempts:
            self._turn_away(call)

    def _route(self, call: Call, now: float) -> FarEnd | None:
        far = self.at.get(call.number)
        if call.number == self.set.own_number:
            # handed over while the caller's own exchange starts: no group leads home, a tandem's two legs do
            blocked = call.transit or now < self.own_down_until
            return None if blocked else self._alternate(call, None, now)
        if call.transit:
            if far is None or call.attempts or not far.room(call.width) or self._barred(far, now):
                return None
            return far
        if now < self.own_down_until:
            return None
        if far is None or call.roll < max(self._share(far, now), self._own_share(now)):
            return None if self.set.mesh else self._alternate(call, far, now)
        if now > call.came_at and call.aim_at - now < far.latency and now - far.latency_at < SHARE_LIFE_MS:
            return None  # held too long to stand in time: its set-up would be work for nothing
        if not self._barred(far, now) and far.open(now):
            able = self.set.mesh or far.number in (self._kind(call.kind).pools or (far.number,))
            if able and far.room(call.width) and far.exchange not in call.tried:
                return far
        elif self.set.mesh:
            return None  # the destination itself can't take it, whichever the route
        if self.set.mesh and self._asks(far, now):
            return None
        return self._alternate(call, far, now)

    def _alternate(self, call: Call, to: FarEnd | None, now: float) -> FarEnd | None:
        """The tandem with the freest first leg, or the freest pool of second choice.

        A tandem whose second leg is known to be open (a centre named it, or a call stood over it lately) goes
        before one that is not known. Calls that have a group of their own leave room for direct ones.
        """
        able = self._kind(call.kind).pools
        displaces = self.set.mesh and to is not None and to.size > 0
        legs = to.legs if to is not None and now - to.legs_at < LEGS_LIFE_MS else None
        if self.set.mesh and call.roll < 1 - YIELD * self.yields:
            return None
        best, best_key = None, (-1, -1.0)
        for far in self.far.values():
            room = call.width + (RESERVE * far.size if displaces else 0)
            known = now - far.ways.get(call.number, float("-inf")) < self.hold_ms * WAY_LIFE
            if far.number == call.advised or to is not None and far.number in to.legs:
                known = True
            key = (int(known), float(far.free))
            if (
                key > best_key
                and far.free >= room
                and far.health is Health.READY
                and far.number not in (call.number, self.set.own_number)
                and (self.set.mesh or not able or far.number in able)
                and far.exchange not in call.tried
                and (legs is None or legs.get(far.number, 0) >= call.width)
                and now >= far.no_way.get(call.number, (now, 0.0))[0]
                and call.roll >= self._share(far, now)
                and far.open(now)
                and not self._cold(far, now)
                and not self._barred(far, now)
            ):
                best, best_key = far, key
        return best

    def _barred(self, far: FarEnd, now: float) -> bool:
        return self._shut(far, now) or not self._paced(far, now)

    def _shut(self, far: FarEnd, now: float) -> bool:
        """A dead exchange (cuts, refused connections) gets one trial at a time, ever rarer, until it answers.

        Guards against bursts of failures that come back at once, which neither a share nor the window sees.
        """
        return far.died and (now < far.next_trial or far.trial in self.calls)

    def _send(self, call: Call, far: FarEnd, now: float) -> None:
        call.attempts += 1
        call.out = far.exchange
        far.waiting[call.id] = now
        if far.died:
            far.trial = call.id
        pace = self._pace(far, now)
        if pace:
            far.next_paced = now + 1000.0 / pace
        far.sent_width = call.width + (far.sent_width if far.sent_at == now else 0)
        far.sent_at = now
        far.free = max(far.free - call.width, 0) if far.free >= 0 else far.free
        wait = min(max(call.aim_at - now, self.step_ms), call.end_at - now)
        self.actions.append(SetUp(call.id, far.exchange, wait))

    def _turn_away(self, call: Call) -> None:
        del self.calls[call.id]
        self._got_nowhere(call)
        advice = self.set.max_retry_after_ms if self.set.sends_retry_after else 0.0
        self.actions.append(FailCall(call.id, advice) if self._spent(call) else Refuse(call.id, advice))

    def _spent(self, call: Call) -> bool:
        """The call may have run, and is of a class that must not run twice."""
        return call.may_have_run and self._kind(call.kind).retry_policy is not RetryPolicy.FREE

    # --- messages: which second legs have room, asked of the destination, which knows its own groups ---

    def _asks(self, to: FarEnd, now: float) -> bool:
        """Asks the destination of a blocked call for its free circuits; true while the call should wait.

        Nothing depends on it: where the last questions stayed without answer, no call waits for the next.
        """
        if not self.set.may_message or now - to.legs_at < LEGS_LIFE_MS:
            return False
        if now - to.asked_at >= LEGS_LIFE_MS:
            to.asked_at, to.unheard = now, to.unheard + 1
            slot = self.slots.get(to.number, to.number)
            self.actions.append(SendPeerMessage(slot, struct.pack(">cH", b"?", to.number)))
        return to.unheard <= 2 and now - to.asked_at < ASKED_MS

    def _message(self, sender: int, payload: bytes, now: float) -> None:
        """A question for, or an answer with, free circuits; anything else is ignored, as is a stranger's."""
        if not self.set.may_message or sender >= self.set.softswitch_count or len(payload) < 3:
            return
        kind, number = struct.unpack_from(">cH", payload)
        if kind == b"?" and number == self.set.own_number:
            ready = [f for f in self.at.values() if f.size > 0 and f.number != self.set.own_number]
            ready.sort(key=lambda far: -far.free)
            told = [struct.pack(">HB", f.number, min(f.free, 255)) for f in ready[:LEGS_MOST]]
            self.actions.append(SendPeerMessage(sender, struct.pack(">cH", b"!", number) + b"".join(told)))
        elif kind == b"!" and len(payload) % 3 == 0 and number in self.at:
            far = self.at[number]
            far.legs = dict(struct.iter_unpack(">HB", payload[3:]))
            far.legs_at, far.unheard = now, 0
            self.slots[number] = sender
            self._retry_held(now, number)

    # --- cold processors ---

    def _cold(self, far: FarEnd, now: float) -> bool:
        return far.came_up > 0 and now - far.came_up < self.set.cold_ramp_ms

    def _pace(self, far: FarEnd, now: float) -> float:
        """Set-ups a second that may go to a cold processor from here; 0 when it is warm."""
        if not self._cold(far, now):
            return 0.0
        warm = max(now - far.came_up, 0.0) / self.set.cold_ramp_ms
        ramp = self.set.cold_initial_share + (1 - self.set.cold_initial_share) * warm
        rate, _ = self.rates.get(far.number, (0.0, now))
        least = COLD_LEAST / max(self.set.softswitch_count, 1)
        return max(rate, least) * ramp * max(self.set.overload_multiple * COLD_SAFETY, 0.5)

    def _paced(self, far: FarEnd, now: float) -> bool:
        return now >= far.next_paced or not self._cold(far, now)

    # --- what comes back ---

    def _stands(self, event: CallEstablished, now: float) -> None:
        call = self.calls.pop(event.call, None)
        far = self.far.get(event.exchange)
        if far is None:
            return
        far.waiting.pop(event.call, None)
        far.answered(now)
        self._retry_held(now, far.number)
        if call is not None and call.number != far.number and self.set.mesh:
            far.no_way.pop(call.number, None)
            far.ways[call.number] = now
            self.yields += (1 - self.yields) * YIELD_SMOOTH
            return  # over a tandem: the wait of two processors, which says little of either
        self.base_latency = min(self.base_latency, event.latency_ms)
        self._latency(far, event.latency_ms, now)

    def _latency(self, far: FarEnd, latency_ms: float, now: float) -> None:
        if now == self.back_at:  # what came while this softswitch stood still tells of itself alone
            return
        fresh = now - far.latency_at < SHARE_LIFE_MS
        far.latency += (latency_ms - far.latency) * (SMOOTH if fresh else 1.0)
        far.latency_at = now
        far.pace_by((latency_ms - self.base_latency) / self.step_ms, latency_ms, now)
        own = self.at.get(self.set.own_number)
        if own is not None:
            self._heed(own, self._common_wait(now) / 2, now)

    def _common_wait(self, now: float) -> float:
        """What the latest latencies to all exchanges have in common: the own processor is on every path."""
        seen = [f.latency for f in self.far.values() if now - f.latency_at < SHARE_LIFE_MS / 2]
        return min(seen) - self.base_latency if len(seen) > 1 else 0.0

    def _ended(self, event: AttemptEnded, now: float) -> None:
        far = self.far.get(event.exchange)
        call = self.calls.get(event.call)
        if far is not None:
            self._learn(far, call, event, now)
        if call is not None:
            self._go_on(far, call, event, now)

    def _learn(self, far: FarEnd, call: Call | None, event: AttemptEnded, now: float) -> None:
        """What the end of an attempt tells of the exchange that it went to."""
        self._figures(far, event.load_values, now)
        sent = far.waiting.pop(event.call, None)
        direct = call is None or call.number == far.number
        full = event.reason is RejectionReason.PROCESSOR_FULL and event.outcome is AttemptOutcome.TURNED_BACK
        late = full or event.outcome is AttemptOutcome.TIMED_OUT
        if late and direct:  # it would have waited at least so long
            waited = max(event.latency_ms, far.latency, self.base_latency + WAIT_HIGH * self.step_ms)
            self._latency(far, waited, now)
        if far.trial == event.call:
            far.trial = None
        broken = event.outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.CUT)
        died = broken and sent is not None and far.last_answer < sent
        if died or far.died and event.outcome is AttemptOutcome.TIMED_OUT:
            if direct or event.outcome is not AttemptOutcome.CUT:
                far.failed(now, self.step_ms)
        elif (
            event.outcome is AttemptOutcome.TURNED_BACK and not late or event.outcome is AttemptOutcome.ERROR
        ):
            far.answered(now)  # the end of a standing call is no sign of life, nor a full processor's refusal

    def _go_on(self, far: FarEnd | None, call: Call, event: AttemptEnded, now: float) -> None:
        """What becomes of the call: concluded, tried again after its release, or answered."""
        call.out = None
        if event.call_ended:
            del self.calls[call.id]
            self._got_nowhere(call)
            return
        if event.outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CUT, AttemptOutcome.CANCELLED):
            call.not_before = now + self.set.release_wait_ms
        if event.outcome in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CUT,
            AttemptOutcome.CANCELLED,
            AttemptOutcome.ERROR,
        ):
            call.may_have_run = True
        if far is not None and far.number != call.number:
            self._failed_over(far, call, now)
        elif event.reason is RejectionReason.NO_CIRCUIT and event.outcome is not AttemptOutcome.NOT_SENT:
            call.tried.append(event.exchange)
        if event.reason is RejectionReason.PROCESSOR_FULL and event.outcome is AttemptOutcome.NOT_SENT:
            self.own_down_until = now + 2 * self.step_ms  # the own processor is down: all calls wait for it
        hopeless = event.outcome is not AttemptOutcome.NOT_SENT and event.reason in (
            RejectionReason.LINES_BUSY,
            RejectionReason.PROCESSOR_FULL,
            RejectionReason.TANDEM_FAR_FULL,
        )
        if hopeless or self._spent(call) or call.transit:
            self._turn_away(call)
        else:
            self._decide(call, now)

    def _failed_over(self, far: FarEnd, call: Call, now: float) -> None:
        """A tandem that did not set a call up is left alone towards that destination, ever longer."""
        call.tried.append(far.exchange)
        self.yields -= self.yields * YIELD_SMOOTH
        last = far.no_way.get(call.number, (0.0, self.hold_ms * NO_WAY[0] / 2))[1]
        pause = min(2 * last, self.hold_ms * NO_WAY[1])
        far.no_way[call.number] = (now + pause, pause)
        far.ways.pop(call.number, None)

    def _report(self, event: Report, now: float) -> None:
        far = self.far.get(event.exchange)
        if far is None:
            return
        if event.probed:  # a probe waits in the same line: its time, or its failing, tells of the processor
            self._heed(far, event.latency_ms if event.succeeded else PROBE_LOST * self.step_ms, now)
        if event.succeeded:
            self._figures(far, event.load_values, now)
            if not event.probed:
                self._retry_held(now, far.number)

    # --- time passes ---

    def _retry_held(self, now: float, number: int | None = None) -> None:
        """Looks at held calls again: those for one exchange when it changed, all of them at each tick."""
        held = [c for c in self.calls.values() if c.out is None and number in (None, c.number)]
        for call in held:
            self._decide(call, now)

    def _tick(self, now: float) -> None:
        if self.ask_list_at is not None and now > self.ask_list_at:
            self._ask_list()
        if self.set.may_probe and self.set.load_reporting is not LoadReporting.NONE:
            pull = self.set.load_reporting is LoadReporting.WHEN_PROBED
            for far in self.far.values():
                own = far.number == self.set.own_number  # which no other probes
                every = PROBE_EVERY_MS if own else self.probe_ms
                used = own or pull and now - far.sent_at < 2 * every
                if far.health is Health.READY and used and now - far.probed_at >= every:
                    far.probed_at = now
                    self.actions.append(Probe(far.exchange))
        self._retry_held(now)
