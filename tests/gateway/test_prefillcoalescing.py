"""Tests of coalescing concurrent prefills of a shared prefix."""

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


def _coalescer(
    state: state_lib.GatewayState, **request: object
) -> prefillcoalescing.PrefillCoalescer:
    forwarded = builders.forwarded_request(**request)  # type: ignore[arg-type]
    forwarded = dataclasses.replace(
        forwarded, received_s=state.clock.monotonic()
    )
    return prefillcoalescing.PrefillCoalescer(
        state, forwarded, _TARGET_S, state.engine_rates("engines")
    )


def _selected(
    server_id: str = "i-1", cached: int = 0, **fields: object
) -> selection.SelectedServer:
    candidate = selection.Candidate(
        builders.backend_server(server_id), load.ServerLoad(), cache_salt=_SALT
    )
    candidate = dataclasses.replace(candidate, **fields)  # type: ignore[arg-type]
    return selection.SelectedServer(candidate, 0.3, cached)


async def _start_wait(
    coalescer: prefillcoalescing.PrefillCoalescer,
    selected: selection.SelectedServer,
) -> asyncio.Task[bool]:
    task = asyncio.ensure_future(coalescer.wait(selected))
    for _ in range(5):
        await asyncio.sleep(0)
    return task


async def test_a_prefix_is_prefilled_before_the_next_request_is_sent() -> None:
    """Guards against prefilling a prefix for each request that has it.

    Requests with the same prefix that were queued at one engine each prefilled
    it, which caused a tenth of all prefilled tokens.
    """
    state = _state()
    first = _coalescer(state)
    first.begin(_selected())
    second = await _start_wait(_coalescer(state), _selected(cached=10_000))
    assert not second.done()
    first.finish()
    assert await second is True
    assert await _coalescer(state).wait(_selected(cached=10_000)) is False


async def test_requests_of_other_gateways_wait_too() -> None:
    """Guards against concurrent prefills caused by two gateways."""
    state, other = _state(), _state()
    sender, receiver = (
        notices.NoticeHandler(state),
        notices.NoticeHandler(other),
    )
    first = _coalescer(state)
    first.begin(_selected())
    notice = sender.next_notice()
    assert notice is not None
    receiver.apply("peer", notice)
    second = await _start_wait(_coalescer(other), _selected())
    assert not second.done()
    first.finish()
    assert state.notices.urgent.is_set()
    notice = sender.next_notice()
    assert notice is not None
    receiver.apply("peer", notice)
    assert await second is True


async def test_a_restarted_gateway_learns_of_prefixes() -> None:
    """Guards against repeated prefills after a gateway restart."""
    clock = base.ManualClock()
    state, fresh = builders.gateway_state(clock), builders.gateway_state(clock)
    handler = notices.NoticeHandler(state)
    _coalescer(state, parts=(("old", 9_000), ("x", 9))).begin(_selected("i-2"))
    clock.advance(11.0)
    finished = _coalescer(state)
    finished.begin(_selected("i-1"))
    finished.finish()
    _coalescer(state, parts=(("cc", 8_000), ("x", 9))).begin(_selected("i-2"))
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
async def test_no_wait_without_a_prefill_worth_waiting_for(
    parts: tuple[tuple[str, int], ...], selected: selection.SelectedServer
) -> None:
    """Guards against delays that save little or no computation.

    The prefix can be fetched, is not being prefilled, or is short.
    """
    state = _state()
    for begun in ("aa", "dd"):
        tokens = 10_000 if begun == "aa" else 200
        _coalescer(state, parts=((begun, tokens), ("x", 9))).begin(_selected())
    assert await _coalescer(state, parts=parts).wait(selected) is False


async def test_no_wait_if_the_engine_has_the_prefix() -> None:
    """Guards against waiting for another engine's prefill."""
    state = _state()
    holder = load.ServerLoad()
    holder.note_cached_part(_SALT, "aa", 10_000)
    _coalescer(state).begin(_selected("i-2"))
    selected = _selected("i-1", 10_000, load=holder)
    assert await _coalescer(state).wait(selected) is False


async def test_the_wait_is_limited_by_the_request_s_target() -> None:
    """Guards against a request that waits until its caller gives up."""
    clock = base.ManualClock()
    state = builders.gateway_state(clock)
    _coalescer(state).begin(_selected())
    late = _coalescer(state)
    clock.advance(2.0 * _TARGET_S)
    assert await late.wait(_selected()) is False
    clock.advance(4.0)
    assert await _coalescer(state).wait(_selected()) is False
    assert len(state.pending_prefills) == 0


async def test_a_server_is_selected_again_after_a_wait_timed_out() -> None:
    """Guards against requests to a server that left during the wait (DRAIN).

    A request waited for 3 s and was then sent to an engine that had announced
    its shutdown 2 s earlier.
    """
    state = _state()
    _coalescer(state).begin(_selected())
    coalescer = prefillcoalescing.PrefillCoalescer(
        state,
        dataclasses.replace(
            builders.forwarded_request(), received_s=state.clock.monotonic()
        ),
        target_latency_s=0.005,
        rates=state.engine_rates("engines"),
    )
    assert await coalescer.wait(_selected()) is True


def test_prefills_without_a_completion_report_expire() -> None:
    """Guards against a full table, which disables coalescing."""
    clock = base.ManualClock()
    state = builders.gateway_state(clock)
    for number in range(3):
        part = exchange.PromptPart(f"p{number}", 9_000)
        state.pending_prefills.begin(_SALT, part, "i-1")
        clock.advance(3.0)
    assert len(state.pending_prefills) == 2


@pytest.mark.parametrize("mode", ["", "full", "cut", "lose_answer"])
async def test_no_prefill_stays_pending(mode: str) -> None:
    """Guards against requests that wait for a failed one."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.ENGINE_SERVICE, "i-1")
        if mode:
            runner.misbehave(mode)
        with contextlib.suppress(aiohttp.ClientError):
            await harness.call("/dossier/1", **_MODEL)
        assert len(harness.state.pending_prefills) == 0


async def test_a_delayed_request_is_served() -> None:
    """Guards against losing a request during its wait."""
    async with builders.gateway_harness() as harness:
        await harness.add_runner(builders.ENGINE_SERVICE, "i-1")
        part = exchange.PromptPart("aa", 10_000)
        harness.state.pending_prefills.begin("v1.shared", part, "i-1")
        call = asyncio.ensure_future(harness.call("/dossier/1", **_MODEL))
        await harness.until(lambda: harness.gateway.active == 1)
        harness.state.pending_prefills.finish("v1.shared", "aa")
        assert (await call)[0] == 200
