"""Follows the configuration stream of the log."""

from __future__ import annotations

import datetime

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform
from hibiscusstile.configuration import store as store_lib

__all__ = ["CONFIG_STREAM", "LogFollower"]

_log = logbook.Logger("configuration")

CONFIG_STREAM = "config"
_POLL_WAIT = datetime.timedelta(seconds=20)
_RETRY = datetime.timedelta(seconds=1)


class LogFollower:
    """Reads new records as they come, by long poll.

    Args:
        log: The log service.
        store: Where the records go.
        clock: Waits between tries while the log is down.
    """

    def __init__(
        self,
        log: platform.LogClient,
        store: store_lib.ConfigurationStore,
        clock: clock_lib.Clock,
    ) -> None:
        self._platform_log = log
        self._store = store
        self._clock = clock

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            page = await self._platform_log.read(
                CONFIG_STREAM, self._store.next_offset, wait=_POLL_WAIT
            )
            if isinstance(page, platform.LogUnavailable):
                _log.warn("log_unavailable reason={}", page.message)
                await self._clock.sleep(_RETRY)
                continue
            self._store.apply(page.entries)
