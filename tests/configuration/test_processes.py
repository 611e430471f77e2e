"""Tests of configuration in complete processes with sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from hibiscusstile import clock as clock_lib
from hibiscusstile import process as process_lib
from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile_standins import log as log_standin
from tests import builders

_RANK_PAYLOAD = json.dumps(builders.record("rank", "routine", level=1)).encode()
_UNREACHABLE_URL = "http://127.0.0.1:1"


@pytest.fixture
async def log(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[log_standin.LogService]:
    """A log stand-in with one record."""
    monkeypatch.setenv("PEER_SECRET", "s" * 32)
    service = log_standin.LogService()
    await service.start()
    await service.append(follower_lib.CONFIG_STREAM, _RANK_PAYLOAD)
    yield service
    await service.close()


@contextlib.asynccontextmanager
async def _running_process(
    role: str, name: str, log_url: str, **fields: Any
) -> AsyncIterator[Any]:
    config = builders.process_settings(
        role, name, log_url, _UNREACHABLE_URL, **fields
    )
    process = process_lib.Process(config, clock_lib.SystemClock())
    stop = asyncio.Event()
    task = asyncio.ensure_future(process.run(stop))
    await process.role.wait_ready()
    try:
        yield process.role
    finally:
        stop.set()
        await task


async def _wait_for_revision(role: Any, revision: int, limit_s: float) -> None:
    for _ in range(int(limit_s / 0.02)):
        if role.status()["revision"] == revision:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{role.status()} is not at revision {revision}")


def _seed_addresses(sidecar: Any) -> list[dict[str, Any]]:
    return [{"host": "127.0.0.1", "port": sidecar.ports["peers"]}]


async def test_processes_start_from_peers_while_the_log_is_down(
    log: log_standin.LogService,
) -> None:
    """Guards invariants 3 and 8 when instances restart with the log down."""
    async with _running_process("sidecar", "s1", log.url) as sidecar:
        await _wait_for_revision(sidecar, 0, 5)
        log.set_down(True)
        async with _running_process(
            "entry", "e1", log.url, seeds=_seed_addresses(sidecar)
        ) as entry:
            await _wait_for_revision(entry, 0, 2)
            assert entry.status()["digest"] == sidecar.status()["digest"]


async def test_a_change_reaches_a_process_that_cannot_read_the_log(
    log: log_standin.LogService,
) -> None:
    """Guards invariant 8 for an entry and a sidecar cut off from the log."""
    async with (
        _running_process("sidecar", "s1", _UNREACHABLE_URL) as first,
        _running_process("sidecar", "s2", log.url) as second,
    ):
        seeds = [*_seed_addresses(first), *_seed_addresses(second)]
        async with _running_process(
            "entry", "e1", _UNREACHABLE_URL, seeds=seeds
        ) as entry:
            await _wait_for_revision(first, 0, 6)
            await asyncio.sleep(1)
            offset = await log.append(follower_lib.CONFIG_STREAM, _RANK_PAYLOAD)
            for each in (second, entry, first):
                await _wait_for_revision(each, offset, 5)


async def test_an_idle_entry_confirms_with_peers_or_with_the_log(
    log: log_standin.LogService,
) -> None:
    """Guards against serving after idle time without a confirmation."""
    async with _running_process("sidecar", "s1", log.url) as sidecar:
        await _wait_for_revision(sidecar, 0, 5)
        async with _running_process(
            "entry", "e1", log.url, seeds=_seed_addresses(sidecar)
        ) as entry:
            await _wait_for_revision(entry, 0, 5)
            await asyncio.sleep(4)
            assert not entry.status()["fresh"]
            assert await entry.configuration_check.ensure_current()
            assert entry.status()["fresh"]
            log.set_down(True)
            await asyncio.sleep(3.5)
            assert await entry.configuration_check.ensure_current()
    log.set_down(False)
    async with _running_process("entry", "e2", log.url) as alone:
        await _wait_for_revision(alone, 0, 5)
        assert await alone.configuration_check.ensure_current()
        log.set_down(True)
        await asyncio.sleep(3.5)
        assert not await alone.configuration_check.ensure_current()
