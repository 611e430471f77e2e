"""HTTP listener that answers malformed and slow requests with refusals."""

from __future__ import annotations

import asyncio
from typing import Any

import logbook
from aiohttp import web

from hibiscusstile import identity, outcome, settings
from hibiscusstile.entry import refusals

__all__ = ["HttpProtocol", "Listener"]

_log = logbook.Logger("listener")

_MAX_HEADERS = 64
_MAX_HEADER_FIELD_BYTES = 8190
_SHUTDOWN_TIMEOUT_S = 1.0
_BACKLOG = 1024
# Callers send a request when they open a connection, or right after a response,
# so that it arrives about one round trip later.
_REQUEST_WAIT_S = 0.5
# Time in which a caller reads the refusal of a request that it still sends.
_LINGER_S = 1.0


class HttpProtocol(web.RequestHandler):
    """Answers requests that aiohttp cannot parse with a refusal.

    Such requests reach no handler of the application. If the head of a
    connection's first request does not arrive in time, the connection gets a
    refusal and is closed; aiohttp itself has no timeout for this.
    """

    __slots__ = (
        "_head_started",
        "_head_timeout_s",
        "_head_timer",
        "_opened_s",
    )

    def __init__(
        self,
        manager: Any,
        *,
        loop: asyncio.AbstractEventLoop,
        head_timeout_s: float,
        **options: Any,
    ) -> None:
        super().__init__(manager, loop=loop, **options)
        self._head_started = False
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._opened_s = 0.0

    @property
    def idle(self) -> bool:
        """Whether the connection is waiting for its next request.

        False as soon as a request has been received, although its handler
        starts only in the next iteration of the event loop, and while a head is
        incomplete. A connection becomes idle only a while after it was opened
        or after its last response, since a request may be on the way.
        """
        if not self._is_waiting or self._head_started:
            return False
        waiting_since_s = max(
            self._opened_s,
            self._next_keepalive_close_time - self._keepalive_timeout,
        )
        now_s = asyncio.get_running_loop().time()
        return now_s - waiting_since_s >= _REQUEST_WAIT_S

    @property
    def head_started(self) -> bool:
        """Whether a part of the next request's head has been received."""
        return self._head_started

    @property
    def reused(self) -> bool:
        """Whether the connection has carried more than one request."""
        return self._request_count > 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timeout for the first request's head."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._opened_s = loop.time()
        self._head_timer = loop.call_later(
            self._head_timeout_s, self._refuse_slow_head
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timeout for the first request's head."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Cancels the timeout once the first head is complete."""
        count = self._request_count
        super().data_received(data)
        self._head_started = self._request_count == count and not (
            self._messages or self._current_request
        )
        if self._head_timer and (self._messages or self._current_request):
            self._cancel_head_timer()

    @property
    def _is_waiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_slow_head(self) -> None:
        self._head_timer = None
        self.refuse_head(
            outcome.Refusal(
                outcome.Reason.SLOW_CLIENT,
                "the request head did not arrive within the time limit",
            )
        )

    def refuse_head(self, refusal: outcome.Refusal) -> None:
        """Refuses the request whose head is incomplete, and closes."""
        if self.transport is None or self._close:
            return
        response = refusals.to_response(refusal, identity.new_id("req"))
        body = response.body if isinstance(response.body, bytes) else b""
        head = [f"HTTP/1.1 {response.status} {response.reason}"]
        head += [f"{name}: {value}" for name, value in response.headers.items()]
        head += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        transport: Any = self.transport
        transport.write("\r\n".join(head).encode() + body)
        # A close resets the connection if the rest of the request arrives, and
        # the caller may then lose the response.
        transport.write_eof()
        self.close()
        asyncio.get_running_loop().call_later(_LINGER_S, transport.close)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the refusal for a request that is not valid HTTP.

        Raises:
            ConnectionError: Part of a response has already been sent.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("part of a response has already been sent")
        request_id = identity.new_id("req")
        _log.warning(
            "request_malformed request={} remote={} error={}",
            request_id,
            request.remote,
            type(exc).__name__,
        )
        response = refusals.to_response(_error_refusal(status, exc), request_id)
        response.force_close()
        return response


class Listener:
    """Serves an aiohttp application on a TCP port.

    Args:
        address: Address to listen on.
        app: The application.
        head_timeout_s: Time limit for the head of a connection's first
            request.
    """

    def __init__(
        self,
        address: settings.Address,
        app: web.Application,
        head_timeout_s: float,
    ) -> None:
        self._address = address
        self._head_timeout_s = head_timeout_s
        self._app = app
        self._port = address.port
        self._listening = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._http_server: web.Server | None = None

    @property
    def port(self) -> int:
        """The TCP port; the assigned one if the address says port 0."""
        return self._port

    async def wait_listening(self) -> None:
        """Waits until the port is open."""
        await self._listening.wait()

    async def close_port(self) -> None:
        """Stops accepting connections; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes connections that have no request in progress."""
        if self._http_server is None:
            return
        for protocol in self._http_server.connections:
            if isinstance(protocol, HttpProtocol) and protocol.idle:
                protocol.force_close()

    async def run(self) -> None:
        """Serves until cancelled."""
        runner = web.AppRunner(
            self._app,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        manager: Any = runner.server
        self._http_server = manager
        options: dict[str, Any] = {
            "access_log": None,
            "max_field_size": _MAX_HEADER_FIELD_BYTES,
            "max_headers": _MAX_HEADERS,
            "head_timeout_s": self._head_timeout_s,
        }
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: HttpProtocol(manager, loop=loop, **options),
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


def _error_refusal(status: int, error: BaseException | None) -> outcome.Refusal:
    if status >= 500:
        return outcome.Refusal(
            outcome.Reason.INTERNAL,
            "internal error",
            outcome.Verdict.MAY_HAVE_RUN,
        )
    # The error's text may quote the request, including the API key.
    name = type(error).__name__ if error else "error"
    return outcome.Refusal(
        outcome.Reason.BAD_REQUEST, f"the request is not valid HTTP: {name}"
    )
