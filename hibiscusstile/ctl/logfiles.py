"""Reads the logs that a command names."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from hibiscusstile import logreader
from hibiscusstile.ctl import output

__all__ = ["read_logs"]


def read_logs(
    files: Sequence[pathlib.Path],
) -> list[logreader.LogEvent] | None:
    """Returns the events of the logs; None, with an error printed, if none."""
    if not files:
        output.print_error("name at least one log")
        return None
    try:
        return logreader.read_events(files)
    except OSError as error:
        output.print_error(str(error))
        return None
