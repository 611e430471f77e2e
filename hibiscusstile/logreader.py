"""Parses the structured logs that gateways write."""

from __future__ import annotations

import dataclasses
import datetime
import json
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any

__all__ = ["LogEvent", "parse_line", "read_events"]

_COMMON_FIELDS = ("time", "level", "part", "event", "instance")


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """One event, parsed from a line of a log.

    Attributes:
        time: Time of the event by the clock of its instance.
        instance: Name of the instance that logged it.
        name: Type of the event.
        fields: Remaining fields of the line.
    """

    time: datetime.datetime
    instance: str
    name: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """Identifier of the request concerned, empty if none."""
        return str(self.fields.get("request", ""))

    @property
    def server_id(self) -> str:
        """Identifier of the backend server concerned, empty if none."""
        return str(self.fields.get("server", ""))

    def format_line(self) -> str:
        """Returns the event as one line of text, without empty fields."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if value is not None
        )
        timestamp = self.time.strftime("%H:%M:%S.%f")[:-3]
        return f"{timestamp} {self.instance} {self.name} {shown}"


def parse_line(line: str) -> LogEvent | None:
    """Returns the event in a line, or None if there is no valid one.

    Text before the JSON object, such as a log collector's prefix, is ignored.
    """
    start = line.find('{"time"')
    if start < 0:
        return None
    try:
        parsed = json.loads(line[start:])
        return LogEvent(
            datetime.datetime.fromisoformat(parsed["time"]),
            str(parsed.get("instance", "")),
            str(parsed["event"]),
            {
                name: value
                for name, value in parsed.items()
                if name not in _COMMON_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError):
        return None


def read_events(paths: Iterable[pathlib.Path]) -> list[LogEvent]:
    """Returns the events of several log files in order of time.

    Raises:
        OSError: A file cannot be read.
    """
    events = [event for path in paths for event in _read_file(path)]
    events.sort(key=lambda event: event.time)
    return events


def _read_file(path: pathlib.Path) -> Iterator[LogEvent]:
    with path.open(errors="replace") as lines:
        for line in lines:
            event = parse_line(line)
            if event is not None:
                yield event
