"""What the backend server runs, within its bounds."""

from __future__ import annotations

import collections
import dataclasses

from hibiscusstile import request
from hibiscusstile.admission import fairness, limits, shares

__all__ = ["PriorityClass", "RunningRequest", "RunningSet"]


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityClass:
    """A request's claim to slots and to the engine's order of prefills.

    Attributes:
        level: Its rank's level; 0 is served first.
        below_top: Whether its rank is below the first one.
        large_caller: Whether its caller asks for several times the others'
            mean.
        excess_demand: Whether its caller asks for more than all others.
    """

    level: int
    below_top: bool
    large_caller: bool
    excess_demand: bool = False

    @property
    def priority(self) -> int:
        """The priority passed to the engine; lower runs first."""
        return 2 * self.level + self.large_caller


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request handed to the backend server.

    Attributes:
        queued: The request as it waited.
        state: Its rank.
        priority_class: Its claim against the others.
        credit_changes: What its start changed in the ranks' balances.
    """

    queued: fairness.QueuedRequest
    state: shares.RankState
    priority_class: PriorityClass
    credit_changes: tuple[shares.CreditChange, ...]


class RunningSet:
    """Counts running requests and tokens.

    Each class of requests starts only while the slots and tokens in use stay
    within a part of the bounds, and every next class within a smaller one:
    the first rank, its large callers, lower ranks, their large callers,
    excess work. A flood of one class would otherwise leave the better ones
    no slot until one of its long requests ends.

    Args:
        queue_limits: Bounds.
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
        """Tokens of what runs, as estimated before."""
        return self._tokens

    @property
    def mean_tokens(self) -> float:
        """Mean tokens to compute of a running request."""
        return self._cost_tokens / max(1, len(self._running))

    @property
    def full(self) -> bool:
        """Whether no slot is free."""
        return len(self._running) >= self._limits.running

    @property
    def has_suspect(self) -> bool:
        """Whether a suspect runs."""
        return self._running_suspects > 0

    def add(self, running: RunningRequest) -> None:
        """Notes a start."""
        work_id = running.queued.work.work_id
        self._running[work_id] = running
        self._update_totals(running, 1)
        self._prefill[work_id] = running.queued.prefill_tokens
        self._update_prefill(running, running.queued.prefill_tokens)

    def pop(self, work_id: str) -> RunningRequest | None:
        """Notes an end; None if the request does not run."""
        self.note_prefill_done(work_id)
        ended = self._running.pop(work_id, None)
        if ended is not None:
            self._update_totals(ended, -1)
        return ended

    def note_prefill_done(self, work_id: str) -> None:
        """Notes that a request's prompt is computed."""
        tokens = self._prefill.pop(work_id, None)
        if tokens is not None:
            self._update_prefill(self._running[work_id], -tokens)

    def priority(self, work_id: str) -> int | None:
        """Returns a running request's priority, None if it does not run."""
        running = self._running.get(work_id)
        return running.priority_class.priority if running else None

    def accepts_prefill(
        self, prefill_tokens: int, priority_class: PriorityClass
    ) -> bool:
        """Whether the engine may be handed so much more prompt.

        What the engine has been handed is out of the queue's order, so it
        gets little more than keeps it busy. It computes prompts of better
        priority first, so that prompts of worse priority do not count.
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
        """Whether so many more tokens may run; a lone request always may."""
        if not self._running:
            return True
        return self._tokens + total_tokens <= self._limits.running_tokens

    def leaves_headroom(
        self, total_tokens: int, priority_class: PriorityClass
    ) -> bool:
        """Whether a request's start leaves the headroom of better claims."""
        share = self._limits.next_class_share ** (
            2 * priority_class.below_top
            + priority_class.large_caller
            + priority_class.excess_demand
        )
        return self._is_within(
            share, len(self._running), self._tokens, total_tokens
        )

    def may_use_headroom(self, total_tokens: int) -> bool:
        """Whether one of a rank that is owed tokens may use the headroom."""
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
        """Whether a request could start if nothing waited."""
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
        """Whether one more stays within a part of the bounds."""
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
