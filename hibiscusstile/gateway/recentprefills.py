"""Prompt parts that some engine has prefilled recently, and their uses."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable

from hibiscusstile.gateway import exchange

__all__ = ["RecentPrefills"]

# Prefilling a part again within this time of its last use is charged
# (`again_s` in the platform's prices).
_WINDOW_S = 10.0
_MAX_PARTS = 5_000


class RecentPrefills:
    """Last time at which each part was sent to any engine, and how often."""

    def __init__(self) -> None:
        # Time of the last use, and the moving sum of uses at that time.
        self._last_uses: collections.OrderedDict[
            tuple[str, str], tuple[float, float]
        ] = collections.OrderedDict()

    def note(self, salt: str, part_id: str, now_s: float) -> None:
        """Records a use of a part."""
        key = (salt, part_id)
        self._last_uses[key] = (now_s, self.uses(salt, part_id, now_s) + 1)
        self._last_uses.move_to_end(key)
        if len(self._last_uses) > _MAX_PARTS:
            self._last_uses.popitem(last=False)

    def is_recent(self, salt: str, part_id: str, now_s: float) -> bool:
        """Returns whether another prefill of a part would be charged."""
        last_use = self._last_uses.get((salt, part_id))
        return last_use is not None and now_s - last_use[0] < _WINDOW_S

    def recent_tokens(
        self, salt: str, parts: Iterable[exchange.PromptPart], now_s: float
    ) -> int:
        """Returns the tokens of those parts that `is_recent` holds for."""
        return sum(
            part.tokens
            for part in parts
            if (use := self._last_uses.get((salt, part.part_id)))
            and now_s - use[0] < _WINDOW_S
        )

    def uses(self, salt: str, part_id: str, now_s: float) -> float:
        """Returns how often a part is used in the time of `is_recent`."""
        last_use = self._last_uses.get((salt, part_id))
        if last_use is None:
            return 0.0
        return last_use[1] * math.exp((last_use[0] - now_s) / _WINDOW_S)
