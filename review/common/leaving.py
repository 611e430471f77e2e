"""A runner that leaves without a `draining` report, and what lists it again."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from common import world as world_lib

# Streams of a few seconds, asked for in groups.
_EVENTS = 30
_PACE_S = 0.1
_GROUP_INTERVAL_S = 3.0
_GROUP_SIZE = 12
_LEAVES_S = 7.5
_DISRUPTION_S = 10.7
# The runner serves for `drain_ms` and "a little longer" after it has left.
_EXIT_S = 13.5
_END_S = 20.0


Relist = Callable[[world_lib.World, world_lib.Runner], Awaitable[None]]


async def play(world: world_lib.World, relist: Relist) -> list[str]:
    """Plays the leaving of a runner, and something that lists it again.

    Args:
        world: The deployment.
        relist: Makes the store list the runner again.

    Returns:
        What breaks the rule.
    """
    runners = [
        world_lib.Runner(
            f"i-{number}",
            "model",
            ("z1", "z2")[number % 2],
            {"events": _EVENTS, "pace_s": _PACE_S},
        )
        for number in range(4)
    ]
    await world.start(
        runners,
        world_lib.configuration(
            3,
            [world_lib.route("advice", "streaming", "model", timeout_ms=8000)],
            [world_lib.tenant("desk", "key-a")],
        ),
    )
    requests: list[asyncio.Task[Any]] = []
    numbers = itertools.count(1)

    async def send_groups() -> None:
        while True:
            for number in range(_GROUP_SIZE):
                parts = [(f"f{next(numbers):06x}", 380)]
                requests.append(
                    world.spawn(
                        world.request(
                            number % 2,
                            "/advice/",
                            kind="stream",
                            parts=parts,
                            deadline_ms=8000,
                        )
                    )
                )
            await asyncio.sleep(_GROUP_INTERVAL_S)

    loop = asyncio.get_running_loop()
    started = loop.time()

    async def at(second: float) -> None:
        await asyncio.sleep(max(0.0, started + second - loop.time()))

    groups = world.spawn(send_groups())
    left = runners[0]
    await at(_LEAVES_S)
    await world.control(left, leaving=True)
    await world.unregister(left.id)
    gone = world.note("a runner removes its entry and leaves", runner=left.id)
    await at(_DISRUPTION_S)
    if world_lib.trouble():
        await relist(world, left)
    await at(_EXIT_S)
    assert left.process is not None
    left.process.terminate()
    world.note("the runner exits", runner=left.id)
    await at(_END_S)
    groups.cancel()
    await asyncio.wait(requests)
    return _judge(world, left.id, gone + world_lib.DRAIN_S)


def _judge(
    world: world_lib.World, runner_id: str, bound_from: float
) -> list[str]:
    answers = {each["request"]: each for each in world.answers}
    late = [
        each
        for each in world.seen_by_runners()
        if each["what"] == "arrived"
        and each["runner"] == runner_id
        and answers[each["request"]]["sent"] > bound_from
    ]
    cut = [
        each["request"]
        for each in late
        if answers[each["request"]].get("outcome") != "whole"
    ]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests that were sent more than "
        f"{world_lib.DRAIN_S:g} s after the runner {runner_id} was gone "
        f"reached it; {len(cut)} of them were cut when it exited"
    ]
