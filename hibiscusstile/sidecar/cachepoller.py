"""Updates the cache view from the engine's cache events."""

from __future__ import annotations

import datetime
import itertools

import logbook

from hibiscusstile import backends, cacheview
from hibiscusstile import clock as clock_lib

__all__ = ["CacheEventPoller"]

_log = logbook.Logger("sidecar")

_POLL_INTERVAL = datetime.timedelta(milliseconds=200)


class CacheEventPoller:
    """Polls the engine's cache events.

    Events may be delayed or lost. A gap in the event numbers, or a batch from
    another incarnation, triggers a full listing of the cached blocks. Only a
    listing changes the current incarnation, so a delayed batch from an earlier
    incarnation has no effect.

    Args:
        engine: The engine to poll.
        view: Cache view to update.
        clock: Schedules the polls.
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
        self._incarnation = ""
        self._last_number = -1

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(_POLL_INTERVAL)

    async def poll(self) -> None:
        """Fetches new events once and applies them to the view."""
        batch = await self._engine.cache_events(self._last_number)
        if batch is None:
            return
        if batch.incarnation != self._incarnation or self._has_gap(batch):
            await self._relist(batch)
            return
        self._view.apply(batch)
        if batch.events:
            self._last_number = batch.events[-1].number

    def _has_gap(self, batch: backends.CacheEvents) -> bool:
        expected = itertools.count(self._last_number + 1)
        return any(
            event.number != expected_number
            for event, expected_number in zip(
                batch.events, expected, strict=False
            )
        )

    async def _relist(self, batch: backends.CacheEvents) -> None:
        listing = await self._engine.cache_blocks()
        if listing is None:
            return
        if (
            listing.incarnation == self._incarnation
            and batch.incarnation != self._incarnation
        ):
            return
        _log.info(
            "cache_listed incarnation={} prefixes={} after_event={}",
            listing.incarnation,
            len(listing.events),
            self._last_number,
        )
        self._incarnation = listing.incarnation
        self._last_number = listing.last_number
        self._view.replace(listing)
