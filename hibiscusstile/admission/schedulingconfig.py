"""Ranks and weights in force, read anew at each decision."""

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
    """Look-ups in the records that a queue obeys.

    Attributes:
        ranks: Returns the rank records in force, by name.
        workspaces: Returns the workspace records in force, by name.
    """

    ranks: Callable[[], Mapping[str, view.Rank]]
    workspaces: Callable[[], Mapping[str, view.Workspace]]

    @property
    def top_level(self) -> int:
        """The first rank's level."""
        ranks = self.ranks() or limits.DEFAULT_RANKS
        return min(rank.level for rank in ranks.values())

    def rank(self, name: str) -> view.Rank:
        """Returns a rank, or its default where no record exists."""
        base, excess, _ = name.partition(_EXCESS_SUFFIX)
        rank = limits.get_rank(self.ranks(), base)
        if not excess:
            return rank
        return dataclasses.replace(
            rank, level=_EXCESS_LEVEL + rank.level, share=_EXCESS_SHARE
        )

    def excess_rank_name(self, name: str) -> str:
        """Returns the name of the rank for excess work of a rank.

        It comes after all other ranks and keeps a small share, so that a
        caller who asks for more than all others is served from what they
        leave, and never not at all.
        """
        return name + _EXCESS_SUFFIX

    def workspace_weight(self, workspace: str) -> float:
        """Returns a workspace's weight, above 0."""
        record = self.workspaces().get(workspace)
        return record.weight if record and record.weight > 0 else 1.0

    def is_below_top(self, name: str) -> bool:
        """Whether a rank is below the first one."""
        return self.rank(name).level > self.top_level

    def is_excess_rank(self, name: str) -> bool:
        """Whether a name is that of excess work."""
        return name.endswith(_EXCESS_SUFFIX)
