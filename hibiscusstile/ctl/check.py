"""The command `hibiscusctl check`, which validates a file."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Callable

from hibiscusstile import ctl
from hibiscusstile.ctl import files, log_access, output, validation
from hibiscusstile.platform import platformfiles

__all__ = ["CheckCommand", "check"]

_PLATFORM_FILE_SUFFIX = ".toml"


@ctl.commands.register()
class CheckCommand(ctl.Command):
    """Validates a file of settings or of records."""

    name = "check"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return check


def check(
    file: pathlib.Path, *, log: log_access.LogUrl = "", json: bool = False
) -> int:
    """Validates a file of settings or of records and prints every fault.

    Args:
        file: Settings in YAML, the platform's settings or deploy file in TOML,
            or one or more records in YAML or JSON.
        log: Resolve references to records on this log as well.
        json: Print the result as JSON.
    """
    try:
        faults = _find_faults(file, log)
    except log_access.LogUnusable as error:
        output.print_error(str(error))
        return ctl.EXIT_REFUSED
    if json:
        output.print_json(
            {
                "file": str(file),
                "good": not faults,
                "faults": [dataclasses.asdict(fault) for fault in faults],
            }
        )
    output.print_faults(faults)
    if faults:
        return ctl.EXIT_BAD_USAGE
    if not json:
        print(f"{file}: good")
    return ctl.EXIT_DONE


def _find_faults(file: pathlib.Path, log_url: str) -> list[files.FileFault]:
    if file.suffix == _PLATFORM_FILE_SUFFIX:
        return platformfiles.find_faults(file)
    try:
        documents = files.read_documents(file)
    except files.FileUnreadable as error:
        return [files.FileFault("(file)", str(error))]
    if not files.contains_records(documents):
        return validation.check_settings(file)
    published = None
    if log_url:
        published = log_access.run_with_log(log_url, log_access.read_state)
    return validation.check_records(
        validation.read_records(documents), published
    )
