"""Decides what a regular check of one lab hub has to do: silent connections, silent lab hubs, lost releases.

A machine that vanished or was cut off leaves its connections open and can send no release, but the callers
must be notified of the end of their calls within 8 s. There is no I/O here.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from landingdeal.net.hub import Hub, PendingProbe
from landingdeal.net.link import HubLink

SUSPECT_SILENCE_MS = 2500.0  # after so long without a message from a lab hub, it is dialled again
MAX_UNRESPONSIVE_MS = 2500.0
REPLACE_INTERVAL_MS = 1000.0  # at least, between replacements for unanswered set-ups
FAILED_SILENCE_MS = 7000.0  # then its calls are released: callers must be notified within 8 s of their end
FIRST_MESSAGE_TIMEOUT_MS = 7000.0  # from the opening of a connection, while none of its lab hub gets answers
PROBE_REPLY_TIMEOUT_MS = 250.0  # for a replaced connection to show life while the new one gets answers
FINISH_NOTICE_MS = 1000.0  # for a lab hub to close a connection that this side has closed
FINISH_TIMEOUT_MS = 10_000.0  # then it is closed unread; what comes late is still received until then
MAX_CONNECTIONS = 4  # to one lab hub, those that are being closed included


@dataclass(slots=True)
class HubCheck:
    """What a check has found; the connections named are those to act on."""

    silent_ms: float
    replace: bool = False  # the current connection is silent
    failed: bool = False  # its calls are to be released
    recovery_due: bool = False  # a further connection is to be opened
    expired_probes: list[PendingProbe] = field(default_factory=list)
    unverified: list[HubLink] = field(default_factory=list)  # replaced, to be probed
    finished: list[HubLink] = field(default_factory=list)  # replaced and not needed any more
    abandoned: list[HubLink] = field(default_factory=list)  # replaced and silent
    overdue: list[HubLink] = field(default_factory=list)  # to be closed at once


def check_hub(hub: Hub, now: float, unresponsive_ms: float) -> HubCheck:
    """Checks one lab hub. The caller holds its lock; the times in `hub` and its connections are updated."""
    check = HubCheck(now - hub.last_received_ms)
    check.expired_probes = _take_expired_probes(hub, now)
    _note_stalled_links(hub, now)
    check.replace = hub.link is not None and (
        _is_silent(hub.link, now) or _is_unresponsive(hub, hub.link, now, unresponsive_ms)
    )
    if check.silent_ms > FAILED_SILENCE_MS and not hub.declared_failed:
        check.failed = hub.declared_failed = True
    current = None if check.replace else hub.link
    for link in hub.pending:
        if link.finishing:
            if now - link.finishing_ms > FINISH_NOTICE_MS:
                hub.calls.connection_silent(link.number, now)
        elif link is not hub.link:
            _check_replaced(hub, link, current, now, check)
    recovery_due = current is not None and not hub.recovering and hub.calls.recovery_due(now)
    has_room = len(hub.pending) < MAX_CONNECTIONS
    check.recovery_due = recovery_due and has_room
    needs_room = len(hub.pending) > MAX_CONNECTIONS or (recovery_due and not has_room)
    check.overdue = _overdue_links(hub, now, needs_room)
    return check


def _note_stalled_links(hub: Hub, now: float) -> None:
    """Notes the connections on which a message is incomplete: what follows it there may not be received."""
    for link in hub.pending:
        is_stalled = link.is_stalled(now)
        if is_stalled:
            hub.calls.connection_silent(link.number, now)
        elif link.was_stalled:
            hub.calls.connection_heard(link.number)
        link.was_stalled = is_stalled


def _check_replaced(hub: Hub, link: HubLink, current: HubLink | None, now: float, check: HubCheck) -> None:
    """Checks a connection that is not the current one and has not been closed by this side.

    It is kept while calls of it stand: what crosses a close can be lost.
    """
    in_use = [on for on in hub.pending if not on.finishing and on not in check.finished]
    has_excess = len(in_use) >= MAX_CONNECTIONS
    if link.heard_since_probe and not link.was_stalled:
        link.outlived_replacement = True
        hub.calls.connection_heard(link.number)
        if _is_silent(link, now):
            link.probed_ms = now
            check.unverified.append(link)
        elif not hub.pending[link] and (has_excess or not hub.calls.has_calls(link.number)):
            check.finished.append(link)
    elif current is not None and not link.probed_ms:
        link.probed_ms, link.replaced_ms = now, hub.connected_ms
        check.unverified.append(link)
    elif _is_abandoned(current, link, now):
        check.abandoned.append(link)


def _is_silent(link: HubLink, now: float) -> bool:
    return now - link.last_received_ms > SUSPECT_SILENCE_MS


def _take_expired_probes(hub: Hub, now: float) -> list[PendingProbe]:
    expired = [key for key, probe in hub.pending_probes.items() if now > probe.deadline_ms]
    return [hub.pending_probes.pop(key) for key in expired]


def _is_unresponsive(hub: Hub, link: HubLink, now: float, unresponsive_ms: float) -> bool:
    """Whether set-ups on it get no whole message back: its lab hub may still answer on another connection."""
    is_suspect = link.was_stalled or link.unresponsive_for_ms(now) > unresponsive_ms
    return is_suspect and now - hub.last_suspected_ms > REPLACE_INTERVAL_MS


def _is_abandoned(current: HubLink | None, link: HubLink, now: float) -> bool:
    """Whether to give up a replaced connection: the new one gets answers, or too long has passed.

    One on which nothing has come yet is kept for longer: a slow lab hub would never be heard otherwise.
    """
    if link.probed_ms <= 0 or (link.last_received_ms >= link.probed_ms and not link.was_stalled):
        return False
    if current is not None and current.last_answer_ms > link.probed_ms:
        return now - link.probed_ms > PROBE_REPLY_TIMEOUT_MS
    if not link.heard and now - link.opened_ms < FIRST_MESSAGE_TIMEOUT_MS:
        return False
    return now - link.probed_ms > MAX_UNRESPONSIVE_MS


def _overdue_links(hub: Hub, now: float, make_room: bool) -> list[HubLink]:
    """Connections to close at once: their lab hub does not close them, is gone, or has too many."""
    if hub.removed and hub.declared_failed:
        return list(hub.pending)
    finishing = [link for link in hub.pending if link.finishing]
    overdue = [link for link in finishing if now - link.finishing_ms > FINISH_TIMEOUT_MS]
    return overdue or (finishing[:1] if make_room else [])
