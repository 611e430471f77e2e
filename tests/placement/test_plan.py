"""Tests of the placement plan."""

from __future__ import annotations

from hibiscusstile.placement import entries, plan
from tests import builders

_RUNNERS = [f"s{number}" for number in range(12)]


def _models(**replicas: int) -> dict:  # type: ignore[type-arg]
    return {
        name: builders.configured_model(name, replicas=count)
        for name, count in replicas.items()
    }


def _held(name: str, model: str, version: str = "v1") -> entries.Holding:
    return entries.Holding(holder=name, model=model, weights_version=version)


def test_replica_counts_follow_configuration_and_demand() -> None:
    """Configured replicas come first, and each model gets a runner."""
    counts = plan.replica_counts(
        _models(a=2, b=0, c=0), 12, {"b": 4.0, "c": 1.0}
    )
    assert counts == {"a": 2, "b": 7, "c": 3}
    assert sum(plan.replica_counts(_models(a=9, b=0), 4).values()) == 4


def test_plan_does_not_depend_on_the_order_of_runners() -> None:
    """With different plans, sidecars would reload models repeatedly."""
    models = _models(a=3, b=0, c=0)
    first = plan.assign(models, _RUNNERS)
    assert first == plan.assign(models, list(reversed(_RUNNERS)))


def test_a_runner_that_leaves_changes_few_assignments() -> None:
    """Each changed assignment costs a load and a cold cache."""
    models = _models(a=0, b=0, c=0)
    before = plan.assign(models, _RUNNERS)
    after = plan.assign(models, _RUNNERS[1:])
    moved = [name for name in after if after[name] != before[name]]
    assert len(moved) <= 3


def test_last_runner_with_a_model_keeps_it() -> None:
    """Requests for a model without a runner are refused."""
    models = _models(a=1, b=1)
    assigned = plan.assign(models, ["s0", "s1"])
    crossed = {
        name: _held(name, "b" if wanted.model == "a" else "a")
        for name, wanted in assigned.items()
    }
    for name in assigned:
        step = plan.next_step(name, assigned, crossed, 0.0)
        assert step.load is None
        assert step.reason.startswith("last holder")


def test_new_version_loads_while_another_holder_stays() -> None:
    """If both runners reloaded at once, the model would be unavailable."""
    models = {"a": builders.configured_model("a", "v2")}
    assigned = plan.assign(models, ["s0", "s1"])
    holdings = {name: _held(name, "a") for name in assigned}
    assert plan.next_step("s0", assigned, holdings, 0.0).load
    assert plan.next_step("s1", assigned, holdings, 0.0, {"s0"}).load is None


def test_only_a_few_runners_claim_at_once() -> None:
    """In a rollout, the runners must not all append claims at once."""
    models = {"a": builders.configured_model("a", "v2")}
    assigned = plan.assign(models, _RUNNERS)
    holdings = {name: _held(name, "a") for name in assigned}
    due = [
        name
        for name in _RUNNERS
        if plan.next_step(name, assigned, holdings, 0.0).load
    ]
    assert len(due) == 4
    assert all(
        plan.next_step(name, assigned, holdings, 60.0).load for name in _RUNNERS
    )
