"""A part that crashes runners, under a first part that is new to all."""

from __future__ import annotations

import asyncio
import itertools
import sys
from typing import Any

sys.path.insert(0, __file__.rsplit("/", 2)[0])

from common import world as world_lib

# Shared by all requests, sound ones too.
_FIRST_PART = ("f1f1f1f1", 800)
_CRASHING_PART = ("badbadbad", 400)
_SOUND_PARTS = [(f"a{number:07x}", 400) for number in range(12)]
# Streams of 4.5 seconds, with pauses far below the aim of 500 ms.
_EVENTS = 45
_PACE_S = 0.1
_SOUND_INTERVAL_S = 0.1
_CRASHING_INTERVAL_S = 1.0
_FIRST_CRASHING_S = 3.0
_END_S = 40.0
_BACK_AFTER_S = 3.0
_BOUND_S = 2 * world_lib.STABLE_WINDOW_S
_MIN_COMPARED = 20


async def _play(world: world_lib.World) -> list[str]:
    crash_part = _CRASHING_PART[0] if world_lib.trouble() else ""
    runners = [
        world_lib.Runner(
            f"i-{number}",
            "model",
            ("z1", "z2")[number % 2],
            {"crash_part": crash_part, "events": _EVENTS, "pace_s": _PACE_S},
        )
        for number in range(8)
    ]
    await world.start(
        runners,
        world_lib.configuration(
            3,
            [
                world_lib.route(
                    "summary",
                    "streaming",
                    "model",
                    timeout_ms=10_000,
                    target_latency_ms=1500,
                )
            ],
            [world_lib.tenant("desk", "key-a")],
        ),
    )
    world.spawn(world.restart_crashed(_BACK_AFTER_S))
    requests: list[asyncio.Task[Any]] = []
    numbers = itertools.count(1)

    def send(caller: int, part: tuple[str, int], kind: str) -> None:
        parts = [_FIRST_PART, part, (f"f{next(numbers):06x}", 200)]
        requests.append(
            world.spawn(
                world.request(
                    caller,
                    "/summary/",
                    kind=kind,
                    parts=parts,
                    deadline_ms=10_000,
                )
            )
        )

    async def send_sound() -> None:
        for number in itertools.count():
            send(number % 2, _SOUND_PARTS[number % 12], "sound")
            await asyncio.sleep(_SOUND_INTERVAL_S)

    async def send_crashing() -> None:
        for number in itertools.count():
            send(number % 2, _CRASHING_PART, "with the part")
            await asyncio.sleep(_CRASHING_INTERVAL_S)

    sound = world.spawn(send_sound())
    await asyncio.sleep(_FIRST_CRASHING_S)
    begun = world.note("the first request with the part is sent")
    crashing = world.spawn(send_crashing())
    await asyncio.sleep(_END_S - _FIRST_CRASHING_S)
    ended = world.note("the last requests have been sent")
    for each in (sound, crashing):
        each.cancel()
    await asyncio.wait(requests)
    return _judge(world, begun, ended)


def _judge(world: world_lib.World, begun: float, ended: float) -> list[str]:
    events = world.seen_by_runners()
    crashes = [each["t"] for each in events if each["what"] == "crashes"]
    world.note("crashes in all", count=len(crashes))
    # Without crashes, the rule has no start; the same time is compared.
    bound_from = (crashes[:5] or [begun])[-1] + _BOUND_S
    started = {each["request"] for each in events if each["what"] == "begins"}

    def count(from_t: float, to_t: float) -> tuple[int, int]:
        sent = [
            each["request"]
            for each in world.answers
            if each["kind"] == "sound" and from_t <= each["sent"] < to_t
        ]
        return len(sent), sum(each in started for each in sent)

    sent_before, begun_before = count(0.0, begun)
    sent_after, begun_after = count(bound_from, ended)
    world.note(
        "sound requests that began",
        before=f"{begun_before}/{sent_before}",
        after=f"{begun_after}/{sent_after}",
    )
    if min(sent_before, sent_after) < _MIN_COMPARED:
        raise RuntimeError("too few sound requests to compare")
    if 2 * begun_after * sent_before >= begun_before * sent_after:
        return []
    return [
        f"LOST: from {_BOUND_S:g} s after the last of {len(crashes)} crashes, "
        f"{begun_after} of {sent_after} sound requests began at the first "
        f"attempt; before the first, {begun_before} of {sent_before}"
    ]


if __name__ == "__main__":
    world_lib.run_case(__file__, _play)
