"""Registry and base class of the roles that a process can run as."""

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
    """Builds the supervisor tree of a role and shuts it down.

    Attributes:
        name: Value of `role` in the settings.
        aliases: Alternative names.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()

    def __init__(
        self,
        role_settings: Any,
        clock: clock_lib.Clock,
    ) -> None:
        """Creates the components of the role.

        Args:
            role_settings: Validated settings, of the role's settings class.
            clock: Clock that is passed to all components.
        """

    @property
    @abc.abstractmethod
    def ports(self) -> Mapping[str, int]:
        """Listening ports by their names in the settings."""

    @abc.abstractmethod
    def build(self, root: supervisor.Supervisor) -> None:
        """Adds the role's tasks to the root supervisor."""

    def reload(self) -> None:
        """Reloads the settings; does nothing unless the role supports it."""

    @abc.abstractmethod
    async def wait_ready(self) -> None:
        """Waits until the role accepts connections."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Stops accepting work; waits for active work up to the deadline."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes clients after the supervisor tree has stopped."""


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
