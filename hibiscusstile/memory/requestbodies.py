"""Reads request bodies piece by piece within the memory budget."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from hibiscusstile import sockets
from hibiscusstile.memory import budget

__all__ = ["BodyTooLarge", "MemoryShort", "expire", "receive_body"]

# A body whose length is not announced takes memory in steps of this size.
_STEP_BYTES = 64 * 1024
# Larger bodies get more room in the kernel once they may arrive.
_LARGE_BYTES = 256 * 1024


class BodyTooLarge(Exception):  # noqa: N818 - a refusal, not a program error
    """The body exceeds the limit."""


class MemoryShort(Exception):  # noqa: N818 - a refusal, not a program error
    """There is no room for the body."""


async def receive_body(
    request: web.BaseRequest,
    holding: budget.Holding,
    max_bytes: int,
    timeout: asyncio.Timeout,  # noqa: ASYNC109 - the caller's own limit
) -> bytes:
    """Returns the complete body of a request.

    Args:
        request: The request.
        holding: Its memory.
        max_bytes: Limit of the body's size.
        timeout: The time limit in force, which ends early if other requests
            need the memory more.

    Raises:
        BodyTooLarge: The body exceeds the limit.
        MemoryShort: There is no room for the body.
        TimeoutError: Raised by `timeout`, also if `holding` was ended.
    """
    size_bytes = request.content_length or request.content.total_bytes
    if size_bytes > max_bytes:
        raise BodyTooLarge
    try:
        if not holding.start_arriving(lambda: expire(timeout), size_bytes):
            raise MemoryShort
        if size_bytes > _LARGE_BYTES:
            sockets.expect_body(request.transport)
        body = await _read(request.content, holding, max_bytes, size_bytes)
        if not holding.start_running(len(body)):
            raise MemoryShort
        return body
    finally:
        # A time limit that is over cannot be changed.
        holding.clear_end()


def expire(timeout: asyncio.Timeout) -> None:
    """Lets a time limit end now."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


async def _read(
    content: aiohttp.StreamReader,
    holding: budget.Holding,
    max_bytes: int,
    room_bytes: int,
) -> bytes:
    body = bytearray()
    while chunk := await content.readany():
        body += chunk
        if len(body) > max_bytes:
            raise BodyTooLarge
        holding.note_progress()
        if len(body) > room_bytes:
            room_bytes = len(body) + _STEP_BYTES
            if not holding.grow(room_bytes):
                raise MemoryShort
    return bytes(body)
