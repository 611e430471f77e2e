"""An entry instance beside clients that nobody controls, as a real process."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
from collections.abc import AsyncIterator

import pytest

from tests import builders, httpclient, processes
from tests.builders import uncontrolledclients as clients

_MEMORY_MB = 120
_MAX_FDS = 400
_BODY_BYTES = 4_000_000
_CROWD = 60
# More connections than the process has descriptors.
_MANY = 450
_ANSWER_S = 20.0


class Runner:
    """A fleet with one entry instance that has the limits of these tests."""

    def __init__(self, fleet: processes.Fleet) -> None:
        entry = fleet.entries[0]
        self._url = fleet.urls[entry.name]
        self._key = fleet.keys[next(iter(builders.FLEET_WORKSPACES))]
        host, _, port = self._url.removeprefix("http://").rpartition(":")
        headers = {"Host": "entry", **httpclient.auth_headers(self._key)}
        self.target = clients.Target(
            host, int(port), "/v1/chat/completions", headers
        )
        self.watched = clients.WatchedProcess(entry.child, _MEMORY_MB, _MAX_FDS)

    async def check_ordinary(self) -> None:
        """Checks that an ordinary request is served, repeated if refused."""
        messages = builders.nested_prompt("growers", 1, "question")
        async with (
            asyncio.timeout(_ANSWER_S),
            httpclient.open_session() as session,
        ):
            while True:
                with contextlib.suppress(OSError):
                    answer = await httpclient.send_chat(
                        session, self._url, self._key, messages
                    )
                    if answer.done:
                        return
                    assert answer.status in (429, 503), answer
                await asyncio.sleep(0.2)


@contextlib.asynccontextmanager
async def _runner(folder: pathlib.Path) -> AsyncIterator[Runner]:
    limits = {"memory_mb": _MEMORY_MB, "max_fds": _MAX_FDS}
    async with processes.process_fleet(
        folder,
        entries=1,
        engines=1,
        services=1,
        entry_settings={"limits": limits},
    ) as fleet:
        runner = Runner(fleet)
        await runner.check_ordinary()
        yield runner


async def _check_crowd(runner: Runner, crowd: clients.Crowd) -> None:
    """Checks the process beside the crowd and after it."""
    runner.watched.check()
    await runner.check_ordinary()
    crowd.leave()
    await runner.check_ordinary()
    runner.watched.check()
    await runner.watched.check_memory_returns()


@pytest.mark.parametrize("framing", ["sized", "chunked"])
async def test_bodies_that_stop_before_their_end(
    tmp_path: pathlib.Path, framing: str
) -> None:
    """Guards against a process that holds all bodies that its clients begin."""
    async with _runner(tmp_path) as runner:
        if framing == "sized":
            head = clients.head(runner.target, Content_Length=str(_BODY_BYTES))
            pieces = [head, *clients.sized_body(_BODY_BYTES)]
        else:
            head = clients.head(runner.target, Transfer_Encoding="chunked")
            pieces = [head, *clients.chunked_pieces(_BODY_BYTES, 64 * 1024)]
        async with clients.crowd(runner.target) as crowd:
            await crowd.send(_CROWD, lambda index: pieces)
            await _check_crowd(runner, crowd)


async def test_connections_that_are_kept(tmp_path: pathlib.Path) -> None:
    """Guards against a process without descriptors for ordinary callers."""
    async with (
        _runner(tmp_path) as runner,
        clients.crowd(runner.target) as crowd,
    ):
        await crowd.send(_MANY, lambda index: [])
        await asyncio.sleep(0.5)
        await _check_crowd(runner, crowd)


async def test_requests_behind_each_other(tmp_path: pathlib.Path) -> None:
    """Guards against pipelined requests that wait unread in the process."""
    async with _runner(tmp_path) as runner:
        target = dataclasses.replace(
            runner.target, path="/v1/services/accounts/payments"
        )
        request = clients.head(
            target,
            Content_Length="0",
            **{f"pad{n}": "p" * 8000 for n in range(6)},
        )
        async with clients.crowd(target) as crowd:
            await crowd.send(_CROWD, lambda index: [request] * 64)
            await _check_crowd(runner, crowd)
