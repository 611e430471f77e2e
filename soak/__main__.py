"""Runs a soak: `python -m soak --seed N --seconds S [--keep FOLDER]`."""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import random
import shutil
import sys
import tempfile

from soak import callers, checks, faults, world

_CALLERS = 12
# Faults end this long before the callers, so that recovery can be seen.
_RECOVERY_S = 16.0


async def run(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Runs one soak and returns the broken promises.

    Args:
        seed: Decides faults and requests.
        seconds: How long faults are injected.
        folder: For settings and logs.
    """
    rng = random.Random(seed)
    scene = world.World(folder, 1 + (seed + 31 * os.getpid()) % world.NETWORKS)
    seen: list[callers.Seen] = []
    injected: list[str] = []
    stop_faults, stop_callers = asyncio.Event(), asyncio.Event()
    try:
        await scene.start()
        tasks = [
            asyncio.ensure_future(
                callers.run_caller(
                    scene,
                    f"c{number}",
                    random.Random(rng.random()),
                    stop_callers,
                    seen.append,
                )
            )
            for number in range(_CALLERS)
        ]
        trouble = asyncio.ensure_future(
            faults.inject(scene, rng, stop_faults, injected)
        )
        await asyncio.sleep(seconds)
        stop_faults.set()
        await trouble
        await asyncio.sleep(_RECOVERY_S)
        stop_callers.set()
        await asyncio.gather(*tasks)
        arrivals = await scene.arrivals()
    finally:
        await scene.close()
    served = sum(each.status == 200 for each in seen)
    print(
        f"seed {seed}: {len(seen)} requests, {served} served, "
        f"{len(injected)} faults: {' '.join(injected)}"
    )
    return checks.find_broken(seen, arrivals)


def main() -> None:
    """Entry point of the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--keep", type=pathlib.Path)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    broken = asyncio.run(run(options.seed, options.seconds, folder))
    for line in broken:
        print(line)
    if broken and options.keep is not None:
        shutil.copytree(folder, options.keep / f"seed-{options.seed}")
    shutil.rmtree(folder)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
