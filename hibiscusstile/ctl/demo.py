"""`hibiscusctl demo`: the whole path in one process, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import aiomisc

from hibiscusstile import clock as clock_lib
from hibiscusstile import ctl, daemon, logs, settings
from hibiscusstile.entry import auth
from hibiscusstile_standins import engine, instancelist, log, service

__all__ = ["DemoCommand", "demo"]

_SECRET_VARIABLE = "HIBISCUSSTILE_DEMO_SECRET"
_MODEL = "m1"
_APPLICATION = "accounts"


@ctl.commands.register()
class DemoCommand(ctl.Command):
    """Runs the demo."""

    name = "demo"

    @property
    def handler(self) -> Callable[..., int]:
        """Function that the command line calls."""
        return demo


def demo() -> int:
    """Runs stand-ins, two entries and four sidecars, and a short load."""
    logs.start_logging(logs.LogFormat.KEY_VALUE, "WARNING")
    with aiomisc.entrypoint(log_config=False) as loop:
        return loop.run_until_complete(_demo())


async def _demo() -> int:
    async with (
        _fleet() as (url, key),
        aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {key}"}
        ) as session,
    ):
        messages = [
            {"role": "system", "content": "You grade carob pods. " * 50},
            {"role": "user", "content": "Is 12% moisture fine?"},
        ]
        for _ in range(2):
            async with session.post(
                f"{url}/v1/chat/completions",
                json={
                    "model": _MODEL,
                    "messages": messages,
                    "stream": True,
                    "max_tokens": 8,
                },
            ) as response:
                print(response.status)
                print(await response.text())
        async with session.post(
            f"{url}/v1/services/{_APPLICATION}/payments",
            json={"amount": 5},
            headers={"Idempotency-Key": "k1"},
        ) as response:
            print(response.status, await response.text())
    return 0


@contextlib.asynccontextmanager
async def _fleet() -> AsyncIterator[tuple[str, str]]:
    os.environ[_SECRET_VARIABLE] = secrets.token_hex(16)
    platform_log = log.LogService()
    instances = instancelist.InstanceListService()
    engines = [engine.Engine(), engine.Engine()]
    payments = service.PaymentService()
    for each in (platform_log, instances, *engines, payments):
        await each.start()
    secret = secrets.token_urlsafe(18)
    for record in _records(secret):
        await platform_log.append("config", json.dumps(record).encode())
    stop = asyncio.Event()
    tasks = []
    for number, each in enumerate([*engines, payments]):
        kind = "plain_service" if each is payments else "engine_chat"
        config = _sidecar_settings(
            f"sidecar-{number}", kind, each.url, platform_log, instances
        )
        process = daemon.Process(config, clock_lib.SystemClock())
        tasks.append(asyncio.ensure_future(process.run(stop)))
        await process.role.wait_ready()
        instances.put(
            config.peer_id,
            "sidecar",
            process.role.ports["peers"],
            "az-1",
            "demo",
        )
    entry = _entry_settings("entry-1", platform_log, instances)
    process = daemon.Process(entry, clock_lib.SystemClock())
    tasks.append(asyncio.ensure_future(process.run(stop)))
    await process.role.wait_ready()
    await asyncio.sleep(1.0)
    try:
        yield (
            f"http://127.0.0.1:{process.role.ports['http']}",
            f"hs_demo_{secret}",
        )
    finally:
        stop.set()
        await asyncio.gather(*tasks)
        for each in (platform_log, instances, *engines, payments):
            await each.close()


def _records(secret: str) -> list[dict[str, Any]]:
    salt = secrets.token_hex(16)

    def record(kind: str, name: str, **body: Any) -> dict[str, Any]:
        return {
            "kind": kind,
            "name": name,
            "schema_version": 1,
            "body": body,
        }

    return [
        record("rank", "urgent", level=0),
        record("rank", "routine", level=1, share=0.1),
        record("routing_policy", "default", algorithm="bidding"),
        record("model", _MODEL, weights_version="v1"),
        record("application", _APPLICATION),
        record(
            "workspace",
            "growers",
            keys=[
                {
                    "key_id": "demo",
                    "salt": salt,
                    "digest": auth.key_digest(salt, secret),
                }
            ],
        ),
    ]


def _common(
    name: str,
    platform_log: log.LogService,
    instances: instancelist.InstanceListService,
) -> dict[str, Any]:
    return {
        "peer_id": name,
        "zone": "az-1",
        "region": "demo",
        "operators": {"host": "127.0.0.1", "port": 0},
        "platform": {
            "log": {"url": platform_log.url},
            "instance_list": {"url": instances.url},
        },
        "peer_secret": {"environment": _SECRET_VARIABLE},
        "stop": {"balancer_delay_s": 0.1, "deadline_s": 5},
    }


def _sidecar_settings(
    name: str,
    kind: str,
    url: str,
    platform_log: log.LogService,
    instances: instancelist.InstanceListService,
) -> settings.SidecarSettings:
    application = _APPLICATION if kind == "plain_service" else ""
    return settings.SidecarSettings.model_validate(
        {
            **_common(name, platform_log, instances),
            "role": "sidecar",
            "peers": {"host": "127.0.0.1", "port": 0},
            "backend": {"kind": kind, "url": url, "application": application},
        }
    )


def _entry_settings(
    name: str,
    platform_log: log.LogService,
    instances: instancelist.InstanceListService,
) -> settings.EntrySettings:
    return settings.EntrySettings.model_validate(
        {
            **_common(name, platform_log, instances),
            "role": "entry",
            "http": {"host": "127.0.0.1", "port": 0},
        }
    )
