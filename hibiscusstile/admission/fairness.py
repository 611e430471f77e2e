"""Fair order of one rank's waiting requests: by workspace, then by caller."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator

from hibiscusstile import request
from hibiscusstile.admission import flows

__all__ = ["FairQueue", "Waiting"]


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A waiting request.

    Attributes:
        work: The request, under the rank in whose queue it waits.
        offered: The request as it was offered.
        size: Tokens of its prompt and its longest answer.
        cost: Tokens to compute, as estimated before it runs: its size without
            the part of the prompt that the engine holds in cache.
        number: Position in the order of arrival.
        offered_s: Monotonic time of arrival.
        deadline_s: Monotonic time after which it is not to start.
    """

    work: request.WorkItem
    offered: request.WorkItem
    size: int
    cost: int
    number: int
    offered_s: float
    deadline_s: float

    @property
    def prefill(self) -> int:
        """Prompt tokens to compute."""
        return max(0, self.cost - self.work.max_tokens)


class _Caller(flows.Flow):
    __slots__ = ("waiting",)

    def __init__(self, key: str) -> None:
        super().__init__(key, 1.0)
        self.waiting: collections.OrderedDict[str, Waiting] = (
            collections.OrderedDict()
        )


class _Workspace(flows.Flow):
    __slots__ = ("callers",)

    def __init__(self, key: str, weight: float) -> None:
        super().__init__(key, weight)
        self.callers: flows.FlowSet[_Caller] = flows.FlowSet()


class FairQueue:
    """Waiting requests of one rank, fair in tokens."""

    def __init__(self) -> None:
        self._workspaces: flows.FlowSet[_Workspace] = flows.FlowSet()
        self._tokens = 0
        self._requests = 0

    def __len__(self) -> int:
        return self._requests

    @property
    def tokens(self) -> int:
        """Tokens that wait."""
        return self._tokens

    @property
    def _mean_tokens(self) -> float:
        return self._tokens / max(1, self._requests)

    def add(self, waiting: Waiting, weight: float) -> None:
        """Adds a request at the end of its caller's line.

        Args:
            waiting: The request.
            weight: Its workspace's weight, above 0. It takes effect when the
                workspace has no other request waiting.
        """
        work = waiting.work
        workspace = self._workspaces.get(work.workspace)
        if workspace is None:
            workspace = _Workspace(work.workspace, weight)
        elif not workspace.requests:
            workspace.weight = weight
        caller = workspace.callers.get(work.caller)
        if caller is None:
            caller = _Caller(work.caller)
        caller.waiting[work.work_id] = waiting
        workspace.callers.add_request(caller, waiting.cost)
        self._workspaces.add_request(workspace, waiting.cost)
        self._tokens += waiting.cost
        self._requests += 1

    def remove(self, waiting: Waiting) -> None:
        """Removes a request that waits."""
        work = waiting.work
        workspace = self._workspaces.get(work.workspace)
        caller = workspace.callers.get(work.caller) if workspace else None
        if workspace is None or caller is None:
            raise ValueError(f"request {work.work_id!r} does not wait")
        del caller.waiting[work.work_id]
        workspace.callers.remove_request(caller, waiting.cost)
        self._workspaces.remove_request(workspace, waiting.cost)
        self._tokens -= waiting.cost
        self._requests -= 1

    def heads(self) -> Iterator[Waiting]:
        """Yields the first request of each caller, in order of turn."""
        for workspace in self._workspaces.iter_in_order():
            for caller in workspace.callers.iter_in_order():
                yield next(iter(caller.waiting.values()))

    def start(self, waiting: Waiting) -> None:
        """Removes a request that starts and charges for it."""
        work = waiting.work
        workspace = self._workspaces.get(work.workspace)
        caller = workspace.callers.get(work.caller) if workspace else None
        if workspace is not None and caller is not None:
            workspace.callers.start(caller, waiting.cost)
            self._workspaces.start(workspace, waiting.cost)
        self.remove(waiting)

    def charge_apart(self, waiting: Waiting) -> None:
        """Charges for a request that starts without waiting in this queue."""
        self._charge(waiting.work, waiting.cost, 0)

    def correct(self, waiting: Waiting, served_tokens: int) -> None:
        """Charges the difference between served and estimated tokens.

        A refund leaves the flow at most this one request ahead of the others.
        Refunds of all the requests that it ran on an idle engine would
        otherwise let it pass callers that arrive later.
        """
        tokens = served_tokens - waiting.cost
        self._charge(waiting.work, tokens, waiting.cost)

    def newest_of_largest(self) -> Waiting | None:
        """Returns the newest request of the caller who exceeds most."""
        workspace = self._workspaces.largest()
        caller = workspace.callers.largest() if workspace else None
        return next(reversed(caller.waiting.values())) if caller else None

    def newest_of_workspace(self, name: str) -> Waiting | None:
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
        found = self._workspaces.get(workspace)
        caller = found.callers.get(name) if found else None
        return (caller.tokens, caller.requests) if caller else (0, 0)

    def tokens_ahead(self, work: request.WorkItem, weight: float) -> float:
        """Returns the tokens that start before a new request would.

        An estimate in O(log n): every other ready flow receives as much per
        weight as the request's own flow until it is the request's turn, and
        at least one request if it is before that flow now.
        """
        own = within = 0.0
        workspace = self._workspaces.get(work.workspace)
        if workspace is not None:
            own = workspace.tokens
            within = self._ahead_within(workspace, work.caller)
        reach = within + self._workspaces.lead_tokens(workspace)
        others = self._workspaces.backlogged_weight
        if workspace is not None and workspace.requests:
            others -= workspace.weight
        equal = reach * max(0.0, others) / weight
        first = self._workspaces.count_before(workspace) * self._mean_tokens
        return within + min(self._tokens - own, max(equal, first))

    def _ahead_within(self, workspace: _Workspace, caller_name: str) -> float:
        callers = workspace.callers
        caller = callers.get(caller_name)
        own = caller.tokens if caller else 0
        others = callers.backlogged - (1 if own else 0)
        equal = (own + callers.lead_tokens(caller)) * others
        first = callers.count_before(caller) * self._mean_tokens
        return own + min(workspace.tokens - own, max(equal, first))

    def _charge(self, work: request.WorkItem, tokens: int, credit: int) -> None:
        workspace = self._workspaces.get(work.workspace)
        if workspace is not None:
            workspace.callers.charge(work.caller, tokens, credit)
            self._workspaces.charge(work.workspace, tokens, credit)
