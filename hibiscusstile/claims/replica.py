"""A sidecar's replica of the key table, updated from the claims stream."""

from __future__ import annotations

import datetime
import math
from collections.abc import Iterator

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform
from hibiscusstile.claims import encoding, entries, keytable

__all__ = ["ClaimReplica"]

_log = logbook.Logger("claims")


class ClaimReplica:
    """Applies the stream page by page and detects lost entries.

    The log must retain entries for longer than `keytable.KEY_LIFETIME`, so
    entries it has dropped concern only expired keys, and a sidecar that
    starts can begin with the oldest retained entry. A gap which shows that
    younger entries were lost blocks new runs until the lost keys have
    expired.

    Args:
        clock: Compared with log times to determine the end of a block.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._key_table = keytable.KeyTable()
        self._next_offset = 0
        self._newest_time: datetime.datetime | None = None
        self._time_before_gap: datetime.datetime | None = None
        self._blocked_until_s = -math.inf
        self._caught_up = False

    def __len__(self) -> int:
        """Number of claimed keys and released claims in memory."""
        return len(self._key_table)

    @property
    def next_offset(self) -> int:
        """Log offset of the next entry to read."""
        return self._next_offset

    @property
    def caught_up(self) -> bool:
        """Whether the stream was read to its end at least once."""
        return self._caught_up

    @property
    def blocked(self) -> bool:
        """Whether unexpired entries are known to be lost."""
        return self._clock.now().timestamp() < self._blocked_until_s

    def get(self, key: bytes) -> keytable.ClaimedKey | None:
        """Returns the state of a key, None if it has no active claim."""
        return self._key_table.get(key)

    def apply(self, page: platform.LogEntries) -> Iterator[entries.ClaimRecord]:
        """Applies a page read from `next_offset`.

        Yields:
            Each record after it was applied.
        """
        if page.earliest > self._next_offset:
            _log.warning(
                "claims_entries_dropped from={} to={}",
                self._next_offset,
                page.earliest,
            )
            self._time_before_gap = self._newest_time
            self._next_offset = page.earliest
        for entry in page.entries:
            if entry.offset == self._next_offset:
                yield from self._apply_entry(entry)
                self._next_offset += 1
        self._check_end(page.end)

    def _apply_entry(
        self, entry: platform.LogEntry
    ) -> Iterator[entries.ClaimRecord]:
        self._key_table.advance_time(entry.time)
        self._check_gap(entry.time)
        self._newest_time = entry.time
        try:
            records = encoding.decode(entry.payload)
        except encoding.MalformedBatchError as error:
            _log.warning(
                "claims_entry_skipped offset={} error={}", entry.offset, error
            )
            return
        for record in records:
            self._apply_record(record, entry.offset)
            yield record

    def _apply_record(self, record: entries.ClaimRecord, offset: int) -> None:
        match record:
            case entries.Claim():
                self._key_table.apply_claim(record)
            case entries.Release():
                self._key_table.apply_release(record)
            case entries.Completed():
                self._key_table.apply_completion(record, offset)

    def _check_gap(self, time: datetime.datetime) -> None:
        if self._time_before_gap is None:
            return
        if time - self._time_before_gap < keytable.KEY_LIFETIME:
            _log.error("claims_retention_too_short lost_before={}", time)
            self._block(time)
        self._time_before_gap = None

    def _check_end(self, end: int) -> None:
        if end < self._next_offset:
            _log.error(
                "claims_stream_shrank next_offset={} end={}",
                self._next_offset,
                end,
            )
            self._block(self._clock.now())
        elif end == self._next_offset:
            self._caught_up = True

    def _block(self, time: datetime.datetime) -> None:
        until = time + keytable.KEY_LIFETIME
        self._blocked_until_s = max(self._blocked_until_s, until.timestamp())
