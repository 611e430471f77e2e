"""Snapshots of the configuration state: encoding, checks and merging.

A snapshot covers all log entries below its `next_offset`. A delta snapshot,
with `since` set, contains only the keys that changed after that revision,
which keeps the response to a peer that is one change behind small. The
encoded form is zlib-compressed JSON, preceded by its SHA-256.
"""

from __future__ import annotations

import dataclasses
import hashlib
import zlib
from typing import Annotated, Any, Literal

import pydantic

from hibiscusstile.configuration import envelope as envelope_lib
from hibiscusstile.configuration import state as state_lib

__all__ = [
    "MAX_ENCODED_BYTES",
    "Snapshot",
    "SnapshotError",
    "decode",
    "encode",
    "find_conflict",
    "merge",
    "take",
]

# Leaves room for the message envelope in one frame between peers.
MAX_ENCODED_BYTES = 5 * 1024 * 1024
_MAX_DECODED_BYTES = 16 * 1024 * 1024
_MAX_DEPTH = envelope_lib.MAX_DEPTH + 3
_DIGEST_BYTES = 32

_Offset = Annotated[int, pydantic.Field(ge=0)]
_Revision = Annotated[int, pydantic.Field(ge=-1)]


class SnapshotError(ValueError):
    """A snapshot is corrupt or contradicts the known state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration state at one offset.

    Attributes:
        next_offset: First log entry that the state does not cover.
        revision: Offset of the last accepted record; -1 for none.
        digest: Hexadecimal digest of the full state.
        author: Name of the process that took it.
        since: Keys that did not change after this revision are omitted; -1
            for the full state.
        records: Retained records, by key and offset.
    """

    next_offset: int
    revision: int
    digest: str
    author: str
    since: int
    records: tuple[state_lib.StoredRecord, ...]


class _Record(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    kind: envelope_lib.Name
    name: envelope_lib.Name
    schema_version: Annotated[int, pydantic.Field(ge=1)]
    offset: _Offset
    body: dict[str, Any]


class _Document(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    format: Literal[1]
    next_offset: _Offset
    revision: _Revision
    digest: str
    author: Annotated[str, pydantic.Field(max_length=200)]
    since: _Revision
    records: list[_Record]


def take(
    state: state_lib.ConfigurationState, author: str = "", since: int = -1
) -> Snapshot:
    """Returns a snapshot of the state, or a delta from revision `since`."""
    records = [
        record
        for key in sorted(state.histories)
        if state.histories[key][-1].offset > since
        for record in state.histories[key]
    ]
    return Snapshot(
        state.next_offset,
        state.revision,
        state.digest,
        author,
        since,
        tuple(records),
    )


def encode(snapshot: Snapshot) -> bytes:
    """Returns the encoded snapshot.

    Raises:
        SnapshotError: The snapshot is too large.
    """
    document_json = envelope_lib.canonical_json(
        {
            "format": 1,
            "next_offset": snapshot.next_offset,
            "revision": snapshot.revision,
            "digest": snapshot.digest,
            "author": snapshot.author,
            "since": snapshot.since,
            "records": [
                {
                    "kind": record.kind,
                    "name": record.name,
                    "schema_version": record.schema_version,
                    "offset": record.offset,
                    "body": record.body,
                }
                for record in snapshot.records
            ],
        }
    )
    compressed = zlib.compress(document_json)
    encoded = hashlib.sha256(compressed).digest() + compressed
    if (
        len(encoded) > MAX_ENCODED_BYTES
        or len(document_json) > _MAX_DECODED_BYTES
    ):
        raise SnapshotError("the snapshot exceeds the size limit")
    return encoded


def decode(encoded: bytes) -> Snapshot:
    """Decodes a snapshot and verifies its digests.

    Raises:
        SnapshotError: It is too large, corrupt or inconsistent.
    """
    document = _parse(_decompress(encoded))
    records = tuple(
        state_lib.StoredRecord.create(
            record.kind,
            record.name,
            record.schema_version,
            record.offset,
            record.body,
        )
        for record in document.records
    )
    snapshot = Snapshot(
        document.next_offset,
        document.revision,
        document.digest,
        document.author,
        document.since,
        records,
    )
    _check_consistency(snapshot)
    return snapshot


def find_conflict(
    earlier: state_lib.Histories, next_offset: int, later: state_lib.Histories
) -> str:
    """Returns why `later` cannot be a later state of the same log.

    A later state contains every key of the earlier one. Where its record has
    an offset that the earlier state covers, both have the same record.

    Args:
        earlier: The earlier state.
        next_offset: First log entry that the earlier state does not cover.
        later: The state to check.

    Returns:
        The reason, empty if there is no conflict.
    """
    for key, history in earlier.items():
        later_history = later.get(key)
        if later_history is None:
            return f"{_describe_key(key)} is missing"
        if later_history[-1].offset < history[-1].offset:
            return f"{_describe_key(key)} has an older record"
    for key, later_history in later.items():
        if later_history[-1].offset >= next_offset:
            continue
        earlier_history = earlier.get(key)
        if (
            earlier_history is None
            or earlier_history[-1].digest != later_history[-1].digest
        ):
            return (
                f"{_describe_key(key)} differs at offset "
                f"{later_history[-1].offset}"
            )
    return ""


def merge(state: state_lib.ConfigurationState, snapshot: Snapshot) -> None:
    """Advances the state to a snapshot that covers more of the log.

    Earlier bodies that the state retains are preserved: the author of the
    snapshot may know other schemas and have dropped a body that is in force
    in this process.

    Raises:
        SnapshotError: It does not cover more, or it contradicts the state.
    """
    if snapshot.next_offset <= state.next_offset:
        raise SnapshotError("the snapshot covers no further log entries")
    if snapshot.since > state.revision:
        raise SnapshotError(f"the delta starts after revision {state.revision}")
    incoming = state_lib.group_histories(snapshot.records)
    histories = incoming
    if snapshot.since >= 0:
        histories = {**state.histories, **incoming}
    _check_digest_and_revision(snapshot, histories)
    if conflict := find_conflict(state.histories, state.next_offset, histories):
        raise SnapshotError(conflict)
    current = state.histories
    state.replace(
        {
            key: (
                *current.get(key, ()),
                *(
                    record
                    for record in history
                    if record.offset >= state.next_offset
                ),
            )
            for key, history in histories.items()
        },
        snapshot.revision,
        snapshot.next_offset,
    )


def _decompress(encoded: bytes) -> bytes:
    if len(encoded) > MAX_ENCODED_BYTES:
        raise SnapshotError(f"the snapshot exceeds {MAX_ENCODED_BYTES} bytes")
    checksum, compressed = encoded[:_DIGEST_BYTES], encoded[_DIGEST_BYTES:]
    if hashlib.sha256(compressed).digest() != checksum:
        raise SnapshotError("the checksum does not match")
    decompressor = zlib.decompressobj()
    try:
        document_json = decompressor.decompress(compressed, _MAX_DECODED_BYTES)
    except zlib.error as error:
        raise SnapshotError(f"decompression failed: {error}") from None
    if not decompressor.eof:
        raise SnapshotError("the compressed data is truncated or too large")
    return document_json


def _parse(document_json: bytes) -> _Document:
    try:
        return _Document.model_validate(
            envelope_lib.parse_json(document_json, _MAX_DEPTH)
        )
    except envelope_lib.EnvelopeError as error:
        raise SnapshotError(str(error)) from None
    except pydantic.ValidationError as error:
        first_error = error.errors(include_input=False, include_url=False)[0]
        location = ".".join(str(part) for part in first_error["loc"])
        raise SnapshotError(f"{location}: {first_error['msg']}") from None


def _check_consistency(snapshot: Snapshot) -> None:
    if snapshot.next_offset <= snapshot.revision:
        raise SnapshotError("the revision is not below next_offset")
    if snapshot.since < 0:
        histories = state_lib.group_histories(snapshot.records)
        _check_digest_and_revision(snapshot, histories)


def _check_digest_and_revision(
    snapshot: Snapshot, histories: state_lib.Histories
) -> None:
    if state_lib.state_digest(histories) != snapshot.digest:
        raise SnapshotError("the digest does not match the records")
    newest = max(
        (history[-1].offset for history in histories.values()), default=-1
    )
    if newest != snapshot.revision:
        raise SnapshotError("the revision does not match the newest record")


def _describe_key(key: state_lib.RecordKey) -> str:
    kind, name, version = key
    return f"{kind} {name!r} with schema version {version}"
