"""Writes HTTP heads whose field values are not UTF-8.

RFC 9110 allows the bytes 0x80 to 0xFF in field values. aiohttp reads those that
are not UTF-8 as surrogate escapes, but leaves them out of the heads it writes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from aiohttp import http_writer

__all__ = ["RawHeadTransport", "RawHeadWriter", "encode_head", "is_utf8"]

_HEAD_END = b"\r\n\r\n"


def is_utf8(headers: Mapping[str, str]) -> bool:
    """Returns whether all values can be encoded in UTF-8."""
    for value in headers.values():
        if value.isascii():
            continue
        try:
            value.encode()
        except UnicodeEncodeError:
            return False
    return True


def encode_head(first_line: str, headers: Mapping[str, str]) -> bytes:
    """Returns a head with its values as they were received.

    Args:
        first_line: The request or status line.
        headers: Names and values, in which surrogate escapes stand for bytes.
    """
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode(errors="surrogateescape") + _HEAD_END


class RawHeadWriter(http_writer.StreamWriter):
    """Writer of responses to callers that leaves out no bytes."""

    async def write_headers(self, status_line: str, headers: Any) -> None:
        """Encodes the head, which is sent with the first bytes that follow."""
        await super().write_headers(status_line, headers)
        if not is_utf8(headers):
            self._headers_buf = encode_head(status_line, headers)


class RawHeadTransport:
    """Transport of a connection that replaces the next head on it.

    aiohttp lets a client choose no writer for its requests. The protocol gets
    its own transport back with the first write.

    Args:
        protocol: The connection's protocol.
        make_head: Returns the head to write.
    """

    def __init__(self, protocol: Any, make_head: Callable[[], bytes]) -> None:
        self._protocol = protocol
        self._transport = protocol.transport
        self._protocol.transport = self
        self._make_head = make_head

    def __getattr__(self, name: str) -> Any:
        """Returns an attribute of the connection's own transport."""
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Writes what follows the head in `data` after the other head."""
        self._protocol.transport = self._transport
        _, _, rest = bytes(data).partition(_HEAD_END)
        self._transport.write(self._make_head() + rest)

    def writelines(self, chunks: Iterable[bytes]) -> None:
        """Writes several pieces of data."""
        self.write(b"".join(chunks))
