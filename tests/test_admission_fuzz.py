"""Stateful fuzzing of the admission queue against a simple model."""

from __future__ import annotations

import collections
from typing import Any

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hibiscusstile import admission, outcome, request
from tests import builders

_RANKS = st.sampled_from(["urgent", "routine", "unlisted"])
_WORKSPACES = st.sampled_from(["growers", "treasury", "cellar"])
_QUEUE_TIME_S = 30.0
_CALLERS = st.sampled_from(["a", "b", "c"])


class QueueMachine(stateful.RuleBasedStateMachine):
    """Each request has exactly one outcome, and the limits are respected."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = builders.ManualClock()
        self.limits = builders.queue_limits(
            queued_requests=6,
            workspace_share=0.9,
            caller_share=0.7,
            prefill_ahead_tokens=2000,
        )
        self.ranks = builders.rank_records(queue_time_s=30.0)
        self.queue = admission.AdmissionQueue(
            self.clock, self.limits, lambda: self.ranks
        )
        self.offered_count = 0
        self.waiting: dict[str, request.WorkItem] = {}
        self.deadline_s: dict[str, float] = {}
        self.running: dict[str, request.WorkItem] = {}
        self.expired: set[str] = set()

    @stateful.rule(
        count=st.integers(1, 4),
        rank=_RANKS,
        workspace=_WORKSPACES,
        caller=_CALLERS,
        prompt_tokens=st.one_of(st.integers(0, 300), st.integers(0, 12_000)),
        max_tokens=st.integers(0, 500),
        cached_part=st.floats(0, 1),
        deadline_s=st.floats(-1, 40),
        suspect=st.sampled_from([False, False, False, True]),
    )
    def offer(
        self, count: int, cached_part: float, deadline_s: float, **fields: Any
    ) -> None:
        """Offers identical requests and records those they displace."""
        for _ in range(count):
            self._offer(cached_part, deadline_s, fields)

    def _offer(
        self, cached_part: float, deadline_s: float, fields: dict[str, Any]
    ) -> None:
        self.offered_count += 1
        work = builders.work_item(f"w{self.offered_count}", **fields)
        cached = int(cached_part * work.prompt_tokens)
        now_s = self.clock.monotonic()
        expected = self.queue.check(work, cached)
        refusal = self.queue.offer(work, now_s + deadline_s, cached)
        shed = self.queue.pop_shed()
        if refusal is not None:
            assert refusal.verdict is outcome.Verdict.NOT_RUN
            assert not shed, "a refused request displaced others"
        else:
            assert expected is None, (
                "check refused a request that offer accepted"
            )
            self.waiting[work.work_id] = work
            limit_s = min(deadline_s, _QUEUE_TIME_S)
            self.deadline_s[work.work_id] = now_s + limit_s
        if deadline_s >= 30:
            assert (expected is None) == (refusal is None)
        for each in shed:
            assert self.waiting.pop(each.work.work_id).rank
            assert each.refusal.verdict is outcome.Verdict.NOT_RUN

    @stateful.rule()
    def take(self) -> None:
        """Starts requests until none may start."""
        while (work := self.queue.start_next()) is not None:
            assert self.waiting.pop(work.work_id) is work
            assert self.deadline_s[work.work_id] >= self.clock.monotonic()
            self.running[work.work_id] = work
        if not self.running:
            assert not self.queue.waiting, "nothing starts on an idle engine"

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), served_part=st.floats(0, 1))
    def finish(self, data: st.DataObject, served_part: float) -> None:
        """Ends a running request after part of its tokens, twice."""
        work_id = data.draw(st.sampled_from(sorted(self.running)))
        work = self.running.pop(work_id)
        tokens = work.prompt_tokens + work.max_tokens
        self.queue.finish(work_id, int(served_part * tokens))
        self.queue.finish(work_id, tokens)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def note_started(self, data: st.DataObject) -> None:
        """Reports a computed prompt, possibly more than once."""
        self.queue.note_prefill_done(
            data.draw(st.sampled_from(sorted(self.running)))
        )

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancels a waiting request, which may have expired already."""
        work_id = data.draw(st.sampled_from(sorted(self.waiting)))
        if self.queue.cancel(work_id):
            del self.waiting[work_id]
        else:
            assert self.deadline_s[work_id] < self.clock.monotonic()

    @stateful.rule()
    def expire(self) -> None:
        """Collects the expired requests, each exactly once."""
        for work in self.queue.expire():
            assert self.waiting.pop(work.work_id) is work
        now_s = self.clock.monotonic()
        assert all(self.deadline_s[each] >= now_s for each in self.waiting)

    @stateful.rule(seconds=st.floats(0.001, 20))
    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.clock.advance(seconds)

    @stateful.rule(share=st.floats(0, 0.9), level=st.integers(0, 3))
    def change_ranks(self, share: float, level: int) -> None:
        """Changes the ranks while requests wait and run."""
        self.ranks = builders.rank_records(share=share, queue_time_s=30.0)
        self.ranks["unlisted"] = builders.rank_record("unlisted", level, share)

    @stateful.rule()
    def drain(self) -> None:
        """Returns all waiting requests, as on a shutdown of the sidecar."""
        expired = {work.work_id for work in self.queue.expire()}
        drained = {work.work_id for work in self.queue.drain()}
        assert expired | drained == set(self.waiting)
        assert not expired & drained
        self.waiting.clear()

    @stateful.invariant()
    def bounds_hold(self) -> None:
        """Waiting and running requests stay within the limits."""
        expired = sum(
            self.deadline_s[each] < self.clock.monotonic()
            for each in self.waiting
        )
        count = len(self.waiting)
        assert count - expired <= self.queue.waiting <= count
        assert self.queue.waiting <= self.limits.queued_requests
        assert self.queue.running == len(self.running) <= self.limits.running
        assert sum(work.suspect for work in self.running.values()) <= 1
        sizes = [w.prompt_tokens + w.max_tokens for w in self.running.values()]
        assert len(sizes) == 1 or sum(sizes) <= self.limits.running_tokens
        assert self.queue.load >= 0

    @stateful.invariant()
    def waits_are_estimates(self) -> None:
        """Expected waits are finite and not negative."""
        for rank in ("urgent", "routine"):
            wait_s = self.queue.expected_wait_s(
                builders.work_item("probe", rank=rank)
            )
            assert 0 <= wait_s < 1e7


TestQueueMachine = pytest.mark.fuzz(QueueMachine.TestCase)


def _serve(
    queue: admission.AdmissionQueue, key: str, until: int
) -> collections.Counter[str]:
    """Runs requests one at a time and sums their tokens by an attribute."""
    served: collections.Counter[str] = collections.Counter()
    while sum(served.values()) < until:
        work = queue.start_next()
        assert work is not None
        tokens = work.prompt_tokens + work.max_tokens
        queue.finish(work.work_id, tokens)
        served[getattr(work, key)] += tokens
    return served


@pytest.mark.fuzz
@hypothesis.given(
    sizes=st.lists(st.integers(10, 100), min_size=3, max_size=3),
    counts=st.lists(st.integers(1, 3), min_size=3, max_size=3),
)
def test_backlogged_callers_receive_equal_tokens(
    sizes: list[int], counts: list[int]
) -> None:
    """Larger or more requests must not give a caller more tokens."""
    queue = admission.AdmissionQueue(
        builders.ManualClock(),
        builders.queue_limits(
            running=1,
            queued_tokens=10**9,
            queued_requests=10**6,
            prefill_tokens_per_s=1e9,
        ),
        builders.rank_records,
    )
    largest = max(sizes)
    for caller, (size, count) in enumerate(zip(sizes, counts, strict=True)):
        for number in range(count * (10 * largest // size + 1)):
            work = builders.work_item(
                f"{caller}-{number}",
                caller=f"c{caller}",
                prompt_tokens=size,
                max_tokens=0,
            )
            assert queue.offer(work, 1e9) is None
    served = _serve(queue, "caller", 20 * largest)
    tokens = [served[f"c{caller}"] for caller in range(3)]
    assert max(tokens) - min(tokens) <= 2 * largest


@pytest.mark.fuzz
@hypothesis.given(
    share=st.floats(0.05, 0.5),
    urgent=st.integers(10, 200),
    routine=st.integers(10, 200),
)
def test_backlogged_rank_keeps_its_share(
    share: float, urgent: int, routine: int
) -> None:
    """Regardless of request sizes, a rank gets its share and no more."""
    queue = admission.AdmissionQueue(
        builders.ManualClock(),
        builders.queue_limits(
            running=1,
            queued_tokens=10**9,
            queued_requests=10**6,
            prefill_tokens_per_s=1e9,
        ),
        lambda: builders.rank_records(share=share),
    )
    total = 40 * max(urgent, routine)
    for rank, size in (("urgent", urgent), ("routine", routine)):
        for number in range(total // size + 1):
            work = builders.work_item(
                f"{rank}-{number}",
                rank=rank,
                caller=f"c{number % 5}",
                prompt_tokens=size,
                max_tokens=0,
            )
            assert queue.offer(work, 1e9) is None
    served = _serve(queue, "rank", total)
    most = share * served.total() + routine + share * urgent
    assert share * served.total() - routine <= served["routine"] <= most
