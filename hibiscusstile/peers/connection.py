"""Typed messages over one WebSocket of the peer protocol."""

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


class ConnectionLost(Exception):  # noqa: N818 - an expected condition
    """The connection has ended."""


class PeerConnection:
    """Sends and receives messages on one WebSocket.

    Args:
        websocket: The open WebSocket.
        get_revision: Returns the local configuration revision, which is sent
            with every message.
    """

    def __init__(
        self, websocket: _WebSocket, get_revision: Callable[[], int]
    ) -> None:
        self._websocket = websocket
        self._get_revision = get_revision

    @property
    def remote_address(self) -> str:
        """The peer's address, for logs."""
        address = self._websocket.remote_address
        return f"{address[0]}:{address[1]}" if address else "unknown"

    async def send(self, message: messages.PeerMessage) -> None:
        """Sends a message, blocking while the send buffer is full.

        Raises:
            ConnectionLost: The connection has ended.
            FrameError: The message exceeds the frame limit.
        """
        await self.send_frame(codec.encode_frame(message, self._get_revision()))

    async def send_frame(self, frame: codec.Frame) -> None:
        """Sends an encoded message, blocking while the send buffer is full.

        Raises:
            ConnectionLost: The connection has ended.
        """
        metrics.count_control_bytes(frame.name, len(frame.data))
        try:
            await self._websocket.send(frame.data)
        except websockets.ConnectionClosed as error:
            raise ConnectionLost(str(error)) from None

    async def receive(self) -> codec.Envelope:
        """Returns the next message.

        Raises:
            ConnectionLost: The connection has ended.
            FrameError: The frame is not a valid message.
        """
        try:
            frame = await self._websocket.recv()
        except websockets.ConnectionClosed as error:
            raise ConnectionLost(str(error)) from None
        if isinstance(frame, str):
            raise codec.FrameError("text frame instead of a binary frame")
        return codec.decode(frame)

    def enable_keepalive(self) -> None:
        """Sets TCP options that close the connection to a silent peer."""
        tcp_socket = self._websocket.transport.get_extra_info("socket")
        if tcp_socket is not None:
            sockets.set_tcp_options(tcp_socket)

    def abort(self) -> None:
        """Drops the connection without a closing handshake."""
        self._websocket.transport.abort()

    async def close(self, reason: str = "") -> None:
        """Closes the connection; the peer can log the reason."""
        await self._websocket.close(reason=reason[:100])
