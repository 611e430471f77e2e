"""TCP sockets that the kernel closes when the peer stops responding."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp

from hibiscusstile import boundedhttp

__all__ = ["create_socket", "open_session", "set_tcp_options"]

# The kernel closes a dead connection within about 3 s, the time in which the
# platform expects a fault to be handled: an idle one after 1 s and two probes
# 1 s apart, one with unacknowledged data after 2.5 s.
_USER_TIMEOUT_MS = 2500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def create_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Returns a socket with `set_tcp_options` applied, for aiohttp.

    Args:
        address_info: Entry of the result of `getaddrinfo`.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    set_tcp_options(sock)
    return sock


def set_tcp_options(sock: socket.socket) -> None:
    """Enables the detection of dead connections, and `TCP_NODELAY`."""
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
    """Returns an HTTP session on sockets that detect dead connections.

    Args:
        timeout: Default timeout of a call.
        max_connections: Limit of simultaneous connections; 0 for none.
        reuse_connections: Whether to keep connections open between calls.
            The peer of an idle connection may be gone; a call on it may
            then fail only after `_USER_TIMEOUT_MS`.
    """
    return aiohttp.ClientSession(
        connector=boundedhttp.BoundedConnector(
            limit=max_connections,
            force_close=not reuse_connections,
            socket_factory=create_socket,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=timeout,
    )
