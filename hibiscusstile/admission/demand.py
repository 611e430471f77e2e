"""Recent demand by caller, used to detect unusually large callers."""

from __future__ import annotations

import collections
import dataclasses
import math

__all__ = ["DemandMeter"]

# Time constant of the slow decay, long enough that a few requests do not
# classify a caller as large.
_SLOW_DECAY_S = 30.0

# Time constant of the fast decay: excess demand has to be detected within
# seconds.
_FAST_DECAY_S = 8.0

_EXPIRY_S = 4 * _SLOW_DECAY_S
_MAX_CALLERS = 4096
_LARGE_FACTOR = 2.0
_EXCESS_FACTOR = 8.0
_EXCESS_SHARE = 0.35
_EXCESS_MIN_OTHERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _DecayedDemand:
    """Exponentially decayed token counts at one point in time."""

    slow_tokens: float = 0.0
    fast_tokens: float = 0.0
    updated_s: float = 0.0

    def decayed_to(self, now_s: float) -> _DecayedDemand:
        """Returns the demand decayed to a later time."""
        elapsed_s = now_s - self.updated_s
        return _DecayedDemand(
            self.slow_tokens * math.exp(-elapsed_s / _SLOW_DECAY_S),
            self.fast_tokens * math.exp(-elapsed_s / _FAST_DECAY_S),
            now_s,
        )

    def with_added(self, tokens: int, now_s: float) -> _DecayedDemand:
        """Returns the demand with newly requested tokens added."""
        demand = self.decayed_to(now_s)
        return _DecayedDemand(
            demand.slow_tokens + tokens, demand.fast_tokens + tokens, now_s
        )


_NO_DEMAND = _DecayedDemand()


class DemandMeter:
    """Decayed count of requested tokens per caller, refused ones included.

    It measures demand and not served tokens, since a throttled caller would
    otherwise soon count as small. Every operation takes amortized O(1).
    """

    def __init__(self) -> None:
        self._callers: collections.OrderedDict[
            tuple[str, str], _DecayedDemand
        ] = collections.OrderedDict()
        self._total = _NO_DEMAND

    def add(
        self, workspace: str, caller: str, tokens: int, now_s: float
    ) -> None:
        """Counts tokens requested by a caller."""
        key = (workspace, caller)
        demand = self._callers.get(key, _NO_DEMAND)
        self._callers[key] = demand.with_added(tokens, now_s)
        self._callers.move_to_end(key)
        self._total = self._total.with_added(tokens, now_s)
        self._remove_expired(now_s)

    def is_large(self, workspace: str, caller: str, now_s: float) -> bool:
        """Whether a caller requests several times the mean of the others."""
        demand = self._callers.get((workspace, caller))
        others = len(self._callers) - 1
        if demand is None or others < 1:
            return False
        own_tokens = demand.decayed_to(now_s).slow_tokens
        others_tokens = max(
            0.0, self._total.decayed_to(now_s).slow_tokens - own_tokens
        )
        return own_tokens > _LARGE_FACTOR * others_tokens / others

    def is_excess(self, workspace: str, caller: str, now_s: float) -> bool:
        """Whether one of several callers dominates the total demand."""
        demand = self._callers.get((workspace, caller))
        others = len(self._callers) - 1
        if demand is None or others < _EXCESS_MIN_OTHERS:
            return False
        own_tokens = demand.decayed_to(now_s).fast_tokens
        others_tokens = max(
            0.0, self._total.decayed_to(now_s).fast_tokens - own_tokens
        )
        return (
            own_tokens > _EXCESS_SHARE * (own_tokens + others_tokens)
            and own_tokens > _EXCESS_FACTOR * others_tokens / others
        )

    def _remove_expired(self, now_s: float) -> None:
        while self._callers:
            demand = next(iter(self._callers.values()))
            recent = demand.updated_s > now_s - _EXPIRY_S
            if recent and len(self._callers) <= _MAX_CALLERS:
                return
            self._callers.popitem(last=False)
