"""HTTP requests to backend servers."""

from __future__ import annotations

import datetime

import aiohttp
import multidict

from hibiscusstile import decimals, sockets
from hibiscusstile.gateway import exchange, fleet
from hibiscusstile.platform import headers

__all__ = ["ServerRequest", "outgoing_headers"]

# Linux receives this much by default before a program reads.
_MAX_BUFFERED_BYTES = 64 * 1024


class ServerRequest(aiohttp.ClientRequest):
    """Request whose time limit bounds how long its body stays unread.

    A body that the server's kernel can buffer keeps the shorter limit, by
    which a dead server is detected.
    """

    async def send(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Sets the connection's limit and sends the request."""
        transport = connection.transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is not None:
            sockets.set_unread_limit(sock, self._unread_limit())
        return await super().send(connection)

    def _unread_limit(self) -> datetime.timedelta | None:
        size = decimals.parse(self.headers.get("Content-Length", ""))
        time_left_ms = decimals.parse(self.headers.get(headers.TIME_LEFT, ""))
        if time_left_ms is None or (size or 0) <= _MAX_BUFFERED_BYTES:
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
