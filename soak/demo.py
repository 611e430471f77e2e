"""Shows the platform's path: `python -m soak.demo`.

Gateways, engines, plain services and the store run as processes of their own;
callers send a short mixed load, while operators name new weights.
"""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import random
import sys
import tempfile
from collections.abc import Sequence

from soak import callers, checks, world

_CALLERS = 6
_LOAD_S = 2.0
# Today's users want new weights on all engines within 8 s.
_WEIGHTS_S = 8.0
_POLL_S = 0.1


async def run(folder: pathlib.Path) -> list[str]:
    """Runs the demo and returns a line for each fault found.

    Args:
        folder: For settings and logs.
    """
    scene = world.World(folder, 1 + os.getpid() % world.NETWORKS)
    seen: list[callers.Seen] = []
    stopping = asyncio.Event()
    try:
        await scene.start()
        tasks = [
            asyncio.ensure_future(
                callers.run_caller(
                    scene,
                    f"c{number}",
                    random.Random(number),
                    stopping,
                    seen.append,
                )
            )
            for number in range(_CALLERS)
        ]
        await asyncio.sleep(_LOAD_S)
        changed_s = await _change_weights(scene)
        await asyncio.sleep(_LOAD_S)
        stopping.set()
        await asyncio.gather(*tasks)
        arrivals = await scene.arrivals()
    finally:
        await scene.close()
    _print_outcomes(seen)
    faults = checks.find_broken(seen, arrivals)
    if changed_s is None:
        return [*faults, f"engines lack new weights after {_WEIGHTS_S:g} s"]
    print(f"new weights on all engines after {changed_s:.1f} s")
    return faults


async def _change_weights(scene: world.World) -> float | None:
    """Names new weights and returns the time until all engines have them."""
    loop = asyncio.get_running_loop()
    named_s = loop.time()
    await scene.name_weights()
    while loop.time() - named_s < _WEIGHTS_S:
        if await scene.engines_changed():
            return loop.time() - named_s
        await asyncio.sleep(_POLL_S)
    return None


def _print_outcomes(seen: Sequence[callers.Seen]) -> None:
    outcomes = collections.Counter((each.kind, each.status) for each in seen)
    print("answers on the platform's path, by kind and status")
    for (kind, status), count in sorted(outcomes.items()):
        print(f"  {kind} {status or 'none'}: {count}")


def main() -> None:
    """Entry point of the program."""
    with tempfile.TemporaryDirectory(prefix="demo-") as folder:
        faults = asyncio.run(run(pathlib.Path(folder)))
    for line in faults:
        print(f"demo: {line}", file=sys.stderr)
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
