"""Builders of test data; every test takes its data from here."""

from __future__ import annotations

import datetime
from typing import Any

from hibiscusstile import clock as clock_lib
from hibiscusstile import request

__all__ = [
    "ManualClock",
    "chat_messages",
    "engine_body",
    "long_prompt",
    "record",
    "work_item",
]


class ManualClock(clock_lib.Clock):
    """A clock that moves only when told to."""

    def __init__(self) -> None:
        self._seconds = 1000.0

    def now(self) -> datetime.datetime:
        """Returns a wall-clock time that moves with `advance`."""
        start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        return start + datetime.timedelta(seconds=self._seconds)

    def monotonic(self) -> float:
        """Returns seconds that move with `advance`."""
        return self._seconds

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Moves the clock instead of waiting."""
        self.advance(duration.total_seconds())

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._seconds += seconds


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
) -> request.WorkItem:
    """Returns a request as routing and admission see it."""
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
    )


def chat_messages(question: str = "Is 12% moisture fine?") -> list[Any]:
    """Returns a chat prompt whose first message is long and shared."""
    return [
        {"role": "system", "content": "You grade carob pods. " * 50},
        {"role": "user", "content": question},
    ]


def engine_body(
    messages: list[Any], attempt_id: str = "a1", **fields: Any
) -> dict[str, Any]:
    """Returns a chat body of the engines' protocol."""
    return {
        "attempt_id": attempt_id,
        "model": "m1",
        "adapter": "",
        "weights_version": "v1",
        "messages": messages,
        "max_tokens": 4,
        "priority": 1,
        "cache_salt": "salt-a",
        "resume_text": "",
        "prefix_levels": [],
        **fields,
    }


def long_prompt(tokens: int, mark: str = "a") -> list[Any]:
    """Returns one message of a number of engine tokens."""
    text = (mark + " moisture ") * (tokens * 4)
    return [{"role": "user", "content": text[: tokens * 4]}]
