"""Faults that are injected from outside the processes."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from soak import world as world_lib

__all__ = ["FAULTS", "inject"]

_Fault: TypeAlias = Callable[[world_lib.World, random.Random], Awaitable[None]]
FAULTS: dict[str, _Fault] = {}
_GRACE_S = 8.0


def _fault(function: _Fault) -> _Fault:
    FAULTS[function.__name__] = function
    return function


async def inject(
    world: world_lib.World,
    rng: random.Random,
    stopping: asyncio.Event,
    log: list[str],
) -> None:
    """Injects faults in series that overlap until told to stop."""
    running: set[asyncio.Task[None]] = set()
    while not stopping.is_set():
        name = rng.choice(sorted(FAULTS))
        log.append(name)
        task = asyncio.ensure_future(FAULTS[name](world, rng))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(rng.uniform(0.3, 1.5))
    await asyncio.gather(*running)


@_fault
async def kill_gateway(world: world_lib.World, rng: random.Random) -> None:
    """Kills a gateway and starts it again."""
    gateway = rng.choice(world.gateways)
    async with gateway.replacing:
        gateway.end()
        await asyncio.sleep(rng.uniform(0.1, 0.6))
        gateway.start()


@_fault
async def stop_gateway(world: world_lib.World, rng: random.Random) -> None:
    """Stops a gateway gracefully, and kills it after the grace time."""
    gateway = rng.choice(world.gateways)
    async with gateway.replacing:
        gateway.send(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _GRACE_S
        while gateway.running and loop.time() < end_s:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        gateway.end()
        gateway.start()


@_fault
async def pause_gateway(world: world_lib.World, rng: random.Random) -> None:
    """Freezes a gateway for a while."""
    gateway = rng.choice(world.gateways)
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    gateway.send(signal.SIGCONT)


@_fault
async def reload_gateway(world: world_lib.World, rng: random.Random) -> None:
    """Asks a gateway to read its settings again."""
    rng.choice(world.gateways).send(signal.SIGHUP)


@_fault
async def cut_store(world: world_lib.World, rng: random.Random) -> None:
    """Silences one direction to the store."""
    world.store_proxy.silence(rng.choice(("up", "down")))
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    world.store_proxy.heal()


@_fault
async def refuse_store(world: world_lib.World, rng: random.Random) -> None:
    """Resets the store's connections and refuses new ones."""
    world.store_proxy.refusing = True
    world.store_proxy.reset()
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.store_proxy.heal()


@_fault
async def slow_server(world: world_lib.World, rng: random.Random) -> None:
    """Delays what passes to and from a backend server."""
    front = rng.choice(world.server_proxies)
    front.delay_s = rng.uniform(0.05, 0.3)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    front.heal()


@_fault
async def cut_server(world: world_lib.World, rng: random.Random) -> None:
    """Silences a backend server, then resets its connections."""
    front = rng.choice(world.server_proxies)
    front.silence(rng.choice(("up", "down")))
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    front.reset()
    front.heal()


@_fault
async def reset_server(world: world_lib.World, rng: random.Random) -> None:
    """Resets a backend server's connections."""
    rng.choice(world.server_proxies).reset()


@_fault
async def spoil_answers(world: world_lib.World, rng: random.Random) -> None:
    """Makes a backend server answer badly for a while."""
    number = rng.randrange(len(world.server_proxies))
    mode = rng.choice(
        ("full", "error", "lose_answer", "cut", "unframed_reset", "twice")
    )
    await world.fault(number, "misbehave_always", mode)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    await world.fault(number, "misbehave_always", "")


@_fault
async def change_configuration(
    world: world_lib.World, rng: random.Random
) -> None:
    """Writes a newer configuration."""
    del rng
    await world.change_configuration()


@_fault
async def name_weights(world: world_lib.World, rng: random.Random) -> None:
    """Names newer weights."""
    del rng
    await world.name_weights()
