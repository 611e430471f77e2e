"""The replicated configuration state, computed from the records on the log."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeAlias

from hibiscusstile import platform
from hibiscusstile.configuration import envelope as envelope_lib

__all__ = [
    "Accepted",
    "BodyCheck",
    "ConfigurationState",
    "Histories",
    "OutOfOrder",
    "RecordKey",
    "Rejected",
    "StoredRecord",
    "group_histories",
    "state_digest",
]

# For a known schema at most two records are kept: the last valid one and the
# newest. For an unknown schema, validity cannot be determined, and the oldest
# record and the newest ones are kept up to this number.
_MAX_HISTORY_RECORDS = 8

RecordKey: TypeAlias = tuple[str, str, int]


class OutOfOrder(ValueError):  # noqa: N818 - names the fault of the caller
    """A log entry does not have the next expected offset."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """An accepted record of one kind, name and schema version.

    Attributes:
        kind: The kind.
        name: The name.
        schema_version: Version of the body's schema.
        offset: Offset of the record on the log.
        body: The body.
        digest: SHA-256 of the other fields.
    """

    kind: str
    name: str
    schema_version: int
    offset: int
    body: Mapping[str, Any]
    digest: bytes

    @classmethod
    def create(
        cls,
        kind: str,
        name: str,
        schema_version: int,
        offset: int,
        body: Mapping[str, Any],
    ) -> StoredRecord:
        """Creates a record and computes its digest."""
        encoded = envelope_lib.canonical_json(
            [kind, name, schema_version, offset, body]
        )
        digest = hashlib.sha256(encoded).digest()
        return cls(kind, name, schema_version, offset, body, digest)

    @property
    def key(self) -> RecordKey:
        """Kind, name and schema version."""
        return self.kind, self.name, self.schema_version


BodyCheck: TypeAlias = Callable[[StoredRecord], bool | None]
Histories: TypeAlias = Mapping[RecordKey, tuple[StoredRecord, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The record at `offset` is accepted."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The record at `offset` is rejected."""

    offset: int
    reason: str


def group_histories(
    records: Iterable[StoredRecord],
) -> dict[RecordKey, tuple[StoredRecord, ...]]:
    """Groups records by key, each group in order of offset."""
    groups: dict[RecordKey, dict[int, StoredRecord]] = {}
    for record in records:
        groups.setdefault(record.key, {})[record.offset] = record
    return {
        key: tuple(group[offset] for offset in sorted(group))
        for key, group in groups.items()
    }


def state_digest(histories: Histories) -> str:
    """Returns the hexadecimal SHA-256 of the newest record of each key."""
    digest = hashlib.sha256()
    for key in sorted(histories):
        digest.update(histories[key][-1].digest)
    return digest.hexdigest()


def _cannot_check(record: StoredRecord) -> bool | None:
    del record
    return None


class ConfigurationState:
    """Configuration state after all log entries below `next_offset`.

    Acceptance depends only on the envelope, whose rules never change, so that
    processes of different versions agree on it. If the newest accepted record
    of a key has an invalid body, an earlier body stays in force; earlier
    records are therefore kept until the newest is known to be valid. Only the
    newest record of each key enters the digest, because processes of
    different versions keep different earlier ones.

    Args:
        check_body: Returns whether a record's body is valid, None if this
            process does not know its schema.
    """

    def __init__(self, check_body: BodyCheck = _cannot_check) -> None:
        self._check_body = check_body
        self._histories: dict[RecordKey, tuple[StoredRecord, ...]] = {}
        self._revisions: dict[tuple[str, str], int] = {}
        self._revision = -1
        self._next_offset = 0
        self._digest: str | None = None

    @property
    def revision(self) -> int:
        """Offset of the last accepted record; -1 for none."""
        return self._revision

    @property
    def next_offset(self) -> int:
        """Offset of the next log entry to apply."""
        return self._next_offset

    @property
    def histories(self) -> Histories:
        """Retained records by key, the newest last."""
        return self._histories

    @property
    def records(self) -> tuple[StoredRecord, ...]:
        """The newest accepted records, in order of their keys."""
        return tuple(
            self._histories[key][-1] for key in sorted(self._histories)
        )

    @property
    def digest(self) -> str:
        """Hexadecimal digest, equal in all processes with the same state."""
        if self._digest is None:
            self._digest = state_digest(self._histories)
        return self._digest

    def record_revision(self, kind: str, name: str) -> int:
        """Returns the offset of the last accepted record, -1 for none."""
        return self._revisions.get((kind, name), -1)

    def apply(self, entry: platform.LogEntry) -> Accepted | Rejected:
        """Applies the entry at `next_offset`; invalid payloads are rejected.

        Raises:
            OutOfOrder: The entry has a different offset.
        """
        if entry.offset != self._next_offset:
            raise OutOfOrder(
                f"got log entry {entry.offset}, expected {self._next_offset}"
            )
        self._next_offset = entry.offset + 1
        try:
            envelope = envelope_lib.parse_envelope(entry.payload)
        except envelope_lib.EnvelopeError as error:
            return Rejected(entry.offset, str(error))
        current_revision = self.record_revision(envelope.kind, envelope.name)
        expected_revision = envelope.expect_revision
        if (
            expected_revision is not None
            and expected_revision != current_revision
        ):
            return Rejected(
                entry.offset,
                f"expected revision {expected_revision} of {envelope.kind} "
                f"{envelope.name!r}, found {current_revision}",
            )
        self._store_record(
            StoredRecord.create(
                envelope.kind,
                envelope.name,
                envelope.schema_version,
                entry.offset,
                envelope.body,
            )
        )
        return Accepted(entry.offset)

    def replace(
        self, histories: Histories, revision: int, next_offset: int
    ) -> None:
        """Replaces the state with a newer one; the caller has checked it."""
        self._histories = {
            key: self._trim_history(history)
            for key, history in histories.items()
        }
        self._revisions = {}
        for kind, name, version in self._histories:
            newest = self._histories[kind, name, version][-1].offset
            known_revision = self._revisions.get((kind, name), -1)
            self._revisions[kind, name] = max(known_revision, newest)
        self._revision = revision
        self._next_offset = next_offset
        self._digest = None

    def _store_record(self, record: StoredRecord) -> None:
        history = (*self._histories.get(record.key, ()), record)
        self._histories[record.key] = self._trim_history(history)
        self._revisions[record.kind, record.name] = record.offset
        self._revision = record.offset
        self._digest = None

    def _trim_history(
        self, history: tuple[StoredRecord, ...]
    ) -> tuple[StoredRecord, ...]:
        validities = [self._check_body(record) for record in history]
        if True in validities:
            last_valid = len(validities) - 1 - validities[::-1].index(True)
            return history[last_valid : last_valid + 1] + (
                history[-1:] if last_valid < len(history) - 1 else ()
            )
        if len(history) > _MAX_HISTORY_RECORDS:
            return history[0], *history[1 - _MAX_HISTORY_RECORDS :]
        return history
