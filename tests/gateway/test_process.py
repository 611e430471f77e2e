"""Tests of the gateway as a separate process."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from hibiscusstile import supervisor
from hibiscusstile.platform import boot, members
from hibiscusstile.roles import gateway as gateway_role
from hibiscusstile_standins import store as store_lib
from tests.builders import gatewayprocess as process_lib

_GRACE_S = 8.0


@pytest.fixture
async def gateway(
    tmp_path: pathlib.Path,
) -> AsyncIterator[process_lib.GatewayProcess]:
    async with process_lib.gateway_process(
        tmp_path, events=60, pace_s=0.05
    ) as running:
        yield running


async def _read_stream(
    session: aiohttp.ClientSession, url: str, name: str
) -> bytes:
    headers = {**process_lib.HEADERS, "X-Request-Id": name}
    async with session.post(url, data=b"{}", headers=headers) as response:
        assert response.status == 200
        return await response.read()


async def test_a_stop_ends_no_stream(
    gateway: process_lib.GatewayProcess,
) -> None:
    """Guards against streams that a planned stop truncates."""
    async with aiohttp.ClientSession() as session:
        await gateway.wait_status(session, 200, 10)
        streams = [
            asyncio.ensure_future(
                _read_stream(session, gateway.url, f"r{number}")
            )
            for number in range(8)
        ]
        while len(gateway.engine.arrivals) < 8:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        assert gateway.process is not None
        gateway.process.send_signal(signal.SIGTERM)
        stopped_s = gateway.clock.monotonic()
        await gateway.wait_status(session, 503, 1)
        bodies = await asyncio.gather(*streams)
        while gateway.process.poll() is None:
            assert gateway.clock.monotonic() - stopped_s < _GRACE_S
            await asyncio.sleep(0.05)
    assert all(body.count(b"data: ") == 60 for body in bodies)
    assert gateway.process.returncode == 0


async def test_changed_settings_are_used_without_a_signal(
    gateway: process_lib.GatewayProcess,
) -> None:
    """Guards against a process that keeps using the store's old address."""
    new_store = store_lib.PlatformStoreService()
    await new_store.start()
    try:
        async with aiohttp.ClientSession() as session:
            await gateway.wait_status(session, 200, 10)
            await gateway.publish(new_store, 9)
            gateway.write_settings(new_store.port)
            end_s = gateway.clock.monotonic() + 12
            version = None
            while version != 9:
                assert gateway.clock.monotonic() < end_s
                async with session.get(
                    f"{process_lib.METRICS_URL}/status"
                ) as response:
                    version = (await response.json())["revision"]
                await asyncio.sleep(0.1)
    finally:
        await new_store.close()


async def test_settings_that_change_during_the_start_are_used(
    monkeypatch: pytest.MonkeyPatch, gateway: process_lib.GatewayProcess
) -> None:
    """Guards against a process that never reads settings changed early."""
    monkeypatch.setenv("HIBISCUSSTILE_NODE_FILE", str(gateway.settings))
    gateway.write_settings(1)
    role = gateway_role.GatewayRole(
        boot.load_boot_settings(gateway.settings), gateway.clock
    )
    gateway.write_settings(gateway.store.port)
    root = supervisor.Supervisor("gateway", gateway.clock)
    assert gateway.process is not None
    gateway.process.kill()
    gateway.process.wait()
    role.build(root)
    serving = asyncio.ensure_future(root.run())
    async with aiohttp.ClientSession() as session:
        await gateway.wait_status(session, 200, 5)
    serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving
    await role.close()


async def test_metrics_are_served_on_the_port_of_the_deploy_file(
    gateway: process_lib.GatewayProcess,
) -> None:
    """Guards against metrics on a port that operators do not scrape."""
    async with aiohttp.ClientSession() as session:
        await gateway.wait_status(session, 200, 10)
        await _read_stream(session, gateway.url, "r1")
        async with session.get(
            f"{process_lib.METRICS_URL}/metrics"
        ) as response:
            page = await response.text()
    for name in (
        'hibiscusstile_requests{kind="streaming",outcome="served",rank="2"} 1',
        "hibiscusstile_first_event_seconds",
        "hibiscusstile_store_calls",
        "hibiscusstile_revision",
    ):
        assert name in page


async def test_it_is_not_ready_before_it_knows_a_configuration(
    gateway: process_lib.GatewayProcess,
) -> None:
    """Guards against traffic to a process that cannot route requests yet."""
    assert gateway.process is not None
    gateway.process.kill()
    gateway.process.wait()
    gateway.store.set_down(True)
    gateway.start()
    async with aiohttp.ClientSession() as session:
        await gateway.wait_status(session, 503, 10)
        with contextlib.suppress(aiohttp.ClientError):
            headers = {**process_lib.HEADERS, "X-Request-Id": "r1"}
            async with session.post(
                gateway.url, data=b"{}", headers=headers
            ) as response:
                assert response.status == 503
                assert "Retry-After" in response.headers
        gateway.store.set_down(False)
        await gateway.wait_status(session, 200, 5)


async def test_the_status_page_shows_what_servers_say_of_themselves(
    gateway: process_lib.GatewayProcess,
) -> None:
    """Guards against operators who cannot see why a server gets nothing."""
    async with aiohttp.ClientSession() as session:
        await gateway.wait_status(session, 200, 10)
        gateway.engine.say_leaving()
        gateway.engine.turn_away("30")
        headers = {**process_lib.HEADERS, "X-Request-Id": "r1"}
        async with session.post(gateway.url, headers=headers) as response:
            assert response.status == 503
        async with session.get(f"{process_lib.METRICS_URL}/status") as response:
            (row,) = (await response.json())["backend_servers"]
    assert row["said_leaving_to"] == "g"
    assert 0.0 <= row["said_leaving_s_ago"] < 5.0
    assert 20.0 < row["paused_for_s"] <= 30.0
    log = gateway.log.read_text()
    assert "server_said_leaving" in log and "server_paused" in log


async def test_operators_see_that_the_store_was_restored(
    gateway: process_lib.GatewayProcess,
) -> None:
    """Guards against a restore that neither page nor log tells of."""
    async with aiohttp.ClientSession() as session:
        await gateway.wait_status(session, 200, 10)
        async with asyncio.timeout(5):
            while not gateway.store.payloads(members.MEMBER_TOPIC):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        gateway.store.restore(copy_age_s=60.0)
        await gateway.publish(gateway.store, 2)
        end_s = gateway.clock.monotonic() + 3
        page: dict[str, Any] = {}
        while page.get("revision") != 2:
            assert gateway.clock.monotonic() < end_s, page
            await asyncio.sleep(0.05)
            async with session.get(
                f"{process_lib.METRICS_URL}/status"
            ) as response:
                page = await response.json()
        async with asyncio.timeout(5):
            while not gateway.store.payloads(members.MEMBER_TOPIC):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        async with session.get(
            f"{process_lib.METRICS_URL}/metrics"
        ) as response:
            metrics = await response.text()
    assert page["store"]["era"] == 2
    assert page["store"]["known_for_s"] < 5
    assert "hibiscusstile_store_restores 1" in metrics
    log = gateway.log.read_text()
    assert "store_restored" in log and "topic_read_again" in log
