"""Small stand-ins for the systems around the router.

They speak the published protocols of the log service, the instance list,
model engines and plain services, and can be told to fail. Nothing in the
product imports them but the demo.
"""

from __future__ import annotations

from hibiscusstile import registry
from hibiscusstile_standins import server

__all__ = ["get_stand_in_by_name", "stand_ins"]

stand_ins: registry.Registry[server.StandIn] = registry.Registry(
    "stand-in",
    registry.NameNotFound,
    (
        f"{__name__}.engine",
        f"{__name__}.instancelist",
        f"{__name__}.log",
        f"{__name__}.runner",
        f"{__name__}.service",
        f"{__name__}.store",
    ),
)


def get_stand_in_by_name(name: str) -> type[server.StandIn]:
    """Returns the class of a kind of stand-in.

    Raises:
        NameNotFound: No kind has the name.
    """
    return stand_ins.get_by_name(name)
