"""`hibiscusctl records append`: publishes the records of a file."""

from __future__ import annotations

import getpass
import pathlib
from collections.abc import Callable
from typing import Any

from hibiscusstile import clock as clock_lib
from hibiscusstile import ctl, platform
from hibiscusstile.ctl import appending, files, log_access, output, validation

__all__ = ["RecordsAppendCommand", "append"]


@ctl.commands.register()
class RecordsAppendCommand(ctl.Command):
    """Appends records."""

    name = "records append"

    @property
    def handler(self) -> Callable[..., int]:
        """Function that the command line calls."""
        return append


def append(
    file: pathlib.Path,
    *,
    log: log_access.LogUrl,
    expect_revision: int | None = None,
    author: str = "",
    json: bool = False,
) -> int:
    """Checks records, appends them in order and shows their fate.

    The first record that is not accepted ends the command.

    Args:
        file: One or more records as YAML or JSON.
        log: Base URL of the log service.
        expect_revision: Have the file's one record rejected unless the last
            accepted record of its kind and name is at this offset; -1 for
            none.
        author: Name to write into the records; the user's by default.
        json: Print the result as JSON.
    """
    try:
        found = validation.read_records(files.read_documents(file))
    except files.FileUnreadable as error:
        output.print_error(f"(file): {error}")
        return ctl.EXIT_BAD_USAGE
    if expect_revision is not None and len(found.documents) != 1:
        output.print_error("--expect-revision needs a file with one record")
        return ctl.EXIT_BAD_USAGE
    # Bodies are checked before the log is asked for anything.
    faults = validation.check_bodies(found)
    if faults:
        output.print_faults(faults)
        return ctl.EXIT_BAD_USAGE
    extra = {}
    if expect_revision is not None:
        extra["expect_revision"] = expect_revision
    documents = [
        appending.add_author_nonce({**each, **extra}, author or _login_name())
        for each in found.documents
    ]
    try:
        results = log_access.run_with_log(
            log, lambda client: _append_all(client, found, documents)
        )
    except log_access.LogUnusable as error:
        output.print_error(str(error))
        return ctl.EXIT_REFUSED
    if isinstance(results, _LogCheckFaults):
        output.print_faults(results)
        return ctl.EXIT_BAD_USAGE
    return _print_results(results, len(documents), json)


class _LogCheckFaults(list[files.FileFault]):
    """Faults found once the log was read."""


async def _append_all(
    log: platform.LogClient,
    found: validation.RecordFile,
    documents: list[dict[str, Any]],
) -> list[appending.AppendResult] | _LogCheckFaults:
    store = await log_access.read_state(log)
    faults = _LogCheckFaults(validation.check_records(found, store))
    if faults:
        return faults
    results = []
    for document in documents:
        result = await appending.append_record(
            log, store, document, clock_lib.SystemClock()
        )
        results.append(result)
        if result.outcome is not appending.Outcome.ACCEPTED:
            break
    return results


def _print_results(
    results: list[appending.AppendResult], total: int, as_json: bool
) -> int:
    done = results[-1].outcome is appending.Outcome.ACCEPTED
    if as_json:
        output.print_json(
            {
                "done": done,
                "not_tried": total - len(results),
                "results": [
                    {
                        "kind": each.kind,
                        "name": each.name,
                        "outcome": each.outcome.value,
                        "offset": each.offset,
                        "reason": each.reason,
                        "note": each.note,
                    }
                    for each in results
                ],
            }
        )
    for each in results:
        if each.outcome is not appending.Outcome.ACCEPTED:
            output.print_error(each.line)
        elif not as_json:
            print(each.line)
    if len(results) < total:
        output.print_error(f"{total - len(results)} records were not tried")
    return ctl.EXIT_DONE if done else ctl.EXIT_REFUSED


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "hibiscusctl"
