"""Observed service rate of a queue."""

from __future__ import annotations

import math

__all__ = ["ServiceMeter"]

_MEMORY_S = 10.0
_PRIOR_S = 2.0
_LEAST_OF_PRIOR = 0.01


class ServiceMeter:
    """Tokens started per second of backlog, smoothed.

    Time without a backlog does not count: an engine that is not asked for
    more shows no limit.

    Args:
        prior_rate: Tokens per second before anything was observed.
    """

    def __init__(self, prior_rate: float) -> None:
        self._prior_rate = prior_rate
        self._tokens = prior_rate * _PRIOR_S
        self._seconds = _PRIOR_S
        self._since_s: float | None = None

    def open(self, now_s: float) -> None:
        """Notes that requests wait from now on."""
        if self._since_s is None:
            self._since_s = now_s

    def close(self, now_s: float) -> None:
        """Notes that none waits any more."""
        self._advance(now_s)
        self._since_s = None

    def add(self, tokens: int, now_s: float) -> None:
        """Counts a start; callers leave out requests that did not wait."""
        self._advance(now_s)
        self._tokens += tokens

    def rate(self, now_s: float) -> float:
        """Returns tokens per second, above 0."""
        self._advance(now_s)
        least = self._prior_rate * _LEAST_OF_PRIOR
        return max(least, self._tokens / self._seconds)

    def _advance(self, now_s: float) -> None:
        if self._since_s is None or now_s <= self._since_s:
            return
        elapsed_s = now_s - self._since_s
        self._since_s = now_s
        kept = math.exp(-elapsed_s / _MEMORY_S)
        self._tokens *= kept
        self._seconds = self._seconds * kept + _MEMORY_S * (1 - kept)
