"""A caller's HTTP/1.1 connection, with the times of each request.

HTTP libraries hide whether a connection was accepted, whether all bytes of a
request were sent and whether an answer had begun before the connection ended.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Mapping, Sequence

__all__ = ["Answer", "BodyPart", "Channel"]

_CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPart:
    """A part of a request's body.

    Attributes:
        data: The bytes.
        pause_s: Time to wait before they are sent.
    """

    data: bytes
    pause_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got for one request.

    Attributes:
        status: Status of the response, 0 if there was none.
        headers: Response headers, with names in lowercase.
        body: Body of the response, None if it is incomplete.
        started_s: Time at which sending began, by the event loop's clock.
        sent_s: Time at which the last byte had been sent, None if it was not.
        ended_s: Time of the last byte or of the connection's end.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | None = None
    started_s: float = 0.0
    sent_s: float | None = None
    ended_s: float = 0.0

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection may be used for another request."""
        return (
            self.body is not None
            and self.sent_s is not None
            and self.headers.get("connection", "").lower() != "close"
        )


class Channel:
    """A connection on which requests are sent one after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        # `drain` then waits until the kernel has taken all bytes.
        writer.transport.set_write_buffer_limits(0)

    @classmethod
    async def open(cls, address: str) -> Channel:
        """Opens a connection to `ip:port`.

        Raises:
            OSError: The connection was refused or not accepted in time.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return cls(*await asyncio.open_connection(host, int(port)))

    @property
    def closed(self) -> bool:
        """Whether the other side has closed the connection."""
        return self._reader.at_eof() or self._reader.exception() is not None

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def request(
        self,
        target: str,
        headers: Mapping[str, str],
        parts: Sequence[BodyPart],
        *,
        chunked: bool,
        timeout_s: float,
    ) -> Answer:
        """Sends a POST request and returns the answer as far as it came.

        Args:
            target: Path of the request.
            headers: Its headers.
            parts: Its body.
            chunked: Whether the body is sent in chunks instead of a length.
            timeout_s: Time after which the caller gives up.
        """
        loop = asyncio.get_running_loop()
        answer = Answer(started_s=loop.time())
        sending = asyncio.ensure_future(
            self._send(answer, target, headers, parts, chunked)
        )
        try:
            async with asyncio.timeout(timeout_s):
                answer.body = await self._receive(answer)
        except (OSError, EOFError, ValueError, TimeoutError):
            pass
        finally:
            answer.ended_s = loop.time()
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        return answer

    async def _send(
        self,
        answer: Answer,
        target: str,
        headers: Mapping[str, str],
        parts: Sequence[BodyPart],
        chunked: bool,
    ) -> None:
        lines = [f"POST {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        length = sum(len(part.data) for part in parts)
        lines.append(
            "Transfer-Encoding: chunked"
            if chunked
            else f"Content-Length: {length}"
        )
        data = "\r\n".join([*lines, "", ""]).encode()
        for part in parts:
            if part.pause_s:
                self._writer.write(data)
                data = b""
                await asyncio.sleep(part.pause_s)
            data += _chunk(part.data) if chunked else part.data
        self._writer.write(data + (_chunk(b"") if chunked else b""))
        await self._writer.drain()
        answer.sent_s = asyncio.get_running_loop().time()

    async def _receive(self, answer: Answer) -> bytes:
        head = await self._reader.readuntil(b"\r\n\r\n")
        status_line, *lines = head.decode("latin1").split("\r\n")[:-2]
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        answer.status = int(status_line.split(" ", 2)[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            return await self._receive_chunks()
        if "content-length" in answer.headers:
            return await self._reader.readexactly(
                int(answer.headers["content-length"])
            )
        raise ValueError("the response has neither a length nor chunks")

    async def _receive_chunks(self) -> bytes:
        body = b""
        while True:
            line = await self._reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            chunk = await self._reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
