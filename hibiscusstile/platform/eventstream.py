"""Incremental parser for streams of server-sent events."""

from __future__ import annotations

import re
from collections.abc import Iterator

from hibiscusstile.gateway import exchange

__all__ = ["EventStreamParser"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
# Weights version that produced this event and the following ones. It is
# recognized only as the first line of an event.
_WEIGHTS_VERSION_LINE = re.compile(
    rb"^x-weight-versions: ?(\d+)", re.IGNORECASE
)


class EventStreamParser:
    """Buffers received bytes and splits them into events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[exchange.StreamEvent]:
        """Adds `data` and yields the events that it completes.

        A call has no effect until its result is iterated.
        """
        self._buffer += data
        while match := _EVENT_END.search(self._buffer):
            event_bytes, self._buffer = (
                self._buffer[: match.end()],
                self._buffer[match.end() :],
            )
            yield _parse(event_bytes)

    def flush(self) -> exchange.StreamEvent | None:
        """Removes and returns the incomplete last event, None without one."""
        if not self._buffer:
            return None
        remaining_bytes, self._buffer = self._buffer, b""
        return exchange.StreamEvent(remaining_bytes)


def _parse(event_bytes: bytes) -> exchange.StreamEvent:
    id_match = _ID_LINE.search(event_bytes)
    version_match = _WEIGHTS_VERSION_LINE.search(event_bytes)
    return exchange.StreamEvent(
        event_bytes,
        id_match.group(1).decode(errors="replace") if id_match else "",
        int(version_match.group(1)) if version_match else None,
    )
