"""Reservation of free TCP ports for processes that start later."""

from __future__ import annotations

import socket

__all__ = ["reserve_port"]

_reservations: list[socket.socket] = []


def reserve_port(host: str = "127.0.0.1") -> int:
    """Reserves a free port and returns its number.

    A bound socket holds the port until this process ends, so that the kernel
    doesn't assign it to another socket. A server that sets SO_REUSEADDR, as
    asyncio's servers do, can still listen on it, also after a restart.
    """
    reservation = socket.socket()
    reservation.bind((host, 0))
    # SO_REUSEADDR is set after binding: with it, bind(0) could return a port
    # that another reservation holds.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(reservation)
    return int(reservation.getsockname()[1])
