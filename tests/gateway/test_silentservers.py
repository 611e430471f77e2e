"""Tests of servers that are silent in a stream and then go on, over sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import logbook
import pytest

from tests.builders import gateway as builders
from tests.builders import gatewayprocess, rawserver

_EVENTS = [f"id: {number}\ndata: x\n\n".encode() for number in range(1, 5)]
_WHOLE = b"".join(_EVENTS)
# Longer than callers of a route with a target latency of 0.5 s wait.
_SILENCE_S = 2.3
_TIMEOUT_MS = 6000
_SILENCES = {
    "before the first event": (_SILENCE_S, *_EVENTS),
    "between two events": (*_EVENTS[:2], _SILENCE_S, *_EVENTS[2:]),
    "before the end": (*_EVENTS, _SILENCE_S),
}


def _route(name: str, **fields: object) -> dict[str, object]:
    return builders.operator_route(
        name,
        f"/{name}/",
        kind="streaming",
        service=builders.ENGINE_SERVICE,
        timeout_ms=_TIMEOUT_MS,
        **fields,
    )


_ROUTES = [
    _route("question", attempts=1, resumable=False),
    _route("dossier", attempts=2, resumable=True),
    _route("once", attempts=1, resumable=True),
]


async def _rejecting(
    connection: rawserver.RawConnection, request_id: str
) -> None:
    await connection.send(
        rawserver.response_bytes(
            request_id, b"full", status="503 Full", X_Not_Executed="1"
        )
    )


@contextlib.asynccontextmanager
async def _servers(
    *sequences: rawserver.AnswerSequence,
) -> AsyncIterator[builders.GatewayHarness]:
    """Runs a gateway with one server for each sequence of answers."""
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(
            builders.gateway_harness(routes=_ROUTES)
        )
        for number, sequence in enumerate(sequences, start=1):
            address = await stack.enter_async_context(
                rawserver.raw_server(sequence.serve)
            )
            await harness.add_address(
                builders.ENGINE_SERVICE, f"i-{number}", address
            )
        yield harness


def _drain_budget(harness: builders.GatewayHarness, left: float) -> None:
    budget = harness.state.budget(builders.ENGINE_SERVICE)
    budget.resize(left)


async def _receive(
    harness: builders.GatewayHarness, path: str, request_id: str = "r1"
) -> tuple[int, bytes, bool]:
    return await harness.receive(
        path, request_id, X_Deadline_Ms=str(_TIMEOUT_MS)
    )


@pytest.mark.parametrize(
    ("path", "servers", "tokens"),
    [
        ("/question/1", 2, 60.0),
        ("/dossier/1", 1, 60.0),
        ("/once/1", 2, 60.0),
        ("/dossier/1", 2, 0.0),
        ("/dossier/1", 2, 1.0),
    ],
    ids=["not_resumable", "one_server", "one_attempt", "no_budget", "one_left"],
)
async def test_a_silent_server_may_finish_its_stream(
    path: str, servers: int, tokens: float
) -> None:
    """Guards against a sound answer that is cut since its server is silent."""
    sequences = [
        rawserver.AnswerSequence(rawserver.stream(*steps))
        for steps in _SILENCES.values()
    ]

    async def receive(sequence: rawserver.AnswerSequence) -> list[object]:
        async with _servers(*[sequence] * servers) as harness:
            _drain_budget(harness, tokens)
            status, body, complete = await _receive(harness, path)
            return [status, body, complete, len(sequence.request_ids)]

    answers = await asyncio.gather(*map(receive, sequences))
    assert answers == [[200, _WHOLE, True, 1]] * len(sequences)


async def test_a_stream_goes_back_if_no_other_server_takes_it() -> None:
    """Guards against a silent server that is given up for one that is full."""
    first = rawserver.AnswerSequence(
        rawserver.stream(*_EVENTS[:2], _SILENCE_S, *_EVENTS[2:]),
        rawserver.stream(*_EVENTS[2:]),
    )
    full = rawserver.AnswerSequence(_rejecting)
    async with _servers(first, full) as harness:
        _drain_budget(harness, 2.0)
        # Suspended for 0.5 s, so that the first attempt is at the other server.
        harness.state.health.note_unreachable(
            harness.state.fleet.get("i-2")  # type: ignore[arg-type]
        )
        answer = await _receive(harness, "/dossier/1")
    assert answer == (200, _WHOLE, True)
    assert (len(first.request_ids), len(full.request_ids)) == (2, 1)


async def test_a_stream_that_leaves_after_its_last_event_is_whole() -> None:
    """Guards against a whole stream that is cut since nothing is left of it."""
    sequence = rawserver.AnswerSequence(
        rawserver.stream(*_EVENTS, _SILENCE_S), rawserver.stream()
    )
    async with _servers(sequence, sequence) as harness:
        answer = await _receive(harness, "/dossier/1")
    assert answer == (200, _WHOLE, True)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (
            rawserver.stream(*_EVENTS, _SILENCE_S),
            rawserver.stream(framing="close", end="close"),
        ),
        (
            rawserver.stream(*_EVENTS, _SILENCE_S),
            rawserver.stream(end="close"),
        ),
        (rawserver.stream(*_EVENTS[:2], end="reset"), rawserver.stream()),
    ],
    ids=["closed_at_once", "without_end", "broken_off"],
)
async def test_a_rest_that_may_be_lost_is_not_complete(
    first: rawserver.Answer, second: rawserver.Answer
) -> None:
    """Guards against a lost rest of a stream that looks like its end."""
    sequence = rawserver.AnswerSequence(first, second)
    async with _servers(sequence, sequence) as harness:
        status, _, complete = await _receive(harness, "/dossier/1")
    assert (status, complete) == (200, False)


async def test_a_silent_server_gets_fewer_requests_while_its_streams_last() -> (
    None
):
    """Guards against a silent server that no other request avoids."""
    silent = rawserver.AnswerSequence(rawserver.stream(_EVENTS[0], _SILENCE_S))
    sound = rawserver.AnswerSequence(rawserver.stream(*_EVENTS))
    async with _servers(silent) as harness:
        streams = [
            asyncio.ensure_future(_receive(harness, "/question/1", f"s{each}"))
            for each in range(2)
        ]
        await harness.until(lambda: not harness.state.health.is_up("i-1"))
        assert not any(stream.done() for stream in streams)
        async with rawserver.raw_server(sound.serve) as address:
            await harness.add_address(builders.ENGINE_SERVICE, "i-2", address)
            for number in range(10):
                await _receive(harness, "/question/1", f"r{number}")
        assert len(sound.request_ids) == 10
        await asyncio.gather(*streams)


async def test_a_stream_whose_caller_reads_late_is_whole() -> None:
    """Guards against a slow caller for which its server is blamed."""
    piece = b"id: 1\ndata: " + b"x" * 65_000 + b"\n\n"
    count = 400
    sequence = rawserver.AnswerSequence(rawserver.stream(*[piece] * count))
    async with _servers(sequence) as harness:
        url = f"{harness.url}/question/1"
        headers = {
            "Host": builders.HOST,
            "X-Request-Id": "r1",
            "X-Deadline-Ms": str(_TIMEOUT_MS),
            "Authorization": f"Token {builders.KEY}",
        }
        async with harness.session.post(url, headers=headers) as response:
            await asyncio.sleep(_SILENCE_S)
            body = await response.read()
        assert len(body) == count * len(piece)
        assert harness.state.health.failure_rate("i-1") == 0


async def test_the_log_tells_when_a_server_was_silent() -> None:
    """Guards against silent servers that the log does not show."""
    sequence = rawserver.AnswerSequence(
        rawserver.stream(_EVENTS[0], 1.3, _EVENTS[1])
    )
    with logbook.TestHandler().applicationbound() as log:
        async with _servers(sequence) as harness:
            await _receive(harness, "/question/1")
    silences = {
        record.message: record.extra["silent_s"]
        for record in log.records
        if record.message.startswith("server_silen")
    }
    assert 1.0 <= silences["server_silent"] < 1.25
    assert silences["server_silence_ended"] >= 1.25


async def _signal_in_series(gateway: gatewayprocess.GatewayProcess) -> None:
    """Reloads and stops a gateway several times while it stops."""
    assert gateway.process is not None
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        gateway.process.send_signal(number)
        await gateway.publish(gateway.store, 3)
        await asyncio.sleep(0.2)
    gateway.process.send_signal(signal.SIGTERM)


async def _signal_once(gateway: gatewayprocess.GatewayProcess) -> None:
    assert gateway.process is not None
    gateway.process.send_signal(signal.SIGTERM)


@pytest.mark.parametrize("stop", [_signal_once, _signal_in_series])
async def test_a_stop_cuts_no_stream_of_a_silent_server(
    stop: Callable[[gatewayprocess.GatewayProcess], Awaitable[None]],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against accepted streams that are cut around a stop."""
    async with (
        gatewayprocess.gateway_process(tmp_path, {"grace_s": 8}) as gateway,
        aiohttp.ClientSession() as session,
    ):
        record = builders.configuration_record(2, routes=_ROUTES)
        await gateway.store.put(
            "keyed.op", "config", json.dumps(record).encode()
        )
        await gateway.wait_status(session, 200, 10)
        # Until the second configuration is in force.
        await asyncio.sleep(0.5)
        gateway.engine.misbehave_always("pause")

        async def receive(path: str) -> bytes:
            url = gateway.url.replace("/dossier/1", path)
            headers = {**gatewayprocess.HEADERS, "X-Request-Id": path}
            async with session.post(url, headers=headers) as response:
                return await response.read()

        streams = [
            asyncio.ensure_future(receive(path))
            for path in ("/question/1", "/dossier/1", "/once/1")
        ]
        while len(gateway.engine.arrivals) < len(streams):  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        await stop(gateway)
        bodies = await asyncio.gather(*streams)
    assert [body.count(b"id:") for body in bodies] == [4] * len(streams)
