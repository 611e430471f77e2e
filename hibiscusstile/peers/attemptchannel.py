"""Queue of the messages that one attempt receives."""

from __future__ import annotations

import asyncio

from hibiscusstile.peers import messages

__all__ = ["AttemptChannel", "ChannelLost"]

_MAX_CHANNEL_MESSAGES = 1024


class ChannelLost(Exception):  # noqa: N818 - an expected condition
    """The connection that carried an attempt has ended."""


class AttemptChannel:
    """Queue of the messages of one attempt, in order of arrival."""

    def __init__(self, attempt_id: str) -> None:
        self._attempt_id = attempt_id
        self._queue: asyncio.Queue[messages.PeerMessage | None] = asyncio.Queue(
            _MAX_CHANNEL_MESSAGES
        )

    @property
    def attempt_id(self) -> str:
        """Id of the attempt."""
        return self._attempt_id

    async def receive(self, timeout_s: float) -> messages.PeerMessage:
        """Returns the next message.

        Raises:
            ChannelLost: The connection has ended.
            TimeoutError: No message arrived within `timeout_s` seconds.
        """
        if self._queue.empty():
            async with asyncio.timeout(timeout_s):
                message = await self._queue.get()
        else:
            message = self._queue.get_nowait()
        if message is None:
            raise ChannelLost(self._attempt_id)
        return message

    def deliver(self, message: messages.PeerMessage | None) -> bool:
        """Queues a message, or None for a lost connection.

        A `Progress` message is dropped while others are queued: it would
        carry no further information and could fill a slow caller's channel.

        Returns:
            False when the queue is full.
        """
        if isinstance(message, messages.Progress) and self._queue.qsize():
            return True
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True
