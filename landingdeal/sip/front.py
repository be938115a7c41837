"""The SIP front: a back-to-back user agent for callers and lab hubs over UDP and TCP.

An established call has a dialog towards its caller and one towards its lab hub. The core that decides is the
same as that of the platform's front. Everything here runs in the thread of the event loop; the core only
posts work to it.
"""

from __future__ import annotations

import hashlib
import math

from badgerstile.interface import AttemptOutcome, LoadField, RejectionReason, Settings
from landingdeal.core.broker import CAUSE_CALL_CUT, Inbox
from landingdeal.core.events import (
    Attempt,
    AttemptEstablished,
    AttemptFailed,
    CallerReleased,
    HubReleased,
    LoadReported,
    Offer,
    ProbeCompleted,
    RefusalReason,
    SetUpCancelled,
)
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.log import log_text
from landingdeal.sip.address import AddressError, parse_name_addr, parse_uri
from landingdeal.sip.call import DialogSide, HubConfig, HubLeg, SipCall, SipCaller, SipConfig
from landingdeal.sip.capture import CapturePlayback, PlaybackFlow
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.endpoint import TransactionLayer
from landingdeal.sip.headers import ALLOW_HEADER, load_values, reason_header, rejection_reason, release_cause
from landingdeal.sip.message import Message, request, response
from landingdeal.sip.response_flow import ResponseFlow, carrying_flow
from landingdeal.sip.transaction import (
    Flow,
    ServerTransaction,
    SipTransactionState,
    is_transport_failure,
    request_in_transaction,
)
from landingdeal.sip.transport import Tap
from landingdeal.threads import start_thread

MAX_CALLS = 4000
MAX_REQUEST_ATTEMPTS = 3  # of BYE and OPTIONS, if connections end before the response
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


def content_type_headers(message: Message) -> list[tuple[str, str]]:
    """Returns the Content-Type header of a body that is forwarded unchanged; none without a body."""
    return [("content-type", message.get("content-type", "application/sdp"))] if message.body else []


def may_send_again(final_response: Message, flow: Flow, attempts_left: int) -> bool:
    """Whether a request is sent again: its connection ended before the response, so the peer may be alive."""
    return is_transport_failure(final_response) and flow.was_connected and attempts_left > 1


class SipFront(TransactionLayer):
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
        super().__init__(config, seed, lifecycle or Lifecycle(), tap)
        self.all_released = self.release_started = False
        self.settings, self.inbox = settings, inbox
        self.hubs = {hub.name: hub for hub in config.hubs}
        self.used_circuits = {hub.name: 0 for hub in config.hubs}
        self.calls: dict[str, SipCall] = {}
        self.merge_keys: set[tuple[str, str, int]] = set()
        self.early_calls: dict[str, SipCall] = {}  # without a 2xx; by key of the INVITE transaction
        self.dialog_sides: dict[tuple[str, str, str], DialogSide] = {}

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
            transaction.respond(self._make_response(message, 405, ALLOW_HEADER))
        elif required and message.method != "CANCEL":
            transaction.respond(self._make_response(message, 420, ("unsupported", required)))
        elif message.method == "CANCEL":
            self._handle_cancel(transaction, branch_key)
        elif to_tag:
            self._handle_in_dialog_request(transaction, to_tag, flow)
        elif message.method == "OPTIONS":
            transaction.respond(
                self._make_response(message, 200, ALLOW_HEADER, ("accept", "application/sdp"))
            )
        elif message.method == "BYE":
            transaction.respond(self._make_response(message, 481))
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
        call = SipCall(self._new_tag() + self._new_tag(), transaction, self._new_tag())
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
        )
        if len(self.calls) >= MAX_CALLS or not self.inbox.offer(offer):
            transaction.respond(
                self._make_response(message, 503, ("retry-after", "2"), local_tag=call.local_tag)
            )
            return
        self.calls[call.key] = self.early_calls[transaction.key] = call
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
            transaction.respond(self._make_response(transaction.request, 481))
            return
        call = self.early_calls.get(invite.key)
        transaction.respond(
            self._make_response(transaction.request, 200, local_tag=call.local_tag if call else "")
        )
        if call is not None and not invite.final_response_sent:
            self._abandon_call(call)
        elif call is None and not invite.final_response_sent:
            self._cancel_reinvite(invite)

    def _abandon_call(self, call: SipCall) -> None:
        """Answers a call that its caller cancelled, and notifies the core."""
        call.invite_transaction.respond(
            self._make_response(call.invite_transaction.request, 487, local_tag=call.local_tag)
        )
        self.inbox.put(SetUpCancelled(call.key, call.caller))

    def new_ack(self, message: Message, branch_key: str, flow: Flow) -> None:
        invite = self.server_transactions.get(f"{branch_key}|INVITE")
        if invite is not None and invite.state in (
            SipTransactionState.COMPLETED,
            SipTransactionState.CONFIRMED,
        ):
            invite.ack_received()
            return
        side = self._find_side(message, flow)
        if side is None or side.unacknowledged != message.cseq[0]:
            return  # an ACK that matches nothing gets no response
        side.unacknowledged = -1
        if flow.reliable:
            side.dialog.flow = flow
        peer_side = side.peer_side
        # the session offer was in the 2xx of the hub, the answer is in this ACK
        if peer_side is not None and peer_side.last_ack is None:
            self._send_ack(peer_side, message)
        if side.deferred_bye_cause >= 0:
            self._send_bye(side, side.deferred_bye_cause)

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

    def _send_2xx(self, side: DialogSide, transaction: ServerTransaction, final_response: Message) -> None:
        """Sends a 2xx to an INVITE and, on any transport, retransmits it until its ACK arrives (13.3.1.4)."""
        sequence_number = transaction.request.cseq[0]
        side.unacknowledged = sequence_number
        transaction.respond(final_response)

        def schedule_retransmit(interval: float) -> None:
            def on_timer() -> None:
                if side.unacknowledged == sequence_number and not side.dialog.terminated:
                    transaction.retransmit_response()
                    schedule_retransmit(min(2 * interval, self.timing.t2))

            self.schedule_at(self.now() + interval, on_timer)

        def on_ack_timeout() -> None:
            if side.unacknowledged == sequence_number and not side.dialog.terminated:
                side.unacknowledged = -1
                log_text(f"call {side.call.key}: no ACK received for the 2xx, ending the call")
                self._end_call(side.call, CAUSE_CALL_CUT, None)

        schedule_retransmit(self.timing.t1)
        self.schedule_at(self.now() + self.timing.transaction_timeout, on_ack_timeout)

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
            flow, invite_to_hub, lambda message: self._handle_invite_response(leg, message)
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
        self._release_circuit(leg)
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
            self._release_circuit(leg)
            self._send_bye(side, 16)
            return
        call.hub_side = side
        call.answer_content_type = message.get("content-type", call.answer_content_type)
        self.inbox.put(AttemptEstablished(leg.attempt, message.body))

    def _send_ack(self, side: DialogSide, caller_ack: Message | None) -> None:
        dialog, flow = side.dialog, self._dialog_flow(side.dialog)
        body = caller_ack.body if caller_ack is not None else b""
        content_headers = content_type_headers(caller_ack) if caller_ack is not None else []
        side.last_ack = dialog.make_request(
            "ACK",
            self._new_via(flow),
            *content_headers,
            sequence_number=dialog.invite_sequence_number,
            body=body,
        )
        flow.send(side.last_ack)

    def _cancel_attempt(self, attempt: Attempt) -> None:
        call = self.calls.get(attempt.offer.call_id)
        leg = call.legs.get(attempt.number) if call is not None else None
        if leg is not None:
            self._cancel_leg(leg)

    def _cancel_leg(self, leg: HubLeg) -> None:
        """Cancels an attempt, once; does nothing if it has ended."""
        if leg.cancelled or leg.transaction is None or not leg.occupies_circuit:
            return
        if leg.sides:  # the 2xx crossed the cancellation: release the established dialogs
            for side in list(leg.sides.values()):
                self._send_bye(side, 16)
            return
        leg.cancelled = True
        if leg.transaction.abandon():  # the INVITE was never sent
            self._release_circuit(leg)
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
                self._release_circuit(leg)

        self.schedule_at(self.now() + self.timing.transaction_timeout, on_cancel_timeout)

    def _release_circuit(self, leg: HubLeg) -> None:
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
            if not completed and message.status >= 200:
                completed = True
                successful = message.status < 300
                self.inbox.put(
                    ProbeCompleted(
                        name, successful, self.now() - sent_ms + 0.1, load_values(message, self.settings)
                    )
                )

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

    # --- requests within dialogs ---

    def _find_side(self, message: Message, flow: Flow) -> DialogSide | None:
        """Returns the dialog that a request or ACK belongs to."""
        try:
            local_tag, remote_tag = (
                parse_name_addr(message.get("to")).tag,
                parse_name_addr(message.get("from")).tag,
            )
        except AddressError:
            return None
        if isinstance(
            flow, PlaybackFlow
        ):  # a recorded request has the To tag of the recorded answer, not ours
            matching_sides = [
                side for key, side in self.dialog_sides.items() if key[::2] == (message.call_id, remote_tag)
            ]
            return matching_sides[0] if matching_sides else None
        return self.dialog_sides.get((message.call_id, local_tag, remote_tag))

    def _handle_in_dialog_request(self, transaction: ServerTransaction, to_tag: str, flow: Flow) -> None:
        message = transaction.request
        side = self._find_side(message, flow)
        if side is None:
            early_calls = [
                early_call
                for early_call in self.early_calls.values()
                if early_call.local_tag == to_tag and not early_call.invite_transaction.final_response_sent
            ]
            if (
                message.method == "BYE"
                and early_calls
                and early_calls[0].invite_transaction.request.call_id == message.call_id
            ):
                transaction.respond(self._make_response(message, 200))  # BYE of an early dialog (15)
                self._abandon_call(early_calls[0])
                return
            transaction.respond(self._make_response(message, 481))
            return
        sequence_number = message.cseq[0]
        if sequence_number <= side.dialog.remote_sequence_number:  # out of order or repeated (12.2.2)
            transaction.respond(self._make_response(message, 500, ("retry-after", "1")))
            return
        if flow.reliable:
            side.dialog.flow = flow
        if message.method == "INVITE":
            self._forward_reinvite(side, transaction)
            return
        side.dialog.remote_sequence_number = sequence_number
        transaction.respond(self._make_response(message, 200, ALLOW_HEADER))
        if message.method == "BYE":
            self._end_call(side.call, release_cause(message), side)

    def _forward_reinvite(self, side: DialogSide, transaction: ServerTransaction) -> None:
        """Forwards a re-INVITE to the other peer; refuses it while another one is pending."""
        message, peer_side = transaction.request, side.peer_side
        if side.incoming_reinvite is not None:  # a second one before the final response to the first (14.2)
            retry_after_s = str(self.random.randint(0, 10))
            transaction.respond(self._make_response(message, 500, ("retry-after", retry_after_s)))
            return
        if (
            peer_side is None
            or peer_side.incoming_reinvite is not None
            or peer_side.unacknowledged >= 0
            or side.unacknowledged >= 0
        ):
            transaction.respond(self._make_response(message, 491))
            return
        side.dialog.remote_sequence_number = message.cseq[0]
        side.dialog.refresh_remote_target(message)
        side.incoming_reinvite = transaction
        transaction.respond(response(message, 100))
        flow = self._dialog_flow(peer_side.dialog)
        reinvite = peer_side.dialog.make_request(
            "INVITE",
            self._new_via(flow),
            self._contact_header(flow),
            ALLOW_HEADER,
            *content_type_headers(message),
            body=message.body,
        )
        peer_side.dialog.invite_sequence_number = reinvite.cseq[0]
        side.cancel_pending = False
        side.forwarded_reinvite = self._start_client_transaction(
            flow,
            reinvite,
            lambda response_to_reinvite: self._handle_reinvite_response(
                side, transaction, response_to_reinvite
            ),
        )

    def _handle_reinvite_response(
        self, side: DialogSide, transaction: ServerTransaction, received_response: Message
    ) -> None:
        peer_side, original_reinvite = side.peer_side, transaction.request
        if peer_side is None:
            return
        if received_response.status < 200:
            self._forward_cancel(side)
            return
        if received_response.status < 300:
            # a retransmission whose ACK was lost, or the call has ended: still to be acknowledged
            if transaction.final_response_sent:
                if (
                    peer_side.last_ack is not None
                    and peer_side.last_ack.cseq[0] == peer_side.dialog.invite_sequence_number
                ):
                    self._dialog_flow(peer_side.dialog).send(peer_side.last_ack)
                elif peer_side.dialog.terminated:
                    self._send_ack(peer_side, None)
                return
            peer_side.dialog.refresh_remote_target(received_response)
            peer_side.last_ack = None
            if original_reinvite.body:
                self._send_ack(peer_side, None)
            side.incoming_reinvite = None
            contact = self._contact_header(transaction.flow)
            final_response = self._make_response(
                original_reinvite,
                200,
                contact,
                ALLOW_HEADER,
                *content_type_headers(received_response),
                body=received_response.body,
            )
            self._send_2xx(side, transaction, final_response)
            return
        side.incoming_reinvite = None
        retry_headers = (
            [("retry-after", received_response.get("retry-after"))]
            if received_response.get("retry-after")
            else []
        )
        transaction.respond(self._make_response(original_reinvite, received_response.status, *retry_headers))
        if received_response.status in (408, 481) or not received_response.get("via"):  # 12.2.1.2
            if received_response.status != 481:  # the dialog may still exist at the peer
                self._send_bye(peer_side, CAUSE_CALL_CUT)
            self._end_call(side.call, CAUSE_CALL_CUT, peer_side)

    def _cancel_reinvite(self, reinvite: ServerTransaction) -> None:
        """Forwards CANCEL to the other peer, whose final response then ends the re-INVITE."""
        for side in list(self.dialog_sides.values()):
            if side.incoming_reinvite is not reinvite:
                continue
            if side.forwarded_reinvite is not None and side.forwarded_reinvite.withdraw():
                side.incoming_reinvite = None
                reinvite.respond(self._make_response(reinvite.request, 487))
            else:
                side.cancel_pending = True
                self._forward_cancel(side)

    def _forward_cancel(self, side: DialogSide) -> None:
        """Sends a pending CANCEL of a re-INVITE once a provisional response has arrived."""
        forwarded_reinvite = side.forwarded_reinvite
        if (
            side.cancel_pending
            and forwarded_reinvite is not None
            and forwarded_reinvite.state is SipTransactionState.PROCEEDING
        ):
            side.cancel_pending = False
            self._start_client_transaction(
                forwarded_reinvite.flow,
                request_in_transaction(forwarded_reinvite.request, "CANCEL"),
                lambda message: None,
            )

    # --- end of a call ---

    def _send_bye(self, side: DialogSide, cause: int) -> None:
        """Ends a dialog with BYE; towards a caller only after the ACK of our 2xx."""
        if side.dialog.terminated:
            return
        if side.unacknowledged >= 0 and side.is_caller:  # not before the ACK of the 2xx (15)
            side.deferred_bye_cause = cause
            return
        if side.last_ack is None and not side.is_caller:
            self._send_ack(side, None)
        self._close_side(side)
        self._start_bye(side.dialog, cause, MAX_REQUEST_ATTEMPTS)

    def _start_bye(self, dialog: Dialog, cause: int, attempts_left: int) -> None:
        """Sends BYE, and again on a new connection if the connection ends before the response."""
        flow = self._dialog_flow(dialog)
        bye = dialog.make_request("BYE", self._new_via(flow), reason_header(cause))

        def on_response(message: Message) -> None:
            if may_send_again(message, flow, attempts_left):
                self._start_bye(dialog, cause, attempts_left - 1)

        self._start_client_transaction(flow, bye, on_response)

    def _close_side(self, side: DialogSide) -> None:
        """Removes a dialog that has ended; its pending re-INVITE gets a final response first (15.1.2)."""
        side.dialog.terminated = True
        side.unacknowledged = -1
        if side.incoming_reinvite is not None:
            side.incoming_reinvite.respond(self._make_response(side.incoming_reinvite.request, 487))
            side.incoming_reinvite = None
        for transaction in (side.forwarded_reinvite, side.peer_check):
            if transaction is not None:
                transaction.withdraw()
        self.dialog_sides.pop(side.dialog.key, None)
        if not side.is_caller:
            for leg in side.call.legs.values():
                if side in leg.sides.values():
                    self._release_circuit(leg)
        self._forget_if_ended(side.call)

    def _forget_if_ended(self, call: SipCall) -> None:
        """Removes a call that has its final response and no dialog left."""
        sides = [known_side for known_side in (call.caller_side, call.hub_side) if known_side is not None]
        pending = not call.invite_transaction.final_response_sent or any(
            not side.dialog.terminated for side in sides
        )
        if not pending:
            for leg in call.legs.values():
                # Otherwise the hub would ring on: over TCP the ACK of our 487 ends the transaction of the
                # caller at once, and the cancel of a busy core arrives after the call has been removed.
                if not leg.sides:
                    self._cancel_leg(leg)
            self.calls.pop(call.key, None)
            self.merge_keys.discard(call.merge_key)

    def _end_call(self, call: SipCall, cause: int, ended_side: DialogSide | None) -> None:
        """Ends both dialogs and notifies the core once; `ended_side` has ended already or is unreachable."""
        for side in (call.caller_side, call.hub_side):
            if side is not None and not side.dialog.terminated:
                if side is ended_side:
                    self._close_side(side)
                else:
                    self._send_bye(side, cause)
        if ended_side is not None and not ended_side.is_caller:
            hub = next((leg.hub.name for leg in call.legs.values() if ended_side in leg.sides.values()), b"")
            self.inbox.put(HubReleased(call.key, hub, cause))
        else:
            self.inbox.put(CallerReleased(call.key))

    def _release_hub(self, hub: bytes, key: str) -> None:
        call = self.calls.get(key)
        for leg in list(call.legs.values()) if call is not None else ():
            if leg.hub.name == hub:
                for side in list(leg.sides.values()):
                    self._send_bye(side, 16)

    def _release_all(self) -> None:
        for call in list(self.calls.values()):
            if call.caller_side is not None or call.hub_side is not None:
                self._end_call(call, CAUSE_CALL_CUT, None)
            elif not call.invite_transaction.final_response_sent:  # it arrived after the core had ended
                self.refuse_call(call, self.settings.max_retry_after_ms, RefusalReason.UNAVAILABLE)
        self.all_released = True

    def flow_lost(self, flow: Flow) -> None:
        """Handles a connection that was closed, was reset, or could not be made.

        Pending requests on it have failed. A dialog does not depend on a connection, but if its peer is gone,
        nobody would ever end the call: each such peer is checked with OPTIONS on a new connection.
        """
        for transaction in list(self.client_transactions.values()):
            if transaction.flow is flow:
                transaction.transport_failed()
        for server_transaction in list(self.server_transactions.values()):
            response_flow = server_transaction.flow
            if isinstance(response_flow, ResponseFlow) and response_flow.current_flow is flow:
                self._response_flow_lost(server_transaction, response_flow)
        for side in list(self.dialog_sides.values()):
            awaiting_ack = side.unacknowledged >= 0  # its 2xx is retransmitted on a new connection anyway
            if side.dialog.flow is flow and not side.dialog.terminated and not awaiting_ack:
                self._check_peer(side)

    def _response_flow_lost(self, transaction: ServerTransaction, response_flow: ResponseFlow) -> None:
        """Handles the end of the connection that carried the last response of a transaction.

        The response may have been written to a connection that was closing. A 2xx is retransmitted by its
        timer; another final response is sent again here, until its ACK arrives.
        """
        flow = response_flow.current_flow
        if flow.was_connected:
            if transaction.state is SipTransactionState.COMPLETED:
                # a peer that keeps closing new connections is not dialled without a pause
                delay_ms = 0.0 if flow is response_flow.request_flow else self.timing.t1
                self.schedule_at(self.now() + delay_ms, transaction.retransmit_response)
            return
        call = self.early_calls.get(transaction.key)
        side = call.caller_side if call is not None else None
        if side is not None and side.unacknowledged >= 0:  # the 2xx is not deliverable
            self._end_call(side.call, CAUSE_CALL_CUT, side)

    def _check_peer(self, side: DialogSide, attempts_left: int = MAX_REQUEST_ATTEMPTS) -> None:
        """Sends OPTIONS within the dialog and ends the call if the peer is not reachable."""
        if side.peer_check is not None:
            return
        flow = self._dialog_flow(side.dialog)

        def on_response(message: Message) -> None:
            if message.status < 200:
                return
            side.peer_check = None
            if side.dialog.terminated:
                return
            if may_send_again(message, flow, attempts_left):
                self._check_peer(side, attempts_left - 1)
                return
            unreachable = message.status in (408, 481) or not message.get("via")
            if unreachable:
                peer_name = "caller" if side.is_caller else "lab hub"
                log_text(f"call {side.call.key}: the {peer_name} is unreachable, ending the call")
                self._end_call(side.call, CAUSE_CALL_CUT, side)

        side.peer_check = self._start_client_transaction(
            flow, side.dialog.make_request("OPTIONS", self._new_via(flow)), on_response
        )
