"""HTTP/1.1 servers of the gateway for callers and readiness checks."""

from __future__ import annotations

import asyncio
import datetime
from typing import Any

from aiohttp import web

from hibiscusstile import clock as clock_lib
from hibiscusstile import memory, outcome, sockets
from hibiscusstile.entry import listener
from hibiscusstile.gateway import exchange, resolving, routes, service
from hibiscusstile.memory import requestbodies
from hibiscusstile.platform import (
    callerrequests,
    callerresponses,
    headers,
    rawheads,
)

__all__ = ["Ingress", "ReadinessServer"]

_READY_PATH = "/v1/ready"
_LISTEN_BACKLOG = 1024
_MAX_HEADERS = 128
# Bytes of a head that arrive together with the next bytes, or are not counted
# by callers, such as line ends.
_HEAD_SLACK_BYTES = 8 * 1024
# A request whose body takes longer is refused: its caller is likely gone.
_BODY_TIMEOUT_S = 10.0

_TOO_LARGE = outcome.Refusal(
    outcome.Reason.TOO_LARGE,
    "the request body exceeds the configured size limit",
)
_UNREAD_REFUSAL = outcome.Refusal(
    outcome.Reason.LEAVING,
    "the instance stops before the request has arrived",
    retry_after=datetime.timedelta(seconds=0.05),
)
_CALLER_LEFT = outcome.Refusal(
    outcome.Reason.CANCELLED,
    "the caller closed its connection before the request was read",
)


class Ingress:
    """HTTP server on the callers' port.

    Args:
        address: Address to listen on, as `ip:port`.
        gateway: Serves the requests.
        clock: Clock for the arrival times of requests.
        budget: Memory for the requests; without limits if None.
    """

    def __init__(
        self,
        address: str,
        gateway: service.Gateway,
        clock: clock_lib.Clock,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._budget = budget or memory.MemoryBudget(
            memory.memory_limits(
                memory.DEFAULT_MEMORY_MB, memory.DEFAULT_DESCRIPTORS
            ),
            clock,
        )
        self._connections = memory.ConnectionLimit(
            self._budget.limits.max_connections
        )
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

    def memory_status(self) -> dict[str, object]:
        """Returns the use of memory and connections for the status page."""
        return {
            **self._budget.status(),
            "connections": self._connections.status(),
        }

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
        sockets.bound_buffers(server)
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
            requestbodies.expire(read)
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
            connections=self._connections,
            head_timeout_s=max(limits.header_timeout_s, limits.idle_timeout_s),
            max_head_bytes=limits.header_bytes + _HEAD_SLACK_BYTES,
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
        del writer
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message,
            payload,
            protocol,
            rawheads.RawHeadWriter(protocol, loop),
            task,
            loop,
            client_max_size=self._limits().body_bytes,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = self._clock.monotonic()
        with self._budget.open(_remote(request.protocol)) as holding:
            writer = callerresponses.HttpResponseWriter(
                request, self._gateway, holding
            )
            parsed = await self._read(request, received_s, holding)
            if sockets.is_closed_by_peer(request.transport):
                parsed = _CALLER_LEFT
            if isinstance(parsed, outcome.Refusal):
                request_id = request.headers.get(headers.REQUEST_ID, "")
                await self._gateway.refuse_unparsed(request_id, parsed, writer)
            else:
                await self._gateway.serve(
                    parsed, writer, reused=_is_reused(request.protocol)
                )
            return writer.response

    async def _read(
        self,
        request: web.BaseRequest,
        received_s: float,
        holding: memory.Holding,
    ) -> exchange.ForwardedRequest | outcome.Refusal:
        """Returns the complete request, or a refusal if it cannot be read."""
        if request.content.is_eof():
            # The body came with the head and is in memory already.
            size_bytes = request.content.total_bytes
            if size_bytes > self._limits().body_bytes:
                return _TOO_LARGE
            body = await request.read() if size_bytes else b""
            if not holding.start_running(size_bytes):
                return self._budget.refusal()
        else:
            head = callerrequests.parse_request(request, b"", received_s)
            if isinstance(head, outcome.Refusal):
                return head
            refusal = self._refusal_of_head(request, head)
            if refusal is not None:
                return refusal
            self._set_owner(holding, head)
            received = await self._read_body(request, holding)
            if isinstance(received, outcome.Refusal):
                return received
            body = received
        parsed = callerrequests.parse_request(request, body, received_s)
        if isinstance(parsed, outcome.Refusal):
            return parsed
        self._set_owner(holding, parsed)
        return parsed

    def _set_owner(
        self, holding: memory.Holding, request: exchange.ForwardedRequest
    ) -> None:
        """Accounts for a request with its key, if that is a valid one."""
        table = self._gateway.state.table
        if table is not None and request.key in table.workspaces_by_key:
            holding.owner = request.key

    def _refusal_of_head(
        self, request: web.BaseRequest, head: exchange.ForwardedRequest
    ) -> outcome.Refusal | None:
        """Returns the refusal of a request whose body need not arrive."""
        if (request.content_length or 0) > self._limits().body_bytes:
            return _TOO_LARGE
        try:
            resolving.resolve(self._gateway.state.table, head)
        except outcome.Refused as refused:
            return refused.refusal
        return None

    async def _read_body(
        self, request: web.BaseRequest, holding: memory.Holding
    ) -> bytes | outcome.Refusal:
        """Returns the body as it arrives, or a refusal."""
        limit_s = 0.0 if self._refuses_unread else _BODY_TIMEOUT_S
        try:
            async with asyncio.timeout(limit_s) as read:
                self._reads.add(read)
                try:
                    return await requestbodies.receive_body(
                        request, holding, self._limits().body_bytes, read
                    )
                finally:
                    self._reads.discard(read)
        except requestbodies.BodyTooLarge:
            return _TOO_LARGE
        except requestbodies.MemoryShort:
            return self._budget.refusal()
        except TimeoutError:
            if self._refuses_unread:
                return _UNREAD_REFUSAL
            if holding.ended:
                return self._budget.refusal()
            return outcome.Refusal(
                outcome.Reason.SLOW_CLIENT,
                "the request body did not arrive in time",
            )


def _remote(protocol: object) -> str:
    return (
        protocol.remote if isinstance(protocol, listener.HttpProtocol) else ""
    )


def _is_reused(protocol: object) -> bool:
    return isinstance(protocol, listener.HttpProtocol) and protocol.reused


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
