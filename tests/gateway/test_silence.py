"""Tests of the watch for servers that are silent in a stream."""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from hibiscusstile.gateway import silence
from tests.builders import gateway as builders


def _limits(target_ms: int, gap_ms: int) -> silence.SilenceLimits:
    route = builders.operator_route(
        "question", "/question/", target_latency_ms=target_ms, gap_aim_ms=gap_ms
    )
    return silence.SilenceLimits.for_route(
        builders.routing_table(routes=[route]).routes[0]
    )


class _Watched:
    """A watch whose server may be left, and what it has noticed."""

    def __init__(self, max_silence_s: float) -> None:
        self.silences = 0
        self.ready = False
        self.watch = silence.SilenceWatch(
            silence.SilenceLimits(max_silence_s, 2 * max_silence_s),
            self._note_silent,
            lambda: self.ready,
        )

    def _note_silent(self) -> None:
        self.silences += 1


async def test_output_that_arrives_during_a_pause_of_the_process_counts() -> (
    None
):
    """Guards against servers that are blamed for a frozen gateway."""
    watched = _Watched(0.1)
    watched.ready = True
    loop = asyncio.get_running_loop()
    async with watched.watch.watching():
        arrived = asyncio.Event()
        loop.call_later(0.05, arrived.set)
        await asyncio.sleep(0)
        time.sleep(0.3)  # noqa: ASYNC251
        await arrived.wait()
        watched.watch.resume(output=True)
    assert watched.silences == 0


async def test_a_silent_server_is_left_once_another_is_ready() -> None:
    """Guards against streams that are never looked for another server again."""
    watched = _Watched(0.05)
    loop = asyncio.get_running_loop()
    loop.call_later(0.3, setattr, watched, "ready", True)
    started_s = loop.time()
    with pytest.raises(silence.ServerSilent):
        async with watched.watch.watching():
            await asyncio.sleep(5)
    assert 0.3 <= loop.time() - started_s < 1.5
    assert watched.silences == 1


async def test_a_time_limit_in_a_watched_stream_is_no_silence() -> None:
    """Guards against a deadline that the log shows as a silent server."""
    watched = _Watched(5.0)
    with pytest.raises(TimeoutError):
        async with watched.watch.watching(), asyncio.timeout(0.01):
            await asyncio.sleep(5)


def test_callers_with_long_targets_wait_longer() -> None:
    """Guards against one limit for streams with different targets."""
    limits = itertools.starmap(
        _limits, itertools.product((100, 1500), (0, 1000))
    )
    assert [(each.leave_s, each.suspect_s) for each in limits] == [
        (1.0, 1.8),
        (4.0, 7.2),
        (3.0, 5.4),
        (4.0, 7.2),
    ]


async def test_output_in_the_step_of_a_leave_is_written_whole() -> None:
    """Guards against an event that its caller gets from two servers."""
    arrived = asyncio.Event()

    def try_leave() -> bool:
        arrived.set()
        return True

    watch = silence.SilenceWatch(
        silence.SilenceLimits(0.05, 0.1), lambda: None, try_leave
    )
    written = False
    with pytest.raises(silence.ServerSilent):
        async with watch.watching():
            await arrived.wait()
            watch.pause()
            await asyncio.sleep(0.05)
            written = True
            watch.resume(output=True)
            assert not watch.silent
            await asyncio.sleep(5)
    assert written


async def test_several_silences_of_a_stream_count_once() -> None:
    """Guards against one slow stream that suspends its server."""
    watched = _Watched(0.05)
    async with watched.watch.watching():
        for _ in range(3):
            await asyncio.sleep(0.3)
            watched.watch.pause()
            watched.watch.resume(output=True)
            assert not watched.watch.silent
    assert watched.silences == 1


async def test_a_short_silence_blames_no_server() -> None:
    """Guards against a busy server that is suspended while its streams wait."""
    watched = _Watched(0.2)
    async with watched.watch.watching():
        await asyncio.sleep(0.3)
        watched.watch.pause()
        watched.watch.resume(output=True)
    assert watched.silences == 0
