"""Waiting requests of all ranks, and eviction when the queue is full."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Mapping

from hibiscusstile import request
from hibiscusstile.admission import (
    fairness,
    limits,
    meter,
    schedulingconfig,
    shares,
)

__all__ = ["WaitingSet"]

# Entries of removed requests that the heap of deadlines may hold, beyond the
# number of waiting requests, before it is rebuilt.
_MAX_STALE_DEADLINES = 64


class WaitingSet:
    """Holds the waiting requests and selects those to evict when full.

    Args:
        queue_limits: Limits of the queue.
        config: Current ranks and workspace weights.
    """

    def __init__(
        self,
        queue_limits: limits.QueueLimits,
        config: schedulingconfig.SchedulingConfig,
    ) -> None:
        self._limits = queue_limits
        self._config = config
        self._states: dict[str, shares.RankState] = {}
        self._queued: dict[str, fairness.QueuedRequest] = {}
        self._tokens = 0
        self._deadlines: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()
        self._meter = meter.ServiceMeter(queue_limits.prefill_tokens_per_s)

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._queued

    @property
    def tokens(self) -> int:
        """Cost of all waiting requests, in tokens."""
        return self._tokens

    @property
    def waiting_ranks(self) -> list[shares.RankState]:
        """The ranks with waiting requests, highest priority first."""
        states = [each for each in self._states.values() if each.waiting]
        if len(states) > 1:
            states.sort(key=lambda s: (self._config.rank(s.name).level, s.name))
        return states

    @property
    def by_rank(self) -> Mapping[str, int]:
        """Number of waiting requests by rank; 0 for ranks now empty."""
        return {name: each.waiting for name, each in self._states.items()}

    @property
    def work_items(self) -> list[request.WorkItem]:
        """The waiting requests in order of arrival."""
        return [queued.offered_work for queued in self._queued.values()]

    def rank_state(self, rank_name: str) -> shares.RankState:
        """Returns the state of a rank, which is created if needed."""
        state = self._states.get(rank_name)
        if state is None:
            state = shares.RankState(
                rank_name, self._limits.prefill_tokens_per_s
            )
            self._states[rank_name] = state
        return state

    def tokens_per_s(self, now_s: float) -> float:
        """Returns the measured rate of all ranks together."""
        return self._meter.tokens_per_s(now_s)

    def higher_rank_tokens(self, rank_name: str) -> int:
        """Returns the waiting tokens of all ranks above the given one."""
        level = self._config.rank(rank_name).level
        return sum(
            state.fair_queue.tokens
            for state in self._states.values()
            if self._config.rank(state.name).level < level
        )

    def add(
        self,
        work: request.WorkItem,
        offered: request.WorkItem,
        cost: int,
        now_s: float,
        deadline_s: float,
    ) -> None:
        """Adds a request; see `fairness.QueuedRequest` for the arguments."""
        number = next(self._numbers)
        total_tokens = work.prompt_tokens + work.max_tokens
        queued = fairness.QueuedRequest(
            work, offered, total_tokens, cost, number, now_s, deadline_s
        )
        state = self.rank_state(work.rank)
        state.add(queued, self._config.workspace_weight(work.workspace))
        state.note_queue_change(now_s)
        self._queued[work.work_id] = queued
        self._tokens += queued.cost
        self._meter.start_backlog(now_s)
        heapq.heappush(self._deadlines, (deadline_s, number, work.work_id))

    def remove(self, work_id: str, now_s: float) -> bool:
        """Removes a request that does not start; False if not waiting."""
        queued = self._queued.get(work_id)
        if queued is None:
            return False
        self.rank_state(queued.work.rank).remove(queued)
        self.drop(queued, now_s)
        return True

    def start(
        self,
        state: shares.RankState,
        queued: fairness.QueuedRequest,
        now_s: float,
    ) -> tuple[shares.CreditChange, ...]:
        """Removes a request that starts and updates the ranks' credit."""
        for each in self._states.values():
            each.decay_debt(now_s)
        credit_changes = shares.charge_start(
            state,
            [(s, self._config.rank(s.name).share) for s in self.waiting_ranks],
            queued.cost,
            self._limits.running_tokens,
        )
        shares.restore_credit(
            [
                (each, self._config.rank(each.name).share)
                for each in self._states.values()
                if each.waiting == 0
            ],
            queued.cost,
        )
        state.start(queued, now_s)
        if queued.offered_s < now_s:
            self._meter.count_started(queued.cost, now_s)
        self.drop(queued, now_s)
        return credit_changes

    def remove_expired(self, now_s: float) -> list[request.WorkItem]:
        """Removes and returns the requests past their deadline."""
        expired = []
        while self._deadlines and self._deadlines[0][0] < now_s:
            _, number, work_id = heapq.heappop(self._deadlines)
            queued = self._queued.get(work_id)
            if queued is not None and queued.arrival_number == number:
                self.remove(work_id, now_s)
                expired.append(queued.offered_work)
        return expired

    def exceeds_caller_share(self, work: request.WorkItem, cost: int) -> bool:
        """Whether the request would exceed its caller's share of the queue."""
        state = self.rank_state(work.rank)
        if work.suspect:
            max_suspects = (
                self._limits.queued_requests * self._limits.caller_share
            )
            return len(state.suspects) >= max(1, max_suspects)
        tokens, requests = state.fair_queue.caller_size(
            work.workspace, work.caller
        )
        return self._exceeds(tokens, requests, cost, self._limits.caller_share)

    def evict_for(
        self, work: request.WorkItem, cost: int
    ) -> list[fairness.QueuedRequest] | None:
        """Removes requests from their ranks until the new one fits.

        Returns:
            The removed requests, for `drop` or `restore`; None, with nothing
            removed, if there is no request that the new one may displace.
        """
        victims: list[fairness.QueuedRequest] = []
        tokens = self._tokens + cost
        requests = len(self._queued) + 1
        while True:
            if self._exceeds_workspace_share(work, cost):
                victim = self._find_victim_in_workspace(work, cost)
            elif requests > self._limits.queued_requests or (
                tokens > self._limits.queued_tokens and requests > 1
            ):
                victim = self._find_victim(work, cost)
            else:
                return victims
            if victim is None:
                self.restore(victims)
                return None
            self.rank_state(victim.work.rank).remove(victim)
            victims.append(victim)
            tokens -= victim.cost
            requests -= 1

    def restore(self, victims: list[fairness.QueuedRequest]) -> None:
        """Undoes `evict_for`."""
        for victim in reversed(victims):
            weight = self._config.workspace_weight(victim.work.workspace)
            self.rank_state(victim.work.rank).add(victim, weight)

    def drop(self, queued: fairness.QueuedRequest, now_s: float) -> None:
        """Removes the rest of a request that its rank has already removed."""
        del self._queued[queued.work.work_id]
        self._tokens -= queued.cost
        self.rank_state(queued.work.rank).note_queue_change(now_s)
        if not self._queued:
            self._meter.end_backlog(now_s)
        if len(self._deadlines) > 2 * len(self._queued) + _MAX_STALE_DEADLINES:
            self._deadlines = [
                (each.deadline_s, each.arrival_number, each.work.work_id)
                for each in self._queued.values()
            ]
            heapq.heapify(self._deadlines)

    def _exceeds(
        self, tokens: int, requests: int, cost: int, share: float
    ) -> bool:
        """Whether one more request exceeds a share; one is always allowed."""
        if not requests:
            return False
        return (
            requests + 1 > self._limits.queued_requests * share
            or tokens + cost > self._limits.queued_tokens * share
        )

    def _exceeds_workspace_share(
        self, work: request.WorkItem, cost: int
    ) -> bool:
        if work.suspect:
            return False
        fair_queue = self.rank_state(work.rank).fair_queue
        tokens, requests, _ = fair_queue.workspace_size(work.workspace)
        share = self._limits.workspace_share
        return self._exceeds(tokens, requests, cost, share)

    def _find_victim_in_workspace(
        self, work: request.WorkItem, cost: int
    ) -> fairness.QueuedRequest | None:
        fair_queue = self.rank_state(work.rank).fair_queue
        victim = fair_queue.newest_of_workspace(work.workspace)
        if victim is None:
            return None
        return self._victim_if_larger(fair_queue, victim, work, cost)

    def _find_victim(
        self, work: request.WorkItem, cost: int
    ) -> fairness.QueuedRequest | None:
        """Returns the request to displace in a full queue, None for none.

        Lower ranks come first, except those within their share of the queue.
        """
        level = self._config.rank(work.rank).level
        for state in reversed(self.waiting_ranks):
            victim = state.fair_queue.newest_of_largest()
            if victim is None:
                continue
            if state.name == work.rank:
                return self._victim_if_larger(
                    state.fair_queue, victim, work, cost
                )
            rank = self._config.rank(state.name)
            if rank.level <= level:
                return None
            if not self._is_within_share(state, rank.share):
                return victim
        return None

    def _is_within_share(self, state: shares.RankState, share: float) -> bool:
        """Whether a rank uses no more than its share of the queue."""
        return (
            state.fair_queue.tokens <= share * self._limits.queued_tokens
            and len(state.fair_queue) <= share * self._limits.queued_requests
        )

    def _victim_if_larger(
        self,
        fair_queue: fairness.FairQueue,
        victim: fairness.QueuedRequest,
        work: request.WorkItem,
        cost: int,
    ) -> fairness.QueuedRequest | None:
        """Returns the victim if its flow is larger than the request's own.

        The flows are the callers if both are of one workspace, otherwise the
        workspaces by weight.
        """
        victim_work = victim.work
        if victim_work.workspace == work.workspace:
            victim_caller_tokens, _ = fair_queue.caller_size(
                victim_work.workspace, victim_work.caller
            )
            caller_tokens, _ = fair_queue.caller_size(
                work.workspace, work.caller
            )
            return (
                victim if victim_caller_tokens > caller_tokens + cost else None
            )
        victim_tokens, _, victim_weight = fair_queue.workspace_size(
            victim_work.workspace
        )
        own_tokens, _, _ = fair_queue.workspace_size(work.workspace)
        own_weight = self._config.workspace_weight(work.workspace)
        larger = (
            victim_tokens / victim_weight > (own_tokens + cost) / own_weight
        )
        return victim if larger else None
