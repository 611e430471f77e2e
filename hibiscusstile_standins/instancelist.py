"""Stand-in for the platform's list of instances."""

from __future__ import annotations

from aiohttp import web

from hibiscusstile_standins import server

__all__ = ["InstanceListService"]


class InstanceListService(server.StandIn):
    """Shows the instances that a test has registered."""

    def __init__(self) -> None:
        super().__init__()
        self._instances: dict[str, dict[str, object]] = {}

    def put(
        self,
        peer_id: str,
        role: str,
        port: int,
        zone: str,
        region: str,
        leaving: bool = False,
    ) -> None:
        """Lists an instance on loopback."""
        self._instances[peer_id] = {
            "peer_id": peer_id,
            "role": role,
            "host": "127.0.0.1",
            "port": port,
            "zone": zone,
            "region": region,
            "leaving": leaving,
        }

    def application(self) -> web.Application:
        """Returns the application with its routes."""
        app = web.Application()
        app.router.add_get("/instances", self._list)
        return app

    async def _list(self, request: web.Request) -> web.Response:
        region = request.query.get("region")
        return web.json_response(
            {
                "instances": [
                    each
                    for each in self._instances.values()
                    if region in (None, each["region"])
                ]
            }
        )
