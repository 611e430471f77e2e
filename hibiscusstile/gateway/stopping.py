"""Decides which requests a process that is about to stop still serves."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import outcome

__all__ = ["StopSchedule", "refusal"]

# The load balancer checks readiness once a second and removes a process after
# two failed checks.
_LOAD_BALANCER_DELAY_S = 2.4
# Time before the kill signal that is reserved for closing connections.
_EXIT_MARGIN_S = 1.0
_MAX_EXIT_MARGIN_SHARE = 0.125
# Time for the last responses to reach their callers before the exit. Both
# margins together stay below a sixth of a short stop.
_ANSWER_MARGIN_S = 0.2
_MAX_ANSWER_MARGIN_SHARE = 0.025
# Another process serves a caller that returns, so it need not wait.
_RETRY_ELSEWHERE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a planned stop, on the monotonic clock.

    Attributes:
        accept_all_until_s: Until then all requests are served, since the load
            balancer still counts this process as ready.
        answer_until_s: Until then each request must have its final response.
        exit_s: When the process exits at the latest.
    """

    accept_all_until_s: float
    answer_until_s: float
    exit_s: float

    @classmethod
    def after_signal(cls, signalled_s: float, grace_s: float) -> StopSchedule:
        """Returns the times of a stop.

        Args:
            signalled_s: Time of the stop signal.
            grace_s: Seconds between the stop signal and the kill signal.
        """
        exit_margin_s = min(_EXIT_MARGIN_S, _MAX_EXIT_MARGIN_SHARE * grace_s)
        answer_margin_s = min(
            _ANSWER_MARGIN_S, _MAX_ANSWER_MARGIN_SHARE * grace_s
        )
        exit_s = signalled_s + max(0.0, grace_s - exit_margin_s)
        answer_until_s = max(signalled_s, exit_s - answer_margin_s)
        return cls(
            min(signalled_s + _LOAD_BALANCER_DELAY_S, answer_until_s),
            answer_until_s,
            exit_s,
        )


def refusal(
    schedule: StopSchedule,
    *,
    limit_s: float,
    now_s: float,
    others_serve: bool,
) -> outcome.Refusal | None:
    """Returns the refusal of a request that arrives during a stop.

    The load balancer sends requests to a process that is not ready if it has
    too few others, and callers use open connections, so requests are served
    whose whole time limit ends in time. How long earlier requests took is no
    bound: a stream may be many times as long as others of its route.

    Args:
        schedule: Times of the stop.
        limit_s: Longest time that the request may take.
        now_s: Time on the monotonic clock.
        others_serve: Whether there are processes that do not stop.

    Returns:
        The refusal, or None if the request should be served.
    """
    if now_s < schedule.accept_all_until_s:
        return None
    time_left_s = schedule.answer_until_s - now_s
    if limit_s <= time_left_s:
        return None
    retry_after_s = (
        _RETRY_ELSEWHERE_S
        if others_serve
        else max(_RETRY_ELSEWHERE_S, round(time_left_s, 2))
    )
    return outcome.Refusal(
        outcome.Reason.LEAVING,
        "the instance stops before the request's time limit ends",
        retry_after=datetime.timedelta(seconds=retry_after_s),
    )
