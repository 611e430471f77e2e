"""HTTP sessions that track whether a request may have reached its server."""

from __future__ import annotations

import types
from typing import Any

import aiohttp

from hibiscusstile import boundedhttp

__all__ = ["RequestLost", "RequestTrace", "open_read_session", "open_session"]


_MAX_READ_CONNECTIONS = 8


class RequestLost(aiohttp.ClientError):
    """The connection was lost after the request had been sent."""


class RequestTrace:
    """Records whether an HTTP request got a connection to be sent on.

    A request without a connection cannot have reached the server, whatever
    the error was.
    """

    def __init__(self) -> None:
        self._connected = False

    @property
    def connected(self) -> bool:
        """Whether bytes of the request may have been sent."""
        return self._connected

    def note_connected(self) -> None:
        """Records that the request got a connection."""
        self._connected = True


def open_session(
    *,
    auto_decompress: bool = True,
    connector: aiohttp.BaseConnector | None = None,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
    **options: Any,
) -> aiohttp.ClientSession:
    """Returns a session that sends each request at most once.

    Unless a connector is passed, each request opens a connection of its own,
    so that none is sent on one that the server has just closed. Cookies are
    not stored, since requests of different workspaces share the session. Pass
    a `RequestTrace` as `trace_request_ctx` to trace a request.

    Args:
        auto_decompress: Whether response bodies are decompressed.
        connector: Opens and pools connections.
        response_class: Class of the responses.
        **options: Further options of `aiohttp.ClientSession`.
    """
    trace_config = aiohttp.TraceConfig()
    trace_config.on_connection_create_end.append(_note_connected)
    trace_config.on_connection_reuseconn.append(_note_connected)
    if connector is None:
        connector = boundedhttp.BoundedConnector(force_close=True, limit=0)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=auto_decompress,
        trace_configs=[trace_config],
        middlewares=(_send_once,),
        response_class=response_class,
        **options,
    )


def open_read_session() -> aiohttp.ClientSession:
    """Returns a session with keep-alive, for reads that may be retried.

    A sidecar polls its engine several times a second, and opening a
    connection would be most of the cost of a read.
    """
    return aiohttp.ClientSession(
        connector=boundedhttp.BoundedConnector(limit=_MAX_READ_CONNECTIONS),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries PUT, DELETE and other idempotent methods after these
    # two errors only, even on new connections.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise RequestLost(repr(error)) from error


async def _note_connected(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    parameters: (
        aiohttp.TraceConnectionCreateEndParams
        | aiohttp.TraceConnectionReuseconnParams
    ),
) -> None:
    del session, parameters
    trace = context.trace_request_ctx
    if isinstance(trace, RequestTrace):
        trace.note_connected()
