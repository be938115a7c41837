"""What is written to a connection that this side closes or loses: releases, answers, BYE, ACK and CANCEL."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from badgerstile.interface import AttemptOutcome
from landingdeal.clock import now_ms
from landingdeal.core.events import AttemptFailed, HubFailed, HubReleased
from landingdeal.net import hub as hub_module
from landingdeal.net import hub_connector
from landingdeal.net import link as link_module
from landingdeal.net.hub import MIN_RESTART_MS
from landingdeal.net.hub_calls import END_NOTICE_MS
from landingdeal.net.hub_check import MAX_CONNECTIONS, SUSPECT_SILENCE_MS
from landingdeal.net.hub_connector import REDIAL_INTERVAL_MS
from tests.releasing_hub import HUB_NAME, HubConnectionsHarness

RELEASE_LIMIT_MS = 8050.0  # PROTOCOL: within 8 s of its end, and each limit is 50 ms longer
PROMPT_RELEASE_LIMIT_MS = 1050.0  # within 1 s of a release that could be sent
MALFORMED_ANSWER = b"SIP/2.0 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def harness() -> Iterator[HubConnectionsHarness]:
    harness = HubConnectionsHarness()
    yield harness
    harness.end()


@pytest.mark.parametrize("passes_on_after_ms", [0.0, 1500.0, None])
def test_a_release_written_to_a_replaced_connection_is_received_in_time(
    harness: HubConnectionsHarness, passes_on_after_ms: float | None
) -> None:
    """review/1: the connection is replaced while silent, and the call ends after the new one was opened."""
    harness.establish("a")
    silent = harness.replace_current()
    harness.hub.release("a")
    if passes_on_after_ms is not None:
        harness.pass_time(passes_on_after_ms)
        silent.pass_on()
    harness.wait_for(lambda: "a" in harness.released(), RELEASE_LIMIT_MS)
    assert not any(isinstance(event, HubFailed) for event in harness.events)


@pytest.mark.parametrize("lost_by", ["reset", "bytes that are no message", "message that is not whole"])
def test_a_release_written_to_a_connection_that_only_this_side_has_lost_is_received_in_time(
    harness: HubConnectionsHarness, lost_by: str
) -> None:
    """The lab hub takes the connection for open, and has repeated on the new one what went before."""
    connection = harness.establish("a")
    connection.reading.clear()
    match lost_by:
        case "reset":
            connection.reset()
        case "bytes that are no message":
            connection.write(b"\x01\x02\r\n\r\n")
        case _:
            connection.write(MALFORMED_ANSWER[:20])
    harness.wait_for_connection(1)
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), RELEASE_LIMIT_MS)


def test_a_hub_that_answers_our_close_with_a_reset_is_not_connected_again_and_again(
    harness: HubConnectionsHarness,
) -> None:
    harness.hub.resets_closed_connections = True
    harness.establish("a").reset()
    harness.wait_for_connection(2)
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), RELEASE_LIMIT_MS)
    harness.pass_time(2 * END_NOTICE_MS)
    count = len(harness.hub.connections)
    harness.pass_time(4 * END_NOTICE_MS)
    assert len(harness.hub.connections) == count and len(harness.state.pending) == 1


def test_a_release_that_crosses_the_loss_of_its_connection_is_received_within_a_second(
    harness: HubConnectionsHarness,
) -> None:
    """The lab hub can send it: it sees the end soon after."""
    connection = harness.establish("a")
    connection.reading.clear()
    connection.write(b"\x01\x02\r\n\r\n")
    harness.wait_for_connection(1)
    harness.hub.release("a")
    connection.reading.set()
    harness.wait_for(lambda: "a" in harness.released(), PROMPT_RELEASE_LIMIT_MS - 250.0)


def test_a_replaced_connection_on_which_its_hub_has_nothing_to_say_is_not_taken_for_lost(
    harness: HubConnectionsHarness,
) -> None:
    connection = harness.establish("a")
    harness.dial_again()
    harness.pass_time(500.0)
    connection.carries_state = False
    harness.pass_time(SUSPECT_SILENCE_MS + 3 * END_NOTICE_MS)
    assert harness.hub.open == harness.hub.connections and len(harness.hub.open) == 2
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), PROMPT_RELEASE_LIMIT_MS)


def test_a_reset_of_a_replaced_connection_that_lives_releases_no_call(
    harness: HubConnectionsHarness,
) -> None:
    connection = harness.establish("a")
    harness.dial_again()
    harness.pass_time(500.0)
    assert connection in harness.hub.open
    connection.reset()
    harness.pass_time(2 * END_NOTICE_MS)
    assert not [event for event in harness.events if isinstance(event, HubFailed | HubReleased)]
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), RELEASE_LIMIT_MS)


def test_a_reset_of_a_silent_connection_releases_no_call_of_a_hub_that_was_not_away(
    harness: HubConnectionsHarness,
) -> None:
    """Its other connection came up at once: its process was not restarted since the last message."""
    harness.establish("a")
    silent = harness.replace_current()
    silent.reset()
    harness.pass_time(2 * END_NOTICE_MS)
    assert not [event for event in harness.events if isinstance(event, HubFailed | HubReleased)]
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), RELEASE_LIMIT_MS)


def test_a_slow_connect_after_a_reset_releases_no_call_of_a_hub_that_is_heard_meanwhile(
    harness: HubConnectionsHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness.establish("a")
    current = harness.dial_again()
    harness.pass_time(500.0)

    def slow_dial(host: str, port: int, deadline_ms: float) -> socket.socket:
        time.sleep((MIN_RESTART_MS + 100.0) / 1000)
        return link_module.dial(host, port, deadline_ms + MIN_RESTART_MS)

    monkeypatch.setattr(hub_connector, "dial", slow_dial)
    current.reset()
    harness.wait_for_connection(2)
    harness.pass_time(END_NOTICE_MS)
    assert not [event for event in harness.events if isinstance(event, HubFailed | HubReleased)]


def test_a_hub_that_refuses_further_connections_and_is_heard_on_another_one_keeps_its_calls(
    harness: HubConnectionsHarness,
) -> None:
    """Hubs accept a limited number of connections; a refused connect does not show that the process ended."""
    harness.establish("a")
    current = harness.dial_again()
    harness.pass_time(500.0)
    harness.hub.stop_listening()
    current.reset()
    harness.pass_time(4 * REDIAL_INTERVAL_MS)
    assert not [event for event in harness.events if isinstance(event, HubFailed | HubReleased)]
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), PROMPT_RELEASE_LIMIT_MS)


def test_a_hub_that_refuses_connections_and_is_not_heard_any_more_has_failed(
    harness: HubConnectionsHarness,
) -> None:
    connection = harness.establish("a")
    current = harness.dial_again()
    harness.pass_time(500.0)
    harness.hub.stop_listening()
    for ended in (connection, current):
        ended.reset()
    harness.wait_for(lambda: any(isinstance(event, HubFailed) for event in harness.events), 1000.0)


def test_the_removal_of_a_hub_that_is_heard_after_a_reset_releases_no_call(
    harness: HubConnectionsHarness,
) -> None:
    """The list may be late: the reset was not the end of its process."""
    harness.establish("a").reset()
    harness.wait_for_connection(1)
    harness.pass_time(MIN_RESTART_MS + 100.0)
    harness.hubs.update_hub(HUB_NAME, harness.hub.address, True)
    harness.pass_time(END_NOTICE_MS)
    assert not [event for event in harness.events if isinstance(event, HubFailed | HubReleased)]


def test_replaced_connections_with_calls_are_kept_up_to_the_limit_and_then_the_oldest_is_closed(
    harness: HubConnectionsHarness,
) -> None:
    for call in ("a", "b", "c", "d"):
        harness.establish(call)
        harness.dial_again()
        harness.pass_time(300.0)
    assert harness.hub.open == harness.hub.connections[-(MAX_CONNECTIONS - 1) :]
    for call in ("a", "b", "c", "d"):
        harness.hub.release(call)
    harness.wait_for(lambda: harness.released() >= {"a", "b", "c", "d"}, PROMPT_RELEASE_LIMIT_MS)


def test_connections_that_fall_silent_one_after_another_do_not_go_over_the_limit(
    harness: HubConnectionsHarness,
) -> None:
    """Each is read for seconds after it was given up, and state is sent on four connections at most."""
    for number in range(2 * MAX_CONNECTIONS):
        harness.replace_current()
        harness.establish(str(number))  # the new connection gets answers
        harness.hubs.forget(HUB_NAME, str(number))
        harness.pass_time(700.0)
        assert len(harness.state.pending) <= MAX_CONNECTIONS


def test_releases_written_while_a_connection_is_silent_for_a_while_are_received_within_a_second(
    harness: HubConnectionsHarness,
) -> None:
    calls = [str(number) for number in range(9)]
    for call in calls:
        harness.establish(call)
    harness.replace_current()
    ended_ms: dict[str, float] = {}
    for call in calls:
        harness.hub.release(call)
        ended_ms[call] = now_ms()
        harness.pass_time(200.0)
    harness.wait_for(lambda: harness.released() >= set(calls), RELEASE_LIMIT_MS)
    released_ms = {event.call_id: at_ms for at_ms, event in harness.timed_releases}
    assert max(released_ms[call] - ended_ms[call] for call in calls) < PROMPT_RELEASE_LIMIT_MS


def test_a_recovery_that_fails_unexpectedly_is_tried_again(
    harness: HubConnectionsHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    failures = iter([UnicodeError("a host name that can't be encoded")])

    def failing_dial(host: str, port: int, deadline_ms: float) -> socket.socket:
        if threading.current_thread().name == "recovery" and (error := next(failures, None)):
            raise error
        return link_module.dial(host, port, deadline_ms)

    monkeypatch.setattr(hub_connector, "dial", failing_dial)
    harness.establish("a")
    harness.replace_current()
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), RELEASE_LIMIT_MS)
    assert next(failures, None) is None


def test_a_call_that_stands_is_not_released_when_its_connection_is_lost(
    harness: HubConnectionsHarness,
) -> None:
    connection = harness.establish("a")
    connection.reading.clear()
    connection.reset()
    harness.pass_time(RELEASE_LIMIT_MS + 1000.0)
    assert not [event for event in harness.events if isinstance(event, HubFailed | HubReleased)]
    assert not any("BYE" in on.received_methods("a") for on in harness.hub.connections)
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), RELEASE_LIMIT_MS)


@pytest.mark.parametrize("closed_for", ["being replaced", "a malformed message"])
def test_a_release_that_crosses_our_replacement_of_a_connection_is_received(
    harness: HubConnectionsHarness, closed_for: str
) -> None:
    """The lab hub has repeated on the new connection what went before, and sees no close yet."""
    connection = harness.establish("a")
    connection.reading.clear()
    if closed_for == "being replaced":
        harness.dial_again()
        harness.pass_time(500.0)
    else:
        connection.write(MALFORMED_ANSWER)
        harness.wait_for_connection(1)
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), PROMPT_RELEASE_LIMIT_MS)
    assert len(harness.hub.connections) == 2, "it was received on the connection itself"


def test_a_release_that_a_message_cut_off_before_has_swallowed_is_received(
    harness: HubConnectionsHarness,
) -> None:
    """The two make one malformed message; the lab hub closes the connection in good order afterwards."""
    connection = harness.establish("a")
    connection.reading.clear()
    connection.write(MALFORMED_ANSWER)
    harness.wait_for_connection(1)
    connection.write(MALFORMED_ANSWER[:20])
    harness.hub.release("a")
    harness.pass_time(100.0)
    connection.reading.set()
    harness.wait_for(lambda: "a" in harness.released(), PROMPT_RELEASE_LIMIT_MS)


def test_our_release_that_was_not_read_before_a_reset_is_sent_on_the_next_connection(
    harness: HubConnectionsHarness,
) -> None:
    connection = harness.establish("a")
    connection.reading.clear()
    harness.hubs.release(HUB_NAME, "a")
    harness.pass_time(100.0)
    connection.reset()
    harness.wait_for_connection(1)
    harness.wait_for(lambda: "BYE" in harness.hub.connections[1].received_methods("a"))


def test_our_release_that_was_confirmed_is_not_sent_again(harness: HubConnectionsHarness) -> None:
    connection = harness.establish("a")
    harness.hubs.release(HUB_NAME, "a")
    harness.wait_for(lambda: "BYE" in connection.received_methods("a"))
    harness.pass_time(100.0)
    connection.reset()
    harness.wait_for_connection(1)
    harness.pass_time(END_NOTICE_MS + 500.0)
    assert all(not on.received_methods("a") for on in harness.hub.connections[1:])


def test_an_answer_that_crosses_a_cancel_and_comes_on_another_connection_is_released(
    harness: HubConnectionsHarness,
) -> None:
    harness.hub.answers = False
    attempt = harness.set_up("a")
    harness.hubs.cancel(attempt)
    connection = harness.dial_again()
    harness.hub.answer("a", connection)
    harness.wait_for(lambda: connection.received_methods("a") == ["ACK", "BYE"])


def test_a_call_whose_answer_was_lost_with_its_connection_is_released_at_its_hub(
    harness: HubConnectionsHarness,
) -> None:
    harness.hub.answers = False
    attempt = harness.set_up("a")
    harness.hub.connections[0].reset()
    harness.wait_for(lambda: AttemptFailed(attempt, AttemptOutcome.CANCELLED) in harness.events)
    connection = harness.wait_for_connection(1)
    harness.wait_for(lambda: connection.received_methods("a") == ["BYE"])


def test_a_call_whose_answer_was_written_to_a_silent_connection_is_released_at_its_hub(
    harness: HubConnectionsHarness,
) -> None:
    """The lab hub reads there and writes there, but nothing of it arrives, its close neither."""
    harness.hub.connections[0].passing.clear()
    attempt = harness.set_up("a")
    connection = harness.dial_again()
    harness.wait_for(lambda: AttemptFailed(attempt, AttemptOutcome.CANCELLED) in harness.events)
    harness.wait_for(lambda: connection.received_methods("a") == ["BYE"], 2 * END_NOTICE_MS)


def test_a_set_up_that_was_cancelled_long_before_its_connection_was_lost_is_not_released(
    harness: HubConnectionsHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(hub_module, "CROSSING_ANSWER_MS", 100.0)
    harness.hub.answers = False
    harness.hubs.cancel(harness.set_up("a"))
    harness.pass_time(300.0)
    harness.hub.connections[0].reset()
    harness.wait_for_connection(1)
    harness.pass_time(3 * END_NOTICE_MS)
    assert not any(on.received_methods("a") for on in harness.hub.connections[1:])


def test_a_call_that_is_set_up_again_at_its_hub_is_not_released_for_its_first_attempt(
    harness: HubConnectionsHarness,
) -> None:
    """The release of a lost answer would end the call that stands by then."""
    harness.hub.answers = False
    harness.set_up("a")
    harness.hub.connections[0].reset()
    connection = harness.wait_for_connection(1)
    harness.hub.answers = True
    harness.pass_time(300.0)
    harness.hubs.set_up(harness.attempt("a"))
    harness.pass_time(2 * END_NOTICE_MS)
    assert connection.received_methods("a") == ["INVITE", "ACK"]


def test_an_answer_that_is_repeated_on_another_connection_is_acknowledged_again(
    harness: HubConnectionsHarness,
) -> None:
    """Its ACK may have been lost with the first connection."""
    harness.establish("a").reset()
    connection = harness.wait_for_connection(1)
    harness.hub.answer("a", connection)
    harness.wait_for(lambda: connection.received_methods("a") == ["ACK"])


def test_a_removed_hub_that_closes_its_connection_can_still_release_its_calls(
    harness: HubConnectionsHarness,
) -> None:
    """The list may be wrong or late: a call that stands there is neither cut nor left standing."""
    connection = harness.establish("a")
    harness.hubs.update_hub(HUB_NAME, harness.hub.address, True)
    harness.hub.closed(connection)
    harness.wait_for_connection(1)
    harness.hub.release("a")
    harness.wait_for(lambda: "a" in harness.released(), PROMPT_RELEASE_LIMIT_MS)
    assert not any(isinstance(event, HubFailed) for event in harness.events)


def test_releases_repeated_on_a_connection_that_gets_no_thread_at_first_are_received(
    harness: HubConnectionsHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The lab hub repeats a release once: on a connection that is closed unread it would be lost."""
    connection = harness.establish("a")
    refusals = iter(["reader", "writer"])
    due = [next(refusals)]

    def start(thread: threading.Thread) -> None:
        if thread.name in due:
            due[:] = [next(refusals, "")]
            raise RuntimeError("can't start new thread")
        original_start(thread)

    original_start = threading.Thread.start
    monkeypatch.setattr(threading.Thread, "start", start)
    monkeypatch.setattr(link_module, "THREAD_START_TIMEOUT_MS", 0.0)
    connection.passing.clear()
    harness.hub.release("a")
    connection.reset()
    harness.wait_for(lambda: "a" in harness.released(), RELEASE_LIMIT_MS)
    harness.wait_for(lambda: due == [""])
    harness.pass_time(2 * REDIAL_INTERVAL_MS)
    harness.establish("b")
    assert harness.hub.connections[1] in harness.hub.open, "the connection is kept until it has its threads"
