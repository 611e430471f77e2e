"""Planned work that a soak does on its gateways."""

from __future__ import annotations

import asyncio
import random
import signal

from soak import actions, worklog
from soak import fleet as fleet_lib

__all__ = ["PLANNED_WORK"]

PLANNED_WORK = actions.Registry()


@PLANNED_WORK.planned
async def stop_one(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Restarts a gateway."""
    await _restart_free(fleet, rng, log, 1, (0.0, 0.0))


@PLANNED_WORK.planned
async def stop_pair(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Restarts two gateways at the same time."""
    await _restart_free(fleet, rng, log, 2, (0.0, 0.0))


@PLANNED_WORK.planned
async def stop_all(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Restarts all gateways at the same time."""
    await _restart_free(fleet, rng, log, len(fleet.gateways), (0.0, 0.0))


@PLANNED_WORK.planned
async def stop_in_series(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Restarts all gateways; a stop begins while the one before goes on."""
    await _restart_free(fleet, rng, log, len(fleet.gateways), (0.3, 1.5))


@PLANNED_WORK.planned
async def stop_with_second_signal(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Restarts a gateway that gets SIGTERM again during its stop."""
    free = [each for each in fleet.gateways if not each.restart_lock.locked()]
    if free:
        await actions.restart(
            fleet, rng.choice(free), log, rng.uniform(0.05, 6.0)
        )


@PLANNED_WORK.planned
async def reload_changed_bounds(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Reloads a settings file with other bounds, with or without SIGHUP."""
    number = rng.randrange(len(fleet.gateways))
    fleet.write_settings(number, budget_slack=rng.uniform(40.0, 60.0))
    _reload(fleet, number, log, signalled=rng.random() < 0.5)


@PLANNED_WORK.planned
async def reload_moved_store(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Reloads the settings files of all gateways with another store address."""
    other_store = rng.random() < 0.5
    for number in range(len(fleet.gateways)):
        fleet.write_settings(number, other_store=other_store)
        _reload(fleet, number, log, signalled=True)
        await asyncio.sleep(rng.uniform(0.0, 0.3))


@PLANNED_WORK.planned
async def change_configuration(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Publishes a new configuration version."""
    del rng
    log.note_change()
    await fleet.publish_configuration()


@PLANNED_WORK.planned
async def name_weights(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Publishes a new weights version of the model."""
    del rng
    log.note_change()
    await fleet.publish_weights_version()


def _reload(
    fleet: fleet_lib.Fleet,
    number: int,
    log: worklog.WorkLog,
    *,
    signalled: bool,
) -> None:
    gateway = fleet.gateways[number]
    log.note_reload(fleet.address_of(gateway))
    if signalled:
        gateway.send_signal(signal.SIGHUP)


async def _restart_free(
    fleet: fleet_lib.Fleet,
    rng: random.Random,
    log: worklog.WorkLog,
    count: int,
    gap_s: tuple[float, float],
) -> None:
    """Restarts gateways that are not being restarted already."""
    free = [each for each in fleet.gateways if not each.restart_lock.locked()]
    restarts = []
    for gateway in rng.sample(free, min(count, len(free))):
        # Another action may have stopped the gateway since the last pause.
        if not gateway.restart_lock.locked():
            restarts.append(
                asyncio.ensure_future(actions.restart(fleet, gateway, log))
            )
        await asyncio.sleep(rng.uniform(*gap_s))
    await asyncio.gather(*restarts)
