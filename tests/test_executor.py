"""Tests of the attempt executor with a crashing engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from hibiscusstile import (
    admission,
    backends,
    bidder,
    cacheview,
    clock,
    outcome,
    platform,
    supervisor,
    suspectlog,
    suspects,
)
from hibiscusstile.peers import messages
from hibiscusstile.sidecar import (
    asyncadmission,
    cachescopes,
    executor,
    suspectbroadcast,
)
from tests import builders


class _CrashingEngine(backends.EngineBackend):
    """Crashes once it has started two requests."""

    def __init__(self) -> None:
        self.taken: list[str] = []
        self.both = asyncio.Event()

    async def generate(
        self, order: backends.GenerateOrder
    ) -> AsyncIterator[backends.EngineEvent]:
        self.taken.append(order.attempt_id)
        yield backends.EngineStarted(0)
        if len(self.taken) == 2:
            self.both.set()
        await self.both.wait()
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.BACKEND_CRASHED,
                "crashed",
                outcome.Verdict.MAY_HAVE_RUN,
            )
        )

    async def _unused(self, *args: Any, **kwargs: Any) -> Any:
        return None

    cancel = close = cache_events = cache_blocks = _unused  # type: ignore
    load = health = order = export_kv = import_kv = _unused  # type: ignore

    async def probe(self, timeout_s: float) -> Any:
        return backends.ProbeFailure.REFUSED


class _Connection:
    """Records the messages sent to an entry instance."""

    def __init__(self) -> None:
        self.sent: list[messages.PeerMessage] = []

    async def send(self, message: messages.PeerMessage) -> None:
        self.sent.append(message)


class _NoLog(platform.LogClient):
    """A log service that is unavailable."""

    def __init__(self) -> None:
        super().__init__("")

    async def append(self, stream: str, payload: bytes) -> Any:
        return platform.AppendUnknown("down")

    async def read(self, stream: str, offset: int, **kwargs: Any) -> Any:
        return platform.LogUnavailable("down")

    async def close(self) -> None:
        return


async def test_crash_charge_is_sent_before_attempt_failures() -> None:
    """Guards against a retry by an entry that is unaware of the crash."""
    system = clock.SystemClock()
    engine = _CrashingEngine()
    tasks = supervisor.Supervisor("attempts", system)
    view = cacheview.CacheView()
    view.reset("engine-1")
    table = suspects.SuspectTable(system)
    feed = suspectbroadcast.SuspectBroadcaster(
        table, suspectlog.SuspectAppender(_NoLog(), system)
    )
    limits = admission.QueueLimits(32, 400_000, 2_000_000, 1000, 20_000.0)
    queue = admission.AdmissionQueue(system, limits)
    store = builders.store_with_records(
        builders.record("model", "m1", weights_version="1")
    )
    runner = executor.AttemptExecutor(
        tasks,
        engine,
        asyncadmission.AsyncAdmissionQueue(queue, system),
        view,
        bidder.Bidder(system, queue, view, 20_000.0, lambda rank: 0),
        cachescopes.CacheScopeResolver(store, lambda: None),
        store,
        feed,
        ("az-1", "s1"),
        lambda broke: runner.note_crash("engine-1"),
        system,
    )
    connection: Any = _Connection()
    feed.add(connection)
    running = asyncio.ensure_future(tasks.run())
    runner.start(connection, builders.dispatch("att-1", "one"), 0)
    runner.start(connection, builders.dispatch("att-2", "two"), 0)
    await asyncio.sleep(0.1)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    ended = [
        m
        for m in connection.sent
        if isinstance(m, messages.SuspectNotice | messages.Failed)
    ]
    assert [m.name for m in ended] == ["suspect_notice", "failed", "failed"]
    charge = ended[0].charges[0]
    assert charge.crash_id == "az-1/s1/engine-1"
    assert len(charge.fingerprints) == 2
    assert len(table) == 1
