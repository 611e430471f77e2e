"""Builders of test data; every test takes its data from here."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import random
from typing import Any

from hibiscusstile import admission, backends, outcome, policies, request
from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import view
from hibiscusstile.peers import messages

__all__ = [
    "BENCH_FIGURES",
    "BiddingFleet",
    "BiddingLink",
    "ManualClock",
    "OracleCache",
    "SimulatedEngine",
    "cache_events",
    "chat_messages",
    "cold_levels",
    "nested_levels",
    "poisson_arrivals",
    "queue_limits",
    "rank_named",
    "rank_table",
    "record",
    "routed_work",
    "runner_views",
    "split_record",
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


BENCH_FIGURES = {
    "prefix_hit_rate",
    "recomputed_tokens",
    "ttft_p50_s",
    "ttft_p95_s",
    "ttft_p99_s",
    "answered",
}


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


def runner_views(count: int = 6) -> list[policies.RunnerView]:
    """Returns runners whose loads are not known."""
    return [policies.RunnerView(f"runner{n}") for n in range(count)]


def routed_work(
    work_id: str, *, question: int = 1, rank: str = "urgent"
) -> request.WorkItem:
    """Returns a request behind shared instructions and a member's history."""
    levels = (
        request.PrefixLevel(1, 4000),
        request.PrefixLevel(2, 9000),
        request.PrefixLevel(1000 + question, 9100),
    )
    return work_item(work_id, rank=rank, levels=levels, prompt_tokens=9100)


def split_record(*, share: float) -> view.RoutingPolicy:
    """Returns a policy record that compares `bidding` with `prefix_hash`."""
    return view.RoutingPolicy(
        "default",
        "bidding",
        split_algorithm="prefix_hash",
        split_share=share,
    )


def cold_levels(number: int) -> tuple[request.PrefixLevel, ...]:
    """Returns levels that no other number shares."""
    return (
        request.PrefixLevel(10_000 + 2 * number, 4000),
        request.PrefixLevel(10_001 + 2 * number, 4100),
    )


class BiddingFleet:
    """Stands for the entry's links; runners that are not free refuse."""

    def __init__(self, *, runners: int, free: set[str]) -> None:
        self._views = runner_views(runners)
        self._free = free
        self.asked: list[str] = []

    def runners(self, model: str) -> list[policies.RunnerView]:
        """Returns all runners."""
        del model
        return list(self._views)

    def link(self, peer_id: str) -> BiddingLink:
        """Returns the link to a runner."""
        self.asked.append(peer_id)
        return BiddingLink(peer_id in self._free)


class BiddingLink:
    """A link that answers bids at once."""

    def __init__(self, free: bool) -> None:
        self._free = free

    def next_number(self) -> int:
        """Returns the number of the next bid."""
        return 1

    async def ask_bid(
        self, bid: messages.BidRequest, timeout_s: float
    ) -> messages.BidReply:
        """Returns a bid, or a refusal unless the runner is free."""
        del timeout_s
        refusal = None if self._free else outcome.Reason.OVERLOADED
        return messages.BidReply(bid.bid_id, 0, 0.0, 0.1, 0, refusal)
