"""Offers the planned calls to an address over UDP or TCP. One event-loop thread runs all timers and calls.

Every planned call gets exactly one outcome. The event loop never blocks on the peer: connections are dialled
in threads of their own, messages are queued, and calls that can't be sent are reported.
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
from landingdeal.capture.limits import AdmissionControl, ConnectBackoff, ReplayLimits
from landingdeal.capture.plan import PlannedCall, ReplayOptions, fingerprint
from landingdeal.capture.player import CallPlayer, ReplayAddresses, ReplayResult
from landingdeal.capture.retries import RetryModel, RetryScheduler
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.pending_send import PendingSend
from landingdeal.net.link import Link, connect
from landingdeal.sip.loop import EventLoop, ScheduledWork, Work
from landingdeal.sip.message import MalformedMessage, Message, decode_datagram, encode
from landingdeal.sip.transaction import Timing, Transaction
from landingdeal.threads import start_thread

SAVE_AHEAD_MS = 1000.0  # calls due within this time are recorded in the state file before they are sent
SAVE_INTERVAL_MS = 250.0
DIAL_TIMEOUT_MS = 2000.0
MAX_CONNECTIONS = 64
START_DELAY_MS = 100.0  # before the first call is due, so that sockets and threads are ready


@dataclass(slots=True)
class ReplayReport:
    """What a replay did: a result for each try, and counters."""

    results: list[ReplayResult] = field(default_factory=list)
    shed: Counter[str] = field(default_factory=Counter)
    left_in_flight: list[int] = field(default_factory=list)  # in the interrupted run that this one resumes
    skipped: int = 0  # calls that the interrupted run had already offered
    retries: int = 0
    retries_denied: int = 0
    unmatched_messages: int = 0  # received messages whose Call-ID is unknown
    stopped: bool = False


class _UdpFlow:
    """One UDP socket, shared by all calls."""

    transport, reliable, alive, was_connected, peer_has_left = "UDP", False, True, True, False
    source = ""

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
                self.failures += 1  # an ICMP error for an earlier datagram: the port is closed
                continue
            if data.strip(b"\r\n\0"):
                message = decode_datagram(data)
                if isinstance(message, Message):
                    self.received(message)

    def send(self, message: Message, pending: PendingSend | None = None) -> bool:
        if pending is not None and not pending.claim():
            return False
        try:
            self.sock.sendto(encode(message), socket.MSG_DONTWAIT, self.target)
        except OSError:
            self.failures += 1  # treated as a lost datagram; the transaction retransmits
        return True

    def close(self) -> None:
        self.sock.close()


class _TcpFlow:
    """One of several TCP connections. A failed one is replaced, with back-off, when the next call is due."""

    transport, reliable, peer_has_left, source = "TCP", True, False, ""

    def __init__(self, target: tuple[str, int], replay: Replay) -> None:
        self.target, self.replay = target, replay
        host = "::1" if ":" in target[0] else "127.0.0.1"
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        self.sock.bind((host, 0))  # Via and Contact need the local port before the connection is established
        self.local: tuple[str, int] = self.sock.getsockname()[:2]
        self.link: Link | None = None
        self.queued: list[tuple[Message, PendingSend | None]] = []
        self.players: dict[str, CallPlayer] = {}
        self.alive, self.was_connected = True, False

    def dial(self) -> None:
        """Connects; runs in a thread of its own."""
        try:
            connect(self.sock, self.target, now_ms() + DIAL_TIMEOUT_MS)
        except OSError:
            self.sock.close()
            self.replay.loop.post(lambda: self.replay.connect_failed(self))
            return
        link = Link(self.sock, lambda _, message: self._received(message), lambda _, __: self._closed())
        self.replay.loop.post(lambda: self._connected(link))

    def _connected(self, link: Link) -> None:
        self.link, self.was_connected = link, True
        link.start()
        self.replay.connected()
        queued, self.queued = self.queued, []
        for message, pending in queued:
            self._send(link, message, pending)

    def _received(self, message: Message | MalformedMessage) -> None:
        if isinstance(message, Message):
            self.replay.received(message)

    def _closed(self) -> None:
        self.replay.loop.post(lambda: self.replay.connection_lost(self))

    def send(self, message: Message, pending: PendingSend | None = None) -> bool:
        if self.link is not None:
            return self._send(self.link, message, pending)
        if self.alive:
            self.queued.append((message, pending))
        return self.alive

    @staticmethod
    def _send(link: Link, message: Message, pending: PendingSend | None) -> bool:
        return link.send(message, still_wanted=pending.claim if pending is not None else None)

    def close(self) -> None:
        if self.link is not None:
            self.link.close()


class Replay:
    """One replay: `run` offers the plan and returns when every call has its outcome or `stop` is called.

    It is also the environment of the calls' SIP transactions: it gives them the time and timers.
    """

    def __init__(
        self,
        plan: Sequence[PlannedCall],
        target: tuple[str, int],
        options: ReplayOptions,
        limits: ReplayLimits = ReplayLimits(),  # noqa: B008 (frozen)
        model: RetryModel = RetryModel(),  # noqa: B008 (frozen)
        state_file: Path | None = None,
        t1_ms: float = 500.0,
    ) -> None:
        self.plan, self.target, self.options, self.limits = plan, target, options, limits
        self.loop, self.timing = EventLoop(), Timing(t1_ms)
        self.admission, self.backoff = AdmissionControl(limits), ConnectBackoff(limits)
        self.retries = RetryScheduler(options.retries, model, random.Random(options.seed))
        self.report = ReplayReport()
        self.players: dict[str, CallPlayer] = {}  # by Call-ID
        self.outcomes: dict[int, str] = {}  # of the finished calls, by index in the plan
        self.next_index = 0
        self.pending = 0  # tries in progress or scheduled
        self.finished = threading.Event()
        self.udp: _UdpFlow | None = None
        self.tcp: dict[int, _TcpFlow] = {}
        self.state_file = state_file
        self.fingerprint = fingerprint(plan) if state_file is not None else ""
        self.start_offset_ms = 0.0  # time in the plan at which this run starts
        self.reserved_count = len(plan)  # calls that may be offered; with a state file, those recorded in it
        self.start_ms = 0.0

    # --- time and timers for the SIP transactions ---

    def schedule_at(self, deadline_ms: float, work: Work) -> ScheduledWork:
        return self.loop.schedule_at(deadline_ms, work)

    def now(self) -> float:
        return self.loop.now()

    def request_dropped(self, transaction: Transaction) -> None:
        pass  # it has no server transactions that could be many

    def transaction_terminated(self, transaction: object) -> None:
        pass  # transactions are forgotten together with their call

    # --- running the plan ---

    def run(self) -> ReplayReport:
        """Offers the plan. Raises OSError, and ConfigError if the state file is unusable."""
        if self.state_file is not None:
            self._resume(self.state_file)
        if any(call.transport == "UDP" for call in self.plan):
            self.udp = _UdpFlow(self.target, self.received)
        self.start_ms = now_ms() + START_DELAY_MS
        self.loop.start()
        if self.state_file is not None:
            start_thread("replay-state", lambda: self._save_periodically(self.state_file or Path()))
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
        """Ends the run without ending calls in progress; may be called from a signal handler."""
        self.report.stopped = True
        self.finished.set()

    def _due_ms(self, call: PlannedCall) -> float:
        return self.start_ms + call.at_ms - self.start_offset_ms

    def _offer_due(self) -> None:
        """Offers the calls that are due and sets one timer for the next, to keep the timer heap small."""
        while self.next_index < len(self.plan):
            call = self.plan[self.next_index]
            due_ms = self._due_ms(call)
            if due_ms > self.loop.now():
                self.loop.schedule_at(due_ms, self._offer_due)
                return
            if self.next_index >= self.reserved_count:  # not yet in the state file: the disk is slow
                self.loop.schedule_at(self.loop.now() + 1, self._offer_due)
                return
            self.next_index += 1
            if self.retries.skips(call.first_try > 0):
                self._mark_done(call, "left out")
                continue
            self.retries.count_first_try()
            self._start_try(call, 1, due_ms)
        self._check_finished()

    def _start_try(self, call: PlannedCall, try_number: int, due_ms: float) -> None:
        self.pending += 1
        reason = self.admission.shed_reason(self.loop.now())
        if reason:
            self.report.shed[reason] += 1
            self._record_result(
                ReplayResult(call, try_number, self.loop.now() - due_ms, error=f"shed: {reason}")
            )
            return
        flow = self._select_flow(call)
        if flow is None:
            self.admission.answered(False)
            self._record_result(
                ReplayResult(call, try_number, self.loop.now() - due_ms, error="the address can't be reached")
            )
            return
        addresses = ReplayAddresses(self.target, flow.local)
        player = CallPlayer(
            self, flow, addresses, call, try_number, self.options.seed, self._on_finished, self._on_answered
        )
        self.players[player.call_id] = player
        if isinstance(flow, _TcpFlow):
            flow.players[player.call_id] = player
        player.start(due_ms)

    def _select_flow(self, call: PlannedCall) -> _UdpFlow | _TcpFlow | None:
        """Calls of one recorded Contact and copy share a TCP connection; None during connect back-off."""
        if call.transport == "UDP":
            return self.udp
        key = zlib.crc32(f"{call.invite.get('contact')}/{call.copy_number}".encode()) % MAX_CONNECTIONS
        flow = self.tcp.get(key)
        if flow is None or not flow.alive:
            if self.backoff.blocked(self.loop.now()):
                return None
            flow = self.tcp[key] = _TcpFlow(self.target, self)
            start_thread("replay-dial", flow.dial)
        return flow

    # --- events from the flows ---

    def received(self, message: Message) -> None:
        """Called in the reader threads."""
        self.loop.post(lambda: self._dispatch(message))

    def _dispatch(self, message: Message) -> None:
        player = self.players.get(message.call_id)
        if player is None:
            self.report.unmatched_messages += 1
        elif message.status:
            player.handle_response(message)
        else:
            player.handle_request(message)

    def connected(self) -> None:
        self.backoff.connected()

    def connect_failed(self, flow: _TcpFlow) -> None:
        self.backoff.failed(self.loop.now())
        self.connection_lost(flow)

    def connection_lost(self, flow: _TcpFlow) -> None:
        flow.alive = False
        flow.queued.clear()
        for player in list(flow.players.values()):
            player.connection_failed()

    def _on_answered(self, player: CallPlayer) -> None:
        self.admission.answered(player.result.outcome is Outcome.ESTABLISHED)

    def _on_finished(self, player: CallPlayer) -> None:
        result = player.result
        if result.outcome is Outcome.ESTABLISHED:
            self.admission.call_ended()
        # kept for a while, since a retransmitted final answer may still need its ACK
        self.loop.schedule_at(
            self.loop.now() + min(self.timing.transaction_timeout, 2000.0), lambda: self._forget(player)
        )
        self._record_result(result)

    def _forget(self, player: CallPlayer) -> None:
        self.players.pop(player.call_id, None)
        if isinstance(player.flow, _TcpFlow):
            player.flow.players.pop(player.call_id, None)

    def _record_result(self, result: ReplayResult) -> None:
        self.pending -= 1
        self.report.results.append(result)
        call, try_number = result.planned, result.try_number
        if result.outcome is Outcome.REFUSED:
            delay_ms = self.retries.retry_delay_ms(result.status, try_number, result.retry_after_ms)
            if delay_ms is not None:
                due_ms = self.loop.now() + delay_ms
                self.pending += 1

                def retry() -> None:
                    self.pending -= 1
                    self._start_try(call, try_number + 1, due_ms)

                self.loop.schedule_at(due_ms, retry)
                return
        self._mark_done(call, result.error or f"{result.outcome.value} {result.status or ''}".strip())
        self._check_finished()

    def _mark_done(self, call: PlannedCall, outcome: str) -> None:
        if self.state_file is not None:
            self.outcomes[call.index] = outcome

    def _check_finished(self) -> None:
        if self.next_index >= len(self.plan) and not self.pending:
            self.finished.set()

    # --- saved progress ---

    def _resume(self, path: Path) -> None:
        state = progress.load(path, self.fingerprint)
        if state is not None:
            self.next_index = self.report.skipped = state.started
            self.outcomes = dict(state.done)
            self.report.left_in_flight = progress.in_flight(state)
            if state.started < len(self.plan):
                # continue without a pause at the first call that the interrupted run had not recorded
                self.start_offset_ms = self.plan[state.started].at_ms
        self.reserved_count = self.next_index

    def _save_periodically(self, path: Path) -> None:
        while not self.finished.is_set():
            self._save(path)
            time.sleep(seconds_until(now_ms() + SAVE_INTERVAL_MS))

    def _save(self, path: Path) -> None:
        """Records the calls that are due soon in the state file, and only then allows them to be sent."""
        plan_time_ms = now_ms() - self.start_ms + self.start_offset_ms
        reserved_end = self.reserved_count
        while reserved_end < len(self.plan) and self.plan[reserved_end].at_ms <= plan_time_ms + SAVE_AHEAD_MS:
            reserved_end += 1
        if self.finished.is_set():
            reserved_end = max(self.next_index, 0)
        outcomes = dict(list(self.outcomes.items()))
        state = progress.ReplayState(progress.VERSION, self.fingerprint, plan_time_ms, reserved_end, outcomes)
        try:
            progress.save(path, state)
        except OSError:
            return  # for example a full disk: no further call is sent until a save succeeds
        self.reserved_count = max(self.reserved_count, reserved_end)
