"""Tests of responses that arrive late on a connection in use again."""

from __future__ import annotations

import asyncio

import pytest

from hibiscusstile import outcome
from hibiscusstile.gateway import exchange, fleet, heldbodies
from hibiscusstile.platform import servers
from tests.builders import gateway as builders
from tests.builders import rawserver

_COPY_BODY = b"of the first"


def _server(address: str) -> fleet.BackendServer:
    return fleet.BackendServer("i-1", "accounts", address, "z1", slots=1)


async def _send(
    client: servers.HttpServerClient, address: str, request_id: str
) -> bytes:
    """Sends a request and returns the body of its response.

    Raises:
        AttemptFailed: There was no usable response.
    """
    request = builders.forwarded_request(
        request_id, headers=(("X-Request-Id", request_id),)
    )
    async with client.send(
        _server(address), request, exchange.SendOptions("", 0, 2.0)
    ) as response:
        with heldbodies.HeldBodies().hold() as allowance:
            held = await response.read_held(allowance)
        return held.data


async def _send_two(script: rawserver.Script) -> list[bytes | str]:
    """Returns the bodies of two requests, or the verdicts of failures."""
    client = servers.HttpServerClient()
    results: list[bytes | str] = []
    try:
        async with rawserver.raw_server(script) as address:
            for request_id in ("first", "second"):
                try:
                    async with asyncio.timeout(5):
                        results.append(await _send(client, address, request_id))
                except exchange.AttemptFailed as failure:
                    results.append(failure.verdict.value)
                await asyncio.sleep(0.05)
    finally:
        await client.close()
    return results


@pytest.mark.parametrize("copy_id", ["first", None])
@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_a_copy_before_the_next_request_reaches_no_caller(
    copy_id: str | None, framing: str
) -> None:
    """Guards against a copy that waits on an idle connection.

    The next request then gets a connection of its own.
    """

    async def script(connection: rawserver.RawConnection) -> None:
        request_id = await connection.read_request()
        body = f"of the {request_id}".encode()
        await connection.send(
            rawserver.response_bytes(request_id, body, framing=framing)
        )
        await asyncio.sleep(0.02)
        await connection.send(
            rawserver.response_bytes(copy_id, _COPY_BODY, framing=framing)
        )
        request_id = await connection.read_request()
        await connection.send(rawserver.response_bytes(request_id, b"stale"))

    assert await _send_two(script) == [b"of the first", b"of the second"]


@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_a_copy_in_one_write_reaches_no_caller(framing: str) -> None:
    """Guards against a copy that is read together with its original."""

    async def script(connection: rawserver.RawConnection) -> None:
        request_id = await connection.read_request()
        body = f"of the {request_id}".encode()
        response = rawserver.response_bytes(request_id, body, framing=framing)
        await connection.send(response * 2)
        await connection.wait_closed()

    assert await _send_two(script) == [b"of the first", b"of the second"]


@pytest.mark.parametrize("status", ["200 OK", "503 Full"])
@pytest.mark.parametrize("start", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
async def test_a_copy_after_the_next_request_reaches_no_caller(
    start: bytes, status: str
) -> None:
    """Guards against a copy with an ID that is taken for the next response."""

    async def script(connection: rawserver.RawConnection) -> None:
        await connection.read_request()
        await connection.send(
            rawserver.response_bytes("first", b"of the first")
        )
        await connection.read_request()
        await connection.send(
            start
            + rawserver.response_bytes(
                "first", _COPY_BODY, status=status, X_Not_Executed="1"
            )
        )
        await connection.send(
            rawserver.response_bytes("second", b"of the second")
        )
        await connection.wait_closed()

    assert await _send_two(script) == [b"of the first", b"of the second"]


@pytest.mark.parametrize("status", ["200 OK", "503 Full", "421 Other"])
async def test_a_copy_without_an_id_answers_no_other_request(
    status: str,
) -> None:
    """Guards against a copy without an ID that is taken for the next response.

    Nothing tells it apart from the response, so the request may have run.
    """
    fields = {} if status.startswith("2") else {"X_Not_Executed": "1"}

    async def script(connection: rawserver.RawConnection) -> None:
        await connection.read_request()
        await connection.send(
            rawserver.response_bytes("first", b"of the first")
        )
        await connection.read_request()
        await connection.send(
            rawserver.response_bytes(None, _COPY_BODY, status=status, **fields)
        )
        await connection.wait_closed()

    assert await _send_two(script) == [
        b"of the first",
        outcome.Verdict.MAY_HAVE_RUN.value,
    ]


async def test_a_first_response_without_an_id_is_accepted() -> None:
    """Guards against rejecting a response that can only be the request's."""

    async def script(connection: rawserver.RawConnection) -> None:
        await connection.read_request()
        await connection.send(
            rawserver.response_bytes(None, b"of either", Connection="close")
        )

    assert await _send_two(script) == [b"of either", b"of either"]


async def test_a_copy_in_a_stream_ends_the_stream() -> None:
    """Guards against a copy in mid-stream that is relayed as an event."""
    events: list[bytes] = []

    async def script(connection: rawserver.RawConnection) -> None:
        await connection.read_request()
        head = rawserver.response_bytes(
            "first", b"", framing="", Transfer_Encoding="chunked"
        )
        event = b"id: 1\ndata: x\n\n"
        chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
        await connection.send(head + chunk)
        await asyncio.sleep(0.02)
        await connection.send(rawserver.response_bytes("first", _COPY_BODY))
        await connection.wait_closed()

    client = servers.HttpServerClient()
    request = builders.forwarded_request(
        "first", headers=(("X-Request-Id", "first"),)
    )
    try:
        async with rawserver.raw_server(script) as address:
            with pytest.raises(exchange.AttemptFailed):
                async with client.send(
                    _server(address), request, exchange.SendOptions("", 0, 2.0)
                ) as response:
                    async for event in response.events():
                        events.append(event.data)
    finally:
        await client.close()
    assert events == [b"id: 1\ndata: x\n\n"]
