"""How a connection to a lab hub ends or is given up, and what becomes of what was written there."""

from __future__ import annotations

from badgerstile.interface import AttemptOutcome
from landingdeal.clock import now_ms
from landingdeal.core.events import Attempt, AttemptFailed
from landingdeal.core.inbox import Inbox
from landingdeal.log import log_event
from landingdeal.net.hub import Hub
from landingdeal.net.hub_calls import END_NOTICE_MS, ConnectionEnd
from landingdeal.net.hub_requests import HubRequests
from landingdeal.net.link import HubLink


class ConnectionEndHandler:
    """Ends the set-ups of a connection, and notes which calls and releases its end leaves in doubt."""

    def __init__(self, inbox: Inbox, requests: HubRequests) -> None:
        self.inbox, self.requests = inbox, requests

    def abandon(self, hub: Hub, link: HubLink, reason: str) -> None:
        """Gives up a connection: its set-ups have failed, what its lab hub still writes there is read.

        Its end shows whether the lab hub may hold calls of these set-ups.
        """
        with hub.changed:
            interrupted = list(hub.pending.get(link, {}).values())
            if link in hub.pending:
                hub.pending[link] = {}
            for attempt in interrupted:
                if not link.withdraw(attempt.offer.call_id):
                    hub.note_cancelled(attempt.offer.call_id, link)
            if hub.link is link:
                hub.link = None
                hub.changed.notify()
            hub.releases.connection_lost(link.number, now_ms())
            self.requests.send_due_releases(hub)
        log_event("hub_connection_given_up", hub=hub.name, link=link.number, why=reason,
                  pending=len(interrupted))  # fmt: skip
        link.finish(reason)
        self._report_interrupted(interrupted)

    def abandon_silent(self, hub: Hub, link: HubLink, now: float) -> None:
        """Gives up a silent connection: what the lab hub has written there need not arrive, nor its close."""
        with hub.changed:
            hub.calls.connection_silent(link.number, now)
        self.abandon(hub, link, "replaced and silent")
        with hub.changed:
            self._release_lost_answers(hub, link, now)

    @staticmethod
    def _release_lost_answers(hub: Hub, link: HubLink, now: float) -> None:
        """Releases what its unanswered set-ups may have become. The caller holds the lock."""
        for call_id in hub.lost_answers(link.number, now):
            hub.releases.queue(call_id, now, now + END_NOTICE_MS)

    def connection_ended(self, hub: Hub, link: HubLink, reset: bool) -> None:
        """Handles the end of a connection, in the thread that has read it; `reset`: by the lab hub."""
        with hub.changed:
            failed_before_ms = now_ms()
            interrupted = self._forget_connection(hub, link, failed_before_ms)
            was_replaced = hub.link is not link
            if not was_replaced:
                hub.link = None
            elif link.replaced_ms or hub.link is not None:
                # calls set up on the new connection stay established
                failed_before_ms = link.replaced_ms or hub.connected_ms
            hub.changed.notify()
            if reset and not was_replaced:
                hub.suspect_reset_ms = hub.last_reset_ms = failed_before_ms
            self.requests.send_due_releases(hub)
            may_have_restarted = hub.may_have_restarted_since(link.last_received_ms, now_ms())
        log_event("hub_connection_ended", hub=hub.name, link=link.number, how=self._describe_end(link, reset),
                  pending=len(interrupted), replaced=was_replaced)  # fmt: skip
        self._report_interrupted(interrupted)
        survived = link.for_recovery or link.outlived_replacement or link.heard_since_probe
        if reset and was_replaced and may_have_restarted and not survived:
            # it was silent, then reset: the process there now does not know it
            self.inbox.put(hub.failed(failed_before_ms))

    @staticmethod
    def _describe_end(link: HubLink, reset: bool) -> str:
        if reset:
            return "reset"
        description = f"closed: {link.close_reason}" if link.close_reason else "closed"
        return f"{description}, then reset" if link.reset_after_close else description

    @staticmethod
    def _connection_end(hub: Hub, link: HubLink) -> ConnectionEnd:
        if link.closed_by_peer and not link.received_malformed:
            return ConnectionEnd.CLOSED_BY_HUB
        nothing_to_recover = link.for_recovery and not hub.calls.any_stand()
        if link.closed_by_peer or link.reset_after_close or nothing_to_recover:
            return ConnectionEnd.ENDED_BY_HUB
        return ConnectionEnd.LOST

    def _forget_connection(self, hub: Hub, link: HubLink, now: float) -> list[Attempt]:
        """Removes an ended connection; returns its pending set-ups. The caller holds the lock.

        An answer that the lab hub wrote there may be lost: unless it closed the connection itself, the calls
        of unanswered set-ups are released.
        """
        pending = hub.pending.pop(link, {})
        hub.calls.connection_ended(link.number, now, self._connection_end(hub, link))
        hub.releases.connection_lost(link.number, now)
        for call_id in pending:
            if not link.withdraw(call_id):
                hub.note_cancelled(call_id, link)
        if not link.closed_by_peer:
            self._release_lost_answers(hub, link, now)
        return list(pending.values())

    def _report_interrupted(self, interrupted: list[Attempt]) -> None:
        for attempt in interrupted:
            # CANCELLED, not UNREACHABLE: the end of a connection is no proof that the lab hub has failed (one
            # that has refuses the next connect), and UNREACHABLE would limit a healthy lab hub to one call at
            # a time and then ramp it up as if newly started
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.CANCELLED))
