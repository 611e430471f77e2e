"""Responses that aiohttp cannot produce, as raw bytes."""

from __future__ import annotations

import socket
import struct
from typing import Any

__all__ = ["reset", "responses"]


def reset(transport: Any) -> None:
    """Closes a connection with a TCP reset (SO_LINGER of 0 s)."""
    connection_socket = transport.get_extra_info("socket")
    connection_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    transport.abort()


def responses(
    request_id: str, body: bytes, headers: dict[str, str]
) -> dict[str, bytes]:
    """Returns the raw bytes of invalid responses by failure mode."""
    head = "HTTP/1.1 200 OK\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in headers.items()
    )
    wrong_id_head = head.replace(request_id, "other-request")
    head_without_stamp = (
        "HTTP/1.1 200 OK\r\n" + f"X-Request-Id: {request_id}\r\n"
    )
    length_header = f"Content-Length: {len(body)}\r\n\r\n"
    return {
        "cut": (head + length_header).encode() + body[:5],
        "unframed": (head + "\r\n").encode() + body,
        "unframed_reset": (head + "\r\n").encode() + body[:5],
        "twice": (wrong_id_head + length_header).encode()
        + body
        + (head + length_header).encode()
        + body,
        "no_digest": (head_without_stamp + length_header).encode() + body,
        "garbage": b"\x00\x01 this is no answer\r\n\r\n",
    }
