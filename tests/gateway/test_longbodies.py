"""Tests of bodies that are longer than what is read or held at once."""

from __future__ import annotations

import asyncio
import random

import pytest

from hibiscusstile.gateway import exchange, fleet, heldbodies
from hibiscusstile.platform import servers
from tests.builders import gateway as builders
from tests.builders import rawserver

_BODY_BYTES = 3_000_000
_HELD_BYTES = 100_000
_PAUSE_EVERY_CHUNKS = 5
_PAUSE_S = 0.005
# Longer than the time after which a dead peer is detected.
_UNREAD_S = 3.0


def _chunked(body: bytes, sizes: random.Random) -> bytes:
    """Encodes a body in chunks of 1 to 200,000 bytes."""
    encoded = bytearray()
    position = 0
    while position < len(body):
        size = sizes.choice((1, 7, 100, 5_000, 70_000, 200_000))
        chunk = body[position : position + size]
        encoded += f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n"
        position += size
    return bytes(encoded) + b"0\r\n\r\n"


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
async def test_a_long_body_reaches_a_slow_caller_unchanged(
    framing: str, seed: int
) -> None:
    """Guards against bytes that are lost while the caller is slower."""
    numbers = random.Random(seed)
    body = numbers.randbytes(_BODY_BYTES)

    async def script(connection: rawserver.RawConnection) -> None:
        await connection.read_request()
        if framing == "chunked":
            head = rawserver.response_bytes(
                "r1", b"", framing="", Transfer_Encoding="chunked"
            )
            await connection.send(head + _chunked(body, numbers))
        else:
            await connection.send(
                rawserver.response_bytes("r1", body, framing=framing)
            )

    client = servers.HttpServerClient()
    request = builders.forwarded_request(
        "r1", headers=(("X-Request-Id", "r1"),)
    )
    try:
        async with (
            rawserver.raw_server(script) as address,
            asyncio.timeout(20),
            client.send(
                fleet.BackendServer("i-1", "accounts", address, "z1", slots=1),
                request,
                exchange.SendOptions("", 0, 20.0),
            ) as response,
        ):
            with heldbodies.HeldBodies(_HELD_BYTES).hold() as allowance:
                held = await response.read_held(allowance)
            assert not held.complete
            received = bytearray(held.data)
            count = 0
            async for chunk in response.chunks():
                received += chunk
                count += 1
                if count % _PAUSE_EVERY_CHUNKS == 0:
                    await asyncio.sleep(_PAUSE_S)
    finally:
        await client.close()
    assert bytes(received) == body


async def test_a_slow_body_of_tiny_chunks_reaches_the_caller() -> None:
    """Guards against taking a slow sound body for endless framing."""
    body = b"0123456789" * 400

    async def script(connection: rawserver.RawConnection) -> None:
        await connection.read_request()
        await connection.send(
            rawserver.response_bytes(
                "r1", b"", framing="", Transfer_Encoding="chunked"
            )
        )
        for position in range(0, len(body), 500):
            chunks = (
                b"1\r\n" + body[each : each + 1] + b"\r\n"
                for each in range(position, position + 500)
            )
            await connection.send(b"".join(chunks))
            await asyncio.sleep(_PAUSE_S)
        await connection.send(b"0\r\n\r\n")

    async with (
        builders.gateway_harness() as harness,
        rawserver.raw_server(script) as address,
    ):
        await harness.add_address(builders.PLAIN_SERVICE, "i-1", address)
        status, received, complete = await harness.receive("/payment/1")
    assert (status, received, complete) == (200, body, True)


@pytest.mark.parametrize("path", ["/payment/1", "/lookup/1"])
async def test_a_server_may_read_a_long_body_late(path: str) -> None:
    """Guards against a sound server that is cut while it does not read."""

    async def script(connection: rawserver.RawConnection) -> None:
        await asyncio.sleep(_UNREAD_S)
        request_id = await connection.read_request()
        await connection.send(rawserver.response_bytes(request_id, b"done"))

    limits = builders.configuration_record()["limits"]
    limits["max_body_bytes"] = _BODY_BYTES
    routes = [
        builders.operator_route(name, f"/{name}/", kind=kind, timeout_ms=8000)
        for name, kind in (
            ("payment", "non_idempotent"),
            ("lookup", "idempotent"),
        )
    ]
    async with (
        builders.gateway_harness(routes=routes, limits=limits) as harness,
        rawserver.raw_server(script) as address,
    ):
        await harness.add_address(builders.PLAIN_SERVICE, "i-1", address)
        status, body, _ = await harness.call(
            path, body=b"x" * _BODY_BYTES, X_Deadline_Ms="8000"
        )
    assert (status, body) == (200, b"done")
