"""Fleet of entry instances, sidecars and stand-ins in one process.

The log, the instance list, the engines and a plain service are stand-ins.
All parts communicate over loopback sockets, as separate processes would.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import secrets
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from hibiscusstile import clock as clock_lib
from hibiscusstile import process as process_lib
from hibiscusstile import settings
from hibiscusstile.entry import auth
from hibiscusstile_standins import engine, instancelist, log, service

__all__ = [
    "APPLICATION",
    "MODEL",
    "ROUTINE",
    "URGENT",
    "DemoFleet",
    "DemoWorkspace",
    "FleetNotReady",
    "run_fleet",
]

MODEL = "m1"
APPLICATION = "accounts"
URGENT = "urgent"
ROUTINE = "routine"

_PEER_SECRET_VARIABLE = "HIBISCUSSTILE_DEMO_SECRET"
_ENGINE_COUNT = 3
_ENTRY_COUNT = 2
_ZONES = ("az-1", "az-2")
_REGION = "demo"
_READY_ATTEMPTS = 100
_READY_INTERVAL_S = 0.1
_CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=20)


class FleetNotReady(RuntimeError):  # noqa: N818 - names the state of the fleet
    """An entry instance failed to serve requests within the start-up time."""


@dataclasses.dataclass(frozen=True, slots=True)
class DemoWorkspace:
    """A workspace with one API key, and the rank of that key."""

    name: str
    rank: str
    key_id: str
    secret: str

    @property
    def key(self) -> str:
        """The API key in the form that callers send."""
        return f"hs_{self.key_id}_{self.secret}"


@dataclasses.dataclass(frozen=True, slots=True)
class DemoFleet:
    """A running fleet.

    Attributes:
        urls: Base URLs of the entry instances.
        workspaces: The workspaces, the one with urgent rank first.
        payments: Stand-in of the plain service, which records payments.
    """

    urls: tuple[str, ...]
    workspaces: tuple[DemoWorkspace, ...]
    payments: service.PaymentService


class _FleetLauncher:
    """Starts the parts of a fleet and stops them in reverse order."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._log = log.LogService()
        self._instances = instancelist.InstanceListService()
        self._payments = service.PaymentService()
        self._engines = [engine.Engine(MODEL) for _ in range(_ENGINE_COUNT)]
        self._running: list[tuple[asyncio.Event, asyncio.Future[None]]] = []

    async def start(self) -> DemoFleet:
        """Starts stand-ins, then sidecars, then entry instances."""
        os.environ[_PEER_SECRET_VARIABLE] = secrets.token_hex(16)
        for each in self._stand_ins():
            await each.start()
        workspaces = (
            DemoWorkspace("buyers", URGENT, "buyers", secrets.token_hex(16)),
            DemoWorkspace(
                "contracts", ROUTINE, "contracts", secrets.token_hex(16)
            ),
        )
        for record in _configuration_records(workspaces):
            await self._log.append("config", json.dumps(record).encode())
        for number, each in enumerate(self._engines):
            await self._start_sidecar(number, "engine_chat", each.url, "")
        await self._start_sidecar(
            _ENGINE_COUNT, "plain_service", self._payments.url, APPLICATION
        )
        urls = [
            await self._start_entry(number) for number in range(_ENTRY_COUNT)
        ]
        return DemoFleet(tuple(urls), workspaces, self._payments)

    async def stop(self) -> None:
        """Drains entry instances, then sidecars, and closes the stand-ins."""
        for stop, process in reversed(self._running):
            stop.set()
            await process
        for each in reversed(self._stand_ins()):
            await each.close()

    def _stand_ins(
        self,
    ) -> list[
        log.LogService
        | instancelist.InstanceListService
        | service.PaymentService
        | engine.Engine
    ]:
        return [self._log, self._instances, self._payments, *self._engines]

    async def _start_sidecar(
        self, number: int, kind: str, url: str, application: str
    ) -> None:
        config = settings.SidecarSettings.model_validate(
            {
                **self._common_settings(f"sidecar-{number + 1}", number),
                "role": "sidecar",
                "peers": {"host": "127.0.0.1", "port": 0},
                "backend": {
                    "kind": kind,
                    "url": url,
                    "application": application,
                },
            }
        )
        process = await self._start_process(config)
        self._instances.put(
            config.peer_id,
            "sidecar",
            process.role.ports["peers"],
            config.zone,
            config.region,
        )

    async def _start_entry(self, number: int) -> str:
        port = self._port if number == 0 else 0
        config = settings.EntrySettings.model_validate(
            {
                **self._common_settings(f"entry-{number + 1}", number),
                "role": "entry",
                "http": {"host": "127.0.0.1", "port": port},
            }
        )
        process = await self._start_process(config)
        return f"http://127.0.0.1:{process.role.ports['http']}"

    async def _start_process(
        self, config: settings.EntrySettings | settings.SidecarSettings
    ) -> process_lib.Process:
        process = process_lib.Process(config, clock_lib.SystemClock())
        stop = asyncio.Event()
        running = asyncio.ensure_future(process.run(stop))
        self._running.append((stop, running))
        waiting = asyncio.ensure_future(process.role.wait_ready())
        await asyncio.wait(
            {waiting, running}, return_when=asyncio.FIRST_COMPLETED
        )
        if not waiting.done():
            waiting.cancel()
            await running
        return process

    def _common_settings(self, name: str, number: int) -> dict[str, Any]:
        return {
            "peer_id": name,
            "zone": _ZONES[number % len(_ZONES)],
            "region": _REGION,
            "operators": {"host": "127.0.0.1", "port": 0},
            "platform": {
                "log": {"url": self._log.url},
                "instance_list": {"url": self._instances.url},
            },
            "peer_secret": {"environment": _PEER_SECRET_VARIABLE},
            "stop": {"balancer_delay_s": 0.1, "deadline_s": 5},
        }


@contextlib.asynccontextmanager
async def run_fleet(port: int = 0) -> AsyncIterator[DemoFleet]:
    """Runs a fleet that serves requests when the context is entered.

    Args:
        port: HTTP port of the first entry instance; 0 for a free port.

    Raises:
        FleetNotReady: An entry instance did not serve requests in time.
    """
    launcher = _FleetLauncher(port)
    try:
        fleet = await launcher.start()
        await _wait_ready(fleet)
        yield fleet
    finally:
        await launcher.stop()


async def _wait_ready(fleet: DemoFleet) -> None:
    async with aiohttp.ClientSession(timeout=_CLIENT_TIMEOUT) as session:
        for url in fleet.urls:
            for _ in range(_READY_ATTEMPTS):
                if await _serves_requests(session, url, fleet.workspaces[0]):
                    break
                await asyncio.sleep(_READY_INTERVAL_S)
            else:
                raise FleetNotReady(f"{url} did not serve requests in time")


async def _serves_requests(
    session: aiohttp.ClientSession, url: str, workspace: DemoWorkspace
) -> bool:
    headers = {"Authorization": f"Bearer {workspace.key}"}
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "Are you there?"}],
        "max_tokens": 1,
    }
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        if response.status != 200:
            return False
    async with session.get(
        f"{url}/v1/services/{APPLICATION}/balance", headers=headers
    ) as response:
        return response.status == 200


def _configuration_records(
    workspaces: tuple[DemoWorkspace, ...],
) -> list[dict[str, Any]]:
    return [
        _record("rank", URGENT, level=0),
        _record("rank", ROUTINE, level=1, share=0.1),
        _record("routing_policy", "default", algorithm="bidding"),
        _record("model", MODEL, weights_version="v1"),
        _record("application", APPLICATION),
        *(_workspace_record(workspace) for workspace in workspaces),
    ]


def _workspace_record(workspace: DemoWorkspace) -> dict[str, Any]:
    salt = secrets.token_hex(16)
    key = {
        "key_id": workspace.key_id,
        "salt": salt,
        "digest": auth.key_digest(salt, workspace.secret),
        "rank": workspace.rank,
    }
    return _record("workspace", workspace.name, keys=[key])


def _record(kind: str, name: str, **body: Any) -> dict[str, Any]:
    return {"kind": kind, "name": name, "schema_version": 1, "body": body}
