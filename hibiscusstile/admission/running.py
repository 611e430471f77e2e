"""Requests on the backend server, and the limits for starting more."""

from __future__ import annotations

import collections
import dataclasses

from hibiscusstile import request
from hibiscusstile.admission import fairness, limits, shares

__all__ = ["PriorityClass", "RunningRequest", "RunningSet"]


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityClass:
    """Class that decides a request's headroom and its engine priority.

    Attributes:
        level: Level of its rank; 0 is served first.
        below_top: Whether its rank is below the top rank.
        large_caller: Whether its caller's demand is several times the mean.
        excess_demand: Whether its caller dominates the total demand.
    """

    level: int
    below_top: bool
    large_caller: bool
    excess_demand: bool = False

    @property
    def priority(self) -> int:
        """Priority passed to the engine; lower values run first."""
        return 2 * self.level + self.large_caller


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request submitted to the backend server.

    Attributes:
        queued: The request as it was queued.
        state: State of its rank.
        priority_class: Its priority class.
        credit_changes: Changes that its start made to the ranks' credit.
    """

    queued: fairness.QueuedRequest
    state: shares.RankState
    priority_class: PriorityClass
    credit_changes: tuple[shares.CreditChange, ...]


class RunningSet:
    """Tracks running requests and tokens against the limits.

    A request starts only while the running requests and tokens stay within a
    fraction of the limits that shrinks with its priority class: top rank,
    its large callers, lower ranks, their large callers, excess demand.
    Without this headroom, a flood of one class would block higher classes
    until one of its long requests ends.

    Args:
        queue_limits: Limits of the queue.
    """

    def __init__(self, queue_limits: limits.QueueLimits) -> None:
        self._limits = queue_limits
        self._running: dict[str, RunningRequest] = {}
        self._tokens = 0
        self._cost_tokens = 0
        self._lower_rank_requests = 0
        self._lower_rank_tokens = 0
        self._running_suspects = 0
        self._prefill: dict[str, int] = {}
        self._prefill_by_priority: collections.Counter[int] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._running)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._running

    @property
    def tokens(self) -> int:
        """Estimated total tokens of the running requests."""
        return self._tokens

    @property
    def mean_tokens(self) -> float:
        """Mean cost of a running request in tokens."""
        return self._cost_tokens / max(1, len(self._running))

    @property
    def full(self) -> bool:
        """Whether the maximum number of requests is running."""
        return len(self._running) >= self._limits.running

    @property
    def has_suspect(self) -> bool:
        """Whether a request suspected of crashing engines is running."""
        return self._running_suspects > 0

    def add(self, running: RunningRequest) -> None:
        """Adds a request that starts."""
        work_id = running.queued.work.work_id
        self._running[work_id] = running
        self._update_totals(running, 1)
        self._prefill[work_id] = running.queued.prefill_tokens
        self._update_prefill(running, running.queued.prefill_tokens)

    def pop(self, work_id: str) -> RunningRequest | None:
        """Removes and returns a request; None if it is not running."""
        self.note_prefill_done(work_id)
        ended = self._running.pop(work_id, None)
        if ended is not None:
            self._update_totals(ended, -1)
        return ended

    def note_prefill_done(self, work_id: str) -> None:
        """Records that the prompt of a request has been computed."""
        tokens = self._prefill.pop(work_id, None)
        if tokens is not None:
            self._update_prefill(self._running[work_id], -tokens)

    def priority(self, work_id: str) -> int | None:
        """Returns a request's engine priority, None if it is not running."""
        running = self._running.get(work_id)
        return running.priority_class.priority if running else None

    def accepts_prefill(
        self, prefill_tokens: int, priority_class: PriorityClass
    ) -> bool:
        """Whether so many more prompt tokens may be submitted to the engine.

        The queue cannot reorder submitted prompts, so the engine gets only
        slightly more than it needs to stay busy. Submitted prompts of lower
        priority are not counted, since the engine computes them later.
        """
        limit_tokens = self._limits.prefill_ahead_tokens
        tokens_ahead = sum(
            tokens
            for priority, tokens in self._prefill_by_priority.items()
            if priority <= priority_class.priority
        )
        return (
            not limit_tokens
            or not tokens_ahead
            or tokens_ahead + prefill_tokens <= limit_tokens
        )

    def fits_tokens(self, total_tokens: int) -> bool:
        """Whether the token limit admits more; one request always may run."""
        if not self._running:
            return True
        return self._tokens + total_tokens <= self._limits.running_tokens

    def leaves_headroom(
        self, total_tokens: int, priority_class: PriorityClass
    ) -> bool:
        """Whether a start leaves the headroom of higher priority classes."""
        share = self._limits.next_class_share ** (
            2 * priority_class.below_top
            + priority_class.large_caller
            + priority_class.excess_demand
        )
        return self._is_within(
            share, len(self._running), self._tokens, total_tokens
        )

    def may_use_headroom(self, total_tokens: int) -> bool:
        """Whether a rank below its guaranteed share may use the headroom.

        Only the requests of ranks below the top count against the limit.
        """
        share = self._limits.next_class_share
        return self._is_within(
            share,
            self._lower_rank_requests,
            self._lower_rank_tokens,
            total_tokens,
        )

    def can_start(
        self,
        work: request.WorkItem,
        prefill_tokens: int,
        priority_class: PriorityClass,
    ) -> bool:
        """Whether a request could start if no other were waiting."""
        total_tokens = work.prompt_tokens + work.max_tokens
        if self.full or not self.fits_tokens(total_tokens):
            return False
        if work.suspect and self.has_suspect:
            return False
        if not self.accepts_prefill(prefill_tokens, priority_class):
            return False
        return self.leaves_headroom(total_tokens, priority_class)

    def _is_within(
        self, share: float, running: int, tokens: int, total_tokens: int
    ) -> bool:
        """Whether one more request stays within a fraction of the limits."""
        if not running or share >= 1:
            return True
        return (
            running + 1 <= self._limits.running * share
            and tokens + total_tokens <= self._limits.running_tokens * share
        )

    def _update_totals(self, running: RunningRequest, sign: int) -> None:
        tokens = sign * running.queued.total_tokens
        self._tokens += tokens
        self._cost_tokens += sign * running.queued.cost
        if running.priority_class.below_top:
            self._lower_rank_requests += sign
            self._lower_rank_tokens += tokens
        if running.queued.work.suspect:
            self._running_suspects += sign

    def _update_prefill(self, running: RunningRequest, tokens: int) -> None:
        self._prefill_by_priority[running.priority_class.priority] += tokens
