"""More work than the fleet can do, from one rank or one caller."""

from __future__ import annotations

import collections
import random

from bench import entries, measures, scenarios, traffic, trial

__all__ = ["FloodRoutine", "FloodUrgent", "LargeCaller"]

_SETTLE_S = 2.0
_LARGE_FACTOR = 20
_LARGE_CALLER = (0, "large")


def _flood(
    context: scenarios.Context, rank: str, factor: float
) -> list[traffic.Arrival]:
    """Returns a flood at `factor` times the fleet's capacity."""
    fleet = context.fleet
    source = traffic.TrafficSource(fleet, f"{context.seed}/flood", "f")
    probe = [source.draw(group="flood", rank=rank) for _ in range(200)]
    busy_s = sum(traffic.engine_seconds(fleet, probe)) / len(probe)
    rate = factor * fleet.runners / busy_s
    count = int(rate * fleet.disturbances.flood_s)
    requests = probe[:count]
    requests += [
        source.draw(group="flood", rank=rank)
        for _ in range(count - len(requests))
    ]
    rng = random.Random(f"{context.seed}/flood_arrivals")
    return traffic.schedule_arrivals(
        fleet, requests, rng, rate, context.timeline.event_s
    )


def _run_with(
    context: scenarios.Context, extra: list[traffic.Arrival]
) -> trial.Outcome:
    arrivals = [*context.timeline.arrivals, *extra]
    return trial.run_trial(context.fleet, context.seed, arrivals)


def _base(result: entries.Result) -> bool:
    return result.request.group == "base"


def _window(
    context: scenarios.Context, outcome: trial.Outcome, length_s: float
) -> list[entries.Result]:
    start_s = context.timeline.event_s
    return measures.select(outcome.results, start_s, start_s + length_s, _base)


@scenarios.scenarios.register()
class FloodRoutine(scenarios.Scenario):
    """Routine work at five times the capacity beside the usual traffic."""

    name = "flood_routine"

    def run(self, context: scenarios.Context) -> scenarios.Row:
        """Compares urgent work with the same time without the flood."""
        length_s = context.fleet.disturbances.flood_s
        outcome = _run_with(context, _flood(context, "routine", 5))
        during = _window(context, outcome, length_s)
        usual = _window(context, context.default, length_s)
        p95 = measures.first_token(during, "urgent", 0.95)
        before = measures.first_token(usual, "urgent", 0.95)
        answered = measures.answered(during, "urgent")
        return scenarios.Row(
            {
                "urgent_p95_s": p95,
                "urgent_p95_without_s": before,
                "urgent_answered": answered,
                "routine_answered": measures.answered(during, "routine"),
            },
            [
                scenarios.at_most(
                    "urgent p95 <= 1.25 of without flood",
                    p95,
                    None if before is None else 1.25 * before,
                ),
                scenarios.at_least("urgent answered 1.0", answered, 1.0),
            ],
        )


@scenarios.scenarios.register()
class FloodUrgent(scenarios.Scenario):
    """Urgent work at three times the capacity beside the usual traffic."""

    name = "flood_urgent"

    def run(self, context: scenarios.Context) -> scenarios.Row:
        """Looks at what routine work keeps."""
        length_s = context.fleet.disturbances.flood_s
        outcome = _run_with(context, _flood(context, "urgent", 3))
        start_s = context.timeline.event_s + _SETTLE_S
        served = {
            rank: outcome.served_tokens(rank, start_s, start_s + length_s)
            for rank in measures.RANKS
        }
        share = round(served["routine"] / max(1, sum(served.values())), 4)
        during = _window(context, outcome, length_s)
        routine = [r for r in during if r.request.work.rank == "routine"]
        lost = sum(r.accepted and not r.answered for r in routine)
        return scenarios.Row(
            {
                "routine_share": share,
                "routine_lost": lost,
                "routine_answered": measures.answered(during, "routine"),
                "urgent_answered": measures.answered(during, "urgent"),
                "urgent_p95_s": measures.first_token(during, "urgent", 0.95),
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
    """One caller sends twenty times as much as the busiest of the others."""

    name = "large_caller"

    def run(self, context: scenarios.Context) -> scenarios.Row:
        """Compares the others with the same time without it."""
        length_s = 2 * context.fleet.disturbances.flood_s
        outcome = _run_with(context, self._caller_arrivals(context, length_s))
        during = _window(context, outcome, length_s)
        usual = _window(context, context.default, length_s)
        figures: dict[str, object] = {"answered": measures.answered(during)}
        targets = [
            scenarios.at_least(
                "small callers answered", measures.answered(during), 1.0
            )
        ]
        for rank in measures.RANKS:
            p95 = measures.first_token(during, rank, 0.95)
            before = measures.first_token(usual, rank, 0.95)
            figures[f"{rank}_p95_s"] = p95
            figures[f"{rank}_p95_without_s"] = before
            targets.append(
                scenarios.at_most(
                    f"small callers' {rank} p95 <= 1.25 of without",
                    p95,
                    None if before is None else 1.25 * before,
                )
            )
        return scenarios.Row(figures, targets)

    @staticmethod
    def _caller_arrivals(
        context: scenarios.Context, length_s: float
    ) -> list[traffic.Arrival]:
        fleet = context.fleet
        counts = collections.Counter(
            (each.request.work.workspace, each.request.work.caller)
            for each in context.timeline.arrivals
        )
        busiest = max(counts.values()) / context.timeline.end_s
        rate = _LARGE_FACTOR * busiest
        source = traffic.TrafficSource(fleet, f"{context.seed}/large", "l")
        requests = [
            source.draw(group="large", caller=_LARGE_CALLER)
            for _ in range(int(rate * length_s))
        ]
        rng = random.Random(f"{context.seed}/large_arrivals")
        return traffic.schedule_arrivals(
            fleet, requests, rng, rate, context.timeline.event_s
        )
