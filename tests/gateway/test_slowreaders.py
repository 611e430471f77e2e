"""Tests of request bodies that backend servers read slowly or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from hibiscusstile import boundedhttp
from hibiscusstile.gateway import exchange, fleet
from hibiscusstile.platform import servers
from tests.builders import gateway as builders
from tests.builders import rawserver

_BODY = bytes(range(256)) * 16 * 1024
_REQUESTS = 8
# The bound that the client promises: two slices of a body.
_MAX_COPIED_BYTES = 128 * 1024
# What Linux grants for a send buffer of 128 KiB, bookkeeping included.
_MAX_KERNEL_BYTES = 256 * 1024


@contextlib.asynccontextmanager
async def _deaf_server() -> AsyncIterator[str]:
    """Yields the address of a server that accepts but never reads."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.fixture
def transports(monkeypatch: pytest.MonkeyPatch) -> list[asyncio.Transport]:
    """Transports of the connections that the client opens."""
    opened: list[asyncio.Transport] = []
    handler = boundedhttp.BoundedResponseHandler
    connection_made = handler.connection_made

    def record(self: Any, transport: Any) -> None:
        opened.append(transport)
        connection_made(self, transport)

    monkeypatch.setattr(handler, "connection_made", record)
    return opened


async def _send(
    client: servers.HttpServerClient, address: str, request_id: str
) -> bytes:
    request = builders.forwarded_request(
        request_id, body=_BODY, headers=(("X-Request-Id", request_id),)
    )
    server = fleet.BackendServer("i-1", "accounts", address, "z1", slots=1)
    async with client.send(
        server, request, exchange.SendOptions("", 0, 20.0)
    ) as response:
        return b"".join([chunk async for chunk in response.chunks()])


async def test_an_unread_body_is_copied_in_small_parts(
    transports: list[asyncio.Transport],
) -> None:
    """Guards against a second copy of each body that is read slowly."""
    client = servers.HttpServerClient()
    async with _deaf_server() as address:
        requests = [
            asyncio.create_task(_send(client, address, f"r{number}"))
            for number in range(_REQUESTS)
        ]
        await asyncio.sleep(0.5)
        assert len(transports) == _REQUESTS
        for transport in transports:
            copied = transport.get_write_buffer_size()
            assert 0 < copied <= _MAX_COPIED_BYTES
            sock = transport.get_extra_info("socket")
            kernel = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
            assert kernel <= _MAX_KERNEL_BYTES
        for each in requests:
            each.cancel()
        await asyncio.gather(*requests, return_exceptions=True)
        await asyncio.sleep(0.1)
        assert not any(each.get_write_buffer_size() for each in transports)
    await client.close()


async def test_a_body_that_is_read_slowly_arrives_unchanged() -> None:
    """Guards against slices that are lost, repeated or out of order."""
    received = bytearray()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        assert f"content-length: {len(_BODY)}\r\n".encode() in head.lower()
        while len(received) < len(_BODY):
            received.extend(await reader.read(200_000))
            await asyncio.sleep(0.002)
        writer.write(rawserver.response_bytes("r1", b"done"))
        writer.close()

    client = servers.HttpServerClient()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, asyncio.timeout(20):
        assert await _send(client, f"127.0.0.1:{port}", "r1") == b"done"
    assert bytes(received) == _BODY
    await client.close()
