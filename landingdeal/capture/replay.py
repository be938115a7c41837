"""Offers a plan to an address over UDP or TCP: one thread with a timer heap, and the sockets.

Every call of the plan gets one outcome. Nobody waits on a peer: connections are dialled off the thread,
messages are queued, and what can't be sent is reported.
"""

from __future__ import annotations

import random
import socket
import threading
import time
import zlib
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from landingdeal.capture import progress
from landingdeal.capture.calls import Outcome
from landingdeal.capture.limits import Admission, Backoff, Limits
from landingdeal.capture.plan import Offered, Shape, fingerprint
from landingdeal.capture.player import Player, Result, Target
from landingdeal.capture.retries import Model, Retries
from landingdeal.clock import now_ms, seconds_until
from landingdeal.net.link import Link, connect
from landingdeal.sip.loop import EventLoop, Work
from landingdeal.sip.message import MalformedMessage, Message, decode_datagram, encode
from landingdeal.sip.transaction import Timing
from landingdeal.threads import start_thread

AHEAD_MS = 1000.0  # calls that are due so soon are written down before they are sent
SAVE_MS = 250.0
DIAL_MS = 2000.0
CONNECTIONS_MOST = 64
START_MS = 100.0  # after the start: everything is there before the first call is due


@dataclass(slots=True)
class Report:
    results: list[Result] = field(default_factory=list)
    shed: Counter[str] = field(default_factory=Counter)
    left_in_flight: list[int] = field(default_factory=list)  # of the replay that this one goes on with
    skipped: int = 0  # calls that an earlier run had offered
    retries: int = 0
    retries_denied: int = 0
    strays: int = 0  # messages of no call of ours
    stopped: bool = False


class _Udp:
    """All calls go out from one socket."""

    transport, reliable, alive, was_connected = "UDP", False, True, True

    def __init__(self, target: tuple[str, int], received: Callable[[Message], None]) -> None:
        self.target = target
        family = socket.AF_INET6 if ":" in target[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
        self.sock.bind(("::1" if ":" in target[0] else "127.0.0.1", 0))
        self.local: tuple[str, int] = self.sock.getsockname()[:2]
        self.received = received
        self.failures = 0
        start_thread("replay-udp", self._read)

    def _read(self) -> None:
        while True:
            try:
                data = self.sock.recv(65536)
            except OSError:
                if self.sock.fileno() < 0:
                    return
                self.failures += 1  # an ICMP error of an earlier datagram: nobody listens there
                continue
            if data.strip(b"\r\n\0"):
                message = decode_datagram(data)
                if isinstance(message, Message):
                    self.received(message)

    def send(self, message: Message) -> None:
        try:
            self.sock.sendto(encode(message), socket.MSG_DONTWAIT, self.target)
        except OSError:
            self.failures += 1  # a datagram may get lost; the transaction sends it again

    def close(self) -> None:
        self.sock.close()


class _Tcp:
    """One connection of several; dialled again, with back-off, when the next call is due."""

    transport, reliable = "TCP", True

    def __init__(self, target: tuple[str, int], engine: Replay) -> None:
        self.target, self.engine = target, engine
        host = "::1" if ":" in target[0] else "127.0.0.1"
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        self.sock.bind((host, 0))  # Via and Contact name our port before the connection is up
        self.local: tuple[str, int] = self.sock.getsockname()[:2]
        self.link: Link | None = None
        self.held: list[Message] = []
        self.players: dict[str, Player] = {}
        self.alive, self.was_connected = True, False

    def dial(self) -> None:
        """In a thread of its own."""
        try:
            connect(self.sock, self.target, now_ms() + DIAL_MS)
        except OSError:
            self.sock.close()
            self.engine.loop.post(lambda: self.engine.unreachable(self))
            return
        link = Link(self.sock, lambda _, message: self._message(message), lambda _, __: self._ended())
        self.engine.loop.post(lambda: self._up(link))

    def _up(self, link: Link) -> None:
        self.link, self.was_connected = link, True
        link.start()
        self.engine.reached()
        held, self.held = self.held, []
        for message in held:
            link.send(message)

    def _message(self, message: Message | MalformedMessage) -> None:
        if isinstance(message, Message):
            self.engine.received(message)

    def _ended(self) -> None:
        self.engine.loop.post(lambda: self.engine.lost(self))

    def send(self, message: Message) -> None:
        if self.link is not None:
            self.link.send(message)
        elif self.alive:
            self.held.append(message)

    def close(self) -> None:
        if self.link is not None:
            self.link.close()


class Replay:
    """`run` offers the whole plan and returns when every call has its outcome, or `stop` was called."""

    def __init__(
        self,
        plan: Sequence[Offered],
        target: tuple[str, int],
        shape: Shape,
        limits: Limits = Limits(),  # noqa: B008 (frozen)
        model: Model = Model(),  # noqa: B008 (frozen)
        state_file: Path | None = None,
        t1_ms: float = 500.0,
    ) -> None:
        self.plan, self.target, self.shape, self.limits = plan, target, shape, limits
        self.loop, self.timing = EventLoop(), Timing(t1_ms)
        self.admission, self.backoff = Admission(limits), Backoff(limits)
        self.retries = Retries(shape.retries, model, random.Random(shape.seed))
        self.report = Report()
        self.players: dict[str, Player] = {}  # by Call-ID
        self.done: dict[int, str] = {}
        self.next = 0
        self.pending = 0  # tries that are out or to come
        self.finished = threading.Event()
        self.udp: _Udp | None = None
        self.tcp: dict[int, _Tcp] = {}
        self.state_file = state_file
        self.fingerprint = fingerprint(plan) if state_file is not None else ""
        self.base_ms = 0.0  # the plan's clock where this run begins
        self.reserved = len(plan)  # calls that may be offered: all, unless a state is kept
        self.began_ms = 0.0

    # --- the layer that transactions need ---

    def schedule_at(self, deadline_ms: float, work: Work) -> None:
        self.loop.schedule_at(deadline_ms, work)

    def now(self) -> float:
        return self.loop.now()

    def transaction_terminated(self, transaction: object) -> None:
        pass  # a call's transactions end with it

    # --- the run ---

    def run(self) -> Report:
        """Raises ConfigError on a state that is not of this plan, and OSError."""
        if self.state_file is not None:
            self._resume(self.state_file)
        if any(one.transport == "UDP" for one in self.plan):
            self.udp = _Udp(self.target, self.received)
        self.began_ms = now_ms() + START_MS
        self.loop.start()
        if self.state_file is not None:
            start_thread("replay-state", lambda: self._save_always(self.state_file or Path()))
        self.loop.post(self._offer_due)
        while not self.finished.is_set():
            self.finished.wait(seconds_until(now_ms() + 200))
        if self.state_file is not None:
            self._save(self.state_file)
        for flow in [self.udp, *self.tcp.values()]:
            if flow is not None:
                flow.close()
        self.report.retries, self.report.retries_denied = self.retries.granted, self.retries.denied
        return self.report

    def stop(self) -> None:
        """From a signal handler: what is out stays as it is."""
        self.report.stopped = True
        self.finished.set()

    def _due_ms(self, one: Offered) -> float:
        return self.began_ms + one.at_ms - self.base_ms

    def _offer_due(self) -> None:
        """Offers what is due, and comes again for the next: the heap never holds the whole plan."""
        while self.next < len(self.plan):
            one = self.plan[self.next]
            due = self._due_ms(one)
            if due > self.loop.now():
                self.loop.schedule_at(due, self._offer_due)
                return
            if self.next >= self.reserved:  # not written down yet: the disk is slow
                self.loop.schedule_at(self.loop.now() + 1, self._offer_due)
                return
            self.next += 1
            if self.retries.leaves_out(one.first_try > 0):
                self._conclude(one, "left out")
                continue
            self.retries.offered()
            self._try(one, 1, due)
        self._look()

    def _try(self, one: Offered, tries: int, due: float) -> None:
        self.pending += 1
        why = self.admission.objection(self.loop.now())
        if why:
            self.report.shed[why] += 1
            self._result(Result(one, tries, self.loop.now() - due, error=f"shed: {why}"))
            return
        flow = self._flow(one)
        if flow is None:
            self.admission.answered(False)
            self._result(Result(one, tries, self.loop.now() - due, error="the address can't be reached"))
            return
        target = Target(self.target, flow.local)
        player = Player(self, flow, target, one, tries, self.shape.seed, self._over, self._answered)
        self.players[player.call_id] = player
        if isinstance(flow, _Tcp):
            flow.players[player.call_id] = player
        player.start(due)

    def _flow(self, one: Offered) -> _Udp | _Tcp | None:
        """Calls from one recorded address share a connection; None while the address is left alone."""
        if one.transport == "UDP":
            return self.udp
        key = zlib.crc32(f"{one.invite.get('contact')}/{one.copy}".encode()) % CONNECTIONS_MOST
        flow = self.tcp.get(key)
        if flow is None or not flow.alive:
            if self.backoff.shut(self.loop.now()):
                return None
            flow = self.tcp[key] = _Tcp(self.target, self)
            start_thread("replay-dial", flow.dial)
        return flow

    # --- what comes ---

    def received(self, message: Message) -> None:
        """From readers' threads."""
        self.loop.post(lambda: self._received(message))

    def _received(self, message: Message) -> None:
        player = self.players.get(message.call_id)
        if player is None:
            self.report.strays += 1
        elif message.status:
            player.response(message)
        else:
            player.request(message)

    def reached(self) -> None:
        self.backoff.reached()

    def unreachable(self, flow: _Tcp) -> None:
        self.backoff.failed(self.loop.now())
        self.lost(flow)

    def lost(self, flow: _Tcp) -> None:
        flow.alive = False
        flow.held.clear()
        for player in list(flow.players.values()):
            player.failed()

    def _answered(self, player: Player) -> None:
        self.admission.answered(player.result.outcome is Outcome.STOOD)

    def _over(self, player: Player) -> None:
        result = player.result
        if result.outcome is Outcome.STOOD:
            self.admission.ended()
        # a late retransmission may still want its ACK: known for as long as a transaction lasts
        self.loop.schedule_at(
            self.loop.now() + min(self.timing.transaction_timeout, 2000.0), lambda: self._forget(player)
        )
        self._result(result)

    def _forget(self, player: Player) -> None:
        self.players.pop(player.call_id, None)
        if isinstance(player.flow, _Tcp):
            player.flow.players.pop(player.call_id, None)

    def _result(self, result: Result) -> None:
        self.pending -= 1
        self.report.results.append(result)
        one, tries = result.offered, result.tries
        if result.outcome is Outcome.REFUSED:
            pause = self.retries.again(result.status, tries, result.later_ms)
            if pause is not None:
                due = self.loop.now() + pause
                self.pending += 1

                def again() -> None:
                    self.pending -= 1
                    self._try(one, tries + 1, due)

                self.loop.schedule_at(due, again)
                return
        self._conclude(one, result.error or f"{result.outcome.value} {result.status or ''}".strip())
        self._look()

    def _conclude(self, one: Offered, what: str) -> None:
        if self.state_file is not None:
            self.done[one.index] = what

    def _look(self) -> None:
        if self.next >= len(self.plan) and not self.pending:
            self.finished.set()

    # --- progress ---

    def _resume(self, path: Path) -> None:
        state = progress.load(path, self.fingerprint)
        if state is not None:
            self.next = self.report.skipped = state.started
            self.done = dict(state.done)
            self.report.left_in_flight = progress.in_flight(state)
            if state.started < len(self.plan):
                # at once where the old run stopped: the first call that it had not written down
                self.base_ms = self.plan[state.started].at_ms
        self.reserved = self.next

    def _save_always(self, path: Path) -> None:
        while not self.finished.is_set():
            self._save(path)
            time.sleep(seconds_until(now_ms() + SAVE_MS))

    def _save(self, path: Path) -> None:
        """Writes down the calls that are due soon, and only then lets them go out."""
        at = now_ms() - self.began_ms + self.base_ms
        upto = self.reserved
        while upto < len(self.plan) and self.plan[upto].at_ms <= at + AHEAD_MS:
            upto += 1
        if self.finished.is_set():
            upto = max(self.next, 0)
        done = dict(list(self.done.items()))
        state = progress.State(progress.VERSION, self.fingerprint, at, upto, done)
        try:
            progress.save(path, state)
        except OSError:
            return  # a full disk: nothing more goes out until there is room
        self.reserved = max(self.reserved, upto)
