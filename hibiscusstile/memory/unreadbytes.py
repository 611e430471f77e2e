"""Bounds the bytes that wait in the process for a caller to read them."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from hibiscusstile.memory import budget

__all__ = ["UnreadBytes"]

# What a response that its caller does not read holds beside the connection's
# own buffer: the buffers towards the server that sends it. 60 such streams took
# 150 KB each, with their requests.
_SERVER_BUFFER_BYTES = 128 * 1024
# Parts up to this size are counted only if the caller has not read them.
_UNCOUNTED_BYTES = 16 * 1024
_PIECE_BYTES = 64 * 1024


class UnreadBytes:
    """Writes one response to its caller as fast as the caller reads.

    Args:
        request: The caller's request.
        holding: Memory of the request.
    """

    def __init__(
        self, request: web.BaseRequest, holding: budget.Holding
    ) -> None:
        self._request = request
        self._holding = holding
        self._counted = False

    async def write(self, response: web.StreamResponse, data: bytes) -> None:
        """Sends a part of the response; waits for a caller that is slow.

        Raises:
            ConnectionResetError: The caller closed the connection, or it was
                closed as the memory is short.
        """
        if len(data) <= _PIECE_BYTES:
            await self._write_piece(response, data)
            return
        # aiohttp copies what it writes, and its transport holds it.
        with memoryview(data) as view:
            for start in range(0, len(data), _PIECE_BYTES):
                piece = bytes(view[start : start + _PIECE_BYTES])
                await self._write_piece(response, piece)

    async def _write_piece(
        self, response: web.StreamResponse, data: bytes
    ) -> None:
        transport: Any = self._request.transport
        if transport is None:
            raise ConnectionResetError("the caller closed the connection")
        waiting_bytes = transport.get_write_buffer_size()
        if waiting_bytes or len(data) > _UNCOUNTED_BYTES:
            self._count(transport, waiting_bytes + len(data), waiting_bytes > 0)
        await response.write(data)
        waiting_bytes = transport.get_write_buffer_size()
        if waiting_bytes or self._counted:
            self._holding.note_progress()
            self._count(transport, waiting_bytes, waiting_bytes > 0)
        if waiting_bytes:
            # aiohttp itself waits only once for every 64 KiB.
            await self._request.writer.drain()

    def _count(self, transport: Any, size_bytes: int, is_slow: bool) -> None:
        self._counted = size_bytes > 0
        if is_slow:
            size_bytes += _SERVER_BUFFER_BYTES
        if not self._holding.set_unread(size_bytes, transport.abort):
            transport.abort()
            raise ConnectionResetError("no memory is left for the response")
