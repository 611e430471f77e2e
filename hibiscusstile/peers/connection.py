"""One websocket between own processes, with typed messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from hibiscusstile import metrics, sockets
from hibiscusstile.peers import codec, messages

__all__ = ["ConnectionLost", "PeerConnection"]

_WebSocket: TypeAlias = ws_client.ClientConnection | ws_server.ServerConnection


class ConnectionLost(Exception):  # noqa: N818 - an outcome of the network
    """The connection has ended."""


class PeerConnection:
    """Sends and receives messages on one websocket.

    Args:
        socket: The open websocket.
        revision: Returns the configuration revision in force here, which
            every message carries.
    """

    def __init__(
        self, websocket: _WebSocket, get_revision: Callable[[], int]
    ) -> None:
        self._websocket = websocket
        self._get_revision = get_revision

    @property
    def remote_address(self) -> str:
        """The other side's address, for logs."""
        address = self._websocket.remote_address
        return f"{address[0]}:{address[1]}" if address else "unknown"

    async def send(self, message: messages.PeerMessage) -> None:
        """Sends a message, waiting while the socket's buffer is full.

        Raises:
            ConnectionLost: The connection has ended.
            FrameError: The message is too long.
        """
        frame = codec.encode(message, self._get_revision())
        metrics.count_control_bytes(message.name, len(frame))
        try:
            await self._websocket.send(frame)
        except websockets.ConnectionClosed as error:
            raise ConnectionLost(str(error)) from None

    async def receive(self) -> codec.Envelope:
        """Returns the next message.

        Raises:
            ConnectionLost: The connection has ended.
            FrameError: The frame is no valid message.
        """
        try:
            frame = await self._websocket.recv()
        except websockets.ConnectionClosed as error:
            raise ConnectionLost(str(error)) from None
        if isinstance(frame, str):
            raise codec.FrameError("text frame")
        return codec.decode(frame)

    def enable_keepalive(self) -> None:
        """Has a connection end whose other side has fallen silent."""
        tcp_socket = self._websocket.transport.get_extra_info("socket")
        if tcp_socket is not None:
            sockets.set_probes(tcp_socket)

    def abort(self) -> None:
        """Drops the connection without a closing handshake."""
        self._websocket.transport.abort()

    async def close(self, reason: str = "") -> None:
        """Closes the connection; `reason` is for the other side's log."""
        await self._websocket.close(reason=reason[:100])
