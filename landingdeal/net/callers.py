"""Server side of the platform's front: connections from callers and calls in transit."""

from __future__ import annotations

import socket
import threading
from collections import OrderedDict, deque

from badgerstile.interface import Settings
from landingdeal.clock import now_ms
from landingdeal.core import steps
from landingdeal.core.broker import Inbox
from landingdeal.core.events import CallerReleased, Unreadable, Why, Withdrawn
from landingdeal.core.lifecycle import Idler, Lifecycle, may_go, spare
from landingdeal.log import record
from landingdeal.net.link import Acceptor, CallerLink
from landingdeal.net.set_up import parse_offer
from landingdeal.net.transaction import CallerTransaction
from landingdeal.sip.headers import ALLOW, reason_header
from landingdeal.sip.message import TOO_LARGE, Malformed, Message, request, response

IDLE_CLOSE_SHARE = 0.4  # of the descriptors: callers hold a third at most; above this the idlest is closed
ACCEPT_SHARE = 0.6  # and above this, while those are being closed, whoever comes
SWEEP_INTERVAL_MS = 500.0
MAX_ANSWERED = 1024  # answered set-ups that are still known by their connection and id
MAX_STORED_RELEASES = 2000  # releases that no caller was there to hear
UNDELIVERED_LIFETIME_MS = 15000.0  # so long such a release is kept
RESEND_WINDOW_MS = 1000.0  # a release whose connection closes so soon after it is sent again on another


class CallerConnections:
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
        self.retry_after_ms = settings.max_retry_advice_ms or 1000.0
        self.max_patience_ms = 2 * max(call_class.deadline_ms for call_class in settings.classes)
        self.max_links, self.accept_limit = int(sockets * IDLE_CLOSE_SHARE), int(sockets * ACCEPT_SHARE)
        self.last_sweep_ms = now_ms()
        self.lock = threading.Lock()
        self.links: dict[CallerLink, dict[str, CallerTransaction]] = {}  # and the set-ups open on each
        # the last ones that have their answer: until it is written its caller may still give up
        self.answered: OrderedDict[tuple[CallerLink, str], CallerTransaction] = OrderedDict()
        self.undelivered_releases: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.sent_releases: deque[tuple[float, str, int, CallerLink]] = deque(maxlen=MAX_STORED_RELEASES)
        self.ready = threading.Event()
        self.life.doors += 1
        self.acceptor = Acceptor(
            host, port, self._on_accepted, lambda: self.life.accepts, self._acceptor_closed
        )
        self.life.watchers.append(self.acceptor.wake)

    def _acceptor_closed(self) -> None:
        self.life.doors -= 1

    def flush(self) -> int:
        """After the core has ended: refuses what is still owed, closes what may go; how many may not yet."""
        with self.lock:
            left = list(self.links.items())
        for link, pending in left:
            for caller in list(pending.values()):
                caller.refuse(self.retry_after_ms, Why.TURNED_AWAY)
            self._close_if_idle(link)
        return sum(link.alive for link, _ in left)

    def _close_if_idle(self, link: CallerLink) -> bool:
        """Guards whoever has asked meanwhile. Under the lock: no set-up can be opened on it in between."""
        steps.at(steps.CLOSING)
        with self.lock:
            pending = self.links.get(link)
            if pending is None or not may_go(link.pending_work(len(pending))):
                return False
            link.close_with_reason("not needed")
        return True

    def _on_accepted(self, sock: socket.socket) -> None:
        with self.lock:
            if len(self.links) >= self.accept_limit:
                record("caller_turned_away", connections=len(self.links))
                sock.close()
                return
            link = CallerLink(
                sock, self._on_message, self._on_ended, self._on_unreadable, self._unanswered_count
            )
            self.links[link] = {}
        try:
            link.start()
        except RuntimeError:  # the system has no thread left
            with self.lock:
                del self.links[link]
            raise
        self._close_surplus()

    def _unanswered_count(self, link: CallerLink) -> int:
        with self.lock:
            return len(self.links.get(link, ()))

    def _mark_trusted(self, link: CallerLink) -> None:
        """What it sends is whole: releases that nobody was there to hear go out here."""
        with self.lock:
            link.trust_level = max(link.trust_level, 1)
            undelivered_releases, self.undelivered_releases = self.undelivered_releases, OrderedDict()
        for call, (stored_ms, cause) in undelivered_releases.items():
            if now_ms() - stored_ms < UNDELIVERED_LIFETIME_MS:
                self.release(call, cause, link)

    def _close_surplus(self) -> None:
        """Guards descriptors and usual callers against those who ask once, or never, and hold on."""
        now = now_ms()
        with self.lock:
            crowded = sum(link.alive for link in self.links) - self.max_links
            if crowded <= 0 and now < self.last_sweep_ms + SWEEP_INTERVAL_MS:
                return
            self.last_sweep_ms = now
            idle = [link for link, pending in self.links.items() if link.alive and not pending]
        still_needed = crowded
        candidates = (
            Idler(n, link.last_received_ms, link.opened_ms, link.trust_level > 0)
            for n, link in enumerate(idle)
        )
        for number in spare(candidates, crowded, now):
            closed = self._close_if_idle(idle[number])
            still_needed -= closed
            if closed and crowded > 0 and still_needed <= 0:
                break

    def _on_unreadable(self, link: CallerLink) -> None:
        with self.lock:
            pending = list(self.links.get(link, {}).items())
        for call, caller in pending:
            self.inbox.tell(Unreadable(call, caller))

    def _on_ended(self, link: CallerLink, reset: bool) -> None:
        with self.lock:
            pending = self.links.pop(link, {})
            for key in [key for key in self.answered if key[0] is link]:
                del self.answered[key]
            again = [
                (c, k)
                for sent_ms, c, k, to in self.sent_releases
                if to is link and now_ms() - sent_ms < RESEND_WINDOW_MS
            ]
            self._drop_old_releases()
        record("caller_closed", link=link.number,
               why=link.close_reason or ("reset" if reset else "by the caller"),
               open=len(pending), unsent=link.unsent())  # fmt: skip
        for call, caller in pending.items():
            self.inbox.tell(Withdrawn(call, caller))
        for call, cause in again:  # guards against a release written into a connection just being closed
            self.release(call, cause, link)

    def _drop_old_releases(self) -> None:
        """Guards the memory: each entry holds a connection that may have ended long ago."""
        while self.sent_releases and now_ms() - self.sent_releases[0][0] >= RESEND_WINDOW_MS:
            self.sent_releases.popleft()

    def _on_message(self, link: CallerLink, message: Message | Malformed) -> None:
        if isinstance(message, Malformed):
            malformed = message.message
            if malformed.status or malformed.method == "ACK":
                return
            if not (malformed.call_id and self._is_repeated(link, malformed.call_id)):
                link.send(response(malformed, 413 if message.why == TOO_LARGE else 400))
            return
        if message.status:
            return  # a release that was heard
        match message.method:
            case "INVITE":
                self._on_invite(link, message)
            case "CANCEL":
                self._on_cancel(link, message)
            case "BYE":
                link.send(response(message, 200))
                self.inbox.tell(CallerReleased(message.call_id))
            case "OPTIONS":
                self._mark_trusted(link)
                well = self.ready.is_set() and self.life.well
                link.send(response(message, 200 if well else 503))
            case "ACK":
                pass
            case _:
                link.send(response(message, 405, ALLOW))

    def _on_cancel(self, link: CallerLink, message: Message) -> None:
        with self.lock:
            transaction = self.links.get(link, {}).pop(message.call_id, None)
            transaction = transaction or self.answered.get((link, message.call_id))
        if transaction is None:
            transaction = CallerTransaction(self, link, message)
        transaction.cancel()
        self.inbox.tell(Withdrawn(message.call_id, transaction))

    def _is_repeated(self, link: CallerLink, call: str) -> bool:
        """Whether a set-up under this id has come on this connection: its one answer serves both."""
        with self.lock:
            known = call in self.links.get(link, {}) or (link, call) in self.answered
        if known:
            record("repeated", call=call, link=link.number)
        return known

    def _on_invite(self, link: CallerLink, message: Message) -> None:
        arrived_ms = now_ms()
        if self._is_repeated(link, message.call_id):
            return
        caller = CallerTransaction(self, link, message)
        try:
            offer = parse_offer(message, caller, arrived_ms, self.max_patience_ms)
        except (ValueError, KeyError):
            link.send(response(message, 400))
            return
        if self.undelivered_releases or not link.trust_level:
            self._mark_trusted(link)
        with self.lock:
            pending = self.links.get(link, {})
            pending[message.call_id] = caller
        steps.at(steps.TAKEN)
        if not self.inbox.offer(offer):  # guards against a caller left unanswered by a full inbox
            record("refused", call=offer.call, by="front", closed=self.inbox.closed)
            caller.refuse(self.retry_after_ms, Why.TURNED_AWAY)

    def transaction_answered(self, caller: CallerTransaction) -> None:
        with self.lock:
            pending, call = self.links.get(caller.link, {}), caller.invite.call_id
            if pending.get(call) is caller:
                del pending[call]
                self.answered[caller.link, call] = caller
                while len(self.answered) > MAX_ANSWERED:
                    self.answered.popitem(last=False)

    def release(self, call: str, cause: int, target: CallerLink | None = None) -> None:
        """Goes out on any connection from callers: its own, else one that calls stood on, else the next."""
        with self.lock:
            if target is None or target not in self.links or not target.alive:
                # guards against telling it to whoever just connected, or asked for nothing that can stand
                trusted = (link for link in self.links if link.alive and link.trust_level)
                # one with a set-up open is not about to be closed by its caller
                best = max(
                    trusted,
                    key=lambda on: (on.trust_level, bool(self.links[on]), on.last_received_ms),
                    default=None,
                )
                target = best
            if target is None:
                self.undelivered_releases[call] = (now_ms(), cause)
                while len(self.undelivered_releases) > MAX_STORED_RELEASES:
                    self.undelivered_releases.popitem(last=False)
                return
            record("release", call=call, cause=cause, link=target.number)
            self.sent_releases.append((now_ms(), call, cause, target))
            self._drop_old_releases()
        bye = request("BYE", "sip:caller@net", ("via", self.via), ("call-id", call), ("cseq", "2 BYE"),
                      reason_header(cause))  # fmt: skip
        target.send(bye)
