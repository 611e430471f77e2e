"""State of one rank in the queue: what waits and what it is owed."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from hibiscusstile import request
from hibiscusstile.admission import demand, fairness, meter

__all__ = [
    "CreditChange",
    "RankState",
    "charge_start",
    "estimate_cost",
    "restore_credit",
    "settle",
]


_DEBT_HALF_LIFE_S = 3.0


class RankState:
    """What waits in one rank.

    Attributes:
        name: The rank's name.
        fair_queue: Its waiting requests but for the suspects.
        suspects: Its waiting suspects by work id, in order of arrival.
        meter: Observed rate at which its requests start.
        demand: Recent demand by its callers.
        credit_tokens: Tokens that it is owed for its share; negative after
            service.
    """

    __slots__ = (
        "_debt_updated_s",
        "credit_tokens",
        "demand",
        "fair_queue",
        "meter",
        "name",
        "suspects",
    )

    def __init__(self, name: str, prior_rate: float) -> None:
        self.name = name
        self.fair_queue = fairness.FairQueue()
        self.suspects: collections.OrderedDict[str, fairness.QueuedRequest] = (
            collections.OrderedDict()
        )
        self.meter = meter.ServiceMeter(prior_rate)
        self.demand = demand.DemandMeter()
        self.credit_tokens = 0.0
        self._debt_updated_s = 0.0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self.fair_queue) + len(self.suspects)

    def add(self, queued: fairness.QueuedRequest, weight: float) -> None:
        """Adds a waiting request."""
        if queued.work.suspect:
            self.suspects[queued.work.work_id] = queued
        else:
            self.fair_queue.add(queued, weight)

    def remove(self, queued: fairness.QueuedRequest) -> None:
        """Removes a request that does not start."""
        if queued.work.suspect:
            del self.suspects[queued.work.work_id]
        else:
            self.fair_queue.remove(queued)

    def start(self, queued: fairness.QueuedRequest, now_s: float) -> None:
        """Removes a request that starts."""
        if queued.work.suspect:
            del self.suspects[queued.work.work_id]
            self.fair_queue.charge_unqueued(queued)
        else:
            self.fair_queue.start(queued)
        if queued.offered_s < now_s:
            self.meter.count_started(queued.cost, now_s)

    def heads(self, suspect_runs: bool) -> Iterator[fairness.QueuedRequest]:
        """Yields the first request of each caller, in order of turn.

        Args:
            suspect_runs: Whether a suspect runs, so that no other may start.
        """
        suspect = None
        if self.suspects and not suspect_runs:
            suspect = next(iter(self.suspects.values()))
        for head in self.fair_queue.heads():
            if (
                suspect is not None
                and suspect.arrival_number < head.arrival_number
            ):
                yield suspect
                suspect = None
            yield head
        if suspect is not None:
            yield suspect

    def decay_debt(self, now_s: float) -> None:
        """Lets a debt fade.

        One long prompt may cost as much as the rank's share of ten seconds;
        its debt would otherwise shut the rank out at the start of a flood.
        """
        elapsed_s = now_s - self._debt_updated_s
        self._debt_updated_s = now_s
        if self.credit_tokens < 0.0:
            self.credit_tokens *= 0.5 ** (elapsed_s / _DEBT_HALF_LIFE_S)

    def note_queue_change(self, now_s: float) -> None:
        """Follows a change of what waits.

        A rank that has nothing waiting forfeits what it is owed.
        """
        if self.waiting:
            self.meter.start_backlog(now_s)
        else:
            self.meter.end_backlog(now_s)
            self.credit_tokens = min(self.credit_tokens, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class CreditChange:
    """A change of what a rank is owed, made on an estimated cost."""

    state: RankState
    tokens: float


def charge_start(
    started_rank: RankState,
    shares: Iterable[tuple[RankState, float]],
    cost: int,
    max_credit: float,
) -> tuple[CreditChange, ...]:
    """Books a start on the ranks with waiting requests.

    Each waiting rank is owed its share of the tokens that others receive, and
    a start reduces its balance by the other ranks' part of the cost. While no
    other rank waits, the debt grows no larger than one start makes it: a rank
    that used an idle engine is not made to wait for it later.

    Args:
        started_rank: The rank of the request that starts.
        shares: The ranks with waiting requests and their shares, 0 to 1.
        cost: Estimated tokens.
        max_credit: Bound of a balance, in tokens.

    Returns:
        The changes, for `settle` once the true cost is known.
    """
    waiting_ranks = list(shares)
    credit_changes = []
    for state, share in waiting_ranks:
        before = state.credit_tokens
        if state is started_rank:
            debt = (1.0 - share) * cost
            min_credit = -max_credit if len(waiting_ranks) > 1 else -debt
            state.credit_tokens = max(before - debt, min(before, min_credit))
        else:
            state.credit_tokens = min(max_credit, before + share * cost)
        credit_changes.append(CreditChange(state, state.credit_tokens - before))
    return tuple(credit_changes)


def restore_credit(
    states: Iterable[tuple[RankState, float]], cost: int
) -> None:
    """Lets ranks without waiting requests work off what they have had.

    A debt that only waiting could repay would meet the rank's next requests
    after any length of time, in which others received all the service.

    Args:
        states: Ranks with nothing waiting, and their shares, 0 to 1.
        cost: Tokens of another rank's start.
    """
    for state, share in states:
        if state.credit_tokens < 0.0:
            state.credit_tokens = min(0.0, state.credit_tokens + share * cost)


def settle(
    credit_changes: Iterable[CreditChange],
    cost: int,
    served: int,
    max_credit: float,
) -> None:
    """Corrects credit_changes once the served tokens are known."""
    overestimate = 1.0 - served / cost if cost else 0.0
    for credit_change in credit_changes:
        state = credit_change.state
        max_credit_now = max_credit if state.waiting else 0.0
        state.credit_tokens = min(
            max_credit_now,
            state.credit_tokens - credit_change.tokens * overestimate,
        )


def estimate_cost(work: request.WorkItem, cached_tokens: int) -> int:
    """Returns the tokens to compute, as estimated before a request runs.

    Args:
        work: The request.
        cached_tokens: Prompt tokens that the engine holds in cache.
    """
    prefill = max(0, work.prompt_tokens - cached_tokens)
    return max(1, prefill + work.max_tokens)
