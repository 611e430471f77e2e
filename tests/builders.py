"""Builders of test data; every test takes its data from here."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import json
import threading
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, TypeVar

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform, records, request, settings
from hibiscusstile.configuration import store as store_lib
from hibiscusstile_standins import log as log_standin

__all__ = [
    "FakeLog",
    "ManualClock",
    "YieldingClock",
    "chat_messages",
    "config_entry",
    "config_store",
    "process_settings",
    "record",
    "run_now",
    "running_log",
    "work_item",
    "workspace_body",
]

_T = TypeVar("_T")


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


class YieldingClock(ManualClock):
    """A manual clock whose sleeps let other tasks run."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Moves the clock and yields."""
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


def workspace_body(key_id: str = "k-0001", **fields: Any) -> dict[str, Any]:
    """Returns a workspace body of schema version 1 with one key."""
    key = {"key_id": key_id, "salt": "ab" * 16, "digest": "cd" * 32}
    return {"keys": [key], **fields}


def config_entry(offset: int, payload: Any) -> platform.LogEntry:
    """Returns a log entry; a payload that is not bytes is sent as JSON."""
    if not isinstance(payload, bytes):
        payload = json.dumps(payload).encode()
    return platform.LogEntry(offset, ManualClock().now(), payload)


def config_store(
    *payloads: Any, schema_versions: int = 9, author: str = ""
) -> store_lib.ConfigurationStore:
    """Returns a store with these payloads applied.

    Args:
        payloads: Payloads of the log from offset 0.
        schema_versions: Newest schema version known to the process.
        author: Its name.
    """

    def find(kind: str, version: int) -> type[records.RecordBody] | None:
        if version > schema_versions:
            return None
        return records.find_schema(kind, version)

    store = store_lib.ConfigurationStore(find, author)
    store.apply(
        tuple(config_entry(offset, p) for offset, p in enumerate(payloads))
    )
    return store


def run_now(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine that never waits, and returns its result."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        result: _T = done.value
        return result
    raise AssertionError("the coroutine waits")


class FakeLog(platform.LogClient):
    """A log in memory that never waits.

    Attributes:
        down: Whether it is in an outage.
        lose_answers: Whether appends get no answer.
        drop_appends: Whether appends without an answer have no effect.
        hangs: How many of the next reads get no answer.
        before_answer: Called once while the next answer is on its way.
    """

    name = "fake"

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__("")
        self._clock = clock
        self._streams: dict[str, list[platform.LogEntry]] = {}
        self._earliest: dict[str, int] = {}
        self.down = False
        self.lose_answers = False
        self.drop_appends = False
        self.hangs = 0
        self.before_answer: Callable[[], None] | None = None

    def payloads(self, stream: str) -> list[bytes]:
        """Returns all payloads ever appended."""
        return [entry.payload for entry in self._streams.get(stream, [])]

    def retain(self, age: datetime.timedelta) -> None:
        """Drops entries older than `age`."""
        for stream, entries in self._streams.items():
            oldest = self._clock.now() - age
            kept = [e.offset for e in entries if e.time >= oldest]
            self._earliest[stream] = kept[0] if kept else len(entries)

    def put(self, stream: str, payload: bytes) -> int:
        """Appends an entry, even in an outage, and returns its offset."""
        entries = self._streams.setdefault(stream, [])
        entry = platform.LogEntry(len(entries), self._clock.now(), payload)
        entries.append(entry)
        return entry.offset

    async def append(
        self, stream: str, payload: bytes
    ) -> platform.Appended | platform.AppendRefused | platform.AppendUnknown:
        """Appends one entry."""
        if self.down:
            return platform.AppendRefused("outage")
        if self.lose_answers and self.drop_appends:
            return platform.AppendUnknown("no answer")
        offset = self.put(stream, payload)
        if self.lose_answers:
            return platform.AppendUnknown("no answer")
        return platform.Appended(offset)

    async def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 500,
        wait: datetime.timedelta = datetime.timedelta(0),
    ) -> platform.LogEntries | platform.LogUnavailable:
        """Reads retained entries."""
        if self.hangs:
            self.hangs -= 1
            await asyncio.Event().wait()
        if self.down:
            return platform.LogUnavailable("outage")
        if wait:
            await asyncio.sleep(0)
        entries = self._streams.get(stream, [])
        earliest = self._earliest.get(stream, 0)
        start = max(offset, earliest)
        page = platform.LogEntries(
            tuple(entries[start : start + limit]), earliest, len(entries)
        )
        if self.before_answer is not None:
            call, self.before_answer = self.before_answer, None
            call()
        return page

    async def close(self) -> None:
        """Does nothing."""


@contextlib.contextmanager
def running_log() -> Iterator[log_standin.LogService]:
    """Serves a log stand-in on loopback from a thread of its own."""
    loop = asyncio.new_event_loop()
    service = log_standin.LogService()
    loop.run_until_complete(service.start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield service
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.run_until_complete(service.close())
        loop.close()


def process_settings(
    role: str, peer_id: str, log_url: str, list_url: str, **fields: Any
) -> settings.EntrySettings | settings.SidecarSettings:
    """Returns settings of a process on loopback with free ports.

    The peer secret is read from the environment variable `PEER_SECRET`.
    """
    anywhere = {"host": "127.0.0.1", "port": 0}
    own: dict[str, Any] = {"http": anywhere}
    if role == "sidecar":
        backend = {"kind": "plain_service", "url": "http://127.0.0.1:1"}
        own = {"peers": anywhere, "backend": {**backend, "application": "a"}}
    return settings.parse_settings(
        json.dumps(
            {
                "role": role,
                "peer_id": peer_id,
                "zone": "az-1",
                "region": "south",
                "operators": anywhere,
                "platform": {
                    "log": {"url": log_url},
                    "instance_list": {"url": list_url},
                },
                "peer_secret": {"environment": "PEER_SECRET"},
                "stop": {"balancer_delay_s": 0, "deadline_s": 1},
                **own,
                **fields,
            }
        )
    )
