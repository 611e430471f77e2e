"""Prompt parts that some engine has prefilled recently."""

from __future__ import annotations

import collections

__all__ = ["RecentPrefills"]

# Prefilling a part again within this time of its last use is charged
# (`again_s` in the platform's prices).
_WINDOW_S = 10.0
_MAX_PARTS = 5_000


class RecentPrefills:
    """Last time at which each part was sent to any engine."""

    def __init__(self) -> None:
        self._last_used_s: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def note(self, salt: str, part_id: str, now_s: float) -> None:
        """Records a use of a part."""
        key = (salt, part_id)
        self._last_used_s[key] = now_s
        self._last_used_s.move_to_end(key)
        if len(self._last_used_s) > _MAX_PARTS:
            self._last_used_s.popitem(last=False)

    def is_recent(self, salt: str, part_id: str, now_s: float) -> bool:
        """Returns whether another prefill of a part would be charged."""
        last_used_s = self._last_used_s.get((salt, part_id))
        return last_used_s is not None and now_s - last_used_s < _WINDOW_S
