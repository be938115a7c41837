"""Handles the messages of lab hubs on the platform's front: answers, releases and load reports."""

from __future__ import annotations

from collections.abc import Callable

from badgerstile.interface import AttemptOutcome, Settings
from landingdeal.clock import now_ms
from landingdeal.core.events import (
    AttemptEstablished,
    AttemptFailed,
    HubReleased,
    LoadReported,
    ProbeCompleted,
)
from landingdeal.core.inbox import Inbox
from landingdeal.log import log_event
from landingdeal.net.hub import Hub
from landingdeal.net.hub_requests import HUB_URI, HubRequests
from landingdeal.net.link import HubLink
from landingdeal.sip.headers import load_values, rejection_reason, release_cause
from landingdeal.sip.message import MalformedMessage, Message, response

# 504: the set-up was interrupted on its way and may have been carried out. A live lab hub sends
# it, so that it is no sign of a failure
OUTCOME_BY_STATUS = {
    503: AttemptOutcome.TURNED_BACK,
    480: AttemptOutcome.NOT_SENT,
    504: AttemptOutcome.CANCELLED,
    408: AttemptOutcome.TIMED_OUT,
}


def is_whole_description(body: bytes) -> bool:
    """Whether a body is printable lines, the last one complete: damaged bodies are not passed on."""
    return body.endswith(b"\r\n") and all(32 <= char < 127 or char in b"\t\r\n" for char in body)


class MalformedAnswer(Exception):
    """A lab hub accepted a call with an answer that can't be passed on."""


class HubMessageHandler:
    """Turns the messages of lab hubs into events of the core.

    `abandon` gives up a connection on which a message was malformed.
    """

    def __init__(
        self,
        settings: Settings,
        inbox: Inbox,
        requests: HubRequests,
        abandon: Callable[[Hub, HubLink, str], None],
    ) -> None:
        self.settings, self.inbox, self.requests, self.abandon = settings, inbox, requests, abandon

    def handle(self, hub: Hub, link: HubLink, message: Message | MalformedMessage) -> None:
        """Handles one message, in the thread that reads its connection."""
        hub.note_received()
        if isinstance(message, MalformedMessage):
            # further answers on this connection cannot be relied on, and it may have swallowed a release
            link.received_malformed = True
            self.abandon(hub, link, f"malformed message: {message.problem}")
            return
        if message.status:
            method = message.cseq[1]
            if method == "INVITE" and message.status >= 200:
                try:
                    self._on_final_answer(hub, link, message)
                except MalformedAnswer as error:
                    self.abandon(hub, link, str(error))
            elif method == "OPTIONS" and message.status >= 200:
                self._on_probe_answer(hub, message)
            elif method == "BYE" and message.status >= 200:
                with hub.changed:
                    hub.releases.confirmed(message.call_id)
            return
        match message.method:
            case "BYE":
                link.send(response(message, 200))
                cause = release_cause(message)
                log_event("hub_released", call=message.call_id, hub=hub.name, cause=cause, link=link.number)
                with hub.changed:
                    hub.calls.call_ended(message.call_id)
                    hub.releases.confirmed(message.call_id)
                hub_load = load_values(message, self.settings)
                self.inbox.put(HubReleased(message.call_id, hub.name, cause, hub_load))
            case "NOTIFY":
                self.inbox.put(LoadReported(hub.name, load_values(message, self.settings)))
            case "OPTIONS":
                link.send(response(message, 200))
            case _:
                pass

    def _on_final_answer(self, hub: Hub, link: HubLink, message: Message) -> None:
        call = message.call_id
        established = message.status < 300
        link.last_answer_ms = now_ms()
        with hub.changed:
            pending_calls = hub.pending.get(link, {})
            if call not in pending_calls and call not in hub.cancelled_calls:
                self._on_unexpected_answer(hub, link, message)
                return
            if established and not is_whole_description(message.body):
                raise MalformedAnswer("an answer without a valid description")
            attempt = pending_calls.pop(call, None)
            cancelled = hub.cancelled_calls.get(call)
            if cancelled is not None and (attempt is None or cancelled.connection == link.number):
                del hub.cancelled_calls[call]
            link.pending_sends.pop(call, None)
            if established and attempt is not None:
                hub.calls.call_established(call, link.number)
        link.send(self.requests.ack(message, attempt.offer.uri if attempt else HUB_URI))
        if attempt is None:
            if established:
                self._release_unwanted(hub, call)
            return
        if established:
            self.inbox.put(AttemptEstablished(attempt, message.body))
            return
        ending = OUTCOME_BY_STATUS.get(message.status, AttemptOutcome.ERROR)
        reason = rejection_reason(message)
        self.inbox.put(AttemptFailed(attempt, ending, reason, load_values(message, self.settings)))

    def _on_unexpected_answer(self, hub: Hub, link: HubLink, message: Message) -> None:
        """A repeated answer or an unknown id: no call is affected.

        An answer that comes again on another connection shows that its ACK was lost with the first one.
        """
        log_event("answer_ignored", call=message.call_id, hub=hub.name, status=message.status)
        established_on = hub.calls.connection_of(message.call_id)
        if message.status < 300 and established_on not in (None, link.number):
            link.send(self.requests.ack(message))

    def _release_unwanted(self, hub: Hub, call: str) -> None:
        """Releases a call whose answer crossed our CANCEL, unless it was sent to this lab hub again."""
        with hub.changed:
            if not hub.has_call(call):
                hub.releases.queue(call, now_ms())
                self.requests.send_due_releases(hub)

    def _on_probe_answer(self, hub: Hub, message: Message) -> None:
        """Reports the result of a probe. An answer after its deadline still tells the load of the lab hub."""
        with hub.changed:
            pending_probe = hub.pending_probes.pop(message.call_id, None)
        reported_load = load_values(message, self.settings)
        if pending_probe is None:
            if message.status < 300 and reported_load:
                self.inbox.put(LoadReported(hub.name, reported_load))
        else:
            now = now_ms()
            succeeded = message.status < 300 and now <= pending_probe.deadline_ms
            self.inbox.put(
                ProbeCompleted(
                    hub.name,
                    succeeded,
                    max(now - pending_probe.sent_ms, 0.1),
                    reported_load,
                )
            )
