"""Structured log of a gateway: one JSON object per line on standard output.

Writes never block. Lines that do not fit into the pipe are kept in a bounded
buffer. Lines beyond the buffer's size or the rate limit are dropped, and the
next line that is kept reports how many. The rate limit does not apply to
warnings and errors; the buffer's size does.
"""

from __future__ import annotations

import collections
import datetime
import json
import os
from typing import Any

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import metrics

__all__ = ["JsonHandler", "start_logging"]

# At the design size, a process handles about 45 requests per second and logs
# up to six lines for each; the limit is about twice that, to allow bursts.
_MAX_LINES_PER_S = 600.0
_BURST_LINES = 1200.0
# More than one second of lines at the rate limit, 250 bytes each.
_MAX_BUFFERED_BYTES = 256 * 1024
_STDOUT = 1


class JsonHandler(logbook.Handler):  # type: ignore[misc]
    """Writes records as JSON lines to a file descriptor.

    Args:
        descriptor: File descriptor to write to; set to non-blocking.
        clock: Clock for the rate limit.
        common_fields: Fields added to every line.
        level: Lowest level that is written.
    """

    def __init__(
        self,
        descriptor: int,
        clock: clock_lib.Clock,
        common_fields: dict[str, Any],
        level: str = "INFO",
    ) -> None:
        super().__init__(level=level)
        self._descriptor = descriptor
        self._clock = clock
        self._common_fields = common_fields
        self._tokens = _BURST_LINES
        self._refilled_s = clock.monotonic()
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the last line that was buffered."""
        return self._dropped_lines

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes or buffers one record, or counts it as dropped."""
        self._flush()
        if not self._take_token(record.level):
            self._count_drop()
            return
        line = {
            "time": record.time.replace(tzinfo=datetime.UTC).isoformat(),
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
            **self._common_fields,
            **record.extra,
        }
        if self._dropped_lines:
            line["lines_dropped"] = self._dropped_lines
        data = json.dumps(line, default=str).encode() + b"\n"
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self._count_drop()
            return
        self._dropped_lines = 0
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self._flush()

    def _take_token(self, level: int) -> bool:
        if level >= logbook.WARNING:
            return True
        now_s = self._clock.monotonic()
        earned = (now_s - self._refilled_s) * _MAX_LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + earned)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _count_drop(self) -> None:
        self._dropped_lines += 1
        metrics.count_dropped_line()

    def _flush(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: drop the buffered lines.
                self._dropped_lines += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


def start_logging(clock: clock_lib.Clock, instance: str) -> None:
    """Logs to standard output, with the instance's name on each line."""
    JsonHandler(_STDOUT, clock, {"instance": instance}).push_application()
