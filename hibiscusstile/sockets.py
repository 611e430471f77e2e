"""TCP sockets that the kernel closes when the peer stops responding."""

from __future__ import annotations

import asyncio
import datetime
import select
import socket
from typing import Any

import aiohttp

from hibiscusstile import boundedhttp

__all__ = [
    "bound_buffers",
    "create_socket",
    "expect_body",
    "is_closed_by_peer",
    "open_session",
    "set_send_buffer",
    "set_tcp_options",
    "set_unread_limit",
]

# The kernel closes a dead connection within about 3 s, the time in which the
# platform expects a fault to be handled: an idle one after 1 s and two probes
# 1 s apart, one with unacknowledged data after 2.5 s.
_USER_TIMEOUT_MS = 2500
_MAX_USER_TIMEOUT_MS = 2**31 - 1
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


# Kernel buffers of a caller's connection, which the kernel doubles. Without a
# bound, it holds up to 6 MB of what a process has not read, and 4 MB of what a
# caller has not read.
_CALLER_RECEIVE_BYTES = 16 * 1024
_CALLER_SEND_BYTES = 64 * 1024
# Receive buffer of a connection while a large body arrives.
_BODY_RECEIVE_BYTES = 256 * 1024
# Linux only.
_CLOSED_BY_PEER = getattr(select, "POLLRDHUP", 0)


def bound_buffers(server: asyncio.Server) -> None:
    """Bounds the kernel buffers of the connections that a server accepts."""
    for sock in server.sockets:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _CALLER_RECEIVE_BYTES
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _CALLER_SEND_BYTES)


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Returns whether the peer has closed a connection.

    Tells so before the event loop does, which may be busy for seconds with what
    has arrived at other connections. False on systems that cannot tell.
    """
    sock = transport.get_extra_info("socket") if transport else None
    if sock is None or not _CLOSED_BY_PEER or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), _CLOSED_BY_PEER)
    return bool(poll.poll(0))


def expect_body(transport: asyncio.BaseTransport | None) -> None:
    """Makes room in the kernel for a large body, which then arrives faster."""
    sock = transport.get_extra_info("socket") if transport else None
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BODY_RECEIVE_BYTES
        )


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


def set_send_buffer(sock: socket.socket, size_bytes: int) -> None:
    """Bounds the data that the kernel holds until the peer reads it.

    Args:
        sock: Socket of the connection.
        size_bytes: The bound. Linux doubles it for its own records.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)


def set_unread_limit(
    sock: socket.socket, limit: datetime.timedelta | None
) -> None:
    """Sets how long a live peer may leave data unread.

    The kernel closes a connection after `TCP_USER_TIMEOUT` also if the peer
    responds, but has no room for more data as its program does not read.

    Args:
        sock: Socket of the connection.
        limit: The limit, which also delays the detection of a dead peer; the
            limit of `set_tcp_options` if None.
    """
    timeout_ms = _USER_TIMEOUT_MS
    if limit is not None:
        limit_ms = round(limit / datetime.timedelta(milliseconds=1))
        timeout_ms = max(timeout_ms, min(limit_ms, _MAX_USER_TIMEOUT_MS))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


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
