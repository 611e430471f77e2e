"""The admission queue: which requests start, wait or are refused."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome, request
from hibiscusstile.admission import (
    estimate,
    fairness,
    limits,
    scheduler,
    schedulingconfig,
    shares,
    waitingset,
)
from hibiscusstile.admission import running as running_lib
from hibiscusstile.configuration import view

__all__ = ["AdmissionQueue", "ShedRequest"]

# Requests are admitted only if the expected wait is within this fraction of
# their time limit; with estimates near the limit, many would expire.
_MAX_WAIT_FRACTION = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class ShedRequest:
    """A waiting request that was displaced by another one.

    Attributes:
        work: The request.
        refusal: The reason, with the verdict `not_run`.
    """

    work: request.WorkItem
    refusal: outcome.Refusal


class AdmissionQueue:
    """Decides which requests start, wait or are refused.

    Ranks are served by priority, but each keeps its share of the tokens while
    it has requests waiting. Within a rank, tokens are divided among
    workspaces by weight, and within a workspace equally among callers.
    Operations take O(log n) for n waiting requests.

    Args:
        clock: Measures deadlines and rates.
        queue_limits: Limits of the queue.
        ranks: Returns the current rank records by name.
        workspaces: Returns the current workspace records by name.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        queue_limits: limits.QueueLimits,
        ranks: Callable[[], Mapping[str, view.Rank]] = dict,
        workspaces: Callable[[], Mapping[str, view.Workspace]] = dict,
    ) -> None:
        self._clock = clock
        self._limits = queue_limits
        self._config = schedulingconfig.SchedulingConfig(ranks, workspaces)
        self._waiting = waitingset.WaitingSet(queue_limits, self._config)
        self._running = running_lib.RunningSet(queue_limits)
        self._scheduler = scheduler.Scheduler(
            self._config, self._waiting, self._running
        )
        self._pause_refusal: outcome.Refusal | None = None
        self._expired: list[request.WorkItem] = []
        self._shed: list[ShedRequest] = []

    @property
    def running(self) -> int:
        """Number of requests on the backend server."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def waiting_by_rank(self) -> Mapping[str, int]:
        """Number of waiting requests by rank; 0 for ranks now empty."""
        return self._waiting.by_rank

    @property
    def load(self) -> int:
        """Estimated tokens of running and waiting requests."""
        return self._running.tokens + self._waiting.tokens

    def pause(self, refusal: outcome.Refusal) -> None:
        """Refuses new requests and starts none until `resume`.

        Args:
            refusal: The refusal to return, with the verdict `not_run`.
        """
        self._pause_refusal = refusal

    def resume(self) -> None:
        """Ends a pause."""
        self._pause_refusal = None

    def check(
        self, work: request.WorkItem, cached_tokens: int = 0
    ) -> outcome.Refusal | None:
        """Returns the refusal that `offer` would return now, None for none.

        The request is counted as demand of its caller.

        Args:
            work: The request.
            cached_tokens: Prompt tokens that are in the engine's cache.
        """
        cost = shares.estimate_cost(work, cached_tokens)
        now_s = self._clock.monotonic()
        work = self._count_demand(work, cost, now_s)
        limit_s = self._config.rank(work.rank).queue_time.total_seconds()
        refusal = self._admission_refusal(work, cost, limit_s, now_s)
        if refusal is not None:
            return refusal
        victims = self._waiting.evict_for(work, cost)
        if victims is None:
            return self._queue_full_refusal(work, cost)
        self._waiting.restore(victims)
        return None

    def offer(
        self,
        work: request.WorkItem,
        deadline_s: float,
        cached_tokens: int = 0,
    ) -> outcome.Refusal | None:
        """Adds a request to the queue, or returns why it is refused.

        In a full queue it may displace others; see `pop_shed`.

        Args:
            work: The request; its `work_id` must be unique in the queue.
            deadline_s: Monotonic time after which it must not start. The
                queue time of its rank may end earlier.
            cached_tokens: Prompt tokens that are in the engine's cache.
        """
        cost = shares.estimate_cost(work, cached_tokens)
        now_s = self._clock.monotonic()
        queue_time_s = self._config.rank(work.rank).queue_time.total_seconds()
        limit_s = min(queue_time_s, deadline_s - now_s)
        refusal = self._invalid_refusal(work, limit_s)
        offered = work
        work = self._count_demand(work, cost, now_s)
        if refusal is None:
            refusal = self._admission_refusal(work, cost, limit_s, now_s)
        if refusal is not None:
            return refusal
        victims = self._waiting.evict_for(work, cost)
        if victims is None:
            return self._queue_full_refusal(work, cost)
        self._waiting.add(work, offered, cost, now_s, now_s + limit_s)
        for victim in victims:
            self._waiting.drop(victim, now_s)
            self._shed.append(
                ShedRequest(
                    victim.offered_work, self._displaced_refusal(victim)
                )
            )
        return None

    def pop_shed(self) -> list[ShedRequest]:
        """Removes and returns the requests displaced since the last call."""
        shed, self._shed = self._shed, []
        return shed

    def start_next(self) -> request.WorkItem | None:
        """Starts the next request; returns None if none may start now."""
        now_s = self._clock.monotonic()
        self._collect_expired(now_s)
        if self._running.full or self._pause_refusal is not None:
            return None
        selected = self._scheduler.select(now_s)
        if selected is None:
            return None
        state, queued = selected.state, selected.queued
        # While the next request is too large for the free tokens, no smaller
        # one starts in its place: the large one might never start.
        if not self._running.fits_tokens(queued.total_tokens):
            return None
        credit_changes = self._waiting.start(state, queued, now_s)
        self._running.add(
            running_lib.RunningRequest(
                queued, state, selected.priority_class, credit_changes
            )
        )
        return queued.offered_work

    def note_prefill_done(self, work_id: str) -> None:
        """Records that the engine has computed a request's prompt.

        Args:
            work_id: The request; ignored if it is not running.
        """
        self._running.note_prefill_done(work_id)

    def priority(self, work_id: str) -> int | None:
        """Returns the engine priority of a running request, lowest first.

        Within a rank, requests of callers with several times the mean demand
        come last.

        Args:
            work_id: The request; the result is None if it is not running.
        """
        return self._running.priority(work_id)

    def finish(self, work_id: str, served_tokens: int) -> None:
        """Removes a running request that has ended.

        Args:
            work_id: The request; ignored if it is not running.
            served_tokens: Tokens that the engine computed for it.
        """
        ended = self._running.pop(work_id)
        if ended is None:
            return
        cost = ended.queued.cost
        ended.state.fair_queue.correct_charge(ended.queued, served_tokens)
        shares.settle(
            ended.credit_changes,
            cost,
            served_tokens,
            self._limits.running_tokens,
        )

    def cancel(self, work_id: str) -> bool:
        """Removes a waiting request; False if it is not waiting."""
        return self._waiting.remove(work_id, self._clock.monotonic())

    def expire(self) -> list[request.WorkItem]:
        """Removes and returns the waiting requests past their deadline."""
        self._collect_expired(self._clock.monotonic())
        expired, self._expired = self._expired, []
        return expired

    def drain(self) -> list[request.WorkItem]:
        """Removes and returns all waiting requests."""
        waiting = self._waiting.work_items
        for work in waiting:
            self.cancel(work.work_id)
        return waiting

    def expected_wait_s(
        self, work: request.WorkItem, cached_tokens: int = 0
    ) -> float:
        """Returns the expected seconds until a new request starts.

        Args:
            work: The request.
            cached_tokens: Prompt tokens that are in the engine's cache.
        """
        cost = shares.estimate_cost(work, cached_tokens)
        return self._estimate_wait_s(
            self._with_queue_rank(work, self._clock.monotonic()), cost
        )

    def _count_demand(
        self, work: request.WorkItem, cost: int, now_s: float
    ) -> request.WorkItem:
        """Counts the request as demand; returns it with its queue's rank."""
        demand = self._waiting.rank_state(work.rank).demand
        demand.add(work.workspace, work.caller, cost, now_s)
        return self._with_queue_rank(work, now_s)

    def _with_queue_rank(
        self, work: request.WorkItem, now_s: float
    ) -> request.WorkItem:
        demand = self._waiting.rank_state(work.rank).demand
        if not demand.is_excess(work.workspace, work.caller, now_s):
            return work
        return dataclasses.replace(
            work, rank=self._config.excess_rank_name(work.rank)
        )

    def _estimate_wait_s(self, work: request.WorkItem, cost: int) -> float:
        now_s = self._clock.monotonic()
        state = self._waiting.rank_state(work.rank)
        higher_rank_tokens = self._waiting.higher_rank_tokens(work.rank)
        none_ahead = not state.waiting and not higher_rank_tokens
        if none_ahead and self._running.can_start(
            work,
            max(0, cost - work.max_tokens),
            self._scheduler.priority_class(work, now_s),
        ):
            return 0.0
        if work.suspect:
            tokens_ahead = float(
                sum(each.cost for each in state.suspects.values())
            )
        else:
            weight = self._config.workspace_weight(work.workspace)
            tokens_ahead = state.fair_queue.tokens_ahead(work, weight)
        return estimate.expected_wait_s(
            estimate.QueuePosition(
                tokens_ahead=tokens_ahead,
                higher_rank_tokens=higher_rank_tokens,
                cost=cost,
                share=self._config.rank(work.rank).share,
                mean_running_tokens=self._running.mean_tokens,
            ),
            state.meter.tokens_per_s(now_s),
            self._waiting.tokens_per_s(now_s),
        )

    def _invalid_refusal(
        self, work: request.WorkItem, limit_s: float
    ) -> outcome.Refusal | None:
        if work.work_id in self._waiting or work.work_id in self._running:
            return outcome.Refusal(
                outcome.Reason.OVERLOADED,
                "a request with this id is already waiting or running",
            )
        if limit_s <= 0:
            return outcome.Refusal(
                outcome.Reason.EXPIRED,
                "the deadline of the request has already passed",
            )
        return None

    def _admission_refusal(
        self, work: request.WorkItem, cost: int, limit_s: float, now_s: float
    ) -> outcome.Refusal | None:
        self._collect_expired(now_s)
        if self._pause_refusal is not None:
            return self._pause_refusal
        wait_s = self._estimate_wait_s(work, cost)
        max_wait_s = limit_s * _MAX_WAIT_FRACTION
        if wait_s > max_wait_s:
            return estimate.overload_refusal(
                f"the expected wait of {wait_s:.1f} s is too long for the"
                f" remaining {limit_s:.1f} s",
                wait_s - max_wait_s,
            )
        if self._waiting.exceeds_caller_share(work, cost):
            return estimate.overload_refusal(
                "the caller already uses its full share of the queue", wait_s
            )
        return None

    def _queue_full_refusal(
        self, work: request.WorkItem, cost: int
    ) -> outcome.Refusal:
        return estimate.overload_refusal(
            "the queue is full", self._estimate_wait_s(work, cost)
        )

    def _displaced_refusal(
        self, victim: fairness.QueuedRequest
    ) -> outcome.Refusal:
        return estimate.overload_refusal(
            "the queue is full and this caller has the most tokens waiting",
            self._estimate_wait_s(victim.work, victim.cost),
        )

    def _collect_expired(self, now_s: float) -> None:
        self._expired += self._waiting.remove_expired(now_s)
