"""Tests of earlier refusals that a server writes once more."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from tests.builders import gateway as builders
from tests.builders import rawserver

_PAYMENT = builders.operator_route(
    "payment", "/payment/", kind="non_idempotent", attempts=3
)
_LOOKUP = builders.operator_route("lookup", "/lookup/", attempts=3)
_QUESTION = builders.operator_route(
    "question",
    "/question/",
    kind="streaming",
    service=builders.ENGINE_SERVICE,
    attempts=3,
    resumable=False,
)
_DOSSIER = {**_QUESTION, "name": "dossier", "path_prefix": "/dossier/"} | {
    "resumable": True
}
_ONCE = ["/payment/1", "/question/1"]
_ALL = [*_ONCE, "/lookup/1", "/dossier/1"]
_SERVICES = {
    "/payment/1": builders.PLAIN_SERVICE,
    "/lookup/1": builders.PLAIN_SERVICE,
    "/question/1": builders.ENGINE_SERVICE,
    "/dossier/1": builders.ENGINE_SERVICE,
}
_PROMISES = (408, 421, 429, 503)


def _refusal(request_id: str | None, status: str, **fields: str) -> bytes:
    marks = {"X_Not_Executed": "1", "X_Instance_Id": "i-1"}
    return rawserver.response_bytes(
        request_id, b"full", status=status, **(fields or marks)
    )


class _Server:
    """Refuses requests, then runs others and writes the refusals once more.

    Args:
        refused: Number of requests that are refused.
        copies: Copies of the refusals, written on their connection when the
            next request on it has begun to run.
    """

    def __init__(self, refused: int, copies: bytes) -> None:
        self.runs: list[str] = []
        self._refused = refused
        self._copies = copies

    async def serve(self, connection: rawserver.RawConnection) -> None:
        """Serves one connection."""
        copies = b""
        while True:
            request_id = await connection.read_request()
            if self._refused:
                self._refused -= 1
                await connection.send(_refusal(request_id, "503 Full"))
                copies = self._copies
                continue
            self.runs.append(request_id)
            await connection.send(copies)
            copies = b""
            await asyncio.sleep(0.05)
            await connection.send(
                rawserver.response_bytes(request_id, b"of the run")
            )


@contextlib.asynccontextmanager
async def _harness(
    path: str, *scripts: rawserver.Script
) -> AsyncIterator[builders.GatewayHarness]:
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(
            builders.gateway_harness(
                routes=[_PAYMENT, _LOOKUP, _QUESTION, _DOSSIER]
            )
        )
        for number, script in enumerate(scripts, 1):
            address = await stack.enter_async_context(
                rawserver.raw_server(script)
            )
            await harness.add_address(_SERVICES[path], f"i-{number}", address)
        yield harness


@pytest.mark.parametrize("path", _ALL)
@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("start", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
async def test_a_copy_of_the_refusal_of_an_earlier_attempt_is_ignored(
    path: str, count: int, start: bytes
) -> None:
    """Guards against a copy that has the ID of the attempt under way."""
    server = _Server(1, start + _refusal("r1", "503 Full") * count)
    async with _harness(path, server.serve) as harness:
        status, body, _ = await harness.call(path)
    assert (status, body) == (200, b"of the run")
    assert server.runs == ["r1"]


@pytest.mark.parametrize("path", _ALL)
@pytest.mark.parametrize("status", ["503 Full", "429 Full", "421 Other"])
@pytest.mark.parametrize("copy_id", ["r1", None])
@pytest.mark.parametrize("count", [1, 3])
async def test_a_copy_of_the_refusal_of_another_request_refuses_nothing(
    path: str, status: str, copy_id: str | None, count: int
) -> None:
    """Guards against a copy that is taken for the next caller's response.

    Without an ID, nothing tells it apart: the request may have run.
    """
    servers = [_Server(1, _refusal(copy_id, status) * count) for _ in range(2)]
    async with _harness(path, *(each.serve for each in servers)) as harness:
        assert (await harness.call(path))[0] == 200
        got, body, _ = await harness.call(path, "r2")
    runs = [each for server in servers for each in server.runs]
    if path in _ONCE:
        assert runs.count("r2") == 1
    if copy_id is None:
        assert got == 502
    else:
        assert (got, body) == (200, b"of the run")


@pytest.mark.parametrize("path", _ALL)
@pytest.mark.parametrize("status", ["503 Full", "429 Full", "408 Slow"])
async def test_a_refusal_without_the_mark_may_have_run(
    path: str, status: str
) -> None:
    """Guards against a promise that the server did not make."""
    runs: list[str] = []

    async def script(connection: rawserver.RawConnection) -> None:
        while True:
            request_id = await connection.read_request()
            runs.append(request_id)
            await connection.send(
                _refusal(request_id, status, X_Instance_Id="i-1")
            )

    async with _harness(path, script) as harness:
        got, _, _ = await harness.call(path)
    assert runs == ["r1"]
    assert got not in _PROMISES
