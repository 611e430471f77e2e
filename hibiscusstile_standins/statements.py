"""Stand-in servers that say that they leave or accept no requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from hibiscusstile_standins import server

__all__ = ["StatingServer"]

_CONTROL_PATHS = ("/fault", "/record")
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StatingServer(server.StandIn):
    """Adds statements about itself to all responses of a server."""

    def __init__(self) -> None:
        super().__init__()
        self._says_leaving = False
        self._retry_after: tuple[str, ...] = ()
        self._turned_away: list[str] = []

    @property
    def turned_away(self) -> tuple[str, ...]:
        """Paths of the requests that were rejected by `turn_away`."""
        return tuple(self._turned_away)

    @server.fault
    def say_leaving(self, leaving: bool = True) -> None:
        """Adds `Server-Leaving: 1` to all responses."""
        self._says_leaving = leaving

    @server.fault
    def turn_away(self, retry_after: str = "", *further: str) -> None:
        """Rejects all requests with status 503.

        Args:
            retry_after: Value of the `Retry-After` header; empty ends this.
            *further: Values of further such headers.
        """
        self._retry_after = (retry_after, *further) if retry_after else ()

    def new_stating_application(self) -> web.Application:
        """Returns an application that sends the statements."""
        app = server.new_application()
        app.middlewares.append(self._turn_away)
        app.on_response_prepare.append(self._add_statement)
        return app

    @web.middleware
    async def _turn_away(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if not self._retry_after or request.path in _CONTROL_PATHS:
            return await handler(request)
        self._turned_away.append(request.path)
        response = web.Response(
            status=503,
            headers={
                "X-Request-Id": request.headers.get("X-Request-Id", ""),
                "X-Not-Executed": "1",
            },
        )
        for value in self._retry_after:
            response.headers.add("Retry-After", value)
        return response

    async def _add_statement(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._says_leaving and request.path not in _CONTROL_PATHS:
            response.headers["Server-Leaving"] = "1"
