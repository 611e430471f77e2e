"""Highest-random-weight (rendezvous) hashing."""

from __future__ import annotations

import heapq
from collections.abc import Collection

import xxhash

__all__ = ["top_nodes"]


def top_nodes(key: int, nodes: Collection[str], count: int) -> list[str]:
    """Returns the `count` nodes with the highest weight for `key`.

    Every process ranks alike without exchanging anything, and a node that
    joins or leaves moves only the keys that rank it first.

    Args:
        key: A 64-bit digest.
        nodes: Node names; their order does not matter.
        count: How many nodes to return at most.
    """
    return heapq.nlargest(
        count,
        nodes,
        key=lambda node: (
            xxhash.xxh3_64_intdigest(node.encode(), seed=key),
            node,
        ),
    )
