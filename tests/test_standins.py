"""Tests of the stand-ins.

Other tests use them as oracles: a wrong stand-in could hide product faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from hibiscusstile_standins import (
    batching,
    blockcache,
    engine,
    instancelist,
    log,
    server,
    service,
    store,
    text,
    weights,
)
from tests import builders


@contextlib.asynccontextmanager
async def _running(
    stand_in: server.StandIn,
) -> AsyncIterator[aiohttp.ClientSession]:
    await stand_in.start()
    try:
        async with aiohttp.ClientSession(
            stand_in.url,
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=10),
        ) as session:
            yield session
    finally:
        await stand_in.close()


async def _generate(
    session: aiohttp.ClientSession, body: dict[str, Any]
) -> list[dict[str, Any]]:
    events = []
    async with session.post("/v1/chat/completions", json=body) as response:
        assert response.status == 200, await response.text()
        async for line in response.content:
            if line.startswith(b"data: "):
                events.append(json.loads(line[6:]))
    return events


async def test_resumed_generation_continues_the_output() -> None:
    """Guards against a resumed stream that differs from the first output."""
    prompt = builders.chat_messages()
    words = text.expected_words(prompt, 6)
    async with _running(engine.Engine()) as session:
        events = await _generate(
            session,
            builders.engine_body(
                prompt, max_tokens=6, resume_text="".join(words[:4])
            ),
        )
    assert [e["text"] for e in events if e["event"] == "text"] == words[4:]
    assert events[-1]["event"] == "end"


async def test_blocks_are_reused_within_a_salt_only() -> None:
    """Guards against cache hits across workspaces in the stand-in."""
    prompt = builders.long_prompt(5000)
    async with _running(engine.Engine()) as session:
        first = await _generate(session, builders.engine_body(prompt))
        repeated = await _generate(session, builders.engine_body(prompt))
        other_salt = await _generate(
            session, builders.engine_body(prompt, cache_salt="salt-b")
        )
    cached = [
        events[0]["cached_tokens"] for events in (first, repeated, other_salt)
    ]
    assert cached == [0, 4096, 0]


def test_eviction_removes_the_levels_that_use_the_block() -> None:
    """Guards against a block list that contains evicted prefixes."""
    feed = blockcache.EventFeed(lag_s=0.0)
    cache = blockcache.BlockCache(feed, max_blocks=2, block_tokens=10)
    cache.store("s", ["a", "ab"], [blockcache.PrefixLevel(1, 10)])
    cache.store("s", ["a", "ab"], [blockcache.PrefixLevel(2, 25)])
    cache.store("s", ["a", "ac"], [blockcache.PrefixLevel(3, 20)])
    assert {e["digest"] for e in cache.stored_events()} == {1, 3}
    kinds = [(e["kind"], e["digest"]) for e in feed.published_after(-1)]
    assert kinds == [
        ("stored", 1),
        ("stored", 2),
        ("stored", 3),
        ("removed", 2),
    ]


async def test_dropped_events_leave_a_gap_in_the_numbers() -> None:
    """Guards against dropped events that a reader cannot detect."""
    feed = blockcache.EventFeed(lag_s=0.0, loss=0.5, seed=3)
    for digest in range(20):
        feed.add("stored", "s", digest, 2048)
    numbers = [event["number"] for event in feed.published_after(-1)]
    assert 0 < len(numbers) < 20
    assert feed.last_number == 19


async def test_the_lowest_priority_number_is_scheduled_first() -> None:
    """Guards against an engine that ignores priority."""
    options = engine.EngineOptions(batch=batching.BatchOptions(max_sequences=1))
    stand_in = engine.Engine(options=options)
    order: list[str] = []

    async def generate(name: str, priority: int) -> None:
        await _generate(
            session,
            builders.engine_body(
                builders.chat_messages(name),
                name,
                priority=priority,
                max_tokens=40,
            ),
        )
        order.append(name)

    async with _running(stand_in) as session, asyncio.TaskGroup() as group:
        group.create_task(generate("running", 1))
        await asyncio.sleep(0.03)
        group.create_task(generate("routine", 1))
        await asyncio.sleep(0.01)
        group.create_task(generate("urgent", 0))
    assert order == ["running", "urgent", "routine"]


async def test_a_prompt_with_the_crash_mark_crashes_the_engine() -> None:
    """Guards against a crash that preserves the cache or the incarnation."""
    stand_in = engine.Engine(options=engine.EngineOptions(restart_s=0.1))
    async with _running(stand_in) as session:
        await _generate(
            session, builders.engine_body(builders.long_prompt(5000))
        )
        before = stand_in.incarnation
        with pytest.raises(aiohttp.ClientError):
            await _generate(
                session,
                builders.engine_body(
                    builders.chat_messages("CRASH-THE-ENGINE"), "a2"
                ),
            )
        await asyncio.sleep(0.3)
        async with session.get("/health") as response:
            assert (await response.json())["incarnation"] != before
    assert stand_in.cached_block_count == 0
    assert [run.ended for run in stand_in.runs] == ["end", "crashed"]


async def test_cancel_stops_generation() -> None:
    """Guards against an engine that keeps generating after a cancel."""
    stand_in = engine.Engine()
    async with _running(stand_in) as session:
        body = builders.engine_body(builders.chat_messages(), max_tokens=5000)
        generation = asyncio.ensure_future(_generate(session, body))
        await asyncio.sleep(0.1)
        await session.post("/v1/cancel/a1")
        events = await generation
    assert events[-1]["event"] != "end"
    assert stand_in.runs[0].ended == "cancelled"


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
async def test_an_older_fencing_number_is_refused_if_checked(
    checks: bool, status: int
) -> None:
    """Guards against identical behavior of fenced and unfenced engines."""
    options = engine.EngineOptions(checks_fencing=checks)
    store = weights.WeightStore(load_s=0.05)
    async with _running(engine.Engine("m1", "v1", options, store)) as session:
        order = {
            "fencing_number": 7,
            "model": "m2",
            "weights_version": "v1",
            "adapters": [],
            "role": "mixed",
        }
        async with session.post("/orders", json=order) as response:
            assert response.status == 200
        older = {**order, "fencing_number": 6, "model": "m3"}
        async with session.post("/orders", json=older) as response:
            assert response.status == status


async def test_more_than_three_loads_are_slower() -> None:
    """Guards against a weight store without a bandwidth limit."""

    async def load_all(count: int) -> float:
        store = weights.WeightStore(load_s=0.2)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.gather(*(store.load() for _ in range(count)))
        return loop.time() - started

    assert await load_all(6) > 1.5 * await load_all(3)


async def test_kv_cache_is_transferred_to_another_engine() -> None:
    """Guards against an imported KV cache that yields no cache hits."""
    prompt = builders.long_prompt(5000)
    levels = [{"digest": 9, "tokens": 5000}]
    body = builders.engine_body(prompt, prefix_levels=levels)
    async with (
        _running(engine.Engine()) as source,
        _running(engine.Engine()) as target,
    ):
        await _generate(source, body)
        async with source.get("/kv/9?salt=salt-a") as response:
            data = await response.read()
        async with target.put("/kv/9?salt=salt-b", data=data) as response:
            assert response.status == 409
        async with target.put("/kv/9?salt=salt-a", data=data) as response:
            assert response.status == 201
        events = await _generate(target, body)
    assert events[0]["cached_tokens"] == 4096


async def test_the_log_injects_faults() -> None:
    """Guards against log faults that have no effect."""
    stand_in = log.LogService(keep_entries=2)
    async with _running(stand_in) as session:
        for number in range(3):
            await session.post("/streams/s", data=str(number))
        stand_in.lose_answers(1)
        with pytest.raises(aiohttp.ClientError):
            await session.post("/streams/s", data=b"lost")
        async with session.get("/streams/s?offset=0") as response:
            page = await response.json()
        assert (page["earliest"], page["end"]) == (2, 4)
        stand_in.set_appends_per_s(1)
        statuses = [
            (await session.post("/streams/s", data=b"x")).status
            for _ in range(2)
        ]
        assert statuses == [201, 429]
        await session.post(
            "/fault", json={"name": "set_down", "arguments": {"down": True}}
        )
        async with session.get("/streams/s?offset=0") as response:
            assert response.status == 503


async def test_the_instance_list_delays_changes() -> None:
    """Guards against changes that are visible before the delay."""
    stand_in = instancelist.InstanceListService(lag_s=0.2)
    async with _running(stand_in) as session:
        stand_in.put("s1", "sidecar", 1, "az-1", "demo")
        async with session.get("/instances") as response:
            assert (await response.json())["instances"] == []
        await asyncio.sleep(0.25)
        async with session.get("/instances") as response:
            assert len((await response.json())["instances"]) == 1


async def test_a_call_with_a_dropped_response_is_executed() -> None:
    """Guards against a service that skips calls with dropped responses."""
    stand_in = service.PaymentService()
    async with _running(stand_in) as session:
        stand_in.lose_answers(1)
        with pytest.raises(aiohttp.ClientError):
            await session.post("/payments", json={"amount": 3})
        stand_in.refuse(1)
        async with session.post("/payments", json={"amount": 4}) as response:
            assert response.status == 503
    assert stand_in.payments == (3,)


async def test_a_frozen_stand_in_responds_after_thaw() -> None:
    """Guards against a freeze that refuses requests instead of hanging."""
    stand_in = service.PaymentService()
    async with _running(stand_in) as session:
        stand_in.freeze()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await session.get("/balance")
        await session.post("/fault", json={"name": "thaw"})
        async with session.get("/balance") as response:
            assert response.status == 200


async def test_a_restored_store_has_only_the_records_of_its_copy() -> None:
    """Guards against a store that keeps offsets or keys newer than its copy."""
    stand_in = store.PlatformStoreService()
    topic = "keyed.op"
    async with _running(stand_in) as session:
        await stand_in.put(topic, "a", b"1")
        await stand_in.put(topic, "b", b"1")
        stand_in.take_copy()
        await stand_in.put(topic, "a", b"2")
        await stand_in.put(topic, "b", b"")
        read = f"/v1/log-read?topic={topic}&part=0&from="
        waiting = asyncio.ensure_future(session.get(f"{read}4&wait_ms=9000"))
        async with asyncio.timeout(5):
            while stand_in.calls != ("read",):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        stand_in.restore()
        # aiohttp repeats a GET request whose connection was dropped.
        response = await waiting
        assert stand_in.calls == ("read", "read")
        assert response.status == 410
        assert response.headers["Store-Era"] == "2"
        assert await stand_in.put(topic, "c", b"1") == 2
        stand_in.set_page_size(2)
        query = f"/v1/log-newest?topic={topic}&part=0"
        async with session.get(query) as response:
            page = await response.json()
        assert [(e["key"], e["offset"]) for e in page["items"]] == [
            ("a", 0),
            ("b", 1),
        ]
        assert (page["end"], page["has_more"]) == (3, True)
        async with session.get(f"{query}&after=b") as response:
            page = await response.json()
        assert [each["key"] for each in page["items"]] == ["c"]
        assert not page["has_more"]


async def test_each_restore_increases_the_era_of_all_responses() -> None:
    """Guards against a stand-in whose errors lack the era."""
    stand_in = store.PlatformStoreService()
    async with _running(stand_in) as session:
        await stand_in.put("keyed.op", "a", b"1")
        await asyncio.sleep(0.2)
        await stand_in.put("keyed.op", "a", b"2")
        stand_in.restore(copy_age_s=0.1)
        assert stand_in.payloads("keyed.op") == [b"\x01a1"]
        stand_in.restore(copy_age_s=0.0)
        stand_in.set_down(True)
        async with session.get("/v1/log-read?topic=t&from=0") as response:
            assert response.status == 503
            assert response.headers["Store-Era"] == str(stand_in.era) == "3"
        stand_in.set_era_header(None)
        async with session.get("/v1/log-read?topic=t&from=0") as response:
            assert "Store-Era" not in response.headers
