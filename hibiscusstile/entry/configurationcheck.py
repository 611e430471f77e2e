"""Verifies that the configuration is current before a request is served."""

from __future__ import annotations

import asyncio
import datetime

from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile.configuration import freshness as freshness_lib
from hibiscusstile.entry import sidecarpool

__all__ = ["ConfigurationCheck"]

_SIDECAR_TIMEOUT = datetime.timedelta(milliseconds=250)
_LOG_TIMEOUT = datetime.timedelta(seconds=1)


class ConfigurationCheck:
    """Confirms the revision with sidecars, or from the log if that fails.

    Args:
        freshness: Records when the revision was last confirmed.
        sidecars: The connections to sidecars.
        follower: Reads the configuration log.
    """

    def __init__(
        self,
        freshness: freshness_lib.FreshnessTracker,
        sidecars: sidecarpool.SidecarPool,
        follower: follower_lib.LogFollower,
    ) -> None:
        self._freshness = freshness
        self._sidecars = sidecars
        self._follower = follower
        self._lock = asyncio.Lock()

    async def ensure_current(self) -> bool:
        """Returns whether the configuration is confirmed as current.

        Concurrent requests share one round of queries.
        """
        if self._freshness.is_fresh:
            return True
        async with self._lock:
            if self._freshness.is_fresh:
                return True
            if await self._sidecars.catch_up(_SIDECAR_TIMEOUT):
                return True
            try:
                async with asyncio.timeout(_LOG_TIMEOUT.total_seconds()):
                    await self._follower.catch_up()
            except TimeoutError:
                return False
            return self._freshness.is_fresh
