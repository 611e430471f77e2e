"""Plans of a soak: what is done to its processes, and who calls them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import ClassVar

from hibiscusstile import registry
from soak import (
    actions,
    balancer,
    builders,
    callers,
    checks,
    faults,
    keptcallers,
    planned,
    servermoves,
)
from soak import fleet as fleet_lib

__all__ = ["Plan", "plans"]

_Record = Callable[[callers.RequestResult], None]


class Plan:
    """A kind of soak.

    Attributes:
        name: Name of the plan.
        aliases: Alternative names.
        layout: The processes.
        work: What is done to them.
        gap_s: Shortest and longest time between the starts of two actions.
        caller_count: Number of callers.
        recovery_s: Time between the end of the last action and the last
            requests.
        ready_within_s: Time after the last action in which all gateways must
            serve requests; the time of recovery then begins. 0 if it begins
            at once.
        min_served_share: Share of the last requests that must be served.
    """

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()
    layout: ClassVar[builders.Layout]
    work: ClassVar[actions.Registry]
    gap_s: ClassVar[tuple[float, float]]
    caller_count: ClassVar[int]
    recovery_s: ClassVar[float]
    ready_within_s: ClassVar[float] = 0.0
    min_served_share: ClassVar[float] = checks.MIN_SERVED_SHARE

    async def run_callers(
        self,
        fleet: fleet_lib.Fleet,
        rng: random.Random,
        stopping: asyncio.Event,
        record_result: _Record,
    ) -> None:
        """Runs the callers until stopped.

        Args:
            fleet: The processes.
            rng: Random numbers of the soak's seed.
            stopping: Set when no further request may be sent.
            record_result: Gets the result of each request.
        """
        raise NotImplementedError


plans: registry.Registry[Plan] = registry.Registry("plan")


@plans.register()
class MixedPlan(Plan):
    """Faults beside planned work."""

    name = "mixed"
    layout = builders.MIXED_LAYOUT
    work = faults.FAULTS
    gap_s = (0.3, 1.5)
    caller_count = 12
    recovery_s = 16.0

    async def run_callers(
        self,
        fleet: fleet_lib.Fleet,
        rng: random.Random,
        stopping: asyncio.Event,
        record_result: _Record,
    ) -> None:
        """Runs callers that choose a gateway for each request."""
        await asyncio.gather(
            *(
                callers.run_caller(
                    fleet,
                    f"c{number}",
                    random.Random(rng.random()),
                    stopping,
                    record_result,
                )
                for number in range(self.caller_count)
            )
        )


@plans.register()
class PlannedPlan(Plan):
    """Planned work only."""

    name = "planned"
    layout = builders.PLANNED_LAYOUT
    work = planned.PLANNED_WORK
    gap_s = (0.3, 2.5)
    caller_count = 24
    recovery_s = 5.0
    mix: ClassVar[keptcallers.RouteMix] = keptcallers.RouteMix()

    async def run_callers(
        self,
        fleet: fleet_lib.Fleet,
        rng: random.Random,
        stopping: asyncio.Event,
        record_result: _Record,
    ) -> None:
        """Runs callers that stay with a gateway while it lets them."""
        gateway_balancer = balancer.Balancer(fleet)
        checks = asyncio.ensure_future(gateway_balancer.run())
        try:
            await asyncio.gather(
                *(
                    keptcallers.run_caller(
                        gateway_balancer,
                        f"c{number}",
                        random.Random(rng.random()),
                        stopping,
                        record_result,
                        self.mix,
                    )
                    for number in range(self.caller_count)
                )
            )
        finally:
            checks.cancel()


@plans.register()
class SilentPlan(PlannedPlan):
    """Planned work beside backend servers that are silent for seconds."""

    name = "silent"
    layout = builders.SILENT_LAYOUT
    work = servermoves.SERVER_WORK
    # The first order of weights may come 7 s after the start of the gateways.
    recovery_s = 10.0
    # Gateways took up to 15 s from their start to their first log line on a
    # machine with load average 25.
    ready_within_s = 30.0
    # Gateways refuse requests to servers that are expected to miss the target
    # latency, as servers are that were silent before their last events.
    min_served_share = 0.5
    mix = keptcallers.RouteMix(("statement", "transfer", "essay", "novel"))


@plans.register()
class SilentWidePlan(SilentPlan):
    """The silent plan with many processes."""

    name = "silent-wide"
    layout = builders.SILENT_WIDE_LAYOUT
    caller_count = 60
