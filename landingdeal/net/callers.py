"""Server side of the platform's front: connections from callers and calls in transit."""

from __future__ import annotations

import socket
import threading
from collections import OrderedDict, deque

from badgerstile.interface import Settings
from landingdeal.clock import now_ms
from landingdeal.core import steps
from landingdeal.core.broker import Inbox
from landingdeal.core.events import CallerReleased, CallerStreamBroken, RefusalReason, SetUpCancelled
from landingdeal.core.lifecycle import IdleConnection, Lifecycle, connections_to_close, may_close
from landingdeal.log import log_event
from landingdeal.net.link import CallerLink, Door
from landingdeal.net.set_up import offer_of
from landingdeal.net.transaction import CallerTransaction
from landingdeal.sip.headers import ALLOW, reason_header
from landingdeal.sip.message import TOO_LARGE, Malformed, Message, request, response

LINKS_PART = 0.4  # of the descriptors: callers hold a third at most; above this the idlest is closed
BURST_PART = 0.6  # and above this, while those are being closed, whoever comes
SWEEP_MS = 500.0
SETTLED_MOST = 1024  # answered set-ups that are still known by their connection and id
UNHEARD_MOST = 2000  # releases that no caller was there to hear
UNHEARD_MS = 15000.0  # so long such a release is kept
SETTLE_MS = 1000.0  # a release whose connection closes so soon after it is sent again on another


class Callers:
    def __init__(
        self,
        settings: Settings,
        inbox: Inbox,
        host: str,
        port: int,
        sockets: int,
        life: Lifecycle | None = None,
    ) -> None:
        self.inbox, self.life = inbox, life or Lifecycle()
        self.via = f"SIP/2.0/TCP {host}:{port}"
        self.later_ms = settings.max_retry_after_ms or 1000.0
        self.patience_most = 2 * max(kind.deadline_ms for kind in settings.classes)
        self.links_most, self.links_limit = int(sockets * LINKS_PART), int(sockets * BURST_PART)
        self.swept_ms = now_ms()
        self.lock = threading.Lock()
        self.links: dict[CallerLink, dict[str, CallerTransaction]] = {}  # and the set-ups open on each
        # the last ones that have their answer: until it is written its caller may still give up
        self.settled: OrderedDict[tuple[CallerLink, str], CallerTransaction] = OrderedDict()
        self.unheard: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.told: deque[tuple[float, str, int, CallerLink]] = deque(maxlen=UNHEARD_MOST)
        self.ready = threading.Event()
        self.life.open_listeners += 1
        self.door = Door(host, port, self._accepted, lambda: self.life.accepts_connections, self._shut)
        self.life.phase_listeners.append(self.door.wake)

    def _shut(self) -> None:
        self.life.open_listeners -= 1

    def flush(self) -> int:
        """After the core has ended: refuses what is still owed, closes what may go; how many may not yet."""
        with self.lock:
            left = list(self.links.items())
        for link, open_here in left:
            for caller in list(open_here.values()):
                caller.refuse(self.later_ms, RefusalReason.UNAVAILABLE)
            self._close_if_idle(link)
        return sum(link.alive for link, _ in left)

    def _close_if_idle(self, link: CallerLink) -> bool:
        """Guards whoever has asked meanwhile. Under the lock: no set-up can be opened on it in between."""
        steps.reached(steps.CLOSING)
        with self.lock:
            open_here = self.links.get(link)
            if open_here is None or not may_close(link.held(len(open_here))):
                return False
            link.end("not needed")
        return True

    def _accepted(self, sock: socket.socket) -> None:
        with self.lock:
            if len(self.links) >= self.links_limit:
                log_event("caller_turned_away", connections=len(self.links))
                sock.close()
                return
            link = CallerLink(sock, self._message, self._ended, self._unreadable, self._owed)
            self.links[link] = {}
        try:
            link.start()
        except RuntimeError:  # the system has no thread left
            with self.lock:
                del self.links[link]
            raise
        self._sweep()

    def _owed(self, link: CallerLink) -> int:
        with self.lock:
            return len(self.links.get(link, ()))

    def _trusted(self, link: CallerLink) -> None:
        """What it sends is whole: releases that nobody was there to hear go out here."""
        with self.lock:
            link.trust = max(link.trust, 1)
            unheard, self.unheard = self.unheard, OrderedDict()
        for call, (at, cause) in unheard.items():
            if now_ms() - at < UNHEARD_MS:
                self.release(call, cause, link)

    def _sweep(self) -> None:
        """Guards descriptors and usual callers against those who ask once, or never, and hold on."""
        now = now_ms()
        with self.lock:
            crowded = sum(link.alive for link in self.links) - self.links_most
            if crowded <= 0 and now < self.swept_ms + SWEEP_MS:
                return
            self.swept_ms = now
            idle = [link for link, open_here in self.links.items() if link.alive and not open_here]
        most = crowded
        told = (
            IdleConnection(n, link.heard_ms, link.began_ms, link.trust > 0) for n, link in enumerate(idle)
        )
        for number in connections_to_close(told, crowded, now):
            closed = self._close_if_idle(idle[number])
            most -= closed
            if closed and crowded > 0 and most <= 0:
                break

    def _unreadable(self, link: CallerLink) -> None:
        with self.lock:
            open_here = list(self.links.get(link, {}).items())
        for call, caller in open_here:
            self.inbox.put(CallerStreamBroken(call, caller))

    def _ended(self, link: CallerLink, reset: bool) -> None:
        with self.lock:
            open_here = self.links.pop(link, {})
            for key in [key for key in self.settled if key[0] is link]:
                del self.settled[key]
            again = [(c, k) for at, c, k, to in self.told if to is link and now_ms() - at < SETTLE_MS]
            self._settled()
        log_event("caller_closed", link=link.number, why=link.why or ("reset" if reset else "by the caller"),
               open=len(open_here), unsent=link.unsent())  # fmt: skip
        for call, caller in open_here.items():
            self.inbox.put(SetUpCancelled(call, caller))
        for call, cause in again:  # guards against a release written into a connection just being closed
            self.release(call, cause, link)

    def _settled(self) -> None:
        """Guards the memory: each entry holds a connection that may have ended long ago."""
        while self.told and now_ms() - self.told[0][0] >= SETTLE_MS:
            self.told.popleft()

    def _message(self, link: CallerLink, message: Message | Malformed) -> None:
        if isinstance(message, Malformed):
            spoilt = message.message
            if spoilt.status or spoilt.method == "ACK":
                return
            if not (spoilt.call_id and self._repeated(link, spoilt.call_id)):
                link.send(response(spoilt, 413 if message.why == TOO_LARGE else 400))
            return
        if message.status:
            return  # a release that was heard
        match message.method:
            case "INVITE":
                self._invite(link, message)
            case "CANCEL":
                self._cancel(link, message)
            case "BYE":
                link.send(response(message, 200))
                self.inbox.put(CallerReleased(message.call_id))
            case "OPTIONS":
                self._trusted(link)
                well = self.ready.is_set() and self.life.healthy
                link.send(response(message, 200 if well else 503))
            case "ACK":
                pass
            case _:
                link.send(response(message, 405, ALLOW))

    def _cancel(self, link: CallerLink, message: Message) -> None:
        with self.lock:
            transaction = self.links.get(link, {}).pop(message.call_id, None)
            transaction = transaction or self.settled.get((link, message.call_id))
        if transaction is None:
            transaction = CallerTransaction(self, link, message)
        transaction.give_up()
        self.inbox.put(SetUpCancelled(message.call_id, transaction))

    def _repeated(self, link: CallerLink, call: str) -> bool:
        """Whether a set-up under this id has come on this connection: its one answer serves both."""
        with self.lock:
            known = call in self.links.get(link, {}) or (link, call) in self.settled
        if known:
            log_event("repeated", call=call, link=link.number)
        return known

    def _invite(self, link: CallerLink, message: Message) -> None:
        came = now_ms()
        if self._repeated(link, message.call_id):
            return
        caller = CallerTransaction(self, link, message)
        try:
            offer = offer_of(message, caller, came, self.patience_most)
        except (ValueError, KeyError):
            link.send(response(message, 400))
            return
        if self.unheard or not link.trust:
            self._trusted(link)
        with self.lock:
            open_here = self.links.get(link, {})
            open_here[message.call_id] = caller
        steps.reached(steps.REGISTERED)
        if not self.inbox.offer(offer):  # guards against a caller left unanswered by a full inbox
            log_event("refused", call=offer.call_id, by="front", closed=self.inbox.closed)
            caller.refuse(self.later_ms, RefusalReason.UNAVAILABLE)

    def closed_set_up(self, caller: CallerTransaction) -> None:
        with self.lock:
            open_here, call = self.links.get(caller.link, {}), caller.invite.call_id
            if open_here.get(call) is caller:
                del open_here[call]
                self.settled[caller.link, call] = caller
                while len(self.settled) > SETTLED_MOST:
                    self.settled.popitem(last=False)

    def release(self, call: str, cause: int, first: CallerLink | None = None) -> None:
        """Goes out on any connection from callers: its own, else one that calls stood on, else the next."""
        with self.lock:
            if first is None or first not in self.links or not first.alive:
                # guards against telling it to whoever just connected, or asked for nothing that can stand
                heard = (link for link in self.links if link.alive and link.trust)
                # one with a set-up open is not about to be closed by its caller
                best = max(heard, key=lambda on: (on.trust, bool(self.links[on]), on.heard_ms), default=None)
                first = best
            if first is None:
                self.unheard[call] = (now_ms(), cause)
                while len(self.unheard) > UNHEARD_MOST:
                    self.unheard.popitem(last=False)
                return
            log_event("release", call=call, cause=cause, link=first.number)
            self.told.append((now_ms(), call, cause, first))
            self._settled()
        bye = request("BYE", "sip:caller@net", ("via", self.via), ("call-id", call), ("cseq", "2 BYE"),
                      reason_header(cause))  # fmt: skip
        first.send(bye)
