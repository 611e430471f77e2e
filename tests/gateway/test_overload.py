"""Tests of early refusals."""

from __future__ import annotations

from hibiscusstile import outcome
from hibiscusstile.gateway import overload


def test_a_request_that_can_be_answered_in_time_is_sent() -> None:
    """Guards against refusals while capacity is available."""
    assert overload.refusal(0.4, 0.5) is None
    assert overload.refusal(0.5, 0.5) is None


def test_a_request_that_would_be_late_is_refused() -> None:
    """Guards against a queue in which every request is late.

    While more requests arrive than engines can serve, the queue grows up to the
    limit, and all requests wait for as long as the limit allows.
    """
    assert overload.refusal(0.6, 0.5) is not None
    assert overload.refusal(1.6, 1.5) is not None


def test_a_request_that_is_always_late_may_wait_a_little() -> None:
    """Guards against long prompts that are never served.

    Even on an idle engine they take longer than the target.
    """
    assert overload.refusal(1.7, 1.5, unloaded_s=1.65) is None
    assert overload.refusal(2.3, 1.5, unloaded_s=1.65) is None
    assert overload.refusal(2.5, 1.5, unloaded_s=1.65) is not None


def test_a_refusal_tells_when_the_queue_has_drained() -> None:
    """Guards against callers that retry into the same queue."""
    refusal = overload.refusal(2.4, 0.5)
    assert refusal is not None
    assert refusal.verdict is outcome.Verdict.NOT_RUN
    assert refusal.retry_after is not None
    assert refusal.retry_after.total_seconds() == 2.4


def test_the_retry_after_time_is_capped() -> None:
    """Guards against retry times longer than callers wait."""
    refusal = overload.refusal(60.0, 1.5)
    assert refusal is not None and refusal.retry_after is not None
    assert refusal.retry_after.total_seconds() == 3.0
