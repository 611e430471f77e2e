"""Baseline policy: rendezvous hashing on one prefix level."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from hibiscusstile import options as options_lib
from hibiscusstile import policies, rendezvous, request

__all__ = ["PrefixHash"]

_MAX_CANDIDATES = 3


@policies.policies.register()
class PrefixHash(policies.Policy):
    """Sends each prefix to the first runner in its rendezvous order.

    Options:
        level: Prefix level to hash, 0 to 15, counted outwards from the
            innermost shared level (0).
    """

    name = "prefix_hash"

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self._level = options_lib.get_int(
            options, "level", 0, minimum=0, maximum=15
        )

    def candidates(
        self,
        work: request.WorkItem,
        fleet: Sequence[policies.RunnerView],
    ) -> list[policies.RunnerView]:
        """Returns the first runners in the rendezvous order of the prefix."""
        by_name = {view.runner: view for view in fleet}
        shared = work.levels[:-1] or work.levels
        level = shared[max(0, len(shared) - 1 - self._level)]
        names = rendezvous.top_nodes(level.digest, by_name, _MAX_CANDIDATES)
        return [by_name[name] for name in names]

    def choose(
        self, work: request.WorkItem, bids: Sequence[policies.Bid]
    ) -> policies.Choice | None:
        """Returns the first runner that does not refuse."""
        for bid in bids:
            if bid.refusal is None:
                return policies.Choice(bid.runner, "prefix_hash")
        return None
