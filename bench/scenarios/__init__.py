"""Scenarios: disturbances of the steady traffic and their targets."""

from __future__ import annotations

import abc
import dataclasses
from typing import Any

from bench import assumptions, trial
from hibiscusstile import registry

__all__ = [
    "Scenario",
    "ScenarioContext",
    "ScenarioNotFound",
    "ScenarioResult",
    "Target",
    "scenarios",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One target of the design page, evaluated.

    Attributes:
        text: What is demanded.
        value: The figure, None if it could not be taken.
        limit: Its bound.
        met: Whether it is kept.
    """

    text: str
    value: float | None
    limit: float
    met: bool


def at_most(text: str, value: float | None, limit: float | None) -> Target:
    """Returns a target with an upper bound; missed without a value."""
    if value is None or limit is None:
        return Target(text, value, limit or 0.0, met=False)
    return Target(text, value, round(limit, 4), value <= limit)


def at_least(text: str, value: float | None, limit: float | None) -> Target:
    """Returns a target with a lower bound; missed without a value."""
    if value is None or limit is None:
        return Target(text, value, limit or 0.0, met=False)
    return Target(text, value, round(limit, 4), value >= limit)


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioResult:
    """A scenario's outcome.

    Attributes:
        metrics: By name.
        targets: The evaluated targets.
    """

    metrics: dict[str, Any]
    targets: list[Target]


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioContext:
    """What all scenarios of a run share.

    Attributes:
        fleet: The assumptions.
        seed: The seed.
        request_count: Number of base requests.
        timeline: The base traffic.
        ideal_cached: Cached tokens of an unlimited cache by work id.
        bound_hit_rate: Hit rate of an unlimited cache.
        undisturbed: Outcomes of the undisturbed run by policy.
    """

    fleet: assumptions.Fleet
    seed: int
    request_count: int
    timeline: trial.Timeline
    ideal_cached: dict[str, int]
    bound_hit_rate: float
    undisturbed: dict[str, trial.TrialResult]

    @property
    def undisturbed_default(self) -> trial.TrialResult:
        """The undisturbed run under the default policy."""
        return self.undisturbed[trial.DEFAULT_POLICY]


class Scenario(abc.ABC):
    """A disturbance.

    Attributes:
        name: Name in the registry.
        aliases: Further names.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()

    @abc.abstractmethod
    def run(self, context: ScenarioContext) -> ScenarioResult:
        """Runs the default policy and evaluates the targets."""


class ScenarioNotFound(registry.NameNotFound):
    """No scenario has the requested name."""


scenarios: registry.Registry[Scenario] = registry.Registry(
    "scenario",
    ScenarioNotFound,
    tuple(f"{__name__}.{module}" for module in ("faults", "floods", "steady")),
)
