"""Roles that a process can take."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from typing import Any, Protocol

from hibiscusstile import clock as clock_lib
from hibiscusstile import registry, supervisor

__all__ = [
    "Role",
    "RoleNotFound",
    "RoleSettings",
    "get_role_by_name",
    "roles",
]


class RoleSettings(Protocol):
    """Validated settings of a role.

    Attributes:
        role: Name of the role.
    """

    @property
    def role(self) -> str:
        """Name of the role."""


class Role(abc.ABC):
    """Builds and stops the part of the supervisor tree of one role.

    Attributes:
        name: Name in the settings' `role`.
        aliases: Further names.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()

    def __init__(
        self,
        config: Any,
        clock: clock_lib.Clock,
    ) -> None:
        """Takes validated settings of this role and the clock.

        Args:
            config: The settings class of the role.
            clock: The clock that every part gets.
        """

    @property
    @abc.abstractmethod
    def ports(self) -> Mapping[str, int]:
        """The open ports by their names in the settings."""

    @abc.abstractmethod
    def build(self, root: supervisor.Supervisor) -> None:
        """Adds the role's children to the root."""

    def reload(self) -> None:
        """Reads changed settings; a role without such settings ignores it."""

    @abc.abstractmethod
    async def wait_ready(self) -> None:
        """Waits until the role serves."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Takes no new work and waits for the rest, up to the deadline."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes clients, once the children have stopped."""


class RoleNotFound(registry.NameNotFound):
    """No role has the requested name."""


roles: registry.Registry[Role] = registry.Registry(
    "role",
    RoleNotFound,
    (f"{__name__}.entry", f"{__name__}.gateway", f"{__name__}.sidecar"),
)


def get_role_by_name(name: str) -> type[Role]:
    """Returns the role class with this name.

    Raises:
        RoleNotFound: No role has it.
    """
    return roles.get_by_name(name)
