"""The gateway beside clients that nobody controls, as a real process."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
from collections.abc import AsyncIterator

import aiohttp
import pytest

from hibiscusstile_standins import endless
from tests.builders import gateway as builders
from tests.builders import gatewayprocess
from tests.builders import uncontrolledclients as clients

_MEMORY_MB = 120
_MAX_FDS = 400
_BODY_BYTES = 4 * 1024 * 1024
_CROWD = 60
# More connections than the process has descriptors.
_MANY = 450
_READERS = 120
_CONFIGURATION = {
    "services": [
        {
            "name": builders.ENGINE_SERVICE,
            "health_path": "/healthz",
            "max_connections": 1000,
            "engine": {
                "slots": 1000,
                "kv_tokens": 10_000_000,
                "models": [{"name": "m1"}],
            },
        },
        {
            "name": builders.PLAIN_SERVICE,
            "health_path": "/healthz",
            "max_connections": 1000,
        },
    ],
    "routes": [
        builders.operator_route(
            "dossier",
            "/dossier/",
            kind="streaming",
            service=builders.ENGINE_SERVICE,
            timeout_ms=20_000,
        ),
        builders.operator_route("files", "/files/", timeout_ms=20_000),
        builders.operator_route(
            "feeds", "/feeds/", kind="streaming", timeout_ms=20_000
        ),
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": _BODY_BYTES,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
_ANSWER_S = 20.0


class Runner:
    """A gateway process with the settings of these tests."""

    def __init__(self, process: gatewayprocess.GatewayProcess) -> None:
        assert process.process is not None
        host, _, port = process.url.split("/")[2].rpartition(":")
        self._url = process.url
        self.target = clients.Target(
            host,
            int(port),
            "/dossier/1",
            {**gatewayprocess.HEADERS, "X-Request-Id": "crowd"},
        )
        self.watched = clients.WatchedProcess(
            process.process, _MEMORY_MB, _MAX_FDS
        )

    async def check_ordinary(self, name: str, body_bytes: int = 900) -> None:
        """Checks that an ordinary request is served.

        Its caller repeats it as long as it is refused with a delay.
        """
        headers = {**gatewayprocess.HEADERS, "X-Request-Id": name}
        async with (
            asyncio.timeout(_ANSWER_S),
            aiohttp.ClientSession() as session,
        ):
            while True:
                if await self._is_served(session, headers, body_bytes):
                    return
                await asyncio.sleep(0.2)

    async def _is_served(
        self,
        session: aiohttp.ClientSession,
        headers: dict[str, str],
        body_bytes: int,
    ) -> bool:
        try:
            async with session.post(
                self._url, headers=headers, data=bytes(body_bytes)
            ) as response:
                text = await response.text()
        except aiohttp.ClientConnectionError:
            return False
        if response.status == 503:
            return False
        assert response.status == 200, f"{response.status} {text}"
        return True


@contextlib.asynccontextmanager
async def _endless_server(
    process: gatewayprocess.GatewayProcess, response: str
) -> AsyncIterator[None]:
    """Runs a plain service whose responses never end."""
    server = endless.EndlessServer(response)
    await server.start()
    entry = process.engine.discovery_entry(
        builders.PLAIN_SERVICE,
        address=f"127.0.0.1:{server.port}",
        slots=1000,
        models=[],
    )
    await process.store.put("keyed.servers", "i-2", entry)
    try:
        yield
    finally:
        await server.close()


@contextlib.asynccontextmanager
async def _runner(
    folder: pathlib.Path, endless_response: str = "chunked_body"
) -> AsyncIterator[Runner]:
    async with (
        gatewayprocess.gateway_process(
            folder,
            limits={"memory_mb": _MEMORY_MB, "max_fds": _MAX_FDS},
            configuration=_CONFIGURATION,
        ) as process,
        aiohttp.ClientSession() as session,
        _endless_server(process, endless_response),
    ):
        await process.wait_status(session, 200, 15)
        runner = Runner(process)
        await runner.check_ordinary("before")
        yield runner


def _sized(target: clients.Target, index: int, **changes: str) -> list[bytes]:
    changes = {"X_Request_Id": f"crowd-{index}", **changes}
    length = str(_BODY_BYTES)
    head = clients.head(target, Content_Length=length, **changes)
    return [head, *clients.sized_body(_BODY_BYTES)]


def _chunked(target: clients.Target, chunk_bytes: int) -> list[bytes]:
    head = clients.head(target, Transfer_Encoding="chunked")
    return [head, *clients.chunked_pieces(_BODY_BYTES, chunk_bytes)]


async def _check_crowd(runner: Runner, crowd: clients.Crowd) -> None:
    """Checks the process beside the crowd and after it."""
    runner.watched.check()
    await runner.check_ordinary("beside")
    crowd.leave()
    await runner.check_ordinary("after")
    runner.watched.check()
    await runner.watched.check_memory_returns()


@pytest.mark.parametrize("kind", ["sized", "chunked", "tiny_chunks", "no_key"])
async def test_bodies_that_stop_before_their_end(
    tmp_path: pathlib.Path, kind: str
) -> None:
    """Guards against a process that holds all bodies that its clients begin.

    Each body has a legal size and ends 1 KiB short; the client stays.
    """
    async with _runner(tmp_path) as runner:
        target = runner.target
        pieces = {
            "sized": lambda index: _sized(target, index),
            "chunked": lambda index: _chunked(target, 64 * 1024),
            "tiny_chunks": lambda index: _chunked(target, 16),
            "no_key": lambda index: _sized(
                target, index, Authorization="Token unknown"
            ),
        }[kind]
        async with clients.crowd(target) as crowd:
            await crowd.send(_CROWD, pieces)
            await _check_crowd(runner, crowd)


async def test_one_client_again_and_again(tmp_path: pathlib.Path) -> None:
    """Guards against memory that closed connections leave behind."""
    async with _runner(tmp_path) as runner:
        for _ in range(3):
            async with clients.crowd(runner.target) as crowd:
                await crowd.send(
                    _CROWD, lambda index: _sized(runner.target, index)
                )
                runner.watched.check()
        await runner.check_ordinary("after")
        await runner.watched.check_memory_returns()


async def test_connections_that_are_kept(tmp_path: pathlib.Path) -> None:
    """Guards against a process without descriptors for ordinary callers."""
    async with (
        _runner(tmp_path) as runner,
        clients.crowd(runner.target) as crowd,
    ):
        await crowd.send(_MANY, lambda index: [])
        await asyncio.sleep(0.5)
        await _check_crowd(runner, crowd)


async def test_heads_in_pieces(tmp_path: pathlib.Path) -> None:
    """Guards against heads that never end and are held in full.

    Each field is smaller than the limit on the whole head.
    """
    field = b"a: " + b"b" * 12_000 + b"\r\n"
    async with _runner(tmp_path) as runner:
        start = clients.head(runner.target)[:-2]
        async with clients.crowd(runner.target) as crowd:
            await crowd.send(_CROWD, lambda index: [start, *[field] * 100])
            await _check_crowd(runner, crowd)


async def test_requests_behind_each_other(tmp_path: pathlib.Path) -> None:
    """Guards against pipelined requests that wait unread in the process."""
    async with _runner(tmp_path) as runner:
        request = clients.head(
            dataclasses.replace(runner.target, path="/files/1"),
            Content_Length="0",
            pad="p" * 15_000,
        )
        async with clients.crowd(runner.target) as crowd:
            await crowd.send(_CROWD, lambda index: [request] * 64)
            await _check_crowd(runner, crowd)


@pytest.mark.parametrize(
    ("path", "response"),
    [("/files/1", "chunked_body"), ("/feeds/1", "long_events")],
)
@pytest.mark.parametrize("reads", [False, True])
async def test_answers_that_callers_read_slowly(
    tmp_path: pathlib.Path, path: str, response: str, reads: bool
) -> None:
    """Guards against answers that wait in the process for their callers."""
    async with _runner(tmp_path, response) as runner:
        target = dataclasses.replace(runner.target, path=path)
        request = clients.head(target, Content_Length="0")
        async with clients.crowd(target) as crowd:
            await crowd.send(_READERS, lambda index: [request])
            for _ in range(10):
                await asyncio.sleep(0.3)
                if reads:
                    await crowd.read_some()
            await _check_crowd(runner, crowd)


async def test_a_single_large_request_is_served(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a budget that refuses a request inside the limits."""
    async with _runner(tmp_path) as runner:
        await runner.check_ordinary("large", _BODY_BYTES)
        runner.watched.check()
