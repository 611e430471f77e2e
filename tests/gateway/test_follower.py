"""Tests of following a keyed topic of the log."""

from __future__ import annotations

import asyncio
import datetime
import json

from hibiscusstile import platform
from hibiscusstile.gateway import follower
from hibiscusstile.platform import consumers, operatorrecords, topics
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rollout as rollouts


class _AppendMissingLog(rollouts.MemoryLog):
    """A log whose long-polls miss appends and always time out.

    Args:
        clock: Advanced by the time that reads wait.
    """

    def __init__(self, clock: base.ManualClock) -> None:
        super().__init__()
        self._clock = clock
        self.waits_s: list[float] = []

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> topics.RecordBatch | topics.Trimmed | platform.LogUnavailable:
        """Returns the records that existed when the read started."""
        found = await super().read(topic, offset, wait)
        if isinstance(found, topics.RecordBatch) and not found.payloads:
            self.waits_s.append(wait.total_seconds())
            await self._clock.sleep(wait)
        await asyncio.sleep(0)
        return found


async def _wait_for_reads(
    task: asyncio.Task[None], log: _AppendMissingLog, reads: int
) -> None:
    while len(log.waits_s) < reads and not task.done():  # noqa: ASYNC110
        await asyncio.sleep(0)


async def test_the_wait_after_new_records_is_short() -> None:
    """Guards against a configuration that is applied 8 s late (CONFIG).

    A long-poll that starts in the same millisecond as an append, for example
    when a network partition ends, can miss it and time out after 8 s.
    """
    clock = base.ManualClock()
    state = builders.gateway_state(clock)
    log = _AppendMissingLog(clock)
    topic = operatorrecords.OPERATOR_TOPIC
    task = asyncio.ensure_future(
        follower.KeyedFollower(
            log, topic, consumers.OperatorRecordConsumer(state), clock
        ).run()
    )
    try:
        await _wait_for_reads(task, log, 1)
        for version in (3, 4):
            published_s = clock.monotonic()
            record = json.dumps(builders.configuration_record(version))
            await log.append(
                topic, topics.encode_keyed_record("config", record.encode())
            )
            await _wait_for_reads(task, log, len(log.waits_s) + 1)
            assert state.table is not None
            assert state.table.version == version
            assert clock.monotonic() - published_s <= 2.0
        await _wait_for_reads(task, log, len(log.waits_s) + 3)
        assert log.waits_s[-1] == 8.0
    finally:
        task.cancel()


async def test_a_trimmed_topic_is_read_anew_without_a_pause() -> None:
    """Guards against a leaving server that is used for one pause more."""
    clock = base.YieldingClock()
    state = builders.gateway_state(clock)
    log = rollouts.MemoryLog()
    await log.append("t", topics.encode_keyed_record("i-1", b"x"))
    log.trimmed_before = 1
    reader = follower.KeyedFollower(
        log,
        "t",
        consumers.ServerEntryConsumer(state),
        clock,
        follower.ReadPace(datetime.timedelta(seconds=1.2)),
    )
    task = asyncio.ensure_future(reader.run())
    try:
        while log.newest_reads < 1:  # noqa: ASYNC110
            await asyncio.sleep(0)
        log.trimmed_before = 2
        started_s = clock.monotonic()
        while log.newest_reads < 2:  # noqa: ASYNC110
            await asyncio.sleep(0)
        assert clock.monotonic() - started_s < 1.3
    finally:
        task.cancel()
