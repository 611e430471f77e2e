"""Encodes what gateways tell each other as entries of a notice."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeVar

from hibiscusstile.gateway import (
    crashcharges,
    crashfacts,
    servermemory,
    serverstatements,
)
from hibiscusstile.peers import messages

__all__ = [
    "clearance_updates",
    "crash_updates",
    "leaving_updates",
    "memory_updates",
    "merge_crashes",
    "split",
]

# Keys of crashes that are applied at a time, which takes milliseconds.
_MAX_KEYS_AT_ONCE = 2_048
_T = TypeVar("_T")


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


def merge_crashes(
    notice: messages.GatewayNotice, charges: crashcharges.CrashCharges
) -> None:
    """Adds the crashes and clearances of a notice to those known."""
    for crash in notice.crashes:
        charges.merge_crash(
            crashfacts.Crash(
                crash.crash, crash.keys, crash.age_s, crash.survived
            )
        )
    for clearance in notice.clearances:
        charges.merge_clearance(
            crashfacts.Clearance(clearance.key, clearance.age_s)
        )


def split(
    notice: messages.GatewayNotice,
) -> Iterator[messages.GatewayNotice]:
    """Yields notices with the same effect in order, each with fewer crashes."""
    key_counts = [len(each.keys) for each in notice.crashes]
    if sum(key_counts) + len(notice.clearances) <= _MAX_KEYS_AT_ONCE:
        yield notice
        return
    yield dataclasses.replace(notice, crashes=(), clearances=())
    for crashes in _chunks(notice.crashes, key_counts):
        yield messages.GatewayNotice(crashes=crashes)
    ones = [1] * len(notice.clearances)
    for clearances in _chunks(notice.clearances, ones):
        yield messages.GatewayNotice(clearances=clearances)


def _chunks(
    entries: Sequence[_T], key_counts: Sequence[int]
) -> Iterator[tuple[_T, ...]]:
    chunk: list[_T] = []
    key_count = 0
    for entry, added in zip(entries, key_counts, strict=True):
        if chunk and key_count + added > _MAX_KEYS_AT_ONCE:
            yield tuple(chunk)
            chunk, key_count = [], 0
        chunk.append(entry)
        key_count += added
    if chunk:
        yield tuple(chunk)
