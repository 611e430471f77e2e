"""Planned work on gateways while backend servers leave or restart."""

from __future__ import annotations

import asyncio
import random

from soak import actions, planned, worklog
from soak import fleet as fleet_lib

__all__ = ["SERVER_WORK"]

SERVER_WORK = actions.Registry(planned.PLANNED_WORK)

# Range of the time from a gateway's stop signal to the server's move.
_MOVE_DELAY_S = (0.0, 4.0)


@SERVER_WORK.planned
async def stop_while_server_leaves(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Restarts a gateway while a server is listed as draining."""
    number = rng.randrange(len(fleet.server_proxies))
    stopping = asyncio.ensure_future(planned.stop_one(fleet, rng, log))
    await asyncio.sleep(rng.uniform(*_MOVE_DELAY_S))
    log.note_change()
    await fleet.list_server(number, "draining")
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    log.note_change()
    await fleet.list_server(number, "ready")
    await stopping


@SERVER_WORK.planned
async def stop_while_server_restarts(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Restarts a gateway while a server drops its connections."""
    number = rng.randrange(len(fleet.server_proxies))
    stopping = asyncio.ensure_future(planned.stop_one(fleet, rng, log))
    await asyncio.sleep(rng.uniform(*_MOVE_DELAY_S))
    log.note_break(number)
    await fleet.crash_server(number, rng.uniform(0.1, 0.6))
    await stopping
