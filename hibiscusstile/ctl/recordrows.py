"""Rows in which commands show the records of a configuration."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from hibiscusstile import records
from hibiscusstile.configuration import state as state_lib
from hibiscusstile.configuration import store as store_lib

__all__ = ["RecordRow", "build_rows"]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRow:
    """The newest accepted record of one kind, name and schema version.

    Attributes:
        kind: Kind of the record.
        name: Name of the record.
        schema_version: Schema version of the body.
        revision: Offset of the record in the log.
        status: `in_force`; `superseded` by a newer schema version;
            `no_effect` for a body that its schema rejects, so that an
            earlier body stays in force; or `unknown_schema`.
        body: Body of the record.
    """

    kind: str
    name: str
    schema_version: int
    revision: int
    status: str
    body: Mapping[str, Any]

    @property
    def summary(self) -> dict[str, Any]:
        """All fields except the body."""
        fields = dataclasses.asdict(self)
        del fields["body"]
        return fields


def build_rows(store: store_lib.ConfigurationStore) -> list[RecordRow]:
    """Returns the rows, sorted by kind, name and schema version."""
    statuses = {r.key: _schema_status(store, r) for r in store.state.records}
    result = []
    for record in store.state.records:
        status = statuses[record.key]
        if status == "in_force" and any(
            statuses.get((record.kind, record.name, version)) == "in_force"
            for version in range(
                record.schema_version + 1,
                records.newest_schema_version(record.kind) + 1,
            )
        ):
            status = "superseded"
        result.append(
            RecordRow(
                record.kind,
                record.name,
                record.schema_version,
                record.offset,
                status,
                record.body,
            )
        )
    return result


def _schema_status(
    store: store_lib.ConfigurationStore, record: state_lib.StoredRecord
) -> str:
    valid = store.check_body(record)
    if valid is None:
        return "unknown_schema"
    return "in_force" if valid else "no_effect"
