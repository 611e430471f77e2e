"""The command `hibiscusctl explain`, which traces one request."""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from typing import Annotated

import cyclopts

from hibiscusstile import ctl, explaining
from hibiscusstile.ctl import logfiles, output

__all__ = ["ExplainCommand", "explain"]


@ctl.commands.register()
class ExplainCommand(ctl.Command):
    """Traces a request through the logs of the gateways."""

    name = "explain"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return explain


def explain(
    request_id: str,
    *files: pathlib.Path,
    as_json: Annotated[
        bool, cyclopts.Parameter(name="--json", negative="")
    ] = False,
) -> int:
    """Prints the log lines of a request and the cause of its outcome.

    Args:
        request_id: Value of the request's X-Request-Id header.
        files: Log files of the gateways, in any order.
        as_json: Print the result as JSON.
    """
    events = logfiles.read_logs(files)
    if events is None:
        return ctl.EXIT_BAD_USAGE
    explanation = explaining.explain(events, request_id)
    if as_json:
        output.print_json(
            {
                "request": request_id,
                "found": explanation.found,
                "lines": [event.format_line() for event in explanation.events],
                "cause": explanation.cause,
            }
        )
    else:
        for event in explanation.events:
            print(event.format_line())
        print(f"cause: {explanation.cause}")
    return ctl.EXIT_DONE if explanation.found else ctl.EXIT_REFUSED
