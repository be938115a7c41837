"""Client side of the platform's front: keeps one connection open to each lab hub."""

from __future__ import annotations

import socket
import threading
import time

from badgerstile.interface import AttemptOutcome, Settings
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Inbox
from landingdeal.core.events import Attempt, AttemptFailed, HubFailed, ProbeCompleted
from landingdeal.log import log_event, log_text
from landingdeal.net.hub import Hub, PendingProbe
from landingdeal.net.hub_calls import END_NOTICE_MS, ConnectionEnd
from landingdeal.net.hub_check import check_hub
from landingdeal.net.hub_messages import HubMessageHandler
from landingdeal.net.hub_requests import HubRequests
from landingdeal.net.link import HubLink, dial
from landingdeal.net.pending_send import PendingSend
from landingdeal.threads import start_supervised_thread, start_thread

# of the shortest class target: a lab hub is dialled again if a set-up gets no message back for so long
UNRESPONSIVE_SLO_SHARE = 0.25
MIN_UNRESPONSIVE_MS = 100.0
CHECK_INTERVAL_MS = 100.0
REDIAL_INTERVAL_MS = 250.0  # after a failed connect
MAX_HUBS = 512  # including those removed less than 7 s ago


class HubConnections:
    """The connections to all lab hubs. Implements `HubClient` for the core."""

    def __init__(self, settings: Settings, inbox: Inbox, local_address: str, dial_timeout_ms: float) -> None:
        self.inbox, self.dial_timeout_ms = inbox, dial_timeout_ms
        shortest_slo_ms = min(call_class.slo_ms for call_class in settings.classes)
        self.unresponsive_ms = max(shortest_slo_ms * UNRESPONSIVE_SLO_SHARE, MIN_UNRESPONSIVE_MS)
        self.requests = HubRequests(local_address)
        self.messages = HubMessageHandler(settings, inbox, self.requests, self._abandon)
        self.lock = threading.Lock()
        self.hubs: dict[bytes, Hub] = {}
        self.probe_number = 0

    def update_hub(self, name: bytes, address: str, removed: bool, draining: bool = False) -> None:
        """Applies one entry of the list of lab hubs: added, changed, draining or removed.

        A live connection is kept when its lab hub is removed from the list: the list is seconds late, and a
        machine that had vanished may be back already, with established calls.
        """
        host, _, port = address.rpartition(":")
        with self.lock:
            hub = self.hubs.get(name)
            hubs_at_address = []
            if hub is None:
                if removed or len(self.hubs) >= MAX_HUBS:
                    return
                hub = self.hubs[name] = Hub(name, host, int(port))
                other_hubs = [h for h in self.hubs.values() if h is not hub]
                hubs_at_address = [h for h in other_hubs if (h.host, h.port) == (host, hub.port)]
        for replaced_hub in hubs_at_address:
            self._remove_replaced(replaced_hub)
        with hub.changed:
            restarted = hub.may_have_restarted_since(hub.last_reset_ms, now_ms())
            failed_before_ms = hub.last_reset_ms if removed and restarted else 0.0
            if address:
                hub.host, hub.port = host, int(port)
            hub.removed = removed
            # a lab hub that returns without a running keeper gets a new one: set-ups would be queued forever
            start_keeper, hub.keeper_running = (
                not removed and not hub.keeper_running,
                hub.keeper_running or not removed,
            )
            hub.draining = draining or removed
            undeliverable = hub.take_queued() + hub.take_unwritten() if hub.draining else []
            hub.changed.notify()
        for attempt in undeliverable:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
        if failed_before_ms:  # the earlier reset was the end of its process
            self.inbox.put(HubFailed(name, failed_before_ms))
        if start_keeper:
            start_supervised_thread("keeper", lambda: self._keep_connected(hub))

    def _remove_replaced(self, replaced_hub: Hub) -> None:
        """Removes a lab hub whose address a new one has, so that it is not connected to the new one."""
        with replaced_hub.changed:
            replaced_hub.removed = True
            links = list(replaced_hub.pending)
            replaced_hub.host, replaced_hub.port = "", 0
            replaced_hub.changed.notify()
        for link in links:
            link.close_with_reason("another lab hub has its address")
        self.inbox.put(HubFailed(replaced_hub.name, now_ms()))

    def start(self) -> None:
        """Starts the thread that checks for silent lab hubs."""

        def check_repeatedly() -> None:
            while True:
                time.sleep(seconds_until(now_ms() + CHECK_INTERVAL_MS))
                self.check_hubs(now_ms())

        start_supervised_thread("watch", check_repeatedly)

    def check_hubs(self, now: float) -> None:
        """Replaces silent connections, declares silent lab hubs failed and recovers lost releases."""
        with self.lock:
            hubs = list(self.hubs.values())
        for hub in hubs:
            self._check_hub(hub, now)

    def _check_hub(self, hub: Hub, now: float) -> None:
        with hub.changed:
            check = check_hub(hub, now, self.unresponsive_ms)
            if check.replace:
                hub.last_suspected_ms = now
                self._replace_connection(hub, now)
            self.requests.send_due_releases(hub)
            dropped_releases = hub.releases.take_dropped_count()
            hub.recovering = hub.recovering or check.recovery_due
            removable = hub.removed and hub.declared_failed and not hub.keeper_running and not hub.pending
        if dropped_releases:
            log_event("hub_releases_dropped", hub=hub.name, count=dropped_releases)
        for pending_probe in check.expired_probes:
            latency_ms = pending_probe.deadline_ms - pending_probe.sent_ms
            self.inbox.put(ProbeCompleted(hub.name, False, latency_ms))
        for link in check.unverified:
            # a process that was restarted since then answers with a reset
            link.send(self.requests.options(f"{0:016x}"))
        for link in check.finished:
            link.finish("replaced")
        for link in check.abandoned:
            self._abandon_silent(hub, link, now)
        for link in check.overdue:
            link.close_with_reason("not closed by its lab hub, which is removed and silent, or in time")
        if check.recovery_due:
            self._start_recovery(hub)
        if check.failed:
            log_event("hub_failed", hub=hub.name, silent_ms=check.silent_ms)
            self.inbox.put(HubFailed(hub.name, now))
        if removable:  # bounds memory and threads where lab hubs are often replaced by new ones
            with self.lock:
                self.hubs.pop(hub.name, None)

    def all_connected(self) -> bool:
        """Whether each lab hub that is not removed has a connection."""
        with self.lock:
            return all(hub.link is not None or hub.removed for hub in self.hubs.values())

    # --- connections ---

    def _keep_connected(self, hub: Hub) -> None:
        """Keeps a connection open, since load reports and releases come on it.

        Ends when the lab hub is removed and no call stands there.
        """
        while True:
            with hub.changed:
                while hub.link is not None and hub.link.alive:
                    hub.changed.wait()
                if not hub.is_needed():
                    hub.link, hub.keeper_running = None, False
                    queued = hub.take_queued()
                    failed_before_ms, hub.suspect_reset_ms = hub.suspect_reset_ms, 0.0
                    break
            until = now_ms() + self.dial_timeout_ms
            try:
                sock = dial(hub.host, hub.port, until)
            except OSError as error:
                refused = not isinstance(error, TimeoutError)
                log_text(f"no connection to {hub.name!r}: {error}")
                with hub.changed:
                    now = now_ms()
                    hub.refused_connects = hub.refused_connects + 1 if refused else 0
                    failed_before_ms = (
                        hub.suspect_reset_ms
                        if hub.refused_connects == 1
                        else now
                        if hub.refused_connects == 2
                        else 0.0
                    )
                    hub.suspect_reset_ms = 0.0 if refused else hub.suspect_reset_ms
                    undeliverable = [
                        a for a in hub.queued if refused or now >= a.sent_ms + self.dial_timeout_ms - 1
                    ]
                    hub.queued = [a for a in hub.queued if a not in undeliverable]
                for attempt in undeliverable:
                    self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
                if failed_before_ms:
                    # a reset alone is no proof of a failure: peers also reset idle connections and keep their
                    # calls. A refused connect after it, or two refused in a row, show that the process ended
                    self.inbox.put(HubFailed(hub.name, failed_before_ms))
                with hub.changed:
                    if hub.is_needed() and not hub.queued:
                        hub.changed.wait(seconds_until(now_ms() + REDIAL_INTERVAL_MS))
                continue
            self._on_connected(hub, self._new_link(hub, sock))
        if failed_before_ms:
            self.inbox.put(HubFailed(hub.name, failed_before_ms))
        for attempt in queued:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _new_link(self, hub: Hub, sock: socket.socket) -> HubLink:
        return HubLink(
            sock,
            lambda on, message: self.messages.handle(hub, on, message),
            lambda on, reset: self._on_connection_ended(hub, on, reset),
        )

    def _on_connected(self, hub: Hub, link: HubLink) -> None:
        """Sends what is queued, under one lock: a cancellation finds each attempt either queued or sent."""
        with hub.changed:
            hub.link = link
            hub.pending[link] = {}
            hub.calls.connection_opened(link.number, link.opened_ms)
            hub.connected_ms = now_ms()
            restarted = hub.may_have_restarted_since(hub.suspect_reset_ms, hub.connected_ms)
            failed_before_ms = hub.suspect_reset_ms if restarted else 0.0
            hub.refused_connects, hub.suspect_reset_ms = 0, 0.0
            hub.note_received()
            self.requests.send_due_releases(hub)
            queued = hub.take_queued()
            undeliverable = [attempt for attempt in queued if not self._send_set_up(hub, link, attempt)]
        self._start_link(hub, link)
        if failed_before_ms:
            self.inbox.put(HubFailed(hub.name, failed_before_ms))
        log_event("hub_connected", hub=hub.name, link=link.number)
        for attempt in undeliverable:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _start_link(self, hub: Hub, link: HubLink) -> None:
        """Starts the threads of a connection; waits for them if the system has none left.

        The lab hub repeats its releases once, on the next connection: one that is closed unread would lose
        them. The set-ups that wait for it are withdrawn.
        """
        while True:
            try:
                link.start()
                return
            except RuntimeError as error:
                self._withdraw_unwritten(hub, link)
                log_event("hub_connection_waits_for_thread", hub=hub.name, link=link.number, error=error)
                time.sleep(seconds_until(now_ms() + REDIAL_INTERVAL_MS))

    def _withdraw_unwritten(self, hub: Hub, link: HubLink) -> None:
        with hub.changed:
            waiting = hub.pending.get(link, {})
            withdrawn = [waiting.pop(call) for call in list(waiting) if link.withdraw(call)]
        for attempt in withdrawn:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _start_recovery(self, hub: Hub) -> None:
        """Opens a further connection in a thread of its own: the lab hub repeats its releases on it."""
        try:
            start_thread("recovery", lambda: self._open_recovery_connection(hub))
        except RuntimeError:  # the system has no thread left
            self._recovery_failed(hub)

    def _open_recovery_connection(self, hub: Hub) -> None:
        dialled_ms = now_ms()
        try:
            sock = dial(hub.host, hub.port, dialled_ms + self.dial_timeout_ms)
        except Exception as error:  # whatever it is, the calls in doubt need another one
            log_event("hub_recovery_failed", hub=hub.name, error=f"{type(error).__name__} {error}")
            self._recovery_failed(hub)
            return
        link = self._new_link(hub, sock)
        link.for_recovery, link.probed_ms = True, now_ms()  # its first message shows that it is alive
        with hub.changed:
            hub.recovering = False
            hub.pending[link] = {}
            in_doubt = hub.calls.in_doubt()
            hub.calls.recovery_opened(link.number, dialled_ms)
        log_event("hub_recovery", hub=hub.name, link=link.number, calls=len(in_doubt))
        self._start_link(hub, link)

    @staticmethod
    def _recovery_failed(hub: Hub) -> None:
        with hub.changed:
            hub.recovering = False
            hub.calls.recovery_failed(now_ms())

    def _abandon(self, hub: Hub, link: HubLink, reason: str) -> None:
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

    def _abandon_silent(self, hub: Hub, link: HubLink, now: float) -> None:
        """Gives up a silent connection: what the lab hub has written there need not arrive, nor its close."""
        with hub.changed:
            hub.calls.connection_silent(link.number, now)
        self._abandon(hub, link, "replaced and silent")
        with hub.changed:
            self._release_lost_answers(hub, link, now)

    @staticmethod
    def _release_lost_answers(hub: Hub, link: HubLink, now: float) -> None:
        """Releases what its unanswered set-ups may have become. The caller holds the lock."""
        for call_id in hub.lost_answers(link.number, now):
            hub.releases.queue(call_id, now, now + END_NOTICE_MS)

    def _on_connection_ended(self, hub: Hub, link: HubLink, reset: bool) -> None:
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
        end_description = (
            "reset" if reset else f"closed: {link.close_reason}" if link.close_reason else "closed"
        )
        if link.reset_after_close:
            end_description += ", then reset"
        log_event("hub_connection_ended", hub=hub.name, link=link.number, how=end_description,
                  pending=len(interrupted), replaced=was_replaced)  # fmt: skip
        self._report_interrupted(interrupted)
        survived = link.for_recovery or link.outlived_replacement or link.heard_since_probe
        if reset and was_replaced and may_have_restarted and not survived:
            # it was silent, then reset: the process there now does not know it
            self.inbox.put(HubFailed(hub.name, failed_before_ms))

    @staticmethod
    def _connection_end(hub: Hub, link: HubLink) -> ConnectionEnd:
        if link.closed_by_peer:
            return ConnectionEnd.CLOSED_BY_HUB
        nothing_to_recover = link.for_recovery and not hub.calls.any_stand()
        if link.reset_after_close or nothing_to_recover:
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

    def _replace_connection(self, hub: Hub, now: float) -> None:
        """Dials a new connection in place of a silent one; set-ups are queued until it is up.

        The connections of a machine that vanished or was cut off stay open and silent.
        """
        if hub.link is not None:
            log_event("hub_connection_silent", hub=hub.name, link=hub.link.number)
            hub.calls.connection_silent(hub.link.number, now)
        hub.link = None
        hub.changed.notify()

    # --- requests of the core ---

    def _find_hub(self, name: bytes) -> Hub | None:
        with self.lock:
            return self.hubs.get(name)

    def set_up(self, attempt: Attempt) -> None:
        hub = self._find_hub(attempt.hub)
        if hub is None:
            self.inbox.put_from_core(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
            return
        with hub.changed:
            link = hub.link
            connected = link is not None and link.alive
            if not connected and not hub.draining:
                hub.queued.append(attempt)
                hub.changed.notify()
                return
        if link is None or not connected or not self._send_set_up(hub, link, attempt):
            self.inbox.put_from_core(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _send_set_up(self, hub: Hub, link: HubLink, attempt: Attempt) -> bool:
        """Sends the INVITE; False if it was not sent and its end has still to be reported."""
        remaining_ms = int(attempt.deadline_ms - now_ms())
        offer = attempt.offer
        if remaining_ms <= 0:
            return True  # the core's own timer ends it
        message = self.requests.invite(offer, remaining_ms)
        with hub.changed:  # registered and queued under one lock, so that a CANCEL follows it
            pending_calls = hub.pending.get(link)
            pending_send = PendingSend()
            if pending_calls is None or not link.send(message, still_wanted=pending_send.claim):
                return False
            pending_calls[offer.call_id] = attempt
            hub.releases.confirmed(offer.call_id)  # a release sent again would end this set-up's call
            link.pending_sends[offer.call_id] = pending_send
            if link.first_unanswered_ms <= link.last_received_ms:
                link.first_unanswered_ms = now_ms()
        return True

    def cancel(self, attempt: Attempt) -> bool:
        hub = self._find_hub(attempt.hub)
        if hub is None:
            return False
        with hub.changed:
            if attempt in hub.queued:
                hub.queued.remove(attempt)
                return False
            link = next(
                (on for on, calls in hub.pending.items() if calls.get(attempt.offer.call_id) is attempt), None
            )
            written = link is not None and not link.withdraw(attempt.offer.call_id)
            if link is not None:
                del hub.pending[link][attempt.offer.call_id]
            if link is not None and written:
                hub.note_cancelled(attempt.offer.call_id, link)
            unresponsive = (
                link is not None and link is not hub.link and link.last_received_ms < attempt.sent_ms
            )
            unresponsive = unresponsive and hub.link is not None and hub.link.last_answer_ms > attempt.sent_ms
            # a caller may cancel at once, which is no sign of a silent connection
            waited = now_ms() - attempt.sent_ms > self.dial_timeout_ms
            if hub.link is not None and waited and hub.link.last_received_ms < attempt.sent_ms:
                self._replace_connection(hub, now_ms())
            if link is not None and written:
                link.send(self.requests.cancel(attempt.offer))
        return unresponsive

    def release(self, name: bytes, call: str) -> None:
        hub = self._find_hub(name)
        if hub is None:
            return
        with hub.changed:
            hub.calls.call_ended(call)
            hub.releases.queue(call, now_ms())
            self.requests.send_due_releases(hub)

    def forget(self, name: bytes, call: str) -> None:
        hub = self._find_hub(name)
        if hub is None:
            return
        with hub.changed:
            hub.calls.call_ended(call)

    def probe(self, name: bytes, deadline_ms: float) -> None:
        hub = self._find_hub(name)
        if hub is None:
            return
        with hub.changed:
            now = now_ms()
            self.probe_number += 1
            key = f"{self.probe_number:016x}"
            hub.pending_probes[key] = PendingProbe(now, deadline_ms)
            link = hub.link
        if link is not None:
            link.send(self.requests.options(key))
