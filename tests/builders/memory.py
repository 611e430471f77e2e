"""Builds memory budgets and shares for tests."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import clock as clock_lib
from hibiscusstile import memory
from hibiscusstile.memory import shedding

__all__ = ["KIB", "Share", "StoppedClock", "budget"]

KIB = 1024


class StoppedClock(clock_lib.Clock):
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self.now_s, datetime.UTC)

    def monotonic(self) -> float:
        return self.now_s

    async def sleep(self, duration: datetime.timedelta) -> None:
        self.now_s += duration.total_seconds()


@dataclasses.dataclass(frozen=True)
class Share:
    """The memory that one request holds."""

    owner: str
    phase: shedding.Phase
    size_bytes: int
    progressed_s: float = 100.0


def budget(
    clock: clock_lib.Clock, kib: int = 4096, requests: int = 100
) -> memory.MemoryBudget:
    """Returns a budget of which a quarter is for small requests."""
    return memory.MemoryBudget(
        memory.MemoryLimits(kib * KIB, kib * KIB // 4, 128 * KIB, 10, requests),
        clock,
    )
