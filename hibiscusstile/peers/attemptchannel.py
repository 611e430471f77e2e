"""Queue of the messages that one attempt receives."""

from __future__ import annotations

import asyncio
import contextlib

from hibiscusstile.peers import messages

__all__ = ["AttemptChannel", "ChannelLost"]

_MAX_CHANNEL_MESSAGES = 1024
# After a pause of this process, a wait expires before the messages that came
# meanwhile are read. Only the wait during the pause is lost then.
_WAITS_PER_TIMEOUT = 3


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
            TimeoutError: No message arrived within `timeout_s` seconds, not
                counting most of the time in which this process was paused.
        """
        if self._queue.empty():
            message = await self._wait(timeout_s)
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

    async def _wait(self, timeout_s: float) -> messages.PeerMessage | None:
        """Waits for a message in several shorter waits."""
        for _ in range(_WAITS_PER_TIMEOUT):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s / _WAITS_PER_TIMEOUT):
                    return await self._queue.get()
        raise TimeoutError
