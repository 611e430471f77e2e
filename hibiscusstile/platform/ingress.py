"""HTTP/1.1 servers of the gateway for callers and readiness checks."""

from __future__ import annotations

import asyncio
import datetime
from typing import Any

import multidict
from aiohttp import web

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome
from hibiscusstile.entry import listener
from hibiscusstile.gateway import exchange, routes, service
from hibiscusstile.platform import callerrequests, headers

__all__ = ["Ingress", "ReadinessServer", "http_status"]

_READY_PATH = "/v1/ready"
_LISTEN_BACKLOG = 1024
_MAX_HEADERS = 128
# A request whose body takes longer is refused: its caller is likely gone.
_BODY_TIMEOUT_S = 10.0

_STATUS_BY_REASON = {
    outcome.Reason.BAD_REQUEST: 400,
    outcome.Reason.UNAUTHORIZED: 401,
    outcome.Reason.NOT_FOUND: 404,
    outcome.Reason.SLOW_CLIENT: 408,
    outcome.Reason.TOO_LARGE: 413,
    outcome.Reason.OVER_ALLOWANCE: 429,
    outcome.Reason.BACKEND_FAILED: 502,
    outcome.Reason.EXPIRED: 504,
    outcome.Reason.INTERNAL: 500,
}
_DEFAULT_STATUS = 503
_UNREAD_REFUSAL = outcome.Refusal(
    outcome.Reason.LEAVING,
    "the instance stops before the request has arrived",
    retry_after=datetime.timedelta(seconds=0.05),
)


def http_status(refusal: outcome.Refusal) -> int:
    """Returns the HTTP status of a refusal.

    Some statuses tell the caller that the request was not and will not be
    executed; they are used only if that is certain.
    """
    status = _STATUS_BY_REASON.get(refusal.reason, _DEFAULT_STATUS)
    if refusal.verdict is outcome.Verdict.NOT_RUN:
        return 503 if status in (502, 504) else status
    return 502 if status in headers.NOT_RUN_STATUSES else status


class Ingress:
    """HTTP server on the callers' port.

    Args:
        address: Address to listen on, as `ip:port`.
        gateway: Serves the requests.
        clock: Clock for the arrival times of requests.
    """

    def __init__(
        self, address: str, gateway: service.Gateway, clock: clock_lib.Clock
    ) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._gateway = gateway
        self._clock = clock
        self._listening = asyncio.Event()
        self._http_server: web.Server | None = None
        self._server: asyncio.Server | None = None
        # Time limits of the bodies that are being read.
        self._reads: set[asyncio.Timeout] = set()
        self._refuses_unread = False

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._port

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._protocols())

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress.

        A request counts from its head on, before its body is complete.
        """
        return sum(not protocol.idle for protocol in self._protocols())

    async def wait_listening(self) -> None:
        """Waits until the port is open."""
        await self._listening.wait()

    async def run(self) -> None:
        """Serves until cancelled."""
        loop = asyncio.get_running_loop()
        manager = web.Server(
            self._handle,  # type: ignore[arg-type]
            request_factory=self._make_request,  # type: ignore[arg-type]
            handler_cancellation=True,
        )
        self._http_server = manager
        self._server = server = await loop.create_server(
            lambda: self._make_protocol(manager, loop),
            self._host,
            self._port,
            backlog=_LISTEN_BACKLOG,
        )
        self._port = server.sockets[0].getsockname()[1]
        self._listening.set()
        await _serve_until_cancelled(server, manager)

    def close_port(self) -> None:
        """Stops accepting connections; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes connections that have no request in progress."""
        for protocol in self._protocols():
            if protocol.idle:
                protocol.force_close()

    def refuse_unread(self) -> None:
        """Refuses the requests that have not arrived completely."""
        self._refuses_unread = True
        for read in self._reads:
            if not read.expired():
                read.reschedule(asyncio.get_running_loop().time())
        for protocol in self._protocols():
            if protocol.head_started:
                protocol.refuse_head(_UNREAD_REFUSAL)

    def _protocols(self) -> list[listener.HttpProtocol]:
        if self._http_server is None:
            return []
        return [
            protocol
            for protocol in self._http_server.connections
            if isinstance(protocol, listener.HttpProtocol)
        ]

    def _limits(self) -> routes.HttpLimits:
        table = self._gateway.state.table
        return table.limits if table else routes.HttpLimits()

    def _make_protocol(
        self, manager: Any, loop: asyncio.AbstractEventLoop
    ) -> listener.HttpProtocol:
        limits = self._limits()
        return listener.HttpProtocol(
            manager,
            loop=loop,
            head_timeout_s=max(limits.header_timeout_s, limits.idle_timeout_s),
            access_log=None,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=_MAX_HEADERS,
            auto_decompress=False,
        )

    def _make_request(
        self,
        message: Any,
        payload: Any,
        protocol: Any,
        writer: Any,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._limits().body_bytes,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = self._clock.monotonic()
        writer = _HttpResponseWriter(request, self._gateway)
        parsed = await self._read(request, received_s)
        if isinstance(parsed, outcome.Refusal):
            request_id = request.headers.get(headers.REQUEST_ID, "")
            await self._gateway.refuse_unparsed(request_id, parsed, writer)
        else:
            await self._gateway.serve(
                parsed, writer, reused=_is_reused(request.protocol)
            )
        return writer.response

    async def _read(
        self, request: web.BaseRequest, received_s: float
    ) -> exchange.ForwardedRequest | outcome.Refusal:
        """Returns the complete request, or a refusal if it cannot be read."""
        try:
            limit_s = 0.0 if self._refuses_unread else _BODY_TIMEOUT_S
            async with asyncio.timeout(limit_s) as read:
                self._reads.add(read)
                try:
                    body = await request.read()
                finally:
                    self._reads.discard(read)
        except web.HTTPRequestEntityTooLarge:
            return outcome.Refusal(
                outcome.Reason.TOO_LARGE,
                "the request body exceeds the configured size limit",
            )
        except TimeoutError:
            if self._refuses_unread:
                return _UNREAD_REFUSAL
            return outcome.Refusal(
                outcome.Reason.SLOW_CLIENT,
                "the request body did not arrive in time",
            )
        return callerrequests.parse_request(request, body, received_s)


def _is_reused(protocol: object) -> bool:
    return isinstance(protocol, listener.HttpProtocol) and protocol.reused


class _HttpResponseWriter(exchange.ResponseWriter):
    """Writes the response to one HTTP request."""

    def __init__(
        self, request: web.BaseRequest, gateway: service.Gateway
    ) -> None:
        self._request = request
        self._gateway = gateway
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse:
        """The response that was started.

        Raises:
            ConnectionResetError: No response was started.
        """
        if self._response is None:
            raise ConnectionResetError(
                "the caller's connection ended before a response"
            )
        return self._response

    @property
    def started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._response is not None

    async def send_response(
        self, head: exchange.ResponseHead, body: bytes
    ) -> None:
        """Sends a complete response."""
        response = web.Response(
            status=head.status,
            body=body,
            headers=multidict.CIMultiDict(head.headers),
        )
        await self._send(response)

    async def start_stream(self, head: exchange.ResponseHead) -> None:
        """Sends the head of a streamed response."""
        response = web.StreamResponse(
            status=head.status, headers=multidict.CIMultiDict(head.headers)
        )
        response.enable_chunked_encoding()
        self._response = response
        self._close_if_draining(response)
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a chunk of a streamed response.

        The time limit of the request bounds the wait for a caller that does
        not read.

        Raises:
            ConnectionResetError: The caller closed the connection.
        """
        if self._request.transport is None:
            raise ConnectionResetError("the caller closed the connection")
        await self.response.write(data)

    async def finish_stream(self) -> None:
        """Ends a streamed response.

        If it began before a stop, it has not announced that its connection
        closes. The caller may be sending its next request, so the connection
        stays open for that.
        """
        await self.response.write_eof()

    async def refuse(self, refusal: outcome.Refusal) -> None:
        """Sends a refusal."""
        response_headers = multidict.CIMultiDict(
            {
                headers.REQUEST_ID: self._request.headers.get(
                    headers.REQUEST_ID, ""
                )
            }
        )
        if refusal.retry_after is not None:
            response_headers["Retry-After"] = (
                f"{refusal.retry_after.total_seconds():g}"
            )
        await self._send(
            web.Response(
                status=http_status(refusal),
                text=refusal.message,
                headers=response_headers,
            )
        )

    def abort(self) -> None:
        """Resets the connection, so that the response is seen as incomplete."""
        if self._request.transport is not None:
            self._request.transport.abort()  # type: ignore[attr-defined]

    async def _send(self, response: web.Response) -> None:
        self._response = response
        self._close_if_draining(response)
        await response.prepare(self._request)
        await response.write_eof()

    def _close_if_draining(self, response: web.StreamResponse) -> None:
        """Makes the response the last on its connection while draining."""
        if self._gateway.draining:
            response.force_close()


class ReadinessServer:
    """HTTP server for the load balancer's readiness check.

    Args:
        address: Address to listen on, as `ip:port`.
        gateway: The gateway whose readiness is reported.
    """

    def __init__(self, address: str, gateway: service.Gateway) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._gateway = gateway

    async def run(self) -> None:
        """Serves until cancelled."""
        manager = web.Server(
            self._handle,  # type: ignore[arg-type]
            access_log=None,
        )
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            manager, self._host, self._port, backlog=_LISTEN_BACKLOG
        )
        await _serve_until_cancelled(server, manager)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != _READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._gateway.ready else 503)


async def _serve_until_cancelled(
    server: asyncio.Server, manager: web.Server
) -> None:
    """Waits until cancelled, then closes the port and all connections.

    aiohttp's own shutdown waits for the handlers one after the other.
    """
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        server.close()
        for protocol in manager.connections:
            protocol.force_close()
