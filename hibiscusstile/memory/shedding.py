"""Decides which requests give way when the memory is short."""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

__all__ = ["Phase", "Share", "choose"]

# An ordinary caller sends its whole body at once; packets that are lost are
# sent again within this time.
_STOPPED_S = 1.0
# A caller that is about to read again does so within this time.
_UNREAD_S = 2.0


class Phase(enum.Enum):
    """What a request does with the memory that it holds."""

    ARRIVING = "arriving"
    """Its body is arriving; nothing has run."""
    RUNNING = "running"
    """It waits or runs, and must not be ended for its memory."""
    UNREAD = "unread"
    """Its caller does not read the response as fast as it arrives."""


class Share(Protocol):
    """The memory that one request holds."""

    @property
    def owner(self) -> str:
        """Key or address that the request came from."""

    @property
    def phase(self) -> Phase:
        """What the request does with the memory."""

    @property
    def size_bytes(self) -> int:
        """Memory that ending the request frees."""

    @property
    def progressed_s(self) -> float:
        """Time at which its caller last sent or read something."""


_S = TypeVar("_S", bound=Share)


def choose(
    shares: Iterable[_S],
    requester: Share,
    needed_bytes: int,
    now_s: float,
) -> Sequence[_S]:
    """Returns the requests to end so that another one gets memory.

    Bodies that have stopped arriving go first, then responses whose callers
    have stopped reading, then what the owner that holds most has, as long as
    that is more than the requester's owner has. Within each, the owner that
    holds most goes first. Requests that run are never ended.

    Args:
        shares: All requests that hold memory.
        requester: The request that needs memory.
        needed_bytes: Memory to free.
        now_s: The current time.

    Returns:
        Enough requests, or none if not enough may be ended.
    """
    by_owner: collections.Counter[str] = collections.Counter()
    candidates = []
    for share in shares:
        by_owner[share.owner] += share.size_bytes
        if share is not requester and share.phase is not Phase.RUNNING:
            candidates.append(share)
    own_bytes = by_owner[requester.owner] + needed_bytes

    def urgency(share: Share) -> int | None:
        idle_s = now_s - share.progressed_s
        if share.phase is Phase.ARRIVING and idle_s >= _STOPPED_S:
            return 0
        if share.phase is Phase.UNREAD and idle_s >= _UNREAD_S:
            return 1
        return 2 if by_owner[share.owner] > own_bytes else None

    ranked = [
        (rank, -by_owner[share.owner], -share.size_bytes, index)
        for index, share in enumerate(candidates)
        if (rank := urgency(share)) is not None
    ]
    chosen = []
    freed_bytes = 0
    for *_, index in sorted(ranked):
        if freed_bytes >= needed_bytes:
            break
        chosen.append(candidates[index])
        freed_bytes += candidates[index].size_bytes
    return chosen if freed_bytes >= needed_bytes else []
