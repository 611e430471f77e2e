"""Faults that a soak injects into its processes and connections.

Seeds draw faults by function name, so that a renamed function changes the
faults of every seed.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from soak import fleet as fleet_lib

__all__ = ["FAULTS", "inject"]

_FaultFunction: TypeAlias = Callable[
    [fleet_lib.Fleet, random.Random], Awaitable[None]
]
FAULTS: dict[str, _FaultFunction] = {}
_STOP_GRACE_S = 8.0


def _register(function: _FaultFunction) -> _FaultFunction:
    FAULTS[function.__name__] = function
    return function


async def inject(
    fleet: fleet_lib.Fleet,
    rng: random.Random,
    stopping: asyncio.Event,
    injected: list[str],
) -> None:
    """Injects random faults, which may overlap, until stopped.

    Returns when the last fault has been reverted. The names of the injected
    faults are appended to `injected`.
    """
    running: set[asyncio.Task[None]] = set()
    while not stopping.is_set():
        name = rng.choice(sorted(FAULTS))
        injected.append(name)
        task = asyncio.ensure_future(FAULTS[name](fleet, rng))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(rng.uniform(0.3, 1.5))
    await asyncio.gather(*running)


@_register
async def kill_gateway(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Kills a gateway and restarts it after a short downtime."""
    gateway = rng.choice(fleet.gateways)
    async with gateway.restart_lock:
        gateway.kill()
        await asyncio.sleep(rng.uniform(0.1, 0.6))
        gateway.start()


@_register
async def stop_gateway(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Restarts a gateway with SIGTERM, and SIGKILL after a grace period."""
    gateway = rng.choice(fleet.gateways)
    async with gateway.restart_lock:
        gateway.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + _STOP_GRACE_S
        while gateway.running and loop.time() < deadline_s:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        gateway.kill()
        gateway.start()


@_register
async def pause_gateway(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Suspends a gateway with SIGSTOP for up to 3 s."""
    gateway = rng.choice(fleet.gateways)
    gateway.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    gateway.send_signal(signal.SIGCONT)


@_register
async def reload_gateway(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Reloads the settings of a gateway with SIGHUP."""
    rng.choice(fleet.gateways).send_signal(signal.SIGHUP)


@_register
async def cut_store(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Blocks one direction of the connections to the store."""
    fleet.store_proxy.block(rng.choice(("up", "down")))
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    fleet.store_proxy.restore()


@_register
async def refuse_store(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Resets the connections to the store and refuses new ones."""
    fleet.store_proxy.refuse_connections = True
    fleet.store_proxy.reset()
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    fleet.store_proxy.restore()


@_register
async def slow_server(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Delays traffic to and from a backend server."""
    server_proxy = rng.choice(fleet.server_proxies)
    server_proxy.delay_s = rng.uniform(0.05, 0.3)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    server_proxy.restore()


@_register
async def cut_server(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Blocks one direction to a backend server, then resets its connections."""
    server_proxy = rng.choice(fleet.server_proxies)
    server_proxy.block(rng.choice(("up", "down")))
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    server_proxy.reset()
    server_proxy.restore()


@_register
async def reset_server(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Resets the connections to a backend server."""
    rng.choice(fleet.server_proxies).reset()


@_register
async def spoil_answers(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Makes a backend server send faulty responses for up to 1 s."""
    server_index = rng.randrange(len(fleet.server_proxies))
    mode = rng.choice(
        ("full", "error", "lose_answer", "cut", "unframed_reset", "twice")
    )
    await fleet.set_server_fault(server_index, "misbehave_always", mode)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    await fleet.set_server_fault(server_index, "misbehave_always", "")


@_register
async def change_configuration(
    fleet: fleet_lib.Fleet, rng: random.Random
) -> None:
    """Publishes a new configuration version."""
    del rng
    await fleet.publish_configuration()


@_register
async def name_weights(fleet: fleet_lib.Fleet, rng: random.Random) -> None:
    """Publishes a new weights version of the model."""
    del rng
    await fleet.publish_weights_version()
