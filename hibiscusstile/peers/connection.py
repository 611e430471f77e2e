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

_Socket: TypeAlias = ws_client.ClientConnection | ws_server.ServerConnection


class ConnectionLost(Exception):  # noqa: N818 - an outcome of the network
    """The connection has ended."""


class PeerConnection:
    """Sends and receives messages on one websocket.

    Args:
        socket: The open websocket.
        revision: Returns the configuration revision in force here, which
            every message carries.
    """

    def __init__(self, socket: _Socket, revision: Callable[[], int]) -> None:
        self._socket = socket
        self._revision = revision

    @property
    def remote_address(self) -> str:
        """The other side's address, for logs."""
        address = self._socket.remote_address
        return f"{address[0]}:{address[1]}" if address else "unknown"

    async def send(self, message: messages.PeerMessage) -> None:
        """Sends a message, waiting while the socket's buffer is full.

        Raises:
            ConnectionLost: The connection has ended.
            FrameError: The message is too long.
        """
        frame = codec.encode(message, self._revision())
        metrics.count_control_bytes(message.name, len(frame))
        try:
            await self._socket.send(frame)
        except websockets.ConnectionClosed as error:
            raise ConnectionLost(str(error)) from None

    async def receive(self) -> codec.Envelope:
        """Returns the next message.

        Raises:
            ConnectionLost: The connection has ended.
            FrameError: The frame is no valid message.
        """
        try:
            frame = await self._socket.recv()
        except websockets.ConnectionClosed as error:
            raise ConnectionLost(str(error)) from None
        if isinstance(frame, str):
            raise codec.FrameError("text frame")
        return codec.decode(frame)

    def enable_keepalive(self) -> None:
        """Has a connection end whose other side has fallen silent."""
        opened = self._socket.transport.get_extra_info("socket")
        if opened is not None:
            sockets.set_probes(opened)

    def abort(self) -> None:
        """Drops the connection without a closing handshake."""
        self._socket.transport.abort()

    async def close(self, reason: str = "") -> None:
        """Closes the connection; `reason` is for the other side's log."""
        await self._socket.close(reason=reason[:100])
