"""Faults that a soak injects into its processes and connections.

Seeds draw faults by function name, so that a renamed function changes the
faults of every seed.
"""

from __future__ import annotations

import asyncio
import random
import signal

from soak import actions, worklog
from soak import fleet as fleet_lib

__all__ = ["FAULTS"]

FAULTS = actions.Registry()


@FAULTS.unplanned
async def kill_gateway(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Kills a gateway and restarts it after a short downtime."""
    gateway = rng.choice(fleet.gateways)
    async with gateway.restart_lock:
        gateway.kill()
        await asyncio.sleep(rng.uniform(0.1, 0.6))
        gateway.start()


@FAULTS.planned
async def stop_gateway(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Restarts a gateway with SIGTERM, and SIGKILL after a grace period."""
    gateway = rng.choice(fleet.gateways)
    await actions.restart(fleet, gateway, log)


@FAULTS.unplanned
async def pause_gateway(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Suspends a gateway with SIGSTOP for up to 3 s."""
    gateway = rng.choice(fleet.gateways)
    gateway.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    gateway.send_signal(signal.SIGCONT)


@FAULTS.planned
async def reload_gateway(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Reloads the settings of a gateway with SIGHUP."""
    gateway = rng.choice(fleet.gateways)
    log.note_reload(fleet.address_of(gateway))
    gateway.send_signal(signal.SIGHUP)


@FAULTS.unplanned
async def cut_store(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Blocks one direction of the connections to the store."""
    fleet.store_proxy.block(rng.choice(("up", "down")))
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    fleet.store_proxy.restore()


@FAULTS.unplanned
async def refuse_store(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Resets the connections to the store and refuses new ones."""
    fleet.store_proxy.refuse_connections = True
    fleet.store_proxy.reset()
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    fleet.store_proxy.restore()


@FAULTS.unplanned
async def slow_server(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Delays traffic to and from a backend server."""
    server_proxy = rng.choice(fleet.server_proxies)
    server_proxy.delay_s = rng.uniform(0.05, 0.3)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    server_proxy.restore()


@FAULTS.unplanned
async def cut_server(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Blocks one direction to a backend server, then resets its connections."""
    server_proxy = rng.choice(fleet.server_proxies)
    server_proxy.block(rng.choice(("up", "down")))
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    server_proxy.reset()
    server_proxy.restore()


@FAULTS.unplanned
async def reset_server(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Resets the connections to a backend server."""
    rng.choice(fleet.server_proxies).reset()


@FAULTS.unplanned
async def spoil_answers(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Makes a backend server send faulty responses for up to 1 s."""
    server_index = rng.randrange(len(fleet.server_proxies))
    mode = rng.choice(
        ("full", "error", "lose_answer", "cut", "unframed_reset", "twice")
    )
    await fleet.set_server_fault(server_index, "misbehave_always", mode)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    await fleet.set_server_fault(server_index, "misbehave_always", "")


@FAULTS.planned
async def change_configuration(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Publishes a new configuration version."""
    del rng
    log.note_change()
    await fleet.publish_configuration()


@FAULTS.planned
async def name_weights(
    fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
) -> None:
    """Publishes a new weights version of the model."""
    del rng
    log.note_change()
    await fleet.publish_weights_version()
