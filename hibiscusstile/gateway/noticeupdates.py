"""Encodes what gateways tell each other as entries of a notice."""

from __future__ import annotations

from collections.abc import Mapping

from hibiscusstile.gateway import crashfacts, servermemory, serverstatements
from hibiscusstile.peers import messages

__all__ = [
    "clearance_updates",
    "crash_updates",
    "leaving_updates",
    "memory_updates",
]


def crash_updates(
    crashes: list[crashfacts.Crash],
) -> tuple[messages.CrashUpdate, ...]:
    """Returns the newest crashes as updates."""
    return tuple(
        messages.CrashUpdate(
            each.crash_id, each.keys, each.age_s, each.survived
        )
        for each in crashes[-messages.MAX_NOTICE_ENTRIES :]
    )


def clearance_updates(
    clearances: list[crashfacts.Clearance],
) -> tuple[messages.ClearanceUpdate, ...]:
    """Returns the newest clearances as updates."""
    return tuple(
        messages.ClearanceUpdate(each.key, each.age_s)
        for each in clearances[-messages.MAX_NOTICE_ENTRIES :]
    )


def leaving_updates(
    leaving: list[serverstatements.LeavingServer],
) -> tuple[messages.LeavingUpdate, ...]:
    """Returns the newest statements of leaving servers as updates."""
    return tuple(
        messages.LeavingUpdate(each.server_id, each.started_ms, each.age_s)
        for each in leaving[-messages.MAX_NOTICE_ENTRIES :]
    )


def memory_updates(
    held: Mapping[str, servermemory.Footprint],
) -> tuple[messages.MemoryUpdate, ...]:
    """Returns what servers were sent, by server id, as updates."""
    return tuple(
        messages.MemoryUpdate(server_id, each.tokens, each.body_bytes)
        for server_id, each in held.items()
    )[-messages.MAX_NOTICE_ENTRIES :]
