"""Default policy: asks a few likely runners and takes the soonest start."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from hibiscusstile import options as options_lib
from hibiscusstile import policies, rendezvous, request

__all__ = ["Bidding"]

_DEFAULT_CANDIDATES = 3


@policies.policies.register()
class Bidding(policies.Policy):
    """Candidates by rendezvous hashing on prefix levels, plus one by load."""

    name = "bidding"
    aliases = ("default",)
    asks_for_bids = True

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self._count = options_lib.get_int(
            options, "candidates", _DEFAULT_CANDIDATES, least=1, most=8
        )

    def candidates(
        self,
        work: request.WorkItem,
        fleet: Sequence[policies.RunnerView],
    ) -> list[policies.RunnerView]:
        """Returns the runners that rank first for the outermost level."""
        by_name = {view.runner: view for view in fleet}
        chosen: list[str] = []
        for level in reversed(work.levels):
            chosen += rendezvous.top_nodes(level.digest, by_name, 1)
        if fleet:
            chosen.append(min(fleet, key=lambda view: view.load).runner)
        unique = list(dict.fromkeys(chosen))[: self._count + 1]
        return [by_name[name] for name in unique]

    def choose(
        self, work: request.WorkItem, bids: Sequence[policies.Bid]
    ) -> policies.Choice | None:
        """Returns the runner where the first token is expected soonest."""
        able = [bid for bid in bids if bid.refusal is None]
        if not able:
            return None
        best = min(able, key=lambda bid: (bid.first_token_s, bid.runner))
        return policies.Choice(best.runner, "soonest_first_token")
