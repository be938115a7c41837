"""Client side of the platform's front: lab hubs, each with one connection that is kept open."""

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
from landingdeal.sip.headers import cause_of, figures_of, reason_header, reason_of
from landingdeal.sip.message import BrokenFraming, Malformed, Message, request, response
from landingdeal.threads import start_supervised_thread

QUIET_MS = 2500.0  # a lab hub that has said nothing for so long is asked for a new connection
MUTE_PART = 0.25  # of the shortest aim: or whose connection has said nothing so long after a set-up
MUTE_LEAST_MS, MUTE_MOST_MS = 100.0, 2500.0
DOUBT_EVERY_MS = 1000.0
SILENT_MS = 7000.0  # and after so long in vain its calls are over: callers must hear within 8 s of an end
WATCH_MS = 100.0
REDIAL_MS = 250.0  # after a failed connect
GIVEN_UP_MOST = 256  # set-ups called off on one connection whose answer may still cross that
HUBS_MOST = 512  # lab hubs, those included that went less than 7 s ago
ASKED_MS = 250.0  # for a word on a connection that was silent, where its lab hub answers on the new one
AT_ONCE_MS = 700.0  # a lab hub whose connection was reset and that is back so soon has not been restarted
# 504: the set-up broke on its way, and may have run. Said by a lab hub that lives: it is no sign of a death
ENDINGS = {
    503: AttemptOutcome.TURNED_BACK,
    480: AttemptOutcome.NOT_SENT,
    504: AttemptOutcome.CANCELLED,
    408: AttemptOutcome.TIMED_OUT,
}


def is_description(body: bytes) -> bool:
    """Lines of text, the last one whole: noise and what was cut off are not passed on as good."""
    return body.endswith(b"\r\n") and all(32 <= char < 127 or char in b"\t\r\n" for char in body)


@dataclass(frozen=True, slots=True)
class Probing:
    sent_ms: float
    deadline_ms: float


class Hub:
    """One lab hub: its address, its connection, what is open on it and what waits for one."""

    def __init__(self, name: bytes, host: str, port: int) -> None:
        self.name, self.host, self.port = name, host, port
        self.link: HubLink | None = None
        self.open: dict[HubLink, dict[str, Attempt]] = {}
        self.waiting: list[Attempt] = []
        self.releases: list[str] = []  # to be told once there is a connection
        self.probes: dict[str, Probing] = {}
        self.gone = self.kept = self.draining = False  # kept: its keeper runs
        self.heard_ms = self.connected_ms = now_ms()
        self.refused, self.reset_ms = 0, 0.0  # connects refused in a row; a reset that may be its death
        self.cut_ms = 0.0  # the last reset
        self.doubted_ms = 0.0
        self.written_off = False  # its calls have been released for its silence
        self.wake = threading.Condition()


class Hubs:
    def __init__(self, settings: Settings, inbox: Inbox, local: str, dial_ms: float) -> None:
        self.set, self.inbox, self.dial_ms = settings, inbox, dial_ms
        aim = min(kind.slo_ms for kind in settings.classes)
        self.mute_ms = max(aim * MUTE_PART, MUTE_LEAST_MS)
        self.via = ("via", f"SIP/2.0/TCP {local}")
        self.lock = threading.Lock()
        self.hubs: dict[bytes, Hub] = {}
        self.probe_number = 0

    def known(self, name: bytes, address: str, gone: bool, draining: bool = False) -> None:
        """The list names a lab hub, or says that it is gone.

        A connection that lives outlasts the news that its lab hub is gone: the list is seconds late, and a
        machine that vanished may be back already, with calls that stand.
        """
        host, _, port = address.rpartition(":")
        with self.lock:
            hub = self.hubs.get(name)
            replaced = []
            if hub is None:
                if gone or len(self.hubs) >= HUBS_MOST:
                    return
                hub = self.hubs[name] = Hub(name, host, int(port))
                others = [h for h in self.hubs.values() if h is not hub]
                replaced = [h for h in others if (h.host, h.port) == (host, hub.port)]
        for old in replaced:
            self._replaced(old)
        with hub.wake:
            cut = hub.cut_ms if gone else 0.0
            if address:
                hub.host, hub.port = host, int(port)
            hub.gone = gone
            # guards against a lab hub that is back and has no keeper, for which set-ups would wait in vain
            keep, hub.kept = not gone and not hub.kept, hub.kept or not gone
            hub.draining = draining or gone
            lost = self._no_longer_waiting(hub) if hub.draining else []
            hub.wake.notify()
        for attempt in lost:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
        if cut:  # the reset was the end of its process after all
            self.inbox.put(HubFailed(name, cut))
        if keep:
            start_supervised_thread("keeper", lambda: self._keep(hub))

    @staticmethod
    def _no_longer_waiting(hub: Hub) -> list[Attempt]:
        """Under the hub's lock: what waits for a connection that may come up any time later."""
        lost, hub.waiting = hub.waiting, []
        return lost

    def _replaced(self, old: Hub) -> None:
        """Guards against taking the connections of a new lab hub at its address for its own."""
        with old.wake:
            old.gone = True
            links = list(old.open)
            old.host, old.port = "", 0
            old.wake.notify()
        for link in links:
            link.end("another has its address")
        self.inbox.put(HubFailed(old.name, now_ms()))

    def start(self) -> None:
        def watch() -> None:
            while True:
                time.sleep(seconds_until(now_ms() + WATCH_MS))
                self.watch(now_ms())

        start_supervised_thread("watch", watch)

    def watch(self, now: float) -> None:
        """Looks for lab hubs that say nothing.

        Guards against calls that ended where no release could come from: a machine that vanished or was cut
        off leaves its connections open and silent, and callers must be told within 8 s all the same.
        """
        with self.lock:
            hubs = list(self.hubs.values())
        for hub in hubs:
            died, over, unsure = False, False, []
            with hub.wake:
                late = [key for key, probing in hub.probes.items() if now > probing.deadline_ms]
                lost = [hub.probes.pop(key) for key in late]
                silent = now - hub.heard_ms
                if hub.link is not None and (silent > QUIET_MS or self._mute(hub, hub.link, now)):
                    hub.doubted_ms = now
                    self._doubt(hub)
                if silent > SILENT_MS and not hub.written_off:
                    died = hub.written_off = True
                old = [link for link in hub.open if link is not hub.link]
                spare = [link for link in old if not hub.open[link] and link.heard_ms > link.asked_ms > 0]
                if hub.link is not None:
                    unsure = [link for link in old if not link.asked_ms]
                for link in unsure:
                    link.asked_ms, link.replaced_ms = now, hub.connected_ms
                # what is open there ends with it, and goes out again
                spare += [link for link in old if self._forsaken(hub, link, now)]
                if hub.gone and hub.written_off:
                    spare, over = list(hub.open), not hub.kept and not hub.open
            for probing in lost:
                self.inbox.put(ProbeCompleted(hub.name, False, probing.deadline_ms - probing.sent_ms))
            for link in unsure:
                # replaced while it was silent: a process that was restarted meanwhile answers with a reset
                link.send(self._test(f"{0:016x}"))
            for link in spare:
                link.end("replaced, or gone and silent")
            if died:
                log_text(
                    f"{hub.name!r} has said nothing for {silent / 1000:.1f} s: its calls are taken as over"
                )
                self.inbox.put(HubFailed(hub.name, now))
            if over:  # guards the memory and the threads on days when each lab hub is a new one
                with self.lock:
                    self.hubs.pop(hub.name, None)

    def _mute(self, hub: Hub, link: HubLink, now: float) -> bool:
        """Guards against a connection that falls silent while its lab hub goes on answering on others."""
        return link.mute_for(now) > self.mute_ms and now - hub.doubted_ms > DOUBT_EVERY_MS

    @staticmethod
    def _forsaken(hub: Hub, link: HubLink, now: float) -> bool:
        """Nothing on it will be answered any more: others are, or too long has passed."""
        since = link.asked_ms
        others = hub.link is not None and hub.link.final_ms > since
        return since > 0 and link.heard_ms < since and now - since > (ASKED_MS if others else MUTE_MOST_MS)

    def _heard(self, hub: Hub) -> None:
        hub.heard_ms, hub.written_off = now_ms(), False

    def connected(self) -> bool:
        with self.lock:
            return all(hub.link is not None or hub.gone for hub in self.hubs.values())

    # --- connections ---

    def _keep(self, hub: Hub) -> None:
        """Keeps a connection up: the state of its group comes on it. Ends when the lab hub is gone."""
        while True:
            with hub.wake:
                while hub.link is not None and hub.link.alive:
                    hub.wake.wait()
                if hub.gone:
                    hub.link, hub.kept = None, False
                    waiting = self._no_longer_waiting(hub)
                    died, hub.reset_ms = hub.reset_ms, 0.0
                    break
            until = now_ms() + self.dial_ms
            try:
                sock = dial(hub.host, hub.port, until)
            except OSError as error:
                refused = not isinstance(error, TimeoutError)
                log_text(f"no connection to {hub.name!r}: {error}")
                with hub.wake:
                    now = now_ms()
                    hub.refused = hub.refused + 1 if refused else 0
                    died = hub.reset_ms if hub.refused == 1 else now if hub.refused == 2 else 0.0
                    hub.reset_ms = 0.0 if refused else hub.reset_ms
                    lost = [a for a in hub.waiting if refused or now >= a.sent_ms + self.dial_ms - 1]
                    hub.waiting = [a for a in hub.waiting if a not in lost]
                for attempt in lost:
                    self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
                if died:
                    # a connection that was reset proves nothing: peers reset idle ones too, and their calls
                    # stand. Where the next is refused, or two are, nobody is there any more to hold them
                    self.inbox.put(HubFailed(hub.name, died))
                with hub.wake:
                    if not hub.gone and not hub.waiting:
                        hub.wake.wait(seconds_until(now_ms() + REDIAL_MS))
                continue
            link = HubLink(
                sock, lambda on, m: self._message(hub, on, m), lambda on, r: self._ended(hub, on, r)
            )
            self._connected(hub, link)
        if died:
            self.inbox.put(HubFailed(hub.name, died))
        for attempt in waiting:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _connected(self, hub: Hub, link: HubLink) -> None:
        """What waited goes out under one lock: whoever calls an attempt off finds it waiting, or sent."""
        with hub.wake:
            hub.link = link
            hub.open[link] = {}
            hub.connected_ms = now_ms()
            late = hub.reset_ms if hub.connected_ms - hub.reset_ms > AT_ONCE_MS else 0.0
            hub.refused, hub.reset_ms = 0, 0.0
            self._heard(hub)
            releases, hub.releases = hub.releases, []
            for call in releases:
                link.send(self._bye(call))
            waiting = self._no_longer_waiting(hub)
            lost = [attempt for attempt in waiting if not self._send(hub, link, attempt)]
        try:
            link.start()
        except RuntimeError:  # the system has no thread left
            link.close()
            self._ended(hub, link, reset=False)
            raise
        if late:  # it took a while to come back: another process
            self.inbox.put(HubFailed(hub.name, late))
        log_text(f"connected to {hub.name!r}")
        for attempt in lost:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _ended(self, hub: Hub, link: HubLink, reset: bool) -> None:
        with hub.wake:
            cut = list(hub.open.pop(link, {}).values())
            before = now_ms()
            doubted = hub.link is not link
            if not doubted:
                hub.link = None
            elif link.replaced_ms or hub.link is not None:
                before = link.replaced_ms or hub.connected_ms  # what was set up on the new connection stands
            hub.wake.notify()
            if reset and not doubted:
                hub.reset_ms = hub.cut_ms = before
        how = "reset" if reset else f"closed: {link.why}" if link.why else "closed"
        log_text(f"connection to {hub.name!r} ended ({how}, {len(cut)} set-ups open)")
        for attempt in cut:
            # given up with its connection, which proves nothing of its lab hub: one that is gone refuses the
            # next. Guards against trying a healthy hub one call at a time, and pacing it as if newly started
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.CANCELLED))
        if reset and doubted:  # it had been silent: whoever answers there now knows nothing of it
            self.inbox.put(HubFailed(hub.name, before))

    def _doubt(self, hub: Hub) -> None:
        """A silent connection may be dead: a new one is tried, and set-ups wait for that.

        Guards against a machine that vanished or was cut off: its connections stay open and say nothing.
        """
        log_text(f"connection to {hub.name!r} is silent; a new one is tried")
        hub.link = None
        hub.wake.notify()

    # --- what the core asks for ---

    def _hub(self, name: bytes) -> Hub | None:
        with self.lock:
            return self.hubs.get(name)

    def set_up(self, attempt: Attempt) -> None:
        hub = self._hub(attempt.hub)
        if hub is None:
            self.inbox.put_from_core(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
            return
        with hub.wake:
            link = hub.link
            up = link is not None and link.alive
            if not up and not hub.draining:
                hub.waiting.append(attempt)
                hub.wake.notify()
                return
        if link is None or not up or not self._send(hub, link, attempt):
            self.inbox.put_from_core(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _send(self, hub: Hub, link: HubLink, attempt: Attempt) -> bool:
        """False: it did not go out, and nothing else will tell of its end."""
        left = int(attempt.deadline_ms - now_ms())
        offer = attempt.offer
        if left <= 0:
            return True  # its end is told by the core's own timer
        message = request(
            "INVITE", offer.uri, self.via, ("call-id", offer.call_id), ("cseq", "1 INVITE"),
            ("subject", offer.class_name), ("x-patience", str(left)), ("x-facts", offer.facts),
            body=offer.description,
        )  # fmt: skip
        with hub.wake:  # noted and queued at once, so that a CANCEL comes after it
            here = hub.open.get(link)
            if here is None or not link.send(message):
                return False
            here[offer.call_id] = attempt
            if link.unanswered_ms <= link.heard_ms:
                link.unanswered_ms = now_ms()
        return True

    def cancel(self, attempt: Attempt) -> bool:
        hub = self._hub(attempt.hub)
        if hub is None:
            return False
        with hub.wake:
            if attempt in hub.waiting:
                hub.waiting.remove(attempt)
                return False
            link = next(
                (on for on, calls in hub.open.items() if calls.get(attempt.offer.call_id) is attempt), None
            )
            if link is not None:
                del hub.open[link][attempt.offer.call_id]
                link.given_up[attempt.offer.call_id] = None
                if len(link.given_up) > GIVEN_UP_MOST:
                    link.given_up.pop(next(iter(link.given_up)))
            mute = link is not None and link is not hub.link and link.heard_ms < attempt.sent_ms
            mute = mute and hub.link is not None and hub.link.final_ms > attempt.sent_ms
            waited = now_ms() - attempt.sent_ms > self.dial_ms  # a caller may call off at once
            if hub.link is not None and waited and hub.link.heard_ms < attempt.sent_ms:
                self._doubt(hub)
            if link is not None:
                call, uri = attempt.offer.call_id, attempt.offer.uri
                link.send(request("CANCEL", uri, self.via, ("call-id", call), ("cseq", "1 CANCEL")))
        return mute

    def _test(self, key: str) -> Message:
        return request("OPTIONS", "sip:load@net", self.via, ("call-id", key), ("cseq", "1 OPTIONS"))

    def _bye(self, call: str) -> Message:
        return request("BYE", "sip:hub@net", self.via, ("call-id", call), ("cseq", "2 BYE"),
                       reason_header(16))  # fmt: skip

    def release(self, name: bytes, call: str) -> None:
        hub = self._hub(name)
        if hub is None:
            return
        with hub.wake:
            link = hub.link
            if link is None or not link.alive:
                if len(hub.releases) < 2000:
                    hub.releases.append(call)
                return
        link.send(self._bye(call))

    def probe(self, name: bytes, deadline_ms: float) -> None:
        hub = self._hub(name)
        if hub is None:
            return
        with hub.wake:
            now = now_ms()
            self.probe_number += 1
            key = f"{self.probe_number:016x}"
            hub.probes[key] = Probing(now, deadline_ms)
            link = hub.link
        if link is not None:
            link.send(self._test(key))

    # --- what lab hubs say ---

    def _message(self, hub: Hub, link: HubLink, message: Message | Malformed) -> None:
        self._heard(hub)
        if isinstance(message, Malformed):
            # guards against waiting for answers on a connection that a spoilt one has made useless
            raise BrokenFraming(f"{hub.name!r} sent what is not SIP: {message.why}")
        if message.status:
            method = message.cseq[1]
            if method == "INVITE" and message.status >= 200:
                self._final(hub, link, message)
            elif method == "OPTIONS" and message.status >= 200:
                self._probed(hub, message)
            return
        match message.method:
            case "BYE":
                link.send(response(message, 200))
                figures = figures_of(message, self.set)
                self.inbox.put(HubReleased(message.call_id, hub.name, cause_of(message), figures))
            case "NOTIFY":
                self.inbox.put(LoadReported(hub.name, figures_of(message, self.set)))
            case "OPTIONS":
                link.send(response(message, 200))
            case _:
                pass

    def _final(self, hub: Hub, link: HubLink, message: Message) -> None:
        call = message.call_id
        link.final_ms = now_ms()
        with hub.wake:
            here = hub.open.get(link, {})
            if call not in here and call not in link.given_up:
                log_event("answer_ignored", call=call, hub=hub.name, status=message.status)
                return  # a second copy, or of an id that is not ours: what stands is not touched by it
            if message.status < 300 and not is_description(message.body):
                # its set-up stays open here, and ends with the connection
                raise BrokenFraming(f"{hub.name!r} sent what is no description")
            attempt = here.pop(call, None)
            link.given_up.pop(call, None)
        link.send(request("ACK", attempt.offer.uri if attempt else "sip:hub@net", self.via, ("call-id", call),
                          ("cseq", f"{message.cseq[0]} ACK")))  # fmt: skip
        if attempt is None:
            if message.status < 300:
                self._unwanted(hub, link, call)
            return
        if message.status < 300:
            self.inbox.put(AttemptEstablished(attempt, message.body))
            return
        ending = ENDINGS.get(message.status, AttemptOutcome.ERROR)
        reason = reason_of(message)
        self.inbox.put(AttemptFailed(attempt, ending, reason, figures_of(message, self.set)))

    def _unwanted(self, hub: Hub, link: Link, call: str) -> None:
        """An answer that crossed our CANCEL: what stands for nobody is released, unless sent there again."""
        with hub.wake:
            again = any(call in calls for calls in hub.open.values())
        if not again and not link.send(self._bye(call)):
            self.release(hub.name, call)

    def _probed(self, hub: Hub, message: Message) -> None:
        with hub.wake:
            probing = hub.probes.pop(message.call_id, None)
        if probing is not None:
            now = now_ms()
            well = message.status < 300 and now <= probing.deadline_ms
            self.inbox.put(
                ProbeCompleted(hub.name, well, max(now - probing.sent_ms, 0.1), figures_of(message, self.set))
            )
