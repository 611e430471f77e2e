"""The daemon's command line: `hibiscusstiled --settings FILE`."""

from __future__ import annotations

import pathlib
from typing import Annotated

import cyclopts

from hibiscusstile import __version__, process

__all__ = ["main"]

app = cyclopts.App(
    name="hibiscusstiled",
    version=__version__,
    help="Runs one process of hibiscusstile.",
)


@app.default
def run(
    *,
    settings_file: Annotated[
        pathlib.Path | None, cyclopts.Parameter("--settings")
    ] = None,
) -> None:
    """Runs the role named in the settings until SIGTERM or SIGINT.

    Without a settings file, runs the gateway with the platform's settings.

    Args:
        settings_file: YAML file with the settings.
    """
    process.run_process(settings_file)


def main() -> None:
    """Parses the command line and runs the daemon."""
    app()


if __name__ == "__main__":
    main()
