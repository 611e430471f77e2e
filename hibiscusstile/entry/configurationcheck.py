"""Confirms the configuration before an entry instance serves."""

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
    """Asks peers, then the log, when the last confirmation is too old.

    Args:
        freshness: Tells whether the configuration is confirmed.
        sidecars: The connections to sidecars.
        follower: Reads the log.
    """

    def __init__(
        self,
        freshness: freshness_lib.Freshness,
        sidecars: sidecarpool.SidecarPool,
        follower: follower_lib.LogFollower,
    ) -> None:
        self._freshness = freshness
        self._sidecars = sidecars
        self._follower = follower
        self._lock = asyncio.Lock()

    async def ensure_current(self) -> bool:
        """Returns whether the configuration in force may be served on.

        Requests that arrive together share one round of questions.
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
