"""Tests of odd reports of engines and events of KV cache stores."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import test_utils, web

from hibiscusstile import clock as clock_lib
from hibiscusstile.gateway import exchange
from hibiscusstile.platform import cacheevents, orders
from tests.builders import gateway as builders

_DEEP = "[" * 100_000 + "]" * 100_000
_HUGE = "9" * 400
_ODD_REPORTS = [
    _DEEP,
    '{"models": [{"name": "m1", "version": ' + _HUGE + "}]}",
    '{"models": [{"name": "m1", "version": -1}]}',
    '{"sequence": ' + _HUGE + "}",
    '{"waiting": -1}',
    '{"running": 1e999}',
    "[]",
    "\udcff",
]
_ODD_EVENTS = [
    _DEEP,
    '{"epoch": 1, "next": ' + "9" * 5000 + "}",
    '{"epoch": 1, "next": ' + _HUGE + "}",
    '{"epoch": 1, "next": -1}',
    '{"epoch": 1, "next": 2, "events": [[1, "+", '
    + "[" * 150
    + "]" * 150
    + ', "p", 5]]}',
    '{"epoch": 1, "next": 2, "events": [[1, "+", "s", "p", 1e999]]}',
    '{"epoch": 1, "next": 2, "events": [[]]}',
    "\udcff",
]

_Handler = Callable[[web.Request], Awaitable[web.Response]]


async def _start(handler: _Handler) -> test_utils.TestServer:
    app = web.Application()
    app.router.add_get("/{path:.*}", handler)
    server = test_utils.TestServer(app)
    await server.start_server()
    return server


@pytest.mark.parametrize("body", _ODD_REPORTS)
async def test_an_odd_report_is_not_used(body: str) -> None:
    """Guards against a rollout that ends at an engine's report."""

    async def respond(request: web.Request) -> web.Response:
        return web.Response(body=body.encode(errors="surrogateescape"))

    server = await _start(respond)
    state = builders.gateway_state(clock_lib.SystemClock())
    engine_orders = orders.HttpOrders(state.server_statements)
    engine = dataclasses.replace(
        builders.backend_server(), address=f"127.0.0.1:{server.port}"
    )
    try:
        assert await engine_orders.report(engine) is None
    finally:
        await engine_orders.close()
        await server.close()


@pytest.mark.parametrize("body", _ODD_EVENTS)
async def test_odd_events_do_not_end_the_feed(body: str) -> None:
    """Guards against a process that ends at a store's events."""
    bodies = itertools.chain(
        [body],
        itertools.repeat(
            '{"epoch": 1, "next": 3, "events": [[2, "+", "s", "q", 5]]}'
        ),
    )

    async def respond(request: web.Request) -> web.Response:
        await asyncio.sleep(0.05)
        return web.Response(body=next(bodies).encode(errors="surrogateescape"))

    server = await _start(respond)
    address = f"127.0.0.1:{server.port}"
    state = builders.gateway_state(clock_lib.SystemClock())
    store = {"name": "prefixes", "kv_store_addr": address, "zone": "z1"}
    services = [*builders.configuration_record()["services"], store]
    state.apply_table(builders.routing_table(services=services))
    feed = cacheevents.CacheEventFeed(state)
    task = asyncio.ensure_future(feed.run())
    try:
        end_s = state.clock.monotonic() + 3
        part = exchange.PromptPart("q", 5)
        while not state.prefix_stores.held_tokens(address, "s", (part,)):
            assert not task.done() and state.clock.monotonic() < end_s
            await asyncio.sleep(0.02)
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await feed.close()
        await server.close()
