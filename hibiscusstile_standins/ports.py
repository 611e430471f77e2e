"""Ports for processes that are about to start."""

from __future__ import annotations

import socket

__all__ = ["reserve_port"]

_reservations: list[socket.socket] = []


def reserve_port(host: str = "127.0.0.1") -> int:
    """Returns a port that the kernel says is free, and keeps others off it.

    The socket that reserves it stays bound until this process ends. A server
    that sets SO_REUSEADDR, as asyncio's do, can listen there all the same and
    come back there; the kernel gives the port to nobody else.
    """
    reservation = socket.socket()
    reservation.bind((host, 0))
    # Set after binding, so that the port is none that another one reserves.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(reservation)
    return int(reservation.getsockname()[1])
