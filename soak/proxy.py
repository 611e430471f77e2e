"""TCP proxy that delays, blocks, resets or refuses connections."""

from __future__ import annotations

import asyncio
import socket
import struct

__all__ = ["Proxy"]

_CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections to one address and injects network faults.

    Args:
        target: Address of the server, as `ip:port`.

    Attributes:
        delay_s: Delay of every chunk in both directions.
        refuse_connections: Whether new connections are reset.
    """

    def __init__(self, target: str) -> None:
        self._target_host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.delay_s = 0.0
        self.refuse_connections = False
        self._cut = False
        self._unblocked = {"up": asyncio.Event(), "down": asyncio.Event()}
        self.restore()

    @property
    def address(self) -> str:
        """The listening address, as `ip:port`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Starts to listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            _reset(writer)

    def block(self, direction: str) -> None:
        """Stops forwarding in one direction, `up` or `down`.

        Connections stay open and data is delivered after `restore`.
        """
        self._unblocked[direction].clear()

    def cut(self) -> None:
        """Discards all data until `restore`.

        Connections stay open, but one that lost data carries none any more.
        """
        self._cut = True

    def restore(self) -> None:
        """Ends all faults."""
        self._cut = False
        self.delay_s = 0.0
        self.refuse_connections = False
        for event in self._unblocked.values():
            event.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuse_connections:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target_host, self._target_port
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, "up"),
                self._forward(target_reader, writer, "down"),
            )
            writer.close()
            target_writer.close()
        except OSError:
            _reset(writer)
            _reset(target_writer)
        finally:
            self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        lost = False
        while data := await reader.read(_CHUNK_BYTES):
            lost = lost or self._cut
            if lost:
                continue
            await self._unblocked[direction].wait()
            await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST.

    `abort` alone sends FIN, after which a truncated response without a length
    would look complete.
    """
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None and raw_socket.fileno() >= 0:
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
