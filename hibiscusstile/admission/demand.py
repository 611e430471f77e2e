"""Recent demand by caller, which tells the few large callers from the rest."""

from __future__ import annotations

import collections
import dataclasses
import math

__all__ = ["DemandMeter"]

# Long enough that a few requests do not make a caller look large.
_MEMORY_S = 30.0

# Excess is a multiple of everyone's demand and has to be noticed in seconds.
_FAST_MEMORY_S = 8.0

_FORGOTTEN_S = 4 * _MEMORY_S
_MAX_CALLERS = 4096
_LARGE_FACTOR = 2.0
_EXCESS_FACTOR = 8.0
_EXCESS_PART = 0.35
_EXCESS_LEAST_CALLERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Demand:
    """Tokens at a time, with slow and with fast forgetting."""

    slow: float = 0.0
    fast: float = 0.0
    at_s: float = 0.0

    def at(self, now_s: float) -> _Demand:
        """Returns the demand as it stands at a later time."""
        elapsed_s = now_s - self.at_s
        return _Demand(
            self.slow * math.exp(-elapsed_s / _MEMORY_S),
            self.fast * math.exp(-elapsed_s / _FAST_MEMORY_S),
            now_s,
        )

    def plus(self, tokens: int, now_s: float) -> _Demand:
        """Returns the demand with tokens asked for now."""
        demand = self.at(now_s)
        return _Demand(demand.slow + tokens, demand.fast + tokens, now_s)


_NONE = _Demand()


class DemandMeter:
    """Tokens asked for per caller, refused ones too, slowly forgotten.

    Demand and not use is metered, since a caller that is held back would
    otherwise soon look small. Every operation takes O(1), amortised.
    """

    def __init__(self) -> None:
        self._callers: collections.OrderedDict[tuple[str, str], _Demand] = (
            collections.OrderedDict()
        )
        self._total = _NONE

    def add(
        self, workspace: str, caller: str, tokens: int, now_s: float
    ) -> None:
        """Counts tokens that a caller asks for."""
        key = (workspace, caller)
        demand = self._callers.get(key, _NONE)
        self._callers[key] = demand.plus(tokens, now_s)
        self._callers.move_to_end(key)
        self._total = self._total.plus(tokens, now_s)
        self._forget(now_s)

    def is_large(self, workspace: str, caller: str, now_s: float) -> bool:
        """Whether a caller asks for several times the mean of the others."""
        demand = self._callers.get((workspace, caller))
        others = len(self._callers) - 1
        if demand is None or others < 1:
            return False
        own = demand.at(now_s).slow
        rest = max(0.0, self._total.at(now_s).slow - own)
        return own > _LARGE_FACTOR * rest / others

    def is_excess(self, workspace: str, caller: str, now_s: float) -> bool:
        """Whether one of several callers asks for a large part of it all."""
        demand = self._callers.get((workspace, caller))
        others = len(self._callers) - 1
        if demand is None or others < _EXCESS_LEAST_CALLERS:
            return False
        own = demand.at(now_s).fast
        rest = max(0.0, self._total.at(now_s).fast - own)
        return (
            own > _EXCESS_PART * (own + rest)
            and own > _EXCESS_FACTOR * rest / others
        )

    def _forget(self, now_s: float) -> None:
        while self._callers:
            demand = next(iter(self._callers.values()))
            fresh = demand.at_s > now_s - _FORGOTTEN_S
            if fresh and len(self._callers) <= _MAX_CALLERS:
                return
            self._callers.popitem(last=False)
