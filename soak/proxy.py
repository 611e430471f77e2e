"""A loopback proxy that delays, resets or silences connections."""

from __future__ import annotations

import asyncio
import socket
import struct

__all__ = ["Proxy"]

_CHUNK = 65_536


class Proxy:
    """Forwards connections to one address, and misbehaves as told.

    Args:
        target: Where connections go, as `ip:port`.
    """

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.delay_s = 0.0
        self.refusing = False
        self._open = {"up": asyncio.Event(), "down": asyncio.Event()}
        self.heal()

    @property
    def address(self) -> str:
        """Where the proxy listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Opens a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def close(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            _reset(writer)

    def silence(self, direction: str) -> None:
        """Holds the bytes of one direction back, `up` or `down`."""
        self._open[direction].clear()

    def heal(self) -> None:
        """Ends every misbehaviour."""
        self.delay_s = 0.0
        self.refusing = False
        for event in self._open.values():
            event.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            _reset(writer)
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, other_writer}
        try:
            await asyncio.gather(
                self._pump(reader, other_writer, "up"),
                self._pump(other_reader, writer, "down"),
            )
            writer.close()
            other_writer.close()
        except OSError:
            _reset(writer)
            _reset(other_writer)
        finally:
            self._writers -= {writer, other_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        while data := await reader.read(_CHUNK):
            await self._open[direction].wait()
            await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection.

    An abort alone ends it properly, by which half an answer without a length
    would look whole.
    """
    opened = writer.get_extra_info("socket")
    if opened is not None and opened.fileno() >= 0:
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
