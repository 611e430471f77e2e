"""The command `hibiscusctl records show`, which prints one record."""

from __future__ import annotations

from collections.abc import Callable

import yaml

from hibiscusstile import ctl
from hibiscusstile.ctl import log_access, output, recordrows

__all__ = ["RecordsShowCommand", "show"]


@ctl.commands.register()
class RecordsShowCommand(ctl.Command):
    """Shows one record in each of its schema versions."""

    name = "records show"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return show


def show(
    kind: str, name: str, *, log: log_access.LogUrl, json: bool = False
) -> int:
    """Shows the newest accepted record of a kind and name.

    Args:
        kind: Kind of the record, such as `workspace`.
        name: Name of the record.
        log: Base URL of the log service.
        json: Print the result as JSON.
    """
    try:
        store = log_access.run_with_log(log, log_access.read_state)
    except log_access.LogUnusable as error:
        output.print_error(str(error))
        return ctl.EXIT_REFUSED
    found = [
        {**row.summary, "body": dict(row.body)}
        for row in recordrows.build_rows(store)
        if (row.kind, row.name) == (kind, name)
    ]
    if not found:
        output.print_error(f"no record {kind} {name!r} is on the log")
        return ctl.EXIT_REFUSED
    if json:
        output.print_json(found)
    else:
        print(yaml.safe_dump_all(found, sort_keys=False), end="")
    return ctl.EXIT_DONE
