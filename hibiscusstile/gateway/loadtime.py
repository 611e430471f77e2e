"""Estimates how long an engine takes to load weights."""

from __future__ import annotations

__all__ = ["LoadTime"]

_PRIOR_S = 1.0
_MIN_S = 0.05
_MAX_S = 5.0
# Weight of the newest load in the moving average.
_WEIGHT = 0.3


class LoadTime:
    """Moving average of the times of observed loads."""

    def __init__(self) -> None:
        self._expected_s = _PRIOR_S

    @property
    def expected_s(self) -> float:
        """Expected time from an accepted order until the weights are loaded."""
        return self._expected_s

    def observe(self, elapsed_s: float) -> None:
        """Records the time of a load."""
        elapsed_s = max(_MIN_S, min(_MAX_S, elapsed_s))
        self._expected_s += _WEIGHT * (elapsed_s - self._expected_s)
