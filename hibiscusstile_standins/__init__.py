"""Fake servers for tests: log, instance list, engines, backend servers.

Each stand-in implements the published protocol of the system that it
replaces and supports fault injection. In the product, only the demo imports
this package.
"""

from __future__ import annotations

from hibiscusstile import registry
from hibiscusstile_standins import server

__all__ = ["get_stand_in_by_name", "stand_ins"]

stand_ins: registry.Registry[server.StandIn] = registry.Registry(
    "stand-in",
    registry.NameNotFound,
    (
        f"{__name__}.endless",
        f"{__name__}.engine",
        f"{__name__}.instancelist",
        f"{__name__}.log",
        f"{__name__}.runner",
        f"{__name__}.service",
        f"{__name__}.silentrunner",
        f"{__name__}.store",
    ),
)


def get_stand_in_by_name(name: str) -> type[server.StandIn]:
    """Returns the class that is registered under a name.

    Raises:
        NameNotFound: No stand-in has the name.
    """
    return stand_ins.get_by_name(name)
