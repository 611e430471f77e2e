"""Rate-limited store of model weights, shared by stand-in engines."""

from __future__ import annotations

import asyncio

__all__ = ["WeightStore"]

_TICK_S = 0.02


class WeightStore:
    """Serves loads at full speed up to a number at once.

    Args:
        load_s: Seconds of one load at full speed.
        full_speed_loads: Loads at once that do not slow one another.
    """

    def __init__(self, load_s: float = 0.6, full_speed_loads: int = 3) -> None:
        self._load_s = load_s
        self._full_speed_loads = full_speed_loads
        self._loading = 0
        self._most = 0

    @property
    def loading(self) -> int:
        """Loads that run now."""
        return self._loading

    @property
    def most_at_once(self) -> int:
        """The most loads that ever ran at once."""
        return self._most

    async def load(self) -> None:
        """Returns once the weights are loaded."""
        self._loading += 1
        self._most = max(self._most, self._loading)
        left_s = self._load_s
        try:
            while left_s > 0:
                await asyncio.sleep(min(_TICK_S, left_s))
                left_s -= _TICK_S * min(
                    1.0, self._full_speed_loads / self._loading
                )
        finally:
            self._loading -= 1
