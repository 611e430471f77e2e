"""Tests of the HTTP listener's connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from hibiscusstile import memory
from hibiscusstile.entry import listener


async def _until(condition: Callable[[], bool]) -> None:
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not come true")


async def test_a_head_that_begins_counts_as_waiting_from_then() -> None:
    """Guards against a request whose idle connection is closed for another."""

    async def respond(unused_request: web.BaseRequest) -> web.Response:
        return web.Response()

    loop = asyncio.get_running_loop()
    manager: Any = web.Server(respond)
    protocol = listener.HttpProtocol(
        manager,
        loop=loop,
        connections=memory.ConnectionLimit(10),
        head_timeout_s=30,
        max_head_bytes=1024,
    )
    server = await loop.create_server(lambda: protocol, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        async with asyncio.timeout(10):
            await _until(lambda: protocol.waiting_s is not None)
            writer.write(b"GET / HTTP/1.1\r\n")
            await _until(lambda: protocol.head_started)
            assert protocol.waiting_s is None
            # More of the head does not prolong the wait.
            while protocol.waiting_s is None:
                writer.write(b"A: b\r\n")
                await asyncio.sleep(0.1)
    finally:
        writer.close()
        server.close()
        await manager.shutdown()
