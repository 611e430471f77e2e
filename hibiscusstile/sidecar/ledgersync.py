"""Synchronization of a sidecar's ledger with the claims stream."""

from __future__ import annotations

import asyncio
import collections
import datetime

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform, request
from hibiscusstile.claims import encoding, entries, outbox
from hibiscusstile.claims import ledger as ledger_lib

__all__ = ["LedgerSync", "claims_stream"]

_log = logbook.Logger("claims")

_LONG_POLL_TIMEOUT = datetime.timedelta(seconds=20)
_READ_RETRY_DELAY = datetime.timedelta(milliseconds=500)
# A log entry has at most 64 KiB, about 86 KiB in base64, so a page is smaller
# than 9 MB.
_PAGE_ENTRIES = 100


def claims_stream(application: str) -> str:
    """Returns the name of an application's claims stream."""
    return f"claims.{application}"


class LedgerSync:
    """Replicates the claims stream into the ledger and appends new records.

    Args:
        log: Client of the log service.
        stream: Name of the claims stream.
        ledger: Decides which sidecar runs a keyed call.
        clock: Measures deadlines and schedules appends and retries.
    """

    def __init__(
        self,
        log: platform.LogClient,
        stream: str,
        ledger: ledger_lib.Ledger,
        clock: clock_lib.Clock,
    ) -> None:
        self._platform_log = log
        self._stream = stream
        self._ledger = ledger
        self._clock = clock
        self._waiters: collections.defaultdict[bytes, set[asyncio.Event]] = (
            collections.defaultdict(set)
        )
        self._append_needed = asyncio.Event()

    @property
    def ledger(self) -> ledger_lib.Ledger:
        """The ledger that is kept in sync."""
        return self._ledger

    @property
    def unappended_records(self) -> int:
        """Number of records that are not known to be in the log."""
        return len(self._ledger.outbox)

    async def follow_stream(self) -> None:
        """Applies the entries of the stream to the ledger until cancelled."""
        wait = datetime.timedelta(0)
        while True:
            page = await self._platform_log.read(
                self._stream,
                self._ledger.next_offset,
                limit=_PAGE_ENTRIES,
                wait=wait,
            )
            if isinstance(page, platform.LogUnavailable):
                wait = datetime.timedelta(0)
                _log.warning("log_unavailable reason={}", page.message)
                self._ledger.mark_unreadable()
                await self._clock.sleep(_READ_RETRY_DELAY)
                continue
            wait = _LONG_POLL_TIMEOUT
            caught_up = self._ledger.caught_up
            self._ledger.apply(page)
            if self._ledger.caught_up and not caught_up:
                self._notify_all_waiters()
            self.notify_waiters()

    async def append_batches(self) -> None:
        """Appends batches of records, one at a time, until cancelled."""
        while True:
            self._append_needed.clear()
            batch = self._ledger.outbox.next_batch()
            if batch is not None:
                await self._append(batch)
            elif self.unappended_records:
                due_s = self._ledger.outbox.next_append_s
                wait_s = max(0.001, due_s - self._clock.monotonic())
                await self._clock.sleep(datetime.timedelta(seconds=wait_s))
            else:
                await self._append_needed.wait()

    async def wait_for_change(self, key: bytes, deadline_s: float) -> None:
        """Waits until the state of a key changes or the deadline passes.

        Args:
            key: Digest of the idempotency key.
            deadline_s: Monotonic time at which waiting ends.
        """
        changed = asyncio.Event()
        self._waiters[key].add(changed)
        try:
            async with asyncio.timeout(deadline_s - self._clock.monotonic()):
                await changed.wait()
        except TimeoutError:
            return
        finally:
            self._waiters[key].discard(changed)
            if not self._waiters[key]:
                del self._waiters[key]

    def notify_waiters(self) -> None:
        """Wakes the calls that wait for keys changed in the ledger."""
        for key in self._ledger.pop_changed_keys():
            for changed in self._waiters.get(key, ()):
                changed.set()
        if self.unappended_records:
            self._append_needed.set()

    async def read_reply(
        self, claim_id: str, offset: int
    ) -> request.ServiceReply | None:
        """Returns a reply stored in the log, None if it cannot be read."""
        page = await self._platform_log.read(self._stream, offset, limit=1)
        if isinstance(page, platform.LogUnavailable):
            return None
        for entry in page.entries:
            if entry.offset != offset:
                continue
            for record in encoding.decode(entry.payload):
                if (
                    isinstance(record, entries.Completed)
                    and record.claim_id == claim_id
                ):
                    return record.reply
        return None

    async def _append(self, batch: outbox.Batch) -> None:
        result: (
            platform.Appended | platform.AppendRefused | platform.AppendUnknown
        ) = platform.AppendUnknown("the append was cancelled")
        try:
            result = await self._platform_log.append(
                self._stream, encoding.encode(batch.records)
            )
        finally:
            self._ledger.handle_append_result(batch, result)
            self.notify_waiters()
        if not isinstance(result, platform.Appended):
            _log.warning("claims_append_failed reason={}", result.message)

    def _notify_all_waiters(self) -> None:
        for waiters in self._waiters.values():
            for changed in waiters:
                changed.set()
