"""Structured log of a gateway: one JSON object a line on standard output.

Lines are written without waiting. Those that do not fit into the pipe wait in
a bounded buffer; what exceeds the buffer or the rate is dropped, counted and
told with the next line that is written. Warnings and errors are exempt from
the rate, not from the buffer.
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

# A process at the design size decides about 45 requests a second, each in
# up to six lines; twice that leaves room for bursts.
_LINES_PER_S = 600.0
_BURST_LINES = 1200.0
# About a second of lines at the rate above, 250 bytes each.
_MAX_BUFFER_BYTES = 256 * 1024
_STDOUT = 1


class JsonHandler(logbook.Handler):  # type: ignore[misc]
    """Writes records as JSON lines to a file descriptor.

    Args:
        descriptor: Where to write; it is set non-blocking.
        clock: Measures the rate.
        common: Fields that every line has.
        level: Least level that is written.
    """

    def __init__(
        self,
        descriptor: int,
        clock: clock_lib.Clock,
        common: dict[str, Any],
        level: str = "INFO",
    ) -> None:
        super().__init__(level=level)
        self._descriptor = descriptor
        self._clock = clock
        self._common = common
        self._tokens = _BURST_LINES
        self._refilled_s = clock.monotonic()
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last line that told of drops."""
        return self._dropped

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        self._write()
        if not self._admit(record.level):
            self._drop()
            return
        line = {
            "time": record.time.replace(tzinfo=datetime.UTC).isoformat(),
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
            **self._common,
            **record.extra,
        }
        if self._dropped:
            line["lines_dropped"] = self._dropped
        data = json.dumps(line, default=str).encode() + b"\n"
        if self._pending_bytes + len(data) > _MAX_BUFFER_BYTES:
            self._drop()
            return
        self._dropped = 0
        self._pending.append(data)
        self._pending_bytes += len(data)
        self._write()

    def _admit(self, level: int) -> bool:
        if level >= logbook.WARNING:
            return True
        now_s = self._clock.monotonic()
        earned = (now_s - self._refilled_s) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + earned)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _drop(self) -> None:
        self._dropped += 1
        metrics.count_dropped_line()

    def _write(self) -> None:
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read the log any more; the lines are counted.
                self._dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()


def start_logging(clock: clock_lib.Clock, instance: str) -> None:
    """Sends log lines to standard output, each with the instance's name."""
    JsonHandler(_STDOUT, clock, {"instance": instance}).push_application()
