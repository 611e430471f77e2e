"""Default policy: asks a few likely runners and takes the soonest start."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import Any

import xxhash

from hibiscusstile import options as options_lib
from hibiscusstile import policies, rendezvous, request

__all__ = ["Bidding"]

_DEFAULT_HOMES = 2
_DEFAULT_BY_LOAD = 2


@policies.policies.register()
class Bidding(policies.Policy):
    """Candidates by rendezvous hashing on prefix levels, plus one by load.

    The whole prompt is never shared, so it is not hashed: the innermost
    level before it has `homes` candidates, the next outer one has one.

    Options: `homes` (1 to 8) and `by_load` (1 to 8), how many runners are
    compared for the candidate by load.
    """

    name = "bidding"
    aliases = ("default",)
    asks_for_bids = True

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self._homes = options_lib.get_int(
            options, "homes", _DEFAULT_HOMES, least=1, most=8
        )
        self._by_load = options_lib.get_int(
            options, "by_load", _DEFAULT_BY_LOAD, least=1, most=8
        )

    def candidates(
        self,
        work: request.WorkItem,
        fleet: Sequence[policies.RunnerView],
    ) -> list[policies.RunnerView]:
        """Returns the homes of the prefix and one runner by load."""
        by_name = {view.runner: view for view in fleet}
        names = self._homes_of(work, by_name)
        if len(work.levels) > 2:
            names += rendezvous.top_nodes(work.levels[-3].digest, by_name, 1)
        names += self._least_loaded(work, by_name)
        return [by_name[name] for name in dict.fromkeys(names)]

    def choose(
        self, work: request.WorkItem, bids: Sequence[policies.Bid]
    ) -> policies.Choice | None:
        """Returns the runner where the first token is expected soonest."""
        able = [bid for bid in bids if bid.refusal is None]
        if not able:
            return None
        best = min(able, key=lambda bid: (bid.first_token_s, bid.runner))
        return policies.Choice(best.runner, "soonest_first_token")

    def _homes_of(
        self, work: request.WorkItem, names: Collection[str]
    ) -> list[str]:
        shared = work.levels[:-1] or work.levels
        if not shared:
            return []
        return rendezvous.top_nodes(shared[-1].digest, names, self._homes)

    def _least_loaded(
        self,
        work: request.WorkItem,
        by_name: Mapping[str, policies.RunnerView],
    ) -> list[str]:
        # The least loaded of the whole fleet would draw all entries to the
        # same runner while their knowledge is old or, after a restart,
        # missing; of a few drawn by the work id it does not.
        drawn = rendezvous.top_nodes(
            xxhash.xxh3_64_intdigest(work.work_id.encode()),
            by_name,
            self._by_load,
        )
        if not drawn:
            return []
        return [min(drawn, key=lambda name: by_name[name].load)]
