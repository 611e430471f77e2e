"""Start-time fair queueing over flows with lasting virtual times."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

import sortedcontainers

__all__ = ["Flow", "FlowSet"]

# Idle flows that still owe are forgotten beyond this number, least debt first,
# so that a caller who invents names cannot grow the table.
_MAX_IDLE_FLOWS = 1024


class Flow:
    """One party that competes for service.

    Attributes:
        key: Its name within its set.
        weight: Its share relative to the set's other flows.
        start_tag: Virtual time at which its next request starts.
        tokens: Tokens that wait.
        requests: Requests that wait.
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
    """Flows ordered by their virtual start time.

    A flow that has waiting requests is ready. One that becomes ready starts
    no earlier than the set's virtual time, so idleness earns no credit; a
    flow that goes idle keeps what it owes until the virtual time has passed
    it. Every method takes O(log n) for n flows.
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
        """Flows with waiting requests."""
        return len(self._backlogged)

    @property
    def backlogged_weight(self) -> float:
        """Sum of the ready flows' weights."""
        return self._backlogged_weight

    def get(self, key: str) -> _F | None:
        """Returns a flow, None if it neither waits nor owes."""
        return self._flows.get(key)

    def iter_in_order(self) -> Iterator[_F]:
        """Yields the ready flows in order of service.

        The set must not change meanwhile.
        """
        for _, key in self._backlogged:
            yield self._flows[key]

    def largest(self) -> _F | None:
        """Returns the ready flow with the most waiting tokens per weight."""
        return self._flows[self._by_size[-1][1]] if self._by_size else None

    def lead_tokens(self, flow: _F | None) -> float:
        """Returns the tokens that a flow has received ahead of its turn.

        Args:
            flow: None stands for one that is new to the set.
        """
        if flow is None:
            return 0.0
        return max(0.0, flow.start_tag - self._virtual_time) * flow.weight

    def count_before(self, flow: _F | None) -> int:
        """Returns how many ready flows start before a flow does.

        Args:
            flow: None stands for one that is new to the set.
        """
        if flow is not None and flow.requests:
            return int(self._backlogged.bisect_left((flow.start_tag, flow.key)))
        start_tag = self._virtual_time
        if flow is not None:
            start_tag = max(start_tag, flow.start_tag)
        return int(self._backlogged.bisect_right((start_tag, _MAX_KEY)))

    def add_request(self, flow: _F, tokens: int) -> None:
        """Adds a waiting request to a flow, which may be new to the set."""
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
        """Charges a ready flow for a request that starts.

        The virtual time does not pass a flow whose turn was skipped.
        """
        self._virtual_time = max(self._virtual_time, self._backlogged[0][0])
        self.charge(flow.key, tokens)
        while self._idle and self._idle[0][0] <= self._virtual_time:
            _, key = self._idle.pop(0)
            del self._flows[key]

    def charge(self, key: str, tokens: int, max_credit: int = 0) -> None:
        """Moves a flow's start time by tokens, which may be negative.

        Args:
            key: The flow; one that neither waits nor owes is ignored.
            tokens: The charge, or a refund.
            max_credit: Tokens by which a refund may put the flow ahead of the
                set's virtual time.
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
            raise ValueError(f"two flows are named {flow.key!r}")
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
