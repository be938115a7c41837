"""The SIP front: a back-to-back user agent for callers and lab hubs over UDP and TCP.

An established call has a dialog towards its caller and one towards its lab hub. The core that decides is the
same as that of the platform's front. Everything here runs in the thread of the event loop; the core only
posts work to it.
"""

from __future__ import annotations

import hashlib
import math

from badgerstile.interface import AttemptOutcome, LoadField, RejectionReason, Settings
from landingdeal.core.broker import CAUSE_CALL_CUT
from landingdeal.core.events import (
    Attempt,
    AttemptEstablished,
    AttemptFailed,
    CallerReleased,
    LoadReported,
    Offer,
    ProbeCompleted,
    RefusalReason,
    SetUpCancelled,
)
from landingdeal.core.inbox import Inbox
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.sip.address import AddressError, parse_name_addr, parse_uri
from landingdeal.sip.call import DialogSide, HubConfig, HubLeg, SipCall, SipCaller, SipConfig
from landingdeal.sip.capture import CapturePlayback
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.dialog_layer import DialogLayer, content_type_headers
from landingdeal.sip.headers import ALLOW_HEADER, load_values, rejection_reason
from landingdeal.sip.log_shares import SourceLogShares
from landingdeal.sip.message import Message, request, response
from landingdeal.sip.response_flow import carrying_flow
from landingdeal.sip.transaction import (
    Flow,
    ServerTransaction,
    SipTransactionState,
    is_transport_failure,
    request_in_transaction,
)
from landingdeal.sip.transport import Tap
from landingdeal.threads import start_thread

BUSY_RETRY_AFTER_MS = 2000.0  # advised where the core takes no more calls
STATUS_BY_REFUSAL_REASON = {
    RefusalReason.BUSY: 486,
    RefusalReason.TIMED_OUT: 408,
    RefusalReason.FAILED: 500,
    RefusalReason.FORBIDDEN: 403,
}
OUTCOMES_BY_STATUS = {
    408: AttemptOutcome.TIMED_OUT, 480: AttemptOutcome.TURNED_BACK, 487: AttemptOutcome.CANCELLED,
    503: AttemptOutcome.TURNED_BACK, 504: AttemptOutcome.CUT,
}  # fmt: skip
BUSY_STATUSES = (486, 600)


class SipFront(DialogLayer):
    """The transaction user: maps attempts of the core to SIP dialogs, and messages to core events."""

    def __init__(
        self,
        config: SipConfig,
        settings: Settings,
        inbox: Inbox,
        seed: int,
        lifecycle: Lifecycle | None = None,
        tap: Tap | None = None,
    ) -> None:
        super().__init__(config, inbox, seed, lifecycle or Lifecycle(), tap)
        self.all_released = self.release_started = False
        self.settings = settings
        self.log_shares = SourceLogShares()
        self.hubs = {hub.name: hub for hub in config.hubs}
        self.used_circuits = {hub.name: 0 for hub in config.hubs}

    def start(self, capture: CapturePlayback | None = None) -> None:
        """Starts the threads; with a capture, its recorded messages of callers are played as well."""
        self.event_loop.start()
        self.transport_layer.start()
        if capture is not None:
            start_thread("capture", lambda: capture.play(self.message_received))
        for hub in self.config.hubs:
            self._change_used_circuits(hub, 0)

    def server_transaction_terminated(self, key: str) -> None:
        """Forgets a call whose INVITE ended without a 2xx."""
        call = self.early_calls.pop(key, None)
        if call is not None and call.caller_side is None:
            self._forget_if_ended(call)

    # --- called by the core, in its thread ---

    def set_up(self, attempt: Attempt) -> None:
        self.event_loop.post(lambda: self._send_invite(attempt))

    def cancel(self, attempt: Attempt) -> bool:
        self.event_loop.post(lambda: self._cancel_attempt(attempt))
        return False  # transactions time out by themselves, on any connection

    def release(self, hub: bytes, call: str) -> None:
        self.event_loop.post(lambda: self._release_hub(hub, call))

    def forget(self, hub: bytes, call: str) -> None:
        pass  # a dialog ends with its own transactions

    def probe(self, hub: bytes, deadline_ms: float) -> None:
        self.event_loop.post(lambda: self._send_probe(hub, deadline_ms))

    def flush(self) -> int:
        """Releases all calls after the core has ended; returns how many messages are still pending."""
        if not self.release_started:
            self.release_started = True
            self.event_loop.post(self._release_all)
        if not self.all_released:
            return 1
        awaiting_states = (SipTransactionState.CALLING, SipTransactionState.PROCEEDING)
        pending_requests = sum(
            transaction.state in awaiting_states for transaction in list(self.client_transactions.values())
        )
        unacknowledged = sum(side.unacknowledged >= 0 for side in list(self.dialog_sides.values()))
        return pending_requests + unacknowledged + self.transport_layer.unsent()

    def new_request(self, transaction: ServerTransaction, branch_key: str, to_tag: str, flow: Flow) -> None:
        message = transaction.request
        required = message.get("require")
        if message.method not in ("INVITE", "CANCEL", "BYE", "OPTIONS"):
            transaction.respond_once(self._make_response(message, 405, ALLOW_HEADER))
        elif required and message.method != "CANCEL":
            transaction.respond_once(self._make_response(message, 420, ("unsupported", required)))
        elif message.method == "CANCEL":
            self._handle_cancel(transaction, branch_key)
        elif to_tag:
            self._handle_in_dialog_request(transaction, to_tag, flow)
        elif message.method == "OPTIONS":
            transaction.respond_once(
                self._make_response(message, 200, ALLOW_HEADER, ("accept", "application/sdp"))
            )
        elif message.method == "BYE":
            transaction.respond_once(self._make_response(message, 481))
        else:
            self._handle_invite(transaction, flow)

    # --- incoming calls ---

    def _handle_invite(self, transaction: ServerTransaction, flow: Flow) -> None:
        message = transaction.request
        try:
            user = parse_uri(message.uri).user
        except AddressError:
            status = 400 if message.uri.lower().startswith("sip:") else 416
            transaction.respond(self._make_response(message, status))
            return
        key, local_tag = self._new_tag() + self._new_tag(), self._new_tag()
        call = SipCall(key, transaction, local_tag, self.log_shares.of(flow))
        if call.merge_key in self.merge_keys:  # a copy of the INVITE by another path (8.2.2.2)
            transaction.respond(self._make_response(message, 482))
            return
        hub_number = next(
            (routed_hub for prefix, routed_hub in self.config.routes if user.startswith(prefix)), None
        )
        if hub_number is None:
            transaction.respond(self._make_response(message, 404))
            return
        if message.get("max-forwards", "70").strip() == "0":
            transaction.respond(self._make_response(message, 483))
            return
        try:
            patience_ms = self._patience_ms(message)
        except ValueError:
            transaction.respond(self._make_response(message, 400))
            return
        transaction.respond(response(message, 100))
        call.caller = SipCaller(self, call)
        offer = Offer(
            call_id=call.key,
            uri=message.uri,
            class_name=self._class_name(message),
            destination=hub_number,
            deadline_ms=self.now() + patience_ms,
            description=message.body,
            caller=call.caller,
            called_number=int.from_bytes(hashlib.blake2b(user.encode(), digest_size=8).digest(), "big"),
            team=message.get("organization"),
            request_id=call.identity,
        )
        if not self.calls.has_room(call.source) or not self.inbox.offer(offer):
            self.refuse_call(call, BUSY_RETRY_AFTER_MS, self.inbox.refusal_reason(call.identity))
            return
        self.calls.add(call)
        self.early_calls[transaction.key] = call
        self.merge_keys.add(call.merge_key)

    def _class_name(self, message: Message) -> str:
        """Returns the class named by Subject, or the default one, as Subject is free text in SIP."""
        subject = message.get("subject")
        return (
            subject
            if any(call_class.name == subject for call_class in self.settings.classes)
            else self.config.default_class
        )

    def _patience_ms(self, message: Message) -> float:
        """Returns how long the caller waits: X-Patience in ms or Expires in s, limited by the class.

        Raises ValueError on a value that is not usable.
        """
        max_patience_ms = next(
            call_class.deadline_ms
            for call_class in self.settings.classes
            if call_class.name == self._class_name(message)
        )
        stated = message.get("x-patience") or None
        expires = message.get("expires") or None
        patience = float(stated) if stated else float(expires) * 1000 if expires else max_patience_ms
        if not 0 < patience < 1e12:
            raise ValueError("patience")
        return min(patience, max_patience_ms)

    def _handle_cancel(self, transaction: ServerTransaction, branch_key: str) -> None:
        invite = self.server_transactions.get(f"{branch_key}|INVITE")
        if invite is None:
            transaction.respond_once(self._make_response(transaction.request, 481))
            return
        call = self.early_calls.get(invite.key)
        transaction.respond(
            self._make_response(transaction.request, 200, local_tag=call.local_tag if call else "")
        )
        if call is not None and not invite.final_response_sent:
            self.abandon_call(call)
        elif call is None and not invite.final_response_sent:
            self._cancel_reinvite(invite)

    def abandon_call(self, call: SipCall) -> None:
        """Answers a call that its caller cancelled, and notifies the core."""
        call.invite_transaction.respond(
            self._make_response(call.invite_transaction.request, 487, local_tag=call.local_tag)
        )
        self.inbox.put(SetUpCancelled(call.key, call.caller))

    # --- CallerOperations ---

    def answer_call(self, call: SipCall, description: bytes) -> None:
        invite, hub_side = call.invite_transaction.request, call.hub_side
        if call.invite_transaction.final_response_sent or call.key not in self.calls:
            self.inbox.put(CallerReleased(call.key))  # the answer crossed a CANCEL: release the hub
            return
        content_type = ("content-type", call.answer_content_type)
        flow = call.invite_transaction.flow
        final_response = self._make_response(
            invite, 200, self._contact_header(flow), ALLOW_HEADER, *([content_type] if description else []),
            *[("record-route", value) for value in invite.get_all("record-route")],
            local_tag=call.local_tag, body=description,
        )  # fmt: skip
        dialog = Dialog(invite, final_response, carrying_flow(flow), is_uac=False)
        side = call.caller_side = DialogSide(call, dialog, is_caller=True)
        self.dialog_sides[dialog.key] = side
        self._send_2xx(side, call.invite_transaction, final_response)
        if hub_side is None or hub_side.dialog.terminated:  # the hub has already released the call
            self._send_bye(side, CAUSE_CALL_CUT)

    def refuse_call(self, call: SipCall, retry_after_ms: float, reason: RefusalReason) -> None:
        retry_headers = []
        if retry_after_ms > 0:
            retry_headers = [
                ("retry-after", str(math.ceil(retry_after_ms / 1000))),
                ("x-later-ms", str(int(retry_after_ms))),
            ]
        call.invite_transaction.respond(
            self._make_response(
                call.invite_transaction.request,
                STATUS_BY_REFUSAL_REASON.get(reason, 503),
                *retry_headers,
                local_tag=call.local_tag,
            )
        )

    def release_caller(self, call: SipCall, cause: int) -> None:
        if call.caller_side is not None:
            self._send_bye(call.caller_side, cause)

    # --- attempts ---

    def _send_invite(self, attempt: Attempt) -> None:
        hub, call = self.hubs.get(attempt.hub), self.calls.get(attempt.offer.call_id)
        if hub is None or call is None:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
            return
        remaining_ms = attempt.deadline_ms - self.now()
        if remaining_ms <= 0:
            return  # the timer of the core ends this attempt
        if call.invite_transaction.final_response_sent:
            return  # cancelled while this attempt was posted: the core ends it when it handles the CANCEL
        if attempt.pending_send.withdrawn:
            return  # ended by the core while it was posted
        if call.caller.has_left():
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.NOT_SENT))
            return
        leg = call.legs[attempt.number] = HubLeg(call, attempt, hub)
        flow = self.transport_layer.flow_to(hub.transport, hub.host, hub.port)
        invite = call.invite_transaction.request
        user = parse_uri(invite.uri).user
        max_forwards = max(int(invite.get("max-forwards", "70")) - 1, 0)
        invite_to_hub = request(
            "INVITE", f"sip:{user}@{hub.host}:{hub.port}", ("via", self._new_via(flow)),
            ("max-forwards", str(max_forwards)),
            ("from", f"<sip:landingdeal@{self.config.host}:{self.config.port}>;tag={self._new_tag()}"),
            ("to", f"<sip:{user}@{hub.host}:{hub.port}>"), ("call-id", f"{call.key}-{attempt.number}"),
            ("cseq", "1 INVITE"), self._contact_header(flow), ALLOW_HEADER,
            ("subject", attempt.offer.class_name), ("x-patience", str(int(remaining_ms))),
            ("expires", str(math.ceil(remaining_ms / 1000))), *content_type_headers(invite),
            body=invite.body,
        )  # fmt: skip
        leg.transaction = self._start_client_transaction(
            flow,
            invite_to_hub,
            lambda message: self._handle_invite_response(leg, message),
            attempt.pending_send,
        )
        leg.occupies_circuit = True
        self._change_used_circuits(hub, 1)

    def _handle_invite_response(self, leg: HubLeg, message: Message) -> None:
        call = leg.call
        if message.status < 200:
            if not leg.provisional_received and leg.cancelled:
                self._send_cancel(leg)
            leg.provisional_received = True
            if message.status > 100 and not leg.cancelled and not call.invite_transaction.final_response_sent:
                status = message.status if message.status in (180, 181, 182, 183) else 183
                call.invite_transaction.respond(
                    self._make_response(call.invite_transaction.request, status, local_tag=call.local_tag)
                )
            return
        if message.status < 300:
            self._handle_2xx(leg, message)
            return
        self.release_circuit(leg)
        if leg.cancelled:
            return
        leg.failed = True
        transaction = leg.transaction
        outcome, reason = (
            OUTCOMES_BY_STATUS.get(message.status, AttemptOutcome.ERROR),
            rejection_reason(message),
        )
        if is_transport_failure(message):
            connected = transaction is None or transaction.flow.was_connected
            outcome = AttemptOutcome.CUT if connected else AttemptOutcome.UNREACHABLE
            if leg.attempt.pending_send.withdrawn and call.caller.has_left():
                outcome = AttemptOutcome.NOT_SENT
        elif message.status == 503 and reason is RejectionReason.NONE:
            reason = RejectionReason.PROCESSOR_FULL
        elif message.status in BUSY_STATUSES:
            reason = RejectionReason.LINES_BUSY
        self.inbox.put(AttemptFailed(leg.attempt, outcome, reason, load_values(message, self.settings)))

    def _handle_2xx(self, leg: HubLeg, message: Message) -> None:
        transaction, call = leg.transaction, leg.call
        assert transaction is not None
        try:
            tag = parse_name_addr(message.get("to")).tag
        except AddressError:
            tag = ""
        side = leg.sides.get(tag)
        if side is not None:  # a retransmission: the ACK was lost
            if side.last_ack is not None:
                self._dialog_flow(side.dialog).send(side.last_ack)
            return
        side = leg.sides[tag] = DialogSide(
            call, Dialog(transaction.request, message, transaction.flow, True), False
        )
        self.dialog_sides[side.dialog.key] = side
        already_answered = call.hub_side is not None and not call.hub_side.dialog.terminated
        attempt_over = leg.cancelled or leg.failed
        accepted = (
            not attempt_over and not already_answered and not call.invite_transaction.final_response_sent
        )
        if accepted and not call.invite_transaction.request.body:
            side.last_ack = None  # the ACK of the caller will carry the answer to the offer of the hub
        else:
            self._send_ack(side, None)
        if not accepted:  # a second fork, or the 2xx came after the end of the attempt: release it
            self.release_circuit(leg)
            self._send_bye(side, 16)
            return
        call.hub_side = side
        call.answer_content_type = message.get("content-type", call.answer_content_type)
        self.inbox.put(AttemptEstablished(leg.attempt, message.body))

    def _cancel_attempt(self, attempt: Attempt) -> None:
        call = self.calls.get(attempt.offer.call_id)
        leg = call.legs.get(attempt.number) if call is not None else None
        if leg is not None:
            self.cancel_leg(leg)

    def cancel_leg(self, leg: HubLeg) -> None:
        """Cancels an attempt, once; does nothing if it has ended."""
        if leg.cancelled or leg.transaction is None or not leg.occupies_circuit:
            return
        if leg.sides:  # the 2xx crossed the cancellation: release the established dialogs
            for side in list(leg.sides.values()):
                self._send_bye(side, 16)
            return
        leg.cancelled = True
        if leg.transaction.abandon():  # the INVITE was never sent
            self.release_circuit(leg)
        elif leg.provisional_received:
            self._send_cancel(leg)  # otherwise only after a provisional response (9.1)

    def _send_cancel(self, leg: HubLeg) -> None:
        transaction = leg.transaction
        if transaction is None or transaction.state not in (
            SipTransactionState.CALLING,
            SipTransactionState.PROCEEDING,
        ):
            return
        cancel = request_in_transaction(transaction.request, "CANCEL")
        self._start_client_transaction(transaction.flow, cancel, lambda message: None)

        def on_cancel_timeout() -> None:
            if transaction.state is SipTransactionState.PROCEEDING:
                transaction.terminate()
                self.release_circuit(leg)

        self.schedule_at(self.now() + self.timing.transaction_timeout, on_cancel_timeout)

    def release_circuit(self, leg: HubLeg) -> None:
        """Frees the circuit of a leg, once."""
        if leg.occupies_circuit:
            leg.occupies_circuit = False
            self._change_used_circuits(leg.hub, -1)

    def _change_used_circuits(self, hub: HubConfig, change: int) -> None:
        """Counts used circuits and reports the free ones if the operator's file states their number."""
        self.used_circuits[hub.name] += change
        if hub.circuits:
            values_by_field = {
                LoadField.FREE_CIRCUITS: hub.circuits - self.used_circuits[hub.name],
                LoadField.GROUP_SIZE: hub.circuits,
            }
            reported_values = tuple(
                float(values_by_field.get(load_field, -1)) for load_field in self.settings.load_fields
            )
            self.inbox.put(LoadReported(hub.name, reported_values))

    def _send_probe(self, name: bytes, deadline_ms: float) -> None:
        hub, sent_ms = self.hubs[name], self.now()
        completed = False

        def on_response(message: Message) -> None:
            nonlocal completed
            if message.status < 200:
                return
            successful, reported_load = message.status < 300, load_values(message, self.settings)
            if not completed:
                completed = True
                self.inbox.put(ProbeCompleted(name, successful, self.now() - sent_ms + 0.1, reported_load))
            elif successful and reported_load:  # after the deadline it still tells the load of the hub
                self.inbox.put(LoadReported(name, reported_load))

        flow = self.transport_layer.flow_to(hub.transport, hub.host, hub.port)
        uri = f"sip:load@{hub.host}:{hub.port}"
        options = request(
            "OPTIONS", uri, ("via", self._new_via(flow)), ("max-forwards", "70"),
            ("from", f"<sip:landingdeal@{self.config.host}>;tag={self._new_tag()}"), ("to", f"<{uri}>"),
            ("call-id", self._new_tag() + self._new_tag()), ("cseq", "1 OPTIONS"),
        )  # fmt: skip
        transaction = self._start_client_transaction(flow, options, on_response)

        def on_deadline() -> None:
            transaction.abandon()
            on_response(response(Message(), 408))

        self.schedule_at(deadline_ms, on_deadline)

    # --- releases ---

    def _release_hub(self, hub: bytes, key: str) -> None:
        call = self.calls.get(key)
        for leg in list(call.legs.values()) if call is not None else ():
            if leg.hub.name == hub:
                for side in list(leg.sides.values()):
                    self._send_bye(side, 16)

    def _release_all(self) -> None:
        for call in self.calls.all():
            if call.caller_side is not None or call.hub_side is not None:
                self._end_call(call, CAUSE_CALL_CUT, None)
            elif not call.invite_transaction.final_response_sent:  # it arrived after the core had ended
                reason = self.inbox.refusal_reason(call.identity)
                self.refuse_call(call, self.settings.max_retry_after_ms, reason)
        self.all_released = True
