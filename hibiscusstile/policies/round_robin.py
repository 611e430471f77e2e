"""Baseline policy: round robin."""

from __future__ import annotations

import itertools
from collections.abc import Mapping, Sequence
from typing import Any

from hibiscusstile import policies, request

__all__ = ["RoundRobin"]


@policies.policies.register()
class RoundRobin(policies.Policy):
    """Sends each request to the next runner in order of names."""

    name = "round_robin"

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self._counter = itertools.count()

    def candidates(
        self,
        work: request.WorkItem,
        fleet: Sequence[policies.RunnerView],
    ) -> list[policies.RunnerView]:
        """Returns all runners, starting with the next in turn."""
        if not fleet:
            return []
        ordered = sorted(fleet, key=lambda view: view.runner)
        start = next(self._counter) % len(ordered)
        return ordered[start:] + ordered[:start]

    def choose(
        self, work: request.WorkItem, bids: Sequence[policies.Bid]
    ) -> policies.Choice | None:
        """Returns the first runner that does not refuse."""
        for bid in bids:
            if bid.refusal is None:
                return policies.Choice(bid.runner, "turn")
        return None
