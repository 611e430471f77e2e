"""Tests of reading request bodies within the memory budget."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import base_protocol, test_utils

from hibiscusstile.memory import requestbodies
from tests.builders import memory as builders

_KIB = builders.KIB


@pytest.mark.parametrize(
    ("headers", "max_kib", "error"),
    [
        ({"Transfer-Encoding": "chunked"}, 2000, requestbodies.BodyTooLarge),
        ({"Transfer-Encoding": "chunked"}, 8000, requestbodies.MemoryShort),
        ({"Content-Length": "5000000"}, 8000, requestbodies.MemoryShort),
    ],
)
async def test_a_refused_body_can_still_give_way(
    headers: dict[str, str], max_kib: int, error: type[Exception]
) -> None:
    """Guards against an error in the request that frees its memory."""
    loop = asyncio.get_running_loop()
    protocol = base_protocol.BaseProtocol(loop)
    protocol.connection_made(asyncio.Transport())
    content = aiohttp.StreamReader(protocol, 2**24, loop=loop)
    request = test_utils.make_mocked_request(
        "POST", "/", headers=headers, payload=content
    )
    holding = builders.budget(builders.StoppedClock()).open("a")
    loop.call_soon(content.feed_data, bytes(4000 * _KIB))
    with pytest.raises(error):
        async with asyncio.timeout(5) as timeout:
            await requestbodies.receive_body(
                request, holding, max_kib * _KIB, timeout
            )
    holding.end()
    assert holding.ended
