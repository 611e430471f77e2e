"""Supervisors that run, restart and stop long-lived tasks."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import datetime
import enum
from collections.abc import Awaitable, Callable

import logbook

from hibiscusstile import clock as clock_lib

__all__ = [
    "ChildSpec",
    "IntensityExceeded",
    "Restart",
    "Strategy",
    "Supervisor",
]

_log = logbook.Logger("supervisor")

_DEFAULT_SHUTDOWN = datetime.timedelta(seconds=5)
_DEFAULT_PERIOD = datetime.timedelta(seconds=10)
_RESTART_DELAY = datetime.timedelta(milliseconds=50)


class Restart(enum.Enum):
    """When a child that has ended is restarted."""

    PERMANENT = "permanent"
    """Always; a normal return counts as a failure."""
    TRANSIENT = "transient"
    """Only after an error."""
    TEMPORARY = "temporary"
    """Never; an error is logged and the child removed."""


class Strategy(enum.Enum):
    """Which children are restarted when one fails."""

    ONE_FOR_ONE = "one_for_one"
    ONE_FOR_ALL = "one_for_all"


class IntensityExceeded(RuntimeError):  # noqa: N818 - supervision's usual term
    """The children of a supervisor failed more often than it allows."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChildSpec:
    """How to run a child.

    Attributes:
        name: Name, unique among the supervisor's children.
        start: Returns the coroutine that the child runs.
        restart: When to restart the child.
        shutdown: How long the child may take to stop after cancellation.
    """

    name: str
    start: Callable[[], Awaitable[None]]
    restart: Restart = Restart.PERMANENT
    shutdown: datetime.timedelta = _DEFAULT_SHUTDOWN


class Supervisor:
    """Runs children as tasks, in order, and stops them in reverse order.

    Supervisors form a tree: `run` is the coroutine that a parent starts as a
    child. If the children together fail more than `max_restarts` times in
    `period`, `run` raises `IntensityExceeded`, which the parent counts as a
    failure of this supervisor.

    Args:
        name: Name of the supervisor in logs.
        clock: Clock for the period and the delay of restarts.
        strategy: Which children to restart when one fails.
        max_restarts: Number of failures allowed in `period`.
        period: Time window over which failures are counted.
    """

    def __init__(
        self,
        name: str,
        clock: clock_lib.Clock,
        *,
        strategy: Strategy = Strategy.ONE_FOR_ONE,
        max_restarts: int = 5,
        period: datetime.timedelta = _DEFAULT_PERIOD,
    ) -> None:
        self._name = name
        self._clock = clock
        self._strategy = strategy
        self._max_restarts = max_restarts
        self._period_s = period.total_seconds()
        self._specs: dict[str, ChildSpec] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._ended_tasks: asyncio.Queue[tuple[str, asyncio.Task[None]]] = (
            asyncio.Queue()
        )
        self._failures_s: collections.deque[float] = collections.deque()
        self._running = False

    @property
    def name(self) -> str:
        """The supervisor's name."""
        return self._name

    @property
    def children(self) -> tuple[str, ...]:
        """Names of the children in the order in which they were added."""
        return tuple(self._specs)

    def add(self, spec: ChildSpec) -> None:
        """Adds a child, and starts it if the supervisor is running.

        Raises:
            ValueError: A child has the same name.
        """
        if spec.name in self._specs:
            raise ValueError(f"{self._name} already has a child {spec.name!r}")
        self._specs[spec.name] = spec
        if self._running:
            self._start(spec)

    async def remove(self, name: str) -> None:
        """Stops and removes a child; an unknown name is ignored."""
        spec = self._specs.pop(name, None)
        task = self._tasks.pop(name, None)
        if spec is not None and task is not None:
            await self._stop_task(spec, task)

    def cancel(self, name: str) -> None:
        """Cancels a temporary child without waiting until it has ended."""
        task = self._tasks.get(name)
        if task is not None:
            task.cancel()

    async def run(self) -> None:
        """Runs the children until cancelled or until they fail too often.

        Raises:
            IntensityExceeded: The children failed too often.
        """
        self._running = True
        try:
            for spec in list(self._specs.values()):
                self._start(spec)
            while True:
                name, task = await self._ended_tasks.get()
                await self._handle_end(name, task)
        finally:
            self._running = False
            await self._stop_all()

    def _start(self, spec: ChildSpec) -> None:
        task = asyncio.ensure_future(self._run_child(spec))
        task.set_name(f"{self._name}/{spec.name}")
        self._tasks[spec.name] = task
        task.add_done_callback(
            lambda ended: self._ended_tasks.put_nowait((spec.name, ended))
        )

    async def _run_child(self, spec: ChildSpec) -> None:
        await spec.start()

    async def _handle_end(self, name: str, task: asyncio.Task[None]) -> None:
        if self._tasks.get(name) is not task:
            # The supervisor itself stopped the task.
            return
        del self._tasks[name]
        spec = self._specs[name]
        error = None if task.cancelled() else task.exception()
        if not self._is_failure(spec, error):
            del self._specs[name]
            return
        _log.error(
            "child_failed supervisor={} child={} error={!r}",
            self._name,
            name,
            error,
        )
        self._count_failure(name)
        await self._clock.sleep(_RESTART_DELAY)
        if self._strategy is Strategy.ONE_FOR_ALL:
            await self._stop_all()
            for each in list(self._specs.values()):
                self._start(each)
        elif name in self._specs:
            self._start(spec)

    def _is_failure(self, spec: ChildSpec, error: BaseException | None) -> bool:
        if spec.restart is Restart.PERMANENT:
            return True
        if error is None:
            return False
        if spec.restart is Restart.TRANSIENT:
            return True
        _log.warning(
            "task_failed supervisor={} child={} error={!r}",
            self._name,
            spec.name,
            error,
        )
        return False

    def _count_failure(self, name: str) -> None:
        now_s = self._clock.monotonic()
        self._failures_s.append(now_s)
        while self._failures_s[0] < now_s - self._period_s:
            self._failures_s.popleft()
        if len(self._failures_s) > self._max_restarts:
            raise IntensityExceeded(
                f"{self._name}: child {name!r} was the last of "
                f"{len(self._failures_s)} failures in {self._period_s:g} s"
            )

    async def _stop_all(self) -> None:
        for name in reversed(list(self._tasks)):
            task = self._tasks.pop(name)
            await self._stop_task(self._specs[name], task)

    async def _stop_task(
        self, spec: ChildSpec, task: asyncio.Task[None]
    ) -> None:
        task.cancel()
        timeout_s = spec.shutdown.total_seconds()
        done, _ = await asyncio.wait([task], timeout=timeout_s)
        if not done:
            _log.error(
                "child_did_not_stop supervisor={} child={} after_s={:g}",
                self._name,
                spec.name,
                timeout_s,
            )
            return
        with contextlib.suppress(asyncio.CancelledError, Exception):
            task.result()
