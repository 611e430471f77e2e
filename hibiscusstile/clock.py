"""Clock interface that tests and the benchmark can replace."""

from __future__ import annotations

import abc
import asyncio
import datetime
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time for timestamps, timers and expiry."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, in UTC with its zone set."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns non-decreasing seconds from an arbitrary start."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits for `duration`."""


class SystemClock(Clock):
    """The operating system's clock."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, in UTC with its zone set."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> float:
        """Returns seconds since boot, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits for `duration` on the running event loop."""
        await asyncio.sleep(duration.total_seconds())
