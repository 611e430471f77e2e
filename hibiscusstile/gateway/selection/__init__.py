"""Registry of the ways to select a backend server for a request."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Sequence

from hibiscusstile import registry
from hibiscusstile.gateway import exchange, fleet, load

__all__ = [
    "Candidate",
    "SelectedServer",
    "Selection",
    "SelectionContext",
    "SelectionNotFound",
    "get_selection_by_name",
    "selections",
]


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionContext:
    """What a request needs.

    Attributes:
        request: The request.
        rank: Its rank, 0 first.
        target_s: Time in which the answer has its full value.
        zone: Availability zone of this process.
    """

    request: exchange.ForwardedRequest
    rank: int
    target_s: float
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could take the request.

    Attributes:
        server: The server.
        load: What this process has under way there.
        failures: Average share of failed requests.
        weights_lag_s: For how long it has lacked the newest weights.
        cache_tokens: Tokens of its cache memory; 0 for plain services.
        cache_salt: Namespace of the prompt's parts in its cache.
        stored_tokens: Leading prompt tokens that it can fetch from a store.
        version: Version of its weights, None if unknown.
        running: Requests under way there, of all processes.
        waiting_tokens: Prompt tokens that wait there, of all processes.
        recently_computed_tokens: Tokens of the prompt's shared parts that
            some server has computed recently, whether or not this one also
            caches them.
        takes_long_prompts: Whether long prompts go to it first.
    """

    server: fleet.BackendServer
    load: load.ServerLoad
    failures: float = 0.0
    weights_lag_s: float = 0.0
    cache_tokens: int = 0
    cache_salt: str = ""
    stored_tokens: int = 0
    version: int | None = None
    running: int = 0
    waiting_tokens: int = 0
    recently_computed_tokens: int = 0
    takes_long_prompts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SelectedServer:
    """The selected server.

    Attributes:
        candidate: The server.
        expected_s: Expected time to the first event; 0 if not estimated.
        cached_tokens: Prompt tokens that it need not compute.
        cost: What it was selected by, least first.
    """

    candidate: Candidate
    expected_s: float = 0.0
    cached_tokens: int = 0
    cost: float = 0.0


class Selection(abc.ABC):
    """Selects one of several servers."""

    name: str = ""
    aliases: tuple[str, ...] = ()

    @abc.abstractmethod
    def select(
        self, context: SelectionContext, candidates: Sequence[Candidate]
    ) -> SelectedServer:
        """Returns the server to use; `candidates` is not empty."""


class SelectionNotFound(registry.NameNotFound):
    """No selection has the requested name."""


selections: registry.Registry[Selection] = registry.Registry(
    "selection",
    SelectionNotFound,
    (f"{__name__}.expected_first_token", f"{__name__}.least_running"),
)


def get_selection_by_name(name: str) -> type[Selection]:
    """Returns the selection class with this name.

    Raises:
        SelectionNotFound: No selection has it.
    """
    return selections.get_by_name(name)
