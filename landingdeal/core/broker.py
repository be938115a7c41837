"""The core: one thread that owns the decision module, an inbox and a timer heap.

It turns events of the fronts into events of the decision module and carries out the module's actions. It does
no I/O itself.
"""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from badgerstile.control import Softswitch
from badgerstile.interface import (
    Action,
    AttemptEnded,
    AttemptOutcome,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    Event,
    FailCall,
    LoadField,
    LogMessage,
    Probe,
    Refuse,
    RejectionReason,
    Report,
    SetTimer,
    Settings,
    SetUp,
    TimerFired,
)
from landingdeal.clock import now_ms
from landingdeal.core.calls import EstablishedCall, PendingCall
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
from landingdeal.core.guard import Guard
from landingdeal.core.inbox import Inbox
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.core.pending_send import PendingSend
from landingdeal.log import log_event, log_exception, log_text

MAX_PENDING_CALLS = 4000  # further set-ups are refused
MAX_ESTABLISHED_CALLS = 20000  # above this the oldest established call is no longer tracked
REPEAT_WINDOW_MS = 1500.0  # after the answer, for a caller that lost its connection and repeats the set-up
# A lab hub may repeat an answer: for so long no new attempt goes to it that the repeat could be taken for
DUPLICATE_ANSWER_MS = 50.0
MAX_ENDED_CALLS = 4096  # calls that ended without being established and are still remembered
DEADLINE_MARGIN_MS = 30.0  # so long before its deadline the core refuses a call that has no answer
RELEASE_MARGIN_MS = 10.0  # the release time counts from its arrival at the hub, later than the decision here
PROBE_TIMEOUT_MS = 250.0
CAUSE_CALL_CUT = 41  # Q.850 temporary failure: the call was cut; 16 is normal clearing
# Outcomes without an answer of the lab hub
NOT_ANSWERED = (AttemptOutcome.TIMED_OUT, AttemptOutcome.UNREACHABLE)
REFUSAL_REASONS = {RejectionReason.LINES_BUSY: RefusalReason.BUSY}

STOP_POLL_MS = 20.0  # between checks of the lifecycle while the program is stopping


@dataclass(frozen=True, slots=True)
class DelayedAttempt:
    """A timer event: the attempt is decided and is sent when the timer fires."""

    attempt: Attempt


# An Attempt times out, a call id (str) reaches its deadline, a TimerFired is for the decision module
Timer = Attempt | DelayedAttempt | TimerFired | str


def _log_call(kind: str, offer: Offer, **fields: object) -> None:
    """Logs an event of a call that its caller can cause at will, within the share of its connection."""
    log_event(kind, offer.caller.log_share, call=offer.call_id, **fields)


class Broker:
    """Owns all calls and the decision module.

    `release_unknown` passes releases of calls that are not known here on to the callers.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        inbox: Inbox,
        hubs: HubClient,
        release_unknown: Callable[[str, int], None],
        contracts: Contracts | None = None,
        lifecycle: Lifecycle | None = None,
    ) -> None:
        settings = replace(settings, release_wait_ms=settings.release_wait_ms + RELEASE_MARGIN_MS)
        self.settings = settings
        self.inbox = inbox
        self.hubs = hubs
        self.release_unknown = release_unknown
        self.contracts = contracts or Contracts(())
        self.switch = Softswitch(settings, seed)
        self.guard = Guard(settings)
        self.class_indexes = {call_class.name: index for index, call_class in enumerate(settings.classes)}
        self.numbers = itertools.count(1)
        self.known_hub_numbers: set[int] = set()  # each number that a lab hub has or had
        self.pending: dict[str, PendingCall] = {}
        self.pending_by_number: dict[int, PendingCall] = {}
        self.established: dict[str, EstablishedCall] = {}
        # calls that recently ended without being established: until when no set-up may reuse their ids
        self.ended: OrderedDict[str, float] = OrderedDict()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_order = itertools.count()
        self.now = now_ms()
        self.lifecycle = lifecycle or Lifecycle()
        capacity_indexes = [n for n, f in enumerate(settings.load_fields) if f is LoadField.CAPACITY_PER_S]
        self.capacity_index = capacity_indexes[0] if capacity_indexes else -1

    # --- the loop ---

    def run(self) -> None:
        """Handles events until the core may end; whatever ends it, no call is left without its answer."""
        try:
            while self.lifecycle.core_running:
                self.run_once()
        finally:
            self._refuse_all_pending()

    def run_once(self) -> None:
        """Handles a batch of events, then the due timers, all at one time as the decision module expects."""
        due_ms = self.timers[0][0] if self.timers else now_ms() + 1000
        if not self.lifecycle.healthy:
            due_ms = min(due_ms, now_ms() + STOP_POLL_MS)
        batch = list(self.inbox.take(due_ms))
        self.now = now_ms()
        for event in batch:
            self._handle_safely(event)
        while self.timers and self.timers[0][0] <= self.now:
            self._handle_safely(heapq.heappop(self.timers)[2])
        if not self.lifecycle.healthy:
            # refuses pending calls in time before the platform kills the process
            if self.lifecycle.check_core(len(self.pending), self.inbox.size(), self.now):
                self._refuse_all_pending()
            self.inbox.closed = not self.lifecycle.accepts_set_ups

    def _refuse_all_pending(self) -> None:
        for call in list(self.pending.values()):
            try:
                self._refuse_pending(call)
            except Exception:  # the other calls need their answers all the same
                log_exception()

    def _handle_safely(self, event: CoreEvent | Timer) -> None:
        """Handles one event; after an exception a set-up without an attempt is refused."""
        try:
            self._handle(event)
        except Exception:  # one faulty event must not end the program and all other calls
            log_exception()
            if isinstance(event, Offer):
                call = self.pending.get(event.call_id)
                if call is not None and call.attempt is None:
                    call.refuse(self._retry_after_ms(), RefusalReason.FAILED)
                    self._remove_pending(call)

    def _set_timer(self, due_ms: float, timer: Timer) -> None:
        heapq.heappush(self.timers, (due_ms, next(self.timer_order), timer))

    def _handle(self, event: CoreEvent | Timer) -> None:
        match event:
            case Offer():
                self._handle_offer(event)
            case SetUpCancelled():
                self._handle_cancel(event)
            case CallerStreamBroken(call_id, caller):
                call = self.pending.get(call_id)
                if call is not None and call.offer.caller.origin is caller.origin:
                    self._refuse_pending(call)
            case AttemptEstablished():
                self._handle_established(event)
            case AttemptFailed():
                self._handle_attempt_failed(event)
            case HubReleased():
                self._handle_hub_release(event)
            case CallerReleased(call_id):
                self._handle_caller_release(call_id)
            case HubFailed(hub, before_ms):
                self._handle_hub_failed(hub, before_ms)
            case LoadReported(hub, load_values):
                self._notify_module(Report(hub, False, True, 0.0, load_values))
            case ProbeCompleted(hub, succeeded, latency_ms, load_values):
                self._update_guard(hub, load_values)
                self._notify_module(Report(hub, True, succeeded, latency_ms, load_values))
            case HubListChanged(change):
                self.known_hub_numbers.update(entry.number for entry in change.entries)
                self.guard.update_hubs(change)
                self._notify_module(change)
                for entry in change.entries:  # calls from before its restart are lost
                    if entry.started_ms > 0:
                        self._handle_hub_failed(entry.exchange, entry.started_ms)
            case ContractsChanged(contracts):
                self.contracts.replace(contracts, self.now)
            case StopRequested(requested_ms):
                self.lifecycle.request_stop(requested_ms)
            case Attempt():
                self._handle_attempt_timeout(event)
            case DelayedAttempt(attempt):
                if self._pending_for(attempt) is not None:
                    self.hubs.set_up(attempt)
            case TimerFired():
                self._notify_module(event)
            case str():
                self._handle_deadline(event)

    # --- callers ---

    def _handle_offer(self, offer: Offer) -> None:
        pending_call = self.pending.get(offer.call_id)
        if self._take_over_repeat(offer, pending_call or self.established.get(offer.call_id)):
            return
        class_index = self.class_indexes.get(offer.class_name)
        call_class = self.settings.classes[class_index] if class_index is not None else None
        call = PendingCall(offer, next(self.numbers), call_class)
        if pending_call is not None or offer.call_id in self.established:
            # the id belongs to another call: this caller must not get that call's answer
            call.refuse(0.0, RefusalReason.FAILED)
            return
        if offer.caller.has_left():
            _log_call("left", offer, attempts=0)
            call.refuse(self._retry_after_ms(), self.inbox.refusal_reason(offer.identity))
            return
        repeat_reason = self.inbox.request_history.refusal_reason(offer.identity)
        if repeat_reason is not None:
            _log_call("repeat_refused", offer, why=repeat_reason.value)
            call.refuse(self._retry_after_ms(), repeat_reason)
            return
        team_retry_after_ms = self.contracts.admit(offer.team, offer.class_name, offer.call_id, self.now)
        if class_index is None or offer.destination not in self.known_hub_numbers:
            call.refuse(0.0, RefusalReason.FAILED)  # keeps unknown numbers out of the module's tables
        elif team_retry_after_ms > 0:
            call.refuse(team_retry_after_ms)
        elif team_retry_after_ms < 0:
            call.refuse(0.0, RefusalReason.FORBIDDEN)
        elif len(self.pending) >= MAX_PENDING_CALLS or self.now >= offer.deadline_ms - DEADLINE_MARGIN_MS:
            call.refuse(self._retry_after_ms())
        elif self.now < self.ended.get(offer.call_id, 0.0):
            call.refuse(self._retry_after_ms())  # the last attempt of this id is still being released
        if call.concluded or class_index is None:
            _log_call(
                "refused",
                offer,
                by="core",
                attempts=0,
                known=pending_call is not None,
            )
            self.contracts.call_ended(offer.call_id)
            return
        self.pending[offer.call_id] = self.pending_by_number[call.number] = call
        self._set_timer(offer.deadline_ms - DEADLINE_MARGIN_MS, offer.call_id)
        self._notify_module(
            CallOffered(
                call.number,
                offer.destination,
                class_index,
                offer.width,
                offer.deadline_ms - self.now,
                advised_number=offer.advised_number,
                in_transit=offer.in_transit,
                is_redial_after_cut=offer.is_redial_after_cut,
                called_number=offer.called_number,
            )
        )

    def _take_over_repeat(self, offer: Offer, known: PendingCall | EstablishedCall | None) -> bool:
        """Answers a repeated set-up on its new connection, if the first connection has ended.

        Returns false if the set-up is not such a repeat.
        """
        if known is None or not offer.is_repeat_of(known.offer) or known.offer.caller.reachable():
            return False
        if isinstance(known, EstablishedCall):
            if self.now - known.since_ms > REPEAT_WINDOW_MS:
                return False
            offer.caller.answer(known.description)
        _log_call(
            "sent_again",
            offer,
            stands=isinstance(known, EstablishedCall),
        )
        known.offer = offer
        return True

    def _handle_cancel(self, event: SetUpCancelled) -> None:
        # only the connection that the set-up came on may cancel it, not another one that uses the same id
        call, established_call = self.pending.get(event.call_id), self.established.get(event.call_id)
        if call is not None:
            if call.offer.caller.origin is event.caller.origin and call.cancel():
                log_event(
                    "withdrawn", event.caller.log_share, call=event.call_id, attempts=call.attempt_count
                )
                self._abandon(call)
        elif established_call is not None and established_call.offer.caller.origin is event.caller.origin:
            self._handle_caller_release(event.call_id)  # the CANCEL crossed the answer
            self._note_ended(event.call_id, self.now + self.settings.release_wait_ms)

    def _handle_caller_release(self, call_id: str) -> None:
        established_call = self.established.pop(call_id, None)
        if established_call is None:
            return
        self.contracts.call_ended(call_id)
        self.hubs.release(established_call.attempt.hub, call_id)
        self._notify_module(self._call_ended_event(established_call, AttemptOutcome.CANCELLED))

    def _handle_deadline(self, call_id: str) -> None:
        """Refuses the call shortly before its deadline if the decision module has not concluded it."""
        call = self.pending.get(call_id)
        if call is None or self.now < call.deadline_ms - DEADLINE_MARGIN_MS:
            return
        self._refuse_pending(call)

    def _refuse_pending(self, call: PendingCall) -> None:
        """Refuses a pending call without asking the decision module; does nothing if it has its answer."""
        if call.refuse(self._retry_after_ms(), call.refusal_reason):
            _log_call("refused", call.offer, why=call.refusal_reason.value, by="core",
                      attempts=call.attempt_count)  # fmt: skip
            self._abandon(call)

    def _abandon(self, call: PendingCall) -> None:
        """Removes a call that is over for its caller and cancels its pending attempt."""
        attempt = call.attempt
        was_sent = call.settle_attempt(AttemptOutcome.CANCELLED)
        if attempt is not None:
            call.not_before_ms = self.now + self.settings.release_wait_ms
        self._remove_pending(call)
        self._notify_module(CallAbandoned(call.number))
        if attempt is not None:
            self.hubs.cancel(attempt)
            self._notify_module(
                AttemptEnded(call.number, attempt.hub, attempt.number, AttemptOutcome.CANCELLED, True,
                             self.now - attempt.sent_ms, was_sent=was_sent)
            )  # fmt: skip

    def _remove_pending(self, call: PendingCall) -> None:
        self.pending.pop(call.offer.call_id, None)
        self.pending_by_number.pop(call.number, None)
        call.attempt = None
        if call.repeat_safety.may_be_sent_again:
            self.inbox.request_history.never_ran(call.offer.identity)
        if call.offer.call_id not in self.established:
            self.contracts.call_ended(call.offer.call_id)
            self._note_ended(call.offer.call_id, call.not_before_ms)

    def _note_ended(self, call_id: str, not_before_ms: float) -> None:
        """Remembers an id that is over for its caller; a set-up under it is refused until then."""
        self.ended[call_id] = not_before_ms
        while len(self.ended) > MAX_ENDED_CALLS:
            self.ended.popitem(last=False)

    def _retry_after_ms(self) -> float:
        """The retry time advised where the core refuses a call itself."""
        return self.settings.max_retry_after_ms if self.settings.sends_retry_after else 0.0

    # --- lab hubs ---

    def _pending_for(self, attempt: Attempt) -> PendingCall | None:
        """The pending call of this attempt, if the attempt is the current one."""
        call = self.pending.get(attempt.offer.call_id)
        return call if call is not None and call.attempt is attempt else None

    def _handle_established(self, event: AttemptEstablished) -> None:
        attempt, call_id = event.attempt, event.attempt.offer.call_id
        call = self._pending_for(attempt)
        if call is None:  # the answer crossed our cancel: the call established at that hub is released
            established_call = self.established.get(call_id)
            other_call = self.pending.get(call_id)
            if not (established_call and established_call.attempt.hub == attempt.hub) and not (
                other_call and other_call.attempt and other_call.attempt.hub == attempt.hub
            ):
                self.hubs.release(attempt.hub, call_id)
            return
        if len(self.established) >= MAX_ESTABLISHED_CALLS:
            oldest_id, oldest_call = next(iter(self.established.items()))
            del self.established[oldest_id]
            self.hubs.forget(oldest_call.attempt.hub, oldest_id)
            self.contracts.call_ended(oldest_id)
        call.settle_attempt(AttemptOutcome.ENDED)
        self.established[call_id] = EstablishedCall(call, attempt, event.description, self.now)
        call.answer(event.description)
        self._remove_pending(call)
        self._notify_module(
            CallEstablished(call.number, attempt.hub, attempt.number, self.now - attempt.sent_ms)
        )
        if call.early_release is not None:
            self._handle_hub_release(call.early_release)

    def _handle_attempt_failed(self, event: AttemptFailed) -> None:
        attempt = event.attempt
        call = self._pending_for(attempt)
        self._update_guard(attempt.hub, event.load_values)
        if call is None:
            return
        was_sent = call.settle_attempt(event.outcome)
        call.attempt = None
        if event.outcome not in NOT_ANSWERED:
            call.refused_ms_by_hub[attempt.hub] = self.now
        _log_call("attempt_ended", attempt.offer, hub=attempt.hub, number=attempt.number,
                  ending=event.outcome.name, after_ms=self.now - attempt.sent_ms)  # fmt: skip
        timed_out = event.outcome is AttemptOutcome.TIMED_OUT
        call.refusal_reason = (
            RefusalReason.TIMED_OUT
            if timed_out
            else REFUSAL_REASONS.get(event.reason, RefusalReason.UNAVAILABLE)
        )
        if event.outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CUT, AttemptOutcome.CANCELLED):
            call.not_before_ms = self.now + self.settings.release_wait_ms
        self._notify_module(
            AttemptEnded(call.number, attempt.hub, attempt.number, event.outcome, False,
                         self.now - attempt.sent_ms, event.reason, 0.0, event.load_values, was_sent)
        )  # fmt: skip

    def _handle_attempt_timeout(self, attempt: Attempt) -> None:
        if self._pending_for(attempt) is not None:
            # a connection that fell silent must not count as a slow processor in the decision module
            connection_silent = self.hubs.cancel(attempt)
            self._handle_attempt_failed(
                AttemptFailed(
                    attempt, AttemptOutcome.CANCELLED if connection_silent else AttemptOutcome.TIMED_OUT
                )
            )

    def _call_ended_event(
        self, established_call: EstablishedCall, outcome: AttemptOutcome, load_values: tuple[float, ...] = ()
    ) -> Event:
        attempt = established_call.attempt
        return AttemptEnded(
            established_call.number,
            attempt.hub,
            attempt.number,
            outcome,
            True,
            self.now - attempt.sent_ms,
            load_values=load_values,
        )

    def _handle_hub_release(self, event: HubReleased) -> None:
        established_call = self.established.get(event.call_id)
        self._update_guard(event.hub, event.load_values)
        if established_call is None:
            self._handle_unmatched_release(event)
            return
        if established_call.attempt.hub != event.hub:
            return  # late, of a cancelled attempt: the call is established at another hub
        del self.established[event.call_id]
        self.contracts.call_ended(event.call_id)
        self.hubs.forget(event.hub, event.call_id)
        established_call.offer.caller.release(event.cause)
        outcome = AttemptOutcome.CUT if event.cause == CAUSE_CALL_CUT else AttemptOutcome.ENDED
        self._notify_module(self._call_ended_event(established_call, outcome, event.load_values))

    def _handle_unmatched_release(self, event: HubReleased) -> None:
        """Handles the release of a call that is not established here.

        If its answer has not arrived, the release is kept until then. If the call is unknown, it may be
        from before a restart: the release is passed on to the callers.
        """
        call = self.pending.get(event.call_id)
        if call is not None:
            is_current = call.attempt is not None and call.attempt.hub == event.hub
            log_event("release_before_answer", call=event.call_id, hub=event.hub, current=is_current)
            if is_current:
                call.early_release = event
        elif event.call_id in self.ended:
            log_event("release_ignored", call=event.call_id, hub=event.hub)
        else:
            log_event("release_of_unknown", call=event.call_id, hub=event.hub, cause=event.cause)
            self.release_unknown(event.call_id, event.cause)

    def _handle_hub_failed(self, hub: bytes, before_ms: float) -> None:
        cut_call_ids = [
            call_id
            for call_id, established_call in self.established.items()
            if established_call.attempt.hub == hub and established_call.attempt.sent_ms < before_ms
        ]
        if cut_call_ids:
            log_text(f"{hub!r} failed: {len(cut_call_ids)} established calls there are released")
        for call_id in cut_call_ids:
            if call_id in self.established:
                log_event("call_cut", call=call_id, hub=hub, before_ms=before_ms)
                self._handle_hub_release(HubReleased(call_id, hub, CAUSE_CALL_CUT))

    def _update_guard(self, hub: bytes, load_values: tuple[float, ...]) -> None:
        if 0 <= self.capacity_index < len(load_values):
            self.guard.update_capacity(hub, load_values[self.capacity_index])

    # --- the decision module ---

    def _notify_module(self, event: Event) -> None:
        for action in self.switch.handle(event, self.now):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case SetUp(call_number, hub, timeout_ms):
                self._execute_set_up(call_number, hub, timeout_ms)
            case Refuse(call_number, retry_after_ms):
                self._execute_refusal(call_number, retry_after_ms, None)
            case FailCall(call_number, retry_after_ms):
                self._execute_refusal(call_number, retry_after_ms, RefusalReason.FAILED)
            case Probe(hub):
                self.hubs.probe(hub, self.now + PROBE_TIMEOUT_MS)
            case SetTimer(due_ms, token):
                self._set_timer(due_ms, TimerFired(token))
            case LogMessage(text):
                log_text(text)
            case _:
                pass  # the platform pushes the hub list unasked, and border controllers exchange no messages

    def _execute_refusal(self, call_number: int, retry_after_ms: float, reason: RefusalReason | None) -> None:
        call = self.pending_by_number.get(call_number)
        if call is not None:
            attempt = call.attempt
            call.refuse(retry_after_ms, reason or call.refusal_reason)
            if attempt is not None:
                call.not_before_ms = self.now + self.settings.release_wait_ms
            _log_call("refused", call.offer, why=call.refusal_reason.value,
                      by="module", attempts=call.attempt_count, come_back_ms=retry_after_ms)  # fmt: skip
            self._remove_pending(call)
            if attempt is not None:
                self.hubs.cancel(attempt)

    def _refuse_left(self, call: PendingCall, hub: bytes) -> None:
        """Ends a call whose caller has left while it waited; the attempt that was decided is not made."""
        _log_call("left", call.offer, attempts=call.attempt_count)
        call.refuse(self._retry_after_ms(), call.refusal_reason)
        self._remove_pending(call)
        self._notify_module(
            AttemptEnded(call.number, hub, call.attempt_count, AttemptOutcome.NOT_SENT, True, 0.0)
        )

    def _execute_set_up(self, call_number: int, hub: bytes, timeout_ms: float) -> None:
        call = self.pending_by_number.get(call_number)
        if call is None:
            return
        if call.offer.caller.has_left():
            self._refuse_left(call, hub)
            return
        objection = self.guard.objection(call, hub, self.now)
        if objection:
            log_text(f"set-up of call {call.offer.call_id} not sent: {objection}")
            self._notify_module(
                AttemptEnded(call_number, hub, call.attempt_count, AttemptOutcome.NOT_SENT, False, 0.0)
            )
            return
        attempt_deadline_ms = call.deadline_ms - DEADLINE_MARGIN_MS
        if timeout_ms > 0:
            attempt_deadline_ms = min(attempt_deadline_ms, self.now + timeout_ms)
        send_ms = max(self.now, call.refused_ms_by_hub.get(hub, 0.0) + DUPLICATE_ANSWER_MS)
        pending_send = PendingSend(lambda: not call.offer.caller.has_left())
        attempt = Attempt(call.offer, call.attempt_count, hub, send_ms, attempt_deadline_ms, pending_send)
        call.attempt, call.attempt_count, call.early_release = (
            attempt,
            call.attempt_count + 1,
            None,
        )
        if not call.repeat_safety.class_allows_repeats:
            self.inbox.request_history.attempt_started(
                call.offer.identity, call.repeat_safety.repeats_are_discarded
            )
        self.guard.record_send(hub, self.now)
        self._set_timer(attempt_deadline_ms, attempt)
        if send_ms > self.now:
            self._set_timer(send_ms, DelayedAttempt(attempt))
        else:
            self.hubs.set_up(attempt)
