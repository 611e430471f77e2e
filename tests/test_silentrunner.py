"""Tests of the stand-in for servers that are silent for a while."""

from __future__ import annotations

import random
import time

import aiohttp
import pytest

from hibiscusstile_standins import silences
from tests.builders import silentservers

_SILENCE_S = 0.1


@pytest.mark.parametrize("headers", [{}, {"X-Model": "m1"}])
async def test_a_silent_server_completes_its_responses(
    headers: dict[str, str],
) -> None:
    """Guards against losses that the stand-in itself causes."""
    server = silentservers.silent_server(_SILENCE_S)
    await server.start()
    try:
        async with aiohttp.ClientSession() as session:
            for number in range(12):
                started_s = time.monotonic()
                request_id = {"X-Request-Id": f"r{number}"}
                async with session.post(
                    f"{server.url}/a", headers={**headers, **request_id}
                ) as response:
                    body = await response.text()
                assert time.monotonic() - started_s >= _SILENCE_S
                assert body.count("id: ") == (4 if headers else 0)
    finally:
        await server.close()


def test_silences_come_at_every_place_and_within_their_bounds() -> None:
    """Guards against places that the soak never plays."""
    found = set()
    for seed in range(400):
        drawn = silences.draw_silences(
            random.Random(seed), 1, 4, (2.0, 3.0), 1.0
        )
        assert 2.0 <= drawn.total_s <= 3.0
        found |= drawn.lengths_s.keys()
    assert found == set(range(6))


def test_a_resumed_stream_is_silent_after_its_start_only() -> None:
    """Guards against silences at events that are not sent."""
    for seed in range(400):
        drawn = silences.draw_silences(
            random.Random(seed), 5, 4, (2.0, 3.0), 1.0
        )
        assert drawn.lengths_s.keys() <= {silences.BEFORE_HEAD, 5}
