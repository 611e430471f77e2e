"""Tests that the log line of a request's end tells why it failed."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import logbook
import pytest

from hibiscusstile.platform import serverentries
from tests.builders import gateway as builders
from tests.builders import rawserver

_EVENTS = [f"id: {number}\ndata: x\n\n".encode() for number in (1, 2)]
_FOREIGN = b"HTTP/1.1 503 Full\r\n\r\n"
_SERVER_IDS = ("i-1", "i-2")
_STREAMING = {"kind": "streaming", "service": builders.ENGINE_SERVICE}
_QUESTION = builders.operator_route(
    "question", "/question/", timeout_ms=1000, attempts=1, **_STREAMING
)
_DOSSIER = builders.operator_route(
    "dossier", "/dossier/", resumable=True, **_STREAMING
)


async def _end_of_request(
    path: str, *answers: rawserver.Answer, unlist: bool = False
) -> dict[str, Any]:
    """Returns the fields of the line that tells of the request's end."""
    sequence = rawserver.AnswerSequence(*answers)
    async with contextlib.AsyncExitStack() as stack:
        log = stack.enter_context(logbook.TestHandler().applicationbound())
        harness = await stack.enter_async_context(
            builders.gateway_harness(routes=[_QUESTION, _DOSSIER])
        )
        address = await stack.enter_async_context(
            rawserver.raw_server(sequence.serve)
        )
        for server_id in _SERVER_IDS:
            await harness.add_address(
                builders.ENGINE_SERVICE, server_id, address
            )
        call = asyncio.ensure_future(harness.receive(path))
        if unlist:
            await harness.until(lambda: bool(sequence.request_ids))
            for server_id in _SERVER_IDS:
                await harness.store.put(
                    serverentries.SERVER_TOPIC, server_id, b""
                )
        await call
        ends = [
            record.extra
            for record in log.records
            if record.message == "request_ended"
        ]
    assert len(ends) == 1
    fields: dict[str, Any] = ends[0]
    return fields


_FAILURES = {
    "silent": (
        "/question/1",
        (rawserver.stream(_EVENTS[0], 1.5, _EVENTS[1]),),
        {"result": "timed_out", "cause": None, "events": 1},
    ),
    "broken": (
        "/question/1",
        (rawserver.stream(_EVENTS[0], end="close"),),
        {"result": "backend_failed", "cause": "lost", "events": 1},
    ),
    "refused body": (
        "/question/1",
        (rawserver.stream(_EVENTS[0], _FOREIGN),),
        {"result": "backend_failed", "cause": "invalid", "events": 1},
    ),
    "event out of order": (
        "/dossier/1",
        (
            rawserver.stream(*_EVENTS, end="close"),
            rawserver.stream(_EVENTS[0]),
        ),
        {"result": "backend_failed", "cause": "invalid", "events": 2},
    ),
}


@pytest.mark.parametrize("failure", sorted(_FAILURES))
async def test_the_end_of_a_request_tells_how_its_server_failed(
    failure: str,
) -> None:
    """Guards against failures that the log cannot tell apart."""
    path, answers, expected = _FAILURES[failure]
    fields = await _end_of_request(path, *answers)
    assert expected.items() <= fields.items()
    assert (fields["silent_s"] > 0.5) == (failure == "silent")
    assert (fields["time_left_s"] <= 0) == (failure == "silent")
    assert fields["server"] in _SERVER_IDS
    assert fields["server_state"] == "listed"
    assert not fields["in_stop"]


async def test_the_end_of_a_request_tells_that_its_server_was_unlisted() -> (
    None
):
    """Guards against a removed server that the log shows as a broken one."""
    fields = await _end_of_request(
        "/question/1",
        rawserver.stream(_EVENTS[0], 0.6, end="close"),
        unlist=True,
    )
    assert fields["server_state"] == "unlisted"
