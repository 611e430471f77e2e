"""The command `hibiscusctl records list`, which lists published records."""

from __future__ import annotations

from collections.abc import Callable

from hibiscusstile import ctl
from hibiscusstile.ctl import log_access, output, recordrows

__all__ = ["RecordsListCommand", "list_records"]


@ctl.commands.register()
class RecordsListCommand(ctl.Command):
    """Lists the records on the log."""

    name = "records list"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return list_records


def list_records(
    *, log: log_access.LogUrl, kind: str = "", json: bool = False
) -> int:
    """Lists the newest accepted records with their revisions.

    Args:
        log: Base URL of the log service.
        kind: List only records of this kind.
        json: Print the result as JSON.
    """
    try:
        store = log_access.run_with_log(log, log_access.read_state)
    except log_access.LogUnusable as error:
        output.print_error(str(error))
        return ctl.EXIT_REFUSED
    rows = [
        row for row in recordrows.build_rows(store) if kind in ("", row.kind)
    ]
    if json:
        output.print_json(
            {
                "revision": store.revision,
                "digest": store.digest,
                "records": [row.summary for row in rows],
            }
        )
        return ctl.EXIT_DONE
    print(f"revision {store.revision} digest {store.digest}")
    for row in rows:
        print(
            f"{row.kind} {row.name} schema_version={row.schema_version} "
            f"revision={row.revision} {row.status}"
        )
    return ctl.EXIT_DONE
