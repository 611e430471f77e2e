"""Runs everything for one seed and fleet, and formats the report."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from bench import assumptions, measures, scenarios, trial

__all__ = ["Report", "json_line", "run", "table"]

POLICIES = ("bidding", "least_loaded", "prefix_hash", "round_robin")


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All figures of one seed and fleet.

    Attributes:
        seed: The seed.
        fleet: The fleet's name.
        requests: Number of base requests.
        bound_hit_rate: Hit rate of one unlimited cache.
        policies: Figures of the undisturbed run by policy.
        rows: Scenarios by name.
    """

    seed: int
    fleet: str
    requests: int
    bound_hit_rate: float
    policies: dict[str, measures.Figures]
    rows: dict[str, scenarios.Row]


def run(
    fleet: assumptions.Fleet,
    seed: int,
    count: int,
    names: tuple[str, ...] = (),
) -> Report:
    """Returns the report of a seed.

    Args:
        fleet: The assumptions.
        seed: The seed.
        count: Number of base requests.
        names: Scenarios to run; all if empty.
    """
    context = _context(fleet, seed, count)
    start_s = context.timeline.start_s
    figures = {
        name: measures.figures(
            measures.select(outcome.results, start_s), context.bound
        )
        for name, outcome in context.steady.items()
    }
    rows = {
        scenario.name: scenario().run(context)
        for scenario in scenarios.scenarios
        if not names or scenario.name in names
    }
    return Report(
        seed, fleet.name, count, context.bound_hit_rate, figures, rows
    )


def _context(
    fleet: assumptions.Fleet, seed: int, count: int
) -> scenarios.Context:
    timeline = trial.build_timeline(fleet, seed, count)
    bound = measures.bound_by_id(timeline.arrivals, fleet.engine.block_tokens)
    measured = [
        each.request.work
        for each in timeline.arrivals
        if each.arrival_s >= timeline.start_s
    ]
    rate = sum(bound[work.work_id] for work in measured) / sum(
        work.prompt_tokens for work in measured
    )
    steady = {
        name: trial.run_trial(fleet, seed, timeline.arrivals, name)
        for name in POLICIES
    }
    return scenarios.Context(
        fleet, seed, count, timeline, bound, round(rate, 4), steady
    )


def json_line(report: Report) -> str:
    """Returns the report as one JSON object in the design page's form."""
    value: dict[str, Any] = {
        "seed": report.seed,
        "fleet": report.fleet,
        "requests": report.requests,
        "bound_hit_rate": report.bound_hit_rate,
        "policies": {
            name: dataclasses.asdict(figures)
            for name, figures in report.policies.items()
        },
        "scenarios": {
            name: {
                **row.figures,
                "targets": [dataclasses.asdict(t) for t in row.targets],
            }
            for name, row in report.rows.items()
        },
    }
    return json.dumps(value)


def table(report: Report) -> str:
    """Returns the report for people."""
    lines = [
        f"fleet {report.fleet}, seed {report.seed}, "
        f"{report.requests} requests, "
        f"bound hit rate {report.bound_hit_rate:.4f}",
        "",
        f"{'policy':<14}{'hit rate':>9}{'recomputed':>12}"
        f"{'urgent p50/p95/p99 s':>24}{'routine p50/p95/p99 s':>27}"
        f"{'answered':>14}",
    ]
    lines += [
        f"{name:<14}{each.prefix_hit_rate:>9.4f}{each.recomputed_tokens:>12}"
        f"{_times(each, 'urgent'):>24}{_times(each, 'routine'):>27}"
        f"{_number(each.answered['urgent']):>7}"
        f"{_number(each.answered['routine']):>7}"
        for name, each in report.policies.items()
    ]
    lines += ["", f"{'scenario':<15}{'target':<46}{'value':>12}{'limit':>12}"]
    for name, row in report.rows.items():
        lines += [
            f"{name:<15}{target.text:<46}{_number(target.value):>12}"
            f"{_number(target.limit):>12}  {'met' if target.met else 'MISSED'}"
            for target in row.targets
        ]
    return "\n".join(lines)


def _times(figures: measures.Figures, rank: str) -> str:
    columns = (figures.ttft_p50_s, figures.ttft_p95_s, figures.ttft_p99_s)
    return " ".join(_number(column[rank]) for column in columns)


def _number(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)
