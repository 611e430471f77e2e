"""Discrete-event simulation: processes are generators on a virtual clock."""

from __future__ import annotations

import datetime
import heapq
import itertools
from collections.abc import Generator

from hibiscusstile import clock as clock_lib

__all__ = ["Process", "Signal", "Simulation"]

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class Signal:
    """One-shot event that processes can wait for."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._waiters: list[Process] = []
        self._set = False

    @property
    def is_set(self) -> bool:
        """Whether the signal has been set."""
        return self._set

    def set(self) -> None:
        """Resumes all waiting processes; further calls have no effect."""
        self._set = True
        for process in self._waiters:
            self._simulation.resume_at(process, self._simulation.monotonic())
        self._waiters.clear()

    def add_waiter(self, process: Process) -> None:
        """Registers a process that is resumed when the signal is set."""
        self._waiters.append(process)


Process = Generator["float | Signal", None, None]


class Simulation(clock_lib.Clock):
    """Clock and scheduler that runs processes in order of virtual time.

    A process yields seconds to sleep, or a `Signal` to wait for. Events at the
    same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self._now_s = 0.0
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Process]] = []

    def now(self) -> datetime.datetime:
        """Returns the virtual wall-clock time."""
        return _EPOCH + datetime.timedelta(seconds=self._now_s)

    def monotonic(self) -> float:
        """Returns virtual seconds since the start."""
        return self._now_s

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Raises NotImplementedError: processes yield the seconds to sleep."""
        raise NotImplementedError(
            "simulated processes must yield seconds instead of calling sleep"
        )

    def spawn(self, process: Process, at_s: float | None = None) -> None:
        """Starts a process now or at a later virtual time."""
        self.resume_at(process, self._now_s if at_s is None else at_s)

    def resume_at(self, process: Process, at_s: float) -> None:
        """Schedules a process to continue at a virtual time."""
        heapq.heappush(self._events, (at_s, next(self._event_numbers), process))

    def run(self, until_s: float) -> None:
        """Runs until no event is scheduled up to the given virtual time."""
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, process = heapq.heappop(self._events)
            self._advance(process)

    def _advance(self, process: Process) -> None:
        for awaited in process:
            if isinstance(awaited, Signal):
                if awaited.is_set:
                    continue
                awaited.add_waiter(process)
            else:
                self.resume_at(process, self._now_s + awaited)
            return
