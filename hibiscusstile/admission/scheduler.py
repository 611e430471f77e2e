"""Selects the next request to start."""

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

# Callers that one search may skip; bounds its cost.
_MAX_SKIPPED_CALLERS = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """A request that may start, with its rank and priority class."""

    state: shares.RankState
    queued: fairness.QueuedRequest
    priority_class: running_lib.PriorityClass


class Scheduler:
    """Selects requests by rank, guaranteed share and headroom.

    Args:
        config: Current ranks.
        waiting: The waiting requests.
        running: The running requests.
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
        """Returns the next request to start, None if none may start.

        That is the first request, in order of ranks, that may start. A rank
        below its guaranteed share takes precedence.
        """
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
        """Returns the priority class of a request, by the rank it waits in."""
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
        """Selects a request of a rank that is below its share.

        The request gets the priority of the top rank, or the next one for
        excess demand. The engine would otherwise compute it after the very
        requests that the share protects it from. The result is None, so that
        nothing starts, until the engine accepts the prompt.
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
        """Whether a rank is to be served now for its guaranteed share.

        The credit includes the share of the request selected from a higher
        rank, so that the guarantee still holds after that one has started.

        Args:
            state: The rank.
            head: Its first request.
            first_cost: Cost of the request selected from a higher rank, or 0.
        """
        share = self._config.rank(state.name).share
        return (
            share > 0
            and state.credit_tokens + share * first_cost > 0
            and self._running.may_use_headroom(head.total_tokens)
        )
