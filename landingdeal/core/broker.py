"""The core: one thread that owns the decision module, an inbox and a timer heap. It touches no socket."""

from __future__ import annotations

import heapq
import itertools
import queue
import sys
import traceback
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from badgerstile.control import Softswitch
from badgerstile.interface import (
    Action,
    AttemptEnded,
    CallerLeft,
    CallOffered,
    CallStands,
    Ending,
    Event,
    Figure,
    GiveUp,
    Probe,
    Reason,
    Refuse,
    Report,
    Say,
    Settings,
    SetUp,
    WakeAt,
    Woken,
)
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.contracts import Contracts
from landingdeal.core.events import (
    Attempt,
    AttemptEstablished,
    AttemptFailed,
    CallerReleased,
    CallerStreamBroken,
    ContractsChanged,
    CoreEvent,
    HubClient,
    HubFailed,
    HubListChanged,
    HubReleased,
    LoadReported,
    Offer,
    ProbeCompleted,
    RefusalReason,
    SetUpCancelled,
    StopRequested,
)
from landingdeal.core.exchange import EstablishedCall, PendingCall
from landingdeal.core.guard import Guard
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.log import log_event, log_text

MAX_INBOX_SIZE = 4096  # set-ups above this are refused by the front at once
OPEN_MOST = 4000  # calls waiting for an answer
STANDING_MOST = 20000  # above this the one that has stood longest is no longer followed
SENT_AGAIN_MS = 1500.0  # after its answer, a set-up may come again whose connection has ended
DUPLICATE_ANSWER_MS = (
    50.0  # a lab hub's answer may come twice: until then none is out there that could be meant
)
REFUSED_MOST = 4096  # calls that ended without standing and are still known
BATCH_MOST = 256
LAST_MOMENT_MS = 30.0  # before a call's deadline the core answers by itself if the module has not
RELEASE_MARGIN_MS = 10.0  # a release counts from where it arrives, which is later than where it was decided
PROBE_WAIT_MS = 250.0  # a probe without an answer by then has failed
CAUSE_CALL_CUT = 41  # the call was cut; 16 is an ordinary end
UNANSWERED = (Ending.TIMED_OUT, Ending.UNREACHABLE)  # no lab hub said so
WHY = {Reason.LINES_BUSY: RefusalReason.BUSY}

LOOK_MS = 20.0  # while the program is ending


@dataclass(frozen=True, slots=True)
class DelayedAttempt:
    """An attempt that is decided and goes out a little later."""

    attempt: Attempt


Timer = Attempt | DelayedAttempt | Woken | str


class Inbox:
    """The only way into the core. Set-ups are turned away when it is full; other news waits for room."""

    def __init__(self) -> None:
        self.queue: queue.Queue[CoreEvent] = queue.Queue(MAX_INBOX_SIZE * 2)
        self.own: deque[CoreEvent] = deque()
        self.closed = False

    def offer(self, offer: Offer) -> bool:
        """False: the inbox is full, or the core has ended; the caller has to be refused where it stands."""
        if self.closed or self.queue.qsize() >= MAX_INBOX_SIZE:
            return False
        self.queue.put(offer)
        return True

    def tell(self, event: CoreEvent) -> None:
        self.queue.put(event)

    def soon(self, event: CoreEvent) -> None:
        """For the core's own thread, which must not wait for room: it alone makes room."""
        self.own.append(event)

    def size(self) -> int:
        return len(self.own) + self.queue.qsize()

    def take(self, until_ms: float) -> Iterator[CoreEvent]:
        """Waits until something comes or `until_ms`; then all that is there, up to a batch."""
        waits = not self.own
        while self.own:
            yield self.own.popleft()
        try:
            if waits:
                yield self.queue.get(timeout=seconds_until(until_ms))
            for _ in range(BATCH_MOST):
                yield self.queue.get_nowait()
        except queue.Empty:
            return


class Broker:
    """Events in, actions out. `released` hands releases of calls that are not known here to the callers."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        inbox: Inbox,
        hubs: HubClient,
        released: Callable[[str, int], None],
        contracts: Contracts | None = None,
        life: Lifecycle | None = None,
    ) -> None:
        settings = replace(settings, release_ms=settings.release_ms + RELEASE_MARGIN_MS)
        self.set = settings
        self.inbox = inbox
        self.hubs = hubs
        self.released = released
        self.contracts = contracts or Contracts(())
        self.switch = Softswitch(settings, seed)
        self.guard = Guard(settings)
        self.kinds = {kind.name: index for index, kind in enumerate(settings.classes)}
        self.numbers = itertools.count(1)
        self.listed: set[int] = set()  # numbers that a lab hub has or had
        self.open: dict[str, PendingCall] = {}
        self.by_number: dict[int, PendingCall] = {}
        self.standing: dict[str, EstablishedCall] = {}
        # the last calls that ended without standing, and until when none may be sent under their ids
        self.refused: OrderedDict[str, float] = OrderedDict()
        self.timers: list[tuple[float, int, Timer]] = []
        self.order = itertools.count()
        self.now = now_ms()
        self.life = life or Lifecycle()
        room = [n for n, f in enumerate(settings.figures) if f is Figure.ROOM_PER_S]
        self.room_at = room[0] if room else -1

    # --- the loop ---

    def run(self) -> None:
        while self.life.core_runs:
            self.turn()

    def turn(self) -> None:
        """One batch: all of it happens at one time, as the decision module expects."""
        due = self.timers[0][0] if self.timers else now_ms() + 1000
        if not self.life.well:
            due = min(due, now_ms() + LOOK_MS)
        batch = list(self.inbox.take(due))
        self.now = now_ms()
        for event in batch:
            self._safely(event)
        while self.timers and self.timers[0][0] <= self.now:
            self._safely(heapq.heappop(self.timers)[2])
        if not self.life.well:
            # guards against what the kill would find unanswered
            if self.life.check_core(len(self.open), self.inbox.size(), self.now):
                for exchange in list(self.open.values()):
                    self._refuse_now(exchange)
            self.inbox.closed = not self.life.takes

    def _safely(self, event: CoreEvent | Timer) -> None:
        try:
            self._one(event)
        except Exception:  # guards the other calls: one event that goes wrong must not end the program
            traceback.print_exc(file=sys.stderr)
            if isinstance(event, Offer):
                exchange = self.open.get(event.call_id)
                if exchange is not None and exchange.attempt is None:
                    exchange.refuse(self._come_back(), RefusalReason.FAILED)
                    self._forget(exchange)

    def _at(self, when: float, what: Timer) -> None:
        heapq.heappush(self.timers, (when, next(self.order), what))

    def _one(self, event: CoreEvent | Timer) -> None:
        match event:
            case Offer():
                self._offered(event)
            case SetUpCancelled():
                self._withdrawn(event)
            case CallerStreamBroken(call, caller):
                exchange = self.open.get(call)
                if exchange is not None and exchange.offer.caller.origin is caller.origin:
                    self._refuse_now(exchange)
            case AttemptEstablished():
                self._stood(event)
            case AttemptFailed():
                self._ended(event)
            case HubReleased():
                self._hub_released(event)
            case CallerReleased(call):
                self._caller_released(call)
            case HubFailed(hub, before):
                self._hub_died(hub, before)
            case LoadReported(hub, figures):
                self._module(Report(hub, False, True, 0.0, figures))
            case ProbeCompleted(hub, well, latency, figures):
                self._heard(hub, figures)
                self._module(Report(hub, True, well, latency, figures))
            case HubListChanged(change):
                self.listed.update(entry.number for entry in change.entries)
                self.guard.news(change)
                self._module(change)
                for entry in change.entries:  # what stood before its process started is over
                    if entry.came_up_ms > 0:
                        self._hub_died(entry.exchange, entry.came_up_ms)
            case ContractsChanged(contracts):
                self.contracts.replace(contracts, self.now)
            case StopRequested(asked_ms):
                self.life.stop(asked_ms)
            case Attempt():
                self._attempt_due(event)
            case DelayedAttempt(attempt):
                if self._current(attempt) is not None:
                    self.hubs.set_up(attempt)
            case Woken():
                self._module(event)
            case str():
                self._last_moment(event)

    # --- callers ---

    def _offered(self, offer: Offer) -> None:
        again = self.open.get(offer.call_id)
        if self._sent_again(offer, again or self.standing.get(offer.call_id)):
            return
        exchange = PendingCall(offer, next(self.numbers))
        if again is not None or offer.call_id in self.standing:
            # guards against whoever uses the id of another's call: it would be told that call's answer
            exchange.refuse(0.0, RefusalReason.FAILED)
            return
        kind = self.kinds.get(offer.class_name)
        team_later = self.contracts.admit(offer.team, offer.class_name, offer.call_id, self.now)
        if kind is None or offer.destination not in self.listed:
            exchange.refuse(
                0.0, RefusalReason.FAILED
            )  # guards the module's tables against numbers that no hub had
        elif team_later > 0:
            exchange.refuse(team_later)
        elif team_later < 0:
            exchange.refuse(0.0, RefusalReason.FORBIDDEN)
        elif len(self.open) >= OPEN_MOST or self.now >= offer.deadline_ms - LAST_MOMENT_MS:
            exchange.refuse(self._come_back())
        elif self.now < self.refused.get(offer.call_id, 0.0):
            exchange.refuse(self._come_back())  # its last attempt is still being released at a lab hub
        if exchange.final or kind is None:
            log_event("refused", call=offer.call_id, by="core", attempts=0, known=again is not None)
            self.contracts.ended(offer.call_id)
            return
        self.open[offer.call_id] = self.by_number[exchange.number] = exchange
        self._at(offer.deadline_ms - LAST_MOMENT_MS, offer.call_id)
        self._module(
            CallOffered(
                exchange.number,
                offer.destination,
                kind,
                offer.width,
                offer.deadline_ms - self.now,
                advised=offer.advised_tandem,
                in_transit=offer.in_transit,
                again_after_cut=offer.again_after_cut,
                called=offer.called_number,
            )
        )

    def _sent_again(self, offer: Offer, known: PendingCall | EstablishedCall | None) -> bool:
        """A set-up whose connection has ended and that comes on a new one: its answer goes there."""
        if known is None or not offer.is_repeat_of(known.offer) or known.offer.caller.reachable():
            return False
        if isinstance(known, EstablishedCall):
            if self.now - known.since_ms > SENT_AGAIN_MS:
                return False
            offer.caller.answer(known.description)
        log_event("sent_again", call=offer.call_id, stands=isinstance(known, EstablishedCall))
        known.offer = offer
        return True

    def _withdrawn(self, event: SetUpCancelled) -> None:
        # guards against whoever gives up a set-up under the id of another's call
        exchange, standing = self.open.get(event.call_id), self.standing.get(event.call_id)
        if exchange is not None:
            if exchange.offer.caller.origin is event.caller.origin and exchange.withdraw():
                log_event("withdrawn", call=event.call_id, attempts=exchange.attempts)
                self._drop(exchange)
        elif standing is not None and standing.offer.caller.origin is event.caller.origin:
            self._caller_released(event.call_id)  # it crossed the answer

    def _caller_released(self, call: str) -> None:
        standing = self.standing.pop(call, None)
        if standing is None:
            return
        self.contracts.ended(call)
        self.hubs.release(standing.attempt.hub, call)
        self._module(self._end_of(standing, Ending.CANCELLED))

    def _last_moment(self, call: str) -> None:
        """Guards against a call left without its answer, whatever became of the decision on it."""
        exchange = self.open.get(call)
        if exchange is None or self.now < exchange.deadline_ms - LAST_MOMENT_MS:
            return
        self._refuse_now(exchange)

    def _refuse_now(self, exchange: PendingCall) -> None:
        """The core's own refusal, without asking the module; nothing where the answer has been given."""
        if exchange.refuse(self._come_back(), exchange.why):
            log_event("refused", call=exchange.offer.call_id, why=exchange.why.value, by="core",
                   attempts=exchange.attempts)  # fmt: skip
            self._drop(exchange)

    def _drop(self, exchange: PendingCall) -> None:
        """The call is over for its caller: an attempt still out is called off."""
        attempt = exchange.attempt
        if attempt is not None:
            exchange.not_before = self.now + self.set.release_ms
        self._forget(exchange)
        self._module(CallerLeft(exchange.number))
        if attempt is not None:
            self.hubs.cancel(attempt)
            self._module(
                AttemptEnded(exchange.number, attempt.hub, attempt.number, Ending.CANCELLED, True,
                             self.now - attempt.sent_ms)
            )  # fmt: skip

    def _forget(self, exchange: PendingCall) -> None:
        self.open.pop(exchange.offer.call_id, None)
        self.by_number.pop(exchange.number, None)
        exchange.attempt = None
        if exchange.offer.call_id not in self.standing:
            self.contracts.ended(exchange.offer.call_id)
            self.refused[exchange.offer.call_id] = exchange.not_before
            while len(self.refused) > REFUSED_MOST:
                self.refused.popitem(last=False)

    def _come_back(self) -> float:
        return self.set.max_retry_advice_ms if self.set.retry_advice else 0.0

    # --- lab hubs ---

    def _current(self, attempt: Attempt) -> PendingCall | None:
        exchange = self.open.get(attempt.offer.call_id)
        return exchange if exchange is not None and exchange.attempt is attempt else None

    def _stood(self, event: AttemptEstablished) -> None:
        attempt, call = event.attempt, event.attempt.offer.call_id
        exchange = self._current(attempt)
        if exchange is None:  # it crossed our giving up: what stands there for nobody is released
            standing = self.standing.get(call)
            busy = self.open.get(call)
            if not (standing and standing.attempt.hub == attempt.hub) and not (
                busy and busy.attempt and busy.attempt.hub == attempt.hub
            ):
                self.hubs.release(attempt.hub, call)
            return
        if len(self.standing) >= STANDING_MOST:
            oldest = next(iter(self.standing))
            del self.standing[oldest]
            self.contracts.ended(oldest)
        self.standing[call] = EstablishedCall(exchange, attempt, event.description, self.now)
        exchange.answer(event.description)
        self._forget(exchange)
        self._module(CallStands(exchange.number, attempt.hub, attempt.number, self.now - attempt.sent_ms))
        if exchange.released is not None:
            self._hub_released(exchange.released)

    def _ended(self, event: AttemptFailed) -> None:
        attempt = event.attempt
        exchange = self._current(attempt)
        self._heard(attempt.hub, event.load_values)
        if exchange is None:
            return
        exchange.attempt = None
        if event.ending not in UNANSWERED:
            exchange.answered_ms[attempt.hub] = self.now
        log_event("attempt_ended", call=attempt.offer.call_id, hub=attempt.hub, number=attempt.number,
               ending=event.ending.name, after_ms=self.now - attempt.sent_ms)  # fmt: skip
        timed_out = event.ending is Ending.TIMED_OUT
        exchange.why = (
            RefusalReason.TIMED_OUT if timed_out else WHY.get(event.reason, RefusalReason.UNAVAILABLE)
        )
        if event.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED):
            exchange.not_before = self.now + self.set.release_ms
        self._module(
            AttemptEnded(exchange.number, attempt.hub, attempt.number, event.ending, False,
                         self.now - attempt.sent_ms, event.reason, 0.0, event.load_values)
        )  # fmt: skip

    def _attempt_due(self, attempt: Attempt) -> None:
        if self._current(attempt) is not None:
            # guards the module against taking a connection that fell silent for a processor that is slow
            mute = self.hubs.cancel(attempt)
            self._ended(AttemptFailed(attempt, Ending.CANCELLED if mute else Ending.TIMED_OUT))

    def _end_of(self, standing: EstablishedCall, ending: Ending, report: tuple[float, ...] = ()) -> Event:
        attempt = standing.attempt
        return AttemptEnded(
            standing.number,
            attempt.hub,
            attempt.number,
            ending,
            True,
            self.now - attempt.sent_ms,
            report=report,
        )

    def _hub_released(self, event: HubReleased) -> None:
        standing = self.standing.get(event.call_id)
        self._heard(event.hub, event.load_values)
        if standing is None:
            self._released_without_standing(event)
            return
        if standing.attempt.hub != event.hub:
            return  # a late word on an attempt that was given up; the call stands elsewhere
        del self.standing[event.call_id]
        self.contracts.ended(event.call_id)
        standing.offer.caller.release(event.cause)
        ending = Ending.CUT if event.cause == CAUSE_CALL_CUT else Ending.ENDED
        self._module(self._end_of(standing, ending, event.load_values))

    def _released_without_standing(self, event: HubReleased) -> None:
        """A caller hears of an end only after its answer, or if the call is from before a restart."""
        exchange = self.open.get(event.call_id)
        if exchange is not None:
            current = exchange.attempt is not None and exchange.attempt.hub == event.hub
            log_event("release_before_answer", call=event.call_id, hub=event.hub, current=current)
            if current:
                exchange.released = event
        elif event.call_id in self.refused:
            log_event("release_ignored", call=event.call_id, hub=event.hub)
        else:
            log_event("release_of_unknown", call=event.call_id, hub=event.hub, cause=event.cause)
            self.released(event.call_id, event.cause)

    def _hub_died(self, hub: bytes, before_ms: float) -> None:
        cut = [
            call
            for call, standing in self.standing.items()
            if standing.attempt.hub == hub and standing.attempt.sent_ms < before_ms
        ]
        if cut:
            log_text(f"{hub!r} is gone: {len(cut)} calls that stood there are released")
        for call in cut:
            if call in self.standing:
                self._hub_released(HubReleased(call, hub, CAUSE_CALL_CUT))

    def _heard(self, hub: bytes, figures: tuple[float, ...]) -> None:
        if 0 <= self.room_at < len(figures):
            self.guard.room(hub, figures[self.room_at])

    # --- the decision module ---

    def _module(self, event: Event) -> None:
        for action in self.switch.handle(event, self.now):
            self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case SetUp(number, hub, wait):
                self._set_up(number, hub, wait)
            case Refuse(number, come_back):
                self._refuse(number, come_back, None)
            case GiveUp(number, come_back):
                self._refuse(number, come_back, RefusalReason.FAILED)
            case Probe(hub):
                self.hubs.probe(hub, self.now + PROBE_WAIT_MS)
            case WakeAt(when, token):
                self._at(when, Woken(token))
            case Say(text):
                log_text(text)
            case _:
                pass  # the platform tells news by itself, and border controllers have no way to talk

    def _refuse(self, number: int, come_back: float, why: RefusalReason | None) -> None:
        exchange = self.by_number.get(number)
        if exchange is not None:
            attempt = exchange.attempt
            exchange.refuse(come_back, why or exchange.why)
            if attempt is not None:
                exchange.not_before = self.now + self.set.release_ms
            log_event("refused", call=exchange.offer.call_id, why=(why or exchange.why).value, by="module",
                   attempts=exchange.attempts, come_back_ms=come_back)  # fmt: skip
            self._forget(exchange)
            if attempt is not None:
                self.hubs.cancel(attempt)

    def _set_up(self, number: int, hub: bytes, wait: float) -> None:
        exchange = self.by_number.get(number)
        if exchange is None:
            return
        objection = self.guard.objection(exchange, hub, self.now)
        if objection:
            log_text(f"set-up of {exchange.offer.call_id} held back: {objection}")
            self._module(AttemptEnded(number, hub, exchange.attempts, Ending.NOT_SENT, False, 0.0))
            return
        until = exchange.deadline_ms - LAST_MOMENT_MS
        if wait > 0:
            until = min(until, self.now + wait)
        goes_out = max(self.now, exchange.answered_ms.get(hub, 0.0) + DUPLICATE_ANSWER_MS)
        attempt = Attempt(exchange.offer, exchange.attempts, hub, goes_out, until)
        exchange.attempt, exchange.attempts, exchange.released = attempt, exchange.attempts + 1, None
        self.guard.sent(hub, self.now)
        self._at(until, attempt)
        if goes_out > self.now:
            self._at(goes_out, DelayedAttempt(attempt))
        else:
            self.hubs.set_up(attempt)
