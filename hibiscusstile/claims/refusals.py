"""Refusals of calls with an idempotency key."""

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
    """Returns the refusal of a key that cannot be claimed now."""
    message = "the Idempotency-Key cannot be recorded in the log now"
    if reason is outcome.Reason.OVERLOADED:
        message = "too many Idempotency-Keys are in use"
    return outcome.Refusal(reason, message, verdict, _RETRY_AFTER)


def start_deadline_exceeded() -> outcome.Refusal:
    """Returns the refusal of a call that did not start in time."""
    return outcome.Refusal(
        outcome.Reason.EXPIRED,
        "the call did not start before its deadline",
        retry_after=_RETRY_AFTER,
    )


def key_conflict() -> outcome.Refusal:
    """Returns the refusal of a key that belongs to another request."""
    return outcome.Refusal(
        outcome.Reason.KEY_CONFLICT,
        "the Idempotency-Key was already used for a different request",
    )


def may_have_run() -> outcome.Refusal:
    """Returns the refusal of a key whose run has no known result."""
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        "an earlier call with this Idempotency-Key may have run",
        outcome.Verdict.MAY_HAVE_RUN,
    )


def reply_unavailable() -> outcome.Refusal:
    """Returns the refusal of a key whose reply is no longer stored."""
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        "an earlier call with this Idempotency-Key ran, "
        "but its reply is no longer stored",
        outcome.Verdict.RAN,
    )
