"""HTTP/1.1 client for requests to backend servers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import Any

import aiohttp
import yarl

from hibiscusstile import boundedhttp, outcome, sockets
from hibiscusstile.backends import httpsession
from hibiscusstile.gateway import (
    exchange,
    fleet,
    heldbodies,
    serverstatements,
)
from hibiscusstile.platform import (
    eventstream,
    headers,
    responsecheck,
    serverrequests,
)

__all__ = ["HttpServerClient"]

# A server in the same region accepts within a few ms; a longer wait means
# that its listen backlog is full or that it is unreachable.
_CONNECT_TIMEOUT_S = 0.4
# A process that ends closes its connections shortly before its port, which may
# still accept a connection in between and then resets it.
_PORT_CLOSES_WITHIN_S = 0.05
_MAX_PROBES = 3
# Shorter than the servers' own keep-alive time, so that a request is rarely
# sent on a connection that the server is about to close.
_KEEP_ALIVE_S = 3.0
_MAX_MISMATCHED_RESPONSES = 4
# Headers that aiohttp would add; requests carry them only if the caller sent
# them.
_AIOHTTP_DEFAULT_HEADERS = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)
_MAX_HEADER_FIELD_BYTES = 65_536
# With 64 KiB, 60 responses that callers do not read took 8 MB more.
_RECEIVE_BUFFER_BYTES = 16 * 1024
# Bytes of a response that are read ahead of its caller, at most twice as many.
_READ_BUFFER_BYTES = 16 * 1024
_EVENT_STREAM = "text/event-stream"
_FRAMING_HEADERS = ("Content-Length", "Transfer-Encoding")
# Body of a response to another request that is read in order to skip it.
_MAX_SKIPPED_BODY_BYTES = 1024 * 1024
# Events after which the event loop runs other tasks; a read may hold 60,000.
_EVENTS_PER_STEP = 128


class _CheckedResponse(aiohttp.ClientResponse):
    """Response whose request ID is checked against its request.

    A server may send a response late or twice, and the next request on the
    connection then receives it. Such mismatched responses are skipped.
    """

    # True while the current response may belong to another request.
    _awaiting_match = False

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Reads response heads until one belongs to the request.

        Raises:
            RequestLost: None of the first `_MAX_MISMATCHED_RESPONSES` does.
        """
        self._awaiting_match = True
        for _ in range(_MAX_MISMATCHED_RESPONSES):
            # aiohttp caches the headers of the first head that it read.
            self._cache.clear()
            await super().start(connection)
            protocol = connection.protocol
            assert isinstance(protocol, boundedhttp.BoundedResponseHandler)
            if self._is_match(reused=protocol.reused):
                self._awaiting_match = False
                protocol.note_answered()
                if self.content.is_eof():
                    # An empty body has ended while this was suppressed.
                    self._response_eof()
                return self
            # A connection with a mismatched response is not reused.
            protocol.force_close()
            await _skip_body(self.content)
        raise httpsession.RequestLost(
            "received only responses to other requests"
        )

    def _is_match(self, *, reused: bool) -> bool:
        """Returns whether the response belongs to the request.

        Without an ID, it may be the late copy of a response to an earlier
        request on the connection. Only the first response on a new connection
        is then certain to belong to the request.

        Raises:
            RequestLost: The response has no ID, and the connection is reused.
        """
        expected_id = self.request_info.headers.get(headers.REQUEST_ID)
        received_id = self.headers.get(headers.REQUEST_ID)
        if expected_id is None or received_id == expected_id:
            return True
        if received_id is not None:
            return False
        if reused:
            raise httpsession.RequestLost(
                "received a response without an ID on a reused connection"
            )
        return True

    def _response_eof(self) -> None:
        # aiohttp releases the connection at the end of a body; the end of a
        # mismatched response must not do that.
        if not self._awaiting_match:
            super()._response_eof()


async def _skip_body(content: aiohttp.StreamReader) -> None:
    """Reads a body to its end.

    Raises:
        RequestLost: The body exceeds `_MAX_SKIPPED_BODY_BYTES`.
    """
    size = 0
    while not content.at_eof():
        size += len(await content.readany())
        if size > _MAX_SKIPPED_BODY_BYTES:
            raise httpsession.RequestLost(
                "the body of a response to another request exceeds "
                f"{_MAX_SKIPPED_BODY_BYTES} bytes"
            )


class HttpServerClient(exchange.ServerClient):
    """Sends each request once, on persistent connections."""

    def __init__(self) -> None:
        # Sessions by whether each request has a connection of its own.
        self._sessions: dict[bool, aiohttp.ClientSession] = {}

    @contextlib.asynccontextmanager
    async def send(
        self,
        server: fleet.BackendServer,
        request: exchange.ForwardedRequest,
        options: exchange.SendOptions,
    ) -> AsyncIterator[exchange.ServerResponse]:
        """Sends a request once and opens its response."""
        trace = httpsession.RequestTrace()
        response: aiohttp.ClientResponse | None = None
        try:
            response = await self._get_session(options.new_connection).request(
                request.method,
                _url(server, request),
                headers=serverrequests.outgoing_headers(
                    server, request, options
                ),
                data=serverrequests.body(request),
                allow_redirects=False,
                trace_request_ctx=trace,
            )
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
        ) as error:
            # A ValueError is an address or a header that cannot be sent.
            raise _request_failure(trace, error) from None
        try:
            statement = headers.parse_statement(
                response.status, response.headers, server.server_id
            )
            responsecheck.check_response(server, response, statement)
            assert isinstance(response, _CheckedResponse)
            yield _HttpServerResponse(response, statement)
        finally:
            # A response that was read to its end has already released its
            # connection.
            response.close()

    async def refuses_connections(self, server: fleet.BackendServer) -> bool:
        """Returns whether a connection to the server is refused.

        A connection that is accepted and soon closed is made again.
        """
        for _ in range(_MAX_PROBES):
            try:
                if not await _is_closed_at_once(server.address):
                    return False
            except ConnectionRefusedError:
                return True
            except (OSError, TimeoutError, ValueError, OverflowError):
                # Whether an address without a valid port refuses is unknown.
                return False
        return False

    async def close(self) -> None:
        """Closes the HTTP sessions."""
        for session in self._sessions.values():
            await session.close()

    def _get_session(self, new_connection: bool) -> aiohttp.ClientSession:
        if new_connection not in self._sessions:
            keep_alive = (
                {"force_close": True}
                if new_connection
                else {"keepalive_timeout": _KEEP_ALIVE_S}
            )
            self._sessions[new_connection] = httpsession.open_session(
                auto_decompress=False,
                connector=boundedhttp.BoundedConnector(
                    skips_responses=True,
                    receive_bytes=_RECEIVE_BUFFER_BYTES,
                    limit=0,
                    socket_factory=sockets.create_socket,
                    **keep_alive,
                ),
                request_class=serverrequests.ServerRequest,
                response_class=_CheckedResponse,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=_CONNECT_TIMEOUT_S
                ),
                max_field_size=_MAX_HEADER_FIELD_BYTES,
                read_bufsize=_READ_BUFFER_BYTES,
                skip_auto_headers=_AIOHTTP_DEFAULT_HEADERS,
            )
        return self._sessions[new_connection]


class _HttpServerResponse(exchange.ServerResponse):
    """Response that is read from its HTTP connection."""

    def __init__(
        self,
        response: _CheckedResponse,
        statement: serverstatements.ServerStatement,
    ) -> None:
        self._response = response
        received = response.headers
        content_type = received.get("Content-Type", "")
        self._head = exchange.ResponseHead(
            status=response.status,
            headers=headers.forwarded_response_headers(
                received.items(), received.get("Connection", "")
            ),
            event_stream=response.status == 200
            and content_type.startswith(_EVENT_STREAM),
            framed=any(name in received for name in _FRAMING_HEADERS),
            weights_version=responsecheck.parse_weights_version(response),
            statement=statement,
        )

    @property
    def head(self) -> exchange.ResponseHead:
        """Status and headers."""
        return self._head

    async def read_held(
        self, allowance: heldbodies.Allowance
    ) -> exchange.HeldBody:
        """Reads the body until it ends or grows beyond what is allowed."""
        data = bytearray()
        with _translated_failures():
            async for chunk in self._response.content.iter_any():
                data += chunk
                if not allowance.grow(len(data)):
                    return exchange.HeldBody(bytes(data), complete=False)
        return exchange.HeldBody(bytes(data), complete=True)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the rest of the body as it arrives."""
        with _translated_failures():
            async for chunk in self._response.content.iter_any():
                yield chunk

    async def events(self) -> AsyncIterator[exchange.StreamEvent]:
        """Yields complete events as they arrive."""
        parser = eventstream.EventStreamParser()
        count = 0
        with _translated_failures():
            async for data in self._response.content.iter_any():
                for event in parser.feed(data):
                    yield event
                    count += 1
                    if count % _EVENTS_PER_STEP == 0:
                        await asyncio.sleep(0)
        remainder = parser.flush()
        if remainder is None:
            return
        if remainder.data.strip(b"\r\n"):
            raise exchange.AttemptFailed(
                exchange.FailureCause.LOST,
                outcome.Verdict.MAY_HAVE_RUN,
                "the stream ended inside an event",
            )
        yield remainder


def _url(
    server: fleet.BackendServer, request: exchange.ForwardedRequest
) -> yarl.URL:
    """Returns a URL whose path is the whole target, with its query.

    A parsed URL loses an empty query.

    Raises:
        ValueError: The server's address is malformed.
    """
    return yarl.URL.build(
        scheme="http",
        authority=server.address,
        path=request.target,
        encoded=True,
    )


@contextlib.contextmanager
def _translated_failures() -> Iterator[None]:
    """Raises failures of reading a body as `AttemptFailed`."""
    try:
        yield
    except (
        boundedhttp.InvalidResponse,
        eventstream.EventFormatError,
        eventstream.EventSizeError,
    ) as error:
        raise exchange.AttemptFailed(
            exchange.FailureCause.INVALID,
            outcome.Verdict.MAY_HAVE_RUN,
            repr(error),
        ) from None
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise exchange.AttemptFailed(
            exchange.FailureCause.LOST,
            outcome.Verdict.MAY_HAVE_RUN,
            repr(error),
        ) from None


def _request_failure(
    trace: httpsession.RequestTrace, error: Any
) -> exchange.AttemptFailed:
    if not trace.connected:
        return exchange.AttemptFailed(
            exchange.FailureCause.NOT_REACHED,
            outcome.Verdict.NOT_RUN,
            repr(error),
        )
    return exchange.AttemptFailed(
        exchange.FailureCause.INVALID
        if isinstance(error, boundedhttp.InvalidResponse)
        else exchange.FailureCause.LOST,
        outcome.Verdict.MAY_HAVE_RUN,
        repr(error),
    )


async def _is_closed_at_once(address: str) -> bool:
    """Connects, and returns whether the peer closes the connection soon.

    Raises:
        OSError: The connection was refused, failed or took too long.
        ValueError, OverflowError: The address has no valid port.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(_CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(_PORT_CLOSES_WITHIN_S):
            return not await reader.read(1)
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    finally:
        writer.close()
