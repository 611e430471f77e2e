"""Tests of telling crashes of servers from lost responses."""

from __future__ import annotations

import asyncio
import socket

import pytest

from hibiscusstile.gateway import crashdetection
from hibiscusstile.platform import servers
from tests.builders import gateway as builders
from tests.builders import rawserver


@pytest.mark.parametrize("crashes", [True, False])
async def test_only_a_server_that_refuses_connections_counts_as_crashed(
    crashes: bool,
) -> None:
    """Guards against taking a lost response for a crash."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        listed = harness.state.fleet.get("i-1")
        assert listed is not None
        if crashes:
            await runner.close()
        detector = crashdetection.CrashDetector(
            harness.state, servers.HttpServerClient()
        )
        assert await detector.has_crashed(listed) is crashes
        assert harness.state.health.is_up("i-1") is not crashes


async def test_a_server_that_has_left_does_not_count_as_crashed() -> None:
    """Guards against charging requests with a planned end of their server."""
    async with builders.gateway_harness() as harness:
        await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        listed = harness.state.fleet.get("i-1")
        assert listed is not None
        await harness.runners[0].close()
        harness.state.fleet.remove("i-1")
        detector = crashdetection.CrashDetector(
            harness.state, servers.HttpServerClient()
        )
        assert await detector.has_crashed(listed) is False


async def test_a_server_that_still_closes_its_port_counts_as_crashed() -> None:
    """Guards against crashes that are not charged to the request behind them.

    The kernel closes the connections of a process before its port, and accepts
    another connection meanwhile.
    """
    async with builders.gateway_harness() as harness:
        with socket.socket() as port:
            port.bind(("127.0.0.1", 0))
            port.listen()
            address = f"127.0.0.1:{port.getsockname()[1]}"
            await harness.add_address(builders.PLAIN_SERVICE, "i-1", address)
            listed = harness.state.fleet.get("i-1")
            assert listed is not None
            asyncio.get_running_loop().call_later(0.01, port.close)
            detector = crashdetection.CrashDetector(
                harness.state, servers.HttpServerClient()
            )
            assert await detector.has_crashed(listed) is True


async def test_a_server_that_closes_new_connections_has_not_crashed() -> None:
    """Guards against taking a server at its limit of connections for down."""

    async def close_at_once(connection: rawserver.RawConnection) -> None:
        connection.close()

    async with (
        builders.gateway_harness() as harness,
        rawserver.raw_server(close_at_once) as address,
    ):
        await harness.add_address(builders.PLAIN_SERVICE, "i-1", address)
        listed = harness.state.fleet.get("i-1")
        assert listed is not None
        detector = crashdetection.CrashDetector(
            harness.state, servers.HttpServerClient()
        )
        assert await detector.has_crashed(listed) is False
