"""Recent use by caller, which tells the few large callers from the rest."""

from __future__ import annotations

import collections
import dataclasses
import math

__all__ = ["UsageMeter"]

_MEMORY_S = 30.0
_FORGOTTEN_S = 4 * _MEMORY_S
_MAX_CALLERS = 4096
_LARGE_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class _Usage:
    tokens: float
    at_s: float

    def value(self, now_s: float) -> float:
        """Returns the tokens, decayed to a time."""
        return self.tokens * math.exp((self.at_s - now_s) / _MEMORY_S)


class UsageMeter:
    """Tokens started per caller, with exponential forgetting.

    Every operation takes O(1), amortised.
    """

    def __init__(self) -> None:
        self._callers: collections.OrderedDict[tuple[str, str], _Usage] = (
            collections.OrderedDict()
        )
        self._total = _Usage(0.0, 0.0)

    def add(
        self, workspace: str, caller: str, tokens: int, now_s: float
    ) -> None:
        """Counts tokens of a request that starts."""
        key = (workspace, caller)
        usage = self._callers.get(key)
        before = usage.value(now_s) if usage else 0.0
        self._callers[key] = _Usage(before + tokens, now_s)
        self._callers.move_to_end(key)
        self._total = _Usage(self._total.value(now_s) + tokens, now_s)
        self._forget(now_s)

    def is_large(self, workspace: str, caller: str, now_s: float) -> bool:
        """Whether a caller uses several times the mean of the others."""
        usage = self._callers.get((workspace, caller))
        others = len(self._callers) - 1
        if usage is None or others < 1:
            return False
        own = usage.value(now_s)
        rest = max(0.0, self._total.value(now_s) - own)
        return own > _LARGE_FACTOR * rest / others

    def _forget(self, now_s: float) -> None:
        while self._callers:
            usage = next(iter(self._callers.values()))
            fresh = usage.at_s > now_s - _FORGOTTEN_S
            if fresh and len(self._callers) <= _MAX_CALLERS:
                return
            self._callers.popitem(last=False)
