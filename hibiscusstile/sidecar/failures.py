"""Messages that report failed attempts and calls to peers."""

from __future__ import annotations

from hibiscusstile import outcome
from hibiscusstile.peers import messages

__all__ = ["INTERNAL_FAILURE", "failed_message"]

INTERNAL_FAILURE = outcome.Refusal(
    outcome.Reason.INTERNAL,
    "internal error in the sidecar while it ran the request",
    outcome.Verdict.MAY_HAVE_RUN,
)


def failed_message(
    attempt_id: str, refusal: outcome.Refusal
) -> messages.Failed:
    """Returns the `Failed` message for a refusal."""
    retry = refusal.retry_after
    return messages.Failed(
        attempt_id,
        refusal.reason,
        refusal.message,
        refusal.verdict,
        None if retry is None else retry.total_seconds(),
    )
