"""Tests of responses that a server cuts, from the status line to the end."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from tests.builders import gateway as builders
from tests.builders import rawserver

_PATHS = ["/payment/1", "/lookup/1", "/question/1", "/dossier/1"]
_PLAIN_PATHS = ["/payment/1", "/lookup/1"]
_SERVICES = (builders.PLAIN_SERVICE, builders.ENGINE_SERVICE)
_ID = "X-Request-Id: r1\r\n"
_STAMP = "X-Response-Stamp: s\r\n"
_TYPE = "Content-Type: text/event-stream\r\n"
_BODY = b"id: 1\ndata: x\n\n"
_INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
_HEADS = {
    "status_line": "HTTP/1.1 200 OK",
    "after_status_line": "HTTP/1.1 200 OK\r\n",
    "in_name": f"HTTP/1.1 200 OK\r\n{_ID}{_STAMP}Content-",
    "in_value": f"HTTP/1.1 200 OK\r\n{_ID}{_STAMP}Content-Length: 1",
    "in_line_end": f"HTTP/1.1 200 OK\r\n{_ID}{_STAMP}\r",
    "before_blank_line": f"HTTP/1.1 200 OK\r\n{_ID}{_STAMP}",
    "before_blank_line_with_type": f"HTTP/1.1 200 OK\r\n{_ID}{_STAMP}{_TYPE}",
    "before_blank_line_with_length": (
        f"HTTP/1.1 200 OK\r\n{_ID}{_STAMP}Content-Length: 0\r\n"
    ),
    "in_interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n",
    "after_interim": _INTERIM,
    "after_interim_in_head": f"{_INTERIM}HTTP/1.1 200 OK\r\n{_ID}{_STAMP}",
    "refusal": f"HTTP/1.1 503 Full\r\n{_ID}X-Not-Executed: 1\r\n",
    "misdirected": f"HTTP/1.1 421 Other\r\n{_ID}X-Instance-Id: i-9\r\n",
    "nothing": "",
}
# More than the gateway holds before it relays a body.
_LONG = b"y" * 5_000_000
_BODIES = {
    "short_of_length": rawserver.response_bytes("r1", _BODY)[:-1],
    "no_body_of_length": rawserver.response_bytes("r1", _BODY)[: -len(_BODY)],
    "in_chunk": rawserver.response_bytes("r1", _BODY, framing="chunked")[:-9],
    "before_final_chunk": rawserver.response_bytes(
        "r1", _BODY, framing="chunked"
    )[:-5],
    "in_final_chunk": rawserver.response_bytes("r1", _BODY, framing="chunked")[
        :-2
    ],
    "no_chunk": rawserver.response_bytes("r1", b"", framing="chunked")[:-10],
    "long_short_of_length": rawserver.response_bytes("r1", _LONG)[:-1],
    "long_before_final_chunk": rawserver.response_bytes(
        "r1", _LONG, framing="chunked"
    )[:-5],
}


async def _receive(
    path: str, data: bytes, end: str
) -> tuple[int, bytes, bool, int]:
    """Returns what a caller received, and the number of runs.

    All servers send `data` and then close or reset the connection.
    """

    async def answer(connection: rawserver.RawConnection, _: str) -> None:
        await connection.send(data)
        if end == "reset":
            await connection.reset()
        else:
            connection.close()

    sequence = rawserver.AnswerSequence(answer)
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(builders.gateway_harness())
        for number, service in enumerate(_SERVICES * 2, 1):
            address = await stack.enter_async_context(
                rawserver.raw_server(sequence.serve)
            )
            await harness.add_address(service, f"i-{number}", address)
        async with asyncio.timeout(5):
            status, body, complete = await harness.receive(path)
    return status, body, complete, len(sequence.request_ids)


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("head", sorted(_HEADS))
async def test_a_head_that_is_cut_is_no_response(
    head: str, path: str, end: str
) -> None:
    """Guards against an incomplete head that is taken for a whole response."""
    status, _, complete, runs = await _receive(path, _HEADS[head].encode(), end)
    assert (status, complete) == (502, True)
    assert runs == (2 if path in ("/lookup/1", "/dossier/1") else 1)


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize(
    "body", sorted(body for body in _BODIES if not body.startswith("long"))
)
async def test_a_body_that_is_cut_is_not_complete(
    body: str, path: str, end: str
) -> None:
    """Guards against a short body that is framed as a whole one."""
    status, _, complete, _ = await _receive(path, _BODIES[body], end)
    assert (status, complete) == (502, True)


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize(
    "body", sorted(body for body in _BODIES if body.startswith("long"))
)
async def test_a_long_body_that_is_cut_is_cut_for_the_caller(
    body: str, path: str, end: str
) -> None:
    """Guards against a proper end of a body that is relayed as it arrives."""
    status, received, complete, _ = await _receive(path, _BODIES[body], end)
    assert (status, complete) == (200, False)
    assert _LONG.startswith(received)


@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("status", ["101 Switching", "099 Odd", "600 Odd"])
async def test_a_status_that_ends_no_request_is_not_relayed(
    status: str, path: str
) -> None:
    """Guards against a caller whose connection switches to no protocol."""
    response = rawserver.response_bytes("r1", b"", status=status)
    received, _, complete, _ = await _receive(path, response, "close")
    assert (received, complete) == (502, True)


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("path", _PLAIN_PATHS)
@pytest.mark.parametrize(
    "data", [b"", _BODY, _LONG], ids=["empty", "short", "long"]
)
async def test_a_body_without_framing_ends_with_its_connection(
    data: bytes, path: str, end: str
) -> None:
    """Guards against a reset that is taken for the end of a body."""
    response = rawserver.response_bytes("r1", data, framing="close")
    status, received, complete, _ = await _receive(path, response, end)
    if end == "close":
        assert (status, received, complete) == (200, data, True)
    elif data is _LONG:
        assert (status, complete) == (200, False)
    else:
        assert (status, complete) == (502, True)
