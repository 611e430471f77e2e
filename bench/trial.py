"""Runs one sequence of arrivals on a simulated fleet under one policy."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from bench import assumptions, entries, runner, simulation, traffic

__all__ = [
    "SimulatedFleet",
    "Timeline",
    "TrialResult",
    "build_timeline",
    "run_trial",
]

_DRAIN_S = 600.0  # virtual time for open requests after the last arrival
DEFAULT_POLICY = "bidding"


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The base traffic of a seed.

    Attributes:
        source: Generator of the base requests.
        arrivals: Base requests in order of arrival.
        measured_from_s: Start of the measurement, after the warm-up.
        disturbed_at_s: Time at which scenarios disturb the fleet.
        last_arrival_s: Arrival of the last base request.
        rate: Mean arrivals per second.
    """

    source: traffic.TrafficSource
    arrivals: Sequence[traffic.Arrival]
    measured_from_s: float
    disturbed_at_s: float
    last_arrival_s: float
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class TrialResult:
    """Results of a run.

    Attributes:
        results: One for each request, in order of arrival.
        stale_bids: Bids that counted on the cache of a crashed engine.
        overstated_tokens: Tokens that cache views reported but engines did not
            have.
        understated_tokens: Tokens that engines reused but cache views did not
            report.
        served_tokens: Function of rank, start and end that returns the tokens
            computed for the rank in this window.
    """

    results: Sequence[entries.RequestResult]
    stale_bids: int
    overstated_tokens: int
    understated_tokens: int
    served_tokens: Callable[[str, float, float], int]


class SimulatedFleet:
    """Runners and entries of a run, which disturbances act on."""

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
    request_count: int,
    *,
    load: float | None = None,
    shift_hot_share: float | None = None,
) -> Timeline:
    """Returns the base traffic of a seed.

    Args:
        fleet: The fleet's configuration.
        seed: Random seed of requests and arrivals.
        request_count: Number of requests.
        load: Offered load as a share of capacity; the fleet's if None.
        shift_hot_share: If given, other prefixes become hot at the time of the
            disturbance and get this share of the requests from then on.
    """
    source = traffic.TrafficSource(fleet, seed)
    disturbed_index = int(request_count * fleet.disturbances.at_share)
    requests = []
    for index in range(request_count):
        if index and index % fleet.traffic.hot_requests == 0:
            source.change_hot_prefixes()
        if index == disturbed_index and shift_hot_share is not None:
            source.change_hot_prefixes()
        share = shift_hot_share if index >= disturbed_index else None
        requests.append(source.draw(hot_share=share))
    engine_s = sum(traffic.engine_seconds(fleet, requests)) / request_count
    rate = (load or fleet.traffic.load) * fleet.runners / engine_s
    rng = random.Random(f"{seed}/arrivals")
    arrivals = traffic.schedule_arrivals(fleet, requests, rng, rate)
    return Timeline(
        source,
        arrivals,
        arrivals[int(request_count * fleet.traffic.warmup_share)].arrival_s,
        arrivals[disturbed_index].arrival_s,
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
    disturb: Callable[[SimulatedFleet], None] | None = None,
    disturb_at_s: float = 0.0,
) -> TrialResult:
    """Simulates the arrivals and the work that is left after the last one.

    Args:
        fleet: The fleet's configuration.
        seed: Random seed of load balancing and lost cache events.
        arrivals: Requests with their arrival times.
        policy: Name of the routing policy in its registry.
        options: The policy's options.
        disturb: Function called with the simulated fleet at `disturb_at_s`.
        disturb_at_s: Virtual time of the disturbance.
    """
    sim = simulation.Simulation()
    simulated_fleet = SimulatedFleet(sim, fleet, seed, policy, options or {})
    balancer_rng = random.Random(f"{seed}/balancer")
    by_arrival = sorted(arrivals, key=lambda each: each.arrival_s)
    results = [
        entries.RequestResult(each.request, each.arrival_s)
        for each in by_arrival
    ]
    for result in results:
        entry = balancer_rng.choice(simulated_fleet.entries)
        sim.spawn(entry.handle(result), result.arrival_s)
    if disturb is not None:
        sim.spawn(_run_disturbance(simulated_fleet, disturb), disturb_at_s)
    sim.run(by_arrival[-1].arrival_s + _DRAIN_S)
    return TrialResult(
        results,
        sum(each.stale_bids for each in simulated_fleet.runners),
        sum(each.overstated_tokens for each in simulated_fleet.runners),
        sum(each.understated_tokens for each in simulated_fleet.runners),
        lambda rank, start_s, end_s: sum(
            each.engine.served_tokens(rank, start_s, end_s)
            for each in simulated_fleet.runners
        ),
    )


def _run_disturbance(
    simulated_fleet: SimulatedFleet, disturb: Callable[[SimulatedFleet], None]
) -> simulation.Process:
    disturb(simulated_fleet)
    yield 0.0
