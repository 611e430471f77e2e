"""Selects runners for model requests and logs each decision."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime

import logbook

from hibiscusstile import logs, outcome, policies, request
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.configuration import view as view_lib
from hibiscusstile.entry import sidecarpool
from hibiscusstile.peers import messages
from hibiscusstile.policies import split

__all__ = ["Route", "Router"]

_log = logbook.Logger("routing")

_BID_TIMEOUT = datetime.timedelta(milliseconds=60)
_MAX_BID_ROUNDS = 3  # all runners of a zone may refuse at once
_FALLBACK_POLICY = view_lib.RoutingPolicy("fallback", "bidding")


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The runner selected for a request.

    Attributes:
        runner: The sidecar's peer id.
        expected_cached_tokens: Cached prompt tokens according to its bid.
        reason: Why the policy selected it, for logs.
    """

    runner: str
    expected_cached_tokens: int
    reason: str


class Router:
    """Routes model requests according to the workspace's routing policy.

    Args:
        sidecars: The connections to sidecars.
        store: Holds the current configuration.
    """

    def __init__(
        self,
        sidecars: sidecarpool.SidecarPool,
        store: store_lib.ConfigurationStore,
    ) -> None:
        self._sidecars = sidecars
        self._store = store
        self._policy_cache: dict[tuple[int, str, bool], policies.Policy] = {}

    async def route(
        self,
        work: request.WorkItem,
        policy_name: str,
        excluded: frozenset[str],
    ) -> Route:
        """Returns the runner selected for a request.

        If all candidates refuse, further runners are asked for bids: after a
        crash, all runners that the policy prefers for a prefix may be down.

        Args:
            work: The request.
            policy_name: Name of the routing-policy record.
            excluded: Runners that already refused or failed the request.

        Raises:
            Refused: `no_backend`, or the reason of the first refusal in the
                last round of bids; the verdict is `not_run`.
        """
        policy = self._policy(policy_name, work)
        queried = set(excluded)
        bids: list[policies.Bid] = []
        for _ in range(_MAX_BID_ROUNDS):
            available = [
                view
                for view in self._sidecars.runners(work.model)
                if view.runner not in queried
            ]
            candidates = policy.candidates(work, available)
            if not candidates:
                break
            bids = await self._collect_bids(policy, work, candidates)
            choice = policy.choose(work, bids)
            self._log_choice(work, bids, choice)
            if choice is not None:
                cached = {bid.runner: bid.cached_tokens for bid in bids}
                return Route(
                    choice.runner, cached[choice.runner], choice.reason
                )
            queried.update(view.runner for view in candidates)
        raise outcome.Refused(_combined_refusal(work, bids))

    def _policy(self, name: str, work: request.WorkItem) -> policies.Policy:
        revision = self._store.revision
        record = self._store.view.policies.get(name, _FALLBACK_POLICY)
        variant = split.choose_variant(record, work)
        key = (revision, name, variant.is_trial)
        policy = self._policy_cache.get(key)
        if policy is None:
            policy = policies.get_policy_by_name(variant.algorithm)(
                variant.options
            )
            if (
                self._policy_cache
                and next(iter(self._policy_cache))[0] != revision
            ):
                self._policy_cache.clear()
            self._policy_cache[key] = policy
        return policy

    async def _collect_bids(
        self,
        policy: policies.Policy,
        work: request.WorkItem,
        candidates: list[policies.RunnerView],
    ) -> list[policies.Bid]:
        if not policy.asks_for_bids:
            return [
                policies.Bid(view.runner, load=view.load) for view in candidates
            ]
        replies = await asyncio.gather(
            *(self._request_bid(work, view) for view in candidates)
        )
        return [bid for bid in replies if bid is not None]

    async def _request_bid(
        self, work: request.WorkItem, view: policies.RunnerView
    ) -> policies.Bid | None:
        link = self._sidecars.link(view.runner)
        if link is None:
            return None
        reply = await link.request_bid(
            messages.BidRequest(
                link.next_request_number(),
                work.workspace,
                work.caller,
                work.rank,
                work.model,
                work.adapter,
                work.levels,
                work.prompt_tokens,
                work.max_tokens,
                work.suspect,
            ),
            _BID_TIMEOUT.total_seconds(),
        )
        if reply is None:
            return None
        return policies.Bid(
            view.runner,
            reply.cached_tokens,
            reply.wait_s,
            reply.prefill_s,
            reply.load,
            view.zone_cost_s,
            reply.refusal,
        )

    def _log_choice(
        self,
        work: request.WorkItem,
        bids: list[policies.Bid],
        choice: policies.Choice | None,
    ) -> None:
        fields = {
            "request": work.work_id,
            "workspace": work.workspace,
            "rank": work.rank,
            "bids": ",".join(_format_bid(bid) for bid in bids),
            "choice": choice.runner if choice else "none",
            "reason": choice.reason if choice else "all_refused",
            "revision": self._store.revision,
        }
        _log.info(logs.format_event("route", fields))


def _format_bid(bid: policies.Bid) -> str:
    if bid.refusal is not None:
        return f"{bid.runner}:{bid.refusal.value}"
    return f"{bid.runner}:{bid.first_token_s:.3f}s/{bid.cached_tokens}"


def _combined_refusal(
    work: request.WorkItem, bids: list[policies.Bid]
) -> outcome.Refusal:
    reasons = [bid.refusal for bid in bids if bid.refusal is not None]
    if not reasons:
        return outcome.Refusal(
            outcome.Reason.NO_BACKEND,
            f"no backend server for model {work.model!r} is available",
            retry_after=datetime.timedelta(seconds=1),
        )
    wait_s = min(bid.wait_s for bid in bids)
    return outcome.Refusal(
        reasons[0],
        "no backend server accepted the request",
        retry_after=datetime.timedelta(seconds=max(1.0, wait_s)),
    )
