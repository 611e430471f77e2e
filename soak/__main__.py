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

from soak import callers, checks, faults
from soak import fleet as fleet_lib

_CALLER_COUNT = 12
# Time for recovery between the last fault and the last requests.
_RECOVERY_TIME_S = 16.0


async def run(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Runs one soak and returns the violations of guarantees.

    Args:
        seed: Seed of the random faults and requests.
        seconds: Duration of the fault injection.
        folder: Directory for settings and logs.
    """
    rng = random.Random(seed)
    fleet = fleet_lib.Fleet(
        folder, 1 + (seed + 31 * os.getpid()) % fleet_lib.NETWORK_COUNT
    )
    results: list[callers.RequestResult] = []
    injected: list[str] = []
    stop_faults, stop_callers = asyncio.Event(), asyncio.Event()
    try:
        await fleet.start()
        tasks = [
            asyncio.ensure_future(
                callers.run_caller(
                    fleet,
                    f"c{number}",
                    random.Random(rng.random()),
                    stop_callers,
                    results.append,
                )
            )
            for number in range(_CALLER_COUNT)
        ]
        injection = asyncio.ensure_future(
            faults.inject(fleet, rng, stop_faults, injected)
        )
        await asyncio.sleep(seconds)
        stop_faults.set()
        await injection
        await asyncio.sleep(_RECOVERY_TIME_S)
        stop_callers.set()
        await asyncio.gather(*tasks)
        arrivals = await fleet.arrivals()
    finally:
        await fleet.close()
    served = sum(each.status == 200 for each in results)
    print(
        f"seed {seed}: {len(results)} requests, {served} served, "
        f"{len(injected)} faults: {' '.join(injected)}"
    )
    return checks.find_violations(results, arrivals)


def main() -> None:
    """Runs a soak and exits with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--keep", type=pathlib.Path)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    violations = asyncio.run(run(options.seed, options.seconds, folder))
    for line in violations:
        print(line)
    if violations and options.keep is not None:
        shutil.copytree(folder, options.keep / f"seed-{options.seed}")
    shutil.rmtree(folder)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
