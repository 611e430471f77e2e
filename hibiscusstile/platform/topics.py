"""The platform's log with topics, behind a small interface."""

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
        key: The record's key.
        value: Its value; empty when the key was dropped.
        offset: Its offset.
    """

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key, and where to read on."""

    records: tuple[KeyedRecord, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBatch:
    """Raw records from an offset on, and where to read on."""

    payloads: tuple[bytes, ...]
    start: int
    end: int

    @property
    def next_offset(self) -> int:
        """Offset after the last record."""
        return self.start + len(self.payloads)


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """The records asked for are deleted; `first` is the first one kept."""

    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendConflict:
    """The topic does not end where the append demanded."""

    end: int


class KeyedLog(abc.ABC):
    """A log with topics, whose keyed topics keep the newest of each key."""

    @abc.abstractmethod
    async def newest(
        self, topic: str
    ) -> NewestRecords | platform.LogUnavailable:
        """Returns the newest record of each key of a topic."""

    @abc.abstractmethod
    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> RecordBatch | Trimmed | platform.LogUnavailable:
        """Reads records from `offset` on, waiting up to `wait` for one."""

    @abc.abstractmethod
    async def append(
        self, topic: str, payload: bytes, expected_end: int | None = None
    ) -> (
        platform.Appended
        | AppendConflict
        | platform.AppendRefused
        | platform.AppendUnknown
    ):
        """Appends one record, once.

        Args:
            topic: The topic.
            payload: The record.
            expected_end: Where the topic must end; None for anywhere.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections."""


def decode_keyed_record(payload: bytes, offset: int) -> KeyedRecord:
    """Returns the key and value of a keyed topic's record.

    Raises:
        ValueError: It is shorter than its key.
    """
    size = payload[0] if payload else 0
    if len(payload) < 1 + size:
        raise ValueError("the record is shorter than its key")
    key = payload[1 : 1 + size].decode(errors="replace")
    return KeyedRecord(key, payload[1 + size :], offset)


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Returns a keyed topic's record."""
    raw = key.encode()
    return bytes([len(raw)]) + raw + value
