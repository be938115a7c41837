"""Opens the connections to lab hubs: the one for set-ups, and further ones that recover lost releases."""

from __future__ import annotations

import socket
import time

from badgerstile.interface import AttemptOutcome
from landingdeal.clock import now_ms, seconds_until
from landingdeal.core.events import AttemptFailed
from landingdeal.core.inbox import Inbox
from landingdeal.log import log_event, log_text
from landingdeal.net.hub import Hub
from landingdeal.net.hub_connection_end import ConnectionEndHandler
from landingdeal.net.hub_messages import HubMessageHandler
from landingdeal.net.hub_requests import HubRequests
from landingdeal.net.link import HubLink, dial
from landingdeal.threads import start_thread

REDIAL_INTERVAL_MS = 250.0  # after a failed connect
SLOW_DIAL_TIMEOUT_MS = 7000.0  # of a connect beside those that the dial timeout ends


class HubConnector:
    """Dials lab hubs, each in a thread of its own, and starts what reads and writes the connections."""

    def __init__(
        self,
        inbox: Inbox,
        requests: HubRequests,
        messages: HubMessageHandler,
        ends: ConnectionEndHandler,
        dial_timeout_ms: float,
    ) -> None:
        self.inbox, self.requests, self.messages, self.ends = inbox, requests, messages, ends
        self.dial_timeout_ms = dial_timeout_ms

    def keep_connected(self, hub: Hub) -> None:
        """Keeps a connection open, since load reports and releases come on it.

        Ends when the lab hub is removed and no call stands there.
        """
        while True:
            with hub.changed:
                while hub.link is not None and hub.link.alive:
                    hub.changed.wait()
                if not hub.is_needed():
                    hub.link, hub.keeper_running = None, False
                    queued = hub.take_queued()
                    failed_before_ms, hub.suspect_reset_ms = hub.suspect_reset_ms, 0.0
                    break
            try:
                link = self._dial(hub)
            except OSError as error:
                if isinstance(error, TimeoutError):
                    self._start_slow_dial(hub)
                self._connect_failed(hub, error)
                continue
            self.on_connected(hub, link)
        if failed_before_ms:
            self.inbox.put(hub.failed(failed_before_ms))
        for attempt in queued:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _connect_failed(self, hub: Hub, error: OSError) -> None:
        """Reports what can't be sent and what the failure shows; waits until it is time to dial again."""
        refused = not isinstance(error, TimeoutError)
        log_text(f"no connection to {hub.name!r}: {error}")
        with hub.changed:
            now = now_ms()
            failed_before_ms = self._failure_time(hub, refused, now)
            undeliverable = [
                attempt
                for attempt in hub.queued
                if refused or now >= attempt.sent_ms + self.dial_timeout_ms - 1
            ]
            hub.queued = [attempt for attempt in hub.queued if attempt not in undeliverable]
        for attempt in undeliverable:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))
        if failed_before_ms:
            self.inbox.put(hub.failed(failed_before_ms))
        with hub.changed:
            if hub.is_needed() and not hub.queued:
                hub.changed.wait(seconds_until(now_ms() + REDIAL_INTERVAL_MS))

    @staticmethod
    def _failure_time(hub: Hub, refused: bool, now: float) -> float:
        """The time before which the lab hub's calls are over; 0 if a failed connect does not show that.

        A reset alone is no proof of a failure: peers also reset idle connections and keep their calls. A
        refused connect after it, or two refused in a row, show that the process ended, unless another
        connection to it is sound: hubs accept a limited number, and a process that ends resets them all.
        """
        if not refused or hub.calls.has_sound_connection():
            hub.refused_connects = 0
            return 0.0
        hub.refused_connects += 1
        suspect_reset_ms, hub.suspect_reset_ms = hub.suspect_reset_ms, 0.0
        if hub.refused_connects == 1:
            return suspect_reset_ms
        return now if hub.refused_connects == 2 else 0.0

    def _dial(self, hub: Hub, timeout_ms: float | None = None) -> HubLink:
        """Connects to the address that the hub has now, by default in the dial timeout; raises OSError."""
        with hub.changed:
            address = hub.host, hub.port
        dialled_ms = now_ms()
        deadline_ms = dialled_ms + (self.dial_timeout_ms if timeout_ms is None else timeout_ms)
        link = self._new_link(hub, dial(*address, deadline_ms))
        link.dialled_address, link.dialled_ms = address, dialled_ms
        return link

    def _new_link(self, hub: Hub, sock: socket.socket) -> HubLink:
        return HubLink(
            sock,
            lambda on, message: self.messages.handle(hub, on, message),
            lambda on, reset: self.ends.connection_ended(hub, on, reset),
        )

    def on_connected(self, hub: Hub, link: HubLink) -> None:
        """Takes a new connection for set-ups and sends what is queued.

        One lock for both: a cancellation finds each attempt either queued or sent. A connection is closed if
        its address has been given to another hub meanwhile, or the hub's process was started after the dial.
        """
        with hub.changed:
            if not hub.is_peer_of(link):
                log_event("hub_connection_of_another", hub=hub.name)
                link.sock.close()
                return
            hub.link = link
            hub.changed.notify()  # the keeper may be about to dial
            hub.pending[link] = {}
            hub.calls.connection_opened(link.number, link.opened_ms)
            hub.connected_ms = now_ms()
            restarted = hub.may_have_restarted_since(hub.suspect_reset_ms, hub.connected_ms)
            failed_before_ms = hub.suspect_reset_ms if restarted else 0.0
            hub.refused_connects, hub.suspect_reset_ms = 0, 0.0
            hub.note_received()
            self.requests.send_due_releases(hub)
            queued = hub.take_queued()
            undeliverable = [
                attempt for attempt in queued if not self.requests.send_set_up(hub, link, attempt)
            ]
        self._start_link(hub, link)
        if failed_before_ms:
            self.inbox.put(hub.failed(failed_before_ms))
        log_event("hub_connected", hub=hub.name, link=link.number)
        for attempt in undeliverable:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    def _start_link(self, hub: Hub, link: HubLink) -> None:
        """Starts the threads of a connection; waits for them if the system has none left.

        The lab hub repeats its releases once, on the next connection: one that is closed unread would lose
        them. The set-ups that wait for it are withdrawn.
        """
        while True:
            try:
                link.start()
                return
            except RuntimeError as error:
                self._withdraw_unwritten(hub, link)
                log_event("hub_connection_waits_for_thread", hub=hub.name, link=link.number, error=error)
                time.sleep(seconds_until(now_ms() + REDIAL_INTERVAL_MS))

    def _withdraw_unwritten(self, hub: Hub, link: HubLink) -> None:
        with hub.changed:
            waiting = hub.pending.get(link, {})
            withdrawn = [waiting.pop(call) for call in list(waiting) if link.withdraw(call)]
        for attempt in withdrawn:
            self.inbox.put(AttemptFailed(attempt, AttemptOutcome.UNREACHABLE))

    # --- a connect that takes longer than the dial timeout ---

    def _start_slow_dial(self, hub: Hub) -> None:
        """Connects in a thread of its own, for longer, beside the dials that go on; once at a time.

        A lab hub whose connects all take longer than the dial timeout would never be connected otherwise.
        """
        with hub.changed:
            is_connected = hub.link is not None and hub.link.alive
            if hub.slow_dial_running or (is_connected and not hub.recovering):
                return
            hub.slow_dial_running = True
        try:
            start_thread("slow-dial", lambda: self._dial_slowly(hub))
        except RuntimeError:  # the system has no thread left
            self._end_slow_dial(hub)

    @staticmethod
    def _end_slow_dial(hub: Hub) -> None:
        with hub.changed:
            hub.slow_dial_running = False

    def _dial_slowly(self, hub: Hub) -> None:
        try:
            link = self._dial(hub, SLOW_DIAL_TIMEOUT_MS)
            self._take_slow_connection(hub, link)
        except OSError as error:
            log_event("hub_slow_dial_failed", hub=hub.name, error=f"{type(error).__name__} {error}")
        finally:
            self._end_slow_dial(hub)

    def _take_slow_connection(self, hub: Hub, link: HubLink) -> None:
        """Takes the connection as the one for set-ups, or for recovery if there is one by now.

        The lab hub may have written releases to it, so that it is not closed unread.
        """
        log_event("hub_slow_dial", hub=hub.name, link=link.number, took_ms=now_ms() - link.dialled_ms)
        with hub.changed:
            is_needed = hub.is_needed()
            is_connected = hub.link is not None and hub.link.alive
            is_taken = is_needed and is_connected and self._register_for_recovery(hub, link)
        if not is_needed:
            link.sock.close()
        elif is_taken:
            self._start_link(hub, link)
        elif not is_connected:
            self.on_connected(hub, link)

    # --- recovery ---

    def start_recovery(self, hub: Hub) -> None:
        """Opens a further connection in a thread of its own: the lab hub repeats its releases on it."""
        try:
            start_thread("recovery", lambda: self._open_recovery_connection(hub))
        except RuntimeError:  # the system has no thread left
            self._recovery_failed(hub)

    def _open_recovery_connection(self, hub: Hub) -> None:
        try:
            link = self._dial(hub)
        except Exception as error:  # whatever it is, the calls in doubt need another one
            log_event("hub_recovery_failed", hub=hub.name, error=f"{type(error).__name__} {error}")
            if isinstance(error, TimeoutError):
                self._start_slow_dial(hub)
            self._recovery_failed(hub)
            return
        with hub.changed:
            hub.recovering = False
            is_taken = self._register_for_recovery(hub, link)
        if is_taken:
            self._start_link(hub, link)

    @staticmethod
    def _register_for_recovery(hub: Hub, link: HubLink) -> bool:
        """Takes a further connection, on which the lab hub repeats its releases; no set-up is sent there.

        False, and it is closed, if it leads to another process. The caller holds the lock.
        """
        if not hub.is_peer_of(link):
            link.sock.close()
            hub.calls.recovery_failed(now_ms())
            return False
        link.for_recovery, link.probed_ms = True, now_ms()  # its first message shows that it is alive
        hub.pending[link] = {}
        in_doubt = hub.calls.in_doubt()
        hub.calls.recovery_opened(link.number, link.dialled_ms)
        log_event("hub_recovery", hub=hub.name, link=link.number, calls=len(in_doubt))
        return True

    @staticmethod
    def _recovery_failed(hub: Hub) -> None:
        with hub.changed:
            hub.recovering = False
            hub.calls.recovery_failed(now_ms())
