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
    "StreamLog",
    "block_events",
    "chat_messages",
    "config_entry",
    "config_store",
    "engine_body",
    "fleet_records",
    "generate_order",
    "long_prompt",
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
        del wait
        if self.down:
            return platform.LogUnavailable("outage")
        entries = self._streams.get(stream, [])
        earliest = self._earliest.get(stream, 0)
        start = max(offset, earliest)
        return platform.LogEntries(
            tuple(entries[start : start + limit]), earliest, len(entries)
        )

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
