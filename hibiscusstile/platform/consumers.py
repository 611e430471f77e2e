"""Applies operators' records and server entries to the gateway's state."""

from __future__ import annotations

from collections.abc import Sequence

import logbook

from hibiscusstile import logs
from hibiscusstile.gateway import fleet, follower, weights
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import operatorrecords, serverentries, topics

__all__ = [
    "IsolatingConsumer",
    "OperatorRecordConsumer",
    "ServerEntryConsumer",
]

_log = logbook.Logger("feeds")

# Reads after an outage of the store return older records for this long.
_CATCH_UP_S = 0.5
# Malformed entries whose errors are kept so as not to log them again.
_MAX_LOGGED_ERRORS = 1024


class IsolatingConsumer(follower.Consumer):
    """Passes over records that another consumer fails on unexpectedly.

    Without it, the follower's task would restart, read the same record and
    fail again until its supervisor ends the process.

    Args:
        consumer: Applies the records.
    """

    def __init__(self, consumer: follower.Consumer) -> None:
        self._consumer = consumer

    @property
    def awaits_records(self) -> bool:
        """Whether the consumer expects records."""
        return self._consumer.awaits_records

    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Applies the newest records, one by one if that fails."""
        try:
            self._consumer.apply_all(records)
        except Exception as error:
            logs.warn(_log, "listing_failed", error=repr(error))
            for record in records:
                self.apply(record)

    def apply(self, record: topics.KeyedRecord) -> None:
        """Applies a record, or logs why that failed."""
        try:
            self._consumer.apply(record)
        except Exception as error:
            logs.warn(
                _log,
                "record_failed",
                key=record.key,
                offset=record.offset,
                error=repr(error),
            )

    def note_lost(self) -> None:
        """Tells the consumer that reading the topic starts to fail."""
        self._consumer.note_lost()

    def note_back(self, last_failed_s: float) -> None:
        """Tells the consumer that the topic can be read again."""
        self._consumer.note_back(last_failed_s)


class OperatorRecordConsumer(follower.Consumer):
    """Applies the operators' configuration and the weights versions they name.

    Args:
        state: State to update.
    """

    def __init__(self, state: state_lib.GatewayState) -> None:
        self._state = state
        self._back_s = float("-inf")

    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Applies the newest record of every key."""
        for record in records:
            self._apply(record, weights.STORE_READ)

    def apply(self, record: topics.KeyedRecord) -> None:
        """Applies a newer record; unknown keys are ignored."""
        followed = self._state.clock.monotonic() > self._back_s + _CATCH_UP_S
        self._apply(
            record, weights.STORE_FOLLOWED if followed else weights.STORE_READ
        )

    def note_back(self, last_failed_s: float) -> None:
        """Records that the next records may have been there for some time."""
        del last_failed_s
        self._back_s = self._state.clock.monotonic()

    def _apply(self, record: topics.KeyedRecord, source: str) -> None:
        if not record.value:
            return
        try:
            if record.key == operatorrecords.CONFIGURATION_KEY:
                self._state.apply_table(
                    operatorrecords.decode_configuration(record.value)
                )
            elif operatorrecords.is_version_key(record.key):
                version_record = operatorrecords.decode_version(record.value)
                self._state.set_target_version(
                    version_record.model,
                    version_record.version,
                    source,
                    0.0 if source == weights.STORE_FOLLOWED else None,
                )
                self._forget_unnamed(version_record.model)
        except operatorrecords.RecordError as error:
            logs.warn(
                _log,
                "record_unreadable",
                key=record.key,
                offset=record.offset,
                error=str(error),
            )

    def _forget_unnamed(self, model: str) -> None:
        """Drops listed versions that operators have not named."""
        table = self._state.weights
        for server in self._state.fleet.servers:
            version = server.weights.get(model)
            if (
                version is not None
                and version == table.version_at(server.server_id, model)
                and _is_unnamed(table, model, version)
            ):
                table.forget_version(server.server_id, model)


class ServerEntryConsumer(follower.Consumer):
    """Updates the fleet from the entries of backend servers.

    Args:
        state: State to update.
    """

    def __init__(self, state: state_lib.GatewayState) -> None:
        self._state = state
        # Errors of the malformed entries, by key, which servers repeat with
        # each heartbeat.
        self._errors: dict[str, str] = {}
        # Offsets of the newest entries, by key. Reading goes on from the end
        # that their first page shows, so records that precede them may follow.
        self._newest_offsets: dict[str, int] = {}

    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Replaces the fleet by the newest entries of all servers."""
        self._newest_offsets = {each.key: each.offset for each in records}
        servers = [
            server
            for record in records
            if (server := self._decode(record)) is not None
        ]
        for server in self._state.fleet.replace(servers):
            self._note_weights(server)
        self._state.forget_unlisted()

    def apply(self, record: topics.KeyedRecord) -> None:
        """Applies a newer entry, or the removal of an entry."""
        if record.offset < self._newest_offsets.get(record.key, 0):
            return
        server = self._decode(record)
        if server is None:
            # Only an empty value removes a server. An entry that cannot be
            # decoded leaves the listed server unchanged.
            if not record.value:
                self._state.fleet.remove(record.key)
                self._state.forget_unlisted()
            return
        if self._state.fleet.put(server):
            self._note_weights(server)

    def note_lost(self) -> None:
        """Records that entries may expire while their servers still run."""
        self._state.fleet.note_store_lost()

    def note_back(self, last_failed_s: float) -> None:
        """Records that servers can renew their entries again."""
        self._state.fleet.note_store_back(last_failed_s)

    @property
    def awaits_records(self) -> bool:
        """Whether entries that expired in an outage may come back."""
        return self._state.fleet.keeps_unlisted

    def _decode(self, record: topics.KeyedRecord) -> fleet.BackendServer | None:
        if not record.value:
            self._errors.pop(record.key, None)
            return None
        try:
            server = serverentries.decode_entry(record.key, record.value)
        except serverentries.EntryError as error:
            self._log_ignored(record, str(error))
            return None
        self._errors.pop(record.key, None)
        return server

    def _log_ignored(self, record: topics.KeyedRecord, error: str) -> None:
        """Logs a malformed entry, once for the same key and error."""
        if self._errors.get(record.key) == error:
            return
        if len(self._errors) >= _MAX_LOGGED_ERRORS:
            self._errors.clear()
        self._errors[record.key] = error
        logs.warn(
            _log,
            "entry_ignored",
            server=record.key,
            offset=record.offset,
            error=error,
        )

    def _note_weights(self, server: fleet.BackendServer) -> None:
        """Records listed weights that are newer than the known ones."""
        for model, version in server.weights.items():
            known_version = self._state.weights.version_at(
                server.server_id, model
            )
            if _is_unnamed(self._state.weights, model, version):
                continue
            if known_version is None or version > known_version:
                self._state.note_weights(server.server_id, model, version)


def _is_unnamed(table: weights.WeightsTable, model: str, version: int) -> bool:
    """Returns whether a listed version is above all that operators named.

    Recorded, it would keep the rollout from updating the engine.
    """
    target = table.target(model)
    return target is not None and version > target.version
