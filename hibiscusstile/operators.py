"""HTTP server for operators: metrics, status and placements, all read-only."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from aiohttp import web

from hibiscusstile import metrics, placementquery

__all__ = ["OperatorsServer"]


class OperatorsServer:
    """Serves `GET /metrics`, `GET /status` and, at a gateway, `POST /where`.

    Args:
        host: IP address to listen on.
        port: Port to listen on.
        status: Returns the fields of the status page.
        place: Says where a described request would go now; None if the process
            does not place requests.
        update_metrics: Called before the metrics are read.
    """

    def __init__(
        self,
        host: str,
        port: int,
        status: Callable[[], Mapping[str, object]],
        place: Callable[[placementquery.PlacementQuery], Mapping[str, object]]
        | None = None,
        update_metrics: Callable[[], None] = lambda: None,
    ) -> None:
        self._update_metrics = update_metrics
        self._host = host
        self._place = place
        self._status = status
        self._port = port
        self._listening = asyncio.Event()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._port

    async def wait_listening(self) -> None:
        """Waits until the server accepts connections."""
        await self._listening.wait()

    async def run(self) -> None:
        """Serves until cancelled."""
        app = web.Application()
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/status", self._get_status)
        if self._place is not None:
            app.router.add_post("/where", self._post_where)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        try:
            site = web.TCPSite(runner, self._host, self._port)
            await site.start()
            self._port = runner.addresses[0][1]
            self._listening.set()
            await asyncio.get_running_loop().create_future()
        finally:
            await runner.cleanup()

    async def _get_metrics(self, request: web.Request) -> web.Response:
        del request
        self._update_metrics()
        body, content_type = metrics.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    async def _get_status(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(dict(self._status()))

    async def _post_where(self, request: web.Request) -> web.Response:
        assert self._place is not None
        try:
            query = placementquery.parse_query(await request.read())
        except placementquery.QueryError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(dict(self._place(query)))
