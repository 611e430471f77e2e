"""Appends configuration records and waits for their verdicts."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import json
import secrets
from typing import Any

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform
from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile.configuration import state as state_lib
from hibiscusstile.configuration import store as store_lib

__all__ = ["AppendResult", "Outcome", "add_author_nonce", "append_record"]

# An append whose response was lost may still take effect. After this time
# the outcome is reported as unknown.
_SEARCH_TIMEOUT = datetime.timedelta(seconds=8)
_POLL_INTERVAL = datetime.timedelta(milliseconds=250)
# Limit of the envelope's author field.
_MAX_AUTHOR_CHARS = 200
_NONCE_BYTES = 8


class Outcome(enum.Enum):
    """Outcome of an append."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResult:
    """Outcome of the append of one record.

    Attributes:
        kind: The record's kind.
        name: Its name.
        outcome: The outcome.
        offset: Its offset in the log, if it was appended.
        reason: Why it was not accepted, or why the outcome is unknown.
        note: Limits on the effect of an accepted record.
    """

    kind: str
    name: str
    outcome: Outcome
    offset: int | None = None
    reason: str = ""
    note: str = ""

    @property
    def line(self) -> str:
        """The result formatted as one line."""
        place = "" if self.offset is None else f" at offset {self.offset}"
        text = f"{self.outcome.value} {self.kind} {self.name}{place}"
        return ": ".join(filter(None, (text, self.reason or self.note)))


def add_author_nonce(document: dict[str, Any], author: str) -> dict[str, Any]:
    """Returns the record with a random nonce added to its author field.

    The nonce identifies the record in the log if the response to the append
    is lost.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    name = str(document.get("author") or author)
    name = name[: _MAX_AUTHOR_CHARS - len(nonce) - 1]
    return {**document, "author": f"{name}#{nonce}"}


async def append_record(
    log: platform.LogClient,
    store: store_lib.ConfigurationStore,
    document: dict[str, Any],
    clock: clock_lib.Clock,
) -> AppendResult:
    """Appends a record and reads the log until its verdict is known.

    Args:
        log: Client of the log service.
        store: Configuration from before the append; it is brought up to date.
        document: The record, with an author nonce.
        clock: Clock for the search timeout.
    """
    kind, name = document["kind"], document["name"]
    payload = json.dumps(document, separators=(",", ":")).encode()
    appended = await log.append(follower_lib.CONFIG_STREAM, payload)
    if isinstance(appended, platform.AppendRefused):
        return AppendResult(
            kind, name, Outcome.NOT_APPENDED, reason=appended.message
        )
    verdict = await _wait_for_verdict(log, store, payload, clock)
    if isinstance(verdict, state_lib.Accepted):
        note = _superseded_note(store, document)
        return AppendResult(
            kind, name, Outcome.ACCEPTED, verdict.offset, note=note
        )
    if isinstance(verdict, state_lib.Rejected):
        return AppendResult(
            kind, name, Outcome.REJECTED, verdict.offset, verdict.reason
        )
    if isinstance(appended, platform.Appended):
        reason = "appended, but its verdict could not be read from the log"
        return AppendResult(
            kind, name, Outcome.UNKNOWN, appended.offset, reason
        )
    reason = (
        f"{appended.message}; not found in the log so far, the append may "
        f"still take effect (author {document['author']})"
    )
    return AppendResult(kind, name, Outcome.UNKNOWN, reason=reason)


async def _wait_for_verdict(
    log: platform.LogClient,
    store: store_lib.ConfigurationStore,
    payload: bytes,
    clock: clock_lib.Clock,
) -> state_lib.Accepted | state_lib.Rejected | None:
    deadline_s = clock.monotonic() + _SEARCH_TIMEOUT.total_seconds()
    while True:
        page = await log.read(follower_lib.CONFIG_STREAM, store.next_offset)
        has_progress = False
        if isinstance(page, platform.LogEntries):
            if page.earliest > store.next_offset:
                return None
            verdicts = store.apply(page.entries)
            has_progress = bool(verdicts)
            payloads = {each.offset: each.payload for each in page.entries}
            for verdict in verdicts:
                if payloads[verdict.offset] == payload:
                    return verdict
        if clock.monotonic() >= deadline_s:
            return None
        if not has_progress:
            await clock.sleep(_POLL_INTERVAL)


def _superseded_note(
    store: store_lib.ConfigurationStore, document: dict[str, Any]
) -> str:
    newer = [
        each.schema_version
        for each in store.state.records
        if (each.kind, each.name) == (document["kind"], document["name"])
        and each.schema_version > document["schema_version"]
    ]
    if not newer:
        return ""
    return (
        f"takes effect only in processes that do not know schema version "
        f"{max(newer)}"
    )
