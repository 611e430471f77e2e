"""Demonstrates the gateways on the platform: `python -m soak.demo`.

Runs gateways, engines, plain services and the store as separate processes
under a short load on all routes, and rolls out a new weights version during
the load.
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

from soak import callers, checks
from soak import fleet as fleet_lib

_CALLER_COUNT = 6
_LOAD_DURATION_S = 2.0
# Users require a new weights version on all engines within this time.
_ROLLOUT_TARGET_S = 8.0
_POLL_INTERVAL_S = 0.1


async def run(folder: pathlib.Path) -> list[str]:
    """Runs the demo and returns the violations of guarantees.

    Args:
        folder: Directory for settings and logs.
    """
    fleet = fleet_lib.Fleet(folder, 1 + os.getpid() % fleet_lib.NETWORK_COUNT)
    results: list[callers.RequestResult] = []
    stopping = asyncio.Event()
    try:
        await fleet.start()
        tasks = [
            asyncio.ensure_future(
                callers.run_caller(
                    fleet,
                    f"c{number}",
                    random.Random(number),
                    stopping,
                    results.append,
                )
            )
            for number in range(_CALLER_COUNT)
        ]
        await asyncio.sleep(_LOAD_DURATION_S)
        rollout_s = await _measure_weights_rollout(fleet)
        await asyncio.sleep(_LOAD_DURATION_S)
        stopping.set()
        await asyncio.gather(*tasks)
        arrivals = await fleet.arrivals()
    finally:
        await fleet.close()
    _print_outcomes(results)
    violations = checks.find_violations(results, arrivals)
    if rollout_s is None:
        return [
            *violations,
            f"new weights not on all engines within {_ROLLOUT_TARGET_S:g} s",
        ]
    print(f"new weights on all engines after {rollout_s:.1f} s")
    return violations


async def _measure_weights_rollout(fleet: fleet_lib.Fleet) -> float | None:
    """Returns the time until all engines have a new weights version.

    Returns None if this takes longer than the target.
    """
    loop = asyncio.get_running_loop()
    published_s = loop.time()
    await fleet.publish_weights_version()
    while loop.time() - published_s < _ROLLOUT_TARGET_S:
        if await fleet.engines_updated():
            return loop.time() - published_s
        await asyncio.sleep(_POLL_INTERVAL_S)
    return None


def _print_outcomes(results: Sequence[callers.RequestResult]) -> None:
    outcomes = collections.Counter(
        (each.route, each.status) for each in results
    )
    print("responses of the gateways, by route and status")
    for (route, status), count in sorted(outcomes.items()):
        print(f"  {route} {status or 'none'}: {count}")


def main() -> None:
    """Runs the demo and exits with 1 if a guarantee was violated."""
    with tempfile.TemporaryDirectory(prefix="demo-") as folder:
        violations = asyncio.run(run(pathlib.Path(folder)))
    for line in violations:
        print(f"demo: {line}", file=sys.stderr)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
