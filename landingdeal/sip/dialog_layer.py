"""The dialog layer of the SIP front: requests within dialogs, the end of calls, and lost connections.

A call has a dialog towards its caller and one towards its lab hub; a request that arrives in one is answered
here or forwarded in the other. Everything runs in the thread of the event loop.
"""

from __future__ import annotations

from landingdeal.core.broker import CAUSE_CALL_CUT
from landingdeal.core.events import CallerReleased, HubReleased
from landingdeal.core.inbox import Inbox
from landingdeal.core.lifecycle import Lifecycle
from landingdeal.log import log_text
from landingdeal.sip.address import AddressError, parse_name_addr
from landingdeal.sip.call import DialogSide, HubLeg, SipCall, SipConfig
from landingdeal.sip.call_table import CallTable
from landingdeal.sip.capture import PlaybackFlow
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.endpoint import TransactionLayer
from landingdeal.sip.headers import ALLOW_HEADER, reason_header, release_cause
from landingdeal.sip.message import Message, response
from landingdeal.sip.response_flow import ResponseFlow
from landingdeal.sip.transaction import (
    Flow,
    ServerTransaction,
    SipTransactionState,
    is_transport_failure,
    request_in_transaction,
)
from landingdeal.sip.transport import Tap


def content_type_headers(message: Message) -> list[tuple[str, str]]:
    """Returns the Content-Type header of a body that is forwarded unchanged; none without a body."""
    return [("content-type", message.get("content-type", "application/sdp"))] if message.body else []


class DialogLayer(TransactionLayer):
    """The calls and their dialogs. The front implements the methods that raise NotImplementedError."""

    def __init__(
        self, config: SipConfig, inbox: Inbox, seed: int, lifecycle: Lifecycle, tap: Tap | None = None
    ) -> None:
        super().__init__(config, seed, lifecycle, tap)
        self.inbox = inbox
        self.calls = CallTable()
        self.merge_keys: set[tuple[str, str, int]] = set()
        self.early_calls: dict[str, SipCall] = {}  # without a 2xx; by key of the INVITE transaction
        self.dialog_sides: dict[tuple[str, str, str], DialogSide] = {}

    def abandon_call(self, call: SipCall) -> None:
        """Answers a call that its caller cancelled, and notifies the core."""
        raise NotImplementedError

    def cancel_leg(self, leg: HubLeg) -> None:
        """Cancels an attempt, once; does nothing if it has ended."""
        raise NotImplementedError

    def release_circuit(self, leg: HubLeg) -> None:
        """Frees the circuit of a leg, once."""
        raise NotImplementedError

    # --- 2xx and ACK ---

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
                self.abandon_call(early_calls[0])
                return
            transaction.respond_once(self._make_response(message, 481))
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
        self._start_bye(side.dialog, cause, self.now() + self.timing.transaction_timeout, self.timing.t1)

    def _start_bye(self, dialog: Dialog, cause: int, deadline_ms: float, retry_ms: float) -> None:
        """Sends BYE, and again on a new connection while the transport fails, until the deadline."""
        flow = self._dialog_flow(dialog)
        bye = dialog.make_request("BYE", self._new_via(flow), reason_header(cause))

        def on_response(message: Message) -> None:
            if is_transport_failure(message) and self.now() < deadline_ms:
                next_retry_ms = min(2 * retry_ms, self.timing.t2)
                self.schedule_at(
                    self.now() + retry_ms,
                    lambda: self._start_bye(dialog, cause, deadline_ms, next_retry_ms),
                )

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
                    self.release_circuit(leg)
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
                    self.cancel_leg(leg)
            self.calls.remove(call.key)
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

    # --- lost connections ---

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

    def _check_peer(self, side: DialogSide) -> None:
        """Sends OPTIONS within the dialog and ends the call if the peer is not reachable."""
        if side.peer_check is None:
            deadline_ms = self.now() + self.timing.transaction_timeout
            self._start_peer_check(side, deadline_ms, self.timing.t1)

    def _start_peer_check(self, side: DialogSide, deadline_ms: float, retry_ms: float) -> None:
        """Sends OPTIONS, and again until the deadline while a connection can be made but the transport fails.

        A connection that ended, or that had no room for the request, says nothing of the peer.
        """
        flow = self._dialog_flow(side.dialog)

        def on_response(message: Message) -> None:
            if message.status < 200:
                return
            if side.dialog.terminated:
                return
            could_connect = flow.was_connected or flow.alive
            if is_transport_failure(message) and could_connect and self.now() < deadline_ms:
                next_retry_ms = min(2 * retry_ms, self.timing.t2)
                self.schedule_at(
                    self.now() + retry_ms, lambda: self._retry_peer_check(side, deadline_ms, next_retry_ms)
                )
                return
            side.peer_check = None
            unreachable = message.status in (408, 481) or not message.get("via")
            if unreachable:
                peer_name = "caller" if side.is_caller else "lab hub"
                log_text(f"call {side.call.key}: the {peer_name} is unreachable, ending the call")
                if message.status != 481:  # the dialog may still exist at the peer
                    self._send_bye(side, CAUSE_CALL_CUT)
                self._end_call(side.call, CAUSE_CALL_CUT, side)

        side.peer_check = self._start_client_transaction(
            flow, side.dialog.make_request("OPTIONS", self._new_via(flow)), on_response
        )

    def _retry_peer_check(self, side: DialogSide, deadline_ms: float, retry_ms: float) -> None:
        if not side.dialog.terminated:
            self._start_peer_check(side, deadline_ms, retry_ms)
