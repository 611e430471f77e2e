"""Shares crash charges across regions and restarts through a log stream."""

from __future__ import annotations

import collections
import dataclasses
import datetime
from collections.abc import Awaitable, Callable, Sequence

import logbook
import pydantic

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform, suspects

__all__ = ["SUSPECTS_STREAM", "SuspectAppender", "SuspectFollower"]

_log = logbook.Logger("suspects")

SUSPECTS_STREAM = "suspects"
_POLL_WAIT = datetime.timedelta(seconds=20)
_RETRY_DELAY = datetime.timedelta(seconds=1)
_MAX_PENDING = 64
_CHARGES_ADAPTER: pydantic.TypeAdapter[list[suspects.CrashCharge]] = (
    pydantic.TypeAdapter(list[suspects.CrashCharge])
)


class SuspectAppender:
    """Appends crash charges of the local engine to the stream in batches.

    Args:
        log: Client of the log service.
        clock: Clock for the delay of retries and the age of charges.
    """

    def __init__(self, log: platform.LogClient, clock: clock_lib.Clock) -> None:
        self._platform_log = log
        self._clock = clock
        # Each charge with the time at which it was queued.
        self._pending: collections.deque[tuple[float, suspects.CrashCharge]] = (
            collections.deque(maxlen=_MAX_PENDING)
        )

    def put(self, charge: suspects.CrashCharge) -> None:
        """Queues a charge to append; drops the oldest if the queue is full."""
        self._pending.append((self._clock.monotonic(), charge))

    async def run(self) -> None:
        """Appends queued charges until cancelled."""
        while True:
            await self._clock.sleep(_RETRY_DELAY)
            if self._pending:
                await self._append(list(self._pending))

    async def _append(
        self, batch: Sequence[tuple[float, suspects.CrashCharge]]
    ) -> None:
        now_s = self._clock.monotonic()
        charges = [
            dataclasses.replace(charge, age_s=now_s - at_s)
            for at_s, charge in batch
        ]
        result = await self._platform_log.append(
            SUSPECTS_STREAM, _CHARGES_ADAPTER.dump_json(charges)
        )
        if not isinstance(result, platform.Appended):
            _log.warning("suspects_append_failed reason={}", result.message)
            return
        for each in batch:
            if each in self._pending:
                self._pending.remove(each)


class SuspectFollower:
    """Reads crash charges recorded by other regions and earlier processes.

    Args:
        log: Client of the log service.
        merge: Receives the charges of each log entry.
        clock: Clock for the delay of retries and the age of log entries.
    """

    def __init__(
        self,
        log: platform.LogClient,
        merge: Callable[[Sequence[suspects.Fact]], Awaitable[None]],
        clock: clock_lib.Clock,
    ) -> None:
        self._platform_log = log
        self._merge = merge
        self._clock = clock
        self._next_offset = 0

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        wait = datetime.timedelta(0)
        while True:
            page = await self._platform_log.read(
                SUSPECTS_STREAM, self._next_offset, wait=wait
            )
            if isinstance(page, platform.LogUnavailable):
                wait = datetime.timedelta(0)
                await self._clock.sleep(_RETRY_DELAY)
                continue
            wait = _POLL_WAIT
            for entry in page.entries:
                await self._merge(self._decode(entry))
            if page.entries:
                self._next_offset = page.entries[-1].offset + 1

    def _decode(self, entry: platform.LogEntry) -> list[suspects.CrashCharge]:
        try:
            charges = _CHARGES_ADAPTER.validate_json(entry.payload)
        except pydantic.ValidationError:
            _log.warning("suspects_entry_skipped offset={}", entry.offset)
            return []
        entry_age_s = (self._clock.now() - entry.time).total_seconds()
        return [
            dataclasses.replace(c, age_s=max(0.0, c.age_s + entry_age_s))
            for c in charges
        ]
