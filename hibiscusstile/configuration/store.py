"""The configuration in force in one process."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import logbook
import pydantic

from hibiscusstile import logs, metrics, platform, records
from hibiscusstile.configuration import fold as fold_lib
from hibiscusstile.configuration import view as view_lib

__all__ = ["ConfigurationStore"]

_log = logbook.Logger("configuration")

_FIELD_BY_KIND = {
    "workspace": "workspaces",
    "rank": "ranks",
    "routing_policy": "policies",
    "model": "models",
    "application": "applications",
    "backend_kind": "backend_kinds",
}


class ConfigurationStore:
    """Folds the log and holds the view built from it; it never goes back."""

    def __init__(self) -> None:
        self._fold = fold_lib.Fold()
        self._view = view_lib.ConfigurationView()

    @property
    def view(self) -> view_lib.ConfigurationView:
        """The effective records."""
        return self._view

    @property
    def revision(self) -> int:
        """Revision in force; -1 for none."""
        return self._fold.revision

    @property
    def next_offset(self) -> int:
        """Offset of the next log entry to apply."""
        return self._fold.next_offset

    @property
    def digest(self) -> str:
        """Hexadecimal digest of the folded state."""
        return self._fold.digest

    def apply(self, entries: tuple[platform.LogEntry, ...]) -> None:
        """Applies log entries in order; earlier ones are ignored."""
        for entry in entries:
            if entry.offset >= self._fold.next_offset:
                _log.info(_verdict_line(self._fold.apply(entry)))
        self._rebuild()

    def snapshot(self) -> bytes:
        """Returns the state, encoded."""
        return json.dumps(
            {
                "revision": self._fold.revision,
                "next_offset": self._fold.next_offset,
                "records": [
                    dataclasses.asdict(each) for each in self._fold.records
                ],
            },
            separators=(",", ":"),
        ).encode()

    def adopt(self, snapshot: bytes) -> bool:
        """Takes over a peer's state if it is newer; False if it is not.

        Raises:
            ValueError: The snapshot is malformed.
        """
        data = json.loads(snapshot)
        if data["next_offset"] <= self._fold.next_offset:
            return False
        stored = [fold_lib.StoredRecord(**each) for each in data["records"]]
        self._fold.restore(stored, data["revision"], data["next_offset"])
        self._rebuild()
        return True

    def _rebuild(self) -> None:
        if self._view.revision == self._fold.revision:
            return
        fields: dict[str, dict[str, Any]] = {
            field: {} for field in _FIELD_BY_KIND.values()
        }
        # Sorted by schema version, so that the newest known one wins.
        for record in self._fold.records:
            built = _build(record)
            if built is not None:
                fields[_FIELD_BY_KIND[record.kind]][record.name] = built
        keys = {
            key.key_id: (workspace, key)
            for workspace in fields["workspaces"].values()
            for key in workspace.keys
        }
        self._view = view_lib.ConfigurationView(
            revision=self._fold.revision, keys=keys, **fields
        )
        metrics.set_revision(self._fold.revision)


def _build(record: fold_lib.StoredRecord) -> Any | None:
    name = records.schema_name(record.kind, record.schema_version)
    try:
        schema = records.get_schema_by_name(name)
        return schema.model_validate(record.body).build(record.name)
    except (records.RecordSchemaNotFound, pydantic.ValidationError):
        _log.warn(
            "record_ineffective kind={} name={} schema_version={} offset={}",
            record.kind,
            record.name,
            record.schema_version,
            record.offset,
        )
        return None


def _verdict_line(
    verdict: fold_lib.Accepted | fold_lib.Rejected,
) -> str:
    if isinstance(verdict, fold_lib.Accepted):
        return logs.decision_line("record_accepted", {"offset": verdict.offset})
    return logs.decision_line(
        "record_rejected",
        {"offset": verdict.offset, "reason": verdict.reason},
    )
