"""Start-time fair queueing (SFQ) over weighted flows."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

import sortedcontainers

__all__ = ["Flow", "FlowSet"]

# Limit of idle flows that are kept for their debt; the smallest debts are
# dropped first. It bounds memory if a caller uses ever new names.
_MAX_IDLE_FLOWS = 1024


class Flow:
    """A weighted flow of requests.

    Attributes:
        key: Name, unique within its set.
        weight: Service rate relative to the other flows of the set.
        start_tag: Virtual start time of its next request.
        tokens: Waiting tokens.
        requests: Number of waiting requests.
    """

    __slots__ = ("key", "requests", "start_tag", "tokens", "weight")

    def __init__(self, key: str, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.start_tag = 0.0
        self.tokens = 0
        self.requests = 0


_MAX_KEY = "\U0010ffff"

_F = TypeVar("_F", bound=Flow)


class FlowSet(Generic[_F]):
    """Flows ordered by virtual start time.

    A flow is backlogged while it has waiting requests, otherwise idle. When
    it becomes backlogged, its start tag is raised to the virtual time, so
    that an idle period earns no credit. An idle flow that was served ahead
    of the virtual time is kept until the virtual time reaches its start tag.
    Every method takes O(log n) for n flows.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._flows: dict[str, _F] = {}
        self._backlogged = sortedcontainers.SortedList()
        self._by_size = sortedcontainers.SortedList()
        self._idle = sortedcontainers.SortedList()
        self._backlogged_weight = 0.0

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def backlogged(self) -> int:
        """Number of backlogged flows."""
        return len(self._backlogged)

    @property
    def backlogged_weight(self) -> float:
        """Sum of the backlogged flows' weights."""
        return self._backlogged_weight

    def get(self, key: str) -> _F | None:
        """Returns a flow, None if it is idle without debt."""
        return self._flows.get(key)

    def iter_in_order(self) -> Iterator[_F]:
        """Yields the backlogged flows in order of service.

        The set must not change during the iteration.
        """
        for _, key in self._backlogged:
            yield self._flows[key]

    def largest(self) -> _F | None:
        """Returns the backlogged flow with the most tokens per weight."""
        return self._flows[self._by_size[-1][1]] if self._by_size else None

    def lead_tokens(self, flow: _F | None) -> float:
        """Returns the tokens by which a flow is ahead of the virtual time.

        Args:
            flow: None for a flow that is not in the set.
        """
        if flow is None:
            return 0.0
        return max(0.0, flow.start_tag - self._virtual_time) * flow.weight

    def count_before(self, flow: _F | None) -> int:
        """Returns how many backlogged flows are served before a flow.

        Args:
            flow: None for a flow that is not in the set.
        """
        if flow is not None and flow.requests:
            return int(self._backlogged.bisect_left((flow.start_tag, flow.key)))
        start_tag = self._virtual_time
        if flow is not None:
            start_tag = max(start_tag, flow.start_tag)
        return int(self._backlogged.bisect_right((start_tag, _MAX_KEY)))

    def add_request(self, flow: _F, tokens: int) -> None:
        """Adds a waiting request to a flow, and the flow to the set if new."""
        if flow.requests:
            self._by_size.remove((flow.tokens / flow.weight, flow.key))
        else:
            self._add_backlogged(flow)
        flow.tokens += tokens
        flow.requests += 1
        self._by_size.add((flow.tokens / flow.weight, flow.key))

    def remove_request(self, flow: _F, tokens: int) -> None:
        """Removes a waiting request from a flow."""
        self._by_size.remove((flow.tokens / flow.weight, flow.key))
        flow.tokens -= tokens
        flow.requests -= 1
        if flow.requests:
            self._by_size.add((flow.tokens / flow.weight, flow.key))
            return
        self._backlogged.remove((flow.start_tag, flow.key))
        self._backlogged_weight -= flow.weight
        if not self._backlogged:
            self._backlogged_weight = 0.0
        self._add_idle(flow)

    def start(self, flow: _F, tokens: int) -> None:
        """Charges a backlogged flow for a request that starts.

        The virtual time advances to the smallest start tag only, so that a
        flow that was skipped keeps its place.
        """
        self._virtual_time = max(self._virtual_time, self._backlogged[0][0])
        self.charge(flow.key, tokens)
        while self._idle and self._idle[0][0] <= self._virtual_time:
            _, key = self._idle.pop(0)
            del self._flows[key]

    def charge(self, key: str, tokens: int, max_credit: int = 0) -> None:
        """Advances a flow's start tag by a charge, or reduces it by a refund.

        Args:
            key: Name of the flow; ignored if it is not in the set.
            tokens: The charge; negative for a refund.
            max_credit: Tokens by which a refund may move the start tag below
                the virtual time.
        """
        flow = self._flows.get(key)
        if flow is None:
            return
        index = self._backlogged if flow.requests else self._idle
        index.remove((flow.start_tag, key))
        min_tag = min(
            flow.start_tag, self._virtual_time - max_credit / flow.weight
        )
        flow.start_tag = max(flow.start_tag + tokens / flow.weight, min_tag)
        if flow.requests:
            index.add((flow.start_tag, key))
        else:
            self._add_idle(flow)

    def _add_backlogged(self, flow: _F) -> None:
        if self._flows.setdefault(flow.key, flow) is not flow:
            raise ValueError(
                f"another flow in the set has the name {flow.key!r}"
            )
        self._idle.discard((flow.start_tag, flow.key))
        flow.start_tag = max(flow.start_tag, self._virtual_time)
        self._backlogged.add((flow.start_tag, flow.key))
        self._backlogged_weight += flow.weight

    def _add_idle(self, flow: _F) -> None:
        if flow.start_tag <= self._virtual_time:
            del self._flows[flow.key]
            return
        self._idle.add((flow.start_tag, flow.key))
        if len(self._idle) > _MAX_IDLE_FLOWS:
            _, key = self._idle.pop(0)
            del self._flows[key]
