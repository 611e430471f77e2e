"""Scenarios with overload from one rank or one caller."""

from __future__ import annotations

import collections
import random

from bench import entries, metrics, scenarios, traffic, trial

__all__ = ["FloodRoutine", "FloodUrgent", "LargeCaller"]

_FLOOD_SETTLE_S = 2.0  # start of the flood, excluded from served tokens
_LARGE_CALLER_FACTOR = 20
_LARGE_CALLER = (0, "large")


def _flood_arrivals(
    context: scenarios.ScenarioContext, rank: str, factor: float
) -> list[traffic.Arrival]:
    """Returns arrivals of one rank at `factor` times the fleet's capacity."""
    fleet = context.fleet
    source = traffic.TrafficSource(fleet, f"{context.seed}/flood", "f")
    sample = [source.draw(group="flood", rank=rank) for _ in range(200)]
    engine_s = sum(traffic.engine_seconds(fleet, sample)) / len(sample)
    rate = factor * fleet.runners / engine_s
    request_count = int(rate * fleet.disturbances.flood_s)
    requests = sample[:request_count]
    requests += [
        source.draw(group="flood", rank=rank)
        for _ in range(request_count - len(requests))
    ]
    rng = random.Random(f"{context.seed}/flood_arrivals")
    return traffic.schedule_arrivals(
        fleet, requests, rng, rate, context.timeline.disturbed_at_s
    )


def _run_with(
    context: scenarios.ScenarioContext, extra: list[traffic.Arrival]
) -> trial.TrialResult:
    arrivals = [*context.timeline.arrivals, *extra]
    return trial.run_trial(context.fleet, context.seed, arrivals)


def _is_base(result: entries.RequestResult) -> bool:
    return result.request.group == "base"


def _base_results(
    context: scenarios.ScenarioContext,
    trial_result: trial.TrialResult,
    length_s: float,
) -> list[entries.RequestResult]:
    start_s = context.timeline.disturbed_at_s
    return metrics.in_window(
        trial_result.results, start_s, start_s + length_s, _is_base
    )


@scenarios.scenarios.register()
class FloodRoutine(scenarios.Scenario):
    """Adds routine requests at five times the capacity to the base traffic."""

    name = "flood_routine"

    def run(
        self, context: scenarios.ScenarioContext
    ) -> scenarios.ScenarioResult:
        """Compares urgent requests with the same period without the flood."""
        length_s = context.fleet.disturbances.flood_s
        trial_result = _run_with(
            context, _flood_arrivals(context, "routine", 5)
        )
        during = _base_results(context, trial_result, length_s)
        undisturbed = _base_results(
            context, context.undisturbed_default, length_s
        )
        p95 = metrics.first_token_percentile(during, "urgent", 0.95)
        undisturbed_p95 = metrics.first_token_percentile(
            undisturbed, "urgent", 0.95
        )
        answered = metrics.answered_share(during, "urgent")
        return scenarios.ScenarioResult(
            {
                "urgent_p95_s": p95,
                "urgent_p95_without_s": undisturbed_p95,
                "urgent_answered": answered,
                "routine_answered": metrics.answered_share(during, "routine"),
            },
            [
                scenarios.at_most(
                    "urgent p95 <= 1.25 of without flood",
                    p95,
                    None if undisturbed_p95 is None else 1.25 * undisturbed_p95,
                ),
                scenarios.at_least("urgent answered 1.0", answered, 1.0),
            ],
        )


@scenarios.scenarios.register()
class FloodUrgent(scenarios.Scenario):
    """Adds urgent requests at three times the capacity to the base traffic."""

    name = "flood_urgent"

    def run(
        self, context: scenarios.ScenarioContext
    ) -> scenarios.ScenarioResult:
        """Checks that routine requests keep their share of served tokens."""
        length_s = context.fleet.disturbances.flood_s
        trial_result = _run_with(context, _flood_arrivals(context, "urgent", 3))
        start_s = context.timeline.disturbed_at_s + _FLOOD_SETTLE_S
        served = {
            rank: trial_result.served_tokens(rank, start_s, start_s + length_s)
            for rank in metrics.RANKS
        }
        share = round(served["routine"] / max(1, sum(served.values())), 4)
        during = _base_results(context, trial_result, length_s)
        routine = [r for r in during if r.request.work.rank == "routine"]
        lost = sum(r.accepted and not r.answered for r in routine)
        return scenarios.ScenarioResult(
            {
                "routine_share": share,
                "routine_lost": lost,
                "routine_answered": metrics.answered_share(during, "routine"),
                "urgent_answered": metrics.answered_share(during, "urgent"),
                "urgent_p95_s": metrics.first_token_percentile(
                    during, "urgent", 0.95
                ),
            },
            [
                scenarios.at_least(
                    "routine keeps its share of served tokens",
                    share,
                    context.fleet.ranks["routine"].served_share,
                ),
                scenarios.at_most("accepted routine work lost", lost, 0),
            ],
        )


@scenarios.scenarios.register()
class LargeCaller(scenarios.Scenario):
    """One caller sends 20 times as many requests as the busiest other one."""

    name = "large_caller"

    def run(
        self, context: scenarios.ScenarioContext
    ) -> scenarios.ScenarioResult:
        """Compares the other callers with the undisturbed run."""
        length_s = 2 * context.fleet.disturbances.flood_s
        trial_result = _run_with(
            context, self._caller_arrivals(context, length_s)
        )
        during = _base_results(context, trial_result, length_s)
        undisturbed = _base_results(
            context, context.undisturbed_default, length_s
        )
        scenario_metrics: dict[str, object] = {
            "answered": metrics.answered_share(during)
        }
        targets = [
            scenarios.at_least(
                "small callers answered", metrics.answered_share(during), 1.0
            )
        ]
        for rank in metrics.RANKS:
            p95 = metrics.first_token_percentile(during, rank, 0.95)
            undisturbed_p95 = metrics.first_token_percentile(
                undisturbed, rank, 0.95
            )
            scenario_metrics[f"{rank}_p95_s"] = p95
            scenario_metrics[f"{rank}_p95_without_s"] = undisturbed_p95
            targets.append(
                scenarios.at_most(
                    f"small callers' {rank} p95 <= 1.25 of without",
                    p95,
                    None if undisturbed_p95 is None else 1.25 * undisturbed_p95,
                )
            )
        return scenarios.ScenarioResult(scenario_metrics, targets)

    @staticmethod
    def _caller_arrivals(
        context: scenarios.ScenarioContext, length_s: float
    ) -> list[traffic.Arrival]:
        fleet = context.fleet
        counts = collections.Counter(
            (each.request.work.workspace, each.request.work.caller)
            for each in context.timeline.arrivals
        )
        busiest_rate = max(counts.values()) / context.timeline.last_arrival_s
        rate = _LARGE_CALLER_FACTOR * busiest_rate
        source = traffic.TrafficSource(fleet, f"{context.seed}/large", "l")
        requests = [
            source.draw(group="large", caller=_LARGE_CALLER)
            for _ in range(int(rate * length_s))
        ]
        rng = random.Random(f"{context.seed}/large_arrivals")
        return traffic.schedule_arrivals(
            fleet, requests, rng, rate, context.timeline.disturbed_at_s
        )
