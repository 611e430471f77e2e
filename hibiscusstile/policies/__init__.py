"""Routing policies: which runner gets which request."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from hibiscusstile import outcome, registry, request

__all__ = [
    "Bid",
    "Choice",
    "Policy",
    "PolicyNotFound",
    "RunnerView",
    "get_policy_by_name",
    "policies",
]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerView:
    """What an entry instance knows of a runner without asking it.

    Attributes:
        runner: The sidecar's peer id.
        zone_cost_s: Seconds a round trip to it takes.
        load: Its last known running and queued tokens.
        load_age_s: How old that knowledge is.
    """

    runner: str
    zone_cost_s: float = 0.0
    load: int = 0
    load_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bid:
    """A sidecar's answer to the question how soon it could start.

    Attributes:
        runner: The sidecar's peer id.
        cached_tokens: Prompt tokens its engine holds in cache.
        wait_s: Expected seconds until the engine takes the request up.
        prefill_s: Expected seconds to compute the rest of the prompt.
        load: Running and queued tokens.
        zone_cost_s: Seconds a round trip to it takes.
        refusal: The reason when it would refuse now, else None.
    """

    runner: str
    cached_tokens: int = 0
    wait_s: float = 0.0
    prefill_s: float = 0.0
    load: int = 0
    zone_cost_s: float = 0.0
    refusal: outcome.Reason | None = None

    @property
    def first_token_s(self) -> float:
        """Expected seconds to the first token."""
        return self.wait_s + self.prefill_s + self.zone_cost_s


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen runner, with the reason for the log line."""

    runner: str
    reason: str


class Policy(abc.ABC):
    """Decides which runners to ask and which of them gets the work.

    Subclasses keep no state that a good choice depends on, since an entry
    instance may restart at any time.

    Attributes:
        name: Name in the registry.
        aliases: Further names.
        asks_for_bids: Whether `choose` needs bids; without it the first
            candidate gets the work at once and the rest are alternatives.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()
    asks_for_bids: bool = False

    def __init__(self, options: Mapping[str, Any]) -> None:
        """Reads the options.

        Raises:
            OptionError: An option is of the wrong type or out of range.
        """

    @abc.abstractmethod
    def candidates(
        self, work: request.WorkItem, fleet: Sequence[RunnerView]
    ) -> list[RunnerView]:
        """Returns runners to consider, best first, empty for none.

        Args:
            work: The request.
            fleet: The reachable runners that serve the work's model.
        """

    @abc.abstractmethod
    def choose(
        self, work: request.WorkItem, bids: Sequence[Bid]
    ) -> Choice | None:
        """Returns the runner that gets the work, None if all refuse."""


class PolicyNotFound(registry.NameNotFound):
    """No policy has the requested name."""


policies: registry.Registry[Policy] = registry.Registry(
    "policy",
    PolicyNotFound,
    tuple(
        f"{__name__}.{module}"
        for module in ("bidding", "least_loaded", "prefix_hash", "round_robin")
    ),
)


def get_policy_by_name(name: str) -> type[Policy]:
    """Returns the policy class with this name or alias.

    Raises:
        PolicyNotFound: No policy has it.
    """
    return policies.get_by_name(name)
