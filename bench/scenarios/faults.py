"""Restarts, crashes and sudden shifts of the hot prefixes."""

from __future__ import annotations

import random

from bench import measures, scenarios, trial

__all__ = ["Crash", "HotShift", "RestartHerd"]

_SHIFT_RECOVERY_S = 10.0
_CRASH_RECOVERY_S = 30.0
_RECOVERY_WINDOW_S = 20.0
_HERD_WINDOW_S = 5.0
_CRASHED_SHARE = 3


def _urgent_p95(
    outcome: trial.Outcome, start_s: float, end_s: float
) -> float | None:
    chosen = measures.select(outcome.results, start_s, end_s)
    return measures.first_token(chosen, "urgent", 0.95)


@scenarios.scenarios.register()
class HotShift(scenarios.Scenario):
    """Half of the requests turn to other prefixes without warning."""

    name = "hot_shift"

    def run(self, context: scenarios.Context) -> scenarios.Row:
        """Compares urgent work from 10 s after the shift with steady."""
        timeline = trial.build_timeline(
            context.fleet,
            context.seed,
            context.count,
            shift_hot_share=context.fleet.disturbances.hot_share,
        )
        outcome = trial.run_trial(
            context.fleet, context.seed, timeline.arrivals
        )
        event_s = timeline.event_s
        back_s = event_s + _SHIFT_RECOVERY_S
        p95 = _urgent_p95(outcome, back_s, back_s + _RECOVERY_WINDOW_S)
        steady = _urgent_p95(
            context.default, context.timeline.start_s, float("inf")
        )
        return scenarios.Row(
            {
                "urgent_p95_during_s": _urgent_p95(outcome, event_s, back_s),
                "urgent_p95_after_s": p95,
                "urgent_p95_steady_s": steady,
            },
            [
                scenarios.at_most(
                    "urgent p95 after 10 s <= 1.5 of steady",
                    p95,
                    None if steady is None else 1.5 * steady,
                )
            ],
        )


@scenarios.scenarios.register()
class RestartHerd(scenarios.Scenario):
    """All entry instances restart at once."""

    name = "restart_herd"

    def run(self, context: scenarios.Context) -> scenarios.Row:
        """Compares the hit rate of 5 s with the undisturbed run's."""

        def disturb(plant: trial.Plant) -> None:
            for entry in plant.entries:
                entry.restart()

        event_s = context.timeline.event_s
        outcome = trial.run_trial(
            context.fleet,
            context.seed,
            context.timeline.arrivals,
            disturb=disturb,
            disturb_s=event_s,
        )
        rates = [
            measures.hit_rate(
                measures.select(each.results, event_s, event_s + _HERD_WINDOW_S)
            )
            for each in (outcome, context.default)
        ]
        return scenarios.Row(
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
    """A third of the engines return empty, and cache events are lost."""

    name = "crash"

    def run(self, context: scenarios.Context) -> scenarios.Row:
        """Looks for lost answers, dead caches and the recovery."""
        fleet = context.fleet
        rng = random.Random(f"{context.seed}/crash")
        indices = rng.sample(
            range(fleet.runners), fleet.runners // _CRASHED_SHARE
        )

        def disturb(plant: trial.Plant) -> None:
            loss = fleet.disturbances.crash_event_loss
            for index in indices:
                plant.runners[index].crash(loss, len(indices))

        event_s = context.timeline.event_s
        outcome = trial.run_trial(
            fleet,
            context.seed,
            context.timeline.arrivals,
            disturb=disturb,
            disturb_s=event_s,
        )
        lost = sum(not each.answered for each in outcome.results)
        back_s = event_s + _CRASH_RECOVERY_S
        end_s = back_s + _RECOVERY_WINDOW_S
        p95 = _urgent_p95(outcome, back_s, end_s)
        steady = _urgent_p95(context.default, back_s, end_s)
        return scenarios.Row(
            {
                "lost": lost,
                "relying_on_dead_cache": outcome.stale_bids,
                "urgent_p95_during_s": _urgent_p95(outcome, event_s, back_s),
                "urgent_p95_after_s": p95,
                "urgent_p95_steady_s": steady,
            },
            [
                scenarios.at_most("answers lost", lost, 0),
                scenarios.at_most(
                    "bids relying on the dead cache", outcome.stale_bids, 0
                ),
                scenarios.at_most(
                    "urgent p95 after 30 s <= 1.25 of steady",
                    p95,
                    None if steady is None else 1.25 * steady,
                ),
            ],
        )
