"""The admission queue."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome, request
from hibiscusstile.admission import (
    estimate,
    fairness,
    limits,
    room,
    running,
    shares,
    table,
)
from hibiscusstile.configuration import view

__all__ = ["AdmissionQueue", "Shed"]

# Work is accepted only if its expected wait is within this part of its time
# limit, since an estimate near the limit lets much of it expire.
_SAFE_PART = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
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
        self._running = running.RunningSet(queue_limits)
        self._late: list[request.WorkItem] = []
        self._shed: list[Shed] = []

    @property
    def running(self) -> int:
        """Requests handed to the backend server."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._room)

    @property
    def load(self) -> int:
        """Running and waiting tokens, as estimated before they run."""
        return self._running.tokens + self._room.tokens

    def check(self, work: request.WorkItem) -> outcome.Refusal | None:
        """Returns the refusal that `offer` would give now, if any."""
        now_s = self._clock.monotonic()
        limit_s = self._policy.rank(work.rank).queue_time.total_seconds()
        refusal = self._early_refusal(work, limit_s, now_s)
        if refusal is not None:
            return refusal
        victims = self._room.make_room(work)
        if victims is None:
            return self._full(work)
        self._room.put_back(victims)
        return None

    def offer(
        self, work: request.WorkItem, deadline_s: float
    ) -> outcome.Refusal | None:
        """Takes a request into the queue, or refuses it.

        In a full queue it may displace others, which `shed` returns.

        Args:
            work: The request; its `work_id` must be fresh.
            deadline_s: Monotonic time after which it is not to start. The
                rank's queue time may end earlier.
        """
        now_s = self._clock.monotonic()
        queue_time_s = self._policy.rank(work.rank).queue_time.total_seconds()
        limit_s = min(queue_time_s, deadline_s - now_s)
        refusal = self._misfit(work, limit_s)
        if refusal is None:
            refusal = self._early_refusal(work, limit_s, now_s)
        if refusal is not None:
            return refusal
        victims = self._room.make_room(work)
        if victims is None:
            return self._full(work)
        self._room.add(work, now_s, now_s + limit_s)
        for victim in victims:
            self._room.forget(victim, now_s)
            self._shed.append(Shed(victim.work, self._displaced(victim.work)))
        return None

    def shed(self) -> list[Shed]:
        """Returns the requests displaced since the last call."""
        shed, self._shed = self._shed, []
        return shed

    def take(self) -> request.WorkItem | None:
        """Returns the next request to start, None if none may start now."""
        now_s = self._clock.monotonic()
        self._drop_late(now_s)
        if self._running.full:
            return None
        chosen = self._next()
        if chosen is None:
            return None
        state, waiting = chosen
        # A smaller request does not overtake one that is due and too large
        # for the free tokens, which would otherwise never start.
        if not self._running.has_room(waiting.cost):
            return None
        bookings = self._room.start(state, waiting, now_s)
        lower = self._policy.is_lower(state.name)
        self._running.add(running.Running(waiting, state, lower, bookings))
        return waiting.work

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

    def wait_s(self, work: request.WorkItem) -> float:
        """Returns the expected seconds until a new request would start."""
        now_s = self._clock.monotonic()
        state = self._room.state(work.rank)
        cost = shares.cost_of(work)
        higher = self._room.tokens_above(work.rank)
        lower = self._policy.is_lower(work.rank)
        none_ahead = not state.waiting and not higher
        if none_ahead and self._running.may_start(
            cost, lower=lower, suspect=work.suspect
        ):
            return 0.0
        if work.suspect:
            ahead = float(sum(each.cost for each in state.suspects.values()))
        else:
            weight = self._policy.weight(work.workspace)
            ahead = state.fair.tokens_ahead(work, weight)
        return estimate.wait_s(
            estimate.Position(
                ahead=ahead,
                higher=higher,
                cost=cost,
                share=self._policy.rank(work.rank).share,
                mean_running=self._running.mean_tokens,
            ),
            state.meter.rate(now_s),
            self._room.rate(now_s),
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
        self, work: request.WorkItem, limit_s: float, now_s: float
    ) -> outcome.Refusal | None:
        self._drop_late(now_s)
        wait_s = self.wait_s(work)
        safe_s = limit_s * _SAFE_PART
        if wait_s > safe_s:
            return estimate.overloaded(
                f"the expected wait of {wait_s:.1f} s is too long for the"
                f" {limit_s:.1f} s left",
                wait_s - safe_s,
            )
        if self._room.is_over_bound(work):
            return estimate.overloaded(
                "the workspace or the caller has its part of the queue", wait_s
            )
        return None

    def _full(self, work: request.WorkItem) -> outcome.Refusal:
        return estimate.overloaded("the queue is full", self.wait_s(work))

    def _displaced(self, work: request.WorkItem) -> outcome.Refusal:
        return estimate.overloaded(
            "the queue is full and this caller has the most waiting",
            self.wait_s(work),
        )

    def _drop_late(self, now_s: float) -> None:
        self._late += self._room.remove_late(now_s)

    def _next(self) -> tuple[shares.RankState, fairness.Waiting] | None:
        """Returns the most urgent head, or that of a rank that is owed."""
        first: tuple[shares.RankState, fairness.Waiting] | None = None
        for state in self._room.states:
            head = state.head(self._running.has_suspect)
            if head is None:
                continue
            if self._is_due(state, head, first[1].cost if first else 0):
                return state, head
            if first is None and (
                not self._policy.is_lower(state.name)
                or self._running.leaves_headroom(head.cost)
            ):
                first = state, head
        return first

    def _is_due(
        self, state: shares.RankState, head: fairness.Waiting, first_cost: int
    ) -> bool:
        """Whether a rank is served for its share.

        It is counted as if the head of the more urgent rank had started, so
        that the share holds after that start too.
        """
        share = self._policy.rank(state.name).share
        return (
            share > 0
            and state.owed + share * first_cost > 0
            and self._running.may_pass_headroom(head.cost)
        )
