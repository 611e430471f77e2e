"""The undisturbed run, and the run without the log."""

from __future__ import annotations

import dataclasses
import datetime
import json

from bench import measures, scenarios, trial
from hibiscusstile import platform
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.configuration import view as view_lib

__all__ = ["Steady", "StoreDown"]

_URGENT_TARGET_S = 0.61
_BASELINES = ("round_robin", "least_loaded", "prefix_hash")


def _measured(
    context: scenarios.Context, result: trial.Outcome
) -> measures.Figures:
    return measures.figures(
        measures.select(result.results, context.timeline.start_s),
        context.bound,
    )


@scenarios.scenarios.register()
class Steady(scenarios.Scenario):
    """80% of capacity, all policies."""

    name = "steady"

    def run(self, context: scenarios.Context) -> scenarios.Row:
        """Compares the default with the bound and with the baselines."""
        figures = {
            name: _measured(context, result)
            for name, result in context.steady.items()
        }
        own = figures[trial.DEFAULT_POLICY]
        urgent = own.ttft_p95_s["urgent"]
        others = [figures[name].ttft_p95_s["urgent"] for name in _BASELINES]
        best = min((x for x in others if x is not None), default=None)
        targets = [
            scenarios.at_least(
                "hit rate >= 0.9 of bound",
                own.prefix_hit_rate,
                0.9 * context.bound_hit_rate,
            ),
            scenarios.at_most(
                "recomputed <= half of least_loaded",
                own.recomputed_tokens,
                0.5 * figures["least_loaded"].recomputed_tokens,
            ),
            scenarios.at_most("urgent p95 <= 0.61 s", urgent, _URGENT_TARGET_S),
            scenarios.at_most(
                "urgent p95 no worse than any baseline", urgent, best
            ),
        ]
        values = dataclasses.asdict(own)
        values["overstated_tokens"] = context.default.overstated_tokens
        values["understated_tokens"] = context.default.understated_tokens
        return scenarios.Row(values, targets)


@scenarios.scenarios.register()
class StoreDown(scenarios.Scenario):
    """The policy record comes from a peer's snapshot, never from the log."""

    name = "store_down"

    def run(self, context: scenarios.Context) -> scenarios.Row:
        """Compares with the run whose policy is given directly."""
        record = _policy_from_peer()
        result = trial.run_trial(
            context.fleet,
            context.seed,
            context.timeline.arrivals,
            record.algorithm,
            options=record.options,
        )
        figures = _measured(context, result)
        same = figures == _measured(context, context.default)
        target = scenarios.Target(
            "same figures as steady", float(same), 1.0, same
        )
        return scenarios.Row(dataclasses.asdict(figures), [target])


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
    own = store_lib.ConfigurationStore()
    own.adopt(peer.snapshot())
    return own.view.policies["default"]
