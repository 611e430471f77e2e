"""Metrics computed from the results of a simulated run."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Sequence

from bench import entries, traffic

__all__ = [
    "RANKS",
    "TrialMetrics",
    "answered_share",
    "compute",
    "first_token_percentile",
    "hit_rate",
    "ideal_cached_by_id",
    "in_window",
    "percentile",
]

RANKS = ("urgent", "routine")
_DECIMALS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class TrialMetrics:
    """Metrics of a run, as listed in section 14 of the design page."""

    prefix_hit_rate: float
    recomputed_tokens: int
    ttft_p50_s: dict[str, float | None]
    ttft_p95_s: dict[str, float | None]
    ttft_p99_s: dict[str, float | None]
    answered: dict[str, float | None]


def percentile(values: Sequence[float], share: float) -> float | None:
    """Returns the nearest-rank percentile, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def in_window(
    results: Sequence[entries.RequestResult],
    start_s: float,
    end_s: float = math.inf,
    keep: Callable[[entries.RequestResult], bool] = lambda result: True,
) -> list[entries.RequestResult]:
    """Returns the results of requests that arrived in [start_s, end_s)."""
    return [r for r in results if start_s <= r.arrival_s < end_s and keep(r)]


def hit_rate(results: Sequence[entries.RequestResult]) -> float:
    """Returns the cached share of the prompt tokens of started requests."""
    started = [r for r in results if r.first_token_s is not None]
    prompt = sum(r.request.work.prompt_tokens for r in started)
    cached = sum(r.cached_tokens for r in started)
    return round(cached / prompt, _DECIMALS) if prompt else 0.0


def first_token_percentile(
    results: Sequence[entries.RequestResult], rank: str, share: float
) -> float | None:
    """Returns a percentile of a rank's time to first token in seconds."""
    times = [
        r.first_token_s
        for r in results
        if r.request.work.rank == rank and r.first_token_s is not None
    ]
    value = percentile(times, share)
    return None if value is None else round(value, _DECIMALS)


def answered_share(
    results: Sequence[entries.RequestResult], rank: str | None = None
) -> float | None:
    """Returns the share of complete answers, or None without requests."""
    selected = [r for r in results if rank in (None, r.request.work.rank)]
    if not selected:
        return None
    return round(sum(r.answered for r in selected) / len(selected), _DECIMALS)


def compute(
    results: Sequence[entries.RequestResult],
    ideal_cached: dict[str, int],
) -> TrialMetrics:
    """Computes the metrics of a set of results.

    Args:
        results: The results to measure.
        ideal_cached: Tokens that an unlimited cache would hold, by work id.
    """
    recomputed = sum(
        max(0, ideal_cached.get(r.request.work.work_id, 0) - r.cached_tokens)
        for r in results
        if r.first_token_s is not None
    )
    return TrialMetrics(
        hit_rate(results),
        recomputed,
        _percentile_by_rank(results, 0.5),
        _percentile_by_rank(results, 0.95),
        _percentile_by_rank(results, 0.99),
        {rank: answered_share(results, rank) for rank in RANKS},
    )


def _percentile_by_rank(
    results: Sequence[entries.RequestResult], share: float
) -> dict[str, float | None]:
    return {
        rank: first_token_percentile(results, rank, share) for rank in RANKS
    }


def ideal_cached_by_id(
    arrivals: Sequence[traffic.Arrival], block_tokens: int
) -> dict[str, int]:
    """Returns the tokens that an unlimited cache would hold, by work id."""
    requests = [each.request for each in arrivals]
    cached = traffic.ideal_cached_tokens(requests, block_tokens)
    return {
        request.work.work_id: tokens
        for request, tokens in zip(requests, cached, strict=True)
    }
