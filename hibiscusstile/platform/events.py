"""Splits a body of server-sent events into whole events."""

from __future__ import annotations

import re
from collections.abc import Iterator

from hibiscusstile.gateway import exchange

__all__ = ["EventSplitter"]

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
# First line of the event from which other weights answer.
_VERSION_LINE = re.compile(rb"^x-weight-versions: ?(\d+)", re.IGNORECASE)


class EventSplitter:
    """Collects bytes and returns each event once it is whole."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> Iterator[exchange.StreamEvent]:
        """Returns the events that `data` completes."""
        self._pending += data
        while match := _BLANK_LINE.search(self._pending):
            event, self._pending = (
                self._pending[: match.end()],
                self._pending[match.end() :],
            )
            yield _parse(event)

    def rest(self) -> exchange.StreamEvent | None:
        """Returns the bytes after the last event, None if there are none."""
        if not self._pending:
            return None
        data, self._pending = self._pending, b""
        return exchange.StreamEvent(data)


def _parse(data: bytes) -> exchange.StreamEvent:
    found = _ID_LINE.search(data)
    version = _VERSION_LINE.search(data)
    return exchange.StreamEvent(
        data,
        found.group(1).decode(errors="replace") if found else "",
        int(version.group(1)) if version else None,
    )
