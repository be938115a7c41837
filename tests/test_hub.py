"""The state of one lab hub: whether it may have been restarted, and the releases that it still has to get."""

from __future__ import annotations

import pytest

from landingdeal.net.hub import MIN_RESTART_MS, Hub
from landingdeal.net.outgoing_releases import MAX_RELEASES, OutgoingReleases


@pytest.mark.parametrize(("silent_ms", "may_have_restarted"), [(MIN_RESTART_MS, False), (800.0, True)])
def test_a_hub_may_have_restarted_while_it_is_silent_and_after_it(
    silent_ms: float, may_have_restarted: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection that ends may be reset before another message comes."""
    hub = Hub(b"h", "127.0.0.1", 1)
    heard_ms = hub.last_received_ms
    assert hub.may_have_restarted_since(heard_ms, heard_ms + silent_ms) == may_have_restarted
    monkeypatch.setattr("landingdeal.net.hub.now_ms", lambda: heard_ms + silent_ms)
    hub.note_received()
    assert hub.may_have_restarted_since(heard_ms, heard_ms + silent_ms + 1.0) == may_have_restarted
    assert not hub.may_have_restarted_since(heard_ms + silent_ms, heard_ms + silent_ms + 1.0)


def test_releases_without_room_are_counted_and_the_others_are_kept() -> None:
    releases = OutgoingReleases()
    for number in range(MAX_RELEASES + 3):
        releases.queue(str(number), 0.0)
    due = releases.take_due(1.0)
    assert len(due) == MAX_RELEASES and releases.take_dropped_count() == 3
    for call_id in [*due, "another"]:
        releases.sent(call_id, 1, 0.0)
    assert releases.take_dropped_count() == 1
