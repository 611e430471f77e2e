"""Tests of records that a consumer fails on."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence

from hibiscusstile.gateway import follower
from hibiscusstile.platform import consumers, topics
from tests import builders as base
from tests.builders import rollout as rollouts

_TOPIC = "keyed.things"


class _FailingConsumer(follower.Consumer):
    """Fails on the records of one key."""

    def __init__(self) -> None:
        self.keys: list[str] = []

    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        for record in records:
            self.apply(record)

    def apply(self, record: topics.KeyedRecord) -> None:
        if record.key == "odd":
            raise RecursionError("a record that nobody expected")
        self.keys.append(record.key)


async def test_a_record_that_cannot_be_applied_is_passed_over() -> None:
    """Guards against a follower that ends at the same record again."""
    log = rollouts.MemoryLog()
    consumer = _FailingConsumer()
    followed = follower.KeyedFollower(
        log,
        _TOPIC,
        consumers.IsolatingConsumer(consumer),
        base.YieldingClock(),
    )
    task = asyncio.ensure_future(followed.run())
    await asyncio.sleep(0)
    for key in ("a", "odd", "b"):
        await log.append(_TOPIC, topics.encode_keyed_record(key, b"x"))
    for _ in range(50):
        await asyncio.sleep(0)
    assert not task.done()
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    assert consumer.keys == ["a", "b"]


def test_a_listing_with_a_record_that_cannot_be_applied_is_applied() -> None:
    """Guards against a process that never gets past its first listing."""
    consumer = _FailingConsumer()
    consumers.IsolatingConsumer(consumer).apply_all(
        [topics.KeyedRecord(key, b"x", 0) for key in ("a", "odd", "b")]
    )
    assert consumer.keys[-2:] == ["a", "b"]
