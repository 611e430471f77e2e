"""A tenant becomes isolated while its prompt parts are kept at runners."""

from __future__ import annotations

import asyncio
import itertools
import sys
from typing import Any

sys.path.insert(0, __file__.rsplit("/", 2)[0])

from common import world as world_lib

_CONFIG_APPLY_S = 2.0
_DOCUMENTS = [f"d0c{number:05x}" for number in range(6)]
_INTERVAL_S = 0.1
_CHANGE_S = 4.0
_END_S = 12.0


def _configuration(version: int, *, isolated: bool) -> dict[str, Any]:
    return world_lib.configuration(
        version,
        [
            world_lib.route(
                "summary", "streaming", "model", target_latency_ms=1500
            )
        ],
        [
            world_lib.tenant("family", "key-a", isolated=isolated),
            world_lib.tenant("desk", "key-b"),
        ],
    )


async def _play(world: world_lib.World) -> list[str]:
    runners = [
        world_lib.Runner(f"i-{number}", "model", ("z1", "z2")[number % 2], {})
        for number in range(6)
    ]
    await world.start(runners, _configuration(3, isolated=False))
    requests: list[asyncio.Task[Any]] = []
    numbers = itertools.count(1)

    async def send(key: str) -> None:
        for number in itertools.count():
            document = _DOCUMENTS[number % len(_DOCUMENTS)]
            parts = [(document, 13_300), (f"f{next(numbers):06x}", 300)]
            requests.append(
                world.spawn(
                    world.request(
                        (number // len(_DOCUMENTS)) % 2,
                        "/summary/",
                        kind=key,
                        key=key,
                        parts=parts,
                    )
                )
            )
            await asyncio.sleep(_INTERVAL_S)

    # Both tenants read the same documents, the family first.
    family = world.spawn(send("key-a"))
    await asyncio.sleep(_CHANGE_S)
    confirmed = float("inf")
    if world_lib.trouble():
        await world.put("keyed.op", "config", _configuration(8, isolated=True))
        confirmed = world.note("the tenant family is isolated (confirmed)")
    await asyncio.sleep(_CONFIG_APPLY_S + 1.0)
    desk = world.spawn(send("key-b"))
    await asyncio.sleep(_END_S - _CHANGE_S - _CONFIG_APPLY_S - 1.0)
    for each in (family, desk):
        each.cancel()
    await asyncio.wait(requests)
    return _judge(world, confirmed + _CONFIG_APPLY_S)


def _judge(world: world_lib.World, bound_from: float) -> list[str]:
    sent = {each["request"]: each["sent"] for each in world.answers}
    foreign = [
        each
        for each in world.seen_by_runners()
        if each["what"] == "begins"
        and sent[each["request"]] > bound_from
        and any(part["made_by"] != each["tenant"] for part in each["used"])
    ]
    if not foreign:
        return []
    return [
        f"WALL: {len(foreign)} requests that were sent more than "
        f"{_CONFIG_APPLY_S:g} s after the confirmation that the tenant family "
        "is isolated used KV cache of the other tenant's requests, first "
        f"{foreign[0]['request']} of tenant {foreign[0]['tenant']}"
    ]


if __name__ == "__main__":
    world_lib.run_case(__file__, _play)
