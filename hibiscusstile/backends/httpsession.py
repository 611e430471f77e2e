"""HTTP sessions that tell whether a request may have reached its server."""

from __future__ import annotations

import types
from typing import Any

import aiohttp

__all__ = ["RequestLost", "RequestTrace", "open_read_session", "open_session"]


_MAX_READ_CONNECTIONS = 8


class RequestLost(aiohttp.ClientError):
    """The connection ended after the request had been sent on it."""


class RequestTrace:
    """One HTTP request; `connected` once it had a connection to send on.

    Without a connection no byte of the request can have reached the server,
    whatever the error was.
    """

    def __init__(self) -> None:
        self._connected = False

    @property
    def connected(self) -> bool:
        """Whether bytes may have been sent."""
        return self._connected

    def note_connected(self) -> None:
        """Notes that there is a connection to send on."""
        self._connected = True


def open_session(
    *,
    auto_decompress: bool = True,
    connector: aiohttp.BaseConnector | None = None,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
    **options: Any,
) -> aiohttp.ClientSession:
    """Returns a session that sends each request once.

    Unless a connector is passed, each request has a connection of its own,
    so that none goes out on one that the server has just closed. Cookies are
    not kept, since requests of different workspaces share the session. Pass
    an `RequestTrace` as `trace_request_ctx`.

    Args:
        auto_decompress: Whether bodies are decompressed.
        connector: Makes and keeps connections.
        response_class: Class of the answers.
        **options: Further options of `aiohttp.ClientSession`.
    """
    trace_config = aiohttp.TraceConfig()
    trace_config.on_connection_create_end.append(_note_connected)
    trace_config.on_connection_reuseconn.append(_note_connected)
    if connector is None:
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
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
    """Returns a session for reads that may be repeated.

    It keeps connections: a sidecar reads its engine's state several times a
    second, and most of the cost of a read is its connection.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=_MAX_READ_CONNECTIONS),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp repeats PUT, DELETE and other idempotent methods after these
    # two errors, on fresh connections too, and after no other error.
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
