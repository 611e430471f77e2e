"""Hierarchical fair queue of one rank: workspaces, then their callers."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator

from hibiscusstile import request
from hibiscusstile.admission import flows

__all__ = ["FairQueue", "QueuedRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A waiting request.

    Attributes:
        work: The request, with the rank in whose queue it waits.
        offered_work: The request with its original rank.
        total_tokens: Prompt tokens plus the maximum of generated tokens.
        cost: Estimated tokens to compute: the total without the part of the
            prompt that is in the engine's cache.
        arrival_number: Sequence number in order of arrival.
        offered_s: Monotonic time of arrival.
        deadline_s: Monotonic time after which it must not start.
    """

    work: request.WorkItem
    offered_work: request.WorkItem
    total_tokens: int
    cost: int
    arrival_number: int
    offered_s: float
    deadline_s: float

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens to compute."""
        return max(0, self.cost - self.work.max_tokens)


class _Caller(flows.Flow):
    __slots__ = ("waiting",)

    def __init__(self, key: str) -> None:
        super().__init__(key, 1.0)
        self.waiting: collections.OrderedDict[str, QueuedRequest] = (
            collections.OrderedDict()
        )


class _Workspace(flows.Flow):
    __slots__ = ("callers",)

    def __init__(self, key: str, weight: float) -> None:
        super().__init__(key, weight)
        self.callers: flows.FlowSet[_Caller] = flows.FlowSet()


class FairQueue:
    """Waiting requests of one rank, served fairly by tokens."""

    def __init__(self) -> None:
        self._workspaces: flows.FlowSet[_Workspace] = flows.FlowSet()
        self._tokens = 0
        self._requests = 0

    def __len__(self) -> int:
        return self._requests

    @property
    def tokens(self) -> int:
        """Cost of all waiting requests, in tokens."""
        return self._tokens

    @property
    def _mean_tokens(self) -> float:
        return self._tokens / max(1, self._requests)

    def add(self, queued: QueuedRequest, weight: float) -> None:
        """Appends a request to its caller's queue.

        Args:
            queued: The request.
            weight: Weight of its workspace, above 0. Ignored while the
                workspace has other requests waiting.
        """
        work = queued.work
        workspace = self._workspaces.get(work.workspace)
        if workspace is None:
            workspace = _Workspace(work.workspace, weight)
        elif not workspace.requests:
            workspace.weight = weight
        caller = workspace.callers.get(work.caller)
        if caller is None:
            caller = _Caller(work.caller)
        caller.waiting[work.work_id] = queued
        workspace.callers.add_request(caller, queued.cost)
        self._workspaces.add_request(workspace, queued.cost)
        self._tokens += queued.cost
        self._requests += 1

    def remove(self, queued: QueuedRequest) -> None:
        """Removes a waiting request without charging for it.

        Raises:
            ValueError: The request is not in the queue.
        """
        work = queued.work
        workspace = self._workspaces.get(work.workspace)
        caller = workspace.callers.get(work.caller) if workspace else None
        if workspace is None or caller is None:
            raise ValueError(f"request {work.work_id!r} is not in the queue")
        del caller.waiting[work.work_id]
        workspace.callers.remove_request(caller, queued.cost)
        self._workspaces.remove_request(workspace, queued.cost)
        self._tokens -= queued.cost
        self._requests -= 1

    def heads(self) -> Iterator[QueuedRequest]:
        """Yields the first request of each caller, in order of service."""
        for workspace in self._workspaces.iter_in_order():
            for caller in workspace.callers.iter_in_order():
                yield next(iter(caller.waiting.values()))

    def start(self, queued: QueuedRequest) -> None:
        """Removes a request that starts and charges its flows for it."""
        work = queued.work
        workspace = self._workspaces.get(work.workspace)
        caller = workspace.callers.get(work.caller) if workspace else None
        if workspace is not None and caller is not None:
            workspace.callers.start(caller, queued.cost)
            self._workspaces.start(workspace, queued.cost)
        self.remove(queued)

    def charge_unqueued(self, queued: QueuedRequest) -> None:
        """Charges for a request that starts from outside this queue."""
        self._charge(queued.work, queued.cost, 0)

    def correct_charge(self, queued: QueuedRequest, served_tokens: int) -> None:
        """Charges the difference between served and estimated tokens.

        A refund moves a start tag below the virtual time by at most the cost
        of this request. Otherwise the refunds of many requests that ran on an
        idle engine would add up to an advantage over later callers.
        """
        tokens = served_tokens - queued.cost
        self._charge(queued.work, tokens, queued.cost)

    def newest_of_largest(self) -> QueuedRequest | None:
        """Returns the newest request of the caller with the largest backlog.

        That is the largest caller of the workspace with the most waiting
        tokens per weight.
        """
        workspace = self._workspaces.largest()
        caller = workspace.callers.largest() if workspace else None
        return next(reversed(caller.waiting.values())) if caller else None

    def newest_of_workspace(self, name: str) -> QueuedRequest | None:
        """Returns the newest request of a workspace's largest caller."""
        workspace = self._workspaces.get(name)
        caller = workspace.callers.largest() if workspace else None
        return next(reversed(caller.waiting.values())) if caller else None

    def workspace_size(self, name: str) -> tuple[int, int, float]:
        """Returns a workspace's waiting tokens, requests and weight."""
        workspace = self._workspaces.get(name)
        if workspace is None:
            return 0, 0, 1.0
        return workspace.tokens, workspace.requests, workspace.weight

    def caller_size(self, workspace: str, name: str) -> tuple[int, int]:
        """Returns a caller's waiting tokens and requests."""
        flow = self._workspaces.get(workspace)
        caller = flow.callers.get(name) if flow else None
        return (caller.tokens, caller.requests) if caller else (0, 0)

    def tokens_ahead(self, work: request.WorkItem, weight: float) -> float:
        """Estimates the tokens that start before a new request, in O(log n).

        Until the request starts, every other backlogged flow is served as
        many tokens per weight as the request's own flow, and at least one
        request if it precedes that flow now.

        Args:
            work: The request.
            weight: Weight of its workspace, above 0.
        """
        own_tokens = caller_tokens_ahead = 0.0
        workspace = self._workspaces.get(work.workspace)
        if workspace is not None:
            own_tokens = workspace.tokens
            caller_tokens_ahead = self._tokens_ahead_in_workspace(
                workspace, work.caller
            )
        fair_tokens = caller_tokens_ahead + self._workspaces.lead_tokens(
            workspace
        )
        other_weight = self._workspaces.backlogged_weight
        if workspace is not None and workspace.requests:
            other_weight -= workspace.weight
        equal_tokens = fair_tokens * max(0.0, other_weight) / weight
        min_tokens = (
            self._workspaces.count_before(workspace) * self._mean_tokens
        )
        return caller_tokens_ahead + min(
            self._tokens - own_tokens, max(equal_tokens, min_tokens)
        )

    def _tokens_ahead_in_workspace(
        self, workspace: _Workspace, caller_name: str
    ) -> float:
        callers = workspace.callers
        caller = callers.get(caller_name)
        own_tokens = caller.tokens if caller else 0
        other_callers = callers.backlogged - (1 if own_tokens else 0)
        equal_tokens = (
            own_tokens + callers.lead_tokens(caller)
        ) * other_callers
        min_tokens = callers.count_before(caller) * self._mean_tokens
        return own_tokens + min(
            workspace.tokens - own_tokens, max(equal_tokens, min_tokens)
        )

    def _charge(
        self, work: request.WorkItem, tokens: int, max_credit: int
    ) -> None:
        workspace = self._workspaces.get(work.workspace)
        if workspace is not None:
            workspace.callers.charge(work.caller, tokens, max_credit)
            self._workspaces.charge(work.workspace, tokens, max_credit)
