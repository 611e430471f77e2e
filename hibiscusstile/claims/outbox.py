"""Queue of records to append to the log, one bounded batch at a time."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform
from hibiscusstile.claims import entries

__all__ = ["Batch", "Outbox"]

_MAX_QUEUED_RECORDS = 4096
_MAX_BATCH_RECORDS = 128
_MAX_BATCH_BYTES = 64 * 1024
_RECORD_OVERHEAD_BYTES = 300
# The log accepts several hundred appends per second; four sidecars of one
# service at this rate leave most of them to other streams.
_BATCH_INTERVAL = datetime.timedelta(milliseconds=50)
# Allows single calls to be appended without waiting for the interval.
_BURST_BATCHES = 20
_MIN_BACKOFF = datetime.timedelta(milliseconds=200)
_MAX_BACKOFF = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """The records of one append."""

    records: tuple[entries.ClaimRecord, ...]


@dataclasses.dataclass(slots=True)
class _QueuedRecord:
    record: entries.ClaimRecord
    may_be_appended: bool = False


class Outbox:
    """Keeps each record until it is known to be in the log.

    A record whose append has an unknown result is appended again; duplicates
    don't change the state of the key table.

    Args:
        clock: Schedules appends and retries.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._queued: dict[tuple[type, str], _QueuedRecord] = {}
        # Each append advances this time by one interval, starting at most one
        # burst before the current time.
        self._next_slot_s = clock.monotonic()
        self._backoff_end_s = clock.monotonic()
        self._backoff_s = 0.0
        self._in_flight: Batch | None = None

    def __len__(self) -> int:
        """Number of records that are not known to be in the log."""
        return len(self._queued)

    @property
    def in_backoff(self) -> bool:
        """Whether the last append failed and its retry is not due yet."""
        return (
            self._backoff_s > 0.0
            and self._clock.monotonic() < self._backoff_end_s
        )

    @property
    def is_full(self) -> bool:
        """Whether the queue accepts no new claims."""
        return len(self._queued) >= _MAX_QUEUED_RECORDS

    @property
    def next_append_s(self) -> float:
        """Monotonic time at which the next batch may be appended."""
        return max(self._next_slot_s, self._backoff_end_s)

    def put(self, record: entries.ClaimRecord) -> None:
        """Queues a record unless it is queued already."""
        self._queued.setdefault(_record_id(record), _QueuedRecord(record))

    def withdraw(self, claim_id: str) -> bool:
        """Drops a claim; returns whether the log may have or receive it."""
        queued = self._queued.pop((entries.Claim, claim_id), None)
        if queued is None or queued.may_be_appended:
            return True
        in_flight = self._in_flight
        return in_flight is not None and queued.record in in_flight.records

    def next_batch(self) -> Batch | None:
        """Returns the batch to append now, None if none is due."""
        if self._in_flight is not None or not self._queued:
            return None
        now_s = self._clock.monotonic()
        if now_s < self.next_append_s:
            return None
        interval_s = _BATCH_INTERVAL.total_seconds()
        burst_start_s = now_s - _BURST_BATCHES * interval_s
        self._next_slot_s = max(self._next_slot_s, burst_start_s) + interval_s
        records: list[entries.ClaimRecord] = []
        size = 0
        for queued in self._queued.values():
            size += _encoded_size(queued.record)
            if records and size > _MAX_BATCH_BYTES:
                break
            records.append(queued.record)
            if len(records) >= _MAX_BATCH_RECORDS:
                break
        self._in_flight = Batch(tuple(records))
        return self._in_flight

    def complete_batch(
        self,
        batch: Batch,
        result: platform.Appended
        | platform.AppendRefused
        | platform.AppendUnknown,
    ) -> list[entries.Claim]:
        """Handles an append's result; returns the claims never appended."""
        self._in_flight = None
        now_s = self._clock.monotonic()
        if isinstance(result, platform.Appended):
            self._backoff_s = 0.0
            for record in batch.records:
                self._queued.pop(_record_id(record), None)
            return []
        self._backoff_s = min(
            max(2 * self._backoff_s, _MIN_BACKOFF.total_seconds()),
            _MAX_BACKOFF.total_seconds(),
        )
        self._backoff_end_s = now_s + self._backoff_s
        if isinstance(result, platform.AppendRefused):
            return self._drop_refused_claims(batch)
        for record in batch.records:
            if (queued := self._queued.get(_record_id(record))) is not None:
                queued.may_be_appended = True
        return []

    def discard(self, record: entries.ClaimRecord) -> None:
        """Removes a record that was read back from the log."""
        self._queued.pop(_record_id(record), None)

    def _drop_refused_claims(self, batch: Batch) -> list[entries.Claim]:
        dropped = []
        for record in batch.records:
            queued = self._queued.get(_record_id(record))
            if queued is None or queued.may_be_appended:
                continue
            if isinstance(record, entries.Claim):
                del self._queued[_record_id(record)]
                dropped.append(record)
        return dropped


def _record_id(record: entries.ClaimRecord) -> tuple[type, str]:
    return type(record), record.claim_id


def _encoded_size(record: entries.ClaimRecord) -> int:
    if isinstance(record, entries.Completed) and record.reply is not None:
        # Base64 adds a third; JSON escapes in the content type add little.
        reply = record.reply
        return (
            _RECORD_OVERHEAD_BYTES
            + len(reply.body) * 4 // 3
            + len(reply.content_type)
        )
    return _RECORD_OVERHEAD_BYTES
