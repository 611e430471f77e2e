"""How long requests of each route take."""

from __future__ import annotations

import dataclasses

__all__ = ["ServiceTimes"]

# The slowest request of this window and of the one before it is remembered.
_WINDOW_S = 10.0
# Fewer requests than this say little about how long one may take, as in a
# process that has just started.
_MIN_REQUESTS = 10


@dataclasses.dataclass(slots=True)
class _Window:
    number: int
    slowest_s: float = 0.0
    requests: int = 0
    slowest_before_s: float = 0.0
    requests_before: int = 0


class ServiceTimes:
    """The longest time that a recent request of each route has taken."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def note(self, route: str, duration_s: float, now_s: float) -> None:
        """Records a request that was served completely.

        Args:
            route: Name of its route.
            duration_s: Seconds from its arrival to the end of its response.
            now_s: Time on the monotonic clock.
        """
        window = self._advance(route, now_s)
        window.slowest_s = max(window.slowest_s, duration_s)
        window.requests += 1

    def slowest_s(self, route: str, now_s: float) -> float | None:
        """Returns the longest recent time; None if too few were served.

        Args:
            route: Name of the route.
            now_s: Time on the monotonic clock.
        """
        if route not in self._windows:
            return None
        window = self._advance(route, now_s)
        if window.requests + window.requests_before < _MIN_REQUESTS:
            return None
        return max(window.slowest_s, window.slowest_before_s)

    def keep_only(self, routes: set[str]) -> None:
        """Drops routes that the configuration no longer has."""
        for route in set(self._windows) - routes:
            del self._windows[route]

    def _advance(self, route: str, now_s: float) -> _Window:
        number = int(now_s / _WINDOW_S)
        window = self._windows.setdefault(route, _Window(number))
        if number > window.number:
            is_next = number == window.number + 1
            window.slowest_before_s = window.slowest_s if is_next else 0.0
            window.requests_before = window.requests if is_next else 0
            window.slowest_s = 0.0
            window.requests = 0
            window.number = number
        return window
