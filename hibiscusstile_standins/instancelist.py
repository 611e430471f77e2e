"""Stand-in for the platform's instance list."""

from __future__ import annotations

import argparse
import time

from aiohttp import web

import hibiscusstile_standins
from hibiscusstile_standins import server

__all__ = ["InstanceListService"]


@hibiscusstile_standins.stand_ins.register()
class InstanceListService(server.StandIn):
    """Lists the instances that a test registers, after a delay.

    Args:
        lag_s: Delay until a change becomes visible.
    """

    name = "instances"

    def __init__(self, lag_s: float = 0.0) -> None:
        super().__init__()
        self._lag_s = lag_s
        self._down = False
        self._changes: list[tuple[float, str, dict[str, object] | None]] = []

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the list's command-line options to a parser."""
        parser.add_argument("--lag-s", type=float, default=0.0)

    @classmethod
    def from_arguments(
        cls, arguments: argparse.Namespace
    ) -> InstanceListService:
        """Returns a list configured from the command line."""
        return cls(arguments.lag_s)

    @server.fault
    def put(
        self,
        peer_id: str,
        role: str,
        port: int,
        zone: str,
        region: str,
        leaving: bool = False,
    ) -> None:
        """Adds or updates an instance on the loopback address."""
        instance = {
            "peer_id": peer_id,
            "role": role,
            "host": "127.0.0.1",
            "port": port,
            "zone": zone,
            "region": region,
            "leaving": leaving,
        }
        self._changes.append((time.monotonic(), peer_id, instance))

    @server.fault
    def remove(self, peer_id: str) -> None:
        """Removes an instance from the list."""
        self._changes.append((time.monotonic(), peer_id, None))

    @server.fault
    def set_lag(self, lag_s: float) -> None:
        """Sets the delay until a change becomes visible."""
        self._lag_s = lag_s

    @server.fault
    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; reads get status 503 during one."""
        self._down = down

    def application(self) -> web.Application:
        """Returns the web application of the instance list."""
        app = server.new_application()
        app.router.add_get("/instances", self._get_instances)
        return app

    async def _get_instances(self, request: web.Request) -> web.Response:
        region = request.query.get("region")
        if self._down:
            raise web.HTTPServiceUnavailable
        cutoff_s = time.monotonic() - self._lag_s
        visible: dict[str, dict[str, object]] = {}
        for changed_s, peer_id, instance in self._changes:
            if changed_s > cutoff_s:
                break
            visible.pop(peer_id, None)
            if instance is not None:
                visible[peer_id] = instance
        return web.json_response(
            {
                "instances": [
                    each
                    for each in visible.values()
                    if region in (None, each["region"])
                ]
            }
        )
