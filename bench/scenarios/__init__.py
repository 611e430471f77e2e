"""Scenarios: runs with a disturbance, evaluated against targets."""

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
    """An evaluated target of the design page.

    Attributes:
        text: Description of the requirement.
        value: The measured value, or None if there is none.
        limit: Bound that the value is compared with.
        met: Whether the value is within the bound.
    """

    text: str
    value: float | None
    limit: float
    met: bool


def at_most(text: str, value: float | None, limit: float | None) -> Target:
    """Returns a target with an upper bound; not met without a value."""
    if value is None or limit is None:
        return Target(text, value, limit or 0.0, met=False)
    return Target(text, value, round(limit, 4), value <= limit)


def at_least(text: str, value: float | None, limit: float | None) -> Target:
    """Returns a target with a lower bound; not met without a value."""
    if value is None or limit is None:
        return Target(text, value, limit or 0.0, met=False)
    return Target(text, value, round(limit, 4), value >= limit)


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Result of a scenario.

    Attributes:
        metrics: Measured values by name.
        targets: The evaluated targets.
    """

    metrics: dict[str, Any]
    targets: list[Target]


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioContext:
    """Data shared by all scenarios of a run.

    Attributes:
        fleet: The fleet's configuration.
        seed: Random seed of the run.
        request_count: Number of base requests.
        timeline: The base traffic.
        ideal_cached: Tokens that an unlimited cache would hold, by work id.
        bound_hit_rate: Hit rate of an unlimited cache.
        undisturbed: Results of the undisturbed run by policy.
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
    """A run with a disturbance.

    Attributes:
        name: Name in the registry.
        aliases: Additional names in the registry.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()

    @abc.abstractmethod
    def run(self, context: ScenarioContext) -> ScenarioResult:
        """Runs the scenario and evaluates its targets."""


class ScenarioNotFound(registry.NameNotFound):
    """No scenario has the requested name."""


scenarios: registry.Registry[Scenario] = registry.Registry(
    "scenario",
    ScenarioNotFound,
    tuple(f"{__name__}.{module}" for module in ("faults", "floods", "steady")),
)
