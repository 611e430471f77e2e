"""Queue state of a rank, and the credit that guarantees its share."""

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
    """Waiting requests, measured rates and credit of one rank.

    Attributes:
        name: Name of the rank.
        fair_queue: Its waiting requests, except suspects.
        suspects: Its waiting requests that are suspected of crashing engines,
            by work id in order of arrival.
        meter: Measured rate at which its requests start.
        demand: Recent demand by its callers.
        credit_tokens: Tokens that it is still to receive for its guaranteed
            share; negative (a debt) after it was served more.
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
        """Number of waiting requests."""
        return len(self.fair_queue) + len(self.suspects)

    def add(self, queued: fairness.QueuedRequest, weight: float) -> None:
        """Adds a waiting request."""
        if queued.work.suspect:
            self.suspects[queued.work.work_id] = queued
        else:
            self.fair_queue.add(queued, weight)

    def remove(self, queued: fairness.QueuedRequest) -> None:
        """Removes a waiting request that does not start."""
        if queued.work.suspect:
            del self.suspects[queued.work.work_id]
        else:
            self.fair_queue.remove(queued)

    def start(self, queued: fairness.QueuedRequest, now_s: float) -> None:
        """Removes a waiting request that starts, and charges for it."""
        if queued.work.suspect:
            del self.suspects[queued.work.work_id]
            self.fair_queue.charge_unqueued(queued)
        else:
            self.fair_queue.start(queued)
        if queued.offered_s < now_s:
            self.meter.count_started(queued.cost, now_s)

    def heads(self, suspect_runs: bool) -> Iterator[fairness.QueuedRequest]:
        """Yields the first request of each caller, in order of service.

        The first suspect precedes the callers' requests that arrived later.

        Args:
            suspect_runs: Whether a suspect is running; no other may start
                then.
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
        """Reduces a debt exponentially over time.

        One long prompt may cost as much as the rank's share of ten seconds.
        Its debt would otherwise block the rank at the start of a flood.
        """
        elapsed_s = now_s - self._debt_updated_s
        self._debt_updated_s = now_s
        if self.credit_tokens < 0.0:
            self.credit_tokens *= 0.5 ** (elapsed_s / _DEBT_HALF_LIFE_S)

    def note_queue_change(self, now_s: float) -> None:
        """Updates the state after requests were added or removed.

        A rank without waiting requests loses its positive credit.
        """
        if self.waiting:
            self.meter.start_backlog(now_s)
        else:
            self.meter.end_backlog(now_s)
            self.credit_tokens = min(self.credit_tokens, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class CreditChange:
    """A change of a rank's credit that was based on an estimated cost."""

    state: RankState
    tokens: float


def charge_start(
    started_rank: RankState,
    shares: Iterable[tuple[RankState, float]],
    cost: int,
    max_credit: float,
) -> tuple[CreditChange, ...]:
    """Updates the credit of all waiting ranks when a request starts.

    Each other waiting rank gains its share of the cost. The rank that starts
    loses the rest of the cost. While no other rank is waiting, its debt is
    limited to that of one start, so that using an idle engine does not delay
    the rank later.

    Args:
        started_rank: The rank of the request that starts.
        shares: The waiting ranks and their shares, 0 to 1.
        cost: Estimated tokens of the request.
        max_credit: Limit of a credit or debt, in tokens.

    Returns:
        The changes, for `settle` once the actual cost is known.
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
    """Reduces the debt of ranks without waiting requests.

    If only waiting ranks reduced their debt, an old debt would delay a rank's
    next requests even if other ranks had been served for a long time since.

    Args:
        states: Ranks without waiting requests, and their shares, 0 to 1.
        cost: Estimated tokens of a request of another rank that starts.
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
    """Corrects credit changes once the served tokens are known.

    Args:
        credit_changes: Result of `charge_start`.
        cost: Estimated tokens of the request.
        served: Tokens that the engine computed for it.
        max_credit: Limit of a credit, in tokens.
    """
    overestimate = 1.0 - served / cost if cost else 0.0
    for credit_change in credit_changes:
        state = credit_change.state
        max_credit_now = max_credit if state.waiting else 0.0
        state.credit_tokens = min(
            max_credit_now,
            state.credit_tokens - credit_change.tokens * overestimate,
        )


def estimate_cost(work: request.WorkItem, cached_tokens: int) -> int:
    """Returns the estimated tokens to compute for a request.

    Args:
        work: The request.
        cached_tokens: Prompt tokens that are in the engine's cache.
    """
    prefill = max(0, work.prompt_tokens - cached_tokens)
    return max(1, prefill + work.max_tokens)
