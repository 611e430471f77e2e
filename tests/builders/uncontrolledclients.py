"""Crowds of clients that send and read as no ordinary caller does.

The clients write raw bytes, stay connected until they are closed, and never
fail when the server refuses them or closes their connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import socket
import subprocess
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

__all__ = [
    "Crowd",
    "Target",
    "WatchedProcess",
    "chunked_pieces",
    "crowd",
    "head",
    "sized_body",
]

_PIECE_BYTES = 256 * 1024
_MISSING_BYTES = 1024
_UNREAD_BYTES = 4096
_READ_TIMEOUT_S = 0.01
# What may stay after a crowd has left: its memory is free, but not all of it
# goes back to the kernel.
_LEFT_MB = 30
_SETTLE_S = 20.0
# Time in which a crowd that is neither refused nor read stays as it is.
_SEND_TIMEOUT_S = 6.0


@dataclasses.dataclass(frozen=True)
class Target:
    """A front end that a crowd connects to.

    Attributes:
        host: IP address.
        port: TCP port.
        path: Path of the requests.
        headers: Headers of a request that is served.
    """

    host: str
    port: int
    path: str
    headers: dict[str, str]


def head(target: Target, **changes: str | None) -> bytes:
    """Returns the head of a POST request.

    Args:
        target: Where it is sent.
        **changes: Headers to set, with `_` for `-`; None leaves one out.
    """
    fields: dict[str, str | None] = dict(target.headers)
    for name, value in changes.items():
        fields[name.replace("_", "-")] = value
    lines = [f"POST {target.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def sized_body(size_bytes: int) -> list[bytes]:
    """Returns the pieces of a body, of which the last 1 KiB is missing."""
    left = size_bytes - _MISSING_BYTES
    pieces = [bytes(_PIECE_BYTES)] * (left // _PIECE_BYTES)
    return [*pieces, bytes(left % _PIECE_BYTES)]


def chunked_pieces(size_bytes: int, chunk_bytes: int) -> list[bytes]:
    """Returns a body in chunks, without the last one."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    per_piece = max(1, _PIECE_BYTES // chunk_bytes)
    count = size_bytes // chunk_bytes - 1
    pieces = [chunk * per_piece] * (count // per_piece)
    return [*pieces, chunk * (count % per_piece)]


class Crowd:
    """Connections of clients to one front end.

    Args:
        target: The front end.
    """

    def __init__(self, target: Target) -> None:
        self._target = target
        self._writers: list[asyncio.StreamWriter] = []
        self._readers: list[asyncio.StreamReader] = []

    async def send(
        self,
        count: int,
        pieces: Callable[[int], Sequence[bytes]],
        *,
        pause_s: float = 0.0,
    ) -> None:
        """Opens connections and sends pieces on all of them at once.

        Args:
            count: Number of connections.
            pieces: Returns what the connection of an index sends.
            pause_s: Pause after each piece.
        """
        await asyncio.gather(
            *(self._send(pieces(index), pause_s) for index in range(count))
        )

    async def read_some(self) -> None:
        """Reads a little of what each connection has received."""
        await asyncio.gather(*(_read_some(each) for each in self._readers))

    def leave(self) -> None:
        """Closes all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._readers.clear()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection with little room for what is not read."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES)
        loop = asyncio.get_running_loop()
        address = (self._target.host, self._target.port)
        await loop.sock_connect(sock, address)
        return await asyncio.open_connection(sock=sock, limit=_UNREAD_BYTES)

    async def _send(self, pieces: Sequence[bytes], pause_s: float) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                reader, writer = await self._connect()
                self._readers.append(reader)
                self._writers.append(writer)
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    if pause_s:
                        await asyncio.sleep(pause_s)


@contextlib.asynccontextmanager
async def crowd(target: Target) -> AsyncIterator[Crowd]:
    """Closes a crowd's connections at the end of the context."""
    clients = Crowd(target)
    try:
        yield clients
    finally:
        clients.leave()


class WatchedProcess:
    """Checks that a process stays within its limits.

    Args:
        process: The process, idle and ready.
        max_memory_mb: Bound on its resident memory.
        max_descriptors: Bound on its open descriptors.
    """

    def __init__(
        self,
        process: subprocess.Popen[Any],
        max_memory_mb: int,
        max_descriptors: int,
    ) -> None:
        self._process = process
        self._max_memory_mb = max_memory_mb
        self._max_descriptors = max_descriptors
        self._idle_mb = self._status_mb("VmRSS")

    def check(self) -> None:
        """Checks that the process lives, and its memory and descriptors."""
        assert self._process.poll() is None
        peak_mb = self._status_mb("VmHWM")
        descriptors = len(os.listdir(f"/proc/{self._process.pid}/fd"))
        figures = (
            f"memory {peak_mb:.0f} MB at most, {self._status_mb('VmRSS'):.0f} "
            f"now, {self._idle_mb:.0f} idle; {descriptors} descriptors"
        )
        print(figures)
        assert peak_mb < self._max_memory_mb, figures
        assert descriptors < self._max_descriptors, figures

    async def check_memory_returns(self) -> None:
        """Checks that a crowd that has left has left little memory in use."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _SETTLE_S
        while self._status_mb("VmRSS") > self._idle_mb + _LEFT_MB:
            assert loop.time() < end_s, (
                f"{self._status_mb('VmRSS'):.0f} MB in use, "
                f"{self._idle_mb:.0f} before"
            )
            await asyncio.sleep(0.2)

    def _status_mb(self, field: str) -> float:
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
        raise ValueError(f"the process has no {field}")


async def _read_some(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(_READ_TIMEOUT_S):
            await reader.read(_UNREAD_BYTES)
