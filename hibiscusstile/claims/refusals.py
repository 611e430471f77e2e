"""Refusals of keyed calls."""

from __future__ import annotations

import datetime

from hibiscusstile import outcome

__all__ = [
    "claim_unavailable",
    "key_conflict",
    "may_have_run",
    "reply_unavailable",
    "start_deadline_exceeded",
]

_RETRY_AFTER = datetime.timedelta(seconds=1)


def claim_unavailable(
    reason: outcome.Reason = outcome.Reason.LOG_UNAVAILABLE,
    verdict: outcome.Verdict = outcome.Verdict.NOT_RUN,
) -> outcome.Refusal:
    """Returns the refusal when the log cannot record the key."""
    message = "the log cannot record the Idempotency-Key now"
    if reason is outcome.Reason.OVERLOADED:
        message = "too many keyed calls are remembered"
    return outcome.Refusal(reason, message, verdict, _RETRY_AFTER)


def start_deadline_exceeded() -> outcome.Refusal:
    """Returns the refusal when a call did not start in time."""
    return outcome.Refusal(
        outcome.Reason.EXPIRED,
        "the call's time to start has passed",
        retry_after=_RETRY_AFTER,
    )


def key_conflict() -> outcome.Refusal:
    """Returns the refusal of a key that stands for another request."""
    return outcome.Refusal(
        outcome.Reason.KEY_CONFLICT,
        "the Idempotency-Key was used for another request",
    )


def may_have_run() -> outcome.Refusal:
    """Returns the refusal when a run of the key has no known end."""
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        "an earlier call with this Idempotency-Key may have run",
        outcome.Verdict.MAY_HAVE_RUN,
    )


def reply_unavailable() -> outcome.Refusal:
    """Returns the refusal when a run's answer is no longer kept."""
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        "an earlier call with this Idempotency-Key ran; "
        "its answer is no longer kept",
        outcome.Verdict.RAN,
    )
