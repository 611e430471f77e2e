"""Builders of test data; every test takes its data from here."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import json
import threading
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, TypeVar

from hibiscusstile import backends, platform, records, request
from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile_standins import log as log_standin

__all__ = [
    "BENCH_FIGURES",
    "FLEET_WORKSPACES",
    "FakeLog",
    "ManualClock",
    "OracleCache",
    "StreamLog",
    "YieldingClock",
    "block_events",
    "cache_events",
    "chat_messages",
    "config_entry",
    "config_store",
    "engine_body",
    "fleet_records",
    "generate_order",
    "long_prompt",
    "nested_levels",
    "nested_prompt",
    "record",
    "run_now",
    "running_log",
    "service_call",
    "service_reply",
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


BENCH_FIGURES = {
    "prefix_hit_rate",
    "recomputed_tokens",
    "ttft_p50_s",
    "ttft_p95_s",
    "ttft_p99_s",
    "answered",
}


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


def nested_levels(salt: str, prompt: int) -> tuple[request.PrefixLevel, ...]:
    """Returns instructions, one of two tenants, and a prompt's own level.

    The digests do not depend on the salt, so that only the salt keeps the
    scopes apart.
    """
    del salt
    return (
        request.PrefixLevel(1, 20),
        request.PrefixLevel(10 + prompt % 2, 50),
        request.PrefixLevel(100 + prompt, 100),
    )


class OracleCache:
    """An engine's cache without any limit, as sets.

    `possible_tokens` counts what the engine has held since its start, less
    what a delivered event says it has removed and what it has not stored
    again since.
    """

    def __init__(self, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._starts = 0
        self._clear()

    @property
    def incarnation(self) -> str:
        """Fresh at each start."""
        return f"engine.{self._starts}"

    def crash(self) -> None:
        """Returns empty."""
        self._starts += 1
        self._clear()

    def store(self, salt: str, levels: tuple[request.PrefixLevel, ...]) -> None:
        """Holds a prompt's levels, touched last if held already."""
        for level in reversed(levels):
            name = (salt, level.digest)
            tokens = level.tokens // self._block_tokens * self._block_tokens
            if tokens and name not in self._held:
                self._note(backends.BlockEventKind.STORED, name, tokens)
            self._held.pop(name, None)
            self._held[name] = tokens
            self._stored_at[name] = self._number - 1

    def evict(self, count: int) -> None:
        """Removes the levels used least recently."""
        for name in list(self._held)[:count]:
            tokens = self._held.pop(name)
            if tokens:
                self._note(backends.BlockEventKind.REMOVED, name, tokens)

    def take_events(self, mask: int) -> backends.CacheEvents:
        """Returns the newest events; bit i of the mask keeps the ith."""
        events = tuple(
            event
            for index, event in enumerate(self._events)
            if mask >> (index % 8) & 1
        )
        self._events = []
        return backends.CacheEvents(self.incarnation, events)

    def delivered(self, batch: backends.CacheEvents) -> None:
        """Notes the events that the sidecar has seen."""
        if batch.incarnation != self.incarnation:
            return
        for event in batch.events:
            if event.number <= self._seen:
                continue
            self._seen = event.number
            name = (event.salt, event.digest)
            if event.kind is backends.BlockEventKind.REMOVED:
                self._gone[name] = event.number

    def possible_tokens(
        self, salt: str, levels: tuple[request.PrefixLevel, ...]
    ) -> int:
        """Returns the most tokens of the prompt that may still be held."""
        possible = 0
        for level in levels:
            name = (salt, level.digest)
            stored = self._stored_at.get(name)
            if stored is None or stored < self._gone.get(name, -1):
                break
            possible = level.tokens
        return possible

    def _clear(self) -> None:
        self._held: dict[tuple[str, int], int] = {}
        self._events: list[backends.BlockEvent] = []
        self._number = 0
        self._seen = -1
        self._stored_at: dict[tuple[str, int], int] = {}
        self._gone: dict[tuple[str, int], int] = {}

    def _note(
        self,
        kind: backends.BlockEventKind,
        name: tuple[str, int],
        tokens: int,
    ) -> None:
        self._events.append(
            backends.BlockEvent(self._number, kind, *name, tokens)
        )
        self._number += 1


def cache_events(
    incarnation: str, *events: tuple[str, int, int, int]
) -> backends.CacheEvents:
    """Returns a batch under the salt `salt`.

    Args:
        incarnation: The engine's.
        *events: Kind, number, digest and tokens of each.
    """
    return backends.CacheEvents(
        incarnation,
        tuple(
            backends.BlockEvent(
                number, backends.BlockEventKind(kind), "salt", digest, tokens
            )
            for kind, number, digest, tokens in events
        ),
    )


FLEET_WORKSPACES = {"buyers": "urgent", "contracts": "routine"}


def fleet_records(
    key_digest: Callable[[str, str], str], secret: str
) -> list[dict[str, Any]]:
    """Returns the records of a fleet of separate processes.

    Each workspace has one key, `hs_WORKSPACE_SECRET`; model `m2` is for
    `contracts` only.
    """
    salt = "0123456789abcdef"
    workspaces = [
        record(
            "workspace",
            name,
            keys=[
                {
                    "key_id": name,
                    "salt": salt,
                    "digest": key_digest(salt, secret),
                    "rank": rank,
                }
            ],
            models=["m1"] if name == "buyers" else ["m1", "m2"],
        )
        for name, rank in FLEET_WORKSPACES.items()
    ]
    return [
        record("rank", "urgent", level=0),
        record("rank", "routine", level=1, share=0.1),
        record("routing_policy", "default", algorithm="bidding"),
        record("model", "m1", weights_version="v1"),
        record("model", "m2", weights_version="v1"),
        record("application", "accounts"),
        *workspaces,
    ]


def nested_prompt(workspace: str, member: int, question: str) -> list[Any]:
    """Returns a prompt nested in instructions, workspace and member."""
    pad = 9000
    return [
        {"role": "system", "content": ("Grade pods with care. " * 500)[:pad]},
        {"role": "system", "content": (f"Rules of {workspace}. " * 500)[:pad]},
        {"role": "user", "content": (f"Member {member} sold. " * 500)[:pad]},
        {"role": "user", "content": question},
    ]


def generate_order(
    messages: list[Any], attempt_id: str = "a1", **fields: Any
) -> backends.GenerateOrder:
    """Returns what an engine client is asked to generate."""
    chat = request.ChatRequest(
        "m1",
        "",
        tuple(
            request.Message(
                each["role"],
                (request.ContentPart(request.PartKind.TEXT, each["content"]),),
            )
            for each in messages
        ),
        fields.pop("max_tokens", 4),
        True,
        "",
    )
    return backends.GenerateOrder(
        attempt_id,
        chat,
        fields.pop("weights_version", "v1"),
        1,
        "salt-a",
        **fields,
    )


def block_events(
    incarnation: str, *numbers: int, last_number: int = -1
) -> backends.CacheEvents:
    """Returns stored events whose digests are 100 above their numbers."""
    events = tuple(
        backends.BlockEvent(
            number, backends.BlockEventKind.STORED, "salt-a", 100 + number, 2048
        )
        for number in numbers
    )
    return backends.CacheEvents(incarnation, events, last_number)
