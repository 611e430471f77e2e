"""The placement plan, computed alike in every sidecar of a region."""

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
    """What a runner should hold."""

    model: str
    weights_version: str
    adapters: tuple[str, ...] = ()

    def is_satisfied_by(self, holding: entries.Holding | None) -> bool:
        """Whether an engine's holding matches."""
        return holding is not None and (
            holding.model == self.model
            and holding.weights_version == self.weights_version
            and set(self.adapters) <= set(holding.adapters)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What a runner does next for its assignment.

    Attributes:
        load: The assignment to load now, None to wait or to stay.
        reason: Why, for the log line.
    """

    load: Assignment | None
    reason: str


def replica_counts(
    models: Mapping[str, view.Model],
    runners: int,
    demand: Mapping[str, float] | None = None,
) -> dict[str, int]:
    """Returns how many runners each model gets; their sum is at most `runners`.

    Models with a stated number come first, in order of name, and each other
    model gets one runner before the rest is divided by demand.

    Args:
        models: The records by name.
        runners: Runners of the region.
        demand: Relative demand by model; the same in every sidecar. A model
            that is missing counts as 1.
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
    """Returns each runner's assignment; runners left over get none.

    The pairs of model and runner are taken in order of their rendezvous
    weight while both still need one another. A runner that joins or leaves
    therefore moves few others.

    Args:
        models: The records by name.
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
    """Returns how many runners of a region may be away at once.

    Two of a few runners are too much of the capacity for urgent work.
    """
    return 2 if runners >= _MIN_RUNNERS_FOR_TWO_LOADS else 1


def next_step(
    runner: str,
    plan: Mapping[str, Assignment],
    holdings: Mapping[str, entries.Holding],
    waited_s: float,
    loading: Collection[str] = (),
) -> Step:
    """Returns whether a runner should ask for a lease now.

    Runners that have to load take turns in an order that all compute alike,
    which keeps the claims on the log few; the line opens further with time
    in case those at its head cannot load.

    Args:
        runner: Peer id of the runner.
        plan: The plan of the region.
        holdings: What the region's live engines hold, by peer id.
        waited_s: Seconds since the runner found that it has to load.
        loading: Runners that hold a lease, whose models are away.
    """
    assignment = plan.get(runner)
    holding = holdings.get(runner)
    if assignment is None:
        return Step(None, "not planned")
    if assignment.is_satisfied_by(holding):
        return Step(None, "holds its assignment")
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
    """Whether a model would be left without a holder that keeps it.

    A holder that will reload the model in another version keeps it. A runner
    that is planned to hold the model alone may reload it, as nobody else will.
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
