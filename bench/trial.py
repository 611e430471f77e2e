"""One run of one traffic over one fleet under one policy."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from bench import assumptions, entries, runner, simulation, traffic

__all__ = ["Outcome", "Plant", "Timeline", "build_timeline", "run_trial"]

_DRAIN_S = 600.0
DEFAULT_POLICY = "bidding"


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The base traffic of a seed.

    Attributes:
        source: Draws further arrivals.
        arrivals: Base arrivals in order of arrival.
        start_s: When the measurement starts.
        event_s: When scenarios disturb the fleet.
        end_s: When the last base request arrives.
        rate: Mean arrivals per second.
    """

    source: traffic.TrafficSource
    arrivals: Sequence[traffic.Arrival]
    start_s: float
    event_s: float
    end_s: float
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a run gave.

    Attributes:
        results: One for each request, in order of arrival.
        stale_bids: Bids that relied on a dead engine's cache.
        overstated_tokens: Tokens that views reported and engines lacked.
        understated_tokens: Tokens that engines reused, not reported.
        served_tokens: Returns tokens computed for a rank in a window.
    """

    results: Sequence[entries.Result]
    stale_bids: int
    overstated_tokens: int
    understated_tokens: int
    served_tokens: Callable[[str, float, float], int]


class Plant:
    """The running fleet, for disturbances."""

    def __init__(
        self,
        sim: simulation.Simulation,
        fleet: assumptions.Fleet,
        seed: int,
        policy: str,
        options: Mapping[str, Any],
    ) -> None:
        self.sim = sim
        self.fleet = fleet
        self.runners = [
            runner.Runner(
                sim,
                fleet,
                f"runner{index}",
                index % fleet.zones,
                random.Random(f"{seed}/{index}"),
            )
            for index in range(fleet.runners)
        ]
        self.entries = [
            entries.Entry(
                sim, fleet, index % fleet.zones, self.runners, policy, options
            )
            for index in range(fleet.entries)
        ]


def build_timeline(
    fleet: assumptions.Fleet,
    seed: int,
    count: int,
    *,
    load: float | None = None,
    shift_hot_share: float | None = None,
) -> Timeline:
    """Returns the base traffic of a seed.

    Args:
        fleet: The assumptions.
        seed: Seed of everything.
        count: Number of arrivals.
        load: Share of capacity; the fleet's if None.
        shift_hot_share: Share of the hot prefixes after the disturbance,
            where other prefixes turn hot at its time.
    """
    source = traffic.TrafficSource(fleet, seed)
    event_index = int(count * fleet.disturbances.at_share)
    requests = []
    for index in range(count):
        if index and index % fleet.traffic.hot_requests == 0:
            source.shift_hot()
        if index == event_index and shift_hot_share is not None:
            source.shift_hot()
        share = shift_hot_share if index >= event_index else None
        requests.append(source.draw(hot_share=share))
    busy_s = sum(traffic.engine_seconds(fleet, requests)) / count
    rate = (load or fleet.traffic.load) * fleet.runners / busy_s
    rng = random.Random(f"{seed}/arrivals")
    arrivals = traffic.schedule_arrivals(fleet, requests, rng, rate)
    return Timeline(
        source,
        arrivals,
        arrivals[int(count * fleet.traffic.warmup_share)].arrival_s,
        arrivals[event_index].arrival_s,
        arrivals[-1].arrival_s,
        rate,
    )


def run_trial(
    fleet: assumptions.Fleet,
    seed: int,
    arrivals: Sequence[traffic.Arrival],
    policy: str = DEFAULT_POLICY,
    *,
    options: Mapping[str, Any] | None = None,
    disturb: Callable[[Plant], None] | None = None,
    disturb_s: float = 0.0,
) -> Outcome:
    """Runs the arrivals to their ends.

    Args:
        fleet: The assumptions.
        seed: Seed of the event losses.
        arrivals: The traffic.
        policy: Name in the registry of policies.
        options: The policy's options.
        disturb: Called with the fleet at `disturb_s`.
        disturb_s: When.
    """
    sim = simulation.Simulation()
    plant = Plant(sim, fleet, seed, policy, options or {})
    balancer = random.Random(f"{seed}/balancer")
    ordered = sorted(arrivals, key=lambda each: each.arrival_s)
    results = [entries.Result(each.request, each.arrival_s) for each in ordered]
    for result in results:
        entry = balancer.choice(plant.entries)
        sim.spawn(entry.handle(result), result.arrival_s)
    if disturb is not None:
        sim.spawn(_disturbance(plant, disturb), disturb_s)
    sim.run(ordered[-1].arrival_s + _DRAIN_S)
    return Outcome(
        results,
        sum(each.stale_bids for each in plant.runners),
        sum(each.overstated_tokens for each in plant.runners),
        sum(each.understated_tokens for each in plant.runners),
        lambda rank, start_s, end_s: sum(
            each.engine.served_tokens(rank, start_s, end_s)
            for each in plant.runners
        ),
    )


def _disturbance(
    plant: Plant, disturb: Callable[[Plant], None]
) -> simulation.Process:
    disturb(plant)
    yield 0.0
