"""Builders of configuration, and fakes of the log service."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import datetime
import json
import threading
from collections.abc import Callable, Iterator
from typing import Any

from hibiscusstile import clock as clock_lib
from hibiscusstile import (
    platform,
    records,
)
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.configuration import view
from hibiscusstile_standins import log as log_standin
from tests.builders.base import ManualClock

__all__ = [
    "FakeLog",
    "InMemoryStream",
    "UnreliableLog",
    "apply_records",
    "config_entry",
    "config_store",
    "configured_model",
    "running_log",
    "workspace_body",
]


def workspace_body(key_id: str = "k-0001", **fields: Any) -> dict[str, Any]:
    """Returns a workspace body of schema version 1 with one key."""
    key = {"key_id": key_id, "salt": "ab" * 16, "digest": "cd" * 32}
    return {"keys": [key], **fields}


def config_entry(offset: int, payload: Any) -> platform.LogEntry:
    """Returns a log entry; a payload that is not bytes is JSON-encoded."""
    if not isinstance(payload, bytes):
        payload = json.dumps(payload).encode()
    return platform.LogEntry(offset, ManualClock().now(), payload)


def config_store(
    *payloads: Any, schema_versions: int = 9, author: str = ""
) -> store_lib.ConfigurationStore:
    """Returns a store to which the payloads have been applied.

    Args:
        payloads: Payloads of the log from offset 0.
        schema_versions: Newest schema version known to the process.
        author: Name of the process.
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


class FakeLog(platform.LogClient):
    """An in-memory log that responds without waiting.

    Attributes:
        down: Whether the log is unavailable.
        lose_answers: Whether the responses to appends are lost.
        drop_appends: Whether appends with a lost response have no effect.
        unanswered_reads: How many of the next reads get no response.
        before_response: Called once after the next read has collected its
            entries, before it returns.
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
        self.unanswered_reads = 0
        self.before_response: Callable[[], None] | None = None

    def payloads(self, stream: str) -> list[bytes]:
        """Returns all appended payloads, including expired ones."""
        return [entry.payload for entry in self._streams.get(stream, [])]

    def drop_older_than(self, age: datetime.timedelta) -> None:
        """Expires entries older than `age`."""
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
        """Reads entries that have not expired."""
        if self.unanswered_reads:
            self.unanswered_reads -= 1
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
        if self.before_response is not None:
            call, self.before_response = self.before_response, None
            call()
        return page

    async def close(self) -> None:
        """Does nothing."""


@contextlib.contextmanager
def running_log() -> Iterator[log_standin.LogService]:
    """Serves a log stand-in on loopback in a separate thread."""
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


def configured_model(
    name: str = "m1", weights_version: str = "v1", **fields: Any
) -> view.Model:
    """Returns a model of the configuration view."""
    return view.Model(name, weights_version, **fields)


def apply_records(
    store: store_lib.ConfigurationStore, *bodies: dict[str, Any]
) -> None:
    """Applies records to a store at its next offsets."""
    store.apply(
        tuple(
            config_entry(store.next_offset + number, body)
            for number, body in enumerate(bodies)
        )
    )


class UnreliableLog(platform.LogClient):
    """An in-memory log with programmable append failures.

    Attributes:
        down: Whether reads and appends get no response and have no effect.
        append_outcomes: Outcomes of the next appends: `done`, `lost` (applied
            without a response), `late` (applied by `apply_late_appends`),
            `refused`.
        streams: Entries by stream.
        earliest: Offset of the first retained entry by stream.
    """

    name = "lossy"

    def __init__(self, clock: ManualClock) -> None:
        super().__init__("")
        self._clock = clock
        self.down = False
        self.append_outcomes: collections.deque[str] = collections.deque()
        self.streams: dict[str, list[platform.LogEntry]] = (
            collections.defaultdict(list)
        )
        self.earliest: collections.Counter[str] = collections.Counter()
        self._late_appends: list[tuple[str, bytes]] = []

    async def append(
        self, stream: str, payload: bytes
    ) -> platform.Appended | platform.AppendRefused | platform.AppendUnknown:
        """Appends an entry with the next programmed outcome."""
        return self.append_now(stream, payload)

    def append_now(
        self, stream: str, payload: bytes
    ) -> platform.Appended | platform.AppendRefused | platform.AppendUnknown:
        """Like `append`, without an event loop."""
        outcome = (
            self.append_outcomes.popleft() if self.append_outcomes else "done"
        )
        if self.down:
            return platform.AppendUnknown("the log is down")
        if outcome == "refused":
            return platform.AppendRefused("too many appends")
        if outcome == "late":
            self._late_appends.append((stream, payload))
            return platform.AppendUnknown("no answer")
        offset = self._put(stream, payload)
        if outcome == "lost":
            return platform.AppendUnknown("no answer")
        return platform.Appended(offset)

    def apply_late_appends(self) -> None:
        """Applies the pending late appends."""
        for stream, payload in self._late_appends:
            self._put(stream, payload)
        self._late_appends.clear()

    def keep_newest(self, stream: str, kept: int) -> None:
        """Expires all but the last `kept` entries of a stream."""
        self.earliest[stream] = max(
            self.earliest[stream], len(self.streams[stream]) - kept
        )

    async def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 500,
        wait: datetime.timedelta = datetime.timedelta(0),
    ) -> platform.LogEntries | platform.LogUnavailable:
        """Reads without waiting; advances the clock if nothing is new."""
        page = self.read_now(stream, offset, limit)
        if isinstance(page, platform.LogEntries) and not page.entries:
            self._clock.advance(wait.total_seconds())
        return page

    def read_now(
        self, stream: str, offset: int, limit: int = 500
    ) -> platform.LogEntries | platform.LogUnavailable:
        """Like `read`, without an event loop and without waiting."""
        if self.down:
            return platform.LogUnavailable("the log is down")
        kept = self.streams[stream]
        start = max(offset, self.earliest[stream])
        return platform.LogEntries(
            tuple(kept[start : start + limit]),
            self.earliest[stream],
            len(kept),
        )

    async def close(self) -> None:
        """Does nothing."""

    def _put(self, stream: str, payload: bytes) -> int:
        kept = self.streams[stream]
        kept.append(platform.LogEntry(len(kept), self._clock.now(), payload))
        return kept[-1].offset


class InMemoryStream:
    """An in-memory stream of the log service, with outages and retention."""

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
        """Returns up to `limit` entries from `offset` on."""
        kept = [e for e in self._entries if e.offset >= offset][:limit]
        earliest = self._entries[0].offset if self._entries else self._end
        return platform.LogEntries(tuple(kept), earliest, self._end)

    def drop_older_than(self, age: datetime.timedelta) -> None:
        """Expires entries that are not newer than `age`."""
        limit = self._clock.now() - age
        self._entries = [e for e in self._entries if e.time > limit]
