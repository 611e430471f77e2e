"""Divides the engines of a service into pools for long and short prompts.

While an engine computes a long prompt, each decoding step of its other
requests takes ten times as long.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

from hibiscusstile import rendezvous
from hibiscusstile.gateway import fleet

__all__ = ["long_prompt_engines"]

# Share of a service's engines that are preferred for long prompts.
_LONG_PROMPT_SHARE = 0.6
_HASH_KEY = 1


def long_prompt_engines(
    servers: Iterable[fleet.BackendServer],
    wanted_engines: Callable[[int], int] | None = None,
) -> frozenset[str]:
    """Returns the ids of the engines preferred for long prompts.

    The engines are spread evenly over the availability zones. Rendezvous
    hashing gives every process with the same server list the same result.

    Args:
        servers: Engines of the service that are up. Engines that are loading
            new weights count, as they are back before a queue could move to
            other engines.
        wanted_engines: Returns how many engines to prefer, given the upper
            limit; the limit if None.
    """
    ids_by_zone: dict[str, list[str]] = {}
    for server in servers:
        ids_by_zone.setdefault(server.zone, []).append(server.server_id)
    ranked_by_zone = [
        rendezvous.top_nodes(_HASH_KEY, server_ids, len(server_ids))
        for server_ids in ids_by_zone.values()
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
    count = max(1, round(len(ranked) * _LONG_PROMPT_SHARE))
    if wanted_engines is not None:
        count = wanted_engines(count)
    return frozenset(ranked[:count])
