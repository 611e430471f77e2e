"""Opens and closes the callers' port."""

from __future__ import annotations

import asyncio

from aiohttp import web

from hibiscusstile import settings

__all__ = ["Listener"]

_MAX_HEADERS = 64
_MAX_FIELD_BYTES = 8190
_SHUTDOWN_S = 1.0


class Listener:
    """Serves an aiohttp application on the callers' port.

    Args:
        address: Where to listen.
        app: The application.
    """

    def __init__(self, address: settings.Address, app: web.Application) -> None:
        self._address = address
        self._app = app
        self._port = address.port
        self._listening = asyncio.Event()
        self._site: web.TCPSite | None = None

    @property
    def port(self) -> int:
        """The port listened on."""
        return self._port

    async def wait_listening(self) -> None:
        """Waits until the port is open."""
        await self._listening.wait()

    async def close_port(self) -> None:
        """Closes the port; open connections go on."""
        if self._site is not None:
            await self._site.stop()

    async def run(self) -> None:
        """Serves until cancelled."""
        runner = web.AppRunner(
            self._app,
            access_log=None,
            max_field_size=_MAX_FIELD_BYTES,
            max_headers=_MAX_HEADERS,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_S,
        )
        await runner.setup()
        try:
            self._site = web.TCPSite(
                runner, self._address.host_text, self._port
            )
            await self._site.start()
            self._port = runner.addresses[0][1]
            self._listening.set()
            await asyncio.get_running_loop().create_future()
        finally:
            await runner.cleanup()
