"""Interface to the platform's log with keyed topics."""

from __future__ import annotations

import abc
import dataclasses
import datetime

from hibiscusstile import platform

__all__ = [
    "AppendConflict",
    "KeyedLog",
    "KeyedRecord",
    "NewestRecords",
    "RecordBatch",
    "Trimmed",
    "decode_keyed_record",
    "encode_keyed_record",
]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic.

    Attributes:
        key: Key of the record.
        value: Value of the record; empty if the key was removed.
        offset: Offset in the topic.
    """

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key, and the offset to read on from.

    Attributes:
        records: The records.
        end: Offset to read on from.
        era: Era of the log that the offsets belong to; None if unknown. A log
            that was restored from a copy has a new era and other offsets.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBatch:
    """Encoded records from offset `start` on, and the end of the topic."""

    payloads: tuple[bytes, ...]
    start: int
    end: int
    era: int | None = None

    @property
    def next_offset(self) -> int:
        """Offset after the last record."""
        return self.start + len(self.payloads)


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """The requested records were deleted; `first` is the first kept offset."""

    first: int
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AppendConflict:
    """The topic does not end where the append expected, but at `end`."""

    end: int
    era: int | None = None


class KeyedLog(abc.ABC):
    """A log with keyed topics, which retain the newest record of each key."""

    @property
    def era(self) -> int | None:
        """Newest known era of the log; None if unknown."""
        return None

    @abc.abstractmethod
    async def read_newest(
        self, topic: str
    ) -> NewestRecords | platform.LogUnavailable:
        """Reads the newest record of each key of a topic."""

    @abc.abstractmethod
    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> RecordBatch | Trimmed | platform.LogUnavailable:
        """Reads records from `offset` on, waiting up to `wait` for new ones."""

    @abc.abstractmethod
    async def append(
        self, topic: str, payload: bytes, expected_end: int | None = None
    ) -> (
        platform.Appended
        | AppendConflict
        | platform.AppendRefused
        | platform.AppendUnknown
    ):
        """Appends one record without retrying.

        Args:
            topic: Name of the topic.
            payload: Encoded record.
            expected_end: Offset at which the topic must end; None to append
                unconditionally.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the client's connections."""


def decode_keyed_record(payload: bytes, offset: int) -> KeyedRecord:
    """Decodes a record of a keyed topic.

    Raises:
        ValueError: The record is shorter than its key.
    """
    size = payload[0] if payload else 0
    if len(payload) < 1 + size:
        raise ValueError("the record is shorter than its key")
    key = payload[1 : 1 + size].decode(errors="replace")
    return KeyedRecord(key, payload[1 + size :], offset)


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic.

    The first byte is the length of the key, which precedes the value.
    """
    raw = key.encode()
    return bytes([len(raw)]) + raw + value
