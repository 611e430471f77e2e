"""Opens and closes the callers' port."""

from __future__ import annotations

import asyncio
from typing import Any

import logbook
from aiohttp import web

from hibiscusstile import identity, outcome, settings
from hibiscusstile.entry import refusals

__all__ = ["Listener"]

_log = logbook.Logger("listener")

_MAX_HEADERS = 64
_MAX_FIELD_BYTES = 8190
_SHUTDOWN_S = 1.0
_BACKLOG = 1024


class _CallerProtocol(web.RequestHandler):
    """Answers with a refusal where aiohttp cannot parse a request.

    Such requests reach no handler of the application.
    """

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the refusal for a request that is not valid HTTP.

        Raises:
            ConnectionError: An answer has begun already.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun already")
        request_id = identity.new_id("req")
        _log.warning(
            "request_malformed request={} remote={} error={}",
            request_id,
            request.remote,
            type(exc).__name__,
        )
        response = refusals.to_response(_refusal(status, exc), request_id)
        response.force_close()
        return response


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
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port listened on."""
        return self._port

    async def wait_listening(self) -> None:
        """Waits until the port is open."""
        await self._listening.wait()

    async def close_port(self) -> None:
        """Closes the port; open connections go on."""
        if self._server is not None:
            self._server.close()

    async def run(self) -> None:
        """Serves until cancelled."""
        runner = web.AppRunner(
            self._app,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_S,
        )
        await runner.setup()
        manager: Any = runner.server
        options: dict[str, Any] = {
            "access_log": None,
            "max_field_size": _MAX_FIELD_BYTES,
            "max_headers": _MAX_HEADERS,
        }
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _CallerProtocol(manager, loop=loop, **options),
                self._address.host_text,
                self._port,
                backlog=_BACKLOG,
            )
            self._port = self._server.sockets[0].getsockname()[1]
            self._listening.set()
            await loop.create_future()
        finally:
            await self.close_port()
            await runner.cleanup()


def _refusal(status: int, error: BaseException | None) -> outcome.Refusal:
    if status >= 500:
        return outcome.Refusal(
            outcome.Reason.INTERNAL,
            "internal error",
            outcome.Verdict.MAY_HAVE_RUN,
        )
    # The error's own text may quote the request, its key included.
    name = type(error).__name__ if error else "error"
    return outcome.Refusal(
        outcome.Reason.BAD_REQUEST, f"the request is not valid HTTP: {name}"
    )
