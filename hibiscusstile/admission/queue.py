"""The admission queue."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome, request
from hibiscusstile.admission import (
    choice,
    estimate,
    fairness,
    limits,
    room,
    shares,
    table,
)
from hibiscusstile.admission import running as running_lib
from hibiscusstile.configuration import view

__all__ = ["AdmissionQueue", "ShedRequest"]

# Work is accepted only if its expected wait is within this part of its time
# limit, since an estimate near the limit lets much of it expire.
_SAFE_PART = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class ShedRequest:
    """A waiting request that had to leave for another one.

    Attributes:
        work: The request.
        refusal: Why, always `not_run`.
    """

    work: request.WorkItem
    refusal: outcome.Refusal


class AdmissionQueue:
    """Decides which requests run, wait or are refused.

    The most urgent rank goes first, every rank keeps its share of tokens,
    and within a rank workspaces and then callers receive equal tokens per
    weight. Operations take O(log n) for n waiting requests.

    Args:
        clock: Measures deadlines and rates.
        queue_limits: Bounds.
        ranks: Returns the rank records in force, by name.
        workspaces: Returns the workspace records in force, by name.
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
        self._policy = table.PolicyTable(ranks, workspaces)
        self._room = room.WaitingRoom(queue_limits, self._policy)
        self._running = running_lib.RunningSet(queue_limits)
        self._chooser = choice.Chooser(self._policy, self._room, self._running)
        self._pause: outcome.Refusal | None = None
        self._late: list[request.WorkItem] = []
        self._shed: list[ShedRequest] = []

    @property
    def running(self) -> int:
        """Requests handed to the backend server."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._room)

    @property
    def waiting_by_rank(self) -> Mapping[str, int]:
        """Requests that wait, by rank; 0 for ranks that are empty again."""
        return self._room.by_rank

    @property
    def load(self) -> int:
        """Running and waiting tokens, as estimated before they run."""
        return self._running.tokens + self._room.tokens

    def pause(self, refusal: outcome.Refusal) -> None:
        """Refuses every new request until `resume`; none starts meanwhile.

        Args:
            refusal: What they are told, with the verdict `not_run`.
        """
        self._pause = refusal

    def resume(self) -> None:
        """Takes requests again."""
        self._pause = None

    def check(
        self, work: request.WorkItem, cached_tokens: int = 0
    ) -> outcome.Refusal | None:
        """Returns the refusal that `offer` would give now, if any.

        Args:
            work: The request.
            cached_tokens: Prompt tokens that the engine holds in cache.
        """
        cost = shares.cost_of(work, cached_tokens)
        now_s = self._clock.monotonic()
        work = self._ranked(work, cost, now_s)
        limit_s = self._policy.rank(work.rank).queue_time.total_seconds()
        refusal = self._early_refusal(work, cost, limit_s, now_s)
        if refusal is not None:
            return refusal
        victims = self._room.make_room(work, cost)
        if victims is None:
            return self._full(work, cost)
        self._room.put_back(victims)
        return None

    def offer(
        self,
        work: request.WorkItem,
        deadline_s: float,
        cached_tokens: int = 0,
    ) -> outcome.Refusal | None:
        """Takes a request into the queue, or refuses it.

        In a full queue it may displace others, which `pop_shed` returns.

        Args:
            work: The request; its `work_id` must be fresh.
            deadline_s: Monotonic time after which it is not to start. The
                rank's queue time may end earlier.
            cached_tokens: Prompt tokens that the engine holds in cache.
        """
        cost = shares.cost_of(work, cached_tokens)
        now_s = self._clock.monotonic()
        queue_time_s = self._policy.rank(work.rank).queue_time.total_seconds()
        limit_s = min(queue_time_s, deadline_s - now_s)
        refusal = self._misfit(work, limit_s)
        offered = work
        work = self._ranked(work, cost, now_s)
        if refusal is None:
            refusal = self._early_refusal(work, cost, limit_s, now_s)
        if refusal is not None:
            return refusal
        victims = self._room.make_room(work, cost)
        if victims is None:
            return self._full(work, cost)
        self._room.add(work, offered, cost, now_s, now_s + limit_s)
        for victim in victims:
            self._room.forget(victim, now_s)
            self._shed.append(
                ShedRequest(victim.offered, self._displaced(victim))
            )
        return None

    def pop_shed(self) -> list[ShedRequest]:
        """Returns the requests displaced since the last call."""
        shed, self._shed = self._shed, []
        return shed

    def start_next(self) -> request.WorkItem | None:
        """Returns the next request to start, None if none may start now."""
        now_s = self._clock.monotonic()
        self._drop_late(now_s)
        if self._running.full or self._pause is not None:
            return None
        chosen = self._chooser.next(now_s)
        if chosen is None:
            return None
        state, waiting = chosen.state, chosen.waiting
        # A smaller request does not overtake one that is due and too large
        # for the free tokens, which would otherwise never start.
        if not self._running.has_room(waiting.size):
            return None
        bookings = self._room.start(state, waiting, now_s)
        self._running.add(
            running_lib.Running(waiting, state, chosen.standing, bookings)
        )
        return waiting.offered

    def note_prefill_done(self, work_id: str) -> None:
        """Notes that the engine has computed a request's prompt.

        Args:
            work_id: The request; unknown ones are ignored.
        """
        self._running.note_prefill_done(work_id)

    def priority(self, work_id: str) -> int | None:
        """Returns the priority for the engine, where lower runs first.

        Within a rank, work of a caller who uses several times the others'
        mean comes after theirs.

        Args:
            work_id: The request; None is returned if it does not run.
        """
        return self._running.priority(work_id)

    def finish(self, work_id: str, served_tokens: int) -> None:
        """Frees the place of a request that ended.

        Args:
            work_id: The request; unknown ones are ignored.
            served_tokens: Tokens the engine computed for it.
        """
        ended = self._running.pop(work_id)
        if ended is None:
            return
        cost = ended.waiting.cost
        ended.state.fair.correct(ended.waiting, served_tokens)
        shares.settle(
            ended.bookings, cost, served_tokens, self._limits.running_tokens
        )

    def cancel(self, work_id: str) -> bool:
        """Removes a waiting request; False if it does not wait."""
        return self._room.remove(work_id, self._clock.monotonic())

    def expire(self) -> list[request.WorkItem]:
        """Removes and returns waiting requests past their deadline."""
        self._drop_late(self._clock.monotonic())
        late, self._late = self._late, []
        return late

    def drain(self) -> list[request.WorkItem]:
        """Removes and returns all waiting requests."""
        works = self._room.works
        for work in works:
            self.cancel(work.work_id)
        return works

    def expected_wait_s(
        self, work: request.WorkItem, cached_tokens: int = 0
    ) -> float:
        """Returns the expected seconds until a new request would start.

        Args:
            work: The request.
            cached_tokens: Prompt tokens that the engine holds in cache.
        """
        cost = shares.cost_of(work, cached_tokens)
        return self._wait_s(self._in_queue(work, self._clock.monotonic()), cost)

    def _ranked(
        self, work: request.WorkItem, cost: int, now_s: float
    ) -> request.WorkItem:
        """Counts the demand; returns the work under the rank it waits in."""
        demand = self._room.state(work.rank).demand
        demand.add(work.workspace, work.caller, cost, now_s)
        return self._in_queue(work, now_s)

    def _in_queue(
        self, work: request.WorkItem, now_s: float
    ) -> request.WorkItem:
        demand = self._room.state(work.rank).demand
        if not demand.is_excess(work.workspace, work.caller, now_s):
            return work
        return dataclasses.replace(work, rank=self._policy.excess_of(work.rank))

    def _wait_s(self, work: request.WorkItem, cost: int) -> float:
        now_s = self._clock.monotonic()
        state = self._room.state(work.rank)
        higher = self._room.tokens_above(work.rank)
        none_ahead = not state.waiting and not higher
        if none_ahead and self._running.may_start(
            work,
            max(0, cost - work.max_tokens),
            self._chooser.standing(work, now_s),
        ):
            return 0.0
        if work.suspect:
            ahead = float(sum(each.cost for each in state.suspects.values()))
        else:
            weight = self._policy.weight(work.workspace)
            ahead = state.fair.tokens_ahead(work, weight)
        return estimate.expected_wait_s(
            estimate.QueuePosition(
                tokens_ahead=ahead,
                higher_rank_tokens=higher,
                cost=cost,
                share=self._policy.rank(work.rank).share,
                mean_running_tokens=self._running.mean_tokens,
            ),
            state.meter.tokens_per_s(now_s),
            self._room.tokens_per_s(now_s),
        )

    def _misfit(
        self, work: request.WorkItem, limit_s: float
    ) -> outcome.Refusal | None:
        if work.work_id in self._room or work.work_id in self._running:
            return outcome.Refusal(
                outcome.Reason.OVERLOADED,
                "the request waits or runs here already",
            )
        if limit_s <= 0:
            return outcome.Refusal(
                outcome.Reason.EXPIRED, "the request came after its deadline"
            )
        return None

    def _early_refusal(
        self, work: request.WorkItem, cost: int, limit_s: float, now_s: float
    ) -> outcome.Refusal | None:
        self._drop_late(now_s)
        if self._pause is not None:
            return self._pause
        wait_s = self._wait_s(work, cost)
        safe_s = limit_s * _SAFE_PART
        if wait_s > safe_s:
            return estimate.overload_refusal(
                f"the expected wait of {wait_s:.1f} s is too long for the"
                f" {limit_s:.1f} s left",
                wait_s - safe_s,
            )
        if self._room.is_over_bound(work, cost):
            return estimate.overload_refusal(
                "the caller has its part of the queue already", wait_s
            )
        return None

    def _full(self, work: request.WorkItem, cost: int) -> outcome.Refusal:
        return estimate.overload_refusal(
            "the queue is full", self._wait_s(work, cost)
        )

    def _displaced(self, victim: fairness.Waiting) -> outcome.Refusal:
        return estimate.overload_refusal(
            "the queue is full and this caller has the most waiting",
            self._wait_s(victim.work, victim.cost),
        )

    def _drop_late(self, now_s: float) -> None:
        self._late += self._room.remove_late(now_s)
