"""Baseline policy: the runner with the least load."""

from __future__ import annotations

from collections.abc import Sequence

from hibiscusstile import policies, request

__all__ = ["LeastLoaded"]


@policies.policies.register()
class LeastLoaded(policies.Policy):
    """Asks all runners and selects by load, regardless of cached prefixes."""

    name = "least_loaded"
    asks_for_bids = True

    def candidates(
        self,
        work: request.WorkItem,
        fleet: Sequence[policies.RunnerView],
    ) -> list[policies.RunnerView]:
        """Returns all runners."""
        return list(fleet)

    def choose(
        self, work: request.WorkItem, bids: Sequence[policies.Bid]
    ) -> policies.Choice | None:
        """Returns the runner with the fewest running and queued tokens."""
        accepting = [bid for bid in bids if bid.refusal is None]
        if not accepting:
            return None
        best = min(accepting, key=lambda bid: (bid.load, bid.runner))
        return policies.Choice(best.runner, "least_load")
