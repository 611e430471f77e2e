"""Command registry and entry point of `hibiscusctl`."""

from __future__ import annotations

import abc
import sys
from collections.abc import Callable, Sequence

import cyclopts

from hibiscusstile import __version__, registry

__all__ = [
    "EXIT_BAD_USAGE",
    "EXIT_DONE",
    "EXIT_REFUSED",
    "Command",
    "CommandNotFound",
    "build_app",
    "commands",
    "get_command_by_name",
    "main",
]

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_BAD_USAGE = 2


class Command(abc.ABC):
    """Base class of the subcommands of `hibiscusctl`.

    Attributes:
        name: The words that select the command, such as `records append`.
        aliases: Alternative names.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()

    @property
    @abc.abstractmethod
    def handler(self) -> Callable[..., int]:
        """The function that runs the command and returns the exit code.

        Cyclopts derives options and help from its signature and docstring.
        """


class CommandNotFound(registry.NameNotFound):
    """No command is registered under the requested name or alias."""


commands: registry.Registry[Command] = registry.Registry(
    "command",
    CommandNotFound,
    (
        f"{__name__}.check",
        f"{__name__}.demo",
        f"{__name__}.explain",
        f"{__name__}.log_summary",
        f"{__name__}.records_append",
        f"{__name__}.records_list",
        f"{__name__}.records_show",
        f"{__name__}.status",
        f"{__name__}.where",
    ),
)


def get_command_by_name(name: str) -> type[Command]:
    """Returns the command class with this name or alias.

    Raises:
        CommandNotFound: No such command is registered.
    """
    return commands.get_by_name(name)


def build_app() -> cyclopts.App:
    """Returns the application with all registered commands."""
    app = cyclopts.App(
        name="hibiscusctl",
        version=__version__,
        help="Checks files, manages records and analyses logs.",
        result_action="return_value",
    )
    groups: dict[str, cyclopts.App] = {}
    for command in commands:
        *group, word = command.name.split()
        parent = app
        if group:
            if group[0] not in groups:
                groups[group[0]] = cyclopts.App(
                    name=group[0], help=f"Commands for {group[0]}."
                )
                app.command(groups[group[0]])
            parent = groups[group[0]]
        parent.command(command().handler, name=word)
    return app


def main(arguments: Sequence[str] | None = None) -> None:
    """Parses the command line, runs the command and exits."""
    try:
        code = build_app()(arguments, exit_on_error=False, print_error=False)
    except cyclopts.CycloptsError as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        code = EXIT_BAD_USAGE
    sys.exit(code)
