"""State of one rank in the queue: what waits and what it is owed."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from hibiscusstile import request
from hibiscusstile.admission import demand, fairness, meter

__all__ = [
    "Booking",
    "RankState",
    "book_start",
    "cost_of",
    "repay",
    "settle",
]


_DEBT_HALF_LIFE_S = 3.0


class RankState:
    """What waits in one rank.

    Attributes:
        name: The rank's name.
        fair: Its waiting requests but for the suspects.
        suspects: Its waiting suspects by work id, in order of arrival.
        meter: Observed rate at which its requests start.
        demand: Recent demand by its callers.
        owed: Tokens that it is owed for its share; negative after service.
    """

    __slots__ = (
        "_decayed_s",
        "demand",
        "fair",
        "meter",
        "name",
        "owed",
        "suspects",
    )

    def __init__(self, name: str, prior_rate: float) -> None:
        self.name = name
        self.fair = fairness.FairQueue()
        self.suspects: collections.OrderedDict[str, fairness.Waiting] = (
            collections.OrderedDict()
        )
        self.meter = meter.ServiceMeter(prior_rate)
        self.demand = demand.DemandMeter()
        self.owed = 0.0
        self._decayed_s = 0.0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self.fair) + len(self.suspects)

    def add(self, waiting: fairness.Waiting, weight: float) -> None:
        """Adds a waiting request."""
        if waiting.work.suspect:
            self.suspects[waiting.work.work_id] = waiting
        else:
            self.fair.add(waiting, weight)

    def remove(self, waiting: fairness.Waiting) -> None:
        """Removes a request that does not start."""
        if waiting.work.suspect:
            del self.suspects[waiting.work.work_id]
        else:
            self.fair.remove(waiting)

    def start(self, waiting: fairness.Waiting, now_s: float) -> None:
        """Removes a request that starts."""
        if waiting.work.suspect:
            del self.suspects[waiting.work.work_id]
            self.fair.charge_apart(waiting)
        else:
            self.fair.start(waiting)
        if waiting.offered_s < now_s:
            self.meter.count_started(waiting.cost, now_s)

    def heads(self, suspect_runs: bool) -> Iterator[fairness.Waiting]:
        """Yields the first request of each caller, in order of turn.

        Args:
            suspect_runs: Whether a suspect runs, so that no other may start.
        """
        suspect = None
        if self.suspects and not suspect_runs:
            suspect = next(iter(self.suspects.values()))
        for head in self.fair.heads():
            if suspect is not None and suspect.number < head.number:
                yield suspect
                suspect = None
            yield head
        if suspect is not None:
            yield suspect

    def decay(self, now_s: float) -> None:
        """Lets a debt fade.

        One long prompt may cost as much as the rank's share of ten seconds;
        its debt would otherwise shut the rank out at the start of a flood.
        """
        age_s = now_s - self._decayed_s
        self._decayed_s = now_s
        if self.owed < 0.0:
            self.owed *= 0.5 ** (age_s / _DEBT_HALF_LIFE_S)

    def note_length(self, now_s: float) -> None:
        """Follows a change of what waits.

        A rank that has nothing waiting forfeits what it is owed.
        """
        if self.waiting:
            self.meter.start_backlog(now_s)
        else:
            self.meter.end_backlog(now_s)
            self.owed = min(self.owed, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Booking:
    """A change of what a rank is owed, made on an estimated cost."""

    state: RankState
    change: float


def book_start(
    started: RankState,
    shares: Iterable[tuple[RankState, float]],
    cost: int,
    most_owed: float,
) -> tuple[Booking, ...]:
    """Books a start on the ranks with waiting requests.

    Each waiting rank is owed its share of the tokens that others receive, and
    a start reduces its balance by the other ranks' part of the cost. While no
    other rank waits, the debt grows no larger than one start makes it: a rank
    that used an idle engine is not made to wait for it later.

    Args:
        started: The rank of the request that starts.
        shares: The ranks with waiting requests and their shares, 0 to 1.
        cost: Estimated tokens.
        most_owed: Bound of a balance, in tokens.

    Returns:
        The changes, for `settle` once the true cost is known.
    """
    waiting = list(shares)
    bookings = []
    for state, share in waiting:
        before = state.owed
        if state is started:
            debt = (1.0 - share) * cost
            least = -most_owed if len(waiting) > 1 else -debt
            state.owed = max(before - debt, min(before, least))
        else:
            state.owed = min(most_owed, before + share * cost)
        bookings.append(Booking(state, state.owed - before))
    return tuple(bookings)


def repay(states: Iterable[tuple[RankState, float]], cost: int) -> None:
    """Lets ranks without waiting requests work off what they have had.

    A debt that only waiting could repay would meet the rank's next requests
    after any length of time, in which others received all the service.

    Args:
        states: Ranks with nothing waiting, and their shares, 0 to 1.
        cost: Tokens of another rank's start.
    """
    for state, share in states:
        if state.owed < 0.0:
            state.owed = min(0.0, state.owed + share * cost)


def settle(
    bookings: Iterable[Booking], cost: int, served: int, most_owed: float
) -> None:
    """Corrects bookings once the served tokens are known."""
    excess = 1.0 - served / cost if cost else 0.0
    for booking in bookings:
        state = booking.state
        most = most_owed if state.waiting else 0.0
        state.owed = min(most, state.owed - booking.change * excess)


def cost_of(work: request.WorkItem, cached_tokens: int) -> int:
    """Returns the tokens to compute, as estimated before a request runs.

    Args:
        work: The request.
        cached_tokens: Prompt tokens that the engine holds in cache.
    """
    prefill = max(0, work.prompt_tokens - cached_tokens)
    return max(1, prefill + work.max_tokens)
