"""Tests of the attempt executor with a crashing engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from hibiscusstile import (
    backends,
    cacheview,
    clock,
    outcome,
    supervisor,
    suspects,
)
from hibiscusstile.peers import messages
from tests import builders


class _CrashingEngine(backends.EngineBackend):
    """Crashes once it has started two requests."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.both_started = asyncio.Event()

    async def generate(
        self, generation: backends.GenerationRequest
    ) -> AsyncIterator[backends.EngineEvent]:
        self.started.append(generation.attempt_id)
        yield backends.EngineStarted(0)
        if len(self.started) == 2:
            self.both_started.set()
        await self.both_started.wait()
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.BACKEND_CRASHED,
                "crashed",
                outcome.Verdict.MAY_HAVE_RUN,
            )
        )

    async def _return_none(self, *args: Any, **kwargs: Any) -> Any:
        return None

    cancel = close = cache_events = cache_blocks = _return_none  # type: ignore
    load = health = order = export_kv = import_kv = _return_none  # type: ignore

    async def probe(self, timeout_s: float) -> Any:
        return backends.ProbeFailure.REFUSED


async def test_crash_charge_is_sent_before_attempt_failures() -> None:
    """Guards against a retry by an entry that is unaware of the crash."""
    system_clock = clock.SystemClock()
    engine = _CrashingEngine()
    tasks = supervisor.Supervisor("attempts", system_clock)
    view = cacheview.CacheView()
    view.reset("engine-1")
    table = suspects.SuspectTable(system_clock)
    broadcaster = builders.suspect_broadcaster(table)
    attempt_executor = builders.attempt_executor(
        tasks,
        engine,
        view,
        broadcaster,
        lambda broke: attempt_executor.note_crash("engine-1"),
    )
    connection = builders.RecordingConnection()
    broadcaster.add(connection)
    supervision = asyncio.ensure_future(tasks.run())
    attempt_executor.start(connection, builders.dispatch("att-1", "one"), 0)
    attempt_executor.start(connection, builders.dispatch("att-2", "two"), 0)
    await asyncio.sleep(0.1)
    supervision.cancel()
    await asyncio.gather(supervision, return_exceptions=True)
    received = [
        m
        for m in connection.sent
        if isinstance(m, messages.SuspectNotice | messages.Failed)
    ]
    assert [m.name for m in received] == ["suspect_notice", "failed", "failed"]
    charge = received[0].charges[0]
    assert charge.crash_id == "az-1/s1/engine-1"
    assert len(charge.fingerprints) == 2
    assert len(table) == 1
