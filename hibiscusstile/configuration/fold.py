"""Folds the log's records into a state that is the same in every process."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from typing import Annotated, Any

import pydantic

from hibiscusstile import platform

__all__ = ["Accepted", "Fold", "Rejected", "StoredRecord"]

MAX_RECORD_BYTES = 256 * 1024
_Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"),
]


class Envelope(pydantic.BaseModel):
    """What every version of the program reads alike, now and later."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    kind: _Name
    name: _Name
    schema_version: Annotated[int, pydantic.Field(ge=1)]
    body: dict[str, Any]
    expect_revision: int | None = None
    author: Annotated[str, pydantic.Field(max_length=200)] = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """The last accepted record of one kind, name and schema version."""

    kind: str
    name: str
    schema_version: int
    offset: int
    body: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The record at `offset` is accepted."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The record at `offset` is not accepted."""

    offset: int
    reason: str


class Fold:
    """State after all records below `next_offset`.

    Acceptance reads the envelope only, whose rules never change, so that
    processes of different versions agree on it.
    """

    def __init__(self) -> None:
        self._records: dict[tuple[str, str, int], StoredRecord] = {}
        self._revision = -1
        self._next_offset = 0

    @property
    def revision(self) -> int:
        """Offset of the last accepted record; -1 for none."""
        return self._revision

    @property
    def next_offset(self) -> int:
        """Offset of the next log entry to apply."""
        return self._next_offset

    @property
    def records(self) -> tuple[StoredRecord, ...]:
        """The last accepted records, in order of their keys."""
        return tuple(self._records[key] for key in sorted(self._records))

    @property
    def digest(self) -> str:
        """Hexadecimal SHA-256 of the state."""
        text = json.dumps(
            [dataclasses.astuple(record) for record in self.records],
            sort_keys=True,
            separators=(",", ":"),
        )
        return hashlib.sha256(text.encode()).hexdigest()

    def apply(self, entry: platform.LogEntry) -> Accepted | Rejected:
        """Applies the entry at `next_offset`."""
        self._next_offset = entry.offset + 1
        if len(entry.payload) > MAX_RECORD_BYTES:
            return Rejected(entry.offset, "record is too long")
        try:
            envelope = Envelope.model_validate_json(entry.payload)
        except pydantic.ValidationError:
            return Rejected(entry.offset, "envelope is malformed")
        current = self._record_revision(envelope.kind, envelope.name)
        expected = envelope.expect_revision
        if expected is not None and expected != current:
            return Rejected(
                entry.offset,
                f"expected revision {expected} of {envelope.kind} "
                f"{envelope.name!r}, found {current}",
            )
        key = (envelope.kind, envelope.name, envelope.schema_version)
        self._records[key] = StoredRecord(*key, entry.offset, envelope.body)
        self._revision = entry.offset
        return Accepted(entry.offset)

    def restore(
        self,
        records: list[StoredRecord],
        revision: int,
        next_offset: int,
    ) -> None:
        """Replaces the state by that of a snapshot."""
        self._records = {(r.kind, r.name, r.schema_version): r for r in records}
        self._revision = revision
        self._next_offset = next_offset

    def _record_revision(self, kind: str, name: str) -> int:
        offsets = (
            record.offset
            for record in self._records.values()
            if record.kind == kind and record.name == name
        )
        return max(offsets, default=-1)
