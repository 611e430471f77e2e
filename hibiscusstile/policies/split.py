"""Two versions of a policy side by side."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

import xxhash

from hibiscusstile import request
from hibiscusstile.configuration import view

__all__ = ["PolicyVariant", "choose_variant"]

_HASH_RANGE = 2**64


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyVariant:
    """One of the two algorithms of a routing-policy record.

    Attributes:
        is_trial: Whether it is the second one.
        algorithm: Name in the registry of policies.
        options: The algorithm's options.
    """

    is_trial: bool
    algorithm: str
    options: Mapping[str, Any]


def choose_variant(
    record: view.RoutingPolicy, work: request.WorkItem
) -> PolicyVariant:
    """Returns the algorithm for a request's caller.

    It depends on the record's name, the workspace and the caller only, so
    every entry instance gives a caller the same side, also after a restart.
    """
    if record.split_algorithm:
        text = "\x1f".join((record.name, work.workspace, work.caller))
        point = xxhash.xxh3_64_intdigest(text.encode()) / _HASH_RANGE
        if point < record.split_share:
            return PolicyVariant(
                True, record.split_algorithm, record.split_options
            )
    return PolicyVariant(False, record.algorithm, record.options)
