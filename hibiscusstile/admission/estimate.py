"""Truthful waits: how long a request would wait, and when to retry."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import outcome

__all__ = ["Position", "overloaded", "wait_s"]

_LEAST_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Where a new request would stand.

    Attributes:
        ahead: Tokens of its own rank that start before it.
        higher: Waiting tokens of the ranks above.
        cost: Its own tokens.
        share: Its rank's share of served tokens, 0 to 1.
        mean_running: Mean tokens of a running request.
    """

    ahead: float
    higher: int
    cost: int
    share: float
    mean_running: float


def wait_s(position: Position, rank_rate: float, total_rate: float) -> float:
    """Returns the expected seconds until a request starts.

    Args:
        position: Where it would stand.
        rank_rate: Observed tokens per second of its rank.
        total_rate: Observed tokens per second of all ranks together.
    """
    turn_s = position.mean_running / total_rate
    queue_s = position.ahead / rank_rate + position.higher / total_rate
    if position.share:
        owed = position.ahead + position.cost
        queue_s = min(queue_s, owed / (position.share * total_rate))
    return turn_s + queue_s


def overloaded(message: str, retry_s: float) -> outcome.Refusal:
    """Returns a refusal with the time after which a retry may help."""
    return outcome.Refusal(
        outcome.Reason.OVERLOADED,
        message,
        retry_after=datetime.timedelta(seconds=max(_LEAST_RETRY_S, retry_s)),
    )
