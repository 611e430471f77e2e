"""Follows a keyed topic of the platform's log."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import datetime
import functools
import random
from collections.abc import Callable, Sequence

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, platform
from hibiscusstile.platform import topics

__all__ = ["Consumer", "KeyedFollower", "ReadPace", "link"]

_log = logbook.Logger("follower")

# A long-poll that starts within milliseconds of an append may miss it, and
# changes come in series. Configuration must be in force within 2 s, so the
# first wait after new records is short.
_INITIAL_WAIT = datetime.timedelta(seconds=1)
_WAIT_GROWTH = 3
# Times between the starts of failing reads.
_INITIAL_RETRY_S = 0.25
# Reads that take longer than that are followed by the next one after this.
_MIN_RETRY_DELAY_S = 0.1
# A single read that fails in less time, for example because the store rejects
# it, is no outage in which entries expire.
_MIN_OUTAGE_S = 0.5
# Pause while the consumer awaits records.
_SHORT_PAUSE = datetime.timedelta(milliseconds=200)
# Shares of the time in which a server that leaves must be known: when it has
# said so, and after a disturbance of the store. The rest is for reading the
# entries anew and for requests under way.
# Each read is charged, and every server that starts, fills up or leaves changes
# its entry.
_PAUSE_SHARE = 0.6
_WAIT_SHARE = 0.8
_LOST_READ_SHARE = 0.85
_ANSWER_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPace:
    """How often a topic is read, and after which time a read counts as lost.

    Calls to the store are charged, so a read waits as long as a lost response
    may go undetected: a store that hangs still acknowledges keep-alive probes.

    Attributes:
        pause: Minimum time between the starts of two reads.
        max_wait: Longest wait of a read for new records.
        answer_limit: Time after the wait at which a read counts as lost.
        max_retry: Longest time between the starts of two failing reads, if
            they fail sooner.
    """

    pause: datetime.timedelta = datetime.timedelta(0)
    max_wait: datetime.timedelta = datetime.timedelta(seconds=8)
    answer_limit: datetime.timedelta = datetime.timedelta(seconds=1.5)
    max_retry: datetime.timedelta = datetime.timedelta(seconds=1)

    @classmethod
    def for_server_entries(
        cls, drain: datetime.timedelta, stable_window: datetime.timedelta
    ) -> ReadPace:
        """Returns the pace at which leaving servers are known in time.

        A wait that misses an append ends within `drain`. Without bounds on
        lost and failing reads, a removed entry would be read later than
        `stable_window` after a disturbance.

        Args:
            drain: Time after its announcement at which a leaving server must
                get no new requests.
            stable_window: Time after a disturbance of the store from which
                this holds again.
        """
        answer_limit = _ANSWER_SHARE * stable_window
        return cls(
            _PAUSE_SHARE * drain,
            min(
                _WAIT_SHARE * drain,
                _LOST_READ_SHARE * stable_window - answer_limit,
            ),
            answer_limit,
            answer_limit,
        )


class Consumer(abc.ABC):
    """Receives the records of a keyed topic."""

    @abc.abstractmethod
    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Applies the newest record of every key."""

    @abc.abstractmethod
    def apply(self, record: topics.KeyedRecord) -> None:
        """Applies a newer record; an empty value deletes the key."""

    def note_lost(self) -> None:
        """Called when reading the topic keeps failing."""

    def note_back(self, last_failed_s: float) -> None:
        """Called when the topic can be read again.

        Args:
            last_failed_s: Monotonic time at which the last failed read began.
                The store may have been back at any time since.
        """

    @property
    def awaits_records(self) -> bool:
        """Whether records are expected that make a pause harmful."""
        return False


class KeyedFollower:
    """Reads the newest record of every key, then long-polls for newer ones.

    Args:
        log: Log that holds the topic.
        topic: Name of the topic.
        consumer: Receives the records.
        clock: Clock for pauses and retries.
        pace: How often the topic is read.
    """

    def __init__(
        self,
        log: topics.KeyedLog,
        topic: str,
        consumer: Consumer,
        clock: clock_lib.Clock,
        pace: ReadPace | None = None,
    ) -> None:
        self._log = log
        self._topic = topic
        self._consumer = consumer
        self._clock = clock
        self._pace = pace or ReadPace()
        # The next record's offset, and the era of the log that it belongs to.
        self._offset: int | None = None
        self._era: int | None = None
        self._restart_requested = False
        self._failures = 0
        self._outage_noted = False
        self._read_started_s = 0.0
        self._lost_s = 0.0
        self._last_failed_read_s = 0.0
        self._wait = _INITIAL_WAIT
        self._on_back: Callable[[], None] = lambda: None
        self._read_limit: asyncio.Timeout | None = None
        self._renewed = False

    def on_back(self, call: Callable[[], None]) -> None:
        """Sets what is called when the topic can be read again."""
        self._on_back = call

    def renew(self) -> None:
        """Reads again at once if a read waits, as its response may be lost."""
        if self._read_limit is not None and not self._read_limit.expired():
            self._renewed = True
            self._read_limit.reschedule(asyncio.get_running_loop().time())

    def restart(self) -> None:
        """Makes the next read fetch every key again.

        Required after a change to another log, which has other offsets.
        """
        self._offset = self._era = None
        self._restart_requested = True

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        while True:
            self._read_started_s = self._clock.monotonic()
            if self._offset is not None and self._log.era != self._era:
                self._note_restored(self._log.era)
            if self._offset is None:
                succeeded = await self._read_all()
            else:
                succeeded = await self._read_newer(self._offset)
            if succeeded:
                await self._clock.sleep(self._pause_left())
            else:
                await self._clock.sleep(self._retry_delay())

    async def _read_all(self) -> bool:
        self._restart_requested = False
        newest = await self._log.read_newest(self._topic)
        if self._restart_requested:
            return True
        if isinstance(newest, platform.LogUnavailable):
            self._note_failure(newest.message)
            return False
        if self._era is not None and newest.era != self._era:
            logs.event(
                _log,
                "topic_read_again",
                topic=self._topic,
                era=newest.era,
                records=len(newest.records),
                end=newest.end,
            )
        self._consumer.apply_all(newest.records)
        self._note_success()
        self._offset, self._era = newest.end, newest.era
        self._wait = _INITIAL_WAIT
        return True

    async def _read_newer(self, offset: int) -> bool:
        wait = self._wait if not self._failures else datetime.timedelta(0)
        records = await self._read(offset, wait)
        if isinstance(records, platform.LogUnavailable):
            self._note_failure(records.message)
            return False
        if records.era != self._era:
            self._note_restored(records.era)
            return await self._read_all()
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
            else min(self._pace.max_wait, self._wait * _WAIT_GROWTH)
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

    async def _read(
        self, offset: int, wait: datetime.timedelta
    ) -> topics.RecordBatch | topics.Trimmed | platform.LogUnavailable:
        limit = wait + self._pace.answer_limit
        self._renewed = False
        try:
            async with asyncio.timeout(limit.total_seconds()) as read_limit:
                self._read_limit = read_limit if wait else None
                return await self._log.read(self._topic, offset, wait)
        except TimeoutError:
            if self._renewed:
                return await self._read(offset, datetime.timedelta(0))
            return platform.LogUnavailable(
                f"no response within {limit.total_seconds():g} s"
            )
        finally:
            self._read_limit = None

    def _note_restored(self, era: int | None) -> None:
        """Discards the position, which another log has used since.

        Consumers are told of an outage: the copy may lack records that their
        writers will write again.
        """
        logs.event(
            _log,
            "topic_restored",
            topic=self._topic,
            era=era,
            before=self._era,
            offset=self._offset,
        )
        self._offset = None
        if not self._failures:
            self._note_failure(
                "the store was restored from a copy", restored=True
            )

    def _note_failure(self, message: str, *, restored: bool = False) -> None:
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
        self._last_failed_read_s = self._read_started_s
        self._failures += 1
        if not self._outage_noted and (
            self._failures > 1
            or restored
            or now_s - self._read_started_s >= _MIN_OUTAGE_S
        ):
            self._outage_noted = True
            self._consumer.note_lost()

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
            if self._outage_noted:
                self._outage_noted = False
                self._consumer.note_back(self._last_failed_read_s)
            self._wait = _INITIAL_WAIT
            self._on_back()
        self._failures = 0

    def _pause_left(self) -> datetime.timedelta:
        if self._consumer.awaits_records:
            return min(_SHORT_PAUSE, self._pace.pause)
        taken_s = self._clock.monotonic() - self._read_started_s
        left = self._pace.pause - datetime.timedelta(seconds=taken_s)
        return max(datetime.timedelta(0), left)

    def _retry_delay(self) -> datetime.timedelta:
        doubled_s = _INITIAL_RETRY_S * 2 ** min(self._failures - 1, 8)
        interval_s = min(self._pace.max_retry.total_seconds(), doubled_s)
        taken_s = self._clock.monotonic() - self._read_started_s
        delay_s = max(_MIN_RETRY_DELAY_S, interval_s - taken_s)
        return datetime.timedelta(seconds=delay_s * random.uniform(0.7, 1.0))


def link(followers: Sequence[KeyedFollower]) -> None:
    """Makes followers of one store read again when one of them can again.

    Reads that waited during the outage may never be answered, and topics that
    are read less often would notice this last.
    """

    def renew_others(returned: KeyedFollower) -> None:
        for each in followers:
            if each is not returned:
                each.renew()

    for each in followers:
        each.on_back(functools.partial(renew_others, each))
