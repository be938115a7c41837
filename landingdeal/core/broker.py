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
MAX_PENDING_CALLS = 4000  # calls waiting for an answer
MAX_ESTABLISHED_CALLS = 20000  # above this the one that has stood longest is no longer followed
REPEAT_WINDOW_MS = 1500.0  # after its answer, a set-up may come again whose connection has ended
DUPLICATE_ANSWER_MS = (
    50.0  # a lab hub's answer may come twice: until then none is out there that could be meant
)
MAX_ENDED_CALLS = 4096  # calls that ended without standing and are still known
MAX_BATCH_SIZE = 256
DEADLINE_MARGIN_MS = 30.0  # before a call's deadline the core answers by itself if the module has not
RELEASE_MARGIN_MS = 10.0  # a release counts from where it arrives, which is later than where it was decided
PROBE_TIMEOUT_MS = 250.0  # a probe without an answer by then has failed
CAUSE_CALL_CUT = 41  # the call was cut; 16 is an ordinary end
NOT_ANSWERED = (Ending.TIMED_OUT, Ending.UNREACHABLE)  # no lab hub said so
REFUSAL_REASONS = {Reason.LINES_BUSY: RefusalReason.BUSY}

STOP_POLL_MS = 20.0  # while the program is ending


@dataclass(frozen=True, slots=True)
class DelayedAttempt:
    """An attempt that is decided and goes out a little later."""

    attempt: Attempt


Timer = Attempt | DelayedAttempt | Woken | str


class Inbox:
    """The only way into the core. Set-ups are turned away when it is full; other news waits for room."""

    def __init__(self) -> None:
        self.queue: queue.Queue[CoreEvent] = queue.Queue(MAX_INBOX_SIZE * 2)
        self.core_events: deque[CoreEvent] = deque()
        self.closed = False

    def offer(self, offer: Offer) -> bool:
        """False: the inbox is full, or the core has ended; the caller has to be refused where it stands."""
        if self.closed or self.queue.qsize() >= MAX_INBOX_SIZE:
            return False
        self.queue.put(offer)
        return True

    def put(self, event: CoreEvent) -> None:
        self.queue.put(event)

    def put_from_core(self, event: CoreEvent) -> None:
        """For the core's own thread, which must not wait for room: it alone makes room."""
        self.core_events.append(event)

    def size(self) -> int:
        return len(self.core_events) + self.queue.qsize()

    def take(self, until_ms: float) -> Iterator[CoreEvent]:
        """Waits until something comes or `until_ms`; then all that is there, up to a batch."""
        waits = not self.core_events
        while self.core_events:
            yield self.core_events.popleft()
        try:
            if waits:
                yield self.queue.get(timeout=seconds_until(until_ms))
            for _ in range(MAX_BATCH_SIZE):
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
        self.settings = settings
        self.inbox = inbox
        self.hubs = hubs
        self.release_unknown = released
        self.contracts = contracts or Contracts(())
        self.switch = Softswitch(settings, seed)
        self.guard = Guard(settings)
        self.class_indexes = {kind.name: index for index, kind in enumerate(settings.classes)}
        self.numbers = itertools.count(1)
        self.known_hub_numbers: set[int] = set()  # numbers that a lab hub has or had
        self.pending: dict[str, PendingCall] = {}
        self.pending_by_number: dict[int, PendingCall] = {}
        self.established: dict[str, EstablishedCall] = {}
        # the last calls that ended without standing, and until when none may be sent under their ids
        self.ended: OrderedDict[str, float] = OrderedDict()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_order = itertools.count()
        self.now = now_ms()
        self.lifecycle = life or Lifecycle()
        room = [n for n, f in enumerate(settings.figures) if f is Figure.ROOM_PER_S]
        self.capacity_index = room[0] if room else -1

    # --- the loop ---

    def run(self) -> None:
        while self.lifecycle.core_running:
            self.run_once()

    def run_once(self) -> None:
        """One batch: all of it happens at one time, as the decision module expects."""
        due = self.timers[0][0] if self.timers else now_ms() + 1000
        if not self.lifecycle.healthy:
            due = min(due, now_ms() + STOP_POLL_MS)
        batch = list(self.inbox.take(due))
        self.now = now_ms()
        for event in batch:
            self._handle_safely(event)
        while self.timers and self.timers[0][0] <= self.now:
            self._handle_safely(heapq.heappop(self.timers)[2])
        if not self.lifecycle.healthy:
            # guards against what the kill would find unanswered
            if self.lifecycle.check_core(len(self.pending), self.inbox.size(), self.now):
                for exchange in list(self.pending.values()):
                    self._refuse_pending(exchange)
            self.inbox.closed = not self.lifecycle.accepts_set_ups

    def _handle_safely(self, event: CoreEvent | Timer) -> None:
        try:
            self._handle(event)
        except Exception:  # guards the other calls: one event that goes wrong must not end the program
            traceback.print_exc(file=sys.stderr)
            if isinstance(event, Offer):
                exchange = self.pending.get(event.call_id)
                if exchange is not None and exchange.attempt is None:
                    exchange.refuse(self._retry_after_ms(), RefusalReason.FAILED)
                    self._remove_pending(exchange)

    def _set_timer(self, when: float, what: Timer) -> None:
        heapq.heappush(self.timers, (when, next(self.timer_order), what))

    def _handle(self, event: CoreEvent | Timer) -> None:
        match event:
            case Offer():
                self._handle_offer(event)
            case SetUpCancelled():
                self._handle_cancel(event)
            case CallerStreamBroken(call, caller):
                exchange = self.pending.get(call)
                if exchange is not None and exchange.offer.caller.origin is caller.origin:
                    self._refuse_pending(exchange)
            case AttemptEstablished():
                self._handle_established(event)
            case AttemptFailed():
                self._handle_attempt_failed(event)
            case HubReleased():
                self._handle_hub_release(event)
            case CallerReleased(call):
                self._handle_caller_release(call)
            case HubFailed(hub, before):
                self._handle_hub_failed(hub, before)
            case LoadReported(hub, figures):
                self._notify_module(Report(hub, False, True, 0.0, figures))
            case ProbeCompleted(hub, well, latency, figures):
                self._update_guard(hub, figures)
                self._notify_module(Report(hub, True, well, latency, figures))
            case HubListChanged(change):
                self.known_hub_numbers.update(entry.number for entry in change.entries)
                self.guard.update_hubs(change)
                self._notify_module(change)
                for entry in change.entries:  # what stood before its process started is over
                    if entry.came_up_ms > 0:
                        self._handle_hub_failed(entry.exchange, entry.came_up_ms)
            case ContractsChanged(contracts):
                self.contracts.replace(contracts, self.now)
            case StopRequested(asked_ms):
                self.lifecycle.request_stop(asked_ms)
            case Attempt():
                self._handle_attempt_timeout(event)
            case DelayedAttempt(attempt):
                if self._pending_for(attempt) is not None:
                    self.hubs.set_up(attempt)
            case Woken():
                self._notify_module(event)
            case str():
                self._handle_deadline(event)

    # --- callers ---

    def _handle_offer(self, offer: Offer) -> None:
        again = self.pending.get(offer.call_id)
        if self._take_over_repeat(offer, again or self.established.get(offer.call_id)):
            return
        exchange = PendingCall(offer, next(self.numbers))
        if again is not None or offer.call_id in self.established:
            # guards against whoever uses the id of another's call: it would be told that call's answer
            exchange.refuse(0.0, RefusalReason.FAILED)
            return
        kind = self.class_indexes.get(offer.class_name)
        team_later = self.contracts.admit(offer.team, offer.class_name, offer.call_id, self.now)
        if kind is None or offer.destination not in self.known_hub_numbers:
            exchange.refuse(
                0.0, RefusalReason.FAILED
            )  # guards the module's tables against numbers that no hub had
        elif team_later > 0:
            exchange.refuse(team_later)
        elif team_later < 0:
            exchange.refuse(0.0, RefusalReason.FORBIDDEN)
        elif len(self.pending) >= MAX_PENDING_CALLS or self.now >= offer.deadline_ms - DEADLINE_MARGIN_MS:
            exchange.refuse(self._retry_after_ms())
        elif self.now < self.ended.get(offer.call_id, 0.0):
            exchange.refuse(self._retry_after_ms())  # its last attempt is still being released at a lab hub
        if exchange.concluded or kind is None:
            log_event("refused", call=offer.call_id, by="core", attempts=0, known=again is not None)
            self.contracts.call_ended(offer.call_id)
            return
        self.pending[offer.call_id] = self.pending_by_number[exchange.number] = exchange
        self._set_timer(offer.deadline_ms - DEADLINE_MARGIN_MS, offer.call_id)
        self._notify_module(
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

    def _take_over_repeat(self, offer: Offer, known: PendingCall | EstablishedCall | None) -> bool:
        """A set-up whose connection has ended and that comes on a new one: its answer goes there."""
        if known is None or not offer.is_repeat_of(known.offer) or known.offer.caller.reachable():
            return False
        if isinstance(known, EstablishedCall):
            if self.now - known.since_ms > REPEAT_WINDOW_MS:
                return False
            offer.caller.answer(known.description)
        log_event("sent_again", call=offer.call_id, stands=isinstance(known, EstablishedCall))
        known.offer = offer
        return True

    def _handle_cancel(self, event: SetUpCancelled) -> None:
        # guards against whoever gives up a set-up under the id of another's call
        exchange, standing = self.pending.get(event.call_id), self.established.get(event.call_id)
        if exchange is not None:
            if exchange.offer.caller.origin is event.caller.origin and exchange.cancel():
                log_event("withdrawn", call=event.call_id, attempts=exchange.attempt_count)
                self._abandon(exchange)
        elif standing is not None and standing.offer.caller.origin is event.caller.origin:
            self._handle_caller_release(event.call_id)  # it crossed the answer

    def _handle_caller_release(self, call: str) -> None:
        standing = self.established.pop(call, None)
        if standing is None:
            return
        self.contracts.call_ended(call)
        self.hubs.release(standing.attempt.hub, call)
        self._notify_module(self._call_ended_event(standing, Ending.CANCELLED))

    def _handle_deadline(self, call: str) -> None:
        """Guards against a call left without its answer, whatever became of the decision on it."""
        exchange = self.pending.get(call)
        if exchange is None or self.now < exchange.deadline_ms - DEADLINE_MARGIN_MS:
            return
        self._refuse_pending(exchange)

    def _refuse_pending(self, exchange: PendingCall) -> None:
        """The core's own refusal, without asking the module; nothing where the answer has been given."""
        if exchange.refuse(self._retry_after_ms(), exchange.refusal_reason):
            log_event("refused", call=exchange.offer.call_id, why=exchange.refusal_reason.value, by="core",
                   attempts=exchange.attempt_count)  # fmt: skip
            self._abandon(exchange)

    def _abandon(self, exchange: PendingCall) -> None:
        """The call is over for its caller: an attempt still out is called off."""
        attempt = exchange.attempt
        if attempt is not None:
            exchange.not_before_ms = self.now + self.settings.release_ms
        self._remove_pending(exchange)
        self._notify_module(CallerLeft(exchange.number))
        if attempt is not None:
            self.hubs.cancel(attempt)
            self._notify_module(
                AttemptEnded(exchange.number, attempt.hub, attempt.number, Ending.CANCELLED, True,
                             self.now - attempt.sent_ms)
            )  # fmt: skip

    def _remove_pending(self, exchange: PendingCall) -> None:
        self.pending.pop(exchange.offer.call_id, None)
        self.pending_by_number.pop(exchange.number, None)
        exchange.attempt = None
        if exchange.offer.call_id not in self.established:
            self.contracts.call_ended(exchange.offer.call_id)
            self.ended[exchange.offer.call_id] = exchange.not_before_ms
            while len(self.ended) > MAX_ENDED_CALLS:
                self.ended.popitem(last=False)

    def _retry_after_ms(self) -> float:
        return self.settings.max_retry_advice_ms if self.settings.retry_advice else 0.0

    # --- lab hubs ---

    def _pending_for(self, attempt: Attempt) -> PendingCall | None:
        exchange = self.pending.get(attempt.offer.call_id)
        return exchange if exchange is not None and exchange.attempt is attempt else None

    def _handle_established(self, event: AttemptEstablished) -> None:
        attempt, call = event.attempt, event.attempt.offer.call_id
        exchange = self._pending_for(attempt)
        if exchange is None:  # it crossed our giving up: what stands there for nobody is released
            standing = self.established.get(call)
            busy = self.pending.get(call)
            if not (standing and standing.attempt.hub == attempt.hub) and not (
                busy and busy.attempt and busy.attempt.hub == attempt.hub
            ):
                self.hubs.release(attempt.hub, call)
            return
        if len(self.established) >= MAX_ESTABLISHED_CALLS:
            oldest = next(iter(self.established))
            del self.established[oldest]
            self.contracts.call_ended(oldest)
        self.established[call] = EstablishedCall(exchange, attempt, event.description, self.now)
        exchange.answer(event.description)
        self._remove_pending(exchange)
        self._notify_module(
            CallStands(exchange.number, attempt.hub, attempt.number, self.now - attempt.sent_ms)
        )
        if exchange.early_release is not None:
            self._handle_hub_release(exchange.early_release)

    def _handle_attempt_failed(self, event: AttemptFailed) -> None:
        attempt = event.attempt
        exchange = self._pending_for(attempt)
        self._update_guard(attempt.hub, event.load_values)
        if exchange is None:
            return
        exchange.attempt = None
        if event.ending not in NOT_ANSWERED:
            exchange.refused_ms_by_hub[attempt.hub] = self.now
        log_event("attempt_ended", call=attempt.offer.call_id, hub=attempt.hub, number=attempt.number,
               ending=event.ending.name, after_ms=self.now - attempt.sent_ms)  # fmt: skip
        timed_out = event.ending is Ending.TIMED_OUT
        exchange.refusal_reason = (
            RefusalReason.TIMED_OUT
            if timed_out
            else REFUSAL_REASONS.get(event.reason, RefusalReason.UNAVAILABLE)
        )
        if event.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED):
            exchange.not_before_ms = self.now + self.settings.release_ms
        self._notify_module(
            AttemptEnded(exchange.number, attempt.hub, attempt.number, event.ending, False,
                         self.now - attempt.sent_ms, event.reason, 0.0, event.load_values)
        )  # fmt: skip

    def _handle_attempt_timeout(self, attempt: Attempt) -> None:
        if self._pending_for(attempt) is not None:
            # guards the module against taking a connection that fell silent for a processor that is slow
            mute = self.hubs.cancel(attempt)
            self._handle_attempt_failed(
                AttemptFailed(attempt, Ending.CANCELLED if mute else Ending.TIMED_OUT)
            )

    def _call_ended_event(
        self, standing: EstablishedCall, ending: Ending, report: tuple[float, ...] = ()
    ) -> Event:
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

    def _handle_hub_release(self, event: HubReleased) -> None:
        standing = self.established.get(event.call_id)
        self._update_guard(event.hub, event.load_values)
        if standing is None:
            self._handle_unmatched_release(event)
            return
        if standing.attempt.hub != event.hub:
            return  # a late word on an attempt that was given up; the call stands elsewhere
        del self.established[event.call_id]
        self.contracts.call_ended(event.call_id)
        standing.offer.caller.release(event.cause)
        ending = Ending.CUT if event.cause == CAUSE_CALL_CUT else Ending.ENDED
        self._notify_module(self._call_ended_event(standing, ending, event.load_values))

    def _handle_unmatched_release(self, event: HubReleased) -> None:
        """A caller hears of an end only after its answer, or if the call is from before a restart."""
        exchange = self.pending.get(event.call_id)
        if exchange is not None:
            current = exchange.attempt is not None and exchange.attempt.hub == event.hub
            log_event("release_before_answer", call=event.call_id, hub=event.hub, current=current)
            if current:
                exchange.early_release = event
        elif event.call_id in self.ended:
            log_event("release_ignored", call=event.call_id, hub=event.hub)
        else:
            log_event("release_of_unknown", call=event.call_id, hub=event.hub, cause=event.cause)
            self.release_unknown(event.call_id, event.cause)

    def _handle_hub_failed(self, hub: bytes, before_ms: float) -> None:
        cut = [
            call
            for call, standing in self.established.items()
            if standing.attempt.hub == hub and standing.attempt.sent_ms < before_ms
        ]
        if cut:
            log_text(f"{hub!r} is gone: {len(cut)} calls that stood there are released")
        for call in cut:
            if call in self.established:
                self._handle_hub_release(HubReleased(call, hub, CAUSE_CALL_CUT))

    def _update_guard(self, hub: bytes, figures: tuple[float, ...]) -> None:
        if 0 <= self.capacity_index < len(figures):
            self.guard.update_capacity(hub, figures[self.capacity_index])

    # --- the decision module ---

    def _notify_module(self, event: Event) -> None:
        for action in self.switch.handle(event, self.now):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case SetUp(number, hub, wait):
                self._execute_set_up(number, hub, wait)
            case Refuse(number, come_back):
                self._execute_refusal(number, come_back, None)
            case GiveUp(number, come_back):
                self._execute_refusal(number, come_back, RefusalReason.FAILED)
            case Probe(hub):
                self.hubs.probe(hub, self.now + PROBE_TIMEOUT_MS)
            case WakeAt(when, token):
                self._set_timer(when, Woken(token))
            case Say(text):
                log_text(text)
            case _:
                pass  # the platform tells news by itself, and border controllers have no way to talk

    def _execute_refusal(self, number: int, come_back: float, why: RefusalReason | None) -> None:
        exchange = self.pending_by_number.get(number)
        if exchange is not None:
            attempt = exchange.attempt
            exchange.refuse(come_back, why or exchange.refusal_reason)
            if attempt is not None:
                exchange.not_before_ms = self.now + self.settings.release_ms
            log_event("refused", call=exchange.offer.call_id, why=(why or exchange.refusal_reason).value,
                   by="module", attempts=exchange.attempt_count, come_back_ms=come_back)  # fmt: skip
            self._remove_pending(exchange)
            if attempt is not None:
                self.hubs.cancel(attempt)

    def _execute_set_up(self, number: int, hub: bytes, wait: float) -> None:
        exchange = self.pending_by_number.get(number)
        if exchange is None:
            return
        objection = self.guard.objection(exchange, hub, self.now)
        if objection:
            log_text(f"set-up of {exchange.offer.call_id} held back: {objection}")
            self._notify_module(
                AttemptEnded(number, hub, exchange.attempt_count, Ending.NOT_SENT, False, 0.0)
            )
            return
        until = exchange.deadline_ms - DEADLINE_MARGIN_MS
        if wait > 0:
            until = min(until, self.now + wait)
        goes_out = max(self.now, exchange.refused_ms_by_hub.get(hub, 0.0) + DUPLICATE_ANSWER_MS)
        attempt = Attempt(exchange.offer, exchange.attempt_count, hub, goes_out, until)
        exchange.attempt, exchange.attempt_count, exchange.early_release = (
            attempt,
            exchange.attempt_count + 1,
            None,
        )
        self.guard.record_send(hub, self.now)
        self._set_timer(until, attempt)
        if goes_out > self.now:
            self._set_timer(goes_out, DelayedAttempt(attempt))
        else:
            self.hubs.set_up(attempt)
