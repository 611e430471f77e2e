"""Consumes the configuration stream of the log."""

from __future__ import annotations

import asyncio
import datetime
import enum
import random

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform
from hibiscusstile.configuration import freshness as freshness_lib
from hibiscusstile.configuration import snapshot_stream
from hibiscusstile.configuration import state as state_lib
from hibiscusstile.configuration import store as store_lib

__all__ = ["CONFIG_STREAM", "LogFollower", "ReadOutcome"]

_log = logbook.Logger("configuration")

CONFIG_STREAM = "config"
_NO_WAIT = datetime.timedelta(0)
# A change must be in force everywhere within 6 s. Poll, margin and retry add
# up to less, so that this also holds if a connection is lost silently. The
# retry delay is random so that processes do not reconnect to a recovering log
# all at once.
_POLL_WAIT = datetime.timedelta(seconds=3.5)
_ANSWER_MARGIN = datetime.timedelta(seconds=1)
_RETRY_DELAY_S = (0.5, 1.0)


class ReadOutcome(enum.Enum):
    """State of a follower after one read of the log."""

    CAUGHT_UP = "caught_up"
    """All entries up to the end of the log are applied."""
    BEHIND = "behind"
    """More entries are available."""
    UNAVAILABLE = "unavailable"
    """The log did not respond, or its response was inconsistent."""
    GAP = "gap"
    """Entries expired from the log, and no snapshot covers them."""


class LogFollower:
    """Applies new records to the store, using long polling.

    Args:
        log: Client of the log service.
        store: Store to which the records are applied.
        clock: Times the retries while the log is unavailable.
        freshness: Tracker that each read to the end of the log confirms.
    """

    def __init__(
        self,
        log: platform.LogClient,
        store: store_lib.ConfigurationStore,
        clock: clock_lib.Clock,
        freshness: freshness_lib.FreshnessTracker | None = None,
    ) -> None:
        self._log_client = log
        self._store = store
        self._clock = clock
        self._freshness = freshness or freshness_lib.FreshnessTracker(
            clock, lambda: store.revision
        )

    async def run(self) -> None:
        """Reads the log until cancelled."""
        while True:
            outcome = await self._read_once(_POLL_WAIT)
            if outcome in (ReadOutcome.UNAVAILABLE, ReadOutcome.GAP):
                retry_delay = datetime.timedelta(
                    seconds=random.uniform(*_RETRY_DELAY_S)
                )
                await self._clock.sleep(retry_delay)

    async def catch_up(self) -> ReadOutcome:
        """Reads to the end of the log without waiting for new records.

        Returns:
            Any outcome except `BEHIND`.
        """
        while True:
            outcome = await self._read_once(_NO_WAIT)
            if outcome is not ReadOutcome.BEHIND:
                return outcome

    async def _read_once(self, wait: datetime.timedelta) -> ReadOutcome:
        sent_s = self._clock.monotonic()
        page = await self._read_page(wait)
        if isinstance(page, platform.LogUnavailable):
            _log.warning("log_unavailable reason={}", page.message)
            return ReadOutcome.UNAVAILABLE
        if page.earliest > self._store.next_offset:
            return await self._recover_from_snapshot(page.earliest)
        if page.end < self._store.next_offset:
            _log.error(
                "log_shorter_than_state end={} next_offset={}",
                page.end,
                self._store.next_offset,
            )
            return ReadOutcome.UNAVAILABLE
        previous_offset = self._store.next_offset
        try:
            self._store.apply(page.entries)
        except state_lib.OutOfOrder as error:
            _log.error("log_out_of_order error={!r}", str(error))
            return ReadOutcome.UNAVAILABLE
        if self._store.next_offset < page.end:
            has_advanced = self._store.next_offset > previous_offset
            return (
                ReadOutcome.BEHIND if has_advanced else ReadOutcome.UNAVAILABLE
            )
        self._freshness.confirm_end_of_log(sent_s)
        return ReadOutcome.CAUGHT_UP

    async def _read_page(
        self, wait: datetime.timedelta
    ) -> platform.LogEntries | platform.LogUnavailable:
        read = self._log_client.read(
            CONFIG_STREAM, self._store.next_offset, wait=wait
        )
        if not wait:
            return await read
        timeout = wait + _ANSWER_MARGIN
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await read
        except TimeoutError:
            return platform.LogUnavailable(f"no response within {timeout}")

    async def _recover_from_snapshot(self, earliest: int) -> ReadOutcome:
        """Skips expired entries by adopting a snapshot from the log."""
        found = await snapshot_stream.read_snapshots(self._log_client)
        if found is None:
            return ReadOutcome.UNAVAILABLE
        covering = [
            candidate
            for candidate in snapshot_stream.filter_consistent(
                found, self._store.state
            )
            if candidate.snapshot.next_offset >= earliest
        ]
        if not covering:
            _log.error(
                "configuration_gap next_offset={} earliest={} snapshots={}",
                self._store.next_offset,
                earliest,
                len(found),
            )
            return ReadOutcome.GAP
        best = snapshot_stream.select_most_confirmed(covering)
        self._store.adopt_snapshot(best.snapshot)
        return ReadOutcome.BEHIND
