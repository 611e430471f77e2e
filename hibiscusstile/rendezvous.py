"""Highest-random-weight (rendezvous) hashing."""

from __future__ import annotations

import heapq
from collections.abc import Collection

import xxhash

__all__ = ["top_nodes"]


def top_nodes(key: int, nodes: Collection[str], count: int) -> list[str]:
    """Returns the `count` nodes with the highest weight for `key`.

    Every process computes the same ranking without coordination, and a node
    that joins or leaves moves only the keys that rank it first.

    Args:
        key: A 64-bit digest.
        nodes: Node names, in any order.
        count: Maximum number of nodes to return.
    """
    return heapq.nlargest(
        count,
        nodes,
        key=lambda node: (
            xxhash.xxh3_64_intdigest(node.encode(), seed=key),
            node,
        ),
    )
