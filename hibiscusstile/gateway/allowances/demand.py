"""What the requests of one workspace cost at one gateway."""

from __future__ import annotations

import dataclasses
import math

__all__ = ["Cost", "Demand"]

_RATE_WINDOW_S = 1.0
# Weight of a request in the means.
_MEAN_WEIGHT = 0.02
_SHORT_OF_MEAN = 0.5
# Difference of ranks that is not due to rounding.
_MIN_RANK_DIFFERENCE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one request costs.

    Attributes:
        tokens: Its tokens, or 1 if the allowance counts requests.
        rank: Its rank; 0 is served first.
    """

    tokens: float
    rank: int = 0


class _Rate:
    """Tokens per second, averaged with exponentially decreasing weights."""

    def __init__(self) -> None:
        self._value = 0.0
        self._noted_s = 0.0

    def note(self, tokens: float, now_s: float) -> None:
        self._value = self.at(now_s) + tokens / _RATE_WINDOW_S
        self._noted_s = now_s

    def at(self, now_s: float) -> float:
        age_s = now_s - self._noted_s
        return self._value * math.exp(-age_s / _RATE_WINDOW_S)


class Demand:
    """Tokens asked for, and which requests go first."""

    def __init__(self) -> None:
        self._all = _Rate()
        self._preferred = _Rate()
        self._mean_tokens = 0.0
        # Decayed sums of the tokens, and of the tokens times their ranks.
        self._tokens = 0.0
        self._ranked_tokens = 0.0

    def note(self, cost: Cost, now_s: float) -> None:
        """Records a request that has arrived."""
        if self.prefers(cost):
            self._preferred.note(cost.tokens, now_s)
        self._all.note(cost.tokens, now_s)
        if not self._tokens:
            self._mean_tokens = cost.tokens
        self._mean_tokens += _MEAN_WEIGHT * (cost.tokens - self._mean_tokens)
        kept = 1 - _MEAN_WEIGHT
        self._tokens = kept * self._tokens + cost.tokens
        self._ranked_tokens = (
            kept * self._ranked_tokens + cost.tokens * cost.rank
        )

    def prefers(self, cost: Cost) -> bool:
        """Returns whether a request is short or urgent for its workspace."""
        if not self._tokens:
            return False
        mean_rank = self._ranked_tokens / self._tokens
        return (
            cost.tokens <= _SHORT_OF_MEAN * self._mean_tokens
            or cost.rank < mean_rank - _MIN_RANK_DIFFERENCE
        )

    def rate(self, now_s: float) -> float:
        """Returns the tokens per second of all requests."""
        return self._all.at(now_s)

    def preferred_rate(self, now_s: float) -> float:
        """Returns the tokens per second of requests that go first."""
        return self._preferred.at(now_s)
