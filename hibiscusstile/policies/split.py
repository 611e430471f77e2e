"""Traffic split between the primary and the trial algorithm of a policy."""

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
    """One of the two algorithms of a routing policy record.

    Attributes:
        is_trial: Whether it is the trial algorithm.
        algorithm: Its name in the registry of policies.
        options: Its options.
    """

    is_trial: bool
    algorithm: str
    options: Mapping[str, Any]


def choose_variant(
    record: view.RoutingPolicy, work: request.WorkItem
) -> PolicyVariant:
    """Returns the algorithm for the caller of a request.

    It depends only on the name of the record, the workspace and the caller.
    A caller thus gets the same variant from all entry instances, also after
    a restart.
    """
    if record.split_algorithm:
        text = "\x1f".join((record.name, work.workspace, work.caller))
        point = xxhash.xxh3_64_intdigest(text.encode()) / _HASH_RANGE
        if point < record.split_share:
            return PolicyVariant(
                True, record.split_algorithm, record.split_options
            )
    return PolicyVariant(False, record.algorithm, record.options)
