"""Tests of the retry budget."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstile import outcome, retrybudget
from hibiscusstile.gateway import state as state_lib
from tests import builders as base

_LOST = outcome.Refusal(
    outcome.Reason.PEER_LOST, "lost", outcome.Verdict.MAY_HAVE_RUN
)
_LEAVING = outcome.Refusal(outcome.Reason.LEAVING, "leaving")


@pytest.mark.fuzz
@given(st.lists(st.sampled_from(["first", "retry", "started"])))
def test_retries_stay_within_a_tenth_and_the_reserve(steps: list[str]) -> None:
    """Guards against retries that amplify an overload."""
    budget = retrybudget.RetryBudget()
    firsts = retries = 0
    for step in steps:
        if step == "first":
            budget.note_first_attempt()
            firsts += 1
        else:
            retries += budget.try_acquire(_LOST, started=step == "started")
        assert retries <= 10 + 0.1 * firsts + 1e-6


def test_started_streams_can_use_the_reserve() -> None:
    """Guards against cutting a stream that has already sent output."""
    budget = retrybudget.RetryBudget()
    while budget.try_acquire(_LOST):
        pass
    assert budget.try_acquire(_LOST, started=True)


def test_retries_of_a_leaving_sidecars_queue_are_free() -> None:
    """Guards against failed requests when a sidecar returns its queue.

    A planned stop refuses the whole queue at once.
    """
    budget = retrybudget.RetryBudget()
    assert all(budget.try_acquire(_LEAVING) for _ in range(1000))
    assert budget.tokens == 10.0


def test_restarts_do_not_add_retries() -> None:
    """Guards against a full reserve for each process that starts (BUDGET)."""
    policy = state_lib.RetryPolicy(share=0.18, reserve=56.0)
    firsts = retries = 0
    for _start in range(4 * 3):
        budget = state_lib.GatewayState(
            base.ManualClock(), "z1", policy
        ).budget("engines")
        for _ in range(5):
            budget.note_first_attempt()
            firsts += 1
        while budget.try_acquire(_LOST, started=True):
            retries += 1
    assert retries <= 0.2 * firsts + 56.0
