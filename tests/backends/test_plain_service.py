"""Tests of the plain-service client against the stand-in service."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from hibiscusstile import outcome
from hibiscusstile.backends import plain_service
from hibiscusstile_standins import ports, service
from tests import builders


@contextlib.asynccontextmanager
async def _service_and_client() -> AsyncIterator[
    tuple[service.PaymentService, plain_service.PlainService]
]:
    stand_in = service.PaymentService()
    await stand_in.start()
    client = plain_service.PlainService(stand_in.url)
    try:
        yield stand_in, client
    finally:
        await client.close()
        await stand_in.close()


async def _refusal(
    client: plain_service.PlainService, timeout_s: float = 2.0
) -> outcome.Refusal:
    with pytest.raises(outcome.Refused) as caught:
        await client.call(
            builders.service_call(body=b'{"amount":3}'), timeout_s=timeout_s
        )
    return caught.value.refusal


async def test_a_response_is_returned_unchanged() -> None:
    """Guards against changed statuses and bodies."""
    async with _service_and_client() as (stand_in, client):
        reply = await client.call(
            builders.service_call(body=b'{"amount":3}'), timeout_s=2
        )
        stand_in.refuse(1, 409)
        refused = await client.call(
            builders.service_call(body=b'{"amount":3}'), timeout_s=2
        )
    assert (reply.status, refused.status) == (201, 409)
    assert stand_in.payments == (3,)


async def test_no_connection_is_not_run() -> None:
    """Guards against `may_have_run` for a payment that was never sent."""
    url = f"http://127.0.0.1:{ports.reserve_port()}"
    client = plain_service.PlainService(url)
    refusal = await _refusal(client)
    await client.close()
    assert refusal.verdict is outcome.Verdict.NOT_RUN


@pytest.mark.parametrize("fault", ["lost", "slow", "crash"])
async def test_a_lost_response_may_have_run_and_is_not_retried(
    fault: str,
) -> None:
    """Guards against a second payment by an implicit retry."""
    async with _service_and_client() as (stand_in, client):
        if fault == "lost":
            stand_in.lose_answers(1)
        else:
            stand_in.set_delay(0.3)
        if fault == "crash":
            loop = asyncio.get_running_loop()
            loop.call_later(0.1, stand_in.crash, 0.1)
        refusal = await _refusal(client, 2.0 if fault == "crash" else 0.2)
        await asyncio.sleep(0.5)
    assert refusal.verdict is outcome.Verdict.MAY_HAVE_RUN
    assert len(stand_in.payments) <= 1


async def test_a_put_on_a_dropped_connection_runs_once() -> None:
    """Guards against aiohttp's own retries of idempotent methods."""
    accepted = 0

    async def drop(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal accepted
        accepted += 1
        await reader.read(100)
        writer.close()

    server = await asyncio.start_server(drop, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = plain_service.PlainService(f"http://127.0.0.1:{port}")
    for _ in range(3):
        with pytest.raises(outcome.Refused):
            await client.call(builders.service_call(method="PUT"), timeout_s=2)
    await client.close()
    server.close()
    assert accepted == 3
