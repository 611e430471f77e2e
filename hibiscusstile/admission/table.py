"""Ranks and weights in force, read anew at each decision."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from hibiscusstile.admission import limits
from hibiscusstile.configuration import view

__all__ = ["PolicyTable"]


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyTable:
    """Look-ups in the records that a queue obeys.

    Attributes:
        ranks: Returns the rank records in force, by name.
        workspaces: Returns the workspace records in force, by name.
    """

    ranks: Callable[[], Mapping[str, view.Rank]]
    workspaces: Callable[[], Mapping[str, view.Workspace]]

    def rank(self, name: str) -> view.Rank:
        """Returns a rank, or its default where no record exists."""
        return limits.rank_or_default(self.ranks(), name)

    def weight(self, workspace: str) -> float:
        """Returns a workspace's weight, above 0."""
        record = self.workspaces().get(workspace)
        return record.weight if record and record.weight > 0 else 1.0

    def is_lower(self, name: str) -> bool:
        """Whether a rank is below the first one."""
        ranks = self.ranks() or limits.DEFAULT_RANKS
        top = min(rank.level for rank in ranks.values())
        return self.rank(name).level > top
