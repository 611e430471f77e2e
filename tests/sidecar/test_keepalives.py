"""Tests of the keep-alive messages of attempts."""

from __future__ import annotations

import asyncio

from hibiscusstile import cacheview, clock, supervisor, suspects
from hibiscusstile.peers import messages
from tests import builders

_SILENCE_LIMIT_S = 1.5


class _StuckConnection(builders.RecordingConnection):
    """A connection to an entry instance that has stopped reading."""

    def __init__(self) -> None:
        super().__init__()
        self.blocked = asyncio.Event()

    async def send(self, message: messages.PeerMessage) -> None:
        """Waits for room in the send buffer, which stays full."""
        self.blocked.set()
        await asyncio.get_running_loop().create_future()


async def test_an_entry_that_reads_nothing_delays_no_other() -> None:
    """Guards against streams given up since another entry is frozen."""
    system_clock = clock.SystemClock()
    tasks = supervisor.Supervisor("attempts", system_clock)
    executor = builders.attempt_executor(
        tasks,
        builders.SteppedEngine(),
        cacheview.CacheView(),
        builders.suspect_broadcaster(suspects.SuspectTable(system_clock)),
        lambda broke: asyncio.sleep(0),
    )
    stuck, sound = _StuckConnection(), builders.RecordingConnection()
    running = [
        asyncio.ensure_future(tasks.run()),
        asyncio.ensure_future(executor.run()),
    ]
    try:
        executor.start(stuck, builders.dispatch("att-1", "one"), 0)
        executor.start(sound, builders.dispatch("att-2", "two"), 0)
        async with asyncio.timeout(5):
            await stuck.blocked.wait()
        sound.sent.clear()
        await asyncio.sleep(_SILENCE_LIMIT_S)
        assert messages.Progress("att-2") in sound.sent
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
