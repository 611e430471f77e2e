"""The processes of a soak."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

import aiohttp

from hibiscusstile_standins import ports
from soak import proxy

__all__ = ["HOST", "KEY", "NETWORKS", "World"]

HOST = "soak.example"
KEY = "soak-key"
# Loopback networks that soaks side by side choose from.
NETWORKS = 250
_ROOT = pathlib.Path(__file__).parent.parent
_GATEWAYS = 3
_RUNNERS = 4
_START_S = 15.0
_SERVICES = ("engines", "accounts")


@dataclasses.dataclass(slots=True)
class Process:
    """One process, addressed by its own id only."""

    name: str
    command: list[str]
    environment: dict[str, str]
    log: pathlib.Path
    handle: subprocess.Popen[str] | None = None
    # Held while a fault ends the process and starts it again.
    replacing: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def start(self) -> None:
        """Starts the process, again after it ended."""
        with self.log.open("a") as errors:
            self.handle = subprocess.Popen(
                self.command,
                cwd=_ROOT,
                env={**os.environ, **self.environment},
                stdout=subprocess.PIPE if "--port" in self.command else errors,
                stderr=errors,
                text=True,
            )

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.handle is not None and self.handle.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.handle is not None and self.handle.poll() is None:
            self.handle.send_signal(number)

    def end(self) -> None:
        """Kills the process in any state and waits for its end."""
        if self.handle is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.handle.wait()
        if self.handle.stdout is not None:
            self.handle.stdout.close()


class World:
    """The store, backend servers and gateways, and the proxies between.

    Args:
        folder: For settings and logs.
        network: Second number of the gateways' loopback addresses, so that
            soaks run side by side.
    """

    def __init__(self, folder: pathlib.Path, network: int) -> None:
        self._folder = folder
        self._network = network
        self._stand_ins: list[Process] = []
        self._urls: list[str] = []
        self._version = 1
        self._weights = 1
        self.gateways: list[Process] = []
        self.addresses: list[str] = []
        self.store_proxy = proxy.Proxy("127.0.0.1:1")
        self.server_proxies: list[proxy.Proxy] = []
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Starts everything and waits until all gateways serve."""
        self.session = aiohttp.ClientSession()
        store = self._start_stand_in("store")
        self.store_proxy = proxy.Proxy(store)
        await self.store_proxy.start()
        await self._put("keyed.op", "config", self._configuration())
        for number in range(_RUNNERS):
            await self._start_runner(number)
        for number in range(_GATEWAYS):
            self._start_gateway(number)
        async with asyncio.timeout(_START_S):
            for address in self.addresses:
                while not await self._serves(address):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Ends every process."""
        for process in [*self.gateways, *self._stand_ins]:
            process.end()
        for each in [self.store_proxy, *self.server_proxies]:
            await each.close()
        if self.session is not None:
            await self.session.close()

    async def change_configuration(self) -> None:
        """Writes a newer configuration."""
        self._version += 3
        await self._put("keyed.op", "config", self._configuration())

    async def name_weights(self) -> None:
        """Names a newer version of the model's weights."""
        self._weights += 1
        value = {"model": "m1", "version": self._weights}
        await self._put("keyed.op", "version/m1", value)

    async def engines_changed(self) -> bool:
        """Returns whether every engine has the weights named last."""
        assert self.session is not None
        versions = set()
        for number, url in enumerate(self._urls[1:]):
            if _SERVICES[number % len(_SERVICES)] != "engines":
                continue
            async with self.session.get(f"{url}/v1/report") as response:
                report = await response.json()
            versions |= {each["version"] for each in report["models"]}
        return versions == {self._weights}

    async def fault(self, number: int, name: str, *arguments: str) -> None:
        """Makes a backend server misbehave."""
        fields = {"mode": arguments[0]} if arguments else {}
        await self._post(
            f"{self._urls[number + 1]}/fault",
            {"name": name, "arguments": fields},
        )

    async def arrivals(self) -> list[dict[str, Any]]:
        """Returns the requests that reached any backend server."""
        assert self.session is not None
        found: list[dict[str, Any]] = []
        for url in self._urls[1:]:
            async with self.session.get(f"{url}/record") as response:
                found += (await response.json())["arrivals"]
        return found

    def _start_stand_in(self, kind: str, *options: str) -> str:
        process = Process(
            f"{kind}-{len(self._stand_ins)}",
            [
                *(sys.executable, "-m", "hibiscusstile_standins"),
                *("--kind", kind, "--port", "0", *options),
            ],
            {},
            self._folder / f"{kind}-{len(self._stand_ins)}.log",
        )
        process.start()
        assert process.handle is not None
        assert process.handle.stdout is not None
        port = int(process.handle.stdout.readline())
        self._stand_ins.append(process)
        self._urls.append(f"http://127.0.0.1:{port}")
        return f"127.0.0.1:{port}"

    async def _start_runner(self, number: int) -> None:
        service = _SERVICES[number % len(_SERVICES)]
        server_id = f"i-{number}"
        address = self._start_stand_in(
            "runner", "--server-id", server_id, "--pace-s", "0.02"
        )
        front = proxy.Proxy(address)
        await front.start()
        self.server_proxies.append(front)
        models = [{"name": "m1", "version": 1, "adapters": []}]
        entry = {
            "service": service,
            "address": front.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "models": models if service == "engines" else [],
            "sequence": 1,
            "born": 1,
        }
        await self._put("keyed.servers", server_id, entry)

    def _start_gateway(self, number: int) -> None:
        host = f"127.{self._network}.0.{number + 2}"
        numbers = [ports.reserve_port(host) for _ in range(3)]
        settings = self._folder / f"gateway-{number}.toml"
        settings.write_text(
            f'node = "gateway-{number}"\nzone = "z1"\nip = "{host}"\n'
            f"internal_ports = [{numbers[0]}, {numbers[0]}]\n"
            f'[listen]\nfront = "{host}:{numbers[1]}"\n'
            f'ready = "{host}:{numbers[2]}"\n'
            f'[platform]\naddress = "{self.store_proxy.address}"\n'
        )
        process = Process(
            f"gateway-{number}",
            [sys.executable, "-m", "hibiscusstile"],
            {"HIBISCUSSTILE_NODE_FILE": str(settings)},
            self._folder / f"gateway-{number}.log",
        )
        process.start()
        self.gateways.append(process)
        self.addresses.append(f"{host}:{numbers[1]}")

    async def _serves(self, address: str) -> bool:
        assert self.session is not None
        try:
            async with self.session.get(
                f"http://{address}/lookup/ready",
                headers={
                    "Host": HOST,
                    "X-Request-Id": f"ready-{address}",
                    "Authorization": f"Token {KEY}",
                },
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _put(self, topic: str, key: str, value: Any) -> None:
        raw = key.encode()
        record = bytes([len(raw)]) + raw + json.dumps(value).encode()
        assert self.session is not None
        async with self.session.post(
            f"{self._urls[0]}/v1/log-append",
            params={"topic": topic, "part": "0"},
            data=len(record).to_bytes(4, "big") + record,
        ) as response:
            response.raise_for_status()

    async def _post(self, url: str, body: Any) -> None:
        assert self.session is not None
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()

    def _configuration(self) -> dict[str, Any]:
        def route(name: str, kind: str, service: str) -> dict[str, Any]:
            return {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": 4000,
                "target_latency_ms": 500,
                "priority": 1,
                "service": service,
                "attempts": 2 if name in ("lookup", "dossier") else 1,
                "resumable": name == "dossier",
            }

        return {
            "version": self._version,
            "routes": [
                route("lookup", "idempotent", "accounts"),
                route("payment", "non_idempotent", "accounts"),
                route("question", "streaming", "engines"),
                route("dossier", "streaming", "engines"),
            ],
            "services": [
                {
                    "name": "engines",
                    "max_connections": 100,
                    "engine": {
                        "slots": 8,
                        "kv_tokens": 100_000,
                        "models": [{"name": "m1"}],
                    },
                },
                {"name": "accounts", "max_connections": 100},
            ],
            "tenants": [{"name": "soak", "api_keys": [KEY]}],
        }
