"""Tests of the engine client against the stand-in engine."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from hibiscusstile import backends, outcome, request
from hibiscusstile.backends import engine_chat
from hibiscusstile_standins import engine, ports, weights
from tests import builders


@contextlib.asynccontextmanager
async def _engine_and_client(
    options: engine.EngineOptions | None = None,
) -> AsyncIterator[tuple[engine.Engine, engine_chat.EngineChat]]:
    store = weights.WeightStore(load_s=0.05)
    stand_in = engine.Engine("m1", "v1", options, store)
    await stand_in.start()
    client = engine_chat.EngineChat(stand_in.url)
    try:
        yield stand_in, client
    finally:
        await client.close()
        await stand_in.close()


async def _refusal(
    client: engine_chat.EngineChat, generation: backends.GenerationRequest
) -> outcome.Refusal:
    with pytest.raises(outcome.Refused) as caught:
        async for _ in client.generate(generation):
            pass
    return caught.value.refusal


async def test_a_stream_is_received_completely() -> None:
    """Guards against lost or reordered events of a stream."""
    prompt = builders.chat_messages()
    async with _engine_and_client() as (stand_in, client):
        events = [
            event
            async for event in client.generate(
                builders.generation_request(prompt)
            )
        ]
        assert isinstance(events[0], backends.EngineStarted)
        assert events[0].incarnation == stand_in.incarnation
    texts = [e.text for e in events if isinstance(e, backends.EngineText)]
    assert texts == engine.expected_words(prompt, 4)
    assert isinstance(events[-1], backends.EngineEnd)


async def test_no_connection_is_not_run() -> None:
    """Guards against `may_have_run` for a request that was never sent."""
    client = engine_chat.EngineChat(f"http://127.0.0.1:{ports.reserve_port()}")
    refusal = await _refusal(client, builders.generation_request([]))
    await client.close()
    assert refusal.verdict is outcome.Verdict.NOT_RUN


async def test_a_connection_cut_after_the_request_may_have_run() -> None:
    """Guards against `not_run` once bytes may have reached the engine."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        port = server.getsockname()[1]

        async def cut() -> None:
            loop = asyncio.get_running_loop()
            connection, _ = await loop.sock_accept(server)
            await loop.sock_recv(connection, 100)
            connection.close()

        client = engine_chat.EngineChat(f"http://127.0.0.1:{port}")
        refusal, _ = await asyncio.gather(
            _refusal(client, builders.generation_request([])), cut()
        )
        await client.close()
    assert refusal.verdict is outcome.Verdict.MAY_HAVE_RUN


async def test_a_crash_is_distinguished_from_a_broken_stream() -> None:
    """Guards against crashes that are reported as broken streams."""
    options = engine.EngineOptions(restart_s=0.05)
    async with _engine_and_client(options) as (_, client):
        await client.health()
        generation = builders.generation_request(
            builders.chat_messages("CRASH-THE-ENGINE")
        )
        refusal = await _refusal(client, generation)
    assert refusal.reason is outcome.Reason.BACKEND_CRASHED
    assert refusal.verdict is outcome.Verdict.MAY_HAVE_RUN


async def test_other_weights_are_refused_as_not_run() -> None:
    """Guards against a response from other weights than requested."""
    async with _engine_and_client() as (stand_in, client):
        refusal = await _refusal(
            client, builders.generation_request([], weights_version="v2")
        )
        assert stand_in.accepted_attempts == ()
    assert refusal.reason is outcome.Reason.NOT_LOADED
    assert refusal.verdict is outcome.Verdict.NOT_RUN


async def test_events_carry_the_routers_digests() -> None:
    """Guards against cache events that the cache view cannot match."""
    levels = (request.PrefixLevel(7, 2100), request.PrefixLevel(8, 5000))
    async with _engine_and_client() as (_, client):
        generation = builders.generation_request(
            builders.long_prompt(5000), prefix_levels=levels
        )
        async for _ in client.generate(generation):
            pass
        await asyncio.sleep(0.1)
        batch = await client.cache_events(-1)
        listing = await client.cache_blocks()
    assert batch is not None and listing is not None
    assert [(e.digest, e.tokens) for e in batch.events] == [
        (7, 2048),
        (8, 4096),
    ]
    assert {e.digest for e in listing.events} == {7, 8}
    assert listing.last_number == 1


async def test_orders_and_probes() -> None:
    """Guards against wrong results of orders and probes."""
    async with _engine_and_client() as (stand_in, client):
        assert (await client.order(backends.EngineOrder(5, "m2", "v3"))).applied
        older = await client.order(backends.EngineOrder(4, "m1", "v1"))
        assert (older.applied, older.may_be_applied) == (False, False)
        health = await client.health()
        assert health is not None
        assert (health.model, health.weights_version) == ("m2", "v3")
        stand_in.freeze()
        assert await client.probe(0.1) is backends.ProbeFailure.SILENT
        stand_in.thaw()
        await stand_in.close()
        assert await client.probe(0.1) is backends.ProbeFailure.REFUSED
        unsent = await client.order(backends.EngineOrder(6, "m1", "v1"))
        assert (unsent.applied, unsent.may_be_applied) == (False, False)
