"""Registry of strategies that select a backend server for a request."""

from __future__ import annotations

import abc
import dataclasses
import math
from collections.abc import Sequence

from hibiscusstile import registry
from hibiscusstile.gateway import enginerates, exchange, fleet, load

__all__ = [
    "LONG_PREFILL_S",
    "Candidate",
    "SelectedServer",
    "Selection",
    "SelectionContext",
    "SelectionNotFound",
    "get_selection_by_name",
    "selections",
]

# Prefilling a long prompt delays the first token of the requests queued behind
# it by this much, which is a tenth of a short request's usual target.
LONG_PREFILL_S = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionContext:
    """Inputs of a selection that do not depend on the server.

    Attributes:
        request: The request.
        rank: Rank of the request; 0 is served first.
        target_latency_s: Target latency. The platform rates a later response
            lower.
        zone: Availability zone of this process.
        rates: Estimate of the service's engines; unused for plain services.
        spread: Difference of costs up to which servers count as equal, as
            knowledge of their load is old; 0 to select the cheapest.
    """

    request: exchange.ForwardedRequest
    rank: int
    target_latency_s: float
    zone: str
    rates: enginerates.EngineRates
    spread: float = 0.0

    @property
    def long_prompt_tokens(self) -> float:
        """Uncached tokens beyond which a prompt counts as long."""
        return LONG_PREFILL_S * self.rates.prefill_tokens_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be selected for the request.

    Attributes:
        server: The server.
        load: Its load and expected cache contents.
        failure_rate: Moving average of the share of failed requests.
        weights_lag_s: Time since a newer weights version became the target; 0
            if its version is unknown or current.
        cache_tokens: Size of its KV cache in tokens; 0 for plain services.
        cache_salt: Namespace of the prompt's parts in its cache.
        stored_tokens: Leading prompt tokens that it can fetch from a KV cache
            store.
        version: Version of its weights, None if unknown.
        running: Requests of all processes in flight at the server.
        waiting_tokens: Prompt tokens of these that wait to be prefilled.
        recently_prefilled_tokens: Tokens of the prompt's shared parts that
            some server has computed recently, whether or not this one also
            caches them.
        recent_uses: How often the prompt's shared parts were sent recently.
        takes_long_prompts: Whether it is preferred for long prompts.
        start_within_s: Time within which the request must start there, as its
            weights are outdated.
    """

    server: fleet.BackendServer
    load: load.ServerLoad
    failure_rate: float = 0.0
    weights_lag_s: float = 0.0
    cache_tokens: int = 0
    cache_salt: str = ""
    stored_tokens: int = 0
    version: int | None = None
    running: int = 0
    waiting_tokens: int = 0
    recently_prefilled_tokens: int = 0
    recent_uses: float = 0.0
    takes_long_prompts: bool = False
    start_within_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class SelectedServer:
    """The selected server and the estimates behind the selection.

    Attributes:
        candidate: The server.
        expected_s: Expected time to the first event; 0 if not estimated.
        cached_tokens: Leading prompt tokens that it has cached or can fetch.
        work: What it has to do before the first event; None if not estimated.
        unloaded_s: Part of `expected_s` that an idle server would also need.
        cost: Cost that the selection minimizes; 0 if it uses none.
    """

    candidate: Candidate
    expected_s: float = 0.0
    cached_tokens: int = 0
    cost: float = 0.0
    unloaded_s: float = 0.0
    work: enginerates.FirstTokenWork | None = None

    @property
    def observable_work(self) -> enginerates.FirstTokenWork | None:
        """The work, if its time will tell how fast the engine is.

        None for a request that waits for a slot: it tells how long others run.
        """
        if self.candidate.running >= self.candidate.server.slots:
            return None
        return self.work


class Selection(abc.ABC):
    """Strategy that selects one of several servers."""

    name: str = ""
    aliases: tuple[str, ...] = ()

    @abc.abstractmethod
    def select(
        self, context: SelectionContext, candidates: Sequence[Candidate]
    ) -> SelectedServer | None:
        """Returns the server to use, or None if none is in time.

        `candidates` must not be empty.
        """

    @abc.abstractmethod
    def rate(
        self, context: SelectionContext, candidates: Sequence[Candidate]
    ) -> list[SelectedServer]:
        """Returns the estimates for each server, lowest cost first.

        `candidates` must not be empty.
        """


class SelectionNotFound(registry.NameNotFound):
    """No selection strategy has the requested name."""


selections: registry.Registry[Selection] = registry.Registry(
    "selection",
    SelectionNotFound,
    (f"{__name__}.expected_first_token", f"{__name__}.least_running"),
)


def get_selection_by_name(name: str) -> type[Selection]:
    """Returns the selection strategy class with this name.

    Raises:
        SelectionNotFound: No strategy has this name.
    """
    return selections.get_by_name(name)
