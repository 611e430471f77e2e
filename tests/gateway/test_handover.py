"""Tests of the decision to leave a silent server."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import pytest

from hibiscusstile import outcome
from hibiscusstile.gateway import crashevidence, load
from hibiscusstile.gateway import state as state_lib
from tests.builders import gateway as builders
from tests.builders import rawserver, streams

_Condition = Callable[[state_lib.GatewayState], None]


def _set_peer_load(state: state_lib.GatewayState, **fields: int) -> None:
    peer_load = load.PeerLoad(
        **{"running": 0, "waiting_tokens": 0, **fields}, expires_s=math.inf
    )
    state.loads.for_server("i-2").note_peer_load("g2", peer_load, 0.0)


def _full(state: state_lib.GatewayState) -> None:
    _set_peer_load(state, running=8)


def _too_late(state: state_lib.GatewayState) -> None:
    _set_peer_load(state, waiting_tokens=10**9)


def _suspended(state: state_lib.GatewayState) -> None:
    server = state.fleet.get("i-2")
    assert server is not None
    state.health.note_replaced(server)


def _loading_weights(state: state_lib.GatewayState) -> None:
    state.weights.note_changing("i-2", 60.0)


def _first() -> rawserver.AnswerSequence:
    return rawserver.AnswerSequence(
        rawserver.stream(
            *streams.EVENTS[:2], streams.SILENCE_S, *streams.EVENTS[2:]
        )
    )


@pytest.mark.parametrize(
    "condition", [_full, _too_late, _suspended, _loading_weights]
)
async def test_a_stream_stays_if_the_other_server_cannot_take_it(
    condition: _Condition,
) -> None:
    """Guards against a sound stream that is lost at an unusable server."""
    first, other = _first(), rawserver.AnswerSequence(streams.reject)
    async with streams.resumed_stream(first, other) as (harness, call):
        condition(harness.state)
        assert await call == (200, streams.WHOLE, True)
    assert not other.request_ids


async def test_a_blocked_request_stays_at_its_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a running stream that is refused as a suspect."""
    first, other = _first(), rawserver.AnswerSequence(streams.reject)
    refusal = outcome.Refusal(outcome.Reason.SUSPECT, "blocked")
    async with streams.resumed_stream(first, other) as (_, call):
        monkeypatch.setattr(
            crashevidence.RequestEvidence, "refusal", lambda *_: refusal
        )
        assert await call == (200, streams.WHOLE, True)


async def test_a_stream_leaves_for_a_server_that_can_take_it() -> None:
    """Guards against a caller that waits for a server that hangs."""
    first = rawserver.AnswerSequence(rawserver.stream(*streams.EVENTS[:2], 60))
    other = rawserver.AnswerSequence(rawserver.stream(*streams.EVENTS[2:]))
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with streams.resumed_stream(first, other) as (_, call):
        assert await call == (200, streams.WHOLE, True)
    assert loop.time() - started_s < streams.SILENCE_S


@pytest.mark.parametrize("reload", [False, True])
async def test_a_cancelled_stream_returns_its_tokens(reload: bool) -> None:
    """Guards against retries that are denied for requests that have ended."""
    first = rawserver.AnswerSequence(rawserver.stream(*streams.EVENTS[:2], 60))
    hanging = rawserver.AnswerSequence(rawserver.stream(60))
    async with streams.resumed_stream(first, hanging) as (harness, call):
        streams.limit_budget(harness, 3.0)
        budget = harness.state.budget(builders.ENGINE_SERVICE)
        await harness.until(lambda: bool(hanging.request_ids))
        assert budget.tokens == 1.0
        if reload:
            harness.state.set_retries(state_lib.RetryPolicy(0.2, 6.0))
            budget = harness.state.budget(builders.ENGINE_SERVICE)
        tokens = budget.tokens
        call.cancel()
        await harness.until(lambda: not harness.gateway.active)
        # One was used by the attempt at the other server.
        assert budget.tokens == tokens + (0 if reload else 1)


async def test_a_stream_that_was_silent_and_broke_counts_once() -> None:
    """Guards against one lost stream that suspends its server."""
    broken = rawserver.AnswerSequence(
        rawserver.stream(streams.EVENTS[0], streams.SILENCE_S, end="close")
    )
    async with streams.silent_servers(broken) as harness:
        answer = await streams.receive(harness, "/question/1")
        assert answer == (200, streams.EVENTS[0], False)
        assert harness.state.health.is_up("i-1")
        assert harness.state.health.failure_rate("i-1") > 0


async def test_a_stream_that_leaves_after_its_last_event_is_whole() -> None:
    """Guards against a whole stream that is cut since nothing is left of it."""
    sequence = rawserver.AnswerSequence(
        rawserver.stream(*streams.EVENTS, streams.SILENCE_S), rawserver.stream()
    )
    async with streams.silent_servers(sequence, sequence) as harness:
        answer = await streams.receive(harness, "/dossier/1")
    assert answer == (200, streams.WHOLE, True)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (
            rawserver.stream(*streams.EVENTS, streams.SILENCE_S),
            rawserver.stream(framing="close", end="close"),
        ),
        (
            rawserver.stream(*streams.EVENTS, streams.SILENCE_S),
            rawserver.stream(end="close"),
        ),
        (
            rawserver.stream(*streams.EVENTS[:2], end="reset"),
            rawserver.stream(),
        ),
    ],
    ids=["closed_at_once", "without_end", "broken_off"],
)
async def test_a_rest_that_may_be_lost_is_not_complete(
    first: rawserver.Answer, second: rawserver.Answer
) -> None:
    """Guards against a lost rest of a stream that looks like its end."""
    sequence = rawserver.AnswerSequence(first, second)
    async with streams.silent_servers(sequence, sequence) as harness:
        status, _, complete = await streams.receive(harness, "/dossier/1")
    assert (status, complete) == (200, False)
