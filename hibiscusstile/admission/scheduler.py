"""Chooses the request that starts next."""

from __future__ import annotations

import dataclasses
import itertools

from hibiscusstile import request
from hibiscusstile.admission import (
    fairness,
    schedulingconfig,
    shares,
    waitingset,
)
from hibiscusstile.admission import running as running_lib

__all__ = ["Scheduler", "Selection"]

# Callers whose turn may be skipped in one search, which bounds its cost.
_MAX_SKIPPED_CALLERS = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """A request that may start, with its priority_class."""

    state: shares.RankState
    queued: fairness.QueuedRequest
    priority_class: running_lib.PriorityClass


class Scheduler:
    """Applies ranks, shares and headroom to what waits and what runs.

    Args:
        config: Ranks in force.
        waiting: What waits.
        running: What runs.
    """

    def __init__(
        self,
        config: schedulingconfig.SchedulingConfig,
        waiting: waitingset.WaitingSet,
        running: running_lib.RunningSet,
    ) -> None:
        self._config = config
        self._waiting = waiting
        self._running = running

    def select(self, now_s: float) -> Selection | None:
        """Returns the most urgent head, or that of a rank that is owed."""
        first: Selection | None = None
        for state in self._waiting.waiting_ranks:
            state.decay_debt(now_s)
            heads = state.heads(self._running.has_suspect)
            for head in itertools.islice(heads, _MAX_SKIPPED_CALLERS + 1):
                first_cost = first.queued.cost if first else 0
                if self._is_below_share(state, head, first_cost):
                    return self._select_for_share(state, head)
                if first is not None:
                    break
                priority_class = self.priority_class(head.work, now_s)
                if self._running.accepts_prefill(
                    head.prefill_tokens, priority_class
                ) and self._running.leaves_headroom(
                    head.total_tokens, priority_class
                ):
                    first = Selection(state, head, priority_class)
                    break
        return first

    def priority_class(
        self, work: request.WorkItem, now_s: float
    ) -> running_lib.PriorityClass:
        """Returns a request's claim, under the rank in which it waits."""
        excess = self._config.is_excess_rank(work.rank)
        return running_lib.PriorityClass(
            self._config.rank(work.rank).level,
            self._config.is_below_top(work.rank),
            excess
            or self._waiting.rank_state(work.rank).demand.is_large(
                work.workspace, work.caller, now_s
            ),
            excess,
        )

    def _select_for_share(
        self, state: shares.RankState, head: fairness.QueuedRequest
    ) -> Selection | None:
        """Returns the start of a rank that is owed, None to wait for it.

        It has the first rank's priority, as the engine would otherwise put
        it behind the work that its share protects it from; excess work comes
        next to that. Nothing else starts until the engine takes it.
        """
        excess = self._config.is_excess_rank(state.name)
        priority_class = running_lib.PriorityClass(
            self._config.top_level,
            self._config.is_below_top(state.name),
            excess,
            excess,
        )
        if not self._running.accepts_prefill(
            head.prefill_tokens, priority_class
        ):
            return None
        return Selection(state, head, priority_class)

    def _is_below_share(
        self,
        state: shares.RankState,
        head: fairness.QueuedRequest,
        first_cost: int,
    ) -> bool:
        """Whether a rank is served for its share.

        It is counted as if the head of the more urgent rank had started, so
        that the share holds after that start too.
        """
        share = self._config.rank(state.name).share
        return (
            share > 0
            and state.credit_tokens + share * first_cost > 0
            and self._running.may_use_headroom(head.total_tokens)
        )
