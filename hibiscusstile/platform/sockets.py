"""Sockets that notice a peer which has fallen silent."""

from __future__ import annotations

import socket
from typing import Any

__all__ = ["open_socket"]

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
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    level = socket.IPPROTO_TCP
    opened.setsockopt(level, socket.TCP_NODELAY, 1)
    opened.setsockopt(level, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    opened.setsockopt(level, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    opened.setsockopt(level, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    opened.setsockopt(level, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    return opened
