"""The requests that are sent to lab hubs on the platform's front."""

from __future__ import annotations

from landingdeal.clock import now_ms
from landingdeal.core.events import Attempt, Offer
from landingdeal.net.hub import Hub
from landingdeal.net.link import HubLink
from landingdeal.sip.headers import reason_header
from landingdeal.sip.message import Message, request

HUB_URI = "sip:hub@net"
LOAD_URI = "sip:load@net"
NORMAL_CLEARING = 16  # Q.850


class HubRequests:
    """Builds the requests of one border controller."""

    def __init__(self, local_address: str) -> None:
        self.via = ("via", f"SIP/2.0/TCP {local_address}")

    def invite(self, offer: Offer, remaining_ms: int) -> Message:
        """The set-up of a call; the lab hub is told how many milliseconds are left for it."""
        return request(
            "INVITE", offer.uri, self.via, ("call-id", offer.call_id), ("cseq", "1 INVITE"),
            ("subject", offer.class_name), ("x-patience", str(remaining_ms)), ("x-facts", offer.facts),
            body=offer.description,
        )  # fmt: skip

    def cancel(self, offer: Offer) -> Message:
        """Gives up a set-up."""
        return request("CANCEL", offer.uri, self.via, ("call-id", offer.call_id), ("cseq", "1 CANCEL"))

    def ack(self, answer: Message, uri: str = HUB_URI) -> Message:
        """Acknowledges a final answer."""
        cseq = ("cseq", f"{answer.cseq[0]} ACK")
        return request("ACK", uri, self.via, ("call-id", answer.call_id), cseq)

    def bye(self, call_id: str) -> Message:
        """Releases a call."""
        headers = (self.via, ("call-id", call_id), ("cseq", "2 BYE"), reason_header(NORMAL_CLEARING))
        return request("BYE", HUB_URI, *headers)

    def options(self, key: str) -> Message:
        """Asks for the load; the answer has the same `key` as its Call-ID."""
        return request("OPTIONS", LOAD_URI, self.via, ("call-id", key), ("cseq", "1 OPTIONS"))

    def send_set_up(self, hub: Hub, link: HubLink, attempt: Attempt) -> bool:
        """Sends the INVITE of an attempt; False if it was not sent and its end has still to be reported."""
        remaining_ms = int(attempt.deadline_ms - now_ms())
        offer = attempt.offer
        if remaining_ms <= 0:
            return True  # the core's own timer ends it
        message = self.invite(offer, remaining_ms)
        with hub.changed:  # registered and queued under one lock, so that a CANCEL follows it
            pending_calls = hub.pending.get(link)
            pending_send = attempt.pending_send
            if pending_calls is None or not link.send(message, still_wanted=pending_send.claim):
                return False
            pending_calls[offer.call_id] = attempt
            hub.releases.confirmed(offer.call_id)  # a release sent again would end this set-up's call
            link.pending_sends[offer.call_id] = pending_send
            if link.first_unanswered_ms <= link.last_received_ms:
                link.first_unanswered_ms = now_ms()
        return True

    def send_due_releases(self, hub: Hub) -> None:
        """Sends the releases that are due if there is a connection. The caller holds the lock of the hub."""
        link = hub.link
        if link is None or not link.alive or link.finishing:
            return
        for call_id, requested_ms in hub.releases.take_due(now_ms()).items():
            if hub.has_call(call_id):
                continue  # it was set up there again
            if link.send(self.bye(call_id)):
                hub.releases.sent(call_id, link.number, requested_ms)
            else:
                hub.releases.queue(call_id, requested_ms)
