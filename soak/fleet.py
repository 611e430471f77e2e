"""Starts and controls the processes of a soak."""

from __future__ import annotations

import asyncio
import contextlib
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
from soak import builders, proxy

__all__ = ["NETWORK_COUNT", "Fleet", "ManagedProcess"]

# Number of loopback networks that concurrent soaks can use.
NETWORK_COUNT = 250
_ROOT = pathlib.Path(__file__).parent.parent
_START_TIMEOUT_S = 15.0


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
        layout: The gateways and backend servers.
        seed: Seed of the silences of backend servers.

    Attributes:
        gateways: The gateway processes.
        store_proxy: Proxy in front of the store.
        other_store_proxy: Another address of the same store.
        server_proxies: Proxies in front of the backend servers.
        session: Client session for the stand-ins' interfaces.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        network: int,
        layout: builders.Layout = builders.MIXED_LAYOUT,
        seed: int = 0,
    ) -> None:
        self._folder = folder
        self._network = network
        self._layout = layout
        self._seed = seed
        self._entry_sequence = 1
        self._births = [1] * len(layout.runners)
        self._addresses: list[builders.GatewayAddresses] = []
        self._stand_ins: list[ManagedProcess] = []
        self._stand_in_urls: list[str] = []
        self._configuration_version = 1
        self._weights_version = 1
        self.gateways: list[ManagedProcess] = []
        self.store_proxy = proxy.Proxy("127.0.0.1:1")
        self.other_store_proxy = proxy.Proxy("127.0.0.1:1")
        self.server_proxies: list[proxy.Proxy] = []
        self.session: aiohttp.ClientSession | None = None

    @property
    def gateway_addresses(self) -> list[str]:
        """Addresses of the gateways for callers, as `ip:port`."""
        return [each.callers for each in self._addresses]

    @property
    def ready_addresses(self) -> list[str]:
        """Addresses of the gateways' readiness checks, as `ip:port`."""
        return [each.ready for each in self._addresses]

    def address_of(self, gateway: ManagedProcess) -> str:
        """Returns a gateway's address for callers, as `ip:port`."""
        return self.gateway_addresses[self.gateways.index(gateway)]

    async def start(self) -> None:
        """Starts all processes and waits until all gateways serve requests."""
        self.session = aiohttp.ClientSession()
        store = self._start_stand_in("store", "--kind", "store")
        self.store_proxy = proxy.Proxy(store)
        await self.store_proxy.start()
        self.other_store_proxy = proxy.Proxy(store)
        await self.other_store_proxy.start()
        await self._append_configuration()
        for number, runner in enumerate(self._layout.runners):
            await self._start_runner(number, runner)
        for number in range(self._layout.gateway_count):
            self._start_gateway(number)
        await self.wait_until_ready(_START_TIMEOUT_S)

    async def wait_until_ready(self, timeout_s: float) -> None:
        """Waits until all gateways serve requests.

        Raises:
            TimeoutError: A gateway does not serve requests in time.
        """
        async with asyncio.timeout(timeout_s):
            for address in self.gateway_addresses:
                while not await self._is_ready(address):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Kills all processes and closes the proxies."""
        for process in [*self.gateways, *self._stand_ins]:
            process.kill()
        for each in [
            self.store_proxy,
            self.other_store_proxy,
            *self.server_proxies,
        ]:
            await each.close()
        if self.session is not None:
            await self.session.close()

    async def publish_configuration(self) -> None:
        """Publishes a new configuration version with the same content."""
        self._configuration_version += 3
        await self._append_configuration()

    async def publish_weights_version(self) -> None:
        """Publishes a new weights version of the model."""
        self._weights_version += 1
        value = {"model": "m1", "version": self._weights_version}
        await self._append_entry("keyed.op", "version/m1", value)

    async def engines_updated(self) -> bool:
        """Returns whether all engines have the last published weights."""
        assert self.session is not None
        versions = set()
        for runner, url in zip(
            self._layout.runners, self._stand_in_urls[1:], strict=True
        ):
            if not runner.is_engine:
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

    async def crash_server(self, number: int, delay_s: float) -> None:
        """Makes a backend server drop its connections and restart.

        Args:
            number: Number of the server.
            delay_s: Time until it is back.
        """
        # The connection of this order may be dropped too.
        with contextlib.suppress(aiohttp.ClientError):
            await self._post(
                f"{self._stand_in_urls[number + 1]}/fault",
                {"name": "crash", "arguments": {"delay_s": delay_s}},
            )

    async def list_server(self, number: int, state: str) -> None:
        """Publishes a backend server's state, such as `draining`.

        A server that is ready again has a new time of start, since a server
        that has begun to leave stays away until it restarts.
        """
        self._entry_sequence += 1
        if state == "ready":
            self._births[number] += 1
        entry = builders.server_entry(
            self._layout.runners[number],
            self.server_proxies[number].address,
            state=state,
            sequence=self._entry_sequence,
            born=self._births[number],
        )
        await self._append_entry("keyed.servers", f"i-{number}", entry)

    async def arrivals(self) -> list[dict[str, Any]]:
        """Returns the requests that reached the backend servers.

        The field `server` is the number of the server.
        """
        assert self.session is not None
        found: list[dict[str, Any]] = []
        for number, url in enumerate(self._stand_in_urls[1:]):
            async with self.session.get(f"{url}/record") as response:
                record = await response.json()
            found += [{**each, "server": number} for each in record["arrivals"]]
        return found

    def write_settings(
        self, number: int, *, other_store: bool = False, **bounds: float
    ) -> None:
        """Writes the settings file of a gateway.

        Args:
            number: Number of the gateway.
            other_store: Whether to name the store's other address.
            **bounds: Further bounds.
        """
        store = self.other_store_proxy if other_store else self.store_proxy
        content = builders.gateway_settings(
            number, self._addresses[number], store.address, **bounds
        )
        path = self._settings_path(number)
        # A gateway must never read half of the file.
        new_path = path.with_suffix(".new")
        new_path.write_text(content)
        new_path.replace(path)

    def _start_stand_in(self, name: str, *options: str) -> str:
        process = ManagedProcess(
            f"{name}-{len(self._stand_ins)}",
            [
                *(sys.executable, "-m", "hibiscusstile_standins"),
                *("--port", "0", *options),
            ],
            {},
            self._folder / f"{name}-{len(self._stand_ins)}.log",
        )
        process.start()
        assert process.popen is not None
        assert process.popen.stdout is not None
        port = int(process.popen.stdout.readline())
        self._stand_ins.append(process)
        self._stand_in_urls.append(f"http://127.0.0.1:{port}")
        return f"127.0.0.1:{port}"

    async def _start_runner(
        self, number: int, runner: builders.RunnerSpec
    ) -> None:
        server_id = f"i-{number}"
        address = self._start_stand_in(
            "runner", *runner.options(server_id, self._seed)
        )
        server_proxy = proxy.Proxy(address)
        await server_proxy.start()
        self.server_proxies.append(server_proxy)
        entry = builders.server_entry(runner, server_proxy.address)
        await self._append_entry("keyed.servers", server_id, entry)

    def _start_gateway(self, number: int) -> None:
        host = f"127.{self._network}.0.{number + 2}"
        port_numbers = [ports.reserve_port(host) for _ in range(3)]
        self._addresses.append(
            builders.GatewayAddresses(
                host,
                port_numbers[0],
                f"{host}:{port_numbers[1]}",
                f"{host}:{port_numbers[2]}",
            )
        )
        self.write_settings(number)
        process = ManagedProcess(
            f"gateway-{number}",
            [sys.executable, "-m", "hibiscusstile"],
            {"HIBISCUSSTILE_NODE_FILE": str(self._settings_path(number))},
            self._folder / f"gateway-{number}.log",
        )
        process.start()
        self.gateways.append(process)

    def _settings_path(self, number: int) -> pathlib.Path:
        return self._folder / f"gateway-{number}.toml"

    async def _is_ready(self, address: str) -> bool:
        assert self.session is not None
        try:
            async with self.session.get(
                f"http://{address}/lookup/ready",
                headers={
                    "Host": builders.HOST,
                    "X-Request-Id": f"ready-{address}",
                    "Authorization": f"Token {builders.API_KEY}",
                },
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _append_configuration(self) -> None:
        value = builders.configuration(
            self._configuration_version, self._layout
        )
        await self._append_entry("keyed.op", "config", value)

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
