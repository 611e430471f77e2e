"""Scenarios without disturbance: the normal run and one without the log."""

from __future__ import annotations

import dataclasses
import datetime
import json

from bench import metrics, scenarios, trial
from hibiscusstile import platform
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.configuration import view as view_lib

__all__ = ["Steady", "StoreDown"]

_URGENT_TARGET_S = 0.61
_BASELINES = ("round_robin", "least_loaded", "prefix_hash")


def _compute_metrics(
    context: scenarios.ScenarioContext, result: trial.TrialResult
) -> metrics.TrialMetrics:
    return metrics.compute(
        metrics.in_window(result.results, context.timeline.measured_from_s),
        context.ideal_cached,
    )


@scenarios.scenarios.register()
class Steady(scenarios.Scenario):
    """Runs all policies at the normal load of 80% of capacity."""

    name = "steady"

    def run(
        self, context: scenarios.ScenarioContext
    ) -> scenarios.ScenarioResult:
        """Compares the default policy with the upper bound and baselines."""
        policy_metrics = {
            name: _compute_metrics(context, result)
            for name, result in context.undisturbed.items()
        }
        default_metrics = policy_metrics[trial.DEFAULT_POLICY]
        urgent_p95 = default_metrics.ttft_p95_s["urgent"]
        baseline_p95s = [
            policy_metrics[name].ttft_p95_s["urgent"] for name in _BASELINES
        ]
        best_baseline_p95 = min(
            (x for x in baseline_p95s if x is not None), default=None
        )
        targets = [
            scenarios.at_least(
                "hit rate >= 0.9 of bound",
                default_metrics.prefix_hit_rate,
                0.9 * context.bound_hit_rate,
            ),
            scenarios.at_most(
                "recomputed <= half of least_loaded",
                default_metrics.recomputed_tokens,
                0.5 * policy_metrics["least_loaded"].recomputed_tokens,
            ),
            scenarios.at_most(
                "urgent p95 <= 0.61 s", urgent_p95, _URGENT_TARGET_S
            ),
            scenarios.at_most(
                "urgent p95 no worse than any baseline",
                urgent_p95,
                best_baseline_p95,
            ),
        ]
        scenario_metrics = dataclasses.asdict(default_metrics)
        scenario_metrics["overstated_tokens"] = (
            context.undisturbed_default.overstated_tokens
        )
        scenario_metrics["understated_tokens"] = (
            context.undisturbed_default.understated_tokens
        )
        return scenarios.ScenarioResult(scenario_metrics, targets)


@scenarios.scenarios.register()
class StoreDown(scenarios.Scenario):
    """Takes the policy record from a peer's snapshot instead of the log."""

    name = "store_down"

    def run(
        self, context: scenarios.ScenarioContext
    ) -> scenarios.ScenarioResult:
        """Compares with the run that is given the policy by name."""
        record = _policy_from_peer()
        result = trial.run_trial(
            context.fleet,
            context.seed,
            context.timeline.arrivals,
            record.algorithm,
            options=record.options,
        )
        policy_metrics = _compute_metrics(context, result)
        same = policy_metrics == _compute_metrics(
            context, context.undisturbed_default
        )
        target = scenarios.Target(
            "same figures as steady", float(same), 1.0, same
        )
        return scenarios.ScenarioResult(
            dataclasses.asdict(policy_metrics), [target]
        )


def _policy_from_peer() -> view_lib.RoutingPolicy:
    peer = store_lib.ConfigurationStore()
    body = {
        "kind": "routing_policy",
        "name": "default",
        "schema_version": 1,
        "body": {"algorithm": trial.DEFAULT_POLICY},
    }
    when = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    peer.apply((platform.LogEntry(0, when, json.dumps(body).encode()),))
    store = store_lib.ConfigurationStore()
    store.adopt(peer.snapshot())
    return store.view.policies["default"]
