"""Tests of the records read from the platform's store, with real sockets."""

from __future__ import annotations

import asyncio
import datetime
import json
import socket

import pytest

from hibiscusstile import platform
from hibiscusstile.gateway import routes
from hibiscusstile.platform import (
    operatorrecords,
    platformstore,
    serverentries,
    topics,
)
from hibiscusstile_standins import store as store_lib
from tests.builders import gateway as builders

_NO_WAIT = datetime.timedelta(0)


async def test_a_newer_configuration_is_applied_without_delay() -> None:
    """Guards against waiting for a poll interval before a change is read."""
    async with builders.gateway_harness() as world:
        record = builders.configuration_record(7)
        await world.store.put("keyed.op", "config", json.dumps(record).encode())
        await world.until(lambda: world.state.table.version == 7, 0.5)


async def test_an_older_configuration_is_not_applied() -> None:
    """Guards against a stale read that restores an older version."""
    async with builders.gateway_harness() as world:
        world.state.apply_table(builders.routing_table(9))
        assert not world.state.apply_table(builders.routing_table(8))
        assert world.state.table is not None
        assert world.state.table.version == 9


async def test_a_malformed_record_keeps_the_current_configuration() -> None:
    """Guards against an outage caused by one malformed record."""
    async with builders.gateway_harness() as world:
        await world.store.put("keyed.op", "config", b"\xff not json")
        await world.store.put("keyed.op", "version/m1", b'{"model": 5}')
        record = builders.configuration_record(3)
        await world.store.put("keyed.op", "config", json.dumps(record).encode())
        await world.until(lambda: world.state.table.version == 3)


async def test_a_trimmed_topic_is_read_from_its_newest_records() -> None:
    """Guards against a follower that waits at an offset that was trimmed."""
    async with builders.gateway_harness() as world:
        runner = await world.add_runner(builders.PLAIN_SERVICE, "i-1")
        world.store.set_down(True)
        await world.until(lambda: True)
        for server_id in ("i-2", "i-3"):
            await world.store.put(
                serverentries.SERVER_TOPIC,
                server_id,
                runner.discovery_entry(builders.PLAIN_SERVICE),
            )
        world.store.forget_history(serverentries.SERVER_TOPIC)
        world.store.set_down(False)
        await world.until(lambda: len(world.state.fleet) == 3, 12.0)


async def test_a_move_of_the_store_cancels_no_caller() -> None:
    """Guards against a stop that a move of the store cuts short."""
    with socket.create_server(("127.0.0.1", 0)) as silent:
        port = silent.getsockname()[1]
        log = platformstore.PlatformStore(f"127.0.0.1:{port}")
        calls = [
            asyncio.ensure_future(log.append("t", b"x")) for _ in range(12)
        ]
        await asyncio.sleep(0.1)
        await log.move("127.0.0.1:1")
        results = await asyncio.gather(*calls, return_exceptions=True)
        await log.close()
    assert {type(each) for each in results} == {platform.AppendUnknown}


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "lost"},
        {"cold_remaining_ms": 0, "zone": 5},
        {"address": "nowhere"},
        {"zone": None},
        {"slots": "8"},
        {"models": [{"name": "m1", "version": "1"}]},
    ],
)
async def test_a_malformed_entry_changes_no_server(
    changes: dict[str, object],
) -> None:
    """Guards against requests to an address that no server announced."""
    async with builders.gateway_harness() as world:
        runner = await world.add_runner(builders.PLAIN_SERVICE, "i-1")
        entry = runner.discovery_entry(builders.PLAIN_SERVICE, **changes)
        assert serverentries.decode_entry("i-9", entry) is None
        assert serverentries.decode_entry("i-9", b"\xff") is None
        await world.store.put(serverentries.SERVER_TOPIC, "i-1", entry)
        assert (await world.call("/lookup/1"))[0] == 200


async def test_a_draining_entry_ends_new_work() -> None:
    """Guards against new requests to a draining server."""
    async with builders.gateway_harness() as world:
        runner = await world.add_runner(builders.PLAIN_SERVICE, "i-1")
        entry = runner.discovery_entry(builders.PLAIN_SERVICE, state="draining")
        await world.store.put(serverentries.SERVER_TOPIC, "i-1", entry)
        await world.until(
            lambda: not world.state.fleet.usable_servers(builders.PLAIN_SERVICE)
        )
        status, _, headers = await world.call("/payment/1")
        assert status == 503
        assert "Retry-After" in headers
        assert not runner.arrivals


async def test_a_conditional_append_fails_if_the_topic_has_grown() -> None:
    """Guards against two processes holding the lease at the same time."""
    store = store_lib.PlatformStoreService()
    await store.start()
    platform_store = platformstore.PlatformStore(f"127.0.0.1:{store.port}")
    try:
        await platform_store.append("lease", b"a", 0)
        result = await platform_store.append("lease", b"b", 0)
        assert result == topics.AppendConflict(1, store.era)
        records = await platform_store.read("lease", 0, _NO_WAIT)
        assert isinstance(records, topics.RecordBatch)
        assert records.payloads == (b"a",)
    finally:
        await platform_store.close()
        await store.close()


def test_the_longest_prefix_of_the_host_wins() -> None:
    """Guards against routing a request to the wrong service."""
    record = builders.configuration_record()
    record["routes"] = [
        builders.operator_route("short", "/a/"),
        builders.operator_route("long", "/a/b/"),
        builders.operator_route("other", "/a/b/c/", host="other.example"),
    ]
    table = builders.routing_table(routes=record["routes"])
    found = table.match(f"{builders.HOST.upper()}:8080", "/a/b/c/d")
    assert found is not None and found.name == "long"
    assert table.match(builders.HOST, "/ab") is None
    assert table.match("nobody.example", "/a/") is None


def test_a_split_follows_its_weights_and_is_stable_per_request() -> None:
    """Guards against processes that split the same request differently."""
    route = routes.Route(
        "r",
        "h",
        "/",
        routes.RequestKind.IDEMPOTENT,
        1.0,
        1.0,
        0,
        (routes.TrafficShare("a", 90), routes.TrafficShare("b", 10)),
    )
    chosen = [route.service_for(f"r{number}") for number in range(2000)]
    assert chosen == [route.service_for(f"r{n}") for n in range(2000)]
    assert 120 < chosen.count("b") < 280


def test_a_configuration_error_names_the_missing_field() -> None:
    """Guards against an error message without the field's location."""
    with pytest.raises(operatorrecords.RecordError, match="version"):
        operatorrecords.decode_configuration(b'{"routes": []}')


async def test_connections_to_the_store_are_not_reused() -> None:
    """Guards against reads on a connection that a network partition broke.

    Such a read hung for 3 s after the partition had ended, and the gateway
    refused keys according to an older configuration.
    """

    async def answer_once(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        body = b'{"items": [], "end": 0}'
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        writer.write(body)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer_once, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    platform_store = platformstore.PlatformStore(f"127.0.0.1:{port}")
    try:
        for _ in range(2):
            assert await platform_store.read_newest(
                "keyed.op"
            ) == topics.NewestRecords((), 0)
    finally:
        await platform_store.close()
        server.close()
