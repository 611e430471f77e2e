"""Builders of attempt executors and fakes of what they talk to."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from hibiscusstile import (
    admission,
    backends,
    bidder,
    cacheview,
    clock,
    platform,
    supervisor,
    suspectlog,
    suspects,
)
from hibiscusstile.peers import connection, messages
from hibiscusstile.sidecar import (
    asyncadmission,
    cachescopes,
    executor,
    suspectbroadcast,
)
from tests.builders import calls, engines
from tests.builders.base import record

__all__ = [
    "RecordingConnection",
    "SteppedEngine",
    "attempt_executor",
    "suspect_broadcaster",
]


class RecordingConnection(connection.PeerConnection):
    """Records the messages sent to an entry instance."""

    def __init__(self) -> None:
        self.sent: list[messages.PeerMessage] = []

    async def send(self, message: messages.PeerMessage) -> None:
        """Records a message."""
        self.sent.append(message)


class SteppedEngine(engines.FakeEngine):
    """An engine whose events and probe results the test supplies."""

    def __init__(self) -> None:
        super().__init__()
        self._events: dict[str, asyncio.Queue[backends.EngineEvent]] = {}
        self._probe_results: asyncio.Queue[
            backends.EngineHealth | backends.ProbeFailure
        ] = asyncio.Queue()

    def send_event(self, attempt_id: str, event: backends.EngineEvent) -> None:
        """Sends an event of an attempt."""
        self._queue(attempt_id).put_nowait(event)

    def answer_probe(
        self, result: backends.EngineHealth | backends.ProbeFailure
    ) -> None:
        """Ends the probe that runs, or else the next one."""
        self._probe_results.put_nowait(result)

    async def generate(
        self, generation: backends.GenerationRequest
    ) -> AsyncIterator[backends.EngineEvent]:
        """Yields the attempt's events up to its end."""
        events = self._queue(generation.attempt_id)
        while True:
            event = await events.get()
            yield event
            if isinstance(event, backends.EngineEnd):
                return

    async def probe(
        self, timeout_s: float
    ) -> backends.EngineHealth | backends.ProbeFailure:
        """Waits for the test's result."""
        return await self._probe_results.get()

    def _queue(self, attempt_id: str) -> asyncio.Queue[backends.EngineEvent]:
        return self._events.setdefault(attempt_id, asyncio.Queue())


class _UnavailableLog(platform.LogClient):
    """A log service that is unavailable."""

    def __init__(self) -> None:
        super().__init__("")

    async def append(self, stream: str, payload: bytes) -> Any:
        return platform.AppendUnknown("down")

    async def read(self, stream: str, offset: int, **kwargs: Any) -> Any:
        return platform.LogUnavailable("down")

    async def close(self) -> None:
        return


def suspect_broadcaster(
    table: suspects.SuspectTable,
) -> suspectbroadcast.SuspectBroadcaster:
    """Returns a broadcaster whose log service is unavailable."""
    return suspectbroadcast.SuspectBroadcaster(
        table,
        suspectlog.SuspectAppender(_UnavailableLog(), clock.SystemClock()),
    )


def attempt_executor(
    tasks: supervisor.Supervisor,
    engine: backends.EngineBackend,
    view: cacheview.CacheView,
    broadcaster: suspectbroadcast.SuspectBroadcaster,
    probe_engine: Callable[[bool], Awaitable[None]],
) -> executor.AttemptExecutor:
    """Returns an executor of sidecar `s1` in zone `az-1` for model `m1`."""
    system_clock = clock.SystemClock()
    limits = admission.QueueLimits(32, 400_000, 2_000_000, 1000, 20_000.0)
    queue = admission.AdmissionQueue(system_clock, limits)
    store = calls.store_with_records(record("model", "m1", weights_version="1"))
    return executor.AttemptExecutor(
        tasks,
        engine,
        asyncadmission.AsyncAdmissionQueue(queue, system_clock),
        view,
        bidder.Bidder(system_clock, queue, view, 20_000.0, lambda rank: 0),
        cachescopes.CacheScopeResolver(store, lambda: None),
        store,
        broadcaster,
        ("az-1", "s1"),
        probe_engine,
        system_clock,
    )
