"""Runs a soak.

`python -m soak --seed N --seconds S [--plan NAME] [--keep FOLDER]`
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import os
import pathlib
import random
import shutil
import sys
import tempfile

from soak import actions, callers, checks, losses, plans, worklog
from soak import fleet as fleet_lib

_DEFAULT_PLAN = "mixed"


async def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    plan_name: str = _DEFAULT_PLAN,
) -> list[str]:
    """Runs one soak and returns the violations of guarantees.

    Args:
        seed: Seed of the random actions and requests.
        seconds: Time in which actions start.
        folder: Directory for settings and logs.
        plan_name: Name of the plan.
    """
    plan = plans.plans.get_by_name(plan_name)()
    rng = random.Random(seed)
    fleet = fleet_lib.Fleet(
        folder,
        1 + (seed + 31 * os.getpid()) % fleet_lib.NETWORK_COUNT,
        plan.layout,
        seed,
    )
    log = worklog.WorkLog(asyncio.get_running_loop().time)
    results: list[callers.RequestResult] = []
    stop_work, stop_callers = asyncio.Event(), asyncio.Event()
    try:
        await fleet.start()
        calling = asyncio.ensure_future(
            plan.run_callers(fleet, rng, stop_callers, results.append)
        )
        injection = asyncio.ensure_future(
            actions.inject(plan.work, plan.gap_s, fleet, rng, stop_work, log)
        )
        await asyncio.sleep(seconds)
        stop_work.set()
        await injection
        if plan.ready_within_s:
            await fleet.wait_until_ready(plan.ready_within_s)
        await asyncio.sleep(plan.recovery_s)
        stop_callers.set()
        await calling
        arrivals = await fleet.arrivals()
    finally:
        await fleet.close()
    served = sum(each.status == 200 for each in results)
    unanswered = sum(each.status == 0 or each.body is None for each in results)
    print(
        f"seed {seed}: {len(results)} requests, {served} served, "
        f"{unanswered} without a complete answer, "
        f"{len(log.names)} actions: {' '.join(log.names)}"
    )
    servers: dict[str, set[int]] = collections.defaultdict(set)
    for each in arrivals:
        servers[each["request_id"]].add(each["server"])
    return [
        *checks.find_violations(results, arrivals, plan.min_served_share),
        *losses.find_losses(results, servers, log),
    ]


def main() -> None:
    """Runs a soak and exits with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--plan", choices=plans.plans.names, default=_DEFAULT_PLAN
    )
    parser.add_argument("--keep", type=pathlib.Path)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    violations = asyncio.run(
        run(options.seed, options.seconds, folder, options.plan)
    )
    for line in violations:
        print(line)
    if violations and options.keep is not None:
        shutil.copytree(folder, options.keep / f"seed-{options.seed}")
    shutil.rmtree(folder)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
