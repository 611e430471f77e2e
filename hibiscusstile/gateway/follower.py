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

# Calls to the store are charged, so that a wait is as long as a lost
# connection may go unnoticed.
_MAX_WAIT = datetime.timedelta(seconds=8)
# A wait that begins within milliseconds of an append may not end with it, and
# changes come in series. Configuration must be in force within two seconds,
# so the first wait after news is short.
_INITIAL_WAIT = datetime.timedelta(seconds=1)
_WAIT_GROWTH = 3
# The store is asked again this soon after a failure: configuration and
# leaving servers must be known within two seconds of its return.
_INITIAL_RETRY_S = 0.25
_MAX_RETRY_S = 1.0


class Consumer(abc.ABC):
    """Takes the records of a keyed topic in."""

    @abc.abstractmethod
    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Takes in the newest record of every key."""

    @abc.abstractmethod
    def apply(self, record: topics.KeyedRecord) -> None:
        """Takes in a newer record; an empty value drops the key."""

    def note_lost(self) -> None:
        """Notes that the topic cannot be read."""

    def note_back(self) -> None:
        """Notes that the topic can be read again."""


class KeyedFollower:
    """Reads the newest records, then waits for newer ones.

    Args:
        log: The log.
        topic: The topic.
        consumer: Takes the records in.
        clock: Waits.
        pause: Least time between two reads.
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
        self._wait = _INITIAL_WAIT

    def restart(self) -> None:
        """Reads every key anew: another log has other offsets."""
        self._offset = None

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        while True:
            if self._offset is None:
                succeeded = await self._read_all()
            else:
                succeeded = await self._read_newer(self._offset)
            if succeeded:
                await self._clock.sleep(self._pause)
            else:
                await self._clock.sleep(self._retry_delay())

    async def _read_all(self) -> bool:
        newest = await self._log.newest(self._topic)
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
            self._offset = None
            return True
        self._note_success()
        self._wait = (
            _INITIAL_WAIT
            if records.payloads
            else min(_MAX_WAIT, self._wait * _WAIT_GROWTH)
        )
        for index, payload in enumerate(records.payloads):
            try:
                record = topics.decode_keyed(payload, offset + index)
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
        if not self._failures:
            logs.warn(_log, "store_lost", topic=self._topic, error=message)
            self._consumer.note_lost()
        self._failures += 1

    def _note_success(self) -> None:
        if self._failures:
            logs.warn(
                _log,
                "store_back",
                topic=self._topic,
                failures=self._failures,
            )
            self._consumer.note_back()
            self._wait = _INITIAL_WAIT
        self._failures = 0

    def _retry_delay(self) -> datetime.timedelta:
        doubled_s = _INITIAL_RETRY_S * 2 ** min(self._failures - 1, 8)
        limit_s = min(_MAX_RETRY_S, doubled_s)
        return datetime.timedelta(seconds=limit_s * random.uniform(0.7, 1.0))
