"""Default policy: compares bids of runners likely to have the prefix."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from typing import Any

import xxhash

from hibiscusstile import options as options_lib
from hibiscusstile import policies, rendezvous, request
from hibiscusstile.policies import prefixshares

__all__ = ["Bidding"]

_DEFAULT_HOMES = 2
_MAX_HOMES = 8
_DEFAULT_SPREAD = 2.0
_DEFAULT_LOAD_SAMPLE = 4
_DEFAULT_RECOMPUTE_WEIGHTS = {"urgent": 2.0, "routine": 10.0}
_OTHER_RANKS_RECOMPUTE_WEIGHT = 4.0


@policies.policies.register()
class Bidding(policies.Policy):
    """Asks the home runners of the prefix and one runner with little load.

    Home runners are the first in the rendezvous order of a prefix level. The
    innermost level is the whole prompt, which no other request shares, so
    the one before it is hashed. The first home runner is preferred.

    A prefix with a large share of the requests (a hot prefix) has more home
    runners, up to 8, so that its cached copies are found again.

    Options:
        homes: Home runners of a prefix, 1 to 8.
        spread: Home runners of a hot prefix, as a multiple of its share of
            the requests times the number of runners, 0 to 10.
        by_load: Runners of which the least loaded is asked, 1 to 8.
        recompute_weights: By rank, the cost of a second of recomputation in
            addition to the delay of the request itself, 0 to 20. It is
            higher for ranks that can wait.
    """

    name = "bidding"
    aliases = ("default",)
    asks_for_bids = True

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self._homes = options_lib.get_int(
            options, "homes", _DEFAULT_HOMES, minimum=1, maximum=8
        )
        self._spread = options_lib.get_float(
            options, "spread", _DEFAULT_SPREAD, minimum=0.0, maximum=10.0
        )
        self._prefix_shares = prefixshares.PrefixShares()
        self._load_sample = options_lib.get_int(
            options, "by_load", _DEFAULT_LOAD_SAMPLE, minimum=1, maximum=8
        )
        self._recompute_weights = options_lib.get_float_by_name(
            options,
            "recompute_weights",
            _DEFAULT_RECOMPUTE_WEIGHTS,
            minimum=0.0,
            maximum=20.0,
        )

    def candidates(
        self,
        work: request.WorkItem,
        fleet: Sequence[policies.RunnerView],
    ) -> list[policies.RunnerView]:
        """Returns the home runners of the prefix and one with little load."""
        by_name = {view.runner: view for view in fleet}
        names = _home_runners(
            work, by_name, self._home_count(work, len(by_name))
        )
        names += self._least_loaded(work, by_name)
        return [by_name[name] for name in dict.fromkeys(names)]

    def choose(
        self, work: request.WorkItem, bids: Sequence[policies.Bid]
    ) -> policies.Choice | None:
        """Returns the runner with the least delay and recomputation."""
        accepting = {bid.runner: bid for bid in bids if bid.refusal is None}
        if not accepting:
            return None
        preferred = _home_runners(work, accepting, 1)
        min_prefill_s = min(bid.prefill_s for bid in accepting.values())
        weight = self._recompute_weights.get(
            work.rank, _OTHER_RANKS_RECOMPUTE_WEIGHT
        )

        def cost_s(bid: policies.Bid) -> float:
            # Recomputation delays other requests too. Tokens that no bidder
            # has cached must be computed anyway; that costs nothing extra on
            # the preferred home runner only, where later requests look first.
            recomputed_s = bid.prefill_s
            if bid.runner in preferred:
                recomputed_s -= min_prefill_s
            return bid.first_token_s + weight * recomputed_s

        best = min(
            accepting.values(), key=lambda bid: (cost_s(bid), bid.runner)
        )
        return policies.Choice(best.runner, "soonest_first_token")

    def _home_count(self, work: request.WorkItem, runners: int) -> int:
        shared = work.levels[:-1] or work.levels
        if not shared:
            return 0
        share = self._prefix_shares.count_request(shared[-1].digest)
        spread = math.ceil(self._spread * share * runners)
        return min(max(self._homes, spread), _MAX_HOMES)

    def _least_loaded(
        self,
        work: request.WorkItem,
        by_name: Mapping[str, policies.RunnerView],
    ) -> list[str]:
        # All entries would select the same least loaded runner of the fleet
        # while their load reports are outdated or, after a restart, missing.
        # A sample that depends on the work id spreads the requests.
        sampled = rendezvous.top_nodes(
            xxhash.xxh3_64_intdigest(work.work_id.encode()),
            by_name,
            self._load_sample,
        )
        if not sampled:
            return []
        return [min(sampled, key=lambda name: by_name[name].load)]


def _home_runners(
    work: request.WorkItem, names: Collection[str], count: int
) -> list[str]:
    shared = work.levels[:-1] or work.levels
    if not shared:
        return []
    return rendezvous.top_nodes(shared[-1].digest, names, count)
