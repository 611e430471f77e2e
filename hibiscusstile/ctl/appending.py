"""Appends records and finds out whether they were accepted."""

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

# An append without an answer may still take effect; after this long the
# command says that it does not know.
_SEARCH_TIMEOUT = datetime.timedelta(seconds=8)
_POLL_INTERVAL = datetime.timedelta(milliseconds=250)
_MAX_AUTHOR_CHARS = 200
_NONCE_BYTES = 8


class Outcome(enum.Enum):
    """What became of an append."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResult:
    """What became of one record.

    Attributes:
        kind: The record's kind.
        name: Its name.
        outcome: What became of it.
        offset: Its offset on the log, if it is there.
        reason: Why it was not accepted, or why that is unknown.
        note: What an operator should know of an accepted record.
    """

    kind: str
    name: str
    outcome: Outcome
    offset: int | None = None
    reason: str = ""
    note: str = ""

    @property
    def line(self) -> str:
        """The result as one line."""
        place = "" if self.offset is None else f" at offset {self.offset}"
        text = f"{self.outcome.value} {self.kind} {self.name}{place}"
        return ": ".join(filter(None, (text, self.reason or self.note)))


def add_author_nonce(document: dict[str, Any], author: str) -> dict[str, Any]:
    """Returns a record whose author field is unlike that of any other.

    By it the record is found on the log when the append's answer was lost.
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
    """Appends a signed record and reads the log until it is found there.

    Args:
        log: The log service.
        store: The state at some point before the append; it is moved on.
        document: The record, signed.
        clock: Bounds the search.
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
        reason = "appended, but the log could not be read back"
        return AppendResult(
            kind, name, Outcome.UNKNOWN, appended.offset, reason
        )
    reason = (
        f"{appended.message}; not on the log so far, it may still appear "
        f"there (author {document['author']})"
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
        f"in force only in processes that do not know schema version "
        f"{max(newer)}"
    )
