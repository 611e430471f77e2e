"""Tests of the reservation of ports for test servers."""

from __future__ import annotations

import asyncio
import socket

import pytest

from hibiscusstile_standins import ports


async def test_only_its_server_gets_a_reserved_port() -> None:
    """Guards against a port that is taken before its server listens on it.

    In parallel CI runs, another run took the port of a stand-in, which then
    could not listen.
    """
    port = ports.reserve_port()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(("127.0.0.1", port))
    taken = [
        await asyncio.start_server(_close, "127.0.0.1", 0) for _ in range(50)
    ]
    assert port not in [each.sockets[0].getsockname()[1] for each in taken]
    for _ in range(2):
        server = await asyncio.start_server(_close, "127.0.0.1", port)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        server.close()
    for each in taken:
        each.close()


async def _close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    del reader
    writer.close()
