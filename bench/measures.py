"""Figures of a run."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Sequence

from bench import entries, traffic

__all__ = [
    "RANKS",
    "Figures",
    "answered",
    "bound_by_id",
    "figures",
    "first_token",
    "hit_rate",
    "percentile",
    "select",
]

RANKS = ("urgent", "routine")
_DIGITS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """The figures of section 14 of the design page."""

    prefix_hit_rate: float
    recomputed_tokens: int
    ttft_p50_s: dict[str, float | None]
    ttft_p95_s: dict[str, float | None]
    ttft_p99_s: dict[str, float | None]
    answered: dict[str, float | None]


def percentile(values: Sequence[float], share: float) -> float | None:
    """Returns the nearest-rank percentile, None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def select(
    results: Sequence[entries.Result],
    start_s: float,
    end_s: float = math.inf,
    keep: Callable[[entries.Result], bool] = lambda result: True,
) -> list[entries.Result]:
    """Returns the results that arrived in [start_s, end_s)."""
    return [r for r in results if start_s <= r.arrival_s < end_s and keep(r)]


def hit_rate(results: Sequence[entries.Result]) -> float:
    """Returns cached tokens over prompt tokens of started requests."""
    started = [r for r in results if r.first_token_s is not None]
    prompt = sum(r.request.work.prompt_tokens for r in started)
    cached = sum(r.cached_tokens for r in started)
    return round(cached / prompt, _DIGITS) if prompt else 0.0


def first_token(
    results: Sequence[entries.Result], rank: str, share: float
) -> float | None:
    """Returns a percentile of the first-token time of a rank in seconds."""
    times = [
        r.first_token_s
        for r in results
        if r.request.work.rank == rank and r.first_token_s is not None
    ]
    value = percentile(times, share)
    return None if value is None else round(value, _DIGITS)


def answered(
    results: Sequence[entries.Result], rank: str | None = None
) -> float | None:
    """Returns the share of whole answers, None without requests."""
    chosen = [r for r in results if rank in (None, r.request.work.rank)]
    if not chosen:
        return None
    return round(sum(r.answered for r in chosen) / len(chosen), _DIGITS)


def figures(
    results: Sequence[entries.Result],
    bound: dict[str, int],
) -> Figures:
    """Returns the figures of some results.

    Args:
        results: The measured results.
        bound: Cached tokens of an unlimited cache by work id.
    """
    recomputed = sum(
        max(0, bound.get(r.request.work.work_id, 0) - r.cached_tokens)
        for r in results
        if r.first_token_s is not None
    )
    return Figures(
        hit_rate(results),
        recomputed,
        _by_rank(results, 0.5),
        _by_rank(results, 0.95),
        _by_rank(results, 0.99),
        {rank: answered(results, rank) for rank in RANKS},
    )


def _by_rank(
    results: Sequence[entries.Result], share: float
) -> dict[str, float | None]:
    return {rank: first_token(results, rank, share) for rank in RANKS}


def bound_by_id(
    arrivals: Sequence[traffic.Arrival], block_tokens: int
) -> dict[str, int]:
    """Returns an unlimited cache's cached tokens by work id."""
    requests = [each.request for each in arrivals]
    cached = traffic.bound_cached(requests, block_tokens)
    return {
        request.work.work_id: tokens
        for request, tokens in zip(requests, cached, strict=True)
    }
