"""Runs the gateway as a separate process for tests."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import pathlib
import subprocess
import sys
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from hibiscusstile import clock as clock_lib
from hibiscusstile_standins import ports
from hibiscusstile_standins import runner as runner_lib
from hibiscusstile_standins import store as store_lib
from soak import proxy
from tests.builders import gateway as builders

__all__ = ["HEADERS", "METRICS_URL", "GatewayProcess", "gateway_process"]

# The metrics port is fixed, so parallel test runs need different addresses.
_NETWORK = f"127.{2 + os.getpid() % 250}.1"
METRICS_URL = f"http://{_NETWORK}.1:9464"
HEADERS = {
    "Host": builders.HOST,
    "X-Deadline-Ms": "20000",
    "Authorization": f"Token {builders.KEY}",
    "X-Model": "m1",
    "X-Token-Usage": "300,40",
    "X-Prompt-Prefix": "aa:200,bb:100",
}


class GatewayProcess:
    """A gateway process with its store and one engine."""

    def __init__(
        self,
        directory: pathlib.Path,
        bounds: dict[str, Any],
        limits: dict[str, Any],
        configuration: dict[str, Any],
        **options: Any,
    ) -> None:
        self._bounds = bounds
        self._limits = limits
        self._configuration = configuration
        self.clock = clock_lib.SystemClock()
        self.store = store_lib.PlatformStoreService()
        self.store_path = proxy.Proxy("127.0.0.1:1")
        self.engine = runner_lib.FakeBackendServer("i-1", **options)
        self.process: subprocess.Popen[bytes] | None = None
        self._set_instance(directory, 1)

    def _set_instance(self, directory: pathlib.Path, number: int) -> None:
        self._name = "g" if number == 1 else f"g{number}"
        self._host = f"{_NETWORK}.{number}"
        self.settings = directory / f"{self._name}.toml"
        self.log = directory / f"{self._name}.log"
        self.ports = [ports.reserve_port(self._host) for _ in range(3)]

    def another(self, number: int) -> GatewayProcess:
        """Returns a further gateway, not started, with the same store."""
        other = copy.copy(self)
        other.process = None
        other._set_instance(self.settings.parent, number)
        other.write_settings(self.store.port)
        return other

    @property
    def url(self) -> str:
        return f"http://{self._host}:{self.ports[1]}/dossier/1"

    @property
    def ready_url(self) -> str:
        return f"http://{self._host}:{self.ports[2]}/v1/ready"

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
        record = builders.configuration_record(
            version, **{"routes": [route], **self._configuration}
        )
        await store.put("keyed.op", "config", json.dumps(record).encode())
        entry = self.engine.discovery_entry(builders.ENGINE_SERVICE)
        await store.put("keyed.servers", "i-1", entry)

    def write_settings(self, store_port: int) -> None:
        self.settings.write_text(
            f'node = "{self._name}"\nzone = "z1"\nip = "{self._host}"\n'
            f"internal_ports = [{self.ports[0]}, {self.ports[0]}]\n"
            f'[listen]\nfront = "{self._host}:{self.ports[1]}"\n'
            f'ready = "{self._host}:{self.ports[2]}"\n'
            f'[platform]\naddress = "127.0.0.1:{store_port}"\n'
            + _toml_table("bounds", self._bounds)
            + _toml_table("limits", self._limits)
        )

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()

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


def _toml_table(name: str, values: dict[str, Any]) -> str:
    lines = [f"{key} = {value}" for key, value in values.items()]
    return "\n".join([f"[{name}]", *lines, ""])


@contextlib.asynccontextmanager
async def gateway_process(
    directory: pathlib.Path,
    bounds: dict[str, Any] | None = None,
    *,
    limits: dict[str, Any] | None = None,
    configuration: dict[str, Any] | None = None,
    **options: Any,
) -> AsyncIterator[GatewayProcess]:
    """Runs a gateway process with its store and one engine.

    Args:
        directory: Directory for the settings file and the log.
        bounds: Values of the settings file's table `bounds`.
        limits: Values of its table `limits`.
        configuration: Fields of the configuration record to replace.
        **options: Options of the engine.
    """
    running = GatewayProcess(
        directory, bounds or {}, limits or {}, configuration or {}, **options
    )
    await running.store.start()
    running.store_path = proxy.Proxy(f"127.0.0.1:{running.store.port}")
    await running.store_path.start()
    await running.engine.start()
    await running.publish(running.store, 1)
    running.write_settings(int(running.store_path.address.rpartition(":")[2]))
    running.start()
    try:
        yield running
    finally:
        running.kill()
        await running.engine.close()
        await running.store_path.close()
        await running.store.close()
