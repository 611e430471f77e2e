"""Tests of the guard against serving on an old configuration."""

from __future__ import annotations

import datetime

from hibiscusstile.configuration import fetching, freshness
from tests import builders


class _Revision:
    value = 5


def _guard() -> tuple[
    freshness.FreshnessTracker, builders.ManualClock, type[_Revision]
]:
    clock = builders.ManualClock()
    _Revision.value = 5
    return (
        freshness.FreshnessTracker(clock, lambda: _Revision.value),
        clock,
        _Revision,
    )


def test_a_process_that_confirmed_nothing_is_not_fresh() -> None:
    """Guards a process that just started."""
    guard, _, _ = _guard()
    assert not guard.is_fresh


def test_after_a_pause_an_answer_to_an_old_question_confirms_nothing() -> None:
    """Guards against an answer that waited in a socket during SIGSTOP."""
    guard, clock, _ = _guard()
    guard.confirm()
    assert guard.is_fresh
    asked_s = clock.monotonic()
    clock.advance(datetime.timedelta(minutes=10).total_seconds())
    assert not guard.is_fresh
    guard.confirm(asked_s)
    assert not guard.is_fresh
    guard.confirm(clock.monotonic())
    assert guard.is_fresh


def test_a_newer_revision_elsewhere_holds_until_it_is_in_force() -> None:
    """Guards against serving on a revision known to be old."""
    guard, clock, revision = _guard()
    guard.note_revision(6)
    guard.confirm()
    assert not guard.is_fresh
    revision.value = 6
    assert guard.is_fresh
    guard.note_revision(4)
    assert guard.is_fresh
    clock.advance(freshness.MAX_CONFIRMATION_AGE.total_seconds() + 0.1)
    assert not guard.is_fresh


def test_a_revision_that_the_log_does_not_hold_is_forgotten() -> None:
    """Guards against one wrong message that stops an instance for good."""
    guard, clock, _ = _guard()
    early_s = clock.monotonic()
    clock.advance(1)
    guard.note_revision(10**9)
    guard.confirm_end_of_log(early_s)
    assert guard.is_behind
    clock.advance(1)
    guard.confirm_end_of_log(clock.monotonic())
    assert guard.is_fresh


def test_one_fetch_at_a_time_and_the_whole_state_after_a_refusal() -> None:
    """Guards against a fetch for each of a thousand messages a second."""
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
