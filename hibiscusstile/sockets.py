"""Sockets that notice a peer which has fallen silent."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp

__all__ = ["create_socket", "open_session", "set_tcp_options"]

# A cut or silent connection shows within about three seconds, the span in
# which the platform takes a fault to settle.
_USER_TIMEOUT_MS = 2500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def create_socket(address: tuple[Any, ...]) -> socket.socket:
    """Returns a socket for a connection to `address`, as aiohttp asks."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    set_tcp_options(sock)
    return sock


def set_tcp_options(sock: socket.socket) -> None:
    """Has the kernel end a connection whose peer does not answer."""
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
    """Returns a session whose connections notice a silent peer.

    Args:
        timeout: Of each call, unless it sets one.
        max_connections: Most connections at a time; 0 for no bound.
        reuse_connections: Whether to keep connections open between calls.
            An idle connection may have gone silent; the next call then
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
