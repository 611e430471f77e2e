"""Builders of test data; every test takes its data from here."""

from __future__ import annotations

import datetime
from typing import Any

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform, request

__all__ = [
    "ManualClock",
    "StreamLog",
    "chat_messages",
    "record",
    "service_call",
    "service_reply",
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


class StreamLog:
    """One stream of the log service in memory, with outages and retention."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._entries: list[platform.LogEntry] = []
        self._end = 0
        self.down = False

    def append(self, payload: bytes) -> int:
        """Appends an entry and returns its offset."""
        self._entries.append(
            platform.LogEntry(self._end, self._clock.now(), payload)
        )
        self._end += 1
        return self._end - 1

    def read(self, offset: int, limit: int = 500) -> platform.LogEntries:
        """Returns entries from `offset` on."""
        kept = [e for e in self._entries if e.offset >= offset][:limit]
        earliest = self._entries[0].offset if self._entries else self._end
        return platform.LogEntries(tuple(kept), earliest, self._end)

    def drop_older_than(self, age: datetime.timedelta) -> None:
        """Applies a retention period."""
        limit = self._clock.now() - age
        self._entries = [e for e in self._entries if e.time > limit]


def service_call(
    key: str | None = "k1", *, body: bytes = b"5", method: str = "POST"
) -> request.ServiceCall:
    """Returns a payment, keyed unless `key` is None."""
    return request.ServiceCall(
        "accounts", method, "payments", "", "application/json", body, key
    )


def service_reply(receipt: int, size: int = 0) -> request.ServiceReply:
    """Returns a receipt, padded by `size` bytes."""
    return request.ServiceReply(
        201, "application/json", b"%d" % receipt + b" " * size
    )
