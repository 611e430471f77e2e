"""Builders of admission queues, and a simulated engine behind one."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import random
from typing import Any

from hibiscusstile import (
    admission,
    outcome,
    request,
)
from hibiscusstile.configuration import view
from tests.builders.base import ManualClock, work_item

__all__ = [
    "SimulatedEngine",
    "poisson_arrivals",
    "queue_limits",
    "rank_record",
    "rank_records",
]


def queue_limits(**changes: Any) -> admission.QueueLimits:
    """Returns the limits of a small queue."""
    limits = admission.QueueLimits(
        running=4,
        running_tokens=10_000,
        queued_tokens=20_000,
        queued_requests=20,
        prefill_tokens_per_s=1000.0,
    )
    return dataclasses.replace(limits, **changes)


def rank_records(
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
    prefill_tokens_left: float
    output_tokens_left: float


class SimulatedEngine:
    """Simulates an engine behind an admission queue, in steps of 20 ms.

    It computes prompts one after the other in order of priority, and then
    generates 25 tokens/s for each request.

    Attributes:
        queue: The admission queue.
        first_token_s: Time to first token by work id.
        served: Computed prompt tokens by rank.
        refused: Refusals by work id.
        expired: Work ids of the requests that expired in the queue.
    """

    step_s = 0.02

    def __init__(self, prefill_tokens_per_s: float = 20_000.0) -> None:
        self._clock = ManualClock()
        self.queue = admission.AdmissionQueue(
            self._clock,
            queue_limits(
                running=32,
                running_tokens=400_000,
                queued_tokens=2_000_000,
                queued_requests=1000,
                prefill_tokens_per_s=prefill_tokens_per_s,
                prefill_ahead_tokens=8000,
            ),
            lambda: rank_records(queue_time_s=30.0),
        )
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._runs: dict[str, _SimulatedRun] = {}
        self._arrived_s: dict[str, float] = {}
        self.first_token_s: dict[str, float] = {}
        self.served: collections.Counter[str] = collections.Counter()
        self.refused: dict[str, outcome.Refusal] = {}
        self.expired: set[str] = set()

    def run(
        self, arrivals: list[tuple[float, request.WorkItem]], duration_s: float
    ) -> None:
        """Offers the requests at their arrival times and runs the engine."""
        pending = collections.deque(sorted(arrivals, key=lambda each: each[0]))
        start_s = self._clock.monotonic()
        while self._clock.monotonic() - start_s < duration_s:
            while (
                pending and pending[0][0] <= self._clock.monotonic() - start_s
            ):
                self._offer(pending.popleft()[1])
            self.expired |= {each.work_id for each in self.queue.expire()}
            while (work := self.queue.start_next()) is not None:
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
        for shed in self.queue.pop_shed():
            self.refused[shed.work.work_id] = shed.refusal

    def _compute_prompts(self) -> None:
        budget_tokens = self._prefill_tokens_per_s * self.step_s
        by_priority = sorted(
            self._runs.items(), key=lambda item: self.queue.priority(item[0])
        )
        for work_id, run in by_priority:
            if run.prefill_tokens_left <= 0 or budget_tokens <= 0:
                continue
            computed_tokens = min(budget_tokens, run.prefill_tokens_left)
            budget_tokens -= computed_tokens
            run.prefill_tokens_left -= computed_tokens
            self.served[run.work.rank] += computed_tokens
            if run.prefill_tokens_left <= 0:
                self.first_token_s[work_id] = (
                    self._clock.monotonic()
                    + self.step_s
                    - self._arrived_s[work_id]
                )
                self.queue.note_prefill_done(work_id)

    def _generate(self) -> None:
        for work_id, run in list(self._runs.items()):
            if run.prefill_tokens_left > 0:
                continue
            run.output_tokens_left -= 25 * self.step_s
            if run.output_tokens_left <= 0:
                del self._runs[work_id]
                work = run.work
                self.queue.finish(work_id, work.prompt_tokens + work.max_tokens)


def poisson_arrivals(
    prefix: str,
    tokens_per_s: float,
    duration_s: float,
    *,
    rank: str,
    prompt_tokens: tuple[int, int],
    caller: str = "",
    seed: int = 1,
) -> list[tuple[float, request.WorkItem]]:
    """Returns random requests of one caller or 32, with arrival times.

    Args:
        prefix: Prefix of the work ids.
        tokens_per_s: Mean of the requested prompt tokens per second.
        duration_s: Length of the period with arrivals.
        rank: Rank of all requests.
        prompt_tokens: Minimum and maximum length of a prompt.
        caller: Name of the only caller, with a workspace of its own; empty
            for 4 callers in each of 8 workspaces.
        seed: Seed of the random numbers.
    """
    rng = random.Random(f"{seed}{prefix}")
    rate = tokens_per_s / (sum(prompt_tokens) / 2)
    arrivals = []
    time_s = rng.expovariate(rate)
    while time_s < duration_s:
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


def rank_record(name: str, level: int, share: float = 0.0) -> view.Rank:
    """Returns a rank record with a queue time of 30 s."""
    return view.Rank(
        name,
        level,
        share,
        datetime.timedelta(seconds=30),
        datetime.timedelta(seconds=0.61),
    )
