"""Builders of streams whose servers are silent for a while."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from tests.builders import gateway as builders
from tests.builders import rawserver

__all__ = [
    "EVENTS",
    "ROUTES",
    "SILENCE_S",
    "TIMEOUT_MS",
    "WHOLE",
    "limit_budget",
    "receive",
    "reject",
    "resumed_stream",
    "silent_servers",
]

EVENTS = [f"id: {number}\ndata: x\n\n".encode() for number in range(1, 5)]
WHOLE = b"".join(EVENTS)
# Longer than callers of a route with a target latency of 0.5 s wait.
SILENCE_S = 2.3
TIMEOUT_MS = 8000


def _route(name: str, **fields: object) -> dict[str, object]:
    return builders.operator_route(
        name,
        f"/{name}/",
        kind="streaming",
        service=builders.ENGINE_SERVICE,
        timeout_ms=TIMEOUT_MS,
        **fields,
    )


ROUTES = [
    _route("question", attempts=1, resumable=False),
    _route("dossier", attempts=2, resumable=True),
    _route("once", attempts=1, resumable=True),
]


async def reject(connection: rawserver.RawConnection, request_id: str) -> None:
    """Rejects a request as full."""
    await connection.send(
        rawserver.response_bytes(
            request_id, b"full", status="503 Full", X_Not_Executed="1"
        )
    )


@contextlib.asynccontextmanager
async def silent_servers(
    *sequences: rawserver.AnswerSequence,
) -> AsyncIterator[builders.GatewayHarness]:
    """Runs a gateway with one server for each sequence of answers."""
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(
            builders.gateway_harness(routes=ROUTES)
        )
        for number, sequence in enumerate(sequences, start=1):
            address = await stack.enter_async_context(
                rawserver.raw_server(sequence.serve)
            )
            await harness.add_address(
                builders.ENGINE_SERVICE, f"i-{number}", address
            )
        yield harness


def limit_budget(harness: builders.GatewayHarness, left: float) -> None:
    """Leaves a number of tokens in the engines' retry budget."""
    budget = harness.state.budget(builders.ENGINE_SERVICE)
    budget.resize(left)


async def receive(
    harness: builders.GatewayHarness, path: str, request_id: str = "r1"
) -> tuple[int, bytes, bool]:
    """Returns status, body and completeness of a stream."""
    return await harness.receive(
        path, request_id, X_Deadline_Ms=str(TIMEOUT_MS)
    )


@contextlib.asynccontextmanager
async def resumed_stream(
    first: rawserver.AnswerSequence, *others: rawserver.AnswerSequence
) -> AsyncIterator[tuple[builders.GatewayHarness, asyncio.Future[Any]]]:
    """Sends a stream to a first server and lists further ones after that."""
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(silent_servers(first))
        call = asyncio.ensure_future(receive(harness, "/dossier/1"))
        await harness.until(lambda: bool(first.request_ids))
        for number, sequence in enumerate(others, start=2):
            address = await stack.enter_async_context(
                rawserver.raw_server(sequence.serve)
            )
            await harness.add_address(
                builders.ENGINE_SERVICE, f"i-{number}", address
            )
        yield harness, call
