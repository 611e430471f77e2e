"""Placement plan of a region, computed identically in every sidecar."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

import xxhash

from hibiscusstile.configuration import view
from hibiscusstile.placement import entries

__all__ = [
    "Assignment",
    "Step",
    "assign",
    "max_concurrent_loads",
    "next_step",
    "replica_counts",
]

_MIN_RUNNERS_FOR_TWO_LOADS = 8
_INITIAL_CLAIMANTS = 4
_ADDED_CLAIMANTS_PER_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Model, weights version and adapters that a runner should have loaded."""

    model: str
    weights_version: str
    adapters: tuple[str, ...] = ()

    def is_satisfied_by(self, holding: entries.Holding | None) -> bool:
        """Whether an engine with this holding needs no load."""
        return holding is not None and (
            holding.model == self.model
            and holding.weights_version == self.weights_version
            and set(self.adapters) <= set(holding.adapters)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Next action of a runner towards its assignment.

    Attributes:
        load: The assignment to load now, None to load nothing.
        reason: Reason for the log.
    """

    load: Assignment | None
    reason: str


def replica_counts(
    models: Mapping[str, view.Model],
    runners: int,
    demand: Mapping[str, float] | None = None,
) -> dict[str, int]:
    """Returns the number of runners per model, at most `runners` in total.

    Models with configured replicas come first, in order of name. Each other
    model then gets one runner, and the rest is divided by demand.

    Args:
        models: The model records by name.
        runners: Number of runners in the region.
        demand: Relative demand by model; 1 for a missing model. It must be
            the same in every sidecar.
    """
    weights = demand or {}
    counts = dict.fromkeys(models, 0)
    remaining = runners
    for name in sorted(
        models, key=lambda each: (not models[each].replicas, each)
    ):
        counts[name] = min(remaining, max(1, models[name].replicas))
        remaining -= counts[name]
    without_count = sorted(name for name in models if not models[name].replicas)
    total = sum(max(0.0, weights.get(name, 1.0)) for name in without_count)
    if not without_count or not remaining or not total:
        return counts
    exact = {
        name: remaining * max(0.0, weights.get(name, 1.0)) / total
        for name in without_count
    }
    for name in without_count:
        counts[name] += int(exact[name])
    remainder = remaining - sum(int(part) for part in exact.values())
    by_remainder = sorted(
        without_count, key=lambda name: (int(exact[name]) - exact[name], name)
    )
    for name in by_remainder[:remainder]:
        counts[name] += 1
    return counts


def assign(
    models: Mapping[str, view.Model],
    runners: Collection[str],
    demand: Mapping[str, float] | None = None,
) -> dict[str, Assignment]:
    """Returns the assignments by runner; surplus runners get none.

    Pairs of model and runner are assigned in descending order of their
    rendezvous weight, as long as the model needs runners and the runner is
    unassigned. A runner that joins or leaves thus changes few assignments.

    Args:
        models: The model records by name.
        runners: Peer ids of the region's sidecars that have an engine.
        demand: See `replica_counts`.
    """
    counts = replica_counts(models, len(runners), demand)
    pairs = sorted(
        (
            (_rendezvous_weight(name, runner), name, runner)
            for name, count in counts.items()
            if count
            for runner in runners
        ),
        reverse=True,
    )
    plan: dict[str, Assignment] = {}
    for _, name, runner in pairs:
        if counts[name] and runner not in plan:
            counts[name] -= 1
            model = models[name]
            plan[runner] = Assignment(
                name, model.weights_version, model.adapters
            )
    return plan


def max_concurrent_loads(runners: int) -> int:
    """Returns how many runners of a region may load weights at once.

    In a small region, two loading runners would take too much capacity from
    urgent requests.
    """
    return 2 if runners >= _MIN_RUNNERS_FOR_TWO_LOADS else 1


def next_step(
    runner: str,
    plan: Mapping[str, Assignment],
    holdings: Mapping[str, entries.Holding],
    waited_s: float,
    loading: Collection[str] = (),
) -> Step:
    """Returns whether a runner should claim a lease now.

    Runners that have to load are ordered identically in every sidecar, and
    only the first few may claim, which limits the claims in the log. The
    number grows with time, in case the first ones cannot load.

    Args:
        runner: Peer id of the runner.
        plan: The plan of the region.
        holdings: Holdings of the region's live engines, by peer id.
        waited_s: Seconds since the runner found that it has to load.
        loading: Runners with a lease; their models are not available.
    """
    assignment = plan.get(runner)
    holding = holdings.get(runner)
    if assignment is None:
        return Step(None, "not planned")
    if assignment.is_satisfied_by(holding):
        return Step(None, "the assignment is loaded")
    not_loading = {k: v for k, v in holdings.items() if k not in loading}
    if holding is not None and _is_last_holder(
        runner, holding.model, plan, not_loading
    ):
        return Step(None, f"last holder of {holding.model}")
    pending = [
        each
        for each, wanted in plan.items()
        if not wanted.is_satisfied_by(holdings.get(each))
    ]
    pending.sort(
        key=lambda each: _rendezvous_weight(assignment.weights_version, each)
    )
    if (
        pending.index(runner)
        >= _INITIAL_CLAIMANTS + waited_s * _ADDED_CLAIMANTS_PER_S
    ):
        return Step(None, "others load first")
    return Step(assignment, "due")


def _is_last_holder(
    runner: str,
    model: str,
    plan: Mapping[str, Assignment],
    not_loading: Mapping[str, entries.Holding],
) -> bool:
    """Whether no other runner would keep a model loaded.

    A runner whose assignment is another version of the model keeps it. If
    the runner is the only one with the model in the plan, it may reload the
    model, since no other runner ever will.
    """
    planned = {each for each, wanted in plan.items() if wanted.model == model}
    if not planned or planned == {runner}:
        return False
    return not any(
        each != runner and holding.model == model and each in planned
        for each, holding in not_loading.items()
    )


def _rendezvous_weight(key: str, runner: str) -> int:
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return int(xxhash.xxh3_64_intdigest(runner.encode(), seed=seed))
