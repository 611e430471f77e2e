"""Builders of fleets and work for routing policies."""

from __future__ import annotations

from hibiscusstile import policies, request
from hibiscusstile.configuration import view
from tests.builders.basics import (
    work_item,
)

__all__ = [
    "cold_levels",
    "routed_work",
    "runner_views",
    "split_record",
]


def runner_views(count: int = 6) -> list[policies.RunnerView]:
    """Returns runners whose loads are not known."""
    return [policies.RunnerView(f"runner{n}") for n in range(count)]


def routed_work(
    work_id: str, *, question: int = 1, rank: str = "urgent"
) -> request.WorkItem:
    """Returns a request behind shared instructions and a member's history."""
    levels = (
        request.PrefixLevel(1, 4000),
        request.PrefixLevel(2, 9000),
        request.PrefixLevel(1000 + question, 9100),
    )
    return work_item(work_id, rank=rank, levels=levels, prompt_tokens=9100)


def split_record(*, share: float) -> view.RoutingPolicy:
    """Returns a policy record that compares `bidding` with `prefix_hash`."""
    return view.RoutingPolicy(
        "default",
        "bidding",
        split_algorithm="prefix_hash",
        split_share=share,
    )


def cold_levels(number: int) -> tuple[request.PrefixLevel, ...]:
    """Returns levels that no other number shares."""
    return (
        request.PrefixLevel(10_000 + 2 * number, 4000),
        request.PrefixLevel(10_001 + 2 * number, 4100),
    )
