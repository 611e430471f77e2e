"""Incremental parser for streams of server-sent events."""

from __future__ import annotations

import re
from collections.abc import Iterator

from hibiscusstile import decimals
from hibiscusstile.gateway import exchange

__all__ = ["EventFormatError", "EventSizeError", "EventStreamParser"]

# An event carries a few tokens.
_MAX_EVENT_BYTES = 256 * 1024
# An end of event that began before the last read overlaps it by this much.
_MAX_END_OVERLAP_BYTES = 3

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
# An event with neither field is empty, such as a comment that keeps the
# connection open.
_CONTENT_LINE = re.compile(rb"(?:^|\n)(?:data|id):")
# Weights version that produced this event and the following ones. It is
# recognized only as the first line of an event.
_WEIGHTS_VERSION_LINE = re.compile(
    rb"^x-weight-versions: ?(\d+)", re.IGNORECASE
)
# Line of another response's head, which may begin inside a line of the stream.
# Other unknown fields are relayed: clients of event streams ignore them.
_FOREIGN_LINE = re.compile(
    rb"^(?:HTTP/1\.\d |Content-Length:|Content-Type:|Transfer-Encoding:)",
    re.IGNORECASE | re.MULTILINE,
)


class EventFormatError(ValueError):
    """An event contains a line that is no part of an event."""


class EventSizeError(ValueError):
    """An event exceeds the size limit."""


class EventStreamParser:
    """Buffers received bytes and splits them into events.

    The time taken is linear in the received bytes.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Bytes at the start of the buffer that contain no end of event.
        self._searched_bytes = 0

    def feed(self, data: bytes) -> Iterator[exchange.StreamEvent]:
        """Adds `data` and yields the events that it completes.

        A call has no effect until its result is iterated.

        Raises:
            EventFormatError: An event contains a foreign line.
            EventSizeError: The incomplete event exceeds the size limit.
        """
        self._buffer += data
        event_start = 0
        search_start = self._searched_bytes
        while match := _EVENT_END.search(self._buffer, search_start):
            yield _parse(bytes(self._buffer[event_start : match.end()]))
            event_start = search_start = match.end()
        del self._buffer[:event_start]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise EventSizeError(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        self._searched_bytes = max(
            0, len(self._buffer) - _MAX_END_OVERLAP_BYTES
        )

    def flush(self) -> exchange.StreamEvent | None:
        """Removes and returns the incomplete last event, None without one."""
        if not self._buffer:
            return None
        remaining = bytes(self._buffer)
        self._buffer.clear()
        return exchange.StreamEvent(remaining, has_content=False)


def _parse(event_bytes: bytes) -> exchange.StreamEvent:
    if _FOREIGN_LINE.search(event_bytes):
        raise EventFormatError("an event contains a foreign line")
    id_match = _ID_LINE.search(event_bytes)
    version_match = _WEIGHTS_VERSION_LINE.search(event_bytes)
    return exchange.StreamEvent(
        event_bytes,
        id_match.group(1).decode(errors="replace") if id_match else "",
        decimals.parse(version_match.group(1).decode())
        if version_match
        else None,
        has_content=_CONTENT_LINE.search(event_bytes) is not None,
    )
