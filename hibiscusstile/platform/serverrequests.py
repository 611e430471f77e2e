"""HTTP requests to backend servers."""

from __future__ import annotations

import datetime

import aiohttp
import multidict
from aiohttp import abc as aiohttp_abc

from hibiscusstile import decimals, sockets
from hibiscusstile.gateway import exchange, fleet
from hibiscusstile.platform import headers, rawheads

__all__ = ["ServerRequest", "body", "outgoing_headers"]

# Linux receives this much by default before a program reads.
_MAX_BUFFERED_BYTES = 64 * 1024
# What is written before waiting for the server to read. A transport copies
# what it cannot send at once, so a whole body would be held twice.
_SLICE_BYTES = 64 * 1024
# The kernel's send buffer of a long body; it would grow to several MB.
_SEND_BUFFER_BYTES = 128 * 1024


class _SlicedBody(aiohttp.BytesPayload):
    """Body of a request, which is written as fast as the server reads."""

    async def write_with_length(
        self,
        writer: aiohttp_abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Writes the body, or its first `content_length` bytes, in slices."""
        body = memoryview(self._value)[:content_length]
        for start in range(0, len(body), _SLICE_BYTES):
            await writer.write(body[start : start + _SLICE_BYTES])


class ServerRequest(aiohttp.ClientRequest):
    """Request that bounds how much of its body stays unread, and how long.

    A body that the server's kernel can buffer keeps the shorter time limit,
    by which a dead server is detected.
    """

    async def send(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Sets the connection's limits and sends the request."""
        transport = connection.transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is not None:
            sockets.set_unread_limit(sock, self._unread_limit())
            if self._is_long:
                sockets.set_send_buffer(sock, _SEND_BUFFER_BYTES)
        if connection.protocol is not None and not rawheads.is_utf8(
            self.headers
        ):
            rawheads.RawHeadTransport(connection.protocol, self._encode_head)
        return await super().send(connection)

    def _encode_head(self) -> bytes:
        return rawheads.encode_head(
            f"{self.method} {self.url.raw_path_qs} HTTP/1.1", self.headers
        )

    @property
    def _is_long(self) -> bool:
        size = decimals.parse(self.headers.get("Content-Length", ""))
        return (size or 0) > _MAX_BUFFERED_BYTES

    def _unread_limit(self) -> datetime.timedelta | None:
        time_left_ms = decimals.parse(self.headers.get(headers.TIME_LEFT, ""))
        if time_left_ms is None or not self._is_long:
            return None
        return datetime.timedelta(milliseconds=time_left_ms)


def outgoing_headers(
    server: fleet.BackendServer,
    request: exchange.ForwardedRequest,
    options: exchange.SendOptions,
) -> multidict.CIMultiDict[str]:
    """Returns the headers of one attempt at a server."""
    outgoing = multidict.CIMultiDict(request.headers)
    outgoing[headers.EXPECTED_SERVER] = server.server_id
    outgoing[headers.TIME_LEFT] = str(max(1, int(options.time_left_s * 1000)))
    if options.workspace:
        outgoing[headers.WORKSPACE] = options.workspace
    if options.cache_salt:
        outgoing[headers.CACHE_SALT] = options.cache_salt
        outgoing[headers.RANK] = headers.format_rank(options.rank)
    if options.weights_version is not None:
        outgoing[headers.EXPECTED_VERSION] = str(options.weights_version)
    if options.fetch_from:
        outgoing[headers.FETCH_FROM] = options.fetch_from
    if options.save_to:
        outgoing[headers.SAVE_TO] = options.save_to
    if options.last_event_id:
        outgoing[headers.LAST_EVENT_ID] = options.last_event_id
    return outgoing


def body(request: exchange.ForwardedRequest) -> aiohttp.BytesPayload | None:
    """Returns the body to send, or None if it is empty."""
    return _SlicedBody(request.body) if request.body else None
