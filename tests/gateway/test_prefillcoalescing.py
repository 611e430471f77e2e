"""Tests of reading a prefix once before requests with it follow."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import aiohttp
import pytest

from hibiscusstile.gateway import (
    exchange,
    load,
    notices,
    prefillcoalescing,
    selection,
)
from hibiscusstile.gateway import state as state_lib
from tests import builders as base
from tests.builders import gateway as builders

_SALT = "v1.shared"
_TARGET_S = 1.5
_MODEL = {
    "X_Model": "m1",
    "X_Token_Usage": "12000,100",
    "X_Prompt_Prefix": "aa:10000,bb:2000",
}


def _state() -> state_lib.GatewayState:
    return builders.gateway_state(base.ManualClock())


def _turn(
    state: state_lib.GatewayState, **request: object
) -> prefillcoalescing.PrefillCoalescer:
    forwarded = builders.forwarded_request(**request)  # type: ignore[arg-type]
    forwarded = dataclasses.replace(
        forwarded, received_s=state.clock.monotonic()
    )
    return prefillcoalescing.PrefillCoalescer(state, forwarded, _TARGET_S)


def _selected(
    server_id: str = "i-1", cached: int = 0, **fields: object
) -> selection.SelectedServer:
    candidate = selection.Candidate(
        builders.backend_server(server_id), load.ServerLoad(), cache_salt=_SALT
    )
    candidate = dataclasses.replace(candidate, **fields)  # type: ignore[arg-type]
    return selection.SelectedServer(candidate, 0.3, cached)


async def _waits(
    turn: prefillcoalescing.PrefillCoalescer, selected: selection.SelectedServer
) -> asyncio.Task[bool]:
    task = asyncio.ensure_future(turn.wait(selected))
    for _ in range(5):
        await asyncio.sleep(0)
    return task


async def test_a_prefix_is_read_before_the_next_request_is_sent() -> None:
    """Guards against an engine that reads a prefix for each request.

    Found on a played day: requests that waited at one engine with the same
    prefix each had it read, a tenth of all tokens read.
    """
    state = _state()
    first = _turn(state)
    first.begin(_selected())
    second = await _waits(_turn(state), _selected(cached=10_000))
    assert not second.done()
    first.finish()
    assert await second is True
    assert await _turn(state).wait(_selected(cached=10_000)) is False


async def test_other_gateways_wait_too() -> None:
    """Guards against a prefix that two gateways have read at once."""
    state, other = _state(), _state()
    teller, hearer = notices.NoticeHandler(state), notices.NoticeHandler(other)
    first = _turn(state)
    first.begin(_selected())
    notice = teller.next_notice()
    assert notice is not None
    hearer.apply("peer", notice)
    second = await _waits(_turn(other), _selected())
    assert not second.done()
    first.finish()
    assert state.notices.urgent.is_set()
    notice = teller.next_notice()
    assert notice is not None
    hearer.apply("peer", notice)
    assert await second is True


async def test_a_gateway_that_starts_anew_learns_of_prefixes() -> None:
    """Guards against prefixes read again after each restart of a gateway."""
    clock = base.ManualClock()
    state, fresh = builders.gateway_state(clock), builders.gateway_state(clock)
    handler = notices.NoticeHandler(state)
    _turn(state, parts=(("old", 9_000), ("x", 9))).begin(_selected("i-2"))
    clock.advance(11.0)
    read = _turn(state)
    read.begin(_selected("i-1"))
    read.finish()
    _turn(state, parts=(("cc", 8_000), ("x", 9))).begin(_selected("i-2"))
    handler.next_notice()
    notices.NoticeHandler(fresh).apply("peer", handler.snapshot())
    part = exchange.PromptPart("aa", 10_000)
    assert fresh.loads.for_server("i-1").cached_tokens(_SALT, (part,)) == 10_000
    assert fresh.recent_prefills.is_recent(_SALT, "aa", clock.monotonic())
    assert not fresh.recent_prefills.is_recent(_SALT, "old", clock.monotonic())
    assert not fresh.pending_prefills.is_pending(_SALT, "aa")
    assert fresh.pending_prefills.is_pending(_SALT, "cc")


@pytest.mark.parametrize(
    ("parts", "selected"),
    [
        ((("aa", 10_000), ("own", 5)), _selected(stored_tokens=10_000)),
        ((("cc", 10_000), ("own", 5)), _selected()),
        ((("dd", 200), ("own", 5)), _selected()),
    ],
)
async def test_nothing_is_waited_for_without_need(
    parts: tuple[tuple[str, int], ...], selected: selection.SelectedServer
) -> None:
    """Guards against delays where the prefix can be fetched or is short."""
    state = _state()
    for begun in ("aa", "dd"):
        tokens = 10_000 if begun == "aa" else 200
        _turn(state, parts=((begun, tokens), ("x", 9))).begin(_selected())
    assert await _turn(state, parts=parts).wait(selected) is False


async def test_an_engine_that_holds_the_prefix_gets_the_request() -> None:
    """Guards against waiting for another engine's copy."""
    state = _state()
    holder = load.ServerLoad()
    holder.note_cached_part(_SALT, "aa", 10_000)
    _turn(state).begin(_selected("i-2"))
    selected = _selected("i-1", 10_000, load=holder)
    assert await _turn(state).wait(selected) is False


async def test_waiting_ends_with_the_request_s_patience() -> None:
    """Guards against a request that is held until its caller leaves."""
    clock = base.ManualClock()
    state = builders.gateway_state(clock)
    _turn(state).begin(_selected())
    late = _turn(state)
    clock.advance(2.0 * _TARGET_S)
    assert await late.wait(_selected()) is False
    clock.advance(4.0)
    assert await _turn(state).wait(_selected()) is False
    assert len(state.pending_prefills) == 0


async def test_a_server_is_selected_anew_after_a_wait_in_vain() -> None:
    """Guards against requests to a server that left during the wait.

    Found in a hunt: a request waited for 3 s and went to an engine that had
    said 2 s before that it leaves (DRAIN).
    """
    state = _state()
    _turn(state).begin(_selected())
    turn = prefillcoalescing.PrefillCoalescer(
        state,
        dataclasses.replace(
            builders.forwarded_request(), received_s=state.clock.monotonic()
        ),
        target_s=0.005,
    )
    assert await turn.wait(_selected()) is True


def test_reads_whose_end_is_never_told_are_dropped() -> None:
    """Guards against a table that fills up, after which nothing waits."""
    clock = base.ManualClock()
    state = builders.gateway_state(clock)
    for number in range(3):
        part = exchange.PromptPart(f"p{number}", 9_000)
        state.pending_prefills.begin(_SALT, part, "i-1")
        clock.advance(3.0)
    assert len(state.pending_prefills) == 2


@pytest.mark.parametrize("mode", ["", "full", "cut", "lose_answer"])
async def test_no_prefix_stays_pending(mode: str) -> None:
    """Guards against requests that wait for one that has failed."""
    async with builders.gateway_harness() as world:
        runner = await world.add_runner(builders.ENGINE_SERVICE, "i-1")
        if mode:
            runner.misbehave(mode)
        with contextlib.suppress(aiohttp.ClientError):
            await world.call("/dossier/1", **_MODEL)
        assert len(world.state.pending_prefills) == 0


async def test_a_held_request_is_served() -> None:
    """Guards against a request that is lost while it waits."""
    async with builders.gateway_harness() as world:
        await world.add_runner(builders.ENGINE_SERVICE, "i-1")
        part = exchange.PromptPart("aa", 10_000)
        world.state.pending_prefills.begin("v1.shared", part, "i-1")
        call = asyncio.ensure_future(world.call("/dossier/1", **_MODEL))
        await world.until(lambda: world.gateway.active == 1)
        world.state.pending_prefills.finish("v1.shared", "aa")
        assert (await call)[0] == 200
