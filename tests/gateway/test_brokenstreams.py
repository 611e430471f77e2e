"""Tests of streams that break off, and of what the next server answers."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from tests.builders import gateway as builders
from tests.builders import rawserver

_QUESTION = builders.operator_route(
    "question",
    "/question/",
    kind="streaming",
    service=builders.ENGINE_SERVICE,
    attempts=3,
    resumable=False,
)
_DOSSIER = {**_QUESTION, "name": "dossier", "path_prefix": "/dossier/"} | {
    "resumable": True
}
_LOOKUP = builders.operator_route(
    "lookup", "/lookup/", service=builders.ENGINE_SERVICE, attempts=3
)
_PATHS = ["/question/1", "/dossier/1", "/lookup/1"]
_EVENTS = [f"id: {number}\ndata: x\n\n".encode() for number in range(1, 5)]
_WHOLE = b"".join(_EVENTS)
# Comments that keep a connection open are relayed.
_COMMENT = b": \n\n"


def _stream_head(request_id: str, framing: str) -> bytes:
    fields = {"Content_Type": "text/event-stream"}
    if framing == "chunked":
        fields["Transfer_Encoding"] = "chunked"
    return rawserver.response_bytes(request_id, b"", framing="", **fields)


def _framed(data: bytes, framing: str) -> bytes:
    if framing != "chunked":
        return data
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _stream(
    *pieces: bytes, framing: str = "chunked", end: str = "complete"
) -> rawserver.Answer:
    """Returns a stream that ends as `complete`, `close` or `reset`."""

    async def answer(
        connection: rawserver.RawConnection, request_id: str
    ) -> None:
        await connection.send(_stream_head(request_id, framing))
        for piece in pieces:
            await connection.send(_framed(piece, framing))
        if end == "reset":
            await connection.reset()
        elif end == "complete" and framing == "chunked":
            await connection.send(b"0\r\n\r\n")
        else:
            connection.close()

    return answer


def _response(body: bytes, status: str, **fields: str) -> rawserver.Answer:
    async def answer(
        connection: rawserver.RawConnection, request_id: str
    ) -> None:
        await connection.send(
            rawserver.response_bytes(request_id, body, status=status, **fields)
        )

    return answer


async def _garbage(connection: rawserver.RawConnection, _: str) -> None:
    await connection.send(b"\x00\x01 this is no answer\r\n\r\n")


async def _receive(
    path: str, *answers: rawserver.Answer, **headers: str
) -> tuple[int, bytes, bool, list[str]]:
    """Returns what a caller received and the requests that servers got."""
    sequence = rawserver.AnswerSequence(*answers)
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(
            builders.gateway_harness(routes=[_QUESTION, _DOSSIER, _LOOKUP])
        )
        for server_id in ("i-1", "i-2", "i-3"):
            address = await stack.enter_async_context(
                rawserver.raw_server(sequence.serve)
            )
            await harness.add_address(
                builders.ENGINE_SERVICE, server_id, address
            )
        async with asyncio.timeout(5):
            status, body, complete = await harness.receive(path, **headers)
    return status, body, complete, sequence.request_ids


_SSE = {"Content_Type": "text/event-stream"}
_ERRORS = {
    "500": _response(b"it failed", "500 Failed"),
    "500_stream": _response(b"data: it failed\n\n", "500 Failed", **_SSE),
    "503": _response(b"full", "503 Full", X_Not_Executed="1"),
    "503_unmarked": _response(b"full", "503 Full"),
    "404": _response(b"not there", "404 Missing"),
    "200_plain": _response(b"plain", "200 OK"),
    "200_empty": _response(b"", "200 OK"),
    "204": _response(b"", "204 Nothing"),
    "200_unfinished_event": _response(b"id: 3\nda", "200 OK", **_SSE),
    "200_empty_stream": _response(b"", "200 OK", **_SSE),
    "200_comments": _stream(_COMMENT),
    "closed_at_once": _stream(framing="close"),
    "garbage": _garbage,
}


@pytest.mark.parametrize("further", [False, True])
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("error", sorted(_ERRORS))
async def test_an_error_after_a_broken_stream_is_no_part_of_it(
    error: str, path: str, further: bool
) -> None:
    """Guards against an error's text or head in mid-stream, or as its end."""
    broken = _stream(_EVENTS[0], _EVENTS[1] + b"id: 3\nda", end="close")
    answers = [broken, _ERRORS[error]]
    if further:
        answers.append(_stream(*_EVENTS[2:]))
    status, body, complete, _ = await _receive(path, *answers)
    body = body.replace(_COMMENT, b"")
    assert status == 200
    assert body in (_EVENTS[0] + _EVENTS[1], _WHOLE)
    assert complete == (body == _WHOLE)
    assert complete or not (further and path == "/dossier/1")


@pytest.mark.parametrize("framing", ["chunked", "close"])
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("rest", [b"id", b"id: 3\nda", b"id: 3\ndata: x\n"])
@pytest.mark.parametrize("path", _PATHS)
async def test_a_stream_that_ends_inside_an_event_is_broken_off(
    path: str, rest: bytes, end: str, framing: str
) -> None:
    """Guards against a part of an event that ends a stream as complete."""
    status, body, complete, _ = await _receive(
        path,
        _stream(*_EVENTS[:2], rest, framing=framing, end=end),
        _stream(*_EVENTS[2:], framing=framing),
    )
    assert status == 200
    assert complete == (path == "/dossier/1")
    assert body == (_WHOLE if complete else b"".join(_EVENTS[:2]))


@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("end", ["close", "reset"])
async def test_a_stream_without_framing_ends_with_its_connection(
    path: str, end: str
) -> None:
    """Guards against a reset that is taken for the end of a stream."""
    _, body, complete, request_ids = await _receive(
        path,
        _stream(*_EVENTS, framing="close", end=end),
        _response(b"", "500 Failed"),
    )
    assert body == _WHOLE
    assert complete == (end == "close")
    if complete:
        assert len(request_ids) == 1


@pytest.mark.parametrize("framing", ["chunked", "close"])
@pytest.mark.parametrize("end", ["complete", "close", "reset"])
async def test_a_stream_without_an_event_is_not_complete(
    end: str, framing: str
) -> None:
    """Guards against an empty stream that looks like a whole one."""
    empty = _stream(framing=framing, end=end)
    assert (await _receive("/question/1", empty))[0] == 502
    status, body, complete, _ = await _receive(
        "/dossier/1", empty, _stream(*_EVENTS)
    )
    assert (status, body, complete) == (200, _WHOLE, True)


async def test_a_caller_that_has_all_events_gets_the_end_of_its_stream() -> (
    None
):
    """Guards against rejecting an empty stream that a caller resumes."""
    status, body, complete, request_ids = await _receive(
        "/dossier/1", _stream(), Last_Event_Id="4"
    )
    assert (status, body, complete) == (200, b"", True)
    assert len(request_ids) == 1
