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
    "200_comments": rawserver.stream(_COMMENT),
    "closed_at_once": rawserver.stream(framing="close"),
    "200_error_as_stream": _response(b'{"error": "x"}\n\n', "200 OK", **_SSE),
    "200_error_event": _response(b"data: failed\n\n", "200 OK", **_SSE),
    "200_from_the_start": rawserver.stream(*_EVENTS),
    "garbage": _garbage,
}


@pytest.mark.parametrize("further", [False, True])
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("error", sorted(_ERRORS))
async def test_an_error_after_a_broken_stream_is_no_part_of_it(
    error: str, path: str, further: bool
) -> None:
    """Guards against an error's text or head in mid-stream, or as its end."""
    broken = rawserver.stream(
        _EVENTS[0], _EVENTS[1] + b"id: 3\nda", end="close"
    )
    answers = [broken, _ERRORS[error]]
    if further:
        answers.append(rawserver.stream(*_EVENTS[2:]))
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
        rawserver.stream(*_EVENTS[:2], rest, framing=framing, end=end),
        rawserver.stream(*_EVENTS[2:], framing=framing),
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
        rawserver.stream(*_EVENTS, framing="close", end=end),
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
    empty = rawserver.stream(framing=framing, end=end)
    assert (await _receive("/question/1", empty))[0] == 502
    status, body, complete, _ = await _receive(
        "/dossier/1", empty, rawserver.stream(*_EVENTS)
    )
    assert (status, body, complete) == (200, _WHOLE, True)


async def test_a_caller_that_has_all_events_gets_the_end_of_its_stream() -> (
    None
):
    """Guards against rejecting an empty stream that a caller resumes."""
    status, body, complete, request_ids = await _receive(
        "/dossier/1", rawserver.stream(), Last_Event_Id="4"
    )
    assert (status, body, complete) == (200, b"", True)
    assert len(request_ids) == 1


@pytest.mark.parametrize("copy_id", ["r0", "r1", None])
@pytest.mark.parametrize("cut", ["", "id: 2", "id: 2\nda"])
@pytest.mark.parametrize("rest", [_EVENTS[1:], []])
@pytest.mark.parametrize("framing", ["chunked", "close", "raw"])
@pytest.mark.parametrize("path", ["/question/1", "/dossier/1"])
async def test_a_response_inside_a_stream_is_no_part_of_it(
    path: str, framing: str, rest: list[bytes], cut: str, copy_id: str | None
) -> None:
    """Guards against a late refusal whose head becomes an event of a stream.

    `raw` bytes are written between the chunks of a stream.
    """
    refusal = rawserver.response_bytes(
        copy_id, b"full", status="503 Full", X_Not_Executed="1"
    )

    async def answer(
        connection: rawserver.RawConnection, request_id: str
    ) -> None:
        chunked = "chunked" if framing != "close" else framing
        await connection.send(rawserver.stream_head(request_id, chunked))
        await connection.send(
            rawserver.framed(_EVENTS[0] + cut.encode(), chunked)
        )
        await asyncio.sleep(0.02)
        await connection.send(
            refusal if framing == "raw" else rawserver.framed(refusal, framing)
        )
        for event in rest:
            await connection.send(rawserver.framed(event, chunked))
        await connection.send(b"0\r\n\r\n" if chunked == "chunked" else b"")
        connection.close()

    status, body, complete, request_ids = await _receive(
        path, answer, rawserver.stream(*_EVENTS[1:])
    )
    assert status == 200
    assert complete == (path == "/dossier/1")
    assert body == (_WHOLE if complete else _EVENTS[0])
    assert len(request_ids) == (2 if complete else 1)


@pytest.mark.parametrize("copy_id", ["r0", "r1", None])
@pytest.mark.parametrize("end", ["", "HTTP/1.1 103 Early Hints\r\n\r\n"])
@pytest.mark.parametrize("delay_s", [0, 0.02])
async def test_a_response_after_a_stream_changes_nothing(
    delay_s: float, end: str, copy_id: str | None
) -> None:
    """Guards against a late refusal that spoils the stream before it."""
    refusal = rawserver.response_bytes(
        copy_id, b"full", status="503 Full", X_Not_Executed="1"
    )

    async def answer(
        connection: rawserver.RawConnection, request_id: str
    ) -> None:
        stream = rawserver.stream_head(request_id, "chunked")
        stream += rawserver.framed(_WHOLE, "chunked") + b"0\r\n\r\n"
        if not delay_s:
            await connection.send(stream + end.encode() + refusal)
            return
        await connection.send(stream)
        await asyncio.sleep(delay_s)
        await connection.send(end.encode() + refusal)

    assert await _receive("/question/1", answer) == (200, _WHOLE, True, ["r1"])
