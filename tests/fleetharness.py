"""A fleet of processes under load, for scenarios with synchronous steps."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import threading
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

import aiohttp

from hibiscusstile_standins import text
from tests import builders, httpclient, processes

__all__ = ["FleetHarness"]

_T = TypeVar("_T")
_CALLERS = 6
_RESPONSE_WORDS = 40
_LONG_STREAM_WORDS = 2500
_LONG_STREAM_COUNT = 18
_STEP_TIMEOUT_S = 90.0
_POLL_INTERVAL_S = 0.05
_MAX_REQUESTS = 5000


class FleetHarness:
    """Runs a fleet and its callers on an event loop in a separate thread.

    The callers behave as if behind a load balancer: they use entry instances
    that report ready, and try again when a connection is refused.

    Args:
        folder: Empty folder for settings and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._exit_stack = contextlib.AsyncExitStack()
        self._stop_requested = asyncio.Event()
        self._load_task: asyncio.Future[Any] | None = None
        self._long_streams: list[asyncio.Future[None]] = []
        self._ready_urls: list[str] = []
        self._in_flight: dict[int, float] = {}
        self._fleet: processes.Fleet | None = None
        self.errors: list[str] = []
        self.responses: list[tuple[float, float, httpclient.ChatResponse]] = []
        self.context: dict[str, Any] = {}

    @property
    def fleet(self) -> processes.Fleet:
        """The running fleet."""
        assert self._fleet is not None
        return self._fleet

    def run(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        """Runs a step on the event loop and returns its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(_STEP_TIMEOUT_S)

    def start(self) -> None:
        """Starts the fleet and its load."""
        self._thread.start()
        self.run(self._start_fleet())

    def close(self) -> None:
        """Stops the load and the fleet."""
        try:
            self.run(self.stop_load())
            self.run(self._exit_stack.aclose())
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def oldest_request_age_s(self) -> float:
        """Returns the age of the oldest request in flight, 0 without one."""
        now_s = time.monotonic()
        return max((now_s - s for s in self._in_flight.values()), default=0.0)

    async def start_long_streams(self) -> None:
        """Starts streams of several seconds each on all engines."""
        urls = [self.fleet.urls[entry.name] for entry in self.fleet.entries]
        for number in range(_LONG_STREAM_COUNT):
            task = asyncio.ensure_future(
                self._run_long_stream(urls[number % len(urls)], number)
            )
            self._long_streams.append(task)
        await asyncio.sleep(0.5)

    async def stop_load(self) -> None:
        """Stops sending and waits for the requests in flight."""
        self._stop_requested.set()
        if self._load_task is not None:
            await self._load_task
        await asyncio.gather(*self._long_streams)

    async def sleep(self, seconds: float) -> None:
        """Waits while the load continues."""
        await asyncio.sleep(seconds)

    def hit_rate(self, since_s: float, until_s: float) -> float:
        """Returns the share of cached prompt tokens in requests of a period."""
        prompt_tokens = cached_tokens = 0
        for sent_s, _, response in self.responses:
            if since_s <= sent_s < until_s and response.usage:
                details = response.usage["prompt_tokens_details"]
                prompt_tokens += response.usage["prompt_tokens"]
                cached_tokens += details["cached_tokens"]
        return cached_tokens / prompt_tokens if prompt_tokens else 0.0

    async def send(
        self, url: str, number: int, words: int = _RESPONSE_WORDS
    ) -> str:
        """Sends a streamed request; returns an error message, empty if none."""
        workspace = list(builders.FLEET_WORKSPACES)[number % 2]
        messages = builders.nested_prompt(
            workspace, number % 3, f"question {number}"
        )
        sent_s = self._in_flight[number] = time.monotonic()
        try:
            async with httpclient.open_session() as session:
                response = await httpclient.send_chat(
                    session,
                    url,
                    self.fleet.keys[workspace],
                    messages,
                    max_tokens=words,
                )
        finally:
            self._in_flight.pop(number, None)
        self.responses.append((sent_s, time.monotonic(), response))
        if response.status != 200 or not response.done:
            return f"request {number}: {response.status} {response.error}"
        if response.words != text.expected_words(messages, words):
            return f"request {number}: wrong words"
        return ""

    async def _start_fleet(self) -> None:
        self._fleet = await self._exit_stack.enter_async_context(
            processes.process_fleet(
                self._folder, entries=2, engines=3, services=2
            )
        )
        self._load_task = asyncio.gather(
            self._poll_readiness(),
            *(self._run_caller(n) for n in range(_CALLERS)),
        )
        await asyncio.sleep(1.0)

    async def _poll_readiness(self) -> None:
        while not self._stop_requested.is_set():
            urls = [self.fleet.urls[e.name] for e in self.fleet.entries]
            ready = await asyncio.gather(*map(_is_ready, urls))
            self._ready_urls = [
                u for u, ok in zip(urls, ready, strict=True) if ok
            ]
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _run_long_stream(self, url: str, number: int) -> None:
        error = await self.send(url, number, words=_LONG_STREAM_WORDS)
        if error:
            self.errors.append(error)

    async def _run_caller(self, caller_number: int) -> None:
        number = caller_number
        while not self._stop_requested.is_set() and number < _MAX_REQUESTS:
            error = await self._send_balanced(number)
            if error:
                self.errors.append(error)
            number += _CALLERS

    async def _send_balanced(self, number: int) -> str:
        refused: collections.Counter[str] = collections.Counter()
        while sum(refused.values()) < 100:
            urls = self._ready_urls or [""]
            url = urls[number % len(urls)]
            try:
                return await self.send(url, number)
            except (aiohttp.ClientConnectorError, aiohttp.InvalidURL):
                refused[url] += 1
                await asyncio.sleep(_POLL_INTERVAL_S)
            except aiohttp.ClientError as error:
                return f"request {number}: connection lost: {error!r}"
        return f"request {number}: no entry instance accepted it"


async def _is_ready(url: str) -> bool:
    timeout = aiohttp.ClientTimeout(total=0.5)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"{url}/ready") as response,
        ):
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False
