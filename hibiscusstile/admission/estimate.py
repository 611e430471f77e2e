"""Estimates of waiting and retry times, from observed service rates."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import outcome

__all__ = ["QueuePosition", "expected_wait_s", "overload_refusal"]

_MIN_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePosition:
    """Position at which a new request would enter the queue.

    Attributes:
        tokens_ahead: Tokens of its own rank that start before it.
        higher_rank_tokens: Waiting tokens of higher ranks.
        cost: Estimated tokens to compute for the request.
        share: Guaranteed share of its rank in the served tokens, 0 to 1.
        mean_running_tokens: Mean cost of a running request.
    """

    tokens_ahead: float
    higher_rank_tokens: int
    cost: int
    share: float
    mean_running_tokens: float


def expected_wait_s(
    position: QueuePosition, rank_tokens_per_s: float, total_tokens_per_s: float
) -> float:
    """Returns the expected seconds until a request starts.

    Args:
        position: Its position in the queue.
        rank_tokens_per_s: Observed tokens per second of its rank.
        total_tokens_per_s: Observed tokens per second of all ranks together.
    """
    slot_wait_s = position.mean_running_tokens / total_tokens_per_s
    queue_wait_s = (
        position.tokens_ahead / rank_tokens_per_s
        + position.higher_rank_tokens / total_tokens_per_s
    )
    if position.share:
        share_tokens = position.tokens_ahead + position.cost
        queue_wait_s = min(
            queue_wait_s, share_tokens / (position.share * total_tokens_per_s)
        )
    return slot_wait_s + queue_wait_s


def overload_refusal(message: str, retry_after_s: float) -> outcome.Refusal:
    """Returns an `overloaded` refusal with the delay before a retry."""
    return outcome.Refusal(
        outcome.Reason.OVERLOADED,
        message,
        retry_after=datetime.timedelta(
            seconds=max(_MIN_RETRY_S, retry_after_s)
        ),
    )
