"""Ordered, resumable delivery of an attempt's output to entry instances."""

from __future__ import annotations

import asyncio
import contextlib
import datetime

import xxhash

from hibiscusstile import backends
from hibiscusstile import clock as clock_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages

__all__ = ["AttemptStream"]

_MAX_UNACKNOWLEDGED_CHUNKS = 512
_PROGRESS_INTERVAL_S = 0.5
_PROGRESS_SEND_TIMEOUT_S = 0.2
_RECONNECT_GRACE = datetime.timedelta(milliseconds=900)


class AttemptStream:
    """Sends an attempt's chunks in order and buffers unacknowledged ones.

    The stream survives a lost connection for a short time, so that the entry
    instance can reconnect and resume after the last chunk it received.

    Args:
        attempt_id: Id of the attempt.
        connection: Connection to the entry instance.
        clock: Measures the time without a connection and between messages.
    """

    def __init__(
        self,
        attempt_id: str,
        connection: connection_lib.PeerConnection,
        clock: clock_lib.Clock,
    ) -> None:
        self._attempt_id = attempt_id
        self._connection: connection_lib.PeerConnection | None = connection
        self._clock = clock
        self._detached_since_s: float | None = None
        self._last_send_s = clock.monotonic()
        self._chunks: dict[int, messages.Chunk] = {}
        self._next_number = 0
        self._next_unsent = 0
        self._final_sent = False
        self._send_lock = asyncio.Lock()
        self._digest = xxhash.xxh3_64()
        self._final_message: messages.PeerMessage | None = None
        self._window_open = asyncio.Event()
        self._window_open.set()

    @property
    def attempt_id(self) -> str:
        """Id of the attempt."""
        return self._attempt_id

    @property
    def connection(self) -> connection_lib.PeerConnection | None:
        """Current connection, None while detached."""
        return self._connection

    @property
    def orphaned(self) -> bool:
        """Whether the stream was detached for longer than the grace period."""
        if self._detached_since_s is None:
            return False
        detached_s = self._clock.monotonic() - self._detached_since_s
        return detached_s > _RECONNECT_GRACE.total_seconds()

    async def send_started(self, cached_tokens: int) -> None:
        """Reports that the engine has started the attempt."""
        await self._send(messages.Started(self._attempt_id, cached_tokens))

    async def send_progress_if_idle(self) -> None:
        """Sends a keep-alive message if nothing was sent for 0.5 s.

        An entry instance that does not read has a full send buffer. The wait
        for it ends early, since keep-alives of other attempts follow.
        """
        if self._clock.monotonic() - self._last_send_s < _PROGRESS_INTERVAL_S:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PROGRESS_SEND_TIMEOUT_S):
                await self._send(messages.Progress(self._attempt_id))

    async def send_text(self, text: str) -> None:
        """Sends a chunk, after waiting for room in the send window."""
        await self._window_open.wait()
        number = self._next_number
        self._chunks[number] = messages.Chunk(self._attempt_id, number, text)
        self._next_number += 1
        self._digest.update(text.encode())
        if len(self._chunks) >= _MAX_UNACKNOWLEDGED_CHUNKS:
            self._window_open.clear()
        await self._flush()

    async def send_end(self, end: backends.EngineEnd) -> None:
        """Sends the final message with the count and digest of all chunks."""
        self._final_message = messages.End(
            self._attempt_id,
            self._next_number,
            self._digest.intdigest(),
            end.finish_reason,
            messages.Usage(
                end.prompt_tokens, end.cached_tokens, end.completion_tokens
            ),
        )
        await self._flush()

    async def send_failed(self, failed: messages.Failed) -> None:
        """Sends the failure as the final message."""
        self._final_message = failed
        await self._flush()

    def acknowledge(self, next_number: int) -> None:
        """Drops buffered chunks with numbers below `next_number`."""
        for number in list(self._chunks):
            if number >= next_number:
                break
            del self._chunks[number]
        if len(self._chunks) < _MAX_UNACKNOWLEDGED_CHUNKS:
            self._window_open.set()

    def detach(self, connection: connection_lib.PeerConnection) -> None:
        """Detaches the stream if it uses this connection, which has ended."""
        if self._connection is connection:
            self._connection = None
            self._detached_since_s = self._clock.monotonic()

    async def attach(
        self, connection: connection_lib.PeerConnection, next_number: int
    ) -> None:
        """Resumes on a new connection, starting at chunk `next_number`."""
        self.acknowledge(next_number)
        self._connection = connection
        self._detached_since_s = None
        self._next_unsent = next_number
        self._final_sent = False
        await self._flush()

    async def _flush(self) -> None:
        """Sends all messages not yet sent on the current connection, in order.

        The lock ensures that chunks generated during a resend follow the
        resent ones.
        """
        async with self._send_lock:
            while self._connection is not None:
                chunk = self._chunks.get(self._next_unsent)
                if chunk is None:
                    break
                self._next_unsent += 1
                await self._send(chunk)
            if self._final_message is not None and not self._final_sent:
                self._final_sent = self._connection is not None
                await self._send(self._final_message)

    async def _send(self, message: messages.PeerMessage) -> None:
        connection = self._connection
        if connection is None:
            return
        self._last_send_s = self._clock.monotonic()
        try:
            await connection.send(message)
        except connection_lib.ConnectionLost:
            self.detach(connection)
