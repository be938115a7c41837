"""The SIP front: callers and lab hubs over UDP and TCP, bound by the same core as the platform's front.

A call has a leg towards its caller and, once it stands, one towards its lab hub; this is a back-to-back user
agent. Everything here runs in the front's one thread; the core only posts work to it.
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
from landingdeal.sip.address import BadAddress, parse_name_addr, parse_uri
from landingdeal.sip.call import Call, HubPlace, Leg, Side, SipCaller, SipConfig
from landingdeal.sip.capture import Capture, CaptureFlow
from landingdeal.sip.dialog import Dialog
from landingdeal.sip.endpoint import Endpoint, ReplyFlow
from landingdeal.sip.headers import ALLOW, cause_of, figures_of, reason_header, reason_of
from landingdeal.sip.message import Message, request, response
from landingdeal.sip.transaction import (
    Flow,
    ServerTransaction,
    State,
    within,
)
from landingdeal.sip.transport import Tap
from landingdeal.threads import start_thread

CALLS_MOST = 4000
STATUS = {
    RefusalReason.BUSY: 486,
    RefusalReason.TIMED_OUT: 408,
    RefusalReason.FAILED: 500,
    RefusalReason.FORBIDDEN: 403,
}
ENDINGS = {
    408: AttemptOutcome.TIMED_OUT, 480: AttemptOutcome.TURNED_BACK, 487: AttemptOutcome.CANCELLED,
    503: AttemptOutcome.TURNED_BACK, 504: AttemptOutcome.CUT,
}  # fmt: skip
BUSY = (486, 600)


def content(message: Message) -> list[tuple[str, str]]:
    """The type of a body that is passed on unchanged."""
    return [("content-type", message.get("content-type", "application/sdp"))] if message.body else []


class SipFront(Endpoint):
    def __init__(
        self,
        config: SipConfig,
        settings: Settings,
        inbox: Inbox,
        seed: int,
        life: Lifecycle | None = None,
        tap: Tap | None = None,
    ) -> None:
        super().__init__(config, seed, life or Lifecycle(), tap)
        self.released = self.releasing = False
        self.set, self.inbox = settings, inbox
        self.hubs = {hub.name: hub for hub in config.hubs}
        self.used = {hub.name: 0 for hub in config.hubs}
        self.calls: dict[str, Call] = {}
        self.merged: set[tuple[str, str, int]] = set()
        self.early: dict[str, Call] = {}  # by the branch key of the INVITE
        self.dialogs: dict[tuple[str, str, str], Side] = {}

    def start(self, capture: Capture | None = None) -> None:
        """With a capture, callers' messages also come from there."""
        self.loop.start()
        self.transports.start()
        if capture is not None:
            start_thread("capture", lambda: capture.play(self.received))
        for hub in self.config.hubs:
            self._count(hub, 0)

    def server_over(self, key: str) -> None:
        call = self.early.pop(key, None)
        if call is not None and call.caller_side is None:
            self._forget(call)

    # --- from other threads ---

    def set_up(self, attempt: Attempt) -> None:
        self.loop.post(lambda: self._set_up(attempt))

    def cancel(self, attempt: Attempt) -> bool:
        self.loop.post(lambda: self._cancel(attempt))
        return False  # a transaction times out by itself, whichever its connection

    def release(self, hub: bytes, call: str) -> None:
        self.loop.post(lambda: self._release_hub(hub, call))

    def probe(self, hub: bytes, deadline_ms: float) -> None:
        self.loop.post(lambda: self._probe(hub, deadline_ms))

    def flush(self) -> int:
        """After the core has ended: no call outlives the program. How much is still awaited."""
        if not self.releasing:
            self.releasing = True
            self.loop.post(self._release_all)
        if not self.released:
            return 1
        busy = (State.CALLING, State.PROCEEDING)
        waiting = sum(t.state in busy for t in list(self.clients.values()))
        unacked = sum(side.unacked >= 0 for side in list(self.dialogs.values()))
        return waiting + unacked + self.transports.unsent()

    def new_request(self, transaction: ServerTransaction, key: str, to_tag: str, flow: Flow) -> None:
        message = transaction.request
        required = message.get("require")
        if message.method not in ("INVITE", "CANCEL", "BYE", "OPTIONS"):
            transaction.respond(self._reply(message, 405, ALLOW))
        elif required and message.method != "CANCEL":
            transaction.respond(self._reply(message, 420, ("unsupported", required)))
        elif message.method == "CANCEL":
            self._cancelled(transaction, key)
        elif to_tag:
            self._within(transaction, to_tag, flow)
        elif message.method == "OPTIONS":
            transaction.respond(self._reply(message, 200, ALLOW, ("accept", "application/sdp")))
        elif message.method == "BYE":
            transaction.respond(self._reply(message, 481))
        else:
            self._invite(transaction, flow)

    # --- a call comes in ---

    def _invite(self, transaction: ServerTransaction, flow: Flow) -> None:
        message = transaction.request
        try:
            user = parse_uri(message.uri).user
        except BadAddress:
            status = 400 if message.uri.lower().startswith("sip:") else 416
            transaction.respond(self._reply(message, status))
            return
        call = Call(self._tag() + self._tag(), transaction, self._tag())
        if call.merged_key in self.merged:  # the same call by another way (8.2.2.2)
            transaction.respond(self._reply(message, 482))
            return
        number = next((n for prefix, n in self.config.routes if user.startswith(prefix)), None)
        if number is None:
            transaction.respond(self._reply(message, 404))
            return
        if message.get("max-forwards", "70").strip() == "0":
            transaction.respond(self._reply(message, 483))
            return
        try:
            patience = self._patience(message)
        except ValueError:
            transaction.respond(self._reply(message, 400))
            return
        transaction.respond(response(message, 100))
        call.caller = SipCaller(self, call)
        offer = Offer(
            call_id=call.key,
            uri=message.uri,
            class_name=self._class_of(message),
            destination=number,
            deadline_ms=self.now() + patience,
            description=message.body,
            caller=call.caller,
            called_number=int.from_bytes(hashlib.blake2b(user.encode(), digest_size=8).digest(), "big"),
            team=message.get("organization"),
        )
        if len(self.calls) >= CALLS_MOST or not self.inbox.offer(offer):
            transaction.respond(self._reply(message, 503, ("retry-after", "2"), tag=call.tag))
            return
        self.calls[call.key] = self.early[transaction.key] = call
        self.merged.add(call.merged_key)

    def _class_of(self, message: Message) -> str:
        """Subject is free text in SIP: it names a class, or the default counts."""
        named = message.get("subject")
        return named if any(kind.name == named for kind in self.set.classes) else self.config.default_class

    def _patience(self, message: Message) -> float:
        """How long the caller waits: X-Patience in ms, or Expires in s, within what the class allows."""
        most = next(c.deadline_ms for c in self.set.classes if c.name == self._class_of(message))
        given = message.get("x-patience") or None
        seconds = message.get("expires") or None
        wanted = float(given) if given else float(seconds) * 1000 if seconds else most
        if not 0 < wanted < 1e12:
            raise ValueError("patience")
        return min(wanted, most)

    def _cancelled(self, transaction: ServerTransaction, key: str) -> None:
        invite = self.servers.get(f"{key}|INVITE")
        if invite is None:
            transaction.respond(self._reply(transaction.request, 481))
            return
        call = self.early.get(invite.key)
        transaction.respond(self._reply(transaction.request, 200, tag=call.tag if call else ""))
        if call is not None and not invite.answered:
            self._withdraw(call)
        elif call is None and not invite.answered:
            self._cancel_reinvite(invite)

    def _withdraw(self, call: Call) -> None:
        call.server.respond(self._reply(call.server.request, 487, tag=call.tag))
        self.inbox.put(SetUpCancelled(call.key, call.caller))

    def new_ack(self, message: Message, key: str, flow: Flow) -> None:
        invite = self.servers.get(f"{key}|INVITE")
        if invite is not None and invite.state in (State.COMPLETED, State.CONFIRMED):
            invite.acknowledged()
            return
        side = self._side(message, flow)
        if side is None or side.unacked != message.cseq[0]:
            return  # a stray ACK gets no answer
        side.unacked = -1
        other = side.other
        if other is not None and other.ack is None:  # the offer was in the 2xx, the answer is in this ACK
            self._acknowledge(other, message)
        if side.bye_cause >= 0:
            self._bye(side, side.bye_cause)

    # --- what the core says of a caller ---

    def answer_call(self, call: Call, description: bytes) -> None:
        invite, hub_side = call.server.request, call.hub_side
        if call.server.answered or call.key not in self.calls:
            self.inbox.put(CallerReleased(call.key))  # it crossed a CANCEL: what stands is released
            return
        kind = ("content-type", call.answer_kind)
        flow = call.server.flow
        final = self._reply(
            invite, 200, self._contact(flow), ALLOW, *([kind] if description else []),
            *[("record-route", v) for v in invite.all("record-route")], tag=call.tag, body=description,
        )  # fmt: skip
        first = flow.first if isinstance(flow, ReplyFlow) else flow
        side = call.caller_side = Side(call, Dialog(invite, final, first, client=False), caller=True)
        self.dialogs[side.dialog.key] = side
        self._stand(side, call.server, final)
        if hub_side is None or hub_side.dialog.over:  # its lab hub has released it already
            self._bye(side, CAUSE_CALL_CUT)

    def _stand(self, side: Side, transaction: ServerTransaction, final: Message) -> None:
        """Sends a 2xx, and again until its ACK comes (13.3.1.4), on any transport."""
        number = transaction.request.cseq[0]
        side.unacked = number
        transaction.respond(final)

        def again(span: float) -> None:
            def due() -> None:
                if side.unacked == number and not side.dialog.over:
                    transaction.flow.send(final)
                    again(min(2 * span, self.timing.t2))

            self.at(self.now() + span, due)

        def lost() -> None:
            if side.unacked == number and not side.dialog.over:
                side.unacked = -1
                log_text(f"call {side.call.key}: a 2xx was never acknowledged")
                self._drop_call(side.call, CAUSE_CALL_CUT, None)

        again(self.timing.t1)
        self.at(self.now() + self.timing.b, lost)

    def refuse_call(self, call: Call, come_back_ms: float, why: RefusalReason) -> None:
        later = []
        if come_back_ms > 0:
            later = [
                ("retry-after", str(math.ceil(come_back_ms / 1000))),
                ("x-later-ms", str(int(come_back_ms))),
            ]
        call.server.respond(self._reply(call.server.request, STATUS.get(why, 503), *later, tag=call.tag))

    def release_caller(self, call: Call, cause: int) -> None:
        if call.caller_side is not None:
            self._bye(call.caller_side, cause)

    # --- attempts ---

    def _set_up(self, attempt: Attempt) -> None:
        hub, call = self.hubs.get(attempt.hub), self.calls.get(attempt.offer.call_id)
        if hub is None or call is None:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
            return
        left = attempt.deadline_ms - self.now()
        if left <= 0:
            return  # the core's own timer tells of its end
        leg = call.legs[attempt.number] = Leg(call, attempt, hub)
        flow = self.transports.to(hub.transport, hub.host, hub.port, attempt.deadline_ms)
        invite = call.server.request
        user = parse_uri(invite.uri).user
        hops = max(int(invite.get("max-forwards", "70")) - 1, 0)
        made = request(
            "INVITE", f"sip:{user}@{hub.host}:{hub.port}", ("via", self._via(flow)),
            ("max-forwards", str(hops)),
            ("from", f"<sip:landingdeal@{self.config.host}:{self.config.port}>;tag={self._tag()}"),
            ("to", f"<sip:{user}@{hub.host}:{hub.port}>"), ("call-id", f"{call.key}-{attempt.number}"),
            ("cseq", "1 INVITE"), self._contact(flow), ALLOW, ("subject", attempt.offer.class_name),
            ("x-patience", str(int(left))), ("expires", str(math.ceil(left / 1000))), *content(invite),
            body=invite.body,
        )  # fmt: skip
        leg.transaction = self._client(flow, made, lambda message: self._answered(leg, message))
        leg.counted = True
        self._count(hub, 1)

    def _answered(self, leg: Leg, message: Message) -> None:
        call = leg.call
        if message.status < 200:
            if not leg.provisional and leg.cancelled:
                self._send_cancel(leg)
            leg.provisional = True
            if message.status > 100 and not leg.cancelled and not call.server.answered:
                status = message.status if message.status in (180, 181, 182, 183) else 183
                call.server.respond(self._reply(call.server.request, status, tag=call.tag))
            return
        if message.status < 300:
            self._stands(leg, message)
            return
        self._end_leg(leg)
        if leg.cancelled:
            return
        transaction = leg.transaction
        ending, reason = ENDINGS.get(message.status, AttemptOutcome.ERROR), reason_of(message)
        if not message.get("via") and message.status == 503:  # the transport failed
            up = transaction is None or transaction.flow.was_up
            ending = AttemptOutcome.CUT if up else AttemptOutcome.UNREACHABLE
        elif message.status == 503 and reason is RejectionReason.NONE:
            reason = RejectionReason.PROCESSOR_FULL
        elif message.status in BUSY:
            reason = RejectionReason.LINES_BUSY
        self.inbox.put(AttemptFailed(leg.attempt, ending, reason, figures_of(message, self.set)))

    def _stands(self, leg: Leg, message: Message) -> None:
        transaction, call = leg.transaction, leg.call
        assert transaction is not None
        try:
            tag = parse_name_addr(message.get("to")).tag
        except BadAddress:
            tag = ""
        side = leg.sides.get(tag)
        if side is not None:  # its ACK got lost
            if side.ack is not None:
                self._flow_for(side.dialog).send(side.ack)
            return
        side = leg.sides[tag] = Side(
            call, Dialog(transaction.request, message, transaction.flow, True), False
        )
        self.dialogs[side.dialog.key] = side
        taken = call.hub_side is not None and not call.hub_side.dialog.over
        chosen = not leg.cancelled and not taken and not call.server.answered
        if chosen and not call.server.request.body:
            side.ack = None  # the caller's ACK will bring the answer to the hub's offer
        else:
            self._acknowledge(side, None)
        if not chosen:  # a second fork, or it crossed our CANCEL: nobody wants it
            self._end_leg(leg)
            self._bye(side, 16)
            return
        call.hub_side = side
        call.answer_kind = message.get("content-type", call.answer_kind)
        self.inbox.put(AttemptEstablished(leg.attempt, message.body))

    def _acknowledge(self, side: Side, caller_ack: Message | None) -> None:
        dialog, flow = side.dialog, self._flow_for(side.dialog)
        body = caller_ack.body if caller_ack is not None else b""
        kind = content(caller_ack) if caller_ack is not None else []
        side.ack = dialog.make("ACK", self._via(flow), *kind, seq=dialog.invite_seq, body=body)
        flow.send(side.ack)

    def _cancel(self, attempt: Attempt) -> None:
        call = self.calls.get(attempt.offer.call_id)
        leg = call.legs.get(attempt.number) if call is not None else None
        if leg is not None:
            self._cancel_leg(leg)

    def _cancel_leg(self, leg: Leg) -> None:
        """CANCEL, once; nothing where the attempt has come to its end."""
        if leg.cancelled or leg.transaction is None or not leg.counted:
            return
        if leg.sides:  # guards against a call that stands for nobody: its answer crossed the core's giving up
            for side in list(leg.sides.values()):
                self._bye(side, 16)
            return
        leg.cancelled = leg.transaction.abandoned = True
        if not leg.transaction.flow.was_up:  # it never left
            leg.transaction.terminate()
            self._end_leg(leg)
        elif leg.provisional:
            self._send_cancel(leg)  # else it has to wait for a provisional response (9.1)

    def _send_cancel(self, leg: Leg) -> None:
        transaction = leg.transaction
        if transaction is None or transaction.state not in (State.CALLING, State.PROCEEDING):
            return
        made = within(transaction.request, "CANCEL")
        self._client(transaction.flow, made, lambda message: None)

        def unanswered() -> None:
            if transaction.state is State.PROCEEDING:
                transaction.terminate()
                self._end_leg(leg)

        self.at(self.now() + self.timing.b, unanswered)

    def _end_leg(self, leg: Leg) -> None:
        if leg.counted:
            leg.counted = False
            self._count(leg.hub, -1)

    def _count(self, hub: HubPlace, by: int) -> None:
        """Circuits towards a hub whose number of them is in the operator's file are counted here."""
        self.used[hub.name] += by
        if hub.circuits:
            told = {
                LoadField.FREE_CIRCUITS: hub.circuits - self.used[hub.name],
                LoadField.GROUP_SIZE: hub.circuits,
            }
            figures = tuple(float(told.get(figure, -1)) for figure in self.set.load_fields)
            self.inbox.put(LoadReported(hub.name, figures))

    def _probe(self, name: bytes, deadline_ms: float) -> None:
        hub, asked = self.hubs[name], self.now()
        done = False

        def answered(message: Message) -> None:
            nonlocal done
            if not done and message.status >= 200:
                done = True
                well = message.status < 300
                self.inbox.put(
                    ProbeCompleted(name, well, self.now() - asked + 0.1, figures_of(message, self.set))
                )

        flow = self.transports.to(hub.transport, hub.host, hub.port, deadline_ms)
        uri = f"sip:load@{hub.host}:{hub.port}"
        made = request(
            "OPTIONS", uri, ("via", self._via(flow)), ("max-forwards", "70"),
            ("from", f"<sip:landingdeal@{self.config.host}>;tag={self._tag()}"), ("to", f"<{uri}>"),
            ("call-id", self._tag() + self._tag()), ("cseq", "1 OPTIONS"),
        )  # fmt: skip
        self.at(deadline_ms, lambda: answered(response(Message(), 408)))
        self._client(flow, made, answered)

    # --- within dialogs ---

    def _side(self, message: Message, flow: Flow) -> Side | None:
        try:
            local, remote = parse_name_addr(message.get("to")).tag, parse_name_addr(message.get("from")).tag
        except BadAddress:
            return None
        if isinstance(flow, CaptureFlow):  # what was recorded names the tag of whoever answered then
            known = [side for key, side in self.dialogs.items() if key[::2] == (message.call_id, remote)]
            return known[0] if known else None
        return self.dialogs.get((message.call_id, local, remote))

    def _within(self, transaction: ServerTransaction, to_tag: str, flow: Flow) -> None:
        message = transaction.request
        side = self._side(message, flow)
        if side is None:
            early = [c for c in self.early.values() if c.tag == to_tag and not c.server.answered]
            if message.method == "BYE" and early and early[0].server.request.call_id == message.call_id:
                transaction.respond(self._reply(message, 200))  # of an early dialog (15)
                self._withdraw(early[0])
                return
            transaction.respond(self._reply(message, 481))
            return
        number = message.cseq[0]
        if number <= side.dialog.remote_seq:  # out of order (12.2.2)
            transaction.respond(self._reply(message, 500, ("retry-after", "1")))
            return
        if flow.reliable:
            side.dialog.flow = flow
        if message.method == "INVITE":
            self._reinvite(side, transaction)
            return
        side.dialog.remote_seq = number
        transaction.respond(self._reply(message, 200, ALLOW))
        if message.method == "BYE":
            self._drop_call(side.call, cause_of(message), side)

    def _reinvite(self, side: Side, transaction: ServerTransaction) -> None:
        message, other = transaction.request, side.other
        if side.incoming is not None:  # a second one before the first was answered (14.2)
            later = str(self.random.randint(0, 10))
            transaction.respond(self._reply(message, 500, ("retry-after", later)))
            return
        if other is None or other.incoming is not None or other.unacked >= 0 or side.unacked >= 0:
            transaction.respond(self._reply(message, 491))
            return
        side.dialog.remote_seq = message.cseq[0]
        side.dialog.refreshed(message)
        side.incoming = transaction
        transaction.respond(response(message, 100))
        flow = self._flow_for(other.dialog)
        made = other.dialog.make(
            "INVITE", self._via(flow), self._contact(flow), ALLOW, *content(message), body=message.body
        )
        other.dialog.invite_seq = made.cseq[0]
        side.cancelled = False
        side.forwarded = self._client(flow, made, lambda got: self._reinvited(side, transaction, got))

    def _reinvited(self, side: Side, transaction: ServerTransaction, got: Message) -> None:
        other, asked = side.other, transaction.request
        if other is None:
            return
        if got.status < 200:
            self._pass_cancel(side)
            return
        if got.status < 300:
            if (
                transaction.answered
            ):  # its ACK got lost, or the call is over by now: acknowledged all the same
                if other.ack is not None and other.ack.cseq[0] == other.dialog.invite_seq:
                    self._flow_for(other.dialog).send(other.ack)
                elif other.dialog.over:
                    self._acknowledge(other, None)
                return
            other.dialog.refreshed(got)
            other.ack = None
            if asked.body:
                self._acknowledge(other, None)
            side.incoming = None
            contact = self._contact(transaction.flow)
            final = self._reply(asked, 200, contact, ALLOW, *content(got), body=got.body)
            self._stand(side, transaction, final)
            return
        side.incoming = None
        more = [("retry-after", got.get("retry-after"))] if got.get("retry-after") else []
        transaction.respond(self._reply(asked, got.status, *more))
        if got.status in (408, 481) or not got.get("via"):  # that leg is gone (12.2.1.2)
            self._drop_call(side.call, CAUSE_CALL_CUT, other)

    def _cancel_reinvite(self, invite: ServerTransaction) -> None:
        """CANCEL goes on to the other side; the final answer is whatever comes back from there."""
        for side in list(self.dialogs.values()):
            if side.incoming is invite:
                side.cancelled = True
                self._pass_cancel(side)

    def _pass_cancel(self, side: Side) -> None:
        forwarded = side.forwarded
        if side.cancelled and forwarded is not None and forwarded.state is State.PROCEEDING:
            side.cancelled = False
            self._client(forwarded.flow, within(forwarded.request, "CANCEL"), lambda message: None)

    # --- the end of a call ---

    def _bye(self, side: Side, cause: int) -> None:
        if side.dialog.over:
            return
        if side.unacked >= 0 and side.caller:  # not before the ACK of the 2xx (15)
            side.bye_cause = cause
            return
        if side.ack is None and not side.caller:
            self._acknowledge(side, None)
        self._close(side)
        flow = self._flow_for(side.dialog)
        made = side.dialog.make("BYE", self._via(flow), reason_header(cause))
        self._client(flow, made, lambda message: None)

    def _close(self, side: Side) -> None:
        """The leg is over: a re-INVITE still open there gets its final answer first (15.1.2)."""
        side.dialog.over = True
        side.unacked = -1
        if side.incoming is not None:
            side.incoming.respond(self._reply(side.incoming.request, 487))
            side.incoming = None
        self.dialogs.pop(side.dialog.key, None)
        if not side.caller:
            for leg in side.call.legs.values():
                if side in leg.sides.values():
                    self._end_leg(leg)
        self._forget(side.call)

    def _forget(self, call: Call) -> None:
        sides = [s for s in (call.caller_side, call.hub_side) if s is not None]
        pending = not call.server.answered or any(not side.dialog.over for side in sides)
        if not pending:
            for leg in call.legs.values():
                # guards a hub against ringing on for nobody: over TCP the ACK of our 487 ends the caller's
                # transaction at once, and where the core is busy its word comes after that
                if not leg.sides:
                    self._cancel_leg(leg)
            self.calls.pop(call.key, None)
            self.merged.discard(call.merged_key)

    def _drop_call(self, call: Call, cause: int, gone: Side | None) -> None:
        """Ends both legs; `gone` is the one that ended it, or can't be reached. The core is told once."""
        for side in (call.caller_side, call.hub_side):
            if side is not None and not side.dialog.over:
                if side is gone:
                    self._close(side)
                else:
                    self._bye(side, cause)
        if gone is not None and not gone.caller:
            hub = next((leg.hub.name for leg in call.legs.values() if gone in leg.sides.values()), b"")
            self.inbox.put(HubReleased(call.key, hub, cause))
        else:
            self.inbox.put(CallerReleased(call.key))

    def _release_hub(self, hub: bytes, key: str) -> None:
        call = self.calls.get(key)
        for leg in list(call.legs.values()) if call is not None else ():
            if leg.hub.name == hub:
                for side in list(leg.sides.values()):
                    self._bye(side, 16)

    def _release_all(self) -> None:
        for call in list(self.calls.values()):
            if call.caller_side is not None or call.hub_side is not None:
                self._drop_call(call, CAUSE_CALL_CUT, None)
            elif not call.server.answered:  # it came when the core had ended already
                self.refuse_call(call, self.set.max_retry_after_ms, RefusalReason.UNAVAILABLE)
        self.released = True

    def flow_lost(self, flow: Flow) -> None:
        """A connection closed, was reset, or never came up.

        What awaited a response on it has failed. A dialog belongs to no connection; but its peer may be gone,
        and then nobody would ever end the call: each such leg is asked on a new connection.
        """
        for transaction in list(self.clients.values()):
            if transaction.flow is flow:
                transaction.failed()
        for server in list(self.servers.values()):  # the final answer itself could not be brought
            if not isinstance(server.flow, ReplyFlow):
                continue
            if server.flow.first is flow and server.state is State.COMPLETED:
                server.retransmitted()  # guards a refusal written into a connection just being closed
            if server.flow.spare is flow:
                call = self.early.get(server.key)
                if call is not None and call.caller_side is not None:
                    self._drop_call(call, CAUSE_CALL_CUT, call.caller_side)
        for side in list(self.dialogs.values()):
            awaited = side.unacked >= 0  # its 2xx is sent again anyhow, on a new connection
            if side.dialog.flow is flow and not side.dialog.over and not awaited:
                self._check(side)

    def _check(self, side: Side) -> None:
        if side.checking:
            return
        side.checking = True

        def answered(message: Message) -> None:
            if message.status < 200:
                return
            side.checking = False
            lost = message.status in (408, 481) or not message.get("via")
            if lost and not side.dialog.over:
                who = "caller" if side.caller else "lab hub"
                log_text(f"call {side.call.key}: the {who} can't be reached any more")
                self._drop_call(side.call, CAUSE_CALL_CUT, side)

        flow = self._flow_for(side.dialog)
        self._client(flow, side.dialog.make("OPTIONS", self._via(flow)), answered)
