"""Which engines long prompts go to, so that short ones do not wait for them.

While an engine computes a long prompt, each step of its other requests takes
ten times as long.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from hibiscusstile import rendezvous
from hibiscusstile.gateway import fleet

__all__ = ["long_prompt_engines"]

# Share of a service's engines that long prompts go to first.
_LONG_PROMPT_SHARE = 0.6
_HASH_KEY = 1


def long_prompt_engines(
    servers: Iterable[fleet.BackendServer],
) -> frozenset[str]:
    """Returns the ids of the engines that long prompts go to first.

    They are spread over the zones, one in each before a second in any. Every
    process selects alike while it knows the same servers.

    Args:
        servers: The engines of a service that are up, the ones that take new
            weights included: they are back before a queue could move.
    """
    zones: dict[str, list[str]] = {}
    for server in servers:
        zones.setdefault(server.zone, []).append(server.server_id)
    ranked_by_zone = [
        rendezvous.top_nodes(_HASH_KEY, zone_ids, len(zone_ids))
        for zone_ids in zones.values()
    ]
    ranked = [
        server_id
        for same_position_ids in itertools.zip_longest(*ranked_by_zone)
        for server_id in rendezvous.top_nodes(
            _HASH_KEY,
            [each for each in same_position_ids if each],
            len(ranked_by_zone),
        )
    ]
    count = max(len(zones), round(len(ranked) * _LONG_PROMPT_SHARE))
    return frozenset(ranked[:count])
