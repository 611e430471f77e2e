"""Runs the daemons and the stand-ins of services as separate processes.

Each process is stopped by its id when the context ends. Settings files are
written to a temporary folder; the kernel assigns the ports.
"""

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
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import yaml

from hibiscusstile.entry import auth
from hibiscusstile_standins import ports
from tests import builders

__all__ = [
    "Fleet",
    "ManagedProcess",
    "process_fleet",
    "start_fleet",
]

_SECRET_VARIABLE = "HIBISCUSSTILE_TEST_PEER_SECRET"
PEER_SECRET = "processes-test-secret-0123456789"
_READY_TIMEOUT_S = 15.0
_STOP_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05
_ROOT = pathlib.Path(__file__).parent.parent
KEY_SECRET = "tests-secret-part-of-the-key"


class ManagedProcess:
    """A child process that can be signalled and restarted."""

    def __init__(
        self, name: str, arguments: list[str], folder: pathlib.Path
    ) -> None:
        self._name = name
        self._arguments = arguments
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen[str] | None = None

    @property
    def name(self) -> str:
        """The name of the process in its fleet."""
        return self._name

    @property
    def child(self) -> subprocess.Popen[str]:
        """The running process."""
        assert self._process is not None
        return self._process

    @property
    def log(self) -> str:
        """Standard error of the process, over all its starts."""
        return self._log_path.read_text() if self._log_path.exists() else ""

    @property
    def returncode(self) -> int | None:
        """The exit code; None while the process runs."""
        return self._process.poll() if self._process else None

    def start(self) -> None:
        """Starts the process, or restarts it after it has ended."""
        environment = {**os.environ, _SECRET_VARIABLE: PEER_SECRET}
        with self._log_path.open("a") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                cwd=_ROOT,
                env=environment,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )

    def read_first_line(self) -> str:
        """Reads and returns the first line of the output."""
        assert self._process is not None and self._process.stdout is not None
        return self._process.stdout.readline().strip()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has ended."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def terminate(self) -> None:
        """Sends SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Sends SIGKILL and waits until the process has ended."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(_STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspends the process (SIGSTOP)."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues the process after `pause` (SIGCONT)."""
        self.send_signal(signal.SIGCONT)

    async def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the end of the process and returns its exit code."""
        limit_s = time.monotonic() + timeout_s
        while (code := self.returncode) is None:
            if time.monotonic() > limit_s:
                raise TimeoutError(f"{self._name} did not end")
            await asyncio.sleep(_POLL_INTERVAL_S)
        return code

    def close(self) -> None:
        """Ends the process, also if it is suspended."""
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.kill()
        if self._process.stdout is not None:
            self._process.stdout.close()


@dataclasses.dataclass(slots=True)
class Fleet:
    """A running fleet of processes.

    Attributes:
        folder: Folder of settings and logs.
        log_service: Stand-in of the log service.
        instance_list: Stand-in of the instance list.
        engines: Stand-ins of engines.
        services: Stand-ins of plain services.
        sidecars: Sidecars of the engines, then of the services.
        entries: Entry instances.
        urls: Base URL by process name; for entries, the one for callers.
        peer_ports: Port for peers by sidecar name.
        operator_urls: URL of the operators' server by process name.
        keys: API key by workspace.
    """

    folder: pathlib.Path
    log_service: ManagedProcess
    instance_list: ManagedProcess
    engines: list[ManagedProcess] = dataclasses.field(default_factory=list)
    services: list[ManagedProcess] = dataclasses.field(default_factory=list)
    sidecars: list[ManagedProcess] = dataclasses.field(default_factory=list)
    entries: list[ManagedProcess] = dataclasses.field(default_factory=list)
    urls: dict[str, str] = dataclasses.field(default_factory=dict)
    peer_ports: dict[str, int] = dataclasses.field(default_factory=dict)
    operator_urls: dict[str, str] = dataclasses.field(default_factory=dict)
    keys: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes in the order in which they are started."""
        stand_ins = [
            self.log_service,
            self.instance_list,
            *self.engines,
            *self.services,
        ]
        return [*stand_ins, *self.sidecars, *self.entries]

    async def inject_fault(
        self, process: str, name: str, **arguments: Any
    ) -> None:
        """Injects a fault into a stand-in."""
        await _post(
            f"{self.urls[process]}/fault",
            {"name": name, "arguments": arguments},
        )

    async def fetch_record(self, process: str) -> dict[str, Any]:
        """Returns a stand-in's record of the work that it executed."""
        return await get_json(f"{self.urls[process]}/record")

    async def append(self, record: dict[str, Any]) -> None:
        """Appends a configuration record to the log."""
        await _post(f"{self.urls['log']}/streams/config", record)

    async def wait_ready(self, entry: ManagedProcess) -> None:
        """Waits until an entry instance is ready and can use every sidecar."""
        limit_s = time.monotonic() + _READY_TIMEOUT_S
        while not await self._is_ready(entry):
            if time.monotonic() > limit_s or entry.returncode is not None:
                raise TimeoutError(f"{entry.name} not ready: {entry.log}")
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _is_ready(self, entry: ManagedProcess) -> bool:
        try:
            status = await get_json(f"{self.operator_urls[entry.name]}/status")
            ready = await get_json(f"{self.urls[entry.name]}/ready")
        except (aiohttp.ClientError, TimeoutError):
            return False
        usable = [s for s in status["backend_servers"] if s["usable"]]
        return bool(ready["ready"]) and len(usable) >= len(self.sidecars)


@contextlib.asynccontextmanager
async def process_fleet(
    folder: pathlib.Path,
    *,
    entries: int = 2,
    engines: int = 2,
    services: int = 1,
    engine_arguments: tuple[str, ...] = (),
    entry_settings: dict[str, Any] | None = None,
) -> AsyncIterator[Fleet]:
    """Runs a fleet of separate processes and ends them on exit.

    Args:
        folder: Empty folder for settings and logs.
        entries: Number of entry instances.
        engines: Number of engines, each with a sidecar.
        services: Number of plain services, each with a sidecar.
        engine_arguments: Additional options of the stand-ins of engines.
        entry_settings: Additional settings of the entry instances.
    """
    fleet = Fleet(
        folder,
        _stand_in_process("log", "log", folder),
        _stand_in_process("instances", "instances", folder),
    )
    try:
        await start_fleet(
            fleet,
            entries,
            engines,
            services,
            engine_arguments,
            entry_settings or {},
        )
        yield fleet
    finally:
        for process in reversed(fleet.processes):
            process.close()


async def start_fleet(
    fleet: Fleet,
    entries: int,
    engines: int,
    services: int,
    engine_arguments: tuple[str, ...],
    entry_settings: dict[str, Any],
) -> None:
    """Starts all processes and waits until the entry instances are ready."""
    for number in range(1, engines + 1):
        fleet.engines.append(
            _stand_in_process(
                f"engine-{number}", "engine", fleet.folder, engine_arguments
            )
        )
    for number in range(1, services + 1):
        fleet.services.append(
            _stand_in_process(f"service-{number}", "service", fleet.folder)
        )
    for process in fleet.processes:
        process.start()
    for process in fleet.processes:
        port = await asyncio.to_thread(process.read_first_line)
        fleet.urls[process.name] = f"http://127.0.0.1:{port}"
    for record in builders.fleet_records(auth.key_digest, KEY_SECRET):
        await fleet.append(record)
    for workspace in builders.FLEET_WORKSPACES:
        fleet.keys[workspace] = f"hs_{workspace}_{KEY_SECRET}"
    for backend in [*fleet.engines, *fleet.services]:
        await _add_sidecar(fleet, backend)
    for number in range(1, entries + 1):
        _add_entry(fleet, f"entry-{number}", entry_settings)
    for process in [*fleet.sidecars, *fleet.entries]:
        process.start()
    for entry in fleet.entries:
        await fleet.wait_ready(entry)


async def get_json(url: str) -> Any:
    """Returns the JSON body of a GET response, whatever its status."""
    timeout = aiohttp.ClientTimeout(total=3)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(url) as response,
    ):
        return json.loads(await response.read())


async def _post(url: str, body: Any) -> None:
    timeout = aiohttp.ClientTimeout(total=3)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.post(url, json=body) as response,
    ):
        assert response.status < 300, await response.text()


def _stand_in_process(
    name: str,
    kind: str,
    folder: pathlib.Path,
    arguments: tuple[str, ...] = (),
) -> ManagedProcess:
    # A fixed port lets a killed stand-in restart at the same address.
    return ManagedProcess(
        name,
        [
            "hibiscusstile_standins",
            *("--kind", kind, "--port", str(ports.reserve_port())),
            *arguments,
        ],
        folder,
    )


async def _add_sidecar(fleet: Fleet, backend: ManagedProcess) -> None:
    name = f"sidecar-{backend.name}"
    port = ports.reserve_port()
    is_engine = backend in fleet.engines
    config = {
        **_common_settings(fleet, name),
        "role": "sidecar",
        "peers": {"host": "127.0.0.1", "port": port},
        "backend": {
            "kind": "engine_chat" if is_engine else "plain_service",
            "url": fleet.urls[backend.name],
            "application": "" if is_engine else "accounts",
        },
    }
    fleet.peer_ports[name] = port
    fleet.sidecars.append(_daemon_process(fleet, name, config))
    await fleet.inject_fault(
        "instances",
        "put",
        peer_id=name,
        role="sidecar",
        port=port,
        zone="az-1",
        region="test",
    )


def _add_entry(fleet: Fleet, name: str, settings: dict[str, Any]) -> None:
    port = ports.reserve_port()
    config = {
        **_common_settings(fleet, name),
        "role": "entry",
        "http": {"host": "127.0.0.1", "port": port},
        **settings,
    }
    fleet.urls[name] = f"http://127.0.0.1:{port}"
    fleet.entries.append(_daemon_process(fleet, name, config))


def _common_settings(fleet: Fleet, name: str) -> dict[str, Any]:
    port = ports.reserve_port()
    fleet.operator_urls[name] = f"http://127.0.0.1:{port}"
    return {
        "peer_id": name,
        "zone": "az-1",
        "region": "test",
        "operators": {"host": "127.0.0.1", "port": port},
        "platform": {
            "log": {"url": fleet.urls["log"]},
            "instance_list": {"url": fleet.urls["instances"]},
        },
        "peer_secret": {"environment": _SECRET_VARIABLE},
        "stop": {"balancer_delay_s": 0.2, "deadline_s": 10},
    }


def _daemon_process(
    fleet: Fleet, name: str, config: dict[str, Any]
) -> ManagedProcess:
    path = fleet.folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(config))
    return ManagedProcess(
        name, ["hibiscusstile.daemon", "--settings", str(path)], fleet.folder
    )
