"""HTTP sessions that tell whether a request may have reached its server."""

from __future__ import annotations

import types

import aiohttp

__all__ = ["Attempt", "open_session"]


class Attempt:
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


def open_session(*, auto_decompress: bool = True) -> aiohttp.ClientSession:
    """Returns a session that sends each request once.

    aiohttp repeats idempotent methods, PUT and DELETE among them, when a
    kept-alive connection turns out closed. A fresh connection for each
    request rules that out. Cookies are not kept, since requests of different
    workspaces share the session. Pass an `Attempt` as `trace_request_ctx`.

    Args:
        auto_decompress: Whether bodies are decompressed.
    """
    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(_note_connected)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=auto_decompress,
        trace_configs=[tracing],
    )


async def _note_connected(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    parameters: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    del session, parameters
    attempt = context.trace_request_ctx
    if isinstance(attempt, Attempt):
        attempt.note_connected()
