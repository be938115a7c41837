"""Server side of the platform's front: connections from callers and calls in transit."""

from __future__ import annotations

import socket
import threading
from collections import OrderedDict, deque

from badgerstile.interface import Settings
from landingdeal.clock import now_ms
from landingdeal.core.broker import Inbox
from landingdeal.core.events import CallerReleased, Offer, Why, Withdrawn
from landingdeal.net.link import CallerLink, Link, serve
from landingdeal.sip.headers import ALLOW, reason_header
from landingdeal.sip.message import TOO_LARGE, Malformed, Message, request, response

LINKS_PART = 0.4  # of the descriptors: callers hold a third at most; above this the idlest is closed
BURST_PART = 0.6  # and above this, while those are being closed, whoever comes
IDLE_MS = 8000.0  # a usual caller closes after 4 s without a call: this one only holds its connection
KEPT = 4  # so many of the idle are kept all the same: a release may need one
SWEEP_MS = 500.0
FRESH_MS = 200.0  # after its connect a usual caller has sent its set-up
UNHEARD_MOST = 2000  # releases that no caller was there to hear
UNHEARD_MS = 15000.0  # so long such a release is kept
STATUS = {Why.FAILED: 500, Why.FORBIDDEN: 403}  # all others: 503, trying again is harmless
SETTLE_MS = 1000.0  # a release whose connection closes so soon after it is sent again on another

NUMBER_MOST = 0xFFFF  # of lab hubs
WIDTH_MOST = 255
RANGES = {"dest": (0, NUMBER_MOST), "width": (1, WIDTH_MOST), "via": (-1, NUMBER_MOST), "transit": (0, 1),
          "again": (0, 1)}  # fmt: skip
HEX = frozenset("0123456789abcdefABCDEF")


def whole(text: str) -> int:
    """A plain decimal number; int() would also take `1_0`, other scripts' digits and a thousand of them."""
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdecimal() and len(digits) <= 9):
        raise ValueError(f"no number: {text[:20]!r}")
    return int(text)


def decimal(text: str) -> float:
    main, _, part = text.partition(".")
    return whole(main) + (whole(part) / 10.0 ** len(part) if part else 0.0)


def facts_of(text: str) -> dict[str, int]:
    """`dest:2;width:1;via:-1` as numbers; raises ValueError on what is none or out of range."""
    found: dict[str, int] = {}
    for part in text.split(";"):
        if part.strip():
            name, _, value = (word.strip() for word in part.partition(":"))
            low, high = RANGES.get(name, (-999999999, 999999999))
            number = whole(value)
            if name in found or not low <= number <= high:
                raise ValueError(f"{name[:20]} is out of range or told twice")
            found[name] = number
    return found


def hex_digits(text: str, most: int = 16) -> str:
    if not 0 < len(text) <= most or not HEX.issuperset(text):
        raise ValueError("no hex digits")
    return text


class Caller:
    """Where one call's answer goes: the connection it came on, and its set-up to answer to."""

    __slots__ = ("front", "link", "invite")

    def __init__(self, front: Callers, link: CallerLink, invite: Message) -> None:
        self.front, self.link, self.invite = front, link, invite

    @property
    def origin(self) -> object:
        return self.link

    def reachable(self) -> bool:
        return self.link.alive

    def answer(self, description: bytes) -> None:
        self.front.closed_set_up(self.link, self.invite.call_id)
        self.link.trust = 2
        self.link.send(response(self.invite, 200, body=description))

    def refuse(self, come_back_ms: float, why: Why) -> None:
        self.front.closed_set_up(self.link, self.invite.call_id)
        later = (("x-later-ms", str(int(come_back_ms))),) if come_back_ms > 0 else ()
        self.link.send(response(self.invite, STATUS.get(why, 503), *later))

    def release(self, cause: int) -> None:
        self.front.release(self.invite.call_id, cause, self.link)


class Callers:
    def __init__(self, settings: Settings, inbox: Inbox, host: str, port: int, sockets: int) -> None:
        self.inbox = inbox
        self.via = f"SIP/2.0/TCP {host}:{port}"
        self.later_ms = settings.max_retry_advice_ms or 1000.0
        self.patience_most = 2 * max(kind.deadline_ms for kind in settings.classes)
        self.links_most, self.links_limit = int(sockets * LINKS_PART), int(sockets * BURST_PART)
        self.swept_ms = now_ms()
        self.lock = threading.Lock()
        self.links: dict[CallerLink, dict[str, Caller]] = {}  # and the set-ups open on each
        self.unheard: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.told: deque[tuple[float, str, int, CallerLink]] = deque(maxlen=UNHEARD_MOST)
        self.ready = threading.Event()
        self.stopping = False
        self.listener = serve(host, port, self._accepted)

    def stop(self) -> None:
        """From now on a test fails, so that no new caller is sent here; whoever comes is still answered."""
        self.stopping = True

    def _accepted(self, sock: socket.socket) -> None:
        with self.lock:
            if len(self.links) >= self.links_limit:
                sock.close()
                return
            link = CallerLink(sock, self._on_message, self._on_end)
            self.links[link] = {}
            spare = self._spare()
        link.start()
        for idle in spare:
            idle.close()

    def _trusted(self, link: CallerLink) -> None:
        """What it sends is whole: releases that nobody was there to hear go out here."""
        with self.lock:
            link.trust = max(link.trust, 1)
            unheard, self.unheard = self.unheard, OrderedDict()
        for call, (at, cause) in unheard.items():
            if now_ms() - at < UNHEARD_MS:
                self.release(call, cause, link)

    def _spare(self) -> list[CallerLink]:
        """Guards descriptors and usual callers against those who ask once, or never, and hold on."""
        now = now_ms()
        crowded = sum(link.alive for link in self.links) - self.links_most
        if crowded <= 0 and now < self.swept_ms + SWEEP_MS:
            return []
        self.swept_ms = now
        idle = [link for link, open_here in self.links.items() if link.alive and not open_here]
        # first those that connected and say nothing, then the idlest
        idle.sort(key=lambda link: (link.trust > 0 or now - link.began_ms < FRESH_MS, link.heard_ms))
        old = [link for link in idle[:-KEPT] if now - link.heard_ms > IDLE_MS]
        return old if len(old) >= crowded else idle[: max(crowded, 0)]

    def _on_message(self, link: Link, message: Message | Malformed) -> None:
        assert isinstance(link, CallerLink)
        self._message(link, message)

    def _on_end(self, link: Link, reset: bool) -> None:
        assert isinstance(link, CallerLink)
        self._ended(link, reset)

    def _ended(self, link: CallerLink, reset: bool) -> None:
        with self.lock:
            open_here = self.links.pop(link, {})
            again = [(c, k) for at, c, k, to in self.told if to is link and now_ms() - at < SETTLE_MS]
            self._settled()
        for call, caller in open_here.items():
            self.inbox.tell(Withdrawn(call, caller))
        for call, cause in again:  # guards against a release written into a connection just being closed
            self.release(call, cause, link)

    def _settled(self) -> None:
        """Guards the memory: each entry holds a connection that may have ended long ago."""
        while self.told and now_ms() - self.told[0][0] >= SETTLE_MS:
            self.told.popleft()

    def _message(self, link: CallerLink, message: Message | Malformed) -> None:
        if isinstance(message, Malformed):
            if not message.message.status and message.message.method != "ACK":
                link.send(response(message.message, 413 if message.why == TOO_LARGE else 400))
            return
        if message.status:
            return  # a release that was heard
        match message.method:
            case "INVITE":
                self._invite(link, message)
            case "CANCEL":
                with self.lock:
                    caller = self.links.get(link, {}).pop(message.call_id, None)
                self.inbox.tell(Withdrawn(message.call_id, caller or Caller(self, link, message)))
            case "BYE":
                link.send(response(message, 200))
                self.inbox.tell(CallerReleased(message.call_id))
            case "OPTIONS":
                self._trusted(link)
                well = self.ready.is_set() and not self.stopping
                link.send(response(message, 200 if well else 503))
            case "ACK":
                pass
            case _:
                link.send(response(message, 405, ALLOW))

    def _invite(self, link: CallerLink, message: Message) -> None:
        came = now_ms()
        try:
            facts = facts_of(message.get("x-facts"))
            patience = decimal(message.get("x-patience"))
            number = hex_digits(message.uri.removeprefix("sip:").partition("@")[0])
            if not 0 < patience <= self.patience_most:
                raise ValueError("patience")
            if not message.body.endswith(b"\r\n"):  # its length was wrong, or there is none
                raise ValueError("description")
            caller = Caller(self, link, message)
            offer = Offer(
                call=hex_digits(message.call_id),
                uri=message.uri,
                class_name=message.get("subject"),
                destination=facts["dest"],
                deadline_ms=came + patience,
                description=message.body,
                caller=caller,
                facts=message.get("x-facts"),
                key=int(number, 16),
                width=facts.get("width", 1),
                advised=facts.get("via", -1),
                in_transit=bool(facts.get("transit", 0)),
                again_after_cut=bool(facts.get("again", 0)),
                team=message.get("organization"),
            )
        except (ValueError, KeyError):
            link.send(response(message, 400))
            return
        if self.unheard or not link.trust:
            self._trusted(link)
        with self.lock:
            open_here = self.links.get(link, {})
            twice = message.call_id in open_here  # its answer could not be told from the other's
            if not twice:
                open_here[message.call_id] = caller
        if twice:
            link.send(response(message, 400))
            return
        if not self.inbox.offer(offer):  # guards against a caller left unanswered by a full inbox
            caller.refuse(self.later_ms, Why.TURNED_AWAY)

    def closed_set_up(self, link: CallerLink, call: str) -> None:
        with self.lock:
            self.links.get(link, {}).pop(call, None)

    def release(self, call: str, cause: int, first: CallerLink | None = None) -> None:
        """Goes out on any connection from callers: its own, else one that calls stood on, else the next."""
        with self.lock:
            if first is None or first not in self.links or not first.alive:
                # guards against telling it to whoever just connected, or asked for nothing that can stand
                heard = (link for link in self.links if link.alive and link.trust)
                best = max(heard, key=lambda link: (link.trust, link.heard_ms), default=None)
                first = best
            if first is None:
                self.unheard[call] = (now_ms(), cause)
                while len(self.unheard) > UNHEARD_MOST:
                    self.unheard.popitem(last=False)
                return
            self.told.append((now_ms(), call, cause, first))
            self._settled()
        bye = request("BYE", "sip:caller@net", ("via", self.via), ("call-id", call), ("cseq", "2 BYE"),
                      reason_header(cause))  # fmt: skip
        first.send(bye)
