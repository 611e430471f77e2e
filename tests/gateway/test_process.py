"""Tests of the gateway as a separate process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import AsyncIterator

import aiohttp
import pytest

from hibiscusstile import clock as clock_lib
from hibiscusstile_standins import ports
from hibiscusstile_standins import runner as runner_lib
from hibiscusstile_standins import store as store_lib
from tests.builders import gateway as builders

# The metrics port is fixed, so parallel test runs need different addresses.
_HOST = f"127.{2 + os.getpid() % 250}.1.1"
_METRICS = f"http://{_HOST}:9464"
_GRACE_S = 8.0
_HEADERS = {
    "Host": builders.HOST,
    "X-Deadline-Ms": "20000",
    "Authorization": f"Token {builders.KEY}",
    "X-Model": "m1",
    "X-Token-Usage": "300,40",
    "X-Prompt-Prefix": "aa:200,bb:100",
}


class _GatewayProcess:
    """A gateway process with its store and one engine."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.clock = clock_lib.SystemClock()
        self.store = store_lib.PlatformStoreService()
        self.engine = runner_lib.FakeBackendServer(
            "i-1", events=60, pace_s=0.05
        )
        self.settings = directory / "node.toml"
        self.log = directory / "gateway.log"
        self.ports = [ports.reserve_port(_HOST) for _ in range(3)]
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        return f"http://{_HOST}:{self.ports[1]}/dossier/1"

    @property
    def ready_url(self) -> str:
        return f"http://{_HOST}:{self.ports[2]}/v1/ready"

    async def publish(
        self, store: store_lib.PlatformStoreService, version: int
    ) -> None:
        route = builders.operator_route(
            "dossier",
            "/dossier/",
            kind="streaming",
            service=builders.ENGINE_SERVICE,
            resumable=True,
            timeout_ms=20_000,
        )
        record = builders.configuration_record(version, routes=[route])
        await store.put("keyed.op", "config", json.dumps(record).encode())
        entry = self.engine.discovery_entry(builders.ENGINE_SERVICE)
        await store.put("keyed.servers", "i-1", entry)

    def write_settings(self, store_port: int) -> None:
        self.settings.write_text(
            f'node = "g"\nzone = "z1"\nip = "{_HOST}"\n'
            f"internal_ports = [{self.ports[0]}, {self.ports[0]}]\n"
            f'[listen]\nfront = "{_HOST}:{self.ports[1]}"\n'
            f'ready = "{_HOST}:{self.ports[2]}"\n'
            f'[platform]\naddress = "127.0.0.1:{store_port}"\n'
        )

    def start(self) -> None:
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hibiscusstile"],
                env={
                    **os.environ,
                    "HIBISCUSSTILE_NODE_FILE": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )

    async def status(
        self, session: aiohttp.ClientSession, url: str
    ) -> int | None:
        try:
            async with session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return None

    async def wait_status(
        self,
        session: aiohttp.ClientSession,
        status: int | None,
        timeout_s: float,
    ) -> None:
        end_s = self.clock.monotonic() + timeout_s
        while await self.status(session, self.ready_url) != status:
            assert self.clock.monotonic() < end_s, self.log.read_text()[-2000:]
            await asyncio.sleep(0.05)


@pytest.fixture
async def gateway(tmp_path: pathlib.Path) -> AsyncIterator[_GatewayProcess]:
    gateway_process = _GatewayProcess(tmp_path)
    await gateway_process.store.start()
    await gateway_process.engine.start()
    await gateway_process.publish(gateway_process.store, 1)
    gateway_process.write_settings(gateway_process.store.port)
    gateway_process.start()
    try:
        yield gateway_process
    finally:
        assert gateway_process.process is not None
        gateway_process.process.kill()
        gateway_process.process.wait()
        await gateway_process.engine.close()
        await gateway_process.store.close()


async def _read_stream(
    session: aiohttp.ClientSession, url: str, name: str
) -> bytes:
    headers = {**_HEADERS, "X-Request-Id": name}
    async with session.post(url, data=b"{}", headers=headers) as response:
        assert response.status == 200
        return await response.read()


async def test_a_stop_ends_no_stream(gateway: _GatewayProcess) -> None:
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
    gateway: _GatewayProcess,
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
                async with session.get(f"{_METRICS}/status") as response:
                    version = (await response.json())["revision"]
                await asyncio.sleep(0.1)
    finally:
        await new_store.close()


async def test_metrics_are_served_on_the_port_of_the_deploy_file(
    gateway: _GatewayProcess,
) -> None:
    """Guards against metrics on a port that operators do not scrape."""
    async with aiohttp.ClientSession() as session:
        await gateway.wait_status(session, 200, 10)
        await _read_stream(session, gateway.url, "r1")
        async with session.get(f"{_METRICS}/metrics") as response:
            page = await response.text()
    for name in (
        'hibiscusstile_requests{kind="streaming",outcome="served",rank="2"} 1',
        "hibiscusstile_first_event_seconds",
        "hibiscusstile_store_calls",
        "hibiscusstile_revision",
    ):
        assert name in page


async def test_it_is_not_ready_before_it_knows_a_configuration(
    gateway: _GatewayProcess,
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
            headers = {**_HEADERS, "X-Request-Id": "r1"}
            async with session.post(
                gateway.url, data=b"{}", headers=headers
            ) as response:
                assert response.status == 503
                assert "Retry-After" in response.headers
        gateway.store.set_down(False)
        await gateway.wait_status(session, 200, 5)
