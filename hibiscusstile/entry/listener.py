"""HTTP listener that answers malformed and slow requests with refusals."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import logbook
from aiohttp import web

from hibiscusstile import identity, memory, outcome, settings, sockets
from hibiscusstile.entry import refusals

__all__ = ["HttpProtocol", "Listener"]

_log = logbook.Logger("listener")

_MAX_HEADERS = 64
_MAX_HEADER_FIELD_BYTES = 8190
_MAX_HEAD_BYTES = 64 * 1024
_SHUTDOWN_TIMEOUT_S = 1.0
_BACKLOG = 1024
# Callers send a request when they open a connection, or right after a response,
# so that it arrives about one round trip later.
_REQUEST_WAIT_S = 0.5
# Time in which a caller reads the refusal of a request that it still sends.
_LINGER_S = 1.0
# Requests that a connection may have sent ahead of their turn. aiohttp's own
# limit of 32 lets each connection hold half a megabyte of heads.
_MAX_WAITING_REQUESTS = 2
# Bytes of a body that wait until its request's turn comes.
_READ_BUFFER_BYTES = 16 * 1024
_WRITE_BUFFER_BYTES = 16 * 1024


class HttpProtocol(web.RequestHandler):
    """Answers requests that aiohttp cannot parse with a refusal.

    Such requests reach no handler of the application. If the head of a
    connection's first request does not arrive in time, the connection gets a
    refusal and is closed; aiohttp itself has no timeout for this. It limits
    each field of a head, but not their sum.

    Args:
        manager: The aiohttp server.
        loop: Event loop of the connection.
        connections: All connections, whose number is bounded.
        head_timeout_s: Time limit for the first request's head.
        max_head_bytes: Limit of the size of a head.
        **options: Options of `web.RequestHandler`.
    """

    __slots__ = (
        "_connections",
        "_content",
        "_head_bytes",
        "_head_started_s",
        "_head_timeout_s",
        "_head_timer",
        "_max_head_bytes",
        "_opened_s",
        "_remote",
    )

    def __init__(
        self,
        manager: Any,
        *,
        loop: asyncio.AbstractEventLoop,
        connections: memory.ConnectionLimit,
        head_timeout_s: float,
        max_head_bytes: int,
        **options: Any,
    ) -> None:
        super().__init__(
            manager, loop=loop, read_bufsize=_READ_BUFFER_BYTES, **options
        )
        self._max_msg_queue_size = _MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = _MAX_WAITING_REQUESTS // 2
        self._connections = connections
        # Body of the newest request, which may still be arriving.
        self._content: aiohttp.StreamReader = aiohttp.EMPTY_PAYLOAD
        self._head_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._remote = ""
        # Since when a part of the next request's head has been there.
        self._head_started_s: float | None = None
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
        if not self._is_waiting or self.head_started:
            return False
        now_s = asyncio.get_running_loop().time()
        return now_s - self._waiting_since_s >= _REQUEST_WAIT_S

    @property
    def remote(self) -> str:
        """Address of the caller."""
        return self._remote

    @property
    def waiting_s(self) -> float | None:
        """Time without a complete request; None with one, or if it is short.

        An incomplete head counts as no request; the time starts when it began.
        """
        if not self._is_waiting:
            return None
        waiting_s = asyncio.get_running_loop().time() - self._waiting_since_s
        return waiting_s if waiting_s >= _REQUEST_WAIT_S else None

    @property
    def head_started(self) -> bool:
        """Whether a part of the next request's head has been received."""
        return self._head_started_s is not None

    @property
    def reused(self) -> bool:
        """Whether the connection has carried more than one request."""
        return self._request_count > 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timeout for the first request's head."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._opened_s = loop.time()
        peer = transport.get_extra_info("peername")
        self._remote = peer[0] if peer else ""
        if not self._connections.add(self):
            return
        if isinstance(transport, asyncio.WriteTransport):
            transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._head_timer = loop.call_later(
            self._head_timeout_s, self._refuse_slow_head
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timeout for the first request's head."""
        self._cancel_head_timer()
        self._connections.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Cancels the timeout once the first head is complete."""
        count = self._request_count
        receives_body = not self._content.is_eof()
        super().data_received(data)
        if self._messages and self._request_count > count:
            self._content = self._messages[-1][1]
            self._head_bytes = 0
        elif not receives_body:
            self._limit_head(len(data))
        if self._request_count > count or (
            self._messages or self._current_request
        ):
            self._head_started_s = None
        elif self._head_started_s is None:
            self._head_started_s = asyncio.get_running_loop().time()
        if self._head_timer and (self._messages or self._current_request):
            self._cancel_head_timer()

    @property
    def _waiting_since_s(self) -> float:
        return max(
            self._opened_s,
            self._next_keepalive_close_time - self._keepalive_timeout,
            self._head_started_s or 0.0,
        )

    @property
    def _is_waiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _limit_head(self, received_bytes: int) -> None:
        """Refuses a head that is incomplete and exceeds the limit."""
        self._head_bytes += received_bytes
        if self._head_bytes <= self._max_head_bytes:
            return
        if self._current_request is not None or self._messages:
            self.force_close()
            return
        self.refuse_head(
            outcome.Refusal(
                outcome.Reason.BAD_REQUEST,
                "the request head exceeds the configured size limit",
            )
        )

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
        connections: All connections, whose number is bounded.
    """

    def __init__(
        self,
        address: settings.Address,
        app: web.Application,
        head_timeout_s: float,
        connections: memory.ConnectionLimit,
    ) -> None:
        self._connections = connections
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
            "max_head_bytes": _MAX_HEAD_BYTES,
            "connections": self._connections,
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
            sockets.bound_buffers(self._server)
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
