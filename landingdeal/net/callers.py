"""Server side of the platform's front: connections from callers, for their calls and those in transit."""

from __future__ import annotations

import socket
import threading
from collections import OrderedDict, deque

from badgerstile.interface import Settings
from landingdeal.clock import now_ms
from landingdeal.core import steps
from landingdeal.core.events import CallerReleased, CallerStreamBroken, SetUpCancelled
from landingdeal.core.inbox import Inbox
from landingdeal.core.lifecycle import IdleConnection, Lifecycle, connections_to_close, may_close
from landingdeal.log import log_event
from landingdeal.net.acceptor import Acceptor
from landingdeal.net.link import CallerLink
from landingdeal.net.set_up import parse_offer
from landingdeal.net.transaction import CallerTransaction
from landingdeal.sip.headers import ALLOW_HEADER, reason_header
from landingdeal.sip.message import TOO_LARGE, MalformedMessage, Message, request, response, response_context

IDLE_CLOSE_SHARE = 0.4  # of the descriptors, of which callers need a third; above this the idlest are closed
ACCEPT_SHARE = 0.6  # of the descriptors; above this new connections are closed at once
SWEEP_INTERVAL_MS = 500.0  # between searches for idle connections while there is room
MAX_ANSWERED = 1024  # answered set-ups that are remembered by connection and Call-ID
MAX_STORED_RELEASES = 2000  # sent ones, and undelivered ones for want of a connection
UNDELIVERED_LIFETIME_MS = 15000.0  # then an undelivered release is dropped
RESEND_WINDOW_MS = 1000.0  # a release is sent again if its connection ends so soon after it


class CallerConnections:
    """Accepts connections from callers, passes their set-ups to the core and sends them releases."""

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
        self.retry_after_ms = settings.max_retry_after_ms or 1000.0
        self.max_patience_ms = 2 * max(call_class.deadline_ms for call_class in settings.classes)
        self.max_links, self.accept_limit = int(sockets * IDLE_CLOSE_SHARE), int(sockets * ACCEPT_SHARE)
        self.last_sweep_ms = now_ms()
        self.lock = threading.Lock()
        self.links: dict[CallerLink, dict[str, CallerTransaction]] = {}  # and the set-ups pending on each
        # the latest answered ones: until the answer is written, the caller may still cancel
        self.answered: OrderedDict[tuple[CallerLink, str], CallerTransaction] = OrderedDict()
        self.undelivered_releases: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.sent_releases: deque[tuple[float, str, int, CallerLink]] = deque(maxlen=MAX_STORED_RELEASES)
        self.ready = threading.Event()
        self.life.open_listeners += 1
        self.acceptor = Acceptor(
            host, port, self._on_accepted, lambda: self.life.accepts_connections, self._acceptor_closed
        )
        self.life.phase_listeners.append(self.acceptor.wake)

    def _acceptor_closed(self) -> None:
        self.life.open_listeners -= 1

    def flush(self) -> int:
        """After the core's end: refuses pending set-ups, closes idle connections; returns how many remain."""
        with self.lock:
            open_links = list(self.links.items())
        for link, pending in open_links:
            for transaction in list(pending.values()):
                reason = self.inbox.refusal_reason(transaction.invite.call_id)
                transaction.refuse(self.retry_after_ms, reason)
            self._close_if_idle(link)
        return sum(link.alive for link, _ in open_links)

    def _close_if_idle(self, link: CallerLink) -> bool:
        """Closes a connection if it is still idle; under the lock no set-up can be added in between."""
        steps.reached(steps.CLOSING)
        with self.lock:
            pending = self.links.get(link)
            if pending is None or not may_close(link.pending_work(len(pending))):
                return False
            link.close_with_reason("not needed")
        return True

    def _on_accepted(self, sock: socket.socket) -> None:
        with self.lock:
            if len(self.links) >= self.accept_limit:
                log_event("caller_turned_away", connections=len(self.links))
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
        """Records that a valid message came on it, and sends the undelivered releases on it."""
        with self.lock:
            link.trust_level = max(link.trust_level, 1)
            undelivered_releases, self.undelivered_releases = self.undelivered_releases, OrderedDict()
        for call, (stored_ms, cause) in undelivered_releases.items():
            if now_ms() - stored_ms < UNDELIVERED_LIFETIME_MS:
                self.release(call, cause, link)

    def _close_surplus(self) -> None:
        """Closes idle connections, so that callers that hold them open leave descriptors for others."""
        now = now_ms()
        with self.lock:
            excess = sum(link.alive for link in self.links) - self.max_links
            if excess <= 0 and now < self.last_sweep_ms + SWEEP_INTERVAL_MS:
                return
            self.last_sweep_ms = now
            idle = [link for link, pending in self.links.items() if link.alive and not pending]
        surplus = excess
        candidates = (
            IdleConnection(n, link.last_received_ms, link.opened_ms, link.trust_level > 0)
            for n, link in enumerate(idle)
        )
        for number in connections_to_close(candidates, excess, now):
            closed = self._close_if_idle(idle[number])
            surplus -= closed
            if closed and excess > 0 and surplus <= 0:
                break

    def _on_unreadable(self, link: CallerLink) -> None:
        with self.lock:
            pending = list(self.links.get(link, {}).items())
        for call, transaction in pending:
            self.inbox.put(CallerStreamBroken(call, transaction))

    def _on_ended(self, link: CallerLink, reset: bool) -> None:
        with self.lock:
            pending = self.links.pop(link, {})
            for key in [key for key in self.answered if key[0] is link]:
                del self.answered[key]
            to_resend = [
                (c, k)
                for sent_ms, c, k, to in self.sent_releases
                if to is link and now_ms() - sent_ms < RESEND_WINDOW_MS
            ]
            self._drop_old_releases()
        log_event("caller_closed", link=link.number,
               why=link.close_reason or ("reset" if reset else "by the caller"),
               open=len(pending), unsent=link.unsent())  # fmt: skip
        for call, transaction in pending.items():
            self.inbox.put(SetUpCancelled(call, transaction))
        for (
            call,
            cause,
        ) in to_resend:  # the release may have been written to a connection that was being closed
            self.release(call, cause, link)

    def _drop_old_releases(self) -> None:
        """Bounds the memory: each entry refers to a connection that may have ended long ago."""
        while self.sent_releases and now_ms() - self.sent_releases[0][0] >= RESEND_WINDOW_MS:
            self.sent_releases.popleft()

    def _on_message(self, link: CallerLink, message: Message | MalformedMessage) -> None:
        if isinstance(message, MalformedMessage):
            malformed = message.message
            if malformed.status or malformed.method == "ACK":
                return
            if not (malformed.call_id and self._is_repeated(link, malformed.call_id)):
                link.send(response(malformed, 413 if message.problem == TOO_LARGE else 400))
            return
        if message.status:
            return  # the answer to a release
        match message.method:
            case "INVITE":
                self._on_invite(link, message)
            case "CANCEL":
                self._on_cancel(link, message)
            case "BYE":
                link.send(response(message, 200))
                self.inbox.put(CallerReleased(message.call_id))
            case "OPTIONS":
                self._mark_trusted(link)
                healthy = self.ready.is_set() and self.life.healthy
                link.send(response(message, 200 if healthy else 503))
            case "ACK":
                pass
            case _:
                link.send(response(message, 405, ALLOW_HEADER))

    def _on_cancel(self, link: CallerLink, message: Message) -> None:
        with self.lock:
            transaction = self.links.get(link, {}).pop(message.call_id, None)
            transaction = transaction or self.answered.get((link, message.call_id))
        if transaction is None:
            transaction = CallerTransaction(self, link, response_context(message))
        transaction.cancel()
        self.inbox.put(SetUpCancelled(message.call_id, transaction))

    def _is_repeated(self, link: CallerLink, call: str) -> bool:
        """Whether a set-up with this Call-ID has come on this connection: its one answer serves both."""
        with self.lock:
            known = call in self.links.get(link, {}) or (link, call) in self.answered
        if known:
            log_event("repeated", link.log_share, call=call, link=link.number)
        return known

    def _on_invite(self, link: CallerLink, message: Message) -> None:
        arrived_ms = now_ms()
        if self._is_repeated(link, message.call_id):
            return
        transaction = CallerTransaction(self, link, response_context(message))
        try:
            offer = parse_offer(message, transaction, arrived_ms, self.max_patience_ms)
        except (ValueError, KeyError):
            link.send(response(message, 400))
            return
        if self.undelivered_releases or not link.trust_level:
            self._mark_trusted(link)
        with self.lock:
            pending = self.links.get(link, {})
            pending[message.call_id] = transaction
        steps.reached(steps.REGISTERED)
        # the caller has left, the inbox is full, or the core has ended: the set-up is not sent, but answered
        if not link.peer_reachable() or not self.inbox.offer(offer):
            log_event("refused", link.log_share, call=offer.call_id, by="front", closed=self.inbox.closed)
            transaction.refuse(self.retry_after_ms, self.inbox.refusal_reason(offer.identity))

    def transaction_answered(self, transaction: CallerTransaction) -> None:
        """Moves a pending set-up to the answered ones."""
        with self.lock:
            pending, call = self.links.get(transaction.link, {}), transaction.invite.call_id
            if pending.get(call) is transaction:
                del pending[call]
                self.answered[transaction.link, call] = transaction
                while len(self.answered) > MAX_ANSWERED:
                    self.answered.popitem(last=False)

    def release(self, call: str, cause: int, target: CallerLink | None = None) -> None:
        """Sends the release of a call on its own connection, or else on the most trusted one.

        Without a suitable connection it is stored until a caller sends a valid message.
        """
        with self.lock:
            if target is None or target not in self.links or not target.alive:
                # skips peers that have only just connected or asked for nothing that can become a call
                trusted = (link for link in self.links if link.alive and link.trust_level)
                # a caller does not close a connection on which a set-up is pending
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
            log_event("release", call=call, cause=cause, link=target.number)
            self.sent_releases.append((now_ms(), call, cause, target))
            self._drop_old_releases()
        bye = request("BYE", "sip:caller@net", ("via", self.via), ("call-id", call), ("cseq", "2 BYE"),
                      reason_header(cause))  # fmt: skip
        target.send(bye)
