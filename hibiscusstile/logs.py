"""Set-up of the log, and functions that log events with fields."""

from __future__ import annotations

import enum
import json
import sys
from collections.abc import Mapping
from typing import Any

import logbook

__all__ = [
    "LogFormat",
    "event",
    "format_event",
    "set_format",
    "start_logging",
    "warn",
]


class LogFormat(enum.Enum):
    """Format of event lines."""

    KEY_VALUE = "keyvalue"
    JSON = "json"


class _ProcessSettings:
    """Settings of the whole process; changed only by `set_format`."""

    event_format = LogFormat.KEY_VALUE


def set_format(log_format: LogFormat) -> None:
    """Sets the format of event lines for this process."""
    _ProcessSettings.event_format = log_format


def start_logging(log_format: LogFormat, level: str) -> None:
    """Logs records of at least `level` to standard error."""
    set_format(log_format)
    handler = logbook.StreamHandler(
        sys.stderr,
        level=level,
        format_string=(
            "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
            "{record.channel} {record.message}"
        ),
    )
    handler.push_application()


def format_event(event: str, fields: Mapping[str, Any]) -> str:
    """Returns an event as one log line in the process-wide format.

    Args:
        event: Type of the event, such as `route`.
        fields: Fields of the event; values with spaces or control characters
            are quoted.
    """
    if _ProcessSettings.event_format is LogFormat.JSON:
        return json.dumps({"event": event, **fields}, default=str)
    pairs = (f"{name}={_quote(value)}" for name, value in fields.items())
    return " ".join((event, *pairs))


def event(logger: logbook.Logger, name: str, **fields: Any) -> None:
    """Logs an event with fields.

    Args:
        logger: Logger of the calling component.
        name: Type of the event, such as `attempt`.
        **fields: Fields of the event.
    """
    logger.info(name, extra=fields)


def warn(logger: logbook.Logger, name: str, **fields: Any) -> None:
    """Logs an event that may need an operator's attention."""
    logger.warning(name, extra=fields)


def _quote(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    # Control characters would end the line or change an operator's terminal.
    if not text.isprintable() or not text or any(c in text for c in ' "='):
        return json.dumps(text)
    return text
