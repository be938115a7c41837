"""Which calls a lost connection leaves in doubt, and when further connections are opened for them."""

from __future__ import annotations

import pytest

from landingdeal.net.hub_calls import (
    END_NOTICE_MS,
    RECOVERY_INTERVALS_MS,
    RECOVERY_RETRY_MS,
    ConnectionEnd,
    HubCalls,
)
from landingdeal.net.hubs import CHECK_INTERVAL_MS

PROMPT_LIMIT_MS = 1000.0  # from a release by the lab hub to the notification of its caller
LIMIT_MS = 8000.0  # from the end of a call to the notification of its caller


def calls_on(connection: int, *call_ids: str) -> HubCalls:
    calls = HubCalls()
    calls.connection_opened(connection, 0.0)
    for call_id in call_ids:
        calls.call_established(call_id, connection)
    return calls


def openings(
    calls: HubCalls,
    until_ms: float,
    first_number: int = 100,
    end: ConnectionEnd = ConnectionEnd.CLOSED_BY_HUB,
) -> list[float]:
    """Opens a connection whenever one is due and ends it, in good order by default; returns the times."""
    times: list[float] = []
    for now in range(0, int(until_ms), 100):
        if calls.recovery_due(now):
            number = first_number + len(times)
            calls.recovery_opened(number, now)
            calls.connection_ended(number, now + 50, end)
            times.append(float(now))
    return times


def test_a_connection_closed_by_the_hub_leaves_no_call_in_doubt() -> None:
    calls = calls_on(1, "a")
    calls.connection_ended(1, 0.0, ConnectionEnd.CLOSED_BY_HUB)
    assert not calls.in_doubt() and not openings(calls, 60_000)


@pytest.mark.parametrize("ended", [True, False])
def test_connections_are_opened_within_the_limit_for_as_long_as_a_call_is_in_doubt(ended: bool) -> None:
    calls = calls_on(1, "a")
    if ended:
        calls.connection_ended(1, 0.0, ConnectionEnd.LOST)
    else:
        calls.connection_silent(1, 0.0)
    times = openings(calls, 120_000)
    assert calls.in_doubt() == ["a"]
    gaps = [later - earlier for earlier, later in zip([0.0, *times], [*times, 120_000.0], strict=True)]
    assert max(gaps) <= LIMIT_MS / 2 + 100, "no room for a connect that fails"
    calls.call_ended("a")
    assert not openings(calls, 60_000, 1000)[1:]


def test_a_silent_connection_closed_by_the_hub_is_followed_by_one_more_after_the_hub_saw_the_end() -> None:
    calls = calls_on(1, "a")
    calls.connection_silent(1, 0.0)
    calls.connection_ended(1, 500.0, ConnectionEnd.CLOSED_BY_HUB)
    times = openings(calls, 60_000)
    assert [time >= 500.0 + END_NOTICE_MS for time in times] == [False, True]


@pytest.mark.parametrize("end", ConnectionEnd)
def test_the_end_of_a_silent_connection_does_not_put_off_a_connection_that_is_due_before(
    end: ConnectionEnd,
) -> None:
    """A release written just after the connection fell silent would be received after more than 1 s."""
    calls = calls_on(1, "a")
    calls.connection_silent(1, 0.0)
    calls.connection_ended(1, RECOVERY_INTERVALS_MS[0] - 50.0, end)
    first, second = openings(calls, 1500.0)[:2]
    assert first == RECOVERY_INTERVALS_MS[0]
    assert second >= RECOVERY_INTERVALS_MS[0] - 50.0 + END_NOTICE_MS


def test_connections_are_opened_for_releases_within_a_second_for_as_long_as_a_connection_is_silent() -> None:
    calls = calls_on(1, "a")
    calls.connection_silent(1, 0.0)
    times = openings(calls, 12_000)
    gaps = [later - earlier for earlier, later in zip([0.0, *times], [*times, 12_000.0], strict=True)]
    assert max(gaps) <= PROMPT_LIMIT_MS - CHECK_INTERVAL_MS
    calls.connection_ended(1, 12_000.0, ConnectionEnd.LOST)
    late_times = openings(calls, 120_000, 1000)
    assert late_times[-1] - late_times[-2] >= RECOVERY_INTERVALS_MS[-1], "fewer once it has ended"


def test_calls_on_a_sound_connection_are_not_in_doubt_when_another_one_is_lost() -> None:
    calls = calls_on(1, "a")
    calls.connection_opened(2, 100.0)
    calls.call_established("b", 2)
    calls.connection_ended(1, 200.0, ConnectionEnd.LOST)
    assert calls.in_doubt() == ["a"]


def test_a_call_of_a_closed_connection_is_in_doubt_while_another_one_is_silent() -> None:
    """Without the connection of its set-up, its release may go to any that the lab hub takes for open."""
    calls = calls_on(1, "a")
    calls.connection_opened(2, 100.0)
    calls.connection_ended(1, 200.0, ConnectionEnd.CLOSED_BY_HUB)
    calls.connection_silent(2, 300.0)
    assert calls.in_doubt() == ["a"]
    calls.connection_heard(2)
    assert not calls.in_doubt() and not openings(calls, 60_000)


def test_a_connect_that_fails_is_tried_again() -> None:
    calls = calls_on(1, "a")
    calls.connection_ended(1, 0.0, ConnectionEnd.LOST)
    assert calls.recovery_due(RECOVERY_INTERVALS_MS[0])
    calls.recovery_failed(1500.0)
    assert not calls.recovery_due(1400.0 + RECOVERY_RETRY_MS)
    assert calls.recovery_due(1500.0 + RECOVERY_RETRY_MS)


def test_a_hub_that_resets_each_recovery_connection_is_connected_at_growing_intervals() -> None:
    calls = calls_on(1, "a")
    calls.connection_opened(2, 100.0)
    calls.call_established("b", 2)
    calls.connection_ended(1, 200.0, ConnectionEnd.LOST)
    calls.call_ended("a")
    times = openings(calls, 30_000, end=ConnectionEnd.LOST)
    assert times[-1] - times[-2] >= RECOVERY_INTERVALS_MS[-1]


@pytest.mark.parametrize(("call_connection", "followed"), [(1, True), (2, False)])
def test_a_reset_that_answers_our_close_is_followed_only_if_calls_were_set_up_there(
    call_connection: int, followed: bool
) -> None:
    calls = calls_on(1)
    calls.connection_opened(2, 100.0)
    calls.call_established("a", call_connection)
    calls.connection_ended(1, 200.0, ConnectionEnd.ENDED_BY_HUB)
    assert len(openings(calls, 60_000)) == followed
