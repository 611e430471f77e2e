"""Tests of servers that are silent in a stream, over sockets."""

from __future__ import annotations

import asyncio
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
from hibiscusstile.platform import callerresponses, servers
from tests.builders import gateway as builders
from tests.builders import gatewayprocess, rawserver, streams

# More than the kernel buffers between a gateway and its caller.
_LONG_STREAM = [b"id: 1\ndata: " + b"x" * 65_000 + b"\n\n"] * 400
_SILENCES = {
    "before the first event": (streams.SILENCE_S, *streams.EVENTS),
    "between two events": (
        *streams.EVENTS[:2],
        streams.SILENCE_S,
        *streams.EVENTS[2:],
    ),
    "before the end": (*streams.EVENTS, streams.SILENCE_S),
}


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
        async with streams.silent_servers(*[sequence] * servers) as harness:
            streams.limit_budget(harness, tokens)
            status, body, complete = await streams.receive(harness, path)
            return [status, body, complete, len(sequence.request_ids)]

    answers = await asyncio.gather(*map(receive, sequences))
    assert answers == [[200, streams.WHOLE, True, 1]] * len(sequences)


@pytest.mark.parametrize("rejecting", [1, 2, 7])
async def test_a_stream_goes_back_if_no_other_server_takes_it(
    rejecting: int,
) -> None:
    """Guards against a silent server that is given up for full ones."""
    first = rawserver.AnswerSequence(
        rawserver.stream(
            *streams.EVENTS[:2], streams.SILENCE_S, *streams.EVENTS[2:]
        ),
        rawserver.stream(*streams.EVENTS[2:]),
    )
    full = rawserver.AnswerSequence(streams.reject)
    async with streams.resumed_stream(first, *[full] * rejecting) as (
        harness,
        call,
    ):
        streams.limit_budget(harness, 2.0)
        answer = await call
    assert answer == (200, streams.WHOLE, True)
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
        rawserver.stream(
            streams.EVENTS[0], streams.SILENCE_S, *streams.EVENTS[1:]
        )
    )
    async with streams.silent_servers(sequence) as harness:
        for number in range(2, 20):
            server = builders.backend_server(f"i-{number}")
            harness.state.fleet.put(server)
            harness.state.weights.note_changing(server.server_id, 60)
        answer = await streams.receive(harness, "/dossier/1")
    assert answer == (200, streams.WHOLE, True)
    assert selections == 1


async def test_a_stream_that_goes_on_holds_no_token() -> None:
    """Guards against retries denied for tokens that a stream cannot use."""
    first = rawserver.AnswerSequence(rawserver.stream(*streams.EVENTS[:2], 5.0))
    second = rawserver.AnswerSequence(
        rawserver.stream(streams.EVENTS[2], 2.0, streams.EVENTS[3])
    )
    async with (
        streams.silent_servers(first) as harness,
        rawserver.raw_server(second.serve) as address,
    ):
        streams.limit_budget(harness, 2.0)
        budget = harness.state.budget(builders.ENGINE_SERVICE)
        answer = asyncio.ensure_future(streams.receive(harness, "/dossier/1"))
        await harness.until(lambda: bool(first.request_ids))
        await harness.add_address(builders.ENGINE_SERVICE, "i-2", address)
        await harness.until(lambda: bool(second.request_ids))
        await harness.until(lambda: budget.tokens == 1.0, 1.8)
        assert not answer.done()
        assert await answer == (200, streams.WHOLE, True)
        assert budget.tokens == 1.0


async def test_a_stream_that_nearly_left_has_each_event_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an event that is sent again after a cancelled write."""
    leaving = asyncio.Event()
    try_leave = handover.StreamHandover.try_leave
    read_events = servers._HttpServerResponse.events
    write = callerresponses.HttpResponseWriter.write

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
        self: callerresponses.HttpResponseWriter, data: bytes
    ) -> None:
        await write(self, data)
        await asyncio.sleep(0.05)

    monkeypatch.setattr(handover.StreamHandover, "try_leave", note_leave)
    monkeypatch.setattr(servers._HttpServerResponse, "events", events_at_leave)
    monkeypatch.setattr(
        callerresponses.HttpResponseWriter, "write", write_slowly
    )
    sequence = rawserver.AnswerSequence(rawserver.stream(*streams.EVENTS))
    async with streams.silent_servers(sequence, sequence) as harness:
        budget = harness.state.budget(builders.ENGINE_SERVICE)
        tokens = budget.tokens
        answer = await streams.receive(harness, "/dossier/1")
        assert answer == (200, streams.WHOLE, True)
        assert budget.tokens == tokens


async def test_a_silent_server_gets_fewer_requests_while_its_streams_last() -> (
    None
):
    """Guards against a silent server that no other request avoids."""
    silent = rawserver.AnswerSequence(
        rawserver.stream(streams.EVENTS[0], streams.SILENCE_S)
    )
    sound = rawserver.AnswerSequence(rawserver.stream(*streams.EVENTS))
    async with streams.silent_servers(silent) as harness:
        calls = [
            asyncio.ensure_future(
                streams.receive(harness, "/question/1", f"s{each}")
            )
            for each in range(2)
        ]
        await harness.until(lambda: not harness.state.health.is_up("i-1"))
        assert not any(call.done() for call in calls)
        async with rawserver.raw_server(sound.serve) as address:
            await harness.add_address(builders.ENGINE_SERVICE, "i-2", address)
            for number in range(10):
                await streams.receive(harness, "/question/1", f"r{number}")
        assert len(sound.request_ids) == 10
        await asyncio.gather(*calls)


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


@pytest.mark.parametrize("pause_s", [streams.SILENCE_S, 5.5])
async def test_a_stream_whose_caller_reads_late_is_whole(
    pause_s: float,
) -> None:
    """Guards against a slow caller that is cut, or whose server is blamed."""
    sequence = rawserver.AnswerSequence(rawserver.stream(*_LONG_STREAM))
    async with streams.silent_servers(sequence) as harness:
        async with _open_stream(harness, streams.TIMEOUT_MS) as response:
            await asyncio.sleep(pause_s)
            body = await response.read()
        assert body == b"".join(_LONG_STREAM)
        assert harness.state.health.failure_rate("i-1") == 0


async def test_a_caller_that_never_reads_is_cut_at_its_time_limit() -> None:
    """Guards against a caller that holds its server without end."""
    sequence = rawserver.AnswerSequence(rawserver.stream(*_LONG_STREAM))
    async with (
        streams.silent_servers(sequence) as harness,
        _open_stream(harness, 800) as response,
    ):
        await harness.until(lambda: harness.gateway.active == 1)
        await harness.until(lambda: harness.gateway.active == 0, 2.0)
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()


async def test_the_log_tells_when_a_server_was_silent() -> None:
    """Guards against silent servers that the log does not show."""
    sequence = rawserver.AnswerSequence(
        rawserver.stream(
            streams.EVENTS[0], streams.SILENCE_S, streams.EVENTS[1]
        )
    )
    with logbook.TestHandler().applicationbound() as log:
        async with streams.silent_servers(sequence) as harness:
            await streams.receive(harness, "/question/1")
    silences = {
        record.message: record.extra["silent_s"]
        for record in log.records
        if record.message.startswith("server_silen")
    }
    assert 1.8 <= silences["server_silent"] < streams.SILENCE_S
    assert silences["server_silence_ended"] >= streams.SILENCE_S - 0.05


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
    """Guards against accepted calls that are cut around a stop."""
    async with (
        gatewayprocess.gateway_process(tmp_path, {"grace_s": 8}) as gateway,
        aiohttp.ClientSession() as session,
    ):
        record = builders.configuration_record(2, routes=streams.ROUTES)
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

        calls = [
            asyncio.ensure_future(receive(path))
            for path in ("/question/1", "/dossier/1", "/once/1")
        ]
        while len(gateway.engine.arrivals) < len(calls):  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        await stop(gateway)
        bodies = await asyncio.gather(*calls)
    assert [body.count(b"id:") for body in bodies] == [4] * len(calls)
