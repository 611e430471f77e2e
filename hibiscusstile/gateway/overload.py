"""Refuses requests early that every server would answer too late."""

from __future__ import annotations

import datetime

from hibiscusstile import outcome

__all__ = ["refusal"]

# Callers leave a stream without an event after four times its target; work
# on a request that has waited so long is lost for everybody. Half of that
# leaves room for errors of the estimate.
_MAX_TARGET_MULTIPLE = 2.0
# A request that comes back sooner than the present queue has been served is
# refused again. Callers wait up to a third of their time, 3.3 s at most.
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 3.0


def refusal(expected_s: float, target_s: float) -> outcome.Refusal | None:
    """Returns the refusal of a request, None if it should be sent.

    Args:
        expected_s: Time to the first event at the best server.
        target_s: Time in which the answer has its full value.
    """
    limit_s = _MAX_TARGET_MULTIPLE * target_s
    if expected_s <= limit_s:
        return None
    retry_after_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, expected_s))
    return outcome.Refusal(
        outcome.Reason.OVERLOADED,
        "no server can answer in time",
        retry_after=datetime.timedelta(seconds=round(retry_after_s, 2)),
    )
