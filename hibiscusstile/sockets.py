"""TCP sockets that detect unresponsive peers."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp

__all__ = ["create_socket", "open_session", "set_tcp_options"]

# The kernel detects a lost connection within about three seconds, the time
# within which the platform expects a fault to be handled.
_USER_TIMEOUT_MS = 2500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def create_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Returns a socket for `address_info`; used as aiohttp's socket factory."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    set_tcp_options(sock)
    return sock


def set_tcp_options(sock: socket.socket) -> None:
    """Makes the kernel close the connection if the peer stops responding."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    level = socket.IPPROTO_TCP
    sock.setsockopt(level, socket.TCP_NODELAY, 1)
    sock.setsockopt(level, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(level, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(level, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(level, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def open_session(
    timeout: aiohttp.ClientTimeout,
    *,
    max_connections: int = 0,
    reuse_connections: bool = False,
) -> aiohttp.ClientSession:
    """Returns an HTTP session that detects unresponsive peers.

    Args:
        timeout: Timeout of each call that sets none of its own.
        max_connections: Limit of simultaneous connections; 0 for none.
        reuse_connections: Whether to keep connections open between calls.
            An idle connection may have been lost; the next call then
            waits until the kernel's probes fail.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=max_connections,
            force_close=not reuse_connections,
            socket_factory=create_socket,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=timeout,
    )
