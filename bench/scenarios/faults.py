"""Scenarios with restarts, crashes and shifts of the hot prefixes."""

from __future__ import annotations

import random

from bench import metrics, scenarios, trial

__all__ = ["Crash", "HotShift", "RestartHerd"]

_SHIFT_RECOVERY_S = 10.0
_CRASH_RECOVERY_S = 30.0
_RECOVERY_WINDOW_S = 20.0
_RESTART_WINDOW_S = 5.0
_ENGINES_PER_CRASH = 3  # one engine in three crashes


def _urgent_p95(
    trial_result: trial.TrialResult, start_s: float, end_s: float
) -> float | None:
    selected = metrics.in_window(trial_result.results, start_s, end_s)
    return metrics.first_token_percentile(selected, "urgent", 0.95)


@scenarios.scenarios.register()
class HotShift(scenarios.Scenario):
    """Half of the requests move to other prefixes at once."""

    name = "hot_shift"

    def run(
        self, context: scenarios.ScenarioContext
    ) -> scenarios.ScenarioResult:
        """Compares urgent requests 10 s after the shift with the steady run."""
        timeline = trial.build_timeline(
            context.fleet,
            context.seed,
            context.request_count,
            shift_hot_share=context.fleet.disturbances.hot_share,
        )
        trial_result = trial.run_trial(
            context.fleet, context.seed, timeline.arrivals
        )
        disturbed_at_s = timeline.disturbed_at_s
        recovered_s = disturbed_at_s + _SHIFT_RECOVERY_S
        p95 = _urgent_p95(
            trial_result, recovered_s, recovered_s + _RECOVERY_WINDOW_S
        )
        steady_p95 = _urgent_p95(
            context.undisturbed_default,
            context.timeline.measured_from_s,
            float("inf"),
        )
        return scenarios.ScenarioResult(
            {
                "urgent_p95_during_s": _urgent_p95(
                    trial_result, disturbed_at_s, recovered_s
                ),
                "urgent_p95_after_s": p95,
                "urgent_p95_steady_s": steady_p95,
            },
            [
                scenarios.at_most(
                    "urgent p95 after 10 s <= 1.5 of steady",
                    p95,
                    None if steady_p95 is None else 1.5 * steady_p95,
                )
            ],
        )


@scenarios.scenarios.register()
class RestartHerd(scenarios.Scenario):
    """All entry instances restart at once."""

    name = "restart_herd"

    def run(
        self, context: scenarios.ScenarioContext
    ) -> scenarios.ScenarioResult:
        """Compares the hit rate over 5 s with that of the undisturbed run."""

        def disturb(simulated_fleet: trial.SimulatedFleet) -> None:
            for entry in simulated_fleet.entries:
                entry.restart()

        disturbed_at_s = context.timeline.disturbed_at_s
        trial_result = trial.run_trial(
            context.fleet,
            context.seed,
            context.timeline.arrivals,
            disturb=disturb,
            disturb_at_s=disturbed_at_s,
        )
        rates = [
            metrics.hit_rate(
                metrics.in_window(
                    each.results,
                    disturbed_at_s,
                    disturbed_at_s + _RESTART_WINDOW_S,
                )
            )
            for each in (trial_result, context.undisturbed_default)
        ]
        return scenarios.ScenarioResult(
            {"hit_rate": rates[0], "hit_rate_steady": rates[1]},
            [
                scenarios.at_least(
                    "hit rate over 5 s >= 0.95 of steady",
                    rates[0],
                    0.95 * rates[1],
                )
            ],
        )


@scenarios.scenarios.register()
class Crash(scenarios.Scenario):
    """A third of the engines restart without cache; cache events are lost."""

    name = "crash"

    def run(
        self, context: scenarios.ScenarioContext
    ) -> scenarios.ScenarioResult:
        """Checks for lost answers, bids on lost caches and slow recovery."""
        fleet = context.fleet
        rng = random.Random(f"{context.seed}/crash")
        crashed = rng.sample(
            range(fleet.runners), fleet.runners // _ENGINES_PER_CRASH
        )

        def disturb(simulated_fleet: trial.SimulatedFleet) -> None:
            loss = fleet.disturbances.crash_event_loss
            for index in crashed:
                simulated_fleet.runners[index].crash(loss, len(crashed))

        disturbed_at_s = context.timeline.disturbed_at_s
        trial_result = trial.run_trial(
            fleet,
            context.seed,
            context.timeline.arrivals,
            disturb=disturb,
            disturb_at_s=disturbed_at_s,
        )
        lost = sum(not each.answered for each in trial_result.results)
        recovered_s = disturbed_at_s + _CRASH_RECOVERY_S
        end_s = recovered_s + _RECOVERY_WINDOW_S
        p95 = _urgent_p95(trial_result, recovered_s, end_s)
        steady_p95 = _urgent_p95(
            context.undisturbed_default, recovered_s, end_s
        )
        return scenarios.ScenarioResult(
            {
                "lost": lost,
                "relying_on_dead_cache": trial_result.stale_bids,
                "urgent_p95_during_s": _urgent_p95(
                    trial_result, disturbed_at_s, recovered_s
                ),
                "urgent_p95_after_s": p95,
                "urgent_p95_steady_s": steady_p95,
            },
            [
                scenarios.at_most("answers lost", lost, 0),
                scenarios.at_most(
                    "bids relying on the dead cache", trial_result.stale_bids, 0
                ),
                scenarios.at_most(
                    "urgent p95 after 30 s <= 1.25 of steady",
                    p95,
                    None if steady_p95 is None else 1.25 * steady_p95,
                ),
            ],
        )
