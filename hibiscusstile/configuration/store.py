"""Holds the configuration in force in one process."""

from __future__ import annotations

import dataclasses

import logbook

from hibiscusstile import logs, metrics, platform, records
from hibiscusstile.configuration import snapshot as snapshot_lib
from hibiscusstile.configuration import state as state_lib
from hibiscusstile.configuration import view as view_lib
from hibiscusstile.configuration import view_builder

__all__ = [
    "Adopted",
    "AdoptionRefused",
    "ConfigurationStore",
    "NotNewer",
]

_log = logbook.Logger("configuration")


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The snapshot was adopted and is in force at `revision`."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotNewer:
    """The snapshot covers no log entries that this process lacks."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptionRefused:
    """The snapshot is corrupt or contradicts the state in force."""

    reason: str


class ConfigurationStore:
    """Applies log entries and snapshots, and holds the resulting view.

    The state never returns to an earlier revision.

    Args:
        find_schema: Finds the schemas that this process knows.
        author: Name of this process in the snapshots that it takes.
    """

    def __init__(
        self,
        find_schema: view_builder.SchemaLookup = records.find_schema,
        author: str = "",
    ) -> None:
        self._author = author
        self._view_builder = view_builder.ViewBuilder(find_schema)
        self._state = state_lib.ConfigurationState(
            self._view_builder.check_body
        )
        self._view = view_lib.ConfigurationView()

    @property
    def view(self) -> view_lib.ConfigurationView:
        """The records in force."""
        return self._view

    @property
    def state(self) -> state_lib.ConfigurationState:
        """The configuration state; callers must not modify it."""
        return self._state

    @property
    def revision(self) -> int:
        """Revision in force; -1 for none."""
        return self._state.revision

    @property
    def next_offset(self) -> int:
        """Offset of the next log entry to apply."""
        return self._state.next_offset

    @property
    def digest(self) -> str:
        """Hexadecimal digest of the state."""
        return self._state.digest

    @property
    def reference_faults(self) -> tuple[view_builder.ReferenceFault, ...]:
        """Faulty references of the records in force."""
        return self._view_builder.faults

    def check_body(self, record: state_lib.StoredRecord) -> bool | None:
        """Returns whether a body is valid, None for an unknown schema."""
        return self._view_builder.check_body(record)

    def apply(
        self, entries: tuple[platform.LogEntry, ...]
    ) -> tuple[state_lib.Accepted | state_lib.Rejected, ...]:
        """Applies log entries in order, skipping those already applied.

        Returns:
            The results of the newly applied entries.

        Raises:
            OutOfOrder: An entry is missing; those before it are applied.
        """
        results = []
        try:
            for entry in entries:
                if entry.offset >= self._state.next_offset:
                    result = self._state.apply(entry)
                    _log.info(_format_result(result))
                    results.append(result)
        finally:
            self._rebuild_view()
        return tuple(results)

    def snapshot(self, since: int = -1) -> bytes:
        """Returns an encoded snapshot of the state.

        Args:
            since: Omits keys that did not change after this revision.

        Raises:
            SnapshotError: The state is too large.
        """
        return snapshot_lib.encode(
            snapshot_lib.take(self._state, self._author, since)
        )

    def adopt(
        self, encoded: bytes, digest: str = ""
    ) -> Adopted | NotNewer | AdoptionRefused:
        """Adopts an encoded snapshot if it is newer and consistent.

        Args:
            encoded: The snapshot.
            digest: The digest that its sender announced, if any.
        """
        try:
            snapshot = snapshot_lib.decode(encoded)
            if digest and snapshot.digest != digest:
                raise snapshot_lib.SnapshotError(
                    "the digest differs from the announced one"
                )
            return self.adopt_snapshot(snapshot)
        except snapshot_lib.SnapshotError as error:
            _log.error("snapshot_refused reason={!r}", str(error))
            return AdoptionRefused(str(error))

    def adopt_snapshot(
        self, snapshot: snapshot_lib.Snapshot
    ) -> Adopted | NotNewer:
        """Adopts a decoded snapshot if it is newer.

        Raises:
            SnapshotError: It contradicts the state in force.
        """
        if snapshot.next_offset <= self._state.next_offset:
            if (
                snapshot.next_offset == self._state.next_offset
                and snapshot.digest != self._state.digest
            ):
                raise snapshot_lib.SnapshotError(
                    f"the state differs at offset {snapshot.next_offset}"
                )
            return NotNewer()
        snapshot_lib.merge(self._state, snapshot)
        self._rebuild_view()
        _log.info(
            "snapshot_adopted revision={} next_offset={} author={}",
            snapshot.revision,
            snapshot.next_offset,
            snapshot.author,
        )
        return Adopted(self._state.revision)

    def _rebuild_view(self) -> None:
        if self._view.revision == self._state.revision:
            return
        self._view = self._view_builder.build(self._state)
        metrics.set_revision(self._state.revision)


def _format_result(
    result: state_lib.Accepted | state_lib.Rejected,
) -> str:
    if isinstance(result, state_lib.Accepted):
        return logs.format_event("record_accepted", {"offset": result.offset})
    return logs.format_event(
        "record_rejected",
        {"offset": result.offset, "reason": result.reason},
    )
