"""Tests of the wait for an attempt's messages."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from hibiscusstile.peers import attemptchannel, messages

_PROGRESS = messages.Progress("att-1")
_TIMEOUT_S = 0.3


async def test_messages_of_a_pause_are_received() -> None:
    """Guards against streams given up because this process was paused."""
    channel = attemptchannel.AttemptChannel("att-1")
    near, far = socket.socketpair()
    loop = asyncio.get_running_loop()

    def deliver() -> None:
        near.recv(1)
        channel.deliver(_PROGRESS)

    with near, far:
        loop.add_reader(near, deliver)
        try:
            receiving = asyncio.ensure_future(channel.receive(_TIMEOUT_S))
            await asyncio.sleep(0)
            # The event loop stands still while the peer goes on sending.
            time.sleep(_TIMEOUT_S / 2)  # noqa: ASYNC251
            far.send(b"p")
            time.sleep(_TIMEOUT_S)  # noqa: ASYNC251
            assert await receiving == _PROGRESS
        finally:
            loop.remove_reader(near)


async def test_a_silent_peer_times_out() -> None:
    """Guards against a wait without an end, and a much longer one."""
    channel = attemptchannel.AttemptChannel("att-1")
    started_s = time.monotonic()
    with pytest.raises(TimeoutError):
        await channel.receive(_TIMEOUT_S)
    waited_s = time.monotonic() - started_s
    assert _TIMEOUT_S * 0.9 < waited_s < _TIMEOUT_S * 3


async def test_a_late_message_is_received_up_to_the_timeout() -> None:
    """Guards against a peer given up before its time."""
    channel = attemptchannel.AttemptChannel("att-1")
    loop = asyncio.get_running_loop()
    loop.call_later(_TIMEOUT_S * 0.8, channel.deliver, _PROGRESS)
    assert await channel.receive(_TIMEOUT_S) == _PROGRESS
