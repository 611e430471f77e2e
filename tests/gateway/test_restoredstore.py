"""Tests of a store that comes back from a copy, with real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import json
from collections.abc import AsyncIterator, Callable

import pytest

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform
from hibiscusstile.gateway import follower
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import (
    consumers,
    operatorrecords,
    platformstore,
    serverentries,
    topics,
)
from hibiscusstile_standins import runner as runner_lib
from hibiscusstile_standins import store as store_lib
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rollout

_OPERATORS = operatorrecords.OPERATOR_TOPIC
_SERVERS = serverentries.SERVER_TOPIC


class _Feeds:
    """Followers of the operators' records and of the servers' entries."""

    def __init__(self) -> None:
        self.clock = clock_lib.SystemClock()
        self.store = store_lib.PlatformStoreService()
        self.state = builders.gateway_state(self.clock)
        self._log: platformstore.PlatformStore | None = None
        self._followers: list[follower.KeyedFollower] = []

    async def start(self) -> None:
        await self.store.start()
        self._log = platformstore.PlatformStore(f"127.0.0.1:{self.store.port}")
        for topic, consumer in (
            (_OPERATORS, consumers.OperatorRecordConsumer(self.state)),
            (_SERVERS, consumers.ServerEntryConsumer(self.state)),
        ):
            self._followers.append(
                follower.KeyedFollower(self._log, topic, consumer, self.clock)
            )

    async def close(self) -> None:
        assert self._log is not None
        await self._log.close()
        await self.store.close()

    @contextlib.asynccontextmanager
    async def following(self) -> AsyncIterator[None]:
        """Runs the followers; they keep their positions when it ends."""
        tasks = [asyncio.ensure_future(each.run()) for each in self._followers]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    async def publish(self, version: int) -> None:
        record = json.dumps(builders.configuration_record(version)).encode()
        await self.store.put(_OPERATORS, "config", record)

    async def list_server(self, server_id: str, **fields: object) -> None:
        entry = runner_lib.FakeBackendServer(server_id).discovery_entry(
            builders.PLAIN_SERVICE, address="127.0.0.1:1", **fields
        )
        await self.store.put(_SERVERS, server_id, entry)

    async def fill(self, records: int) -> None:
        """Appends records of other keys to both topics."""
        for _ in range(records):
            await self.store.put(_OPERATORS, "other", b"1")
            await self.store.put(_SERVERS, "other", b"")

    async def until(
        self, condition: Callable[[state_lib.GatewayState], bool]
    ) -> None:
        end_s = self.clock.monotonic() + 2.0
        while not condition(self.state):
            assert self.clock.monotonic() < end_s, "not known in time"
            await asyncio.sleep(0.01)

    async def until_page(self, page: int) -> None:
        """Waits until a page of newest records is being read."""
        async with asyncio.timeout(2.0):
            while self.store.calls.count("newest") < page:  # noqa: ASYNC110
                await asyncio.sleep(0.005)


@pytest.fixture
async def feeds() -> AsyncIterator[_Feeds]:
    running = _Feeds()
    await running.start()
    try:
        yield running
    finally:
        await running.close()


def _server_ids(state: state_lib.GatewayState) -> set[str]:
    return {server.server_id for server in state.fleet.servers}


@pytest.mark.parametrize("restores", [1, 3])
async def test_records_below_an_outgrown_offset_are_read(
    feeds: _Feeds, restores: int
) -> None:
    """Guards against records lost if the topic outgrows a position (CONFIG)."""
    await feeds.publish(1)
    await feeds.list_server("i-1")
    feeds.store.take_copy()
    await feeds.publish(2)
    await feeds.fill(3)
    async with feeds.following():
        await feeds.until(lambda state: state.table is not None)
        await feeds.until(lambda state: len(state.fleet) == 1)
    for number in range(restores):
        feeds.store.restore()
        await feeds.publish(3 + number)
    await feeds.store.put(
        _OPERATORS, "version/m1", b'{"model": "m1", "version": 7}'
    )
    await feeds.list_server("i-1", state="draining")
    await feeds.list_server("i-2")
    await feeds.fill(4)
    async with feeds.following():
        await feeds.until(
            lambda state: state.table.version == 2 + restores  # type: ignore[union-attr]
        )
        await feeds.until(lambda state: state.weights.target("m1") is not None)
        await feeds.until(lambda state: _server_ids(state) == {"i-1", "i-2"})
        usable = feeds.state.fleet.usable_servers(builders.PLAIN_SERVICE)
        assert [server.server_id for server in usable] == ["i-2"]


async def test_servers_missing_from_the_copy_are_kept_for_a_moment(
    feeds: _Feeds,
) -> None:
    """Guards against refusals until running servers register again."""
    await feeds.list_server("i-1")
    feeds.store.take_copy()
    await feeds.list_server("i-2")
    async with feeds.following():
        await feeds.until(lambda state: len(state.fleet) == 2)
    feeds.store.restore()
    await feeds.fill(4)
    async with feeds.following():
        newest_reads = feeds.store.calls.count("newest")
        await feeds.until_page(newest_reads + 1)
        await asyncio.sleep(0.1)
        assert _server_ids(feeds.state) == {"i-1", "i-2"}


async def test_a_gone_server_that_the_copy_lists_is_not_used(
    feeds: _Feeds,
) -> None:
    """Guards against requests to a server that has left (DRAIN)."""

    def usable_ids(state: state_lib.GatewayState) -> set[str]:
        usable = state.fleet.usable_servers(builders.PLAIN_SERVICE)
        return {server.server_id for server in usable}

    await feeds.list_server("i-1", sequence=5)
    await feeds.list_server("i-2")
    feeds.store.take_copy()
    async with feeds.following():
        await feeds.until(lambda state: len(state.fleet) == 2)
        await feeds.store.put(_SERVERS, "i-1", b"")
        await feeds.until(lambda state: _server_ids(state) == {"i-2"})
    feeds.store.restore()
    await feeds.list_server("i-3")
    async with feeds.following():
        await feeds.until(lambda state: "i-3" in _server_ids(state))
        assert usable_ids(feeds.state) == {"i-2", "i-3"}
        # A process that was silent for three heartbeats goes on counting.
        await feeds.list_server("i-1", sequence=6)
        await feeds.until(lambda state: "i-1" in usable_ids(state))


async def test_a_removal_that_an_entry_followed_removes_no_server() -> None:
    """Guards against a live server that records read twice take away."""
    state = builders.gateway_state(clock_lib.SystemClock())
    consumer = consumers.ServerEntryConsumer(state)
    entry = runner_lib.FakeBackendServer("i-1").discovery_entry(
        builders.PLAIN_SERVICE, address="127.0.0.1:1", sequence=9
    )
    # The removal is older, and comes since the list took several pages.
    consumer.apply_all([topics.KeyedRecord("i-1", entry, 8)])
    consumer.apply(topics.KeyedRecord("i-1", b"", 7))
    consumer.apply(topics.KeyedRecord("i-1", entry, 8))
    assert state.fleet.usable_servers(builders.PLAIN_SERVICE)
    consumer.apply(topics.KeyedRecord("i-1", b"", 9))
    assert not state.fleet.usable_servers(builders.PLAIN_SERVICE)


async def test_pages_of_two_eras_are_not_combined(feeds: _Feeds) -> None:
    """Guards against servers that only the lost part of the log listed."""
    await feeds.list_server("i-2")
    feeds.store.take_copy()
    await feeds.list_server("i-1")
    feeds.store.set_page_size(1)
    feeds.store.set_delay(0.1)
    async with feeds.following():
        # The operators' topic is empty, so its only page is one of three.
        await feeds.until_page(3)
        feeds.store.restore()
        await feeds.until(lambda state: len(state.fleet) > 0)
        assert _server_ids(feeds.state) == {"i-2"}


class _RestartingLog(rollout.MemoryLog):
    """A log that is exchanged while its newest records are read."""

    def __init__(self) -> None:
        super().__init__()
        self.on_newest: Callable[[], None] | None = None

    async def read_newest(
        self, topic: str
    ) -> topics.NewestRecords | platform.LogUnavailable:
        """Returns records of the log before the exchange."""
        found = await super().read_newest(topic)
        on_newest, self.on_newest = self.on_newest, None
        if on_newest is not None:
            on_newest()
        return found

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> topics.RecordBatch | topics.Trimmed | platform.LogUnavailable:
        """Waits forever."""
        await asyncio.Event().wait()
        raise AssertionError


async def test_a_restart_during_a_read_of_all_keys_is_not_undone() -> None:
    """Guards against an offset of a store that is no longer used."""
    clock = base.YieldingClock()
    log = _RestartingLog()
    state = builders.gateway_state(clock)
    restarted = follower.KeyedFollower(
        log, _OPERATORS, consumers.OperatorRecordConsumer(state), clock
    )
    log.on_newest = restarted.restart
    task = asyncio.ensure_future(restarted.run())
    for _ in range(20):
        await asyncio.sleep(0)
    task.cancel()
    assert log.newest_reads == 2
