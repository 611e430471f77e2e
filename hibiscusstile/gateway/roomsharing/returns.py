"""Tells refused callers when to return."""

from __future__ import annotations

import math

__all__ = ["ReturnSchedule"]

# Part of the requests that find room which may be returning ones. The others
# are new and can still be answered in time.
_RETURN_SHARE = 0.5
_RATE_DECAY_S = 2.0
_MIN_RATE_PER_S = 2.0
# A caller that returns at once finds the queue that it was refused for.
_MIN_RETURN_S = 0.5
# Callers wait for up to a third of their timeout before they return, and for
# at most 3.3 s.
_MAX_RETURN_S = 3.0
_MAX_TIMEOUT_SHARE = 0.3


class ReturnSchedule:
    """Spaces the returns of the callers that one gateway refused on a route.

    Callers return in the order in which they were refused, at a part of the
    rate at which requests found room lately.
    """

    def __init__(self) -> None:
        self._placed = 0.0
        self._placed_updated_s = 0.0
        self._last_return_s = 0.0

    def note_placed(self, now_s: float) -> None:
        """Counts a request that found room."""
        self._placed = self._placed_at(now_s) + 1.0
        self._placed_updated_s = now_s

    def next_return_s(
        self, wait_s: float, timeout_s: float | None, now_s: float
    ) -> float:
        """Returns the time after which a caller that is refused may return.

        Args:
            wait_s: Time until the engines have worked off what they hold beyond
                the limit.
            timeout_s: Time that the caller waits in all; None if unknown.
            now_s: Time on the monotonic clock.
        """
        rate_per_s = max(
            _MIN_RATE_PER_S,
            _RETURN_SHARE * self._placed_at(now_s) / _RATE_DECAY_S,
        )
        latest_s = now_s + _latest_return_s(timeout_s)
        return_s = max(
            now_s + max(_MIN_RETURN_S, wait_s),
            self._last_return_s + 1.0 / rate_per_s,
        )
        # Callers that would have to wait for too long return as late as they
        # can. They keep their order, since the latest time advances.
        return_s = min(latest_s, return_s)
        self._last_return_s = max(self._last_return_s, return_s)
        return return_s - now_s

    def _placed_at(self, now_s: float) -> float:
        elapsed_s = now_s - self._placed_updated_s
        return self._placed * math.exp(-elapsed_s / _RATE_DECAY_S)


def _latest_return_s(timeout_s: float | None) -> float:
    if timeout_s is None:
        return _MAX_RETURN_S
    return max(
        _MIN_RETURN_S, min(_MAX_RETURN_S, _MAX_TIMEOUT_SHARE * timeout_s)
    )
