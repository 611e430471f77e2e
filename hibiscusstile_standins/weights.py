"""Simulated weight store with limited bandwidth for stand-in engines."""

from __future__ import annotations

import asyncio

__all__ = ["WeightStore"]

_UPDATE_INTERVAL_S = 0.02


class WeightStore:
    """Simulates concurrent loads that share the store's bandwidth.

    Args:
        load_s: Duration of one load at full speed.
        full_speed_loads: Number of concurrent loads that run at full speed;
            more loads slow each other down.
    """

    def __init__(self, load_s: float = 0.6, full_speed_loads: int = 3) -> None:
        self._load_s = load_s
        self._full_speed_loads = full_speed_loads
        self._active_loads = 0
        self._peak_concurrent_loads = 0

    @property
    def active_loads(self) -> int:
        """Number of loads in progress."""
        return self._active_loads

    @property
    def peak_concurrent_loads(self) -> int:
        """Highest number of concurrent loads so far."""
        return self._peak_concurrent_loads

    async def load(self) -> None:
        """Waits for the duration of one load."""
        self._active_loads += 1
        self._peak_concurrent_loads = max(
            self._peak_concurrent_loads, self._active_loads
        )
        remaining_s = self._load_s
        try:
            while remaining_s > 0:
                await asyncio.sleep(min(_UPDATE_INTERVAL_S, remaining_s))
                remaining_s -= _UPDATE_INTERVAL_S * min(
                    1.0, self._full_speed_loads / self._active_loads
                )
        finally:
            self._active_loads -= 1
