"""Builders of runners, work items and policies for routing tests."""

from __future__ import annotations

from hibiscusstile import outcome, policies, request
from hibiscusstile.configuration import view
from hibiscusstile.peers import messages
from tests.builders.base import work_item

__all__ = [
    "FakeSidecarLink",
    "FakeSidecarPool",
    "runner_views",
    "split_policy",
    "unshared_levels",
    "work_item_with_history",
]


def runner_views(count: int = 6) -> list[policies.RunnerView]:
    """Returns runners without a known load."""
    return [policies.RunnerView(f"runner{n}") for n in range(count)]


def work_item_with_history(
    work_id: str, *, question: int = 1, rank: str = "urgent"
) -> request.WorkItem:
    """Returns a request with shared instructions and a user's history."""
    levels = (
        request.PrefixLevel(1, 4000),
        request.PrefixLevel(2, 9000),
        request.PrefixLevel(1000 + question, 9100),
    )
    return work_item(work_id, rank=rank, levels=levels, prompt_tokens=9100)


def split_policy(*, share: float) -> view.RoutingPolicy:
    """Returns a policy record that splits `bidding` and `prefix_hash`."""
    return view.RoutingPolicy(
        "default",
        "bidding",
        split_algorithm="prefix_hash",
        split_share=share,
    )


def unshared_levels(number: int) -> tuple[request.PrefixLevel, ...]:
    """Returns prefix levels that differ for each number."""
    return (
        request.PrefixLevel(10_000 + 2 * number, 4000),
        request.PrefixLevel(10_001 + 2 * number, 4100),
    )


class FakeSidecarPool:
    """A pool whose runners refuse all bid requests unless they are free."""

    def __init__(self, *, runners: int, free: set[str]) -> None:
        self._views = runner_views(runners)
        self._free = free
        self.queried_runners: list[str] = []

    def runners(self, model: str) -> list[policies.RunnerView]:
        """Returns all runners."""
        del model
        return list(self._views)

    def link(self, peer_id: str) -> FakeSidecarLink:
        """Returns the link to a runner."""
        self.queried_runners.append(peer_id)
        return FakeSidecarLink(peer_id in self._free)


class FakeSidecarLink:
    """A link that answers bid requests at once."""

    def __init__(self, free: bool) -> None:
        self._free = free

    def next_request_number(self) -> int:
        """Returns a constant number for the bid request."""
        return 1

    async def request_bid(
        self, bid: messages.BidRequest, timeout_s: float
    ) -> messages.BidReply:
        """Returns a bid, or a refusal unless the runner is free."""
        del timeout_s
        refusal = None if self._free else outcome.Reason.OVERLOADED
        return messages.BidReply(bid.bid_id, 0, 0.0, 0.1, 0, refusal)
