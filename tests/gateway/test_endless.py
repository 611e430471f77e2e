"""Tests of responses that never end, over sockets."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator

import pytest

from bench import endless as measuring
from hibiscusstile_standins import endless

_TIME_LIMIT_S = 0.6
_MAX_MEMORY_BYTES = 64 * 1024 * 1024
_MAX_PAUSE_S = 0.1
# The requests that end before their time: the response is known to be wrong.
_ENDED_EARLY = (
    *("trailers", "error_body", "event", "event_lines", "interim_responses"),
    *("head_field", "head_fields", "garbage", "other_response_body"),
    *("other_responses", "after_the_response"),
    *("tiny_chunks", "chunk_extension"),
)
_REQUESTS = 60
_MAX_PAUSE_OF_ALL_S = 0.5


class _ServerThread:
    """Runs an endless server on an event loop in a separate thread."""

    def __init__(self, response: str) -> None:
        self._server = endless.EndlessServer(response)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    @property
    def address(self) -> str:
        """Address of the server."""
        return f"127.0.0.1:{self._server.port}"

    def start(self) -> None:
        """Starts listening."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(
            self._server.start(), self._loop
        ).result()

    def close(self) -> None:
        """Stops listening."""
        asyncio.run_coroutine_threadsafe(
            self._server.close(), self._loop
        ).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


@pytest.fixture(params=sorted(endless.ENDLESS_RESPONSES))
def response(request: pytest.FixtureRequest) -> str:
    """Name of each endless response."""
    name: str = request.param
    return name


@pytest.fixture
def address(response: str) -> Iterator[str]:
    """Address of a server that sends the response."""
    server = _ServerThread(response)
    server.start()
    yield server.address
    server.close()


@pytest.mark.parametrize(
    "response",
    ["body", "error_body", "tiny_chunks", "chunk_extension", "head_field"],
)
async def test_many_endless_responses_have_a_bounded_cost(
    response: str, address: str
) -> None:
    """Guards against a faulty server that stalls all callers of a process.

    With 100 requests, tiny chunks blocked the event loop for 3.5 s, and held
    bodies took 129 MB.
    """
    result = await measuring.measure(
        response, address, _TIME_LIMIT_S, requests=_REQUESTS
    )
    assert result.memory_bytes < _MAX_MEMORY_BYTES
    assert result.pause_s < _MAX_PAUSE_OF_ALL_S


async def test_an_endless_response_has_a_bounded_cost(
    response: str, address: str
) -> None:
    """Guards against a response that takes the whole process down.

    A body of 1 GB was held in memory, and the search for the end of an event
    blocked the event loop for seconds.
    """
    result = await measuring.measure(response, address, _TIME_LIMIT_S)
    assert result.memory_bytes < _MAX_MEMORY_BYTES
    assert result.pause_s < _MAX_PAUSE_S
    assert result.elapsed_s < _TIME_LIMIT_S + 0.5
    if response in _ENDED_EARLY:
        assert result.elapsed_s < _TIME_LIMIT_S
    assert result.verdict != "not_run"
    expected = {"after_the_response": "status 200"}.get(response)
    if expected:
        assert result.result == expected
    else:
        assert not result.result.startswith("status 2")
        assert result.result != "complete"
