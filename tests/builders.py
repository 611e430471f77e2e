"""Builders of test data; every test takes its data from here."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import json
import random
from collections.abc import AsyncIterator
from typing import Any

from hibiscusstile import admission, backends, outcome, platform, request
from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.configuration import view

__all__ = [
    "FakeEngine",
    "FakeInstances",
    "FakeLog",
    "ManualClock",
    "SimulatedEngine",
    "chat_messages",
    "model_record",
    "poisson_arrivals",
    "publish",
    "queue_limits",
    "rank_named",
    "rank_table",
    "record",
    "store_with",
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


class FakeLog(platform.LogClient):
    """A log in memory whose next appends can go wrong.

    Attributes:
        down: Whether reads and appends get no answer and take no effect.
        fates: What happens to the next appends: `done`, `lost` (took effect,
            no answer), `late` (appears with `appear`), `refused`.
        streams: The entries by stream.
    """

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

    async def list_instances(self) -> platform.Listing:
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


def store_with(*records: dict[str, Any]) -> store_lib.ConfigurationStore:
    """Returns a configuration store that has read these records."""
    store = store_lib.ConfigurationStore()
    publish(store, *records)
    return store


def publish(
    store: store_lib.ConfigurationStore, *records: dict[str, Any]
) -> None:
    """Appends records to a store's configuration."""
    time = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    store.apply(
        tuple(
            platform.LogEntry(
                store.next_offset + number, time, json.dumps(body).encode()
            )
            for number, body in enumerate(records)
        )
    )
