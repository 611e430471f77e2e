"""The waiting requests of all ranks, within the queue's bounds."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Mapping

from hibiscusstile import request
from hibiscusstile.admission import fairness, limits, meter, shares, table

__all__ = ["WaitingRoom"]

_SPARE_DEADLINES = 64


class WaitingRoom:
    """Holds what waits and decides who leaves when it is full.

    Args:
        queue_limits: Bounds.
        policy: Ranks and weights in force.
    """

    def __init__(
        self, queue_limits: limits.QueueLimits, policy: table.PolicyTable
    ) -> None:
        self._limits = queue_limits
        self._policy = policy
        self._states: dict[str, shares.RankState] = {}
        self._waiting: dict[str, fairness.Waiting] = {}
        self._tokens = 0
        self._deadlines: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()
        self._meter = meter.ServiceMeter(queue_limits.prefill_tokens_per_s)

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._waiting

    @property
    def tokens(self) -> int:
        """Tokens that wait."""
        return self._tokens

    @property
    def states(self) -> list[shares.RankState]:
        """The ranks with waiting requests, most urgent first."""
        states = [each for each in self._states.values() if each.waiting]
        if len(states) > 1:
            states.sort(key=lambda s: (self._policy.rank(s.name).level, s.name))
        return states

    @property
    def by_rank(self) -> Mapping[str, int]:
        """Requests that wait, by rank; 0 for ranks that are empty again."""
        return {name: each.waiting for name, each in self._states.items()}

    @property
    def works(self) -> list[request.WorkItem]:
        """The waiting requests in order of arrival."""
        return [waiting.offered for waiting in self._waiting.values()]

    def state(self, rank_name: str) -> shares.RankState:
        """Returns a rank's state."""
        state = self._states.get(rank_name)
        if state is None:
            state = shares.RankState(
                rank_name, self._limits.prefill_tokens_per_s
            )
            self._states[rank_name] = state
        return state

    def tokens_per_s(self, now_s: float) -> float:
        """Returns the observed tokens per second of all ranks together."""
        return self._meter.tokens_per_s(now_s)

    def tokens_above(self, rank_name: str) -> int:
        """Returns the waiting tokens of the ranks above one."""
        level = self._policy.rank(rank_name).level
        return sum(
            state.fair.tokens
            for state in self._states.values()
            if self._policy.rank(state.name).level < level
        )

    def add(
        self,
        work: request.WorkItem,
        offered: request.WorkItem,
        cost: int,
        now_s: float,
        deadline_s: float,
    ) -> None:
        """Adds a request; see `fairness.Waiting` for its two forms."""
        number = next(self._numbers)
        size = work.prompt_tokens + work.max_tokens
        waiting = fairness.Waiting(
            work, offered, size, cost, number, now_s, deadline_s
        )
        state = self.state(work.rank)
        state.add(waiting, self._policy.weight(work.workspace))
        state.note_length(now_s)
        self._waiting[work.work_id] = waiting
        self._tokens += waiting.cost
        self._meter.start_backlog(now_s)
        heapq.heappush(self._deadlines, (deadline_s, number, work.work_id))

    def remove(self, work_id: str, now_s: float) -> bool:
        """Removes a request that does not start; False if none waits."""
        waiting = self._waiting.get(work_id)
        if waiting is None:
            return False
        self.state(waiting.work.rank).remove(waiting)
        self.forget(waiting, now_s)
        return True

    def start(
        self,
        state: shares.RankState,
        waiting: fairness.Waiting,
        now_s: float,
    ) -> tuple[shares.Booking, ...]:
        """Removes a request that starts and books it on the ranks."""
        for each in self._states.values():
            each.decay(now_s)
        bookings = shares.book_start(
            state,
            [(s, self._policy.rank(s.name).share) for s in self.states],
            waiting.cost,
            self._limits.running_tokens,
        )
        shares.repay(
            [
                (each, self._policy.rank(each.name).share)
                for each in self._states.values()
                if each.waiting == 0
            ],
            waiting.cost,
        )
        state.start(waiting, now_s)
        if waiting.offered_s < now_s:
            self._meter.count_started(waiting.cost, now_s)
        self.forget(waiting, now_s)
        return bookings

    def remove_late(self, now_s: float) -> list[request.WorkItem]:
        """Removes and returns the requests past their deadline."""
        late = []
        while self._deadlines and self._deadlines[0][0] < now_s:
            _, number, work_id = heapq.heappop(self._deadlines)
            waiting = self._waiting.get(work_id)
            if waiting is not None and waiting.number == number:
                self.remove(work_id, now_s)
                late.append(waiting.offered)
        return late

    def is_over_bound(self, work: request.WorkItem, cost: int) -> bool:
        """Whether the caller has its part of the queue already."""
        state = self.state(work.rank)
        if work.suspect:
            most = self._limits.queued_requests * self._limits.caller_share
            return len(state.suspects) >= max(1, most)
        tokens, requests = state.fair.caller_size(work.workspace, work.caller)
        return self._exceeds(tokens, requests, cost, self._limits.caller_share)

    def make_room(
        self, work: request.WorkItem, cost: int
    ) -> list[fairness.Waiting] | None:
        """Removes requests from their ranks until one more fits.

        Returns:
            The removed ones, for `forget` or `put_back`; None, with nothing
            removed, if the new request has no better claim than they.
        """
        victims: list[fairness.Waiting] = []
        tokens = self._tokens + cost
        requests = len(self._waiting) + 1
        while True:
            if self._is_workspace_full(work, cost):
                victim = self._victim_in_workspace(work, cost)
            elif requests > self._limits.queued_requests or (
                tokens > self._limits.queued_tokens and requests > 1
            ):
                victim = self._victim(work, cost)
            else:
                return victims
            if victim is None:
                self.put_back(victims)
                return None
            self.state(victim.work.rank).remove(victim)
            victims.append(victim)
            tokens -= victim.cost
            requests -= 1

    def put_back(self, victims: list[fairness.Waiting]) -> None:
        """Undoes `make_room`."""
        for victim in reversed(victims):
            weight = self._policy.weight(victim.work.workspace)
            self.state(victim.work.rank).add(victim, weight)

    def forget(self, waiting: fairness.Waiting, now_s: float) -> None:
        """Drops a request that its rank has already removed."""
        del self._waiting[waiting.work.work_id]
        self._tokens -= waiting.cost
        self.state(waiting.work.rank).note_length(now_s)
        if not self._waiting:
            self._meter.end_backlog(now_s)
        if len(self._deadlines) > 2 * len(self._waiting) + _SPARE_DEADLINES:
            self._deadlines = [
                (each.deadline_s, each.number, each.work.work_id)
                for each in self._waiting.values()
            ]
            heapq.heapify(self._deadlines)

    def _exceeds(
        self, tokens: int, requests: int, cost: int, part: float
    ) -> bool:
        """Whether one more request exceeds a part; one is always allowed."""
        if not requests:
            return False
        return (
            requests + 1 > self._limits.queued_requests * part
            or tokens + cost > self._limits.queued_tokens * part
        )

    def _is_workspace_full(self, work: request.WorkItem, cost: int) -> bool:
        if work.suspect:
            return False
        fair = self.state(work.rank).fair
        tokens, requests, _ = fair.workspace_size(work.workspace)
        part = self._limits.workspace_share
        return self._exceeds(tokens, requests, cost, part)

    def _victim_in_workspace(
        self, work: request.WorkItem, cost: int
    ) -> fairness.Waiting | None:
        fair = self.state(work.rank).fair
        victim = fair.newest_of_workspace(work.workspace)
        if victim is None:
            return None
        return self._if_larger(fair, victim, work, cost)

    def _victim(
        self, work: request.WorkItem, cost: int
    ) -> fairness.Waiting | None:
        level = self._policy.rank(work.rank).level
        for state in reversed(self.states):
            victim = state.fair.newest_of_largest()
            if victim is None:
                continue
            if state.name == work.rank:
                return self._if_larger(state.fair, victim, work, cost)
            rank = self._policy.rank(state.name)
            if rank.level <= level:
                return None
            if not self._is_within_share(state, rank.share):
                return victim
        return None

    def _is_within_share(self, state: shares.RankState, share: float) -> bool:
        """Whether a rank has no more than its share of the queue."""
        return (
            state.fair.tokens <= share * self._limits.queued_tokens
            and len(state.fair) <= share * self._limits.queued_requests
        )

    def _if_larger(
        self,
        fair: fairness.FairQueue,
        victim: fairness.Waiting,
        work: request.WorkItem,
        cost: int,
    ) -> fairness.Waiting | None:
        other = victim.work
        if other.workspace == work.workspace:
            theirs, _ = fair.caller_size(other.workspace, other.caller)
            ours, _ = fair.caller_size(work.workspace, work.caller)
            return victim if theirs > ours + cost else None
        tokens, _, weight = fair.workspace_size(other.workspace)
        own_tokens, _, _ = fair.workspace_size(work.workspace)
        own_weight = self._policy.weight(work.workspace)
        larger = tokens / weight > (own_tokens + cost) / own_weight
        return victim if larger else None
