"""Reads and writes snapshots in a separate stream of the log.

Every process follows the stream `config` by long polling, and a snapshot
there would be sent to all of them. A snapshot that is larger than one entry
is split into parts, which may be interleaved with those of other writers.
"""

from __future__ import annotations

import dataclasses
import datetime
import random
from collections.abc import Sequence
from typing import Annotated

import logbook
import pydantic

from hibiscusstile import clock as clock_lib
from hibiscusstile import identity, platform
from hibiscusstile.configuration import snapshot as snapshot_lib
from hibiscusstile.configuration import state as state_lib
from hibiscusstile.configuration import store as store_lib

__all__ = [
    "SNAPSHOT_STREAM",
    "FoundSnapshot",
    "SnapshotWriter",
    "filter_consistent",
    "read_snapshots",
    "select_most_confirmed",
]

_log = logbook.Logger("configuration")

SNAPSHOT_STREAM = "config.snapshots"
_PART_BYTES = 192 * 1024
_MAX_PARTS = 64
_MAX_HEADER_BYTES = 512
_ENTRIES_PER_READ = 16
# Fractions of the retention period. A snapshot is replaced by half of the
# period, and checks are more frequent, which leaves time for outages.
_DUE_AGE_SHARES = (0.4, 0.5)
_CHECK_INTERVAL_SHARES = (0.05, 0.1)
_MAX_FIRST_CHECK_S = 60.0


class _Header(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    snapshot_id: Annotated[str, pydantic.Field(max_length=64)]
    part: Annotated[int, pydantic.Field(ge=0, lt=_MAX_PARTS)]
    parts: Annotated[int, pydantic.Field(ge=1, le=_MAX_PARTS)]


@dataclasses.dataclass(frozen=True, slots=True)
class FoundSnapshot:
    """A complete snapshot on the log.

    Attributes:
        time: Time at which its last part was appended.
        snapshot: The snapshot.
    """

    time: datetime.datetime
    snapshot: snapshot_lib.Snapshot


async def read_snapshots(
    log: platform.LogClient,
) -> list[FoundSnapshot] | None:
    """Returns the complete snapshots on the log, oldest first.

    Corrupt snapshots are logged and omitted.

    Returns:
        The snapshots, None if the log does not respond.
    """
    parts: dict[str, dict[int, bytes]] = {}
    found: list[FoundSnapshot] = []
    offset = 0
    while True:
        page = await log.read(SNAPSHOT_STREAM, offset, limit=_ENTRIES_PER_READ)
        if isinstance(page, platform.LogUnavailable):
            return None
        for entry in page.entries:
            encoded = _add_part(parts, entry)
            if encoded is not None:
                _append_decoded(found, entry, encoded)
        if not page.entries or page.entries[-1].offset + 1 >= page.end:
            return found
        offset = page.entries[-1].offset + 1


def filter_consistent(
    found: Sequence[FoundSnapshot], state: state_lib.ConfigurationState
) -> list[FoundSnapshot]:
    """Returns the snapshots consistent with a state; logs the others."""
    matching = []
    for candidate in found:
        conflict = _conflict_with_state(candidate.snapshot, state)
        if not conflict:
            matching.append(candidate)
            continue
        _log.error(
            "snapshot_refused author={} next_offset={} reason={!r}",
            candidate.snapshot.author,
            candidate.snapshot.next_offset,
            conflict,
        )
    return matching


def select_most_confirmed(found: Sequence[FoundSnapshot]) -> FoundSnapshot:
    """Returns the snapshot that is consistent with most authors' snapshots.

    A process without state cannot tell which of two conflicting snapshots is
    correct, but every correct process that reads a wrong snapshot appends its
    own. Ties go to the highest `next_offset`.

    Args:
        found: At least one snapshot.
    """
    histories = [
        state_lib.group_histories(candidate.snapshot.records)
        for candidate in found
    ]

    def confirmations(index: int) -> tuple[int, int]:
        snapshot = found[index].snapshot
        authors = {
            other.snapshot.author
            for other, other_histories in zip(found, histories, strict=True)
            if _are_consistent(
                snapshot, histories[index], other.snapshot, other_histories
            )
        }
        return len(authors), snapshot.next_offset

    return found[max(range(len(found)), key=confirmations)]


class SnapshotWriter:
    """Appends a snapshot before the newest one on the log can expire.

    Every process runs a writer. Each checks at random times whether another
    has written a snapshot, so that usually only one of them does.

    Args:
        log: Client of the log service.
        store: The configuration in force.
        clock: Times the checks and measures the age of snapshots.
        retention: The minimum time for which the log keeps an entry.
    """

    def __init__(
        self,
        log: platform.LogClient,
        store: store_lib.ConfigurationStore,
        clock: clock_lib.Clock,
        retention: datetime.timedelta,
    ) -> None:
        self._log_client = log
        self._store = store
        self._clock = clock
        self._retention = retention

    async def run(self) -> None:
        """Writes snapshots when they are due, until cancelled."""
        max_first_delay_s = min(
            _MAX_FIRST_CHECK_S,
            self._retention.total_seconds() * _CHECK_INTERVAL_SHARES[0],
        )
        delay = datetime.timedelta(seconds=random.uniform(0, max_first_delay_s))
        while True:
            await self._clock.sleep(delay)
            await self.write_if_due()
            delay = self._retention * random.uniform(*_CHECK_INTERVAL_SHARES)

    async def write_if_due(self) -> bool:
        """Appends a snapshot if the newest consistent one is old.

        If a newer snapshot contradicts the state in force, a correct one is
        appended at once.

        Returns:
            Whether a complete snapshot was appended.
        """
        if self._store.next_offset == 0:
            return False
        found = await read_snapshots(self._log_client)
        if found is None:
            return False
        matching = filter_consistent(found, self._store.state)
        newest = max((candidate.time for candidate in matching), default=None)
        has_newer_conflict = any(
            candidate not in matching
            and (newest is None or candidate.time >= newest)
            for candidate in found
        )
        due_age = self._retention * random.uniform(*_DUE_AGE_SHARES)
        if (
            newest is not None
            and not has_newer_conflict
            and self._clock.now() - newest < due_age
        ):
            return False
        return await self.write()

    async def write(self) -> bool:
        """Appends a snapshot and returns whether it is complete."""
        try:
            encoded = self._store.snapshot()
        except snapshot_lib.SnapshotError as error:
            _log.error("snapshot_not_written reason={!r}", str(error))
            return False
        for payload in _split(encoded, identity.new_id("snap")):
            result = await self._log_client.append(SNAPSHOT_STREAM, payload)
            if not isinstance(result, platform.Appended):
                _log.warning("snapshot_not_written reason={!r}", result.message)
                return False
        _log.info(
            "snapshot_written revision={} bytes={}",
            self._store.revision,
            len(encoded),
        )
        return True


def _split(encoded: bytes, snapshot_id: str) -> list[bytes]:
    pieces = [
        encoded[start : start + _PART_BYTES]
        for start in range(0, len(encoded), _PART_BYTES)
    ]
    return [
        _Header(snapshot_id=snapshot_id, part=number, parts=len(pieces))
        .model_dump_json()
        .encode()
        + b"\n"
        + piece
        for number, piece in enumerate(pieces)
    ]


def _add_part(
    parts: dict[str, dict[int, bytes]], entry: platform.LogEntry
) -> bytes | None:
    """Adds a part; returns the encoded snapshot once it is complete."""
    text, _, piece = entry.payload.partition(b"\n")
    try:
        if len(text) > _MAX_HEADER_BYTES:
            raise ValueError("the part header is too long")
        header = _Header.model_validate_json(text)
    except ValueError:
        _log.error(
            "snapshot_refused offset={} reason='part is malformed'",
            entry.offset,
        )
        return None
    pieces = parts.setdefault(header.snapshot_id, {})
    pieces[header.part] = piece
    if len(pieces) < header.parts:
        return None
    del parts[header.snapshot_id]
    return b"".join(pieces[number] for number in sorted(pieces))


def _append_decoded(
    found: list[FoundSnapshot], entry: platform.LogEntry, encoded: bytes
) -> None:
    try:
        snapshot = snapshot_lib.decode(encoded)
        if snapshot.since >= 0:
            raise snapshot_lib.SnapshotError("the snapshot is a delta")
    except snapshot_lib.SnapshotError as error:
        _log.error(
            "snapshot_refused offset={} reason={!r}", entry.offset, str(error)
        )
        return
    found.append(FoundSnapshot(entry.time, snapshot))


def _conflict_with_state(
    snapshot: snapshot_lib.Snapshot, state: state_lib.ConfigurationState
) -> str:
    histories = state_lib.group_histories(snapshot.records)
    if snapshot.next_offset >= state.next_offset:
        return snapshot_lib.find_conflict(
            state.histories, state.next_offset, histories
        )
    return snapshot_lib.find_conflict(
        histories, snapshot.next_offset, state.histories
    )


def _are_consistent(
    one: snapshot_lib.Snapshot,
    one_histories: state_lib.Histories,
    other: snapshot_lib.Snapshot,
    other_histories: state_lib.Histories,
) -> bool:
    if one.next_offset <= other.next_offset:
        return not snapshot_lib.find_conflict(
            one_histories, one.next_offset, other_histories
        )
    return not snapshot_lib.find_conflict(
        other_histories, other.next_offset, one_histories
    )
