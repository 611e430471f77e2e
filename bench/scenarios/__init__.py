"""Scenarios: disturbances of the steady traffic and their targets."""

from __future__ import annotations

import abc
import dataclasses
from typing import Any

from bench import assumptions, trial
from hibiscusstile import registry

__all__ = [
    "Context",
    "Row",
    "Scenario",
    "ScenarioNotFound",
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
class Row:
    """A scenario's outcome.

    Attributes:
        figures: By name.
        targets: The evaluated targets.
    """

    figures: dict[str, Any]
    targets: list[Target]


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What all scenarios of a run share.

    Attributes:
        fleet: The assumptions.
        seed: The seed.
        count: Number of base requests.
        timeline: The base traffic.
        bound: Cached tokens of an unlimited cache by work id.
        bound_hit_rate: Hit rate of an unlimited cache.
        steady: Outcomes of the undisturbed run by policy.
    """

    fleet: assumptions.Fleet
    seed: int
    count: int
    timeline: trial.Timeline
    bound: dict[str, int]
    bound_hit_rate: float
    steady: dict[str, trial.Outcome]

    @property
    def default(self) -> trial.Outcome:
        """The undisturbed run under the default policy."""
        return self.steady[trial.DEFAULT_POLICY]


class Scenario(abc.ABC):
    """A disturbance.

    Attributes:
        name: Name in the registry.
        aliases: Further names.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()

    @abc.abstractmethod
    def run(self, context: Context) -> Row:
        """Runs the default policy and evaluates the targets."""


class ScenarioNotFound(registry.NameNotFound):
    """No scenario has the requested name."""


scenarios: registry.Registry[Scenario] = registry.Registry(
    "scenario",
    ScenarioNotFound,
    tuple(f"{__name__}.{module}" for module in ("faults", "floods", "steady")),
)
