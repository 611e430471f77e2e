"""Early refusal of requests that the selected server would answer too late."""

from __future__ import annotations

import datetime
import math
import random

from hibiscusstile import outcome

__all__ = ["limit_s", "no_server_refusal", "refusal"]

# While more requests arrive than engines can serve, the queue grows up to the
# limit and each request waits for as long as the limit allows. A limit above
# the target would make all of them late.
_MAX_TARGET_MULTIPLE = 1.0
# Share of the target for which a request may wait that even an idle server
# answers late: refused, it would be no better off at its next attempt.
_MAX_WAIT_TARGET_SHARE = 0.5
# A request retried before the current queue has drained is refused again.
# Callers wait before a retry for up to a third of their timeout, at most 3.3 s.
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 3.0
_NO_SERVER_RETRY_AFTER_S = 0.4
# Callers that were refused for the same pause return over this time.
_PAUSE_SPREAD_S = 0.3


def limit_s(target_latency_s: float, unloaded_s: float = 0.0) -> float:
    """Returns the expected time beyond which a request is refused.

    Args:
        target_latency_s: Target latency of the route.
        unloaded_s: Part of the expected time that an idle server would need.
    """
    return max(
        _MAX_TARGET_MULTIPLE * target_latency_s,
        unloaded_s + _MAX_WAIT_TARGET_SHARE * target_latency_s,
    )


def refusal(
    expected_s: float, target_latency_s: float, unloaded_s: float = 0.0
) -> outcome.Refusal | None:
    """Returns the refusal of a request, or None if it should be sent.

    Args:
        expected_s: Expected time to the first event at the selected server.
        target_latency_s: Target latency of the route.
        unloaded_s: Part of `expected_s` that an idle server would also need.
    """
    if expected_s <= limit_s(target_latency_s, unloaded_s):
        return None
    retry_after_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, expected_s))
    return outcome.Refusal(
        outcome.Reason.OVERLOADED,
        "the selected server is not expected to respond in time",
        retry_after=datetime.timedelta(seconds=round(retry_after_s, 2)),
    )


def no_server_refusal(pause_left_s: float | None) -> outcome.Refusal:
    """Returns the refusal of a request that did not run.

    Args:
        pause_left_s: Time until the first server accepts requests again, if
            all have asked this process to pause.
    """
    if pause_left_s is None:
        return outcome.Refusal(
            outcome.Reason.OVERLOADED,
            "the request did not run and cannot be sent to a server now",
            retry_after=datetime.timedelta(seconds=_NO_SERVER_RETRY_AFTER_S),
        )
    spread_s = random.uniform(0.0, _PAUSE_SPREAD_S)
    # Rounded up, so that no caller returns before the pause ends.
    retry_after_s = math.ceil(100 * (pause_left_s + spread_s)) / 100
    return outcome.Refusal(
        outcome.Reason.OVERLOADED,
        "all servers of the service accept no requests at the moment",
        retry_after=datetime.timedelta(seconds=retry_after_s),
    )
