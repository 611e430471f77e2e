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
_WORKERS = 6
_WORDS = 40
_LONG_WORDS = 2500
_LONG_STREAMS = 18
_STEP_TIMEOUT_S = 90.0
_POLL_S = 0.05
_MAX_REQUESTS = 5000


class FleetHarness:
    """Runs a fleet and its callers on an event loop of its own thread.

    The callers stand behind a load balancer: they go to entry instances that
    say they are ready, and try another one when a connection is refused.

    Args:
        folder: Empty folder for settings and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._stack = contextlib.AsyncExitStack()
        self._stop = asyncio.Event()
        self._load: asyncio.Future[Any] | None = None
        self._long: list[asyncio.Future[None]] = []
        self._ready: list[str] = []
        self._open: dict[int, float] = {}
        self._fleet: processes.Fleet | None = None
        self.faults: list[str] = []
        self.answers: list[tuple[float, float, httpclient.ChatResponse]] = []
        self.notes: dict[str, Any] = {}

    @property
    def fleet(self) -> processes.Fleet:
        """The running fleet."""
        assert self._fleet is not None
        return self._fleet

    def run(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        """Runs a step on the world's loop and returns its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(_STEP_TIMEOUT_S)

    def start(self) -> None:
        """Starts the fleet and its load."""
        self._thread.start()
        self.run(self._start())

    def close(self) -> None:
        """Ends the load and the fleet."""
        try:
            self.run(self.end_load())
            self.run(self._stack.aclose())
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def longest_wait(self) -> float:
        """Returns for how many seconds the oldest open request has run."""
        now_s = time.monotonic()
        return max((now_s - s for s in self._open.values()), default=0.0)

    async def start_long_streams(self) -> None:
        """Starts streams of several seconds on all engines."""
        urls = [self.fleet.urls[entry.name] for entry in self.fleet.entries]
        for number in range(_LONG_STREAMS):
            task = asyncio.ensure_future(
                self._note(urls[number % len(urls)], number)
            )
            self._long.append(task)
        await asyncio.sleep(0.5)

    async def end_load(self) -> None:
        """Lets the callers finish what they have begun."""
        self._stop.set()
        if self._load is not None:
            await self._load
        await asyncio.gather(*self._long)

    async def pause(self, seconds: float) -> None:
        """Lets the load go on for a while."""
        await asyncio.sleep(seconds)

    def hit_rate(self, since_s: float, until_s: float) -> float:
        """Returns cached over prompt tokens of requests sent in a period."""
        prompt = cached = 0
        for sent_s, _, answer in self.answers:
            if since_s <= sent_s < until_s and answer.usage:
                details = answer.usage["prompt_tokens_details"]
                prompt += answer.usage["prompt_tokens"]
                cached += details["cached_tokens"]
        return cached / prompt if prompt else 0.0

    async def send(self, url: str, number: int, words: int = _WORDS) -> str:
        """Sends one streamed request and returns what is wrong, or nothing."""
        workspace = list(builders.FLEET_WORKSPACES)[number % 2]
        messages = builders.nested_prompt(
            workspace, number % 3, f"question {number}"
        )
        sent_s = self._open[number] = time.monotonic()
        try:
            async with httpclient.open_session() as session:
                answer = await httpclient.send_chat(
                    session,
                    url,
                    self.fleet.keys[workspace],
                    messages,
                    max_tokens=words,
                )
        finally:
            self._open.pop(number, None)
        self.answers.append((sent_s, time.monotonic(), answer))
        if answer.status != 200 or not answer.done:
            return f"request {number}: {answer.status} {answer.error}"
        if answer.words != text.expected_words(messages, words):
            return f"request {number}: wrong words"
        return ""

    async def _start(self) -> None:
        self._fleet = await self._stack.enter_async_context(
            processes.process_fleet(
                self._folder, entries=2, engines=3, services=2
            )
        )
        self._load = asyncio.gather(
            self._watch_ready(), *(self._call(n) for n in range(_WORKERS))
        )
        await asyncio.sleep(1.0)

    async def _watch_ready(self) -> None:
        while not self._stop.is_set():
            urls = [self.fleet.urls[e.name] for e in self.fleet.entries]
            ready = await asyncio.gather(*map(_is_ready, urls))
            self._ready = [u for u, ok in zip(urls, ready, strict=True) if ok]
            await asyncio.sleep(_POLL_S)

    async def _note(self, url: str, number: int) -> None:
        fault = await self.send(url, number, words=_LONG_WORDS)
        if fault:
            self.faults.append(fault)

    async def _call(self, worker: int) -> None:
        number = worker
        while not self._stop.is_set() and number < _MAX_REQUESTS:
            fault = await self._send_balanced(number)
            if fault:
                self.faults.append(fault)
            number += _WORKERS

    async def _send_balanced(self, number: int) -> str:
        refused: collections.Counter[str] = collections.Counter()
        while sum(refused.values()) < 100:
            urls = self._ready or [""]
            url = urls[number % len(urls)]
            try:
                return await self.send(url, number)
            except (aiohttp.ClientConnectorError, aiohttp.InvalidURL):
                refused[url] += 1
                await asyncio.sleep(_POLL_S)
            except aiohttp.ClientError as error:
                return f"request {number}: cut off: {error!r}"
        return f"request {number}: no entry instance took it"


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
