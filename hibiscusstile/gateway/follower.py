"""Follows a keyed topic of the platform's log."""

from __future__ import annotations

import abc
import datetime
import random
from collections.abc import Sequence

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, platform
from hibiscusstile.platform import topics

__all__ = ["Consumer", "KeyedFollower"]

_log = logbook.Logger("follower")

# Longest long-poll. Calls to the store are charged, so a wait lasts as long as
# a lost connection may go undetected.
_MAX_WAIT = datetime.timedelta(seconds=8)
# A long-poll that starts within milliseconds of an append may miss it, and
# changes come in series. Configuration must be in force within 2 s, so the
# first wait after new records is short.
_INITIAL_WAIT = datetime.timedelta(seconds=1)
_WAIT_GROWTH = 3
# Retry delays after a failed read: configuration and leaving servers must be
# known within 2 s of the store's recovery.
_INITIAL_RETRY_S = 0.25
_MAX_RETRY_S = 1.0


class Consumer(abc.ABC):
    """Receives the records of a keyed topic."""

    @abc.abstractmethod
    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Applies the newest record of every key."""

    @abc.abstractmethod
    def apply(self, record: topics.KeyedRecord) -> None:
        """Applies a newer record; an empty value deletes the key."""

    def note_lost(self) -> None:
        """Called when reading the topic starts to fail."""

    def note_back(self, last_failed_s: float) -> None:
        """Called when the topic can be read again.

        Args:
            last_failed_s: Monotonic time at which the last failed read began.
                The store may have been back at any time since.
        """


class KeyedFollower:
    """Reads the newest record of every key, then long-polls for newer ones.

    Args:
        log: Log that holds the topic.
        topic: Name of the topic.
        consumer: Receives the records.
        clock: Clock for pauses and retries.
        pause: Minimum time between two reads.
    """

    def __init__(
        self,
        log: topics.KeyedLog,
        topic: str,
        consumer: Consumer,
        clock: clock_lib.Clock,
        pause: datetime.timedelta = datetime.timedelta(0),
    ) -> None:
        self._log = log
        self._topic = topic
        self._consumer = consumer
        self._clock = clock
        self._pause = pause
        self._offset: int | None = None
        self._failures = 0
        self._read_started_s = 0.0
        self._lost_s = 0.0
        self._last_failed_read_s = 0.0
        self._wait = _INITIAL_WAIT

    def restart(self) -> None:
        """Makes the next read fetch every key again.

        Required after a change to another log, which has other offsets.
        """
        self._offset = None

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        while True:
            self._read_started_s = self._clock.monotonic()
            if self._offset is None:
                succeeded = await self._read_all()
            else:
                succeeded = await self._read_newer(self._offset)
            if succeeded:
                await self._clock.sleep(self._pause)
            else:
                await self._clock.sleep(self._retry_delay())

    async def _read_all(self) -> bool:
        newest = await self._log.read_newest(self._topic)
        if isinstance(newest, platform.LogUnavailable):
            self._note_failure(newest.message)
            return False
        self._consumer.apply_all(newest.records)
        self._note_success()
        self._offset = newest.end
        self._wait = _INITIAL_WAIT
        return True

    async def _read_newer(self, offset: int) -> bool:
        wait = self._wait if not self._failures else datetime.timedelta(0)
        records = await self._log.read(self._topic, offset, wait)
        if isinstance(records, platform.LogUnavailable):
            self._note_failure(records.message)
            return False
        if isinstance(records, topics.Trimmed):
            logs.event(
                _log,
                "history_trimmed",
                topic=self._topic,
                offset=offset,
                first=records.first,
            )
            self._offset = None
            return await self._read_all()
        self._note_success()
        self._wait = (
            _INITIAL_WAIT
            if records.payloads
            else min(_MAX_WAIT, self._wait * _WAIT_GROWTH)
        )
        for index, payload in enumerate(records.payloads):
            try:
                record = topics.decode_keyed_record(payload, offset + index)
            except ValueError as error:
                logs.warn(
                    _log,
                    "record_unreadable",
                    topic=self._topic,
                    offset=offset + index,
                    error=str(error),
                )
                continue
            self._consumer.apply(record)
        if self._offset == offset:
            self._offset = records.next_offset
        return True

    def _note_failure(self, message: str) -> None:
        now_s = self._clock.monotonic()
        if not self._failures:
            logs.warn(
                _log,
                "store_lost",
                topic=self._topic,
                error=message,
                read_s=round(now_s - self._read_started_s, 3),
            )
            self._lost_s = now_s
            self._consumer.note_lost()
        self._last_failed_read_s = self._read_started_s
        self._failures += 1

    def _note_success(self) -> None:
        if self._failures:
            now_s = self._clock.monotonic()
            logs.warn(
                _log,
                "store_back",
                topic=self._topic,
                failures=self._failures,
                lost_s=round(now_s - self._lost_s, 3),
                last_failed_read_s_ago=round(
                    now_s - self._last_failed_read_s, 3
                ),
            )
            self._consumer.note_back(self._last_failed_read_s)
            self._wait = _INITIAL_WAIT
        self._failures = 0

    def _retry_delay(self) -> datetime.timedelta:
        doubled_s = _INITIAL_RETRY_S * 2 ** min(self._failures - 1, 8)
        delay_s = min(_MAX_RETRY_S, doubled_s)
        return datetime.timedelta(seconds=delay_s * random.uniform(0.7, 1.0))
