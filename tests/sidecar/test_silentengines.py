"""Tests of running streams while the engine's health endpoint is silent."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest

from hibiscusstile import backends, cacheview, clock, outcome, supervisor
from hibiscusstile import suspects as suspects_lib
from hibiscusstile.peers import messages
from hibiscusstile.sidecar import enginemonitor
from tests import builders

_SILENT = backends.ProbeFailure.SILENT
_END = backends.EngineEnd("stop", 10, 0, 5)
_TIMEOUT_S = 2.0
_WINDOW_CHUNKS = 512


class _Sidecar:
    """An executor and a monitor of one engine that the test controls.

    Attributes:
        engine: The engine.
        executor: Runs the attempts.
        monitor: Its polls are started by the test.
        connection: Records what an entry instance receives.
    """

    def __init__(self, tasks: supervisor.Supervisor) -> None:
        system_clock = clock.SystemClock()
        view = cacheview.CacheView()
        self.engine = builders.SteppedEngine()
        self.connection = builders.RecordingConnection()
        self.executor = builders.attempt_executor(
            tasks,
            self.engine,
            view,
            builders.suspect_broadcaster(
                suspects_lib.SuspectTable(system_clock)
            ),
            lambda broke: self.monitor.poll(stream_broke=broke),
        )
        self.monitor = enginemonitor.EngineMonitor(
            self.engine,
            view,
            self.executor.note_crash,
            self.executor.fail_running,
            self._announce,
            system_clock,
        )

    async def start(self, attempt_id: str) -> None:
        """Starts an attempt and waits for its first chunk."""
        self.executor.start(
            self.connection, builders.dispatch(attempt_id, "one"), 0
        )
        self.engine.send_event(attempt_id, backends.EngineStarted(0))
        await self.generate(attempt_id, "w0 ")

    async def generate(self, attempt_id: str, *texts: str) -> None:
        """Lets the engine send texts and waits for the last one's chunk."""
        for text in texts:
            self.engine.send_event(attempt_id, backends.EngineText(text))
        await self.wait_for(
            lambda message: (
                isinstance(message, messages.Chunk)
                and message.attempt_id == attempt_id
                and message.text == texts[-1]
            )
        )

    async def end(self, attempt_id: str) -> messages.PeerMessage:
        """Lets the engine end an attempt and returns its last message."""
        self.engine.send_event(attempt_id, _END)
        return await self.last_message(attempt_id)

    async def last_message(self, attempt_id: str) -> messages.PeerMessage:
        """Waits for an attempt's end or failure."""
        return await self.wait_for(
            lambda message: (
                isinstance(message, messages.End | messages.Failed)
                and message.attempt_id == attempt_id
            )
        )

    async def wait_for(
        self, matches: Callable[[messages.PeerMessage], bool]
    ) -> messages.PeerMessage:
        """Waits for a message to the entry instance."""
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                for message in self.connection.sent:
                    if matches(message):
                        return message
                await asyncio.sleep(0.005)

    @contextlib.asynccontextmanager
    async def silent_probe(self) -> AsyncIterator[None]:
        """Runs the body during a probe that gets no answer."""
        poll = asyncio.ensure_future(self.monitor.poll())
        await asyncio.sleep(0.01)
        yield
        self.engine.answer_probe(_SILENT)
        async with asyncio.timeout(_TIMEOUT_S):
            await poll

    async def _announce(self) -> None:
        return


@pytest.fixture(name="sidecar")
async def _sidecar() -> AsyncIterator[_Sidecar]:
    tasks = supervisor.Supervisor("attempts", clock.SystemClock())
    supervision = asyncio.ensure_future(tasks.run())
    sidecar = _Sidecar(tasks)
    sidecar.engine.answer_probe(sidecar.engine.state)
    await sidecar.monitor.poll()
    yield sidecar
    supervision.cancel()
    await asyncio.gather(supervision, return_exceptions=True)


async def test_a_stream_with_output_survives_a_silent_probe(
    sidecar: _Sidecar,
) -> None:
    """Guards against answers cut while their engine works on them."""
    await sidecar.start("att-1")
    async with sidecar.silent_probe():
        await sidecar.generate("att-1", "w1 ")
    assert sidecar.monitor.health is None
    assert isinstance(await sidecar.end("att-1"), messages.End)


async def test_a_stream_without_output_fails_at_a_silent_probe(
    sidecar: _Sidecar,
) -> None:
    """Guards against callers that wait for a hung engine."""
    await sidecar.start("att-1")
    await sidecar.start("att-2")
    async with sidecar.silent_probe():
        await sidecar.generate("att-2", "w1 ")
    # The failure is sent once the check for a crash has ended.
    sidecar.engine.answer_probe(_SILENT)
    failed = await sidecar.last_message("att-1")
    assert isinstance(failed, messages.Failed)
    assert failed.reason is outcome.Reason.BACKEND_FAILED
    assert failed.verdict is outcome.Verdict.MAY_HAVE_RUN


async def test_a_stream_that_goes_silent_fails_at_the_next_silent_probe(
    sidecar: _Sidecar,
) -> None:
    """Guards against a stream that hangs after its output in one probe."""
    await sidecar.start("att-1")
    async with sidecar.silent_probe():
        await sidecar.generate("att-1", "w1 ")
    async with sidecar.silent_probe():
        pass
    sidecar.engine.answer_probe(_SILENT)
    assert isinstance(await sidecar.last_message("att-1"), messages.Failed)


async def test_a_stream_that_waits_for_its_caller_survives_a_silent_probe(
    sidecar: _Sidecar,
) -> None:
    """Guards against the engine blamed for a caller that reads slowly."""
    await sidecar.start("att-1")
    texts = [f"w{number} " for number in range(1, _WINDOW_CHUNKS)]
    await sidecar.generate("att-1", *texts)
    sidecar.engine.send_event("att-1", backends.EngineText("late "))
    await asyncio.sleep(0.01)
    async with sidecar.silent_probe():
        pass
    sidecar.executor.acknowledge(messages.Ack("att-1", _WINDOW_CHUNKS))
    assert isinstance(await sidecar.end("att-1"), messages.End)


async def test_a_request_sent_during_a_silent_probe_is_kept(
    sidecar: _Sidecar,
) -> None:
    """Guards against a time limit that a request has not waited for."""
    async with sidecar.silent_probe():
        sidecar.executor.start(
            sidecar.connection, builders.dispatch("att-1", "one"), 0
        )
        await asyncio.sleep(0.02)
    sidecar.engine.send_event("att-1", backends.EngineStarted(0))
    assert isinstance(await sidecar.end("att-1"), messages.End)
