"""Tests of configuration freshness and of fetch pacing."""

from __future__ import annotations

import datetime

from hibiscusstile.configuration import fetching, freshness
from tests import builders


class _Revision:
    value = 5


def _tracker() -> tuple[
    freshness.FreshnessTracker, builders.ManualClock, type[_Revision]
]:
    clock = builders.ManualClock()
    _Revision.value = 5
    return (
        freshness.FreshnessTracker(clock, lambda: _Revision.value),
        clock,
        _Revision,
    )


def test_an_unconfirmed_process_is_not_fresh() -> None:
    """Guards against serving right after a start."""
    tracker, _, _ = _tracker()
    assert not tracker.is_fresh


def test_a_response_to_a_request_before_a_pause_does_not_confirm() -> None:
    """Guards against a response buffered in a socket during SIGSTOP."""
    tracker, clock, _ = _tracker()
    tracker.confirm()
    assert tracker.is_fresh
    sent_s = clock.monotonic()
    clock.advance(datetime.timedelta(minutes=10).total_seconds())
    assert not tracker.is_fresh
    tracker.confirm(sent_s)
    assert not tracker.is_fresh
    tracker.confirm(clock.monotonic())
    assert tracker.is_fresh


def test_a_newer_peer_revision_blocks_until_it_is_in_force() -> None:
    """Guards against serving with a revision known to be outdated."""
    tracker, clock, revision = _tracker()
    tracker.note_revision(6)
    tracker.confirm()
    assert not tracker.is_fresh
    revision.value = 6
    assert tracker.is_fresh
    tracker.note_revision(4)
    assert tracker.is_fresh
    clock.advance(freshness.MAX_CONFIRMATION_AGE.total_seconds() + 0.1)
    assert not tracker.is_fresh


def test_a_revision_that_is_not_on_the_log_is_discarded() -> None:
    """Guards against one wrong message that blocks an instance forever."""
    tracker, clock, _ = _tracker()
    early_s = clock.monotonic()
    clock.advance(1)
    tracker.note_revision(10**9)
    tracker.confirm_end_of_log(early_s)
    assert tracker.is_behind
    clock.advance(1)
    tracker.confirm_end_of_log(clock.monotonic())
    assert tracker.is_fresh


def test_fetches_are_rate_limited_and_full_after_a_refusal() -> None:
    """Guards against one fetch for each of 1,000 messages a second."""
    clock = builders.ManualClock()
    pacer = fetching.FetchPacer(clock, lambda: 5)
    assert pacer.next_fetch(5) is None
    assert [pacer.next_fetch(6) for _ in range(3)] == [5, None, None]
    pacer.note_fetch_result(refused=True)
    clock.advance(1.1)
    assert pacer.next_fetch(6) == -1
    pacer.note_fetch_result(refused=False)
    clock.advance(1.1)
    assert pacer.next_fetch(6) == 5
    assert pacer.next_retry() is None
    clock.advance(1.1)
    assert pacer.next_retry() == 5
