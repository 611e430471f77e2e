"""The decision behind a sidecar's bid: how soon could it start this work."""

from __future__ import annotations

import dataclasses

from hibiscusstile import admission, cacheview, outcome, request

__all__ = ["Bidder", "Offer"]


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """What a sidecar offers for a request.

    Attributes:
        cached_tokens: Prompt tokens the engine holds in cache.
        wait_s: Expected seconds until the engine takes the request up.
        prefill_s: Expected seconds to compute the prompt's other tokens.
        load: Running and queued tokens.
        refusal: The reason when it would be refused now, else None.
    """

    cached_tokens: int
    wait_s: float
    prefill_s: float
    load: int
    refusal: outcome.Reason | None


class Bidder:
    """Values requests against the local queue and cache.

    Args:
        queue: The sidecar's queue.
        view: What the engine holds in cache.
        prefill_tokens_per_s: The engine's speed.
    """

    def __init__(
        self,
        queue: admission.AdmissionQueue,
        view: cacheview.CacheView,
        prefill_tokens_per_s: float,
    ) -> None:
        self._queue = queue
        self._view = view
        self._prefill_tokens_per_s = prefill_tokens_per_s

    def offer(self, work: request.WorkItem, salt: str) -> Offer:
        """Returns what the sidecar can offer now.

        Args:
            work: The request.
            salt: The cache salt of its scope, empty for an unknown model.
        """
        cached = self._view.cached_tokens(salt, work.levels) if salt else 0
        refusal = self._queue.check(work)
        return Offer(
            cached,
            self._queue.wait_s(work),
            (work.prompt_tokens - cached) / self._prefill_tokens_per_s,
            self._queue.load,
            refusal.reason if refusal else None,
        )
