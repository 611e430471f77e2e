"""Base of the stand-ins: an aiohttp application on a loopback port."""

from __future__ import annotations

from aiohttp import web

__all__ = ["StandIn"]


class StandIn:
    """Serves an application on 127.0.0.1 until closed."""

    def __init__(self) -> None:
        self._runner: web.AppRunner | None = None
        self._port = 0

    @property
    def port(self) -> int:
        """The port listened on; 0 before `start`."""
        return self._port

    @property
    def url(self) -> str:
        """Base URL without a trailing slash."""
        return f"http://127.0.0.1:{self._port}"

    def application(self) -> web.Application:
        """Returns the application with its routes."""
        raise NotImplementedError

    async def start(self, port: int = 0) -> None:
        """Opens the port; 0 takes a free one."""
        self._runner = web.AppRunner(
            self.application(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Closes the port and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
