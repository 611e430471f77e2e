"""Tests of following a topic of the platform's log."""

from __future__ import annotations

import asyncio
import datetime
import json

from hibiscusstile import platform
from hibiscusstile.gateway import follower
from hibiscusstile.platform import feeds, operatorrecords, topics
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rollout as rollouts


class _UnwokenLog(rollouts.MemoryLog):
    """A log whose waiting reads end only with their time.

    Args:
        clock: Is moved by the time that reads wait.
    """

    def __init__(self, clock: base.ManualClock) -> None:
        super().__init__()
        self._clock = clock
        self.waits_s: list[float] = []

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> topics.Records | topics.Trimmed | platform.LogUnavailable:
        """Returns what was there when the wait began."""
        found = await super().read(topic, offset, wait)
        if isinstance(found, topics.Records) and not found.payloads:
            self.waits_s.append(wait.total_seconds())
            await self._clock.sleep(wait)
        await asyncio.sleep(0)
        return found


async def _until(
    task: asyncio.Task[None], log: _UnwokenLog, reads: int
) -> None:
    while len(log.waits_s) < reads and not task.done():  # noqa: ASYNC110
        await asyncio.sleep(0)


async def test_a_wait_that_misses_an_append_is_short_after_news() -> None:
    """Guards against a configuration that is 8 s late.

    Found on a played day: a cut healed as a configuration was appended, and
    the wait that began in the same millisecond did not end with it (CONFIG).
    """
    clock = base.ManualClock()
    state = builders.gateway_state(clock)
    log = _UnwokenLog(clock)
    topic = operatorrecords.OPERATOR_TOPIC
    task = asyncio.ensure_future(
        follower.KeyedFollower(
            log, topic, feeds.OperatorFeed(state), clock
        ).run()
    )
    try:
        await _until(task, log, 1)
        for version in (3, 4):
            published_s = clock.monotonic()
            record = json.dumps(builders.configuration_record(version))
            await log.append(
                topic, topics.encode_keyed("config", record.encode())
            )
            await _until(task, log, len(log.waits_s) + 1)
            assert state.table is not None
            assert state.table.version == version
            assert clock.monotonic() - published_s <= 2.0
        await _until(task, log, len(log.waits_s) + 3)
        assert log.waits_s[-1] == 8.0
    finally:
        task.cancel()
