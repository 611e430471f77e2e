"""Builders of clocks, records, requests and prompts."""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import Coroutine
from typing import Any, TypeVar

from hibiscusstile import clock as clock_lib
from hibiscusstile import (
    request,
)

__all__ = [
    "ManualClock",
    "YieldingClock",
    "chat_messages",
    "record",
    "run_now",
    "work_item",
]

_T = TypeVar("_T")


class ManualClock(clock_lib.Clock):
    """A clock that advances only on request."""

    def __init__(self) -> None:
        self._seconds = 1000.0

    def now(self) -> datetime.datetime:
        """Returns the simulated wall-clock time."""
        start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        return start + datetime.timedelta(seconds=self._seconds)

    def monotonic(self) -> float:
        """Returns the simulated monotonic time in seconds."""
        return self._seconds

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Advances the clock instead of waiting."""
        self.advance(duration.total_seconds())

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self._seconds += seconds


class YieldingClock(ManualClock):
    """A manual clock that yields to other tasks on sleep."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Advances the clock and yields to the event loop."""
        self.advance(duration.total_seconds())
        await asyncio.sleep(0)


def record(kind: str, name: str, **body: Any) -> dict[str, Any]:
    """Returns a configuration record of schema version 1."""
    return {"kind": kind, "name": name, "schema_version": 1, "body": body}


def work_item(
    work_id: str = "w1",
    *,
    workspace: str = "growers",
    caller: str = "shed-1",
    rank: str = "routine",
    levels: tuple[request.PrefixLevel, ...] = (),
    prompt_tokens: int = 100,
    max_tokens: int = 10,
    suspect: bool = False,
) -> request.WorkItem:
    """Returns a request as routing and admission receive it."""
    return request.WorkItem(
        work_id,
        workspace,
        caller,
        rank,
        "m1",
        "",
        levels or (request.PrefixLevel(7, prompt_tokens),),
        prompt_tokens,
        max_tokens,
        suspect,
    )


def chat_messages(question: str = "Is 12% moisture fine?") -> list[Any]:
    """Returns a chat prompt with a long first message to share."""
    return [
        {"role": "system", "content": "You grade carob pods. " * 50},
        {"role": "user", "content": question},
    ]


def run_now(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine that never suspends, and returns its result."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        result: _T = done.value
        return result
    raise AssertionError("the coroutine suspended")
