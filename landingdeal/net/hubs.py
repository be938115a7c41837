"""Client side of the platform's front: lab hubs, each with one connection that is kept open."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

from badgerstile.interface import Ending, Settings
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.broker import Inbox
from landingdeal.core.events import Attempt, Ended, GroupState, HubDied, HubReleased, Probed, Stood
from landingdeal.log import record, say
from landingdeal.net.link import HubLink, Link, dial
from landingdeal.sip.headers import cause_of, figures_of, reason_header, reason_of
from landingdeal.sip.message import BrokenFraming, Malformed, Message, request, response
from landingdeal.threads import start_lasting_thread

SUSPECT_SILENCE_MS = 2500.0  # a lab hub that has said nothing for so long is asked for a new connection
UNRESPONSIVE_SLO_SHARE = (
    0.25  # of the shortest aim: or whose connection has said nothing so long after a set-up
)
MIN_UNRESPONSIVE_MS, MAX_UNRESPONSIVE_MS = 100.0, 2500.0
REPLACE_INTERVAL_MS = 1000.0
FAILED_SILENCE_MS = (
    7000.0  # and after so long in vain its calls are over: callers must hear within 8 s of an end
)
CHECK_INTERVAL_MS = 100.0
REDIAL_INTERVAL_MS = 250.0  # after a failed connect
MAX_CANCELLED_CALLS = 256  # set-ups called off on one connection whose answer may still cross that
MAX_HUBS = 512  # lab hubs, those included that went less than 7 s ago
PROBE_REPLY_TIMEOUT_MS = (
    250.0  # for a word on a connection that was silent, where its lab hub answers on the new one
)
MAX_RECONNECT_MS = (
    700.0  # a lab hub whose connection was reset and that is back so soon has not been restarted
)
# 504: the set-up broke on its way, and may have run. Said by a lab hub that lives: it is no sign of a death
OUTCOME_BY_STATUS = {
    503: Ending.TURNED_BACK,
    480: Ending.NOT_SENT,
    504: Ending.CANCELLED,
    408: Ending.TIMED_OUT,
}


def is_whole_description(body: bytes) -> bool:
    """Lines of text, the last one whole: noise and what was cut off are not passed on as good."""
    return body.endswith(b"\r\n") and all(32 <= char < 127 or char in b"\t\r\n" for char in body)


@dataclass(frozen=True, slots=True)
class PendingProbe:
    sent_ms: float
    deadline_ms: float


class Hub:
    """One lab hub: its address, its connection, what is open on it and what waits for one."""

    def __init__(self, name: bytes, host: str, port: int) -> None:
        self.name, self.host, self.port = name, host, port
        self.link: HubLink | None = None
        self.pending: dict[HubLink, dict[str, Attempt]] = {}
        self.queued: list[Attempt] = []
        self.queued_releases: list[str] = []  # to be told once there is a connection
        self.pending_probes: dict[str, PendingProbe] = {}
        self.removed = self.keeper_running = self.draining = False  # kept: its keeper runs
        self.last_received_ms = self.connected_ms = now_ms()
        self.refused_connects, self.suspect_reset_ms = (
            0,
            0.0,
        )  # connects refused in a row; a reset that may be its death
        self.last_reset_ms = 0.0  # the last reset
        self.last_replaced_ms = 0.0
        self.declared_failed = False  # its calls have been released for its silence
        self.changed = threading.Condition()


class HubConnections:
    def __init__(self, settings: Settings, inbox: Inbox, local: str, dial_timeout_ms: float) -> None:
        self.settings, self.inbox, self.dial_timeout_ms = settings, inbox, dial_timeout_ms
        shortest_slo_ms = min(call_class.aim_ms for call_class in settings.classes)
        self.unresponsive_ms = max(shortest_slo_ms * UNRESPONSIVE_SLO_SHARE, MIN_UNRESPONSIVE_MS)
        self.via = ("via", f"SIP/2.0/TCP {local}")
        self.lock = threading.Lock()
        self.hubs: dict[bytes, Hub] = {}
        self.probe_number = 0

    def update_hub(self, name: bytes, address: str, removed: bool, draining: bool = False) -> None:
        """The list names a lab hub, or says that it is gone.

        A connection that lives outlasts the news that its lab hub is gone: the list is seconds late, and a
        machine that vanished may be back already, with calls that stand.
        """
        host, _, port = address.rpartition(":")
        with self.lock:
            hub = self.hubs.get(name)
            replaced = []
            if hub is None:
                if removed or len(self.hubs) >= MAX_HUBS:
                    return
                hub = self.hubs[name] = Hub(name, host, int(port))
                others = [h for h in self.hubs.values() if h is not hub]
                replaced = [h for h in others if (h.host, h.port) == (host, hub.port)]
        for old in replaced:
            self._address_reused(old)
        with hub.changed:
            cut = hub.last_reset_ms if removed else 0.0
            if address:
                hub.host, hub.port = host, int(port)
            hub.removed = removed
            # guards against a lab hub that is back and has no keeper, for which set-ups would wait in vain
            keep, hub.keeper_running = (
                not removed and not hub.keeper_running,
                hub.keeper_running or not removed,
            )
            hub.draining = draining or removed
            lost = self._take_queued(hub) if hub.draining else []
            hub.changed.notify()
        for attempt in lost:
            self.inbox.tell(Ended(attempt, Ending.UNREACHABLE))
        if cut:  # the reset was the end of its process after all
            self.inbox.tell(HubDied(name, cut))
        if keep:
            start_lasting_thread("keeper", lambda: self._keep_connected(hub))

    @staticmethod
    def _take_queued(hub: Hub) -> list[Attempt]:
        """Under the hub's lock: what waits for a connection that may come up any time later."""
        lost, hub.queued = hub.queued, []
        return lost

    def _address_reused(self, old: Hub) -> None:
        """Guards against taking the connections of a new lab hub at its address for its own."""
        with old.changed:
            old.removed = True
            links = list(old.pending)
            old.host, old.port = "", 0
            old.changed.notify()
        for link in links:
            link.close_with_reason("another has its address")
        self.inbox.tell(HubDied(old.name, now_ms()))

    def start(self) -> None:
        def check_repeatedly() -> None:
            while True:
                time.sleep(seconds_until(now_ms() + CHECK_INTERVAL_MS))
                self.check_hubs(now_ms())

        start_lasting_thread("watch", check_repeatedly)

    def check_hubs(self, now: float) -> None:
        """Looks for lab hubs that say nothing.

        Guards against calls that ended where no release could come from: a machine that vanished or was cut
        off leaves its connections open and silent, and callers must be told within 8 s all the same.
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
                    hub.last_replaced_ms = now
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
                # what is open there ends with it, and goes out again
                surplus += [link for link in replaced_links if self._is_abandoned(hub, link, now)]
                if hub.removed and hub.declared_failed:
                    surplus, removable = list(hub.pending), not hub.keeper_running and not hub.pending
            for pending_probe in expired_probes:
                self.inbox.tell(Probed(hub.name, False, pending_probe.deadline_ms - pending_probe.sent_ms))
            for link in unverified:
                # replaced while it was silent: a process that was restarted meanwhile answers with a reset
                link.send(self._options_request(f"{0:016x}"))
            for link in surplus:
                link.close_with_reason("replaced, or gone and silent")
            if failed:
                say(
                    f"{hub.name!r} has said nothing for {silent_ms / 1000:.1f} s: its calls are taken as over"
                )
                self.inbox.tell(HubDied(hub.name, now))
            if removable:  # guards the memory and the threads on days when each lab hub is a new one
                with self.lock:
                    self.hubs.pop(hub.name, None)

    def _is_unresponsive(self, hub: Hub, link: HubLink, now: float) -> bool:
        """Guards against a connection that falls silent while its lab hub goes on answering on others."""
        return (
            link.unresponsive_for_ms(now) > self.unresponsive_ms
            and now - hub.last_replaced_ms > REPLACE_INTERVAL_MS
        )

    @staticmethod
    def _is_abandoned(hub: Hub, link: HubLink, now: float) -> bool:
        """Nothing on it will be answered any more: others are, or too long has passed."""
        since = link.probed_ms
        others = hub.link is not None and hub.link.last_answer_ms > since
        return (
            since > 0
            and link.last_received_ms < since
            and now - since > (PROBE_REPLY_TIMEOUT_MS if others else MAX_UNRESPONSIVE_MS)
        )

    def _note_received(self, hub: Hub) -> None:
        hub.last_received_ms, hub.declared_failed = now_ms(), False

    def all_connected(self) -> bool:
        with self.lock:
            return all(hub.link is not None or hub.removed for hub in self.hubs.values())

    # --- connections ---

    def _keep_connected(self, hub: Hub) -> None:
        """Keeps a connection up: the state of its group comes on it. Ends when the lab hub is gone."""
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
                say(f"no connection to {hub.name!r}: {error}")
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
                    lost = [a for a in hub.queued if refused or now >= a.sent_ms + self.dial_timeout_ms - 1]
                    hub.queued = [a for a in hub.queued if a not in lost]
                for attempt in lost:
                    self.inbox.tell(Ended(attempt, Ending.UNREACHABLE))
                if failed_before_ms:
                    # a connection that was reset proves nothing: peers reset idle ones too, and their calls
                    # stand. Where the next is refused, or two are, nobody is there any more to hold them
                    self.inbox.tell(HubDied(hub.name, failed_before_ms))
                with hub.changed:
                    if not hub.removed and not hub.queued:
                        hub.changed.wait(seconds_until(now_ms() + REDIAL_INTERVAL_MS))
                continue
            link = HubLink(
                sock, lambda on, m: self._on_message(hub, on, m), lambda on, r: self._on_ended(hub, on, r)
            )
            self._on_connected(hub, link)
        if failed_before_ms:
            self.inbox.tell(HubDied(hub.name, failed_before_ms))
        for attempt in queued:
            self.inbox.tell(Ended(attempt, Ending.UNREACHABLE))

    def _on_connected(self, hub: Hub, link: HubLink) -> None:
        """What waited goes out under one lock: whoever calls an attempt off finds it waiting, or sent."""
        with hub.changed:
            hub.link = link
            hub.pending[link] = {}
            hub.connected_ms = now_ms()
            late = hub.suspect_reset_ms if hub.connected_ms - hub.suspect_reset_ms > MAX_RECONNECT_MS else 0.0
            hub.refused_connects, hub.suspect_reset_ms = 0, 0.0
            self._note_received(hub)
            queued_releases, hub.queued_releases = hub.queued_releases, []
            for call in queued_releases:
                link.send(self._bye_request(call))
            queued = self._take_queued(hub)
            lost = [attempt for attempt in queued if not self._send_set_up(hub, link, attempt)]
        try:
            link.start()
        except RuntimeError:  # the system has no thread left
            link.close()
            self._on_ended(hub, link, reset=False)
            raise
        if late:  # it took a while to come back: another process
            self.inbox.tell(HubDied(hub.name, late))
        say(f"connected to {hub.name!r}")
        for attempt in lost:
            self.inbox.tell(Ended(attempt, Ending.UNREACHABLE))

    def _on_ended(self, hub: Hub, link: HubLink, reset: bool) -> None:
        with hub.changed:
            cut = list(hub.pending.pop(link, {}).values())
            before = now_ms()
            doubted = hub.link is not link
            if not doubted:
                hub.link = None
            elif link.replaced_ms or hub.link is not None:
                before = link.replaced_ms or hub.connected_ms  # what was set up on the new connection stands
            hub.changed.notify()
            if reset and not doubted:
                hub.suspect_reset_ms = hub.last_reset_ms = before
        end_description = (
            "reset" if reset else f"closed: {link.close_reason}" if link.close_reason else "closed"
        )
        say(f"connection to {hub.name!r} ended ({end_description}, {len(cut)} set-ups open)")
        for attempt in cut:
            # given up with its connection, which proves nothing of its lab hub: one that is gone refuses the
            # next. Guards against trying a healthy hub one call at a time, and pacing it as if newly started
            self.inbox.tell(Ended(attempt, Ending.CANCELLED))
        if reset and doubted:  # it had been silent: whoever answers there now knows nothing of it
            self.inbox.tell(HubDied(hub.name, before))

    def _replace_connection(self, hub: Hub) -> None:
        """A silent connection may be dead: a new one is tried, and set-ups wait for that.

        Guards against a machine that vanished or was cut off: its connections stay open and say nothing.
        """
        say(f"connection to {hub.name!r} is silent; a new one is tried")
        hub.link = None
        hub.changed.notify()

    # --- what the core asks for ---

    def _find_hub(self, name: bytes) -> Hub | None:
        with self.lock:
            return self.hubs.get(name)

    def set_up(self, attempt: Attempt) -> None:
        hub = self._find_hub(attempt.hub)
        if hub is None:
            self.inbox.soon(Ended(attempt, Ending.UNREACHABLE))
            return
        with hub.changed:
            link = hub.link
            up = link is not None and link.alive
            if not up and not hub.draining:
                hub.queued.append(attempt)
                hub.changed.notify()
                return
        if link is None or not up or not self._send_set_up(hub, link, attempt):
            self.inbox.soon(Ended(attempt, Ending.UNREACHABLE))

    def _send_set_up(self, hub: Hub, link: HubLink, attempt: Attempt) -> bool:
        """False: it did not go out, and nothing else will tell of its end."""
        left = int(attempt.deadline_ms - now_ms())
        offer = attempt.offer
        if left <= 0:
            return True  # its end is told by the core's own timer
        message = request(
            "INVITE", offer.uri, self.via, ("call-id", offer.call), ("cseq", "1 INVITE"),
            ("subject", offer.class_name), ("x-patience", str(left)), ("x-facts", offer.facts),
            body=offer.description,
        )  # fmt: skip
        with hub.changed:  # noted and queued at once, so that a CANCEL comes after it
            pending_calls = hub.pending.get(link)
            if pending_calls is None or not link.send(message):
                return False
            pending_calls[offer.call] = attempt
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
                (on for on, calls in hub.pending.items() if calls.get(attempt.offer.call) is attempt), None
            )
            if link is not None:
                del hub.pending[link][attempt.offer.call]
                link.cancelled_calls[attempt.offer.call] = None
                if len(link.cancelled_calls) > MAX_CANCELLED_CALLS:
                    link.cancelled_calls.pop(next(iter(link.cancelled_calls)))
            unresponsive = (
                link is not None and link is not hub.link and link.last_received_ms < attempt.sent_ms
            )
            unresponsive = unresponsive and hub.link is not None and hub.link.last_answer_ms > attempt.sent_ms
            waited = now_ms() - attempt.sent_ms > self.dial_timeout_ms  # a caller may call off at once
            if hub.link is not None and waited and hub.link.last_received_ms < attempt.sent_ms:
                self._replace_connection(hub)
            if link is not None:
                call, uri = attempt.offer.call, attempt.offer.uri
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

    # --- what lab hubs say ---

    def _on_message(self, hub: Hub, link: HubLink, message: Message | Malformed) -> None:
        self._note_received(hub)
        if isinstance(message, Malformed):
            # guards against waiting for answers on a connection that a spoilt one has made useless
            raise BrokenFraming(f"{hub.name!r} sent what is not SIP: {message.why}")
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
                figures = figures_of(message, self.settings)
                self.inbox.tell(HubReleased(message.call_id, hub.name, cause_of(message), figures))
            case "NOTIFY":
                self.inbox.tell(GroupState(hub.name, figures_of(message, self.settings)))
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
                record("answer_ignored", call=call, hub=hub.name, status=message.status)
                return  # a second copy, or of an id that is not ours: what stands is not touched by it
            if message.status < 300 and not is_whole_description(message.body):
                # its set-up stays open here, and ends with the connection
                raise BrokenFraming(f"{hub.name!r} sent what is no description")
            attempt = pending_calls.pop(call, None)
            link.cancelled_calls.pop(call, None)
        link.send(request("ACK", attempt.offer.uri if attempt else "sip:hub@net", self.via, ("call-id", call),
                          ("cseq", f"{message.cseq[0]} ACK")))  # fmt: skip
        if attempt is None:
            if message.status < 300:
                self._release_unwanted(hub, link, call)
            return
        if message.status < 300:
            self.inbox.tell(Stood(attempt, message.body))
            return
        ending = OUTCOME_BY_STATUS.get(message.status, Ending.ERROR)
        reason = reason_of(message)
        self.inbox.tell(Ended(attempt, ending, reason, figures_of(message, self.settings)))

    def _release_unwanted(self, hub: Hub, link: Link, call: str) -> None:
        """An answer that crossed our CANCEL: what stands for nobody is released, unless sent there again."""
        with hub.changed:
            again = any(call in calls for calls in hub.pending.values())
        if not again and not link.send(self._bye_request(call)):
            self.release(hub.name, call)

    def _on_probe_answer(self, hub: Hub, message: Message) -> None:
        with hub.changed:
            pending_probe = hub.pending_probes.pop(message.call_id, None)
        if pending_probe is not None:
            now = now_ms()
            well = message.status < 300 and now <= pending_probe.deadline_ms
            self.inbox.tell(
                Probed(
                    hub.name, well, max(now - pending_probe.sent_ms, 0.1), figures_of(message, self.settings)
                )
            )
