"""Tests of telling crashes of servers from lost responses."""

from __future__ import annotations

import pytest

from hibiscusstile.gateway import crashdetection
from hibiscusstile.platform import servers
from tests.builders import gateway as builders


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
