"""Which prompt parts some engine has read lately."""

from __future__ import annotations

import collections

__all__ = ["RecentPrefills"]

# Reading a part again within this time of its last use is charged (the
# users' `again_s`).
_WINDOW_S = 10.0
_MAX_PARTS = 5_000


class RecentPrefills:
    """Remembers when parts were last sent to any engine."""

    def __init__(self) -> None:
        self._last_used_s: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def note(self, salt: str, part_id: str, now_s: float) -> None:
        """Notes a use of a part."""
        key = (salt, part_id)
        self._last_used_s[key] = now_s
        self._last_used_s.move_to_end(key)
        if len(self._last_used_s) > _MAX_PARTS:
            self._last_used_s.popitem(last=False)

    def is_recent(self, salt: str, part_id: str, now_s: float) -> bool:
        """Returns whether a part was used within the charged time."""
        last_used_s = self._last_used_s.get((salt, part_id))
        return last_used_s is not None and now_s - last_used_s < _WINDOW_S
