"""Routing policies: interface, data types and registry."""

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
    """State of a runner that an entry instance knows without a request to it.

    Attributes:
        runner: Peer id of the sidecar.
        zone_cost_s: Round-trip time to it in seconds.
        load: Its last reported running and queued tokens.
        load_age_s: Seconds since that report.
    """

    runner: str
    zone_cost_s: float = 0.0
    load: int = 0
    load_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bid:
    """A sidecar's estimate of how soon it could serve a request.

    Attributes:
        runner: Peer id of the sidecar.
        cached_tokens: Prompt tokens that are in its engine's cache.
        wait_s: Expected seconds until the engine starts the request.
        prefill_s: Expected seconds to compute the rest of the prompt.
        load: Running and queued tokens.
        zone_cost_s: Round-trip time to it in seconds.
        refusal: Reason for which it would refuse the request now, or None.
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
        """Expected seconds until the first token arrives."""
        return self.wait_s + self.prefill_s + self.zone_cost_s


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The selected runner, with the reason for the log."""

    runner: str
    reason: str


class Policy(abc.ABC):
    """Selects candidate runners for a request, and one of them by their bids.

    Subclasses may keep state only as a hint: an entry instance may restart
    at any time, and must route well without it.

    Attributes:
        name: Name in the registry.
        aliases: Other names in the registry.
        asks_for_bids: Whether the candidates are asked for bids. Otherwise
            `choose` gets bids without estimates, in order of candidates.
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
        """Returns the runners to consider, best first.

        Args:
            work: The request.
            fleet: The reachable runners that serve the work's model.
        """

    @abc.abstractmethod
    def choose(
        self, work: request.WorkItem, bids: Sequence[Bid]
    ) -> Choice | None:
        """Returns the runner for the request, None if all refuse."""


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
        PolicyNotFound: There is no such policy.
    """
    return policies.get_by_name(name)
