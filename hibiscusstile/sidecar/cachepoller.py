"""Keeps the cache view in step with the engine's events."""

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

    Events arrive late and some never do. A jump in their numbers, or a batch
    of another incarnation, leads to a fresh listing, and the listing alone
    says which incarnation is the present one: a late batch of an earlier
    incarnation changes nothing.

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
        self._incarnation = ""
        self._last_number = -1

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(_POLL_INTERVAL)

    async def poll(self) -> None:
        """Brings the view up to date once."""
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
