"""Reads the gateway log files given to a command."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from hibiscusstile import logreader
from hibiscusstile.ctl import output

__all__ = ["read_logs"]


def read_logs(
    files: Sequence[pathlib.Path],
) -> list[logreader.LogEvent] | None:
    """Returns the events of the logs.

    If no file is given or one cannot be read, prints an error and returns
    None.
    """
    if not files:
        output.print_error("no log file given")
        return None
    try:
        return logreader.read_events(files)
    except OSError as error:
        output.print_error(str(error))
        return None
