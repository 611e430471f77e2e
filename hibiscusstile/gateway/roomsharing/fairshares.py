"""Tells whose requests exceed a fair share of the room that there is.

What found room in the last seconds is divided among the workspaces by weighted
max-min fairness: a workspace that demands less than its share gets what it
demands, and what it leaves goes to the others.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from hibiscusstile.admission import demand

__all__ = ["FairShares", "Flow"]

# Time constant of the measured demand: a flood is noticed within seconds, and
# a workspace with a request each second does not appear as one.
_DEMAND_DECAY_S = 3.0
# Demand of this many mean requests within the time constant is never excess.
_MIN_REQUESTS = 3.0
# The shares are divided anew after this time.
_DIVISION_INTERVAL_S = 0.1
# Weight of a rank, as a share of that of the next more urgent one.
_NEXT_RANK_SHARE = 0.25
# Engines tell apart as many ranks. Weights of ranks far beyond would overflow.
_MAX_RANK = 9
# Weight of a caller that sends several times the mean of its workspace.
_LARGE_CALLER_SHARE = 0.5
_MAX_WORKSPACES = 2048
# Share of the demand that is granted while there is room for all of it, if a
# few requests are refused for other reasons.
_ALL_GRANTED = 0.98


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Whom a request belongs to.

    Attributes:
        workspace: Name of the workspace, empty for anonymous callers.
        caller: The caller within the workspace.
        rank: Rank of the request; 0 is served first.
        weight: Weight of the workspace, above 0.
    """

    workspace: str
    caller: str
    rank: int
    weight: float


class _Decayed:
    __slots__ = ("_updated_s", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        self.value = self.at(now_s) + amount
        self._updated_s = now_s

    def at(self, now_s: float) -> float:
        elapsed_s = now_s - self._updated_s
        return self.value * math.exp(-elapsed_s / _DEMAND_DECAY_S)


class _WorkspaceDemand:
    __slots__ = ("callers", "tokens", "weight")

    def __init__(self) -> None:
        self.tokens = _Decayed()
        self.callers = demand.DemandMeter()
        self.weight = 1.0


class FairShares:
    """Measures demand and grants of workspaces, and divides what is granted.

    A flow is one workspace at one rank.
    """

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[
            tuple[int, str], _WorkspaceDemand
        ] = collections.OrderedDict()
        self._demanded_tokens = _Decayed()
        self._granted_tokens = _Decayed()
        self._requests = _Decayed()
        self._level = math.inf
        self._next_division_s = -math.inf

    @property
    def level(self) -> float:
        """Tokens of the last seconds that are fair for a weight of 1."""
        return self._level

    def note_demand(self, flow: Flow, tokens: int, now_s: float) -> None:
        """Counts a request, whether or not it will be refused."""
        rank = _bounded_rank(flow)
        key = (rank, flow.workspace)
        measured = self._flows.setdefault(key, _WorkspaceDemand())
        self._flows.move_to_end(key)
        if len(self._flows) > _MAX_WORKSPACES:
            self._flows.popitem(last=False)
        measured.weight = flow.weight * _NEXT_RANK_SHARE**rank
        measured.tokens.add(tokens, now_s)
        measured.callers.add("", flow.caller, tokens, now_s)
        self._demanded_tokens.add(tokens, now_s)
        self._requests.add(1.0, now_s)

    def note_granted(self, tokens: int, now_s: float) -> None:
        """Counts a request that is sent."""
        self._granted_tokens.add(tokens, now_s)

    def excess_share(self, flow: Flow, now_s: float) -> float:
        """Returns which share of a flow's requests exceeds its fair share."""
        measured = self._flows.get((_bounded_rank(flow), flow.workspace))
        if measured is None:
            return 0.0
        if now_s >= self._next_division_s:
            self._next_division_s = now_s + _DIVISION_INTERVAL_S
            self._level = self._divide(now_s)
        tokens = measured.tokens.at(now_s)
        mean_tokens = self._demanded_tokens.at(now_s) / max(
            1.0, self._requests.at(now_s)
        )
        if tokens <= _MIN_REQUESTS * mean_tokens:
            return 0.0
        allowed = self._level * measured.weight
        if measured.callers.is_large("", flow.caller, now_s):
            allowed *= _LARGE_CALLER_SHARE
        return max(0.0, 1.0 - allowed / tokens)

    def _divide(self, now_s: float) -> float:
        """Returns the level up to which demands are granted in full."""
        left_tokens = self._granted_tokens.at(now_s)
        if left_tokens >= _ALL_GRANTED * self._demanded_tokens.at(now_s):
            return math.inf
        demands = sorted(
            (each.tokens.at(now_s) / each.weight, each.weight)
            for each in self._flows.values()
        )
        left_weight = sum(weight for _, weight in demands)
        for level, weight in demands:
            if level * left_weight >= left_tokens:
                break
            left_tokens -= level * weight
            left_weight -= weight
        return left_tokens / left_weight if left_weight > 0.0 else math.inf


def _bounded_rank(flow: Flow) -> int:
    return max(0, min(_MAX_RANK, flow.rank))
