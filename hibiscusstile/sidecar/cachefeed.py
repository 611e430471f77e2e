"""Keeps the cache view in step with the engine's events."""

from __future__ import annotations

import datetime

from hibiscusstile import backends, cacheview
from hibiscusstile import clock as clock_lib

__all__ = ["CacheFeed"]

_POLL_INTERVAL = datetime.timedelta(milliseconds=200)


class CacheFeed:
    """Polls the engine's cache events.

    Args:
        engine: The engine.
        view: Where the events go.
        clock: Paces the polls.
    """

    def __init__(
        self,
        engine: backends.EngineBackend,
        view: cacheview.CacheView,
        clock: clock_lib.Clock,
    ) -> None:
        self._engine = engine
        self._view = view
        self._clock = clock

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            batch = await self._engine.cache_events(self._view.last_number)
            if batch is not None:
                await self._apply(batch)
            await self._clock.sleep(_POLL_INTERVAL)

    async def _apply(self, batch: backends.CacheEvents) -> None:
        if batch.incarnation == self._view.incarnation:
            self._view.apply(batch)
            return
        self._view.reset(batch.incarnation)
        listing = await self._engine.cache_blocks()
        if listing is not None:
            self._view.apply(listing)
