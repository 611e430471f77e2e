"""Builders of test data; every test takes its data from here."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import datetime
import json
import random
import threading
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from typing import Any, TypeVar

from hibiscusstile import (
    admission,
    backends,
    outcome,
    platform,
    records,
    request,
)
from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.configuration import view
from hibiscusstile_standins import log as log_standin

__all__ = [
    "BENCH_FIGURES",
    "FLEET_WORKSPACES",
    "FakeEngine",
    "FakeInstances",
    "FakeLog",
    "LossyLog",
    "ManualClock",
    "OracleCache",
    "SimulatedEngine",
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
    "model_record",
    "nested_levels",
    "nested_prompt",
    "poisson_arrivals",
    "publish",
    "queue_limits",
    "rank_named",
    "rank_table",
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
    suspect: bool = False,
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
        suspect,
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


def queue_limits(**changes: Any) -> admission.QueueLimits:
    """Returns the bounds of a small queue."""
    limits = admission.QueueLimits(
        running=4,
        running_tokens=10_000,
        queued_tokens=20_000,
        queued_requests=20,
        prefill_tokens_per_s=1000.0,
    )
    return dataclasses.replace(limits, **changes)


def rank_table(
    share: float = 0.1, queue_time_s: float = 1000.0
) -> dict[str, view.Rank]:
    """Returns the records of the ranks `urgent` and `routine`."""
    queue_time = datetime.timedelta(seconds=queue_time_s)
    target = datetime.timedelta(seconds=0.61)
    return {
        "urgent": view.Rank("urgent", 0, 0.0, queue_time, target),
        "routine": view.Rank("routine", 1, share, queue_time, target),
    }


@dataclasses.dataclass(slots=True)
class _SimulatedRun:
    work: request.WorkItem
    prompt_left: float
    answer_left: float


class SimulatedEngine:
    """An engine behind an admission queue, in steps of 20 ms.

    It computes prompts one after the other by the queue's priority, and
    generates 25 tokens/s for each request whose prompt is done.

    Attributes:
        first_token_s: Time to first token by work id.
        served: Tokens computed by rank.
        refused: Refusals by work id.
        expired: Work ids that waited too long.
    """

    step_s = 0.02

    def __init__(self, prompt_tokens_per_s: float = 20_000.0) -> None:
        self._clock = ManualClock()
        self.queue = admission.AdmissionQueue(
            self._clock,
            queue_limits(
                running=32,
                running_tokens=400_000,
                queued_tokens=2_000_000,
                queued_requests=1000,
                prefill_tokens_per_s=prompt_tokens_per_s,
                prefill_ahead_tokens=8000,
            ),
            lambda: rank_table(queue_time_s=30.0),
        )
        self._speed = prompt_tokens_per_s
        self._runs: dict[str, _SimulatedRun] = {}
        self._arrived_s: dict[str, float] = {}
        self.first_token_s: dict[str, float] = {}
        self.served: collections.Counter[str] = collections.Counter()
        self.refused: dict[str, outcome.Refusal] = {}
        self.expired: set[str] = set()

    def run(
        self, arrivals: list[tuple[float, request.WorkItem]], until_s: float
    ) -> None:
        """Offers each request at its time and runs the engine."""
        pending = collections.deque(sorted(arrivals, key=lambda each: each[0]))
        start_s = self._clock.monotonic()
        while self._clock.monotonic() - start_s < until_s:
            while (
                pending and pending[0][0] <= self._clock.monotonic() - start_s
            ):
                self._offer(pending.popleft()[1])
            self.expired |= {each.work_id for each in self.queue.expire()}
            while (work := self.queue.take()) is not None:
                self._runs[work.work_id] = _SimulatedRun(
                    work, work.prompt_tokens, work.max_tokens
                )
            self._compute_prompts()
            self._generate()
            self._clock.advance(self.step_s)

    def _offer(self, work: request.WorkItem) -> None:
        now_s = self._clock.monotonic()
        self._arrived_s[work.work_id] = now_s
        refusal = self.queue.offer(work, now_s + 60.0)
        if refusal is not None:
            self.refused[work.work_id] = refusal
        for shed in self.queue.shed():
            self.refused[shed.work.work_id] = shed.refusal

    def _compute_prompts(self) -> None:
        left = self._speed * self.step_s
        ranking = sorted(
            self._runs.items(), key=lambda item: self.queue.priority(item[0])
        )
        for work_id, run in ranking:
            if run.prompt_left <= 0 or left <= 0:
                continue
            done = min(left, run.prompt_left)
            left -= done
            run.prompt_left -= done
            self.served[run.work.rank] += done
            if run.prompt_left <= 0:
                self.first_token_s[work_id] = (
                    self._clock.monotonic()
                    + self.step_s
                    - self._arrived_s[work_id]
                )
                self.queue.note_started(work_id)

    def _generate(self) -> None:
        for work_id, run in list(self._runs.items()):
            if run.prompt_left > 0:
                continue
            run.answer_left -= 25 * self.step_s
            if run.answer_left <= 0:
                del self._runs[work_id]
                work = run.work
                self.queue.finish(work_id, work.prompt_tokens + work.max_tokens)


def poisson_arrivals(
    prefix: str,
    tokens_per_s: float,
    until_s: float,
    *,
    rank: str,
    prompt_tokens: tuple[int, int],
    caller: str = "",
    seed: int = 1,
) -> list[tuple[float, request.WorkItem]]:
    """Returns random requests of 32 callers, or of one, with their times.

    Args:
        prefix: Start of the work ids.
        tokens_per_s: Mean of the prompt tokens asked for per second.
        until_s: End of the arrivals.
        rank: Rank of all requests.
        prompt_tokens: Least and most tokens of a prompt.
        caller: The one caller, of its own workspace; empty for 32 in 8.
        seed: Seed of the random numbers.
    """
    rng = random.Random(f"{seed}{prefix}")
    rate = tokens_per_s / (sum(prompt_tokens) / 2)
    arrivals = []
    time_s = rng.expovariate(rate)
    while time_s < until_s:
        work = work_item(
            f"{prefix}{len(arrivals)}",
            workspace=f"ws-{caller or rng.randrange(8)}",
            caller=caller or f"caller-{rng.randrange(4)}",
            rank=rank,
            prompt_tokens=rng.randint(*prompt_tokens),
            max_tokens=rng.randint(20, 80),
        )
        arrivals.append((time_s, work))
        time_s += rng.expovariate(rate)
    return arrivals


def rank_named(name: str, level: int, share: float = 0.0) -> view.Rank:
    """Returns a rank record with a queue time of 30 s."""
    return view.Rank(
        name,
        level,
        share,
        datetime.timedelta(seconds=30),
        datetime.timedelta(seconds=0.61),
    )


class LossyLog(platform.LogClient):
    """A log in memory whose next appends can go wrong.

    Attributes:
        down: Whether reads and appends get no answer and take no effect.
        fates: What happens to the next appends: `done`, `lost` (took effect,
            no answer), `late` (appears with `appear`), `refused`.
        streams: The entries by stream.
    """

    name = "lossy"

    def __init__(self, clock: ManualClock) -> None:
        super().__init__("")
        self._clock = clock
        self.down = False
        self.fates: collections.deque[str] = collections.deque()
        self.streams: dict[str, list[platform.LogEntry]] = (
            collections.defaultdict(list)
        )
        self.earliest: collections.Counter[str] = collections.Counter()
        self._late: list[tuple[str, bytes]] = []

    async def append(
        self, stream: str, payload: bytes
    ) -> platform.Appended | platform.AppendRefused | platform.AppendUnknown:
        """Appends as the next fate says."""
        return self.append_now(stream, payload)

    def append_now(
        self, stream: str, payload: bytes
    ) -> platform.Appended | platform.AppendRefused | platform.AppendUnknown:
        """Appends as the next fate says, without an event loop."""
        fate = self.fates.popleft() if self.fates else "done"
        if self.down:
            return platform.AppendUnknown("the log is down")
        if fate == "refused":
            return platform.AppendRefused("too many appends")
        if fate == "late":
            self._late.append((stream, payload))
            return platform.AppendUnknown("no answer")
        offset = self._put(stream, payload)
        if fate == "lost":
            return platform.AppendUnknown("no answer")
        return platform.Appended(offset)

    def appear(self) -> None:
        """Lets the late appends take effect now."""
        for stream, payload in self._late:
            self._put(stream, payload)
        self._late.clear()

    def forget(self, stream: str, kept: int) -> None:
        """Drops all but the last entries of a stream."""
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
        """Reads without waiting, though the clock moves if nothing is new."""
        page = self.read_now(stream, offset, limit)
        if isinstance(page, platform.LogEntries) and not page.entries:
            self._clock.advance(wait.total_seconds())
        return page

    def read_now(
        self, stream: str, offset: int, limit: int = 500
    ) -> platform.LogEntries | platform.LogUnavailable:
        """Reads without an event loop."""
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


class FakeInstances(platform.InstanceList):
    """Lists the sidecars it is given, all in region `north`."""

    def __init__(self, *names: str) -> None:
        super().__init__("")
        self.names = list(names)

    async def list_instances(self, region: str = "") -> platform.Listing:
        """Returns the instances listed now."""
        return platform.Listing(
            tuple(
                platform.ListedInstance(
                    name, "sidecar", "127.0.0.1", 1, "az-1", "north"
                )
                for name in self.names
            )
        )

    async def close(self) -> None:
        """Does nothing."""


class FakeEngine(backends.EngineBackend):
    """An engine that takes orders and checks their fencing number.

    Attributes:
        state: What it says of itself.
        orders: The orders it followed.
    """

    checks_fencing = True

    def __init__(self, model: str = "m1", weights_version: str = "v1") -> None:
        super().__init__("")
        self.state = backends.EngineHealth(
            "inc-1", model, weights_version, (), "mixed", -1
        )
        self.orders: list[backends.EngineOrder] = []

    async def order(self, order: backends.EngineOrder) -> backends.OrderResult:
        """Follows an order at once."""
        return self.order_now(order)

    def order_now(self, order: backends.EngineOrder) -> backends.OrderResult:
        """Follows an order without an event loop."""
        if order.fencing_number < self.state.fencing_number:
            return backends.OrderResult(False, "the fencing number is old")
        self.orders.append(order)
        self.state = dataclasses.replace(
            self.state,
            model=order.model,
            weights_version=order.weights_version,
            adapters=order.adapters,
            fencing_number=order.fencing_number,
        )
        return backends.OrderResult(True)

    async def health(self) -> backends.EngineHealth | None:
        """Returns its state."""
        return self.state

    async def probe(
        self, timeout_s: float
    ) -> backends.EngineHealth | backends.ProbeFailure:
        """Returns its state."""
        return self.state

    async def generate(
        self, order: backends.GenerateOrder
    ) -> AsyncIterator[backends.EngineEvent]:
        """Generates nothing."""
        yield backends.EngineEnd("stop", 0, 0, 0)

    async def cancel(self, attempt_id: str) -> None:
        """Does nothing."""

    async def cache_events(self, after: int) -> backends.CacheEvents | None:
        """Has no cache."""
        return None

    async def cache_blocks(self) -> backends.CacheEvents | None:
        """Has no cache."""
        return None

    async def load(self) -> backends.EngineLoad | None:
        """Reports no load."""
        return None

    async def export_kv(self, salt: str, digest: int) -> bytes | None:
        """Holds no KV cache."""
        return None

    async def import_kv(self, salt: str, digest: int, data: bytes) -> bool:
        """Takes no KV cache."""
        return False

    async def close(self) -> None:
        """Does nothing."""


def model_record(
    name: str = "m1", weights_version: str = "v1", **fields: Any
) -> view.Model:
    """Returns a model as decisions see it."""
    return view.Model(name, weights_version, **fields)


def publish(
    store: store_lib.ConfigurationStore, *bodies: dict[str, Any]
) -> None:
    """Appends records to a store's configuration."""
    store.apply(
        tuple(
            config_entry(store.next_offset + number, body)
            for number, body in enumerate(bodies)
        )
    )
