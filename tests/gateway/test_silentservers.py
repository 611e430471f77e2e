"""Tests of servers that are silent in a stream and then go on, over sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import logbook
import pytest

from hibiscusstile.gateway import (
    exchange,
    fleet,
    handover,
    selection,
    serverselection,
)
from hibiscusstile.platform import ingress, servers
from tests.builders import gateway as builders
from tests.builders import gatewayprocess, rawserver

_EVENTS = [f"id: {number}\ndata: x\n\n".encode() for number in range(1, 5)]
_WHOLE = b"".join(_EVENTS)
# More than the kernel buffers between a gateway and its caller.
_LONG_STREAM = [b"id: 1\ndata: " + b"x" * 65_000 + b"\n\n"] * 400
# Longer than callers of a route with a target latency of 0.5 s wait.
_SILENCE_S = 2.3
_TIMEOUT_MS = 8000
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


async def test_a_silent_stream_selects_no_server_while_none_is_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against silent streams that keep the event loop busy."""
    select_server = serverselection.select_server
    selections = 0

    def count_selection(*args: Any) -> selection.SelectedServer | None:
        nonlocal selections
        selections += 1
        return select_server(*args)

    monkeypatch.setattr(serverselection, "select_server", count_selection)
    sequence = rawserver.AnswerSequence(
        rawserver.stream(_EVENTS[0], _SILENCE_S, *_EVENTS[1:])
    )
    async with _servers(sequence) as harness:
        for number in range(2, 20):
            server = builders.backend_server(f"i-{number}")
            harness.state.fleet.put(server)
            harness.state.weights.note_changing(server.server_id, 60)
        answer = await _receive(harness, "/dossier/1")
    assert answer == (200, _WHOLE, True)
    assert selections == 1


async def test_a_stream_that_goes_on_holds_no_token() -> None:
    """Guards against retries denied for tokens that a stream cannot use."""
    first = rawserver.AnswerSequence(rawserver.stream(*_EVENTS[:2], 5.0))
    second = rawserver.AnswerSequence(
        rawserver.stream(_EVENTS[2], 2.0, _EVENTS[3])
    )
    async with (
        _servers(first) as harness,
        rawserver.raw_server(second.serve) as address,
    ):
        _drain_budget(harness, 2.0)
        budget = harness.state.budget(builders.ENGINE_SERVICE)
        answer = asyncio.ensure_future(_receive(harness, "/dossier/1"))
        await harness.until(lambda: bool(first.request_ids))
        await harness.add_address(builders.ENGINE_SERVICE, "i-2", address)
        await harness.until(lambda: bool(second.request_ids))
        await harness.until(lambda: budget.tokens == 1.0, 1.8)
        assert not answer.done()
        assert await answer == (200, _WHOLE, True)
        assert budget.tokens == 1.0


async def test_a_stream_that_nearly_left_has_each_event_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an event that is sent again after a cancelled write."""
    leaving = asyncio.Event()
    try_leave = handover.StreamHandover.try_leave
    read_events = servers._HttpServerResponse.events
    write = ingress._HttpResponseWriter.write

    def note_leave(
        self: handover.StreamHandover, server: fleet.BackendServer
    ) -> bool:
        leaves = try_leave(self, server)
        if leaves:
            leaving.set()
        return leaves

    async def events_at_leave(
        self: servers._HttpServerResponse,
    ) -> AsyncIterator[exchange.StreamEvent]:
        async for event in read_events(self):
            if event.event_id == "2":
                await leaving.wait()
            yield event

    async def write_slowly(
        self: ingress._HttpResponseWriter, data: bytes
    ) -> None:
        await write(self, data)
        await asyncio.sleep(0.05)

    monkeypatch.setattr(handover.StreamHandover, "try_leave", note_leave)
    monkeypatch.setattr(servers._HttpServerResponse, "events", events_at_leave)
    monkeypatch.setattr(ingress._HttpResponseWriter, "write", write_slowly)
    sequence = rawserver.AnswerSequence(rawserver.stream(*_EVENTS))
    async with _servers(sequence, sequence) as harness:
        budget = harness.state.budget(builders.ENGINE_SERVICE)
        tokens = budget.tokens
        answer = await _receive(harness, "/dossier/1")
        assert answer == (200, _WHOLE, True)
        assert budget.tokens == tokens


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


def _open_stream(
    harness: builders.GatewayHarness, timeout_ms: int
) -> aiohttp.client._RequestContextManager:
    """Sends a request whose response the test reads."""
    return harness.session.post(
        f"{harness.url}/question/1",
        headers={
            "Host": builders.HOST,
            "X-Request-Id": "r1",
            "X-Deadline-Ms": str(timeout_ms),
            "Authorization": f"Token {builders.KEY}",
        },
    )


@pytest.mark.parametrize("pause_s", [_SILENCE_S, 5.5])
async def test_a_stream_whose_caller_reads_late_is_whole(
    pause_s: float,
) -> None:
    """Guards against a slow caller that is cut, or whose server is blamed."""
    sequence = rawserver.AnswerSequence(rawserver.stream(*_LONG_STREAM))
    async with _servers(sequence) as harness:
        async with _open_stream(harness, _TIMEOUT_MS) as response:
            await asyncio.sleep(pause_s)
            body = await response.read()
        assert body == b"".join(_LONG_STREAM)
        assert harness.state.health.failure_rate("i-1") == 0


async def test_a_caller_that_never_reads_is_cut_at_its_time_limit() -> None:
    """Guards against a caller that holds its server without end."""
    sequence = rawserver.AnswerSequence(rawserver.stream(*_LONG_STREAM))
    async with (
        _servers(sequence) as harness,
        _open_stream(harness, 800) as response,
    ):
        await harness.until(lambda: harness.gateway.active == 1)
        await harness.until(lambda: harness.gateway.active == 0, 2.0)
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()


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
