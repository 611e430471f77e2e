"""The operators' command-line tool, `hibiscusctl`."""

from __future__ import annotations

import sys

import cyclopts

from hibiscusstile import __version__
from hibiscusstile.ctl import demo

__all__ = ["app", "main"]

app = cyclopts.App(
    name="hibiscusctl",
    version=__version__,
    help="Checks files, appends records and shows what is in force.",
)
app.command(demo.demo, name="demo")


def main() -> None:
    """Entry point of the program."""
    sys.exit(app())
