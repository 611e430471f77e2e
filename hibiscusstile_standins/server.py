"""Base class of the stand-ins: an aiohttp server with fault injection."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import inspect
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, TypeVar

from aiohttp import web

from hibiscusstile import clock as clock_lib
from hibiscusstile import supervisor

__all__ = ["StandIn", "drop_connection", "fault", "new_application"]

_MAX_BODY_BYTES = 16 * 1024 * 1024
_CONTROL_PATHS = ("/fault", "/record")
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_F = TypeVar("_F", bound=Callable[..., Any])


def fault(method: _F) -> _F:
    """Makes a method callable by name through `POST /fault`."""
    setattr(method, "_is_fault", True)  # noqa: B010 - mypy rejects the attribute
    return method


def drop_connection(request: web.Request) -> None:
    """Aborts a request's connection without a response."""
    if request.transport is not None:
        request.transport.abort()


class StandIn:
    """Serves an application on 127.0.0.1 until closed.

    `POST /fault` with `{"name": ..., "arguments": {...}}` calls a method
    that is decorated with `fault`; `GET /record` returns what the stand-in
    has processed. Both work while the stand-in is frozen.

    Attributes:
        name: Value of `--kind` that selects the class.
        aliases: Alternative names.
    """

    name: ClassVar[str] = ""
    aliases: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self._runner: web.AppRunner | None = None
        self._port = 0
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._clock = clock_lib.SystemClock()
        self._supervisor = supervisor.Supervisor(
            f"stand-in {self.name}", self._clock
        )
        self._supervisor_task: asyncio.Future[None] | None = None

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the class's command-line options to a parser."""

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> StandIn:
        """Returns a stand-in configured from the command line."""
        del arguments
        return cls()

    @property
    def port(self) -> int:
        """The listening port; 0 before `start`."""
        return self._port

    @property
    def url(self) -> str:
        """Base URL without a trailing slash."""
        return f"http://127.0.0.1:{self._port}"

    @property
    def frozen(self) -> bool:
        """Whether the server accepts connections but sends no responses."""
        return not self._thawed.is_set()

    def application(self) -> web.Application:
        """Returns the web application to serve."""
        raise NotImplementedError

    def record(self) -> dict[str, Any]:
        """Returns what the stand-in has processed, as JSON values."""
        return {}

    async def start(self, port: int = 0) -> None:
        """Starts listening; port 0 selects a free port."""
        self._supervisor_task = asyncio.ensure_future(self._supervisor.run())
        await self._listen(port)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._supervisor_task is not None:
            self._supervisor_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._supervisor_task
            self._supervisor_task = None
        await self._stop_listening()

    @fault
    def freeze(self) -> None:
        """Accepts connections but sends no responses until `thaw`."""
        self._thawed.clear()

    @fault
    def thaw(self) -> None:
        """Resumes responses, including those to requests received meanwhile."""
        self._thawed.set()

    @fault
    def crash(self, delay_s: float = 0.5) -> None:
        """Drops all connections and restarts after a delay."""
        if "restart" in self._supervisor.children:
            return
        self.drop_volatile_state()
        self._supervisor.add(
            supervisor.ChildSpec(
                "restart",
                lambda: self._restart(delay_s),
                supervisor.Restart.TEMPORARY,
            )
        )

    def drop_volatile_state(self) -> None:
        """Drops the state that doesn't survive a crash."""

    async def _restart(self, delay_s: float) -> None:
        await self._stop_listening()
        await asyncio.sleep(delay_s)
        self._thawed.set()
        await self._listen(self._port)

    async def _listen(self, port: int) -> None:
        app = self.application()
        app.middlewares.append(self._wait_while_frozen)
        app.router.add_post("/fault", self._post_fault)
        app.router.add_get("/record", self._get_record)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def _stop_listening(self) -> None:
        runner, self._runner = self._runner, None
        if runner is None:
            return
        if runner.server is not None:
            for connection in runner.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()
        await runner.cleanup()

    @web.middleware
    async def _wait_while_frozen(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if request.path not in _CONTROL_PATHS:
            await self._thawed.wait()
        return await handler(request)

    async def _post_fault(self, request: web.Request) -> web.Response:
        body = await request.json()
        method = getattr(self, str(body["name"]), None)
        if not getattr(method, "_is_fault", False) or method is None:
            return web.json_response(
                {"message": f"unknown fault {body['name']!r}"}, status=404
            )
        result = method(**body.get("arguments", {}))
        if inspect.isawaitable(result):
            await result
        return web.json_response({})

    async def _get_record(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self.record())


def new_application() -> web.Application:
    """Returns an application that accepts bodies of up to 16 MiB."""
    return web.Application(client_max_size=_MAX_BODY_BYTES)
