"""Look-up of the current ranks and workspace weights."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from hibiscusstile.admission import limits
from hibiscusstile.configuration import view

__all__ = ["SchedulingConfig"]

_EXCESS_SUFFIX = "/excess"
_EXCESS_LEVEL = 10
_EXCESS_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingConfig:
    """Ranks and workspace weights, read from the records at each decision.

    Attributes:
        ranks: Returns the current rank records by name.
        workspaces: Returns the current workspace records by name.
    """

    ranks: Callable[[], Mapping[str, view.Rank]]
    workspaces: Callable[[], Mapping[str, view.Workspace]]

    @property
    def top_level(self) -> int:
        """Level of the top rank."""
        ranks = self.ranks() or limits.DEFAULT_RANKS
        return min(rank.level for rank in ranks.values())

    def rank(self, name: str) -> view.Rank:
        """Returns a rank, or its default if there is no record."""
        base, excess, _ = name.partition(_EXCESS_SUFFIX)
        rank = limits.get_rank(self.ranks(), base)
        if not excess:
            return rank
        return dataclasses.replace(
            rank, level=_EXCESS_LEVEL + rank.level, share=_EXCESS_SHARE
        )

    def excess_rank_name(self, name: str) -> str:
        """Returns the name of the rank for excess demand in a rank.

        It has a lower priority than all other ranks and a small guaranteed
        share. A caller that dominates the demand is thus served from spare
        capacity, but never starves.
        """
        return name + _EXCESS_SUFFIX

    def workspace_weight(self, workspace: str) -> float:
        """Returns a workspace's weight, above 0."""
        record = self.workspaces().get(workspace)
        return record.weight if record and record.weight > 0 else 1.0

    def is_below_top(self, name: str) -> bool:
        """Whether a rank is below the top rank."""
        return self.rank(name).level > self.top_level

    def is_excess_rank(self, name: str) -> bool:
        """Whether a rank is one for excess demand."""
        return name.endswith(_EXCESS_SUFFIX)
