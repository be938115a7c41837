"""Client side of the platform's front: keeps one connection open to each lab hub."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

from badgerstile.interface import AttemptOutcome, Settings
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Inbox
from landingdeal.core.events import (
    Attempt,
    AttemptEstablished,
    AttemptFailed,
    HubFailed,
    HubReleased,
    LoadReported,
    ProbeCompleted,
)
from landingdeal.log import log_event, log_text
from landingdeal.net.link import HubLink, Link, dial
from landingdeal.net.pending_send import PendingSend
from landingdeal.sip.headers import load_values, reason_header, rejection_reason, release_cause
from landingdeal.sip.message import FramingError, MalformedMessage, Message, request, response
from landingdeal.threads import start_supervised_thread

SUSPECT_SILENCE_MS = 2500.0  # after so long without a message from a lab hub, it is dialled again
# of the shortest class target: it is also dialled again if a set-up gets no message back for so long
UNRESPONSIVE_SLO_SHARE = 0.25
MIN_UNRESPONSIVE_MS, MAX_UNRESPONSIVE_MS = 100.0, 2500.0
REPLACE_INTERVAL_MS = 1000.0  # at least, between replacements for unanswered set-ups
FAILED_SILENCE_MS = 7000.0  # then its calls are released: callers must be notified within 8 s of their end
CHECK_INTERVAL_MS = 100.0
REDIAL_INTERVAL_MS = 250.0  # after a failed connect
MAX_CANCELLED_CALLS = 256  # per connection: cancelled set-ups whose answer may cross the CANCEL
MAX_HUBS = 512  # including those removed less than 7 s ago
PROBE_REPLY_TIMEOUT_MS = 250.0  # for a replaced connection to show life while the new one gets answers
MAX_RECONNECT_MS = 700.0  # a lab hub that accepts again so soon after a reset was not restarted
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


@dataclass(frozen=True, slots=True)
class PendingProbe:
    """An OPTIONS sent to a lab hub whose answer has not come yet."""

    sent_ms: float
    deadline_ms: float


class Hub:
    """One lab hub: its address, its connections, the set-ups pending on each and those queued for one."""

    def __init__(self, name: bytes, host: str, port: int) -> None:
        self.name, self.host, self.port = name, host, port
        self.link: HubLink | None = None
        self.pending: dict[HubLink, dict[str, Attempt]] = {}
        self.queued: list[Attempt] = []
        self.queued_releases: list[str] = []  # sent once there is a connection
        self.pending_probes: dict[str, PendingProbe] = {}
        self.removed = self.keeper_running = self.draining = (
            False  # keeper_running: its thread keeps it connected
        )
        self.last_received_ms = self.connected_ms = now_ms()
        # connects refused in a row; the time of a reset that may mean that its process has ended
        self.refused_connects, self.suspect_reset_ms = 0, 0.0
        self.last_reset_ms = 0.0
        self.last_suspected_ms = 0.0  # when its connection was last replaced for silence
        self.declared_failed = False  # its calls have been released because of its silence
        self.changed = threading.Condition()


class HubConnections:
    """The connections to all lab hubs. Implements `HubClient` for the core."""

    def __init__(self, settings: Settings, inbox: Inbox, local_address: str, dial_timeout_ms: float) -> None:
        self.settings, self.inbox, self.dial_timeout_ms = settings, inbox, dial_timeout_ms
        shortest_slo_ms = min(call_class.slo_ms for call_class in settings.classes)
        self.unresponsive_ms = max(shortest_slo_ms * UNRESPONSIVE_SLO_SHARE, MIN_UNRESPONSIVE_MS)
        self.via = ("via", f"SIP/2.0/TCP {local_address}")
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
            failed_before_ms = hub.last_reset_ms if removed else 0.0
            if address:
                hub.host, hub.port = host, int(port)
            hub.removed = removed
            # a lab hub that returns without a running keeper gets a new one: set-ups would be queued forever
            start_keeper, hub.keeper_running = (
                not removed and not hub.keeper_running,
                hub.keeper_running or not removed,
            )
            hub.draining = draining or removed
            undeliverable = self._take_queued(hub) + self._take_unwritten(hub) if hub.draining else []
            hub.changed.notify()
        for attempt in undeliverable:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
        if failed_before_ms:  # the earlier reset was the end of its process
            self.inbox.put(HubFailed(name, failed_before_ms))
        if start_keeper:
            start_supervised_thread("keeper", lambda: self._keep_connected(hub))

    @staticmethod
    def _take_queued(hub: Hub) -> list[Attempt]:
        """Empties the queue of set-ups and returns it. The caller holds the hub's lock."""
        undeliverable, hub.queued = hub.queued, []
        return undeliverable

    @staticmethod
    def _take_unwritten(hub: Hub) -> list[Attempt]:
        """Withdraws the set-ups that wait behind a lab hub that does not read. The caller holds its lock."""
        unwritten = []
        for link, attempts in hub.pending.items():
            for call in list(attempts):
                if link.withdraw(call):
                    unwritten.append(attempts.pop(call))
        return unwritten

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
        """Replaces silent connections and declares silent lab hubs failed.

        A machine that vanished or was cut off leaves its connections open and can send no release, but the
        callers must be notified of the end of their calls within 8 s.
        """
        with self.lock:
            hubs = list(self.hubs.values())
        for hub in hubs:
            failed, removable, unverified = False, False, []
            with hub.changed:
                expired = [
                    key
                    for key, pending_probe in hub.pending_probes.items()
                    if now > pending_probe.deadline_ms
                ]
                expired_probes = [hub.pending_probes.pop(key) for key in expired]
                silent_ms = now - hub.last_received_ms
                if hub.link is not None and (
                    silent_ms > SUSPECT_SILENCE_MS or self._is_unresponsive(hub, hub.link, now)
                ):
                    hub.last_suspected_ms = now
                    self._replace_connection(hub)
                if silent_ms > FAILED_SILENCE_MS and not hub.declared_failed:
                    failed = hub.declared_failed = True
                replaced_links = [link for link in hub.pending if link is not hub.link]
                surplus = [
                    link
                    for link in replaced_links
                    if not hub.pending[link] and link.last_received_ms > link.probed_ms > 0
                ]
                if hub.link is not None:
                    unverified = [link for link in replaced_links if not link.probed_ms]
                for link in unverified:
                    link.probed_ms, link.replaced_ms = now, hub.connected_ms
                # set-ups pending there end with the connection and are sent again
                surplus += [link for link in replaced_links if self._is_abandoned(hub, link, now)]
                if hub.removed and hub.declared_failed:
                    surplus, removable = list(hub.pending), not hub.keeper_running and not hub.pending
            for pending_probe in expired_probes:
                self.inbox.put(
                    ProbeCompleted(hub.name, False, pending_probe.deadline_ms - pending_probe.sent_ms)
                )
            for link in unverified:
                # a process that was restarted since then answers with a reset
                link.send(self._options_request(f"{0:016x}"))
            for link in surplus:
                link.close_with_reason("replaced, or its lab hub is removed and silent")
            if failed:
                log_text(f"no message from {hub.name!r} for {silent_ms / 1000:.1f} s: its calls are released")
                self.inbox.put(HubFailed(hub.name, now))
            if removable:  # bounds memory and threads where lab hubs are often replaced by new ones
                with self.lock:
                    self.hubs.pop(hub.name, None)

    def _is_unresponsive(self, hub: Hub, link: HubLink, now: float) -> bool:
        """Whether set-ups on it get no message back: its lab hub may still answer on another connection."""
        return (
            link.unresponsive_for_ms(now) > self.unresponsive_ms
            and now - hub.last_suspected_ms > REPLACE_INTERVAL_MS
        )

    @staticmethod
    def _is_abandoned(hub: Hub, link: HubLink, now: float) -> bool:
        """Whether to close a replaced connection: the new one gets answers, or too long has passed."""
        sent_ms = link.probed_ms
        newer_answers = hub.link is not None and hub.link.last_answer_ms > sent_ms
        return (
            sent_ms > 0
            and link.last_received_ms < sent_ms
            and now - sent_ms > (PROBE_REPLY_TIMEOUT_MS if newer_answers else MAX_UNRESPONSIVE_MS)
        )

    def _note_received(self, hub: Hub) -> None:
        hub.last_received_ms, hub.declared_failed = now_ms(), False

    def all_connected(self) -> bool:
        """Whether each lab hub that is not removed has a connection."""
        with self.lock:
            return all(hub.link is not None or hub.removed for hub in self.hubs.values())

    # --- connections ---

    def _keep_connected(self, hub: Hub) -> None:
        """Keeps a connection open, since load reports come on it. Ends when the lab hub is removed."""
        while True:
            with hub.changed:
                while hub.link is not None and hub.link.alive:
                    hub.changed.wait()
                if hub.removed:
                    hub.link, hub.keeper_running = None, False
                    queued = self._take_queued(hub)
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
                    if not hub.removed and not hub.queued:
                        hub.changed.wait(seconds_until(now_ms() + REDIAL_INTERVAL_MS))
                continue
            link = HubLink(
                sock,
                lambda on, m: self._on_message(hub, on, m),
                lambda on, r: self._on_connection_ended(hub, on, r),
            )
            self._on_connected(hub, link)
        if failed_before_ms:
            self.inbox.put(HubFailed(hub.name, failed_before_ms))
        for attempt in queued:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _on_connected(self, hub: Hub, link: HubLink) -> None:
        """Sends what is queued, under one lock: a cancellation finds each attempt either queued or sent."""
        with hub.changed:
            hub.link = link
            hub.pending[link] = {}
            hub.connected_ms = now_ms()
            failed_before_ms = (
                hub.suspect_reset_ms if hub.connected_ms - hub.suspect_reset_ms > MAX_RECONNECT_MS else 0.0
            )
            hub.refused_connects, hub.suspect_reset_ms = 0, 0.0
            self._note_received(hub)
            queued_releases, hub.queued_releases = hub.queued_releases, []
            for call in queued_releases:
                link.send(self._bye_request(call))
            queued = self._take_queued(hub)
            undeliverable = [attempt for attempt in queued if not self._send_set_up(hub, link, attempt)]
        try:
            link.start()
        except RuntimeError:  # the system has no thread left
            link.close()
            self._on_connection_ended(hub, link, reset=False)
            raise
        if failed_before_ms:  # so long after the reset it is a new process
            self.inbox.put(HubFailed(hub.name, failed_before_ms))
        log_event("hub_connected", hub=hub.name, link=link.number)
        for attempt in undeliverable:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _on_connection_ended(self, hub: Hub, link: HubLink, reset: bool) -> None:
        with hub.changed:
            interrupted = list(hub.pending.pop(link, {}).values())
            failed_before_ms = now_ms()
            was_replaced = hub.link is not link
            if not was_replaced:
                hub.link = None
            elif link.replaced_ms or hub.link is not None:
                # calls set up on the new connection stay established
                failed_before_ms = link.replaced_ms or hub.connected_ms
            hub.changed.notify()
            if reset and not was_replaced:
                hub.suspect_reset_ms = hub.last_reset_ms = failed_before_ms
        end_description = (
            "reset" if reset else f"closed: {link.close_reason}" if link.close_reason else "closed"
        )
        log_event("hub_connection_ended", hub=hub.name, link=link.number, how=end_description,
                  pending=len(interrupted), replaced=was_replaced)  # fmt: skip
        for attempt in interrupted:
            # CANCELLED, not UNREACHABLE: the end of a connection is no proof that the lab hub has failed (one
            # that has refuses the next connect), and UNREACHABLE would limit a healthy lab hub to one call at
            # a time and then ramp it up as if newly started
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.CANCELLED))
        if reset and was_replaced:  # it was silent, then reset: the process there now does not know it
            self.inbox.put(HubFailed(hub.name, failed_before_ms))

    def _replace_connection(self, hub: Hub) -> None:
        """Dials a new connection in place of a silent one; set-ups are queued until it is up.

        The connections of a machine that vanished or was cut off stay open and silent.
        """
        log_event("hub_connection_silent", hub=hub.name, link=hub.link.number if hub.link else 0)
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
        message = request(
            "INVITE", offer.uri, self.via, ("call-id", offer.call_id), ("cseq", "1 INVITE"),
            ("subject", offer.class_name), ("x-patience", str(remaining_ms)), ("x-facts", offer.facts),
            body=offer.description,
        )  # fmt: skip
        with hub.changed:  # registered and queued under one lock, so that a CANCEL follows it
            pending_calls = hub.pending.get(link)
            pending_send = PendingSend()
            if pending_calls is None or not link.send(message, still_wanted=pending_send.claim):
                return False
            pending_calls[offer.call_id] = attempt
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
                link.cancelled_calls[attempt.offer.call_id] = None
                if len(link.cancelled_calls) > MAX_CANCELLED_CALLS:
                    link.cancelled_calls.pop(next(iter(link.cancelled_calls)))
            unresponsive = (
                link is not None and link is not hub.link and link.last_received_ms < attempt.sent_ms
            )
            unresponsive = unresponsive and hub.link is not None and hub.link.last_answer_ms > attempt.sent_ms
            # a caller may cancel at once, which is no sign of a silent connection
            waited = now_ms() - attempt.sent_ms > self.dial_timeout_ms
            if hub.link is not None and waited and hub.link.last_received_ms < attempt.sent_ms:
                self._replace_connection(hub)
            if link is not None and written:
                call, uri = attempt.offer.call_id, attempt.offer.uri
                link.send(request("CANCEL", uri, self.via, ("call-id", call), ("cseq", "1 CANCEL")))
        return unresponsive

    def _options_request(self, key: str) -> Message:
        return request("OPTIONS", "sip:load@net", self.via, ("call-id", key), ("cseq", "1 OPTIONS"))

    def _bye_request(self, call: str) -> Message:
        return request("BYE", "sip:hub@net", self.via, ("call-id", call), ("cseq", "2 BYE"),
                       reason_header(16))  # fmt: skip

    def release(self, name: bytes, call: str) -> None:
        hub = self._find_hub(name)
        if hub is None:
            return
        with hub.changed:
            link = hub.link
            if link is None or not link.alive:
                if len(hub.queued_releases) < 2000:
                    hub.queued_releases.append(call)
                return
        link.send(self._bye_request(call))

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
            link.send(self._options_request(key))

    # --- messages from lab hubs ---

    def _on_message(self, hub: Hub, link: HubLink, message: Message | MalformedMessage) -> None:
        self._note_received(hub)
        if isinstance(message, MalformedMessage):
            # after a malformed message, further answers on this connection cannot be relied on
            raise FramingError(f"{hub.name!r} sent a malformed message: {message.problem}")
        if message.status:
            method = message.cseq[1]
            if method == "INVITE" and message.status >= 200:
                self._on_final_answer(hub, link, message)
            elif method == "OPTIONS" and message.status >= 200:
                self._on_probe_answer(hub, message)
            return
        match message.method:
            case "BYE":
                link.send(response(message, 200))
                cause = release_cause(message)
                log_event("hub_released", call=message.call_id, hub=hub.name, cause=cause, link=link.number)
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
        link.last_answer_ms = now_ms()
        with hub.changed:
            pending_calls = hub.pending.get(link, {})
            if call not in pending_calls and call not in link.cancelled_calls:
                log_event("answer_ignored", call=call, hub=hub.name, status=message.status)
                return  # a repeated answer or an unknown id: no call is affected
            if message.status < 300 and not is_whole_description(message.body):
                # its set-up stays pending and ends with the connection
                raise FramingError(f"{hub.name!r} sent an answer without a valid description")
            attempt = pending_calls.pop(call, None)
            link.cancelled_calls.pop(call, None)
            link.pending_sends.pop(call, None)
        link.send(request("ACK", attempt.offer.uri if attempt else "sip:hub@net", self.via, ("call-id", call),
                          ("cseq", f"{message.cseq[0]} ACK")))  # fmt: skip
        if attempt is None:
            if message.status < 300:
                self._release_unwanted(hub, link, call)
            return
        if message.status < 300:
            self.inbox.put(AttemptEstablished(attempt, message.body))
            return
        ending = OUTCOME_BY_STATUS.get(message.status, AttemptOutcome.ERROR)
        reason = rejection_reason(message)
        self.inbox.put(AttemptFailed(attempt, ending, reason, load_values(message, self.settings)))

    def _release_unwanted(self, hub: Hub, link: Link, call: str) -> None:
        """Releases a call whose answer crossed our CANCEL, unless it was sent to this lab hub again."""
        with hub.changed:
            sent_again = any(call in calls for calls in hub.pending.values())
        if not sent_again and not link.send(self._bye_request(call)):
            self.release(hub.name, call)

    def _on_probe_answer(self, hub: Hub, message: Message) -> None:
        with hub.changed:
            pending_probe = hub.pending_probes.pop(message.call_id, None)
        if pending_probe is not None:
            now = now_ms()
            succeeded = message.status < 300 and now <= pending_probe.deadline_ms
            self.inbox.put(
                ProbeCompleted(
                    hub.name,
                    succeeded,
                    max(now - pending_probe.sent_ms, 0.1),
                    load_values(message, self.settings),
                )
            )
