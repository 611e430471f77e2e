"""Time as an interface, so that tests and the bench can supply their own."""

from __future__ import annotations

import abc
import asyncio
import datetime
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time for every module that measures, waits or expires."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, in UTC with its zone set."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds that never go back, from an arbitrary start."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits for `duration`."""


class SystemClock(Clock):
    """The machine's clock."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, in UTC with its zone set."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> float:
        """Returns the time since boot, which also advances in a suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits for `duration` on the running event loop."""
        await asyncio.sleep(duration.total_seconds())
