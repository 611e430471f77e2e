"""HTTP client connections that bound what a server may send.

aiohttp bounds a single header field, but neither the number of responses to
one request nor the size of a body.
"""

from __future__ import annotations

import asyncio
import functools
import http
import socket
from typing import Any

import aiohttp
from aiohttp import client_proto

__all__ = [
    "BoundedConnector",
    "BoundedResponseHandler",
    "InvalidResponse",
    "ResponseTooLarge",
    "read_body",
]

# Interim (1xx) and skipped responses that may precede the response to one
# request.
_MAX_HEADS = 16
# Bytes of all heads that may precede the body of one response.
_MAX_HEAD_BYTES = 256 * 1024
# Bytes parsed before the limits are checked again. A read of the event loop
# holds up to 256 KiB, in which 10,000 short heads would block it for 0.5 s.
_PARSE_STEP_BYTES = 4 * 1024
# Steps of which most is framing, such as chunks of one byte or an endless
# chunk extension, that end a response. Only a server that sends faster than it
# is read fills a step, so a slow stream of small chunks is not affected.
_MAX_THIN_STEPS = 2
_MIN_CONTENT_SHARE = 0.25
# A 101 (Switching Protocols) answers no request that the product sends.
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
_HEAD_END = b"\r\n\r\n"
# Bounds what the event loop reads at once: 43,000 chunks of one byte in 256 KiB
# would block it for 0.2 s.
_RECEIVE_BUFFER_BYTES = 64 * 1024


class InvalidResponse(aiohttp.ClientPayloadError):
    """The server sent what is no response; the connection is closed."""


class ResponseTooLarge(InvalidResponse):
    """The server sent more than a limit allows; the connection is closed."""


class BoundedResponseHandler(client_proto.ResponseHandler):
    """Protocol of one connection that limits heads and unrequested bytes.

    Statuses outside 200 to 599 end the connection, but for interim responses.
    A body without a length is complete only if its connection was closed.

    The first final response answers the request. With `skips_responses`, it is
    the one that `note_answered` confirms, and those before it are skipped.

    Args:
        loop: Event loop of the connection.
        skips_responses: Whether responses to other requests are skipped.
        receive_bytes: Size of the kernel's receive buffer, which it doubles.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        skips_responses: bool = False,
        receive_bytes: int = _RECEIVE_BUFFER_BYTES,
    ) -> None:
        super().__init__(loop)
        self._receive_bytes = receive_bytes
        self._skips_responses = skips_responses
        self._head_count = 0
        self._head_bytes = 0
        self._in_head = False
        # The last bytes parsed, which may be the start of the end of a head.
        self._head_end = b""
        self._answered = False
        self._request_count = 0
        self._thin_steps = 0

    @property
    def reused(self) -> bool:
        """Whether an earlier request used this connection."""
        return self._request_count > 1

    def note_answered(self) -> None:
        """Records that the last response read belongs to the request."""
        self._answered = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the receive buffer of the new connection."""
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            tcp_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
        super().connection_made(transport)

    def close(self) -> None:
        """Closes the connection and drops what the server has not read.

        A request with unsent bytes is incomplete. Its transport would hold
        them until the server reads or the kernel ends the connection.
        """
        transport = self.transport
        super().close()
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the response; aiohttp would complete a body that was reset."""
        if exc is not None:
            self._end_payload(
                aiohttp.ClientPayloadError(f"connection lost: {exc!r}")
            )
        super().connection_lost(exc)

    def set_response_params(self, **parameters: Any) -> None:
        """Prepares the connection for the response to a new request."""
        self._head_count = 0
        self._head_bytes = 0
        self._in_head = True
        self._head_end = b""
        self._answered = False
        self._thin_steps = 0
        self._request_count += 1
        super().set_response_params(**parameters)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queues the head of a response unless the request has its response."""
        self._head_count += 1
        if self._answered:
            # A second copy of the response; the connection ends with it.
            self._should_close = True
            return
        status = data[0].code
        if not _is_interim(status):
            if not _MIN_FINAL_STATUS <= status <= _MAX_STATUS:
                self._reject(
                    InvalidResponse(f"status {status} ends no request")
                )
                return
            self._in_head = False
            self._answered = not self._skips_responses
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, and closes the connection past a limit."""
        if not data:
            # aiohttp itself resumes the parser.
            super().data_received(data)
            return
        if self._answered and self._payload_ended():
            self._fail("the server sent bytes after the end of its response")
            return
        position = 0
        while position < len(data):
            step = self._next_step(data, position)
            position += len(step)
            self._parse(step)
            if self.transport is None or self.transport.is_closing():
                return

    def _next_step(self, data: bytes, position: int) -> bytes:
        """Returns the bytes to parse next.

        A step ends with the end of a head. If malformed bytes followed it in
        the same step, the parser would raise an error without the head.
        """
        step = data[position : position + _PARSE_STEP_BYTES]
        if not self._expects_head():
            return step
        end = (self._head_end + step).find(_HEAD_END)
        if end >= 0:
            step = step[: end + len(_HEAD_END) - len(self._head_end)]
        self._head_end = (self._head_end + step)[-len(_HEAD_END) + 1 :]
        return step

    def _parse(self, data: bytes) -> None:
        payload = None if self._expects_head() else self._payload
        is_paused = self._reading_paused
        if payload is None:
            self._head_bytes += len(data)
        else:
            content_bytes = payload.total_bytes
        super().data_received(data)
        if is_paused:
            # The body's reader is slow, so that the parser holds content back.
            self._thin_steps = 0
        elif payload is not None and not payload.is_eof():
            content_bytes = payload.total_bytes - content_bytes
            self._note_content_share(content_bytes, len(data))
        if self.exception() is not None:
            # The bytes are malformed; aiohttp leaves the body's reader waiting.
            self._end_payload(
                aiohttp.ClientPayloadError(repr(self.exception()))
            )
        elif self._head_count > _MAX_HEADS:
            self._fail(f"more than {_MAX_HEADS} responses to one request")
        elif self._head_bytes > _MAX_HEAD_BYTES:
            self._fail(f"response heads exceed {_MAX_HEAD_BYTES} bytes")
        elif self._thin_steps >= _MAX_THIN_STEPS:
            self._fail(
                "less than a quarter of the body's last "
                f"{_MAX_THIN_STEPS * _PARSE_STEP_BYTES} bytes is content"
            )

    def _note_content_share(self, content_bytes: int, step_bytes: int) -> None:
        if step_bytes < _PARSE_STEP_BYTES:
            return
        is_thin = content_bytes < _MIN_CONTENT_SHARE * step_bytes
        self._thin_steps = self._thin_steps + 1 if is_thin else 0

    def _expects_head(self) -> bool:
        return self._in_head or self._payload_ended()

    def _payload_ended(self) -> bool:
        return self._payload is not None and self._payload.is_eof()

    def _fail(self, message: str) -> None:
        self._reject(ResponseTooLarge(message))

    def _reject(self, error: InvalidResponse) -> None:
        self.set_exception(error)
        self._end_payload(error)
        if self.transport is not None:
            self.transport.abort()

    def _end_payload(self, error: aiohttp.ClientError) -> None:
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections are `BoundedResponseHandler`s.

    Args:
        skips_responses: Whether responses to other requests are skipped.
        receive_bytes: Size of the kernel's receive buffer of a connection.
        **options: Options of `aiohttp.TCPConnector`.
    """

    def __init__(
        self,
        *,
        skips_responses: bool = False,
        receive_bytes: int = _RECEIVE_BUFFER_BYTES,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the class of its connections.
        self._factory: Any = functools.partial(
            BoundedResponseHandler,
            loop=self._loop,
            skips_responses=skips_responses,
            receive_bytes=receive_bytes,
        )


def _is_interim(status: int) -> bool:
    """Returns whether aiohttp reads another head after this status."""
    return 100 <= status < 200 and status != http.HTTPStatus.SWITCHING_PROTOCOLS


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the complete body of a response.

    Args:
        response: The response, whose body has not been read.
        max_bytes: Limit of the body's size after decompression.

    Raises:
        ResponseTooLarge: The body exceeds the limit; its connection is closed.
        aiohttp.ClientError: The body is incomplete.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise ResponseTooLarge(f"the body exceeds {max_bytes} bytes")
    return bytes(body)
