"""Runs all policies and scenarios for one seed, and formats the report."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from bench import assumptions, metrics, scenarios, trial

__all__ = ["Report", "json_line", "run", "table"]

POLICIES = ("bidding", "least_loaded", "prefix_hash", "round_robin")


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All results of one seed and fleet.

    Attributes:
        seed: Random seed of the run.
        fleet: The fleet's name.
        requests: Number of base requests.
        bound_hit_rate: Hit rate of a single unlimited cache, the upper bound.
        policies: Metrics of the undisturbed run by policy.
        scenario_results: Results by scenario name.
    """

    seed: int
    fleet: str
    requests: int
    bound_hit_rate: float
    policies: dict[str, metrics.TrialMetrics]
    scenario_results: dict[str, scenarios.ScenarioResult]


def run(
    fleet: assumptions.Fleet,
    seed: int,
    request_count: int,
    scenario_names: tuple[str, ...] = (),
) -> Report:
    """Runs the policies and scenarios, and returns the report.

    Args:
        fleet: The fleet's configuration.
        seed: Random seed of the run.
        request_count: Number of base requests.
        scenario_names: Scenarios to run; empty runs all.
    """
    context = _build_context(fleet, seed, request_count)
    start_s = context.timeline.measured_from_s
    policy_metrics = {
        name: metrics.compute(
            metrics.in_window(trial_result.results, start_s),
            context.ideal_cached,
        )
        for name, trial_result in context.undisturbed.items()
    }
    scenario_results = {
        scenario.name: scenario().run(context)
        for scenario in scenarios.scenarios
        if not scenario_names or scenario.name in scenario_names
    }
    return Report(
        seed,
        fleet.name,
        request_count,
        context.bound_hit_rate,
        policy_metrics,
        scenario_results,
    )


def _build_context(
    fleet: assumptions.Fleet, seed: int, request_count: int
) -> scenarios.ScenarioContext:
    timeline = trial.build_timeline(fleet, seed, request_count)
    ideal_cached = metrics.ideal_cached_by_id(
        timeline.arrivals, fleet.engine.block_tokens
    )
    measured = [
        each.request.work
        for each in timeline.arrivals
        if each.arrival_s >= timeline.measured_from_s
    ]
    ideal_hit_rate = sum(ideal_cached[work.work_id] for work in measured) / sum(
        work.prompt_tokens for work in measured
    )
    undisturbed = {
        name: trial.run_trial(fleet, seed, timeline.arrivals, name)
        for name in POLICIES
    }
    return scenarios.ScenarioContext(
        fleet,
        seed,
        request_count,
        timeline,
        ideal_cached,
        round(ideal_hit_rate, 4),
        undisturbed,
    )


def json_line(report: Report) -> str:
    """Returns the report as a JSON object in the format of the design page."""
    value: dict[str, Any] = {
        "seed": report.seed,
        "fleet": report.fleet,
        "requests": report.requests,
        "bound_hit_rate": report.bound_hit_rate,
        "policies": {
            name: dataclasses.asdict(trial_metrics)
            for name, trial_metrics in report.policies.items()
        },
        "scenarios": {
            name: {
                **result.metrics,
                "targets": [dataclasses.asdict(t) for t in result.targets],
            }
            for name, result in report.scenario_results.items()
        },
    }
    return json.dumps(value)


def table(report: Report) -> str:
    """Returns the report as a text table."""
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
        f"{_percentiles(each, 'urgent'):>24}{_percentiles(each, 'routine'):>27}"
        f"{_format_number(each.answered['urgent']):>7}"
        f"{_format_number(each.answered['routine']):>7}"
        for name, each in report.policies.items()
    ]
    lines += ["", f"{'scenario':<15}{'target':<46}{'value':>12}{'limit':>12}"]
    for name, result in report.scenario_results.items():
        lines += [
            f"{name:<15}{target.text:<46}{_format_number(target.value):>12}"
            f"{_format_number(target.limit):>12}"
            f"  {'met' if target.met else 'MISSED'}"
            for target in result.targets
        ]
    return "\n".join(lines)


def _percentiles(trial_metrics: metrics.TrialMetrics, rank: str) -> str:
    columns = (
        trial_metrics.ttft_p50_s,
        trial_metrics.ttft_p95_s,
        trial_metrics.ttft_p99_s,
    )
    return " ".join(_format_number(column[rank]) for column in columns)


def _format_number(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)
