"""Sockets that notice a peer which has fallen silent."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp

__all__ = ["open_session", "open_socket", "set_probes"]

# A cut or silent connection shows within about three seconds, the span in
# which the platform takes a fault to settle.
_USER_TIMEOUT_MS = 2500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def open_socket(address: tuple[Any, ...]) -> socket.socket:
    """Returns a socket for a connection to `address`, as aiohttp asks."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family=family, type=kind, proto=protocol)
    set_probes(opened)
    return opened


def set_probes(opened: socket.socket) -> None:
    """Has the kernel end a connection whose peer does not answer."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    level = socket.IPPROTO_TCP
    opened.setsockopt(level, socket.TCP_NODELAY, 1)
    opened.setsockopt(level, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    opened.setsockopt(level, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    opened.setsockopt(level, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    opened.setsockopt(level, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def open_session(
    timeout: aiohttp.ClientTimeout,
    *,
    connections: int = 0,
    keep: bool = False,
) -> aiohttp.ClientSession:
    """Returns a session whose connections notice a silent peer.

    Args:
        timeout: Of each call, unless it sets one.
        connections: Most connections at a time; 0 for no bound.
        keep: Whether connections are used again. A kept one may have fallen
            silent in a cut, and then holds the first call after it until its
            probes fail.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=connections,
            force_close=not keep,
            socket_factory=open_socket,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=timeout,
    )
