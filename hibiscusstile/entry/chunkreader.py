"""Reads an attempt's chunks in order and requests missing ones again."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
from collections.abc import AsyncGenerator

import xxhash

from hibiscusstile import outcome
from hibiscusstile.entry import refusals
from hibiscusstile.peers import attemptchannel, messages
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib

__all__ = ["ChunkReader", "ResponseEnd", "ResponseEvent", "TextDelta"]

_INACTIVITY_TIMEOUT = datetime.timedelta(milliseconds=1500)
_RECONNECT_TIMEOUT = datetime.timedelta(seconds=1)
_CHUNKS_PER_ACK = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TextDelta:
    """A piece of the generated text."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of a complete response."""

    finish_reason: str
    usage: messages.Usage


ResponseEvent = TextDelta | ResponseEnd


class ChunkReader:
    """Reads an attempt's response stream across reconnects.

    Args:
        link: The connection to the sidecar that runs the attempt.
        channel: Receives the attempt's messages.
    """

    def __init__(
        self,
        link: client_lib.SidecarLink,
        channel: attemptchannel.AttemptChannel,
    ) -> None:
        self._link = link
        self._channel = channel
        self._next_number = 0
        self._resumed_from = -1
        self._digest = xxhash.xxh3_64()

    async def read(self) -> AsyncGenerator[ResponseEvent]:
        """Yields text deltas in order, then the end of the response.

        Raises:
            Refused: The attempt failed, or its sidecar cannot be reached.
        """
        while True:
            message = await self._receive()
            match message:
                case messages.Chunk() if message.number == self._next_number:
                    yield await self._accept_chunk(message)
                case messages.Chunk() if message.number > self._next_number:
                    await self._request_missing()
                case messages.End() if message.chunks > self._next_number:
                    await self._request_missing()
                case messages.End():
                    self._verify_end(message)
                    yield ResponseEnd(message.finish_reason, message.usage)
                    return
                case messages.Failed():
                    raise outcome.Refused(refusals.from_failed(message))
                case _:
                    continue

    async def _accept_chunk(self, chunk: messages.Chunk) -> TextDelta:
        self._next_number += 1
        self._digest.update(chunk.text.encode())
        if self._next_number % _CHUNKS_PER_ACK == 0:
            await self._acknowledge()
        return TextDelta(chunk.text)

    async def _receive(self) -> messages.PeerMessage:
        while True:
            try:
                return await self._channel.receive(
                    _INACTIVITY_TIMEOUT.total_seconds()
                )
            except attemptchannel.ChannelLost:
                self._resumed_from = -1
                await self._resume()
            except TimeoutError:
                raise _peer_lost() from None

    async def _request_missing(self) -> None:
        """Requests the chunks after a gap, once for each connection.

        Messages already in flight reveal the same gap again, so it isn't
        requested twice. If the chunks never arrive, the inactivity timeout
        ends the attempt.
        """
        if self._resumed_from != self._next_number:
            self._resumed_from = self._next_number
            await self._resume()

    async def _resume(self) -> None:
        self._channel = self._link.open_channel(self._channel.attempt_id)
        try:
            async with asyncio.timeout(_RECONNECT_TIMEOUT.total_seconds()):
                await self._link.wait_ready()
            await self._link.send(
                messages.Resume(self._channel.attempt_id, self._next_number)
            )
        except (TimeoutError, connection_lib.ConnectionLost):
            raise _peer_lost() from None

    async def _acknowledge(self) -> None:
        try:
            await self._link.send(
                messages.Ack(self._channel.attempt_id, self._next_number)
            )
        except connection_lib.ConnectionLost:
            return

    def _verify_end(self, end: messages.End) -> None:
        received = (self._next_number, self._digest.intdigest())
        if (end.chunks, end.digest) != received:
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.INTERNAL,
                    "the response's chunks do not match the digest at its end",
                    outcome.Verdict.RAN,
                )
            )


def _peer_lost() -> outcome.Refused:
    return outcome.Refused(refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN))
