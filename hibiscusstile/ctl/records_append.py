"""The command `hibiscusctl records append`, which publishes records."""

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
    """Appends the records of a file to the log."""

    name = "records append"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return append


def append(
    file: pathlib.Path,
    *,
    log: log_access.LogUrl,
    expect_revision: int | None = None,
    author: str = "",
    json: bool = False,
) -> int:
    """Validates records, appends them in order and prints the outcomes.

    Stops at the first record that is not accepted.

    Args:
        file: One or more records in YAML or JSON.
        log: Base URL of the log service.
        expect_revision: Offset that the last accepted record of the same kind
            and name must have, or the record is rejected; -1 if there must
            be none. Requires a file with a single record.
        author: Author name in the records; by default the login name.
        json: Print the result as JSON.
    """
    try:
        found = validation.read_records(files.read_documents(file))
    except files.FileUnreadable as error:
        output.print_error(f"(file): {error}")
        return ctl.EXIT_BAD_USAGE
    if expect_revision is not None and len(found.documents) != 1:
        output.print_error(
            "--expect-revision requires a file with exactly one record"
        )
        return ctl.EXIT_BAD_USAGE
    # Bodies are validated first, because this needs no connection to the log.
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
    """Faults found by validation against the configuration on the log."""


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
        output.print_error(f"{total - len(results)} records were not attempted")
    return ctl.EXIT_DONE if done else ctl.EXIT_REFUSED


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "hibiscusctl"
