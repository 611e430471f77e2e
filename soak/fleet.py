"""Starts and controls the processes of a soak."""

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

__all__ = ["API_KEY", "HOST", "NETWORK_COUNT", "Fleet"]

HOST = "soak.example"
API_KEY = "soak-key"
# Number of loopback networks that concurrent soaks can use.
NETWORK_COUNT = 250
_ROOT = pathlib.Path(__file__).parent.parent
_GATEWAY_COUNT = 3
_RUNNER_COUNT = 4
_START_TIMEOUT_S = 15.0
_SERVICES = ("engines", "accounts")


@dataclasses.dataclass(slots=True)
class ManagedProcess:
    """A child process that can be signalled and restarted.

    Signals go to its process id only, never to a process name or group.
    """

    name: str
    command: list[str]
    environment: dict[str, str]
    log_path: pathlib.Path
    popen: subprocess.Popen[str] | None = None
    # Held while a fault stops and restarts the process.
    restart_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def start(self) -> None:
        """Starts or restarts the process; its log is appended to."""
        with self.log_path.open("a") as errors:
            self.popen = subprocess.Popen(
                self.command,
                cwd=_ROOT,
                env={**os.environ, **self.environment},
                stdout=subprocess.PIPE if "--port" in self.command else errors,
                stderr=errors,
                text=True,
            )

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process, even a suspended one, and waits for its exit."""
        if self.popen is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.popen.wait()
        if self.popen.stdout is not None:
            self.popen.stdout.close()


class Fleet:
    """Store, backend servers and gateways, connected through proxies.

    Args:
        folder: Directory for settings and logs.
        network: Second octet of the gateways' loopback addresses, so that
            concurrent soaks can use different ones.

    Attributes:
        gateways: The gateway processes.
        gateway_addresses: Their HTTP addresses, as `ip:port`.
        store_proxy: Proxy in front of the store.
        server_proxies: Proxies in front of the backend servers.
        session: Client session for the stand-ins' interfaces.
    """

    def __init__(self, folder: pathlib.Path, network: int) -> None:
        self._folder = folder
        self._network = network
        self._stand_ins: list[ManagedProcess] = []
        self._stand_in_urls: list[str] = []
        self._configuration_version = 1
        self._weights_version = 1
        self.gateways: list[ManagedProcess] = []
        self.gateway_addresses: list[str] = []
        self.store_proxy = proxy.Proxy("127.0.0.1:1")
        self.server_proxies: list[proxy.Proxy] = []
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Starts all processes and waits until all gateways serve requests."""
        self.session = aiohttp.ClientSession()
        store = self._start_stand_in("store")
        self.store_proxy = proxy.Proxy(store)
        await self.store_proxy.start()
        await self._append_entry("keyed.op", "config", self._configuration())
        for number in range(_RUNNER_COUNT):
            await self._start_runner(number)
        for number in range(_GATEWAY_COUNT):
            self._start_gateway(number)
        async with asyncio.timeout(_START_TIMEOUT_S):
            for address in self.gateway_addresses:
                while not await self._is_ready(address):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Kills all processes and closes the proxies."""
        for process in [*self.gateways, *self._stand_ins]:
            process.kill()
        for each in [self.store_proxy, *self.server_proxies]:
            await each.close()
        if self.session is not None:
            await self.session.close()

    async def publish_configuration(self) -> None:
        """Publishes a new configuration version with the same content."""
        self._configuration_version += 3
        await self._append_entry("keyed.op", "config", self._configuration())

    async def publish_weights_version(self) -> None:
        """Publishes a new weights version of the model."""
        self._weights_version += 1
        value = {"model": "m1", "version": self._weights_version}
        await self._append_entry("keyed.op", "version/m1", value)

    async def engines_updated(self) -> bool:
        """Returns whether all engines have the last published weights."""
        assert self.session is not None
        versions = set()
        for number, url in enumerate(self._stand_in_urls[1:]):
            if _SERVICES[number % len(_SERVICES)] != "engines":
                continue
            async with self.session.get(f"{url}/v1/report") as response:
                report = await response.json()
            versions |= {each["version"] for each in report["models"]}
        return versions == {self._weights_version}

    async def set_server_fault(
        self, number: int, name: str, *arguments: str
    ) -> None:
        """Sets a fault of a backend server through its /fault interface."""
        fields = {"mode": arguments[0]} if arguments else {}
        await self._post(
            f"{self._stand_in_urls[number + 1]}/fault",
            {"name": name, "arguments": fields},
        )

    async def arrivals(self) -> list[dict[str, Any]]:
        """Returns the requests that reached the backend servers."""
        assert self.session is not None
        found: list[dict[str, Any]] = []
        for url in self._stand_in_urls[1:]:
            async with self.session.get(f"{url}/record") as response:
                found += (await response.json())["arrivals"]
        return found

    def _start_stand_in(self, kind: str, *options: str) -> str:
        process = ManagedProcess(
            f"{kind}-{len(self._stand_ins)}",
            [
                *(sys.executable, "-m", "hibiscusstile_standins"),
                *("--kind", kind, "--port", "0", *options),
            ],
            {},
            self._folder / f"{kind}-{len(self._stand_ins)}.log",
        )
        process.start()
        assert process.popen is not None
        assert process.popen.stdout is not None
        port = int(process.popen.stdout.readline())
        self._stand_ins.append(process)
        self._stand_in_urls.append(f"http://127.0.0.1:{port}")
        return f"127.0.0.1:{port}"

    async def _start_runner(self, number: int) -> None:
        service = _SERVICES[number % len(_SERVICES)]
        server_id = f"i-{number}"
        address = self._start_stand_in(
            "runner", "--server-id", server_id, "--pace-s", "0.02"
        )
        server_proxy = proxy.Proxy(address)
        await server_proxy.start()
        self.server_proxies.append(server_proxy)
        models = [{"name": "m1", "version": 1, "adapters": []}]
        entry = {
            "service": service,
            "address": server_proxy.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "models": models if service == "engines" else [],
            "sequence": 1,
            "born": 1,
        }
        await self._append_entry("keyed.servers", server_id, entry)

    def _start_gateway(self, number: int) -> None:
        host = f"127.{self._network}.0.{number + 2}"
        port_numbers = [ports.reserve_port(host) for _ in range(3)]
        settings = self._folder / f"gateway-{number}.toml"
        settings.write_text(
            f'node = "gateway-{number}"\nzone = "z1"\nip = "{host}"\n'
            f"internal_ports = [{port_numbers[0]}, {port_numbers[0]}]\n"
            f'[listen]\nfront = "{host}:{port_numbers[1]}"\n'
            f'ready = "{host}:{port_numbers[2]}"\n'
            f'[platform]\naddress = "{self.store_proxy.address}"\n'
        )
        process = ManagedProcess(
            f"gateway-{number}",
            [sys.executable, "-m", "hibiscusstile"],
            {"HIBISCUSSTILE_NODE_FILE": str(settings)},
            self._folder / f"gateway-{number}.log",
        )
        process.start()
        self.gateways.append(process)
        self.gateway_addresses.append(f"{host}:{port_numbers[1]}")

    async def _is_ready(self, address: str) -> bool:
        assert self.session is not None
        try:
            async with self.session.get(
                f"http://{address}/lookup/ready",
                headers={
                    "Host": HOST,
                    "X-Request-Id": f"ready-{address}",
                    "Authorization": f"Token {API_KEY}",
                },
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _append_entry(self, topic: str, key: str, value: Any) -> None:
        raw_key = key.encode()
        record = bytes([len(raw_key)]) + raw_key + json.dumps(value).encode()
        assert self.session is not None
        async with self.session.post(
            f"{self._stand_in_urls[0]}/v1/log-append",
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
            "version": self._configuration_version,
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
            "tenants": [{"name": "soak", "api_keys": [API_KEY]}],
        }
