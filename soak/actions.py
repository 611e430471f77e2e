"""Actions of a soak, such as faults and planned work, and their injection."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from soak import builders, worklog
from soak import fleet as fleet_lib

__all__ = ["Action", "Registry", "inject", "restart"]

Action: TypeAlias = Callable[
    [fleet_lib.Fleet, random.Random, worklog.WorkLog], Awaitable[None]
]
_POLL_INTERVAL_S = 0.05


class Registry:
    """Actions by function name, filled by decorators.

    Args:
        inherited: Registry whose actions are in this one too.
    """

    def __init__(self, inherited: Registry | None = None) -> None:
        self._actions = dict(inherited.actions) if inherited else {}

    @property
    def actions(self) -> dict[str, Action]:
        """The registered actions."""
        return dict(self._actions)

    def planned(self, action: Action) -> Action:
        """Registers planned work, which must not lose requests."""
        self._actions[action.__name__] = action
        return action

    def unplanned(self, action: Action) -> Action:
        """Registers a fault, around which lost requests are excused."""

        async def run(
            fleet: fleet_lib.Fleet, rng: random.Random, log: worklog.WorkLog
        ) -> None:
            with log.unplanned():
                await action(fleet, rng, log)

        self._actions[action.__name__] = run
        return action


async def inject(
    registry: Registry,
    gap_s: tuple[float, float],
    fleet: fleet_lib.Fleet,
    rng: random.Random,
    stopping: asyncio.Event,
    log: worklog.WorkLog,
) -> None:
    """Runs random actions, which may overlap, until stopped.

    Returns when the last action has ended.

    Args:
        registry: The actions.
        gap_s: Shortest and longest time between the starts of two actions.
        fleet: The processes.
        rng: Random numbers of the soak's seed.
        stopping: Set when no further action may start.
        log: Records the actions.
    """
    actions = registry.actions
    running: set[asyncio.Task[None]] = set()
    while not stopping.is_set():
        name = rng.choice(sorted(actions))
        log.note_action(name)
        task = asyncio.ensure_future(actions[name](fleet, rng, log))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(rng.uniform(*gap_s))
    await asyncio.gather(*running)


async def restart(
    fleet: fleet_lib.Fleet,
    gateway: fleet_lib.ManagedProcess,
    log: worklog.WorkLog,
    second_signal_s: float | None = None,
) -> None:
    """Restarts a gateway with SIGTERM, and SIGKILL after the grace period.

    Args:
        fleet: The processes.
        gateway: The gateway.
        log: Records the stop.
        second_signal_s: Time after the first SIGTERM at which a second one is
            sent, if any.
    """
    async with gateway.restart_lock:
        log.note_stop(fleet.address_of(gateway))
        gateway.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        signalled_s = loop.time()
        while gateway.running and loop.time() < signalled_s + builders.GRACE_S:
            if (
                second_signal_s is not None
                and loop.time() >= signalled_s + second_signal_s
            ):
                gateway.send_signal(signal.SIGTERM)
                second_signal_s = None
            await asyncio.sleep(_POLL_INTERVAL_S)
        gateway.kill()
        gateway.start()
