"""Client side of the platform's front: keeps one connection open to each lab hub."""

from __future__ import annotations

import threading
import time

from badgerstile.interface import AttemptOutcome, Settings
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.events import Attempt, AttemptFailed, ProbeCompleted
from landingdeal.core.inbox import Inbox
from landingdeal.log import log_event
from landingdeal.net.hub import Hub, PendingProbe
from landingdeal.net.hub_check import check_hub
from landingdeal.net.hub_connection_end import ConnectionEndHandler
from landingdeal.net.hub_connector import HubConnector
from landingdeal.net.hub_messages import HubMessageHandler
from landingdeal.net.hub_requests import HubRequests
from landingdeal.threads import start_supervised_thread

# of the shortest class target: a lab hub is dialled again if a set-up gets no message back for so long
UNRESPONSIVE_SLO_SHARE = 0.25
MIN_UNRESPONSIVE_MS = 100.0
CHECK_INTERVAL_MS = 100.0
MAX_HUBS = 512  # including those removed less than 7 s ago


class HubConnections:
    """The connections to all lab hubs. Implements `HubClient` for the core."""

    def __init__(self, settings: Settings, inbox: Inbox, local_address: str, dial_timeout_ms: float) -> None:
        self.inbox, self.dial_timeout_ms = inbox, dial_timeout_ms
        shortest_slo_ms = min(call_class.slo_ms for call_class in settings.classes)
        self.unresponsive_ms = max(shortest_slo_ms * UNRESPONSIVE_SLO_SHARE, MIN_UNRESPONSIVE_MS)
        self.requests = HubRequests(local_address)
        self.ends = ConnectionEndHandler(inbox, self.requests)
        self.messages = HubMessageHandler(settings, inbox, self.requests, self.ends.abandon)
        self.connector = HubConnector(inbox, self.requests, self.messages, self.ends, dial_timeout_ms)
        self.lock = threading.Lock()
        self.hubs: dict[bytes, Hub] = {}
        # whose names processes at other addresses have; calls may stand there
        self.replaced_hubs: list[Hub] = []
        self.probe_number = 0

    def update_hub(
        self, name: bytes, address: str, removed: bool, draining: bool = False, started_ms: float = 0.0
    ) -> None:
        """Applies one entry of the list of lab hubs: added, changed, draining or removed.

        A live connection is kept when its lab hub is removed from the list: the list is seconds late, and a
        machine that had vanished may be back already, with established calls. A name that is listed with
        another address is another lab hub; so is one that has the address of another.
        """
        host, _, port_text = address.rpartition(":")
        port = int(port_text) if port_text else 0
        with self.lock:
            hub = self.hubs.get(name)
            moved_hub = None
            if hub is not None and port and hub.port and not removed and (hub.host, hub.port) != (host, port):
                moved_hub, hub = hub, None
                self.replaced_hubs.append(moved_hub)
            if hub is None:
                is_full = len(self.hubs) + len(self.replaced_hubs) >= MAX_HUBS
                if removed or is_full and moved_hub is None:
                    return
                hub = self.hubs[name] = Hub(name, host, port, started_ms)
            hubs_at_address = [
                other for other in self.hubs.values()
                if other is not hub and port and not removed and (other.host, other.port) == (host, port)
            ]  # fmt: skip
        if moved_hub is not None:
            self._retire_moved(moved_hub)
        for replaced_hub in hubs_at_address:
            self._remove_replaced(replaced_hub)
        self._apply_state(hub, host, port, removed, draining, started_ms)

    def _apply_state(
        self, hub: Hub, host: str, port: int, removed: bool, draining: bool, started_ms: float
    ) -> None:
        with hub.changed:
            restarted = hub.may_have_restarted_since(hub.last_reset_ms, now_ms())
            failed_before_ms = hub.last_reset_ms if removed and restarted else 0.0
            if port:
                hub.host, hub.port = host, port
            older_links = hub.take_older_links(started_ms)
            hub.removed = removed
            # a lab hub that returns without a running keeper gets a new one: set-ups would be queued forever
            start_keeper, hub.keeper_running = (
                not removed and not hub.keeper_running,
                hub.keeper_running or not removed,
            )
            hub.draining = draining or removed
            undeliverable = hub.take_queued() + hub.take_unwritten() if hub.draining else []
            hub.changed.notify()
        for link in older_links:
            link.close_with_reason("its lab hub was started again after it was opened")
        for attempt in undeliverable:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
        if failed_before_ms:  # the earlier reset was the end of its process
            self.inbox.put(hub.failed(failed_before_ms))
        if start_keeper:
            start_supervised_thread("keeper", lambda: self.connector.keep_connected(hub))

    def _retire_moved(self, moved_hub: Hub) -> None:
        """Sends nothing new to the process that had a hub's name; its calls stand there until they end."""
        with moved_hub.changed:
            moved_hub.replaced_ms = now_ms()
            moved_hub.removed = moved_hub.draining = True
            unsent = moved_hub.take_queued() + moved_hub.take_unwritten()
            moved_hub.changed.notify()
        log_event("hub_moved", hub=moved_hub.name, unsent=len(unsent))
        for attempt in unsent:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.NOT_SENT))

    def _remove_replaced(self, replaced_hub: Hub) -> None:
        """Removes a lab hub whose address a new one has, so that it is not connected to the new one."""
        with replaced_hub.changed:
            replaced_hub.removed = replaced_hub.draining = True
            links = list(replaced_hub.pending)
            unsent = replaced_hub.take_queued() + replaced_hub.take_unwritten()
            replaced_hub.host, replaced_hub.port = "", 0
            replaced_hub.changed.notify()
        for link in links:
            link.close_with_reason("another lab hub has its address")
        for attempt in unsent:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.NOT_SENT))
        self.inbox.put(replaced_hub.failed(now_ms()))

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
            hubs = [*self.hubs.values(), *self.replaced_hubs]
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
            check.finished += hub.idle_links_of_moved()
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
            self.ends.abandon_silent(hub, link, now)
        for link in check.overdue:
            link.close_with_reason("not closed by its lab hub, which is removed and silent, or in time")
        if check.recovery_due:
            self.connector.start_recovery(hub)
        if check.failed:
            log_event("hub_failed", hub=hub.name, silent_ms=check.silent_ms)
            self.inbox.put(hub.failed(now))
        if removable:  # bounds memory and threads where lab hubs are often replaced by new ones
            self._forget(hub)

    def _forget(self, hub: Hub) -> None:
        with self.lock:
            if self.hubs.get(hub.name) is hub:
                del self.hubs[hub.name]
            elif hub in self.replaced_hubs:
                self.replaced_hubs.remove(hub)

    def all_connected(self) -> bool:
        """Whether each lab hub that is not removed has a connection."""
        with self.lock:
            return all(hub.link is not None or hub.removed for hub in self.hubs.values())

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

    def _hubs_of(self, name: bytes) -> list[Hub]:
        """The lab hubs that have or had this name, the current one last."""
        with self.lock:
            current = self.hubs.get(name)
            replaced = [hub for hub in self.replaced_hubs if hub.name == name]
        return [*replaced, *([current] if current is not None else [])]

    def _hub_with_call(self, name: bytes, call: str) -> Hub | None:
        """The lab hub of this name where the call is, else the current one."""
        hubs = self._hubs_of(name)
        for hub in hubs:
            with hub.changed:
                if hub.has_call(call):
                    return hub
        return hubs[-1] if hubs else None

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
        if link is None or not connected or not self.requests.send_set_up(hub, link, attempt):
            self.inbox.put_from_core(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def cancel(self, attempt: Attempt) -> bool:
        hub = self._hub_with_call(attempt.hub, attempt.offer.call_id)
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
        hub = self._hub_with_call(name, call)
        if hub is None:
            return
        with hub.changed:
            hub.calls.call_ended(call)
            hub.releases.queue(call, now_ms())
            self.requests.send_due_releases(hub)

    def forget(self, name: bytes, call: str) -> None:
        for hub in self._hubs_of(name):
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
