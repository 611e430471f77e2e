"""Tests of the gateway as a process of its own."""

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

# The port for metrics is fixed, so that runs side by side need own addresses.
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


class _Scene:
    """A gateway process, its store and an engine."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.clock = clock_lib.SystemClock()
        self.store = store_lib.PlatformStoreService()
        self.engine = runner_lib.Runner("i-1", events=60, pace_s=0.05)
        self.settings = folder / "node.toml"
        self.log = folder / "gateway.log"
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
        entry = self.engine.entry(builders.ENGINE_SERVICE)
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
        self, session: aiohttp.ClientSession, status: int | None, limit_s: float
    ) -> None:
        end_s = self.clock.monotonic() + limit_s
        while await self.status(session, self.ready_url) != status:
            assert self.clock.monotonic() < end_s, self.log.read_text()[-2000:]
            await asyncio.sleep(0.05)


@pytest.fixture
async def scene(tmp_path: pathlib.Path) -> AsyncIterator[_Scene]:
    running = _Scene(tmp_path)
    await running.store.start()
    await running.engine.start()
    await running.publish(running.store, 1)
    running.write_settings(running.store.port)
    running.start()
    try:
        yield running
    finally:
        assert running.process is not None
        running.process.kill()
        running.process.wait()
        await running.engine.close()
        await running.store.close()


async def _stream(session: aiohttp.ClientSession, url: str, name: str) -> bytes:
    headers = {**_HEADERS, "X-Request-Id": name}
    async with session.post(url, data=b"{}", headers=headers) as response:
        assert response.status == 200
        return await response.read()


async def test_a_stop_ends_no_stream(scene: _Scene) -> None:
    """Guards against requests that a planned stop cuts off."""
    async with aiohttp.ClientSession() as session:
        await scene.wait_status(session, 200, 10)
        streams = [
            asyncio.ensure_future(_stream(session, scene.url, f"r{number}"))
            for number in range(8)
        ]
        while len(scene.engine.arrivals) < 8:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        assert scene.process is not None
        scene.process.send_signal(signal.SIGTERM)
        began_s = scene.clock.monotonic()
        await scene.wait_status(session, 503, 1)
        bodies = await asyncio.gather(*streams)
        while scene.process.poll() is None:
            assert scene.clock.monotonic() - began_s < _GRACE_S
            await asyncio.sleep(0.05)
    assert all(body.count(b"data: ") == 60 for body in bodies)
    assert scene.process.returncode == 0


async def test_changed_settings_are_used_without_a_signal(
    scene: _Scene,
) -> None:
    """Guards against a process that keeps to a store which has moved."""
    other = store_lib.PlatformStoreService()
    await other.start()
    try:
        async with aiohttp.ClientSession() as session:
            await scene.wait_status(session, 200, 10)
            await scene.publish(other, 9)
            scene.write_settings(other.port)
            end_s = scene.clock.monotonic() + 12
            version = None
            while version != 9:
                assert scene.clock.monotonic() < end_s
                async with session.get(f"{_METRICS}/status") as response:
                    version = (await response.json())["revision"]
                await asyncio.sleep(0.1)
    finally:
        await other.close()


async def test_metrics_are_served_where_the_deploy_file_says(
    scene: _Scene,
) -> None:
    """Guards against a metrics page that no operator can read."""
    async with aiohttp.ClientSession() as session:
        await scene.wait_status(session, 200, 10)
        await _stream(session, scene.url, "r1")
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
    scene: _Scene,
) -> None:
    """Guards against callers sent to a process that cannot route them."""
    assert scene.process is not None
    scene.process.kill()
    scene.process.wait()
    scene.store.set_down(True)
    scene.start()
    async with aiohttp.ClientSession() as session:
        await scene.wait_status(session, 503, 10)
        with contextlib.suppress(aiohttp.ClientError):
            headers = {**_HEADERS, "X-Request-Id": "r1"}
            async with session.post(
                scene.url, data=b"{}", headers=headers
            ) as response:
                assert response.status == 503
                assert "Retry-After" in response.headers
        scene.store.set_down(False)
        await scene.wait_status(session, 200, 5)
