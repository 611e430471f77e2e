"""Tests of how an entry instance retries plain-service calls."""

from __future__ import annotations

from typing import Any

import pytest

from hibiscusstile import outcome, retrybudget
from hibiscusstile.entry import calls
from tests import builders

_NOT_RUN = outcome.Refusal(outcome.Reason.OVERLOADED, "full")
_LOG_DOWN = outcome.Refusal(outcome.Reason.LOG_UNAVAILABLE, "down")
_FAILED = outcome.Refusal(
    outcome.Reason.BACKEND_FAILED, "lost", outcome.Verdict.MAY_HAVE_RUN
)


async def _refused(
    work: calls.CallWork, *answers: outcome.Refusal | None
) -> tuple[outcome.Refusal, int]:
    """Runs a call; the n-th attempt gets the n-th answer on any sidecar.

    Returns:
        The final refusal and the number of attempts.
    """
    queue = list(answers)

    class Shared(builders.ScriptedLink):
        def open_channel(self, attempt_id: str) -> Any:
            self._answers = [queue.pop(0)]
            return super().open_channel(attempt_id)

    links = [Shared("s1"), Shared("s2"), Shared("s3")]
    fleet: Any = builders.ScriptedFleet(*links)
    runner = calls.Calls(
        fleet, retrybudget.RetryBudget(), builders.ManualClock()
    )
    with pytest.raises(outcome.Refused) as caught:
        await runner.run(work)
    return caught.value.refusal, sum(len(link.sent) for link in links)


async def test_lost_call_without_key_is_not_retried() -> None:
    """Guards against a duplicate run of a call without idempotency key."""
    refusal, attempts = await _refused(builders.call_work(None), None)
    assert refusal.verdict is outcome.Verdict.MAY_HAVE_RUN
    assert attempts == 1


async def test_refused_call_is_retried_on_other_sidecars() -> None:
    """Guards against failing a call that another sidecar could run."""
    refusal, attempts = await _refused(
        builders.call_work(None), _NOT_RUN, _NOT_RUN, _NOT_RUN
    )
    assert refusal.verdict is outcome.Verdict.NOT_RUN
    assert attempts == 3


async def test_not_run_of_second_sidecar_does_not_cover_the_first() -> None:
    """Guards against `not_run` for a call that a lost sidecar may run."""
    refusal, attempts = await _refused(
        builders.call_work("k1"), None, _LOG_DOWN
    )
    assert refusal.reason is outcome.Reason.LOG_UNAVAILABLE
    assert refusal.verdict is outcome.Verdict.MAY_HAVE_RUN
    assert attempts == 2


async def test_may_have_run_from_the_ledger_is_final() -> None:
    """Guards against a retry that can only return the same result."""
    refusal, attempts = await _refused(builders.call_work("k1"), _FAILED)
    assert refusal.verdict is outcome.Verdict.MAY_HAVE_RUN
    assert attempts == 1


async def test_idempotent_method_is_retried_after_a_lost_connection() -> None:
    """Guards against failing a read that a retry could have answered."""
    work = builders.call_work(None, method="GET")
    refusal, attempts = await _refused(work, None, _FAILED, _NOT_RUN)
    assert refusal.verdict is outcome.Verdict.MAY_HAVE_RUN
    assert attempts == 3
