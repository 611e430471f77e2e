"""Measured service rate of a queue."""

from __future__ import annotations

import math

__all__ = ["ServiceMeter"]

_DECAY_S = 10.0
_PRIOR_WEIGHT_S = 2.0
_MIN_PRIOR_FRACTION = 0.01


class ServiceMeter:
    """Exponentially weighted mean of tokens started per second of backlog.

    Time without a backlog is left out, since the rate of an engine that is
    not saturated does not show its capacity.

    Args:
        prior_rate: Assumed tokens per second before any measurement.
    """

    def __init__(self, prior_rate: float) -> None:
        self._prior_rate = prior_rate
        self._tokens = prior_rate * _PRIOR_WEIGHT_S
        self._seconds = _PRIOR_WEIGHT_S
        self._updated_s: float | None = None

    def start_backlog(self, now_s: float) -> None:
        """Starts measuring: requests wait from now on."""
        if self._updated_s is None:
            self._updated_s = now_s

    def end_backlog(self, now_s: float) -> None:
        """Stops measuring: no request waits any more."""
        self._advance(now_s)
        self._updated_s = None

    def count_started(self, tokens: int, now_s: float) -> None:
        """Counts a started request; must not be called if it did not wait."""
        self._advance(now_s)
        self._tokens += tokens

    def tokens_per_s(self, now_s: float) -> float:
        """Returns the measured rate, always above 0."""
        self._advance(now_s)
        min_rate = self._prior_rate * _MIN_PRIOR_FRACTION
        return max(min_rate, self._tokens / self._seconds)

    def _advance(self, now_s: float) -> None:
        if self._updated_s is None or now_s <= self._updated_s:
            return
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        decay = math.exp(-elapsed_s / _DECAY_S)
        self._tokens *= decay
        self._seconds = self._seconds * decay + _DECAY_S * (1 - decay)
