"""Start-time fair queueing over flows with lasting virtual times."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

import sortedcontainers

__all__ = ["Flow", "FlowSet"]

# Idle flows that still owe are forgotten beyond this number, least debt first,
# so that a caller who invents names cannot grow the table.
_MAX_IDLE = 1024


class Flow:
    """One party that competes for service.

    Attributes:
        key: Its name within its set.
        weight: Its share relative to the set's other flows.
        tag: Virtual time at which its next request starts.
        tokens: Tokens that wait.
        requests: Requests that wait.
    """

    __slots__ = ("key", "requests", "tag", "tokens", "weight")

    def __init__(self, key: str, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.tag = 0.0
        self.tokens = 0
        self.requests = 0


_LAST_KEY = "\U0010ffff"

_F = TypeVar("_F", bound=Flow)


class FlowSet(Generic[_F]):
    """Flows ordered by their virtual start time.

    A flow that has waiting requests is ready. One that becomes ready starts
    no earlier than the set's virtual time, so idleness earns no credit; a
    flow that goes idle keeps what it owes until the virtual time has passed
    it. Every method takes O(log n) for n flows.
    """

    def __init__(self) -> None:
        self._virtual = 0.0
        self._flows: dict[str, _F] = {}
        self._ready = sortedcontainers.SortedList()
        self._sizes = sortedcontainers.SortedList()
        self._idle = sortedcontainers.SortedList()
        self._ready_weight = 0.0

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def ready(self) -> int:
        """Flows with waiting requests."""
        return len(self._ready)

    @property
    def ready_weight(self) -> float:
        """Sum of the ready flows' weights."""
        return self._ready_weight

    def get(self, key: str) -> _F | None:
        """Returns a flow, None if it neither waits nor owes."""
        return self._flows.get(key)

    def in_order(self) -> Iterator[_F]:
        """Yields the ready flows in order of service.

        The set must not change meanwhile.
        """
        for _, key in self._ready:
            yield self._flows[key]

    def largest(self) -> _F | None:
        """Returns the ready flow with the most waiting tokens per weight."""
        return self._flows[self._sizes[-1][1]] if self._sizes else None

    def lag(self, flow: _F | None) -> float:
        """Returns the tokens that a flow has received ahead of its turn.

        Args:
            flow: None stands for one that is new to the set.
        """
        if flow is None:
            return 0.0
        return max(0.0, flow.tag - self._virtual) * flow.weight

    def before(self, flow: _F | None) -> int:
        """Returns how many ready flows start before a flow does.

        Args:
            flow: None stands for one that is new to the set.
        """
        if flow is not None and flow.requests:
            return int(self._ready.bisect_left((flow.tag, flow.key)))
        tag = self._virtual
        if flow is not None:
            tag = max(tag, flow.tag)
        return int(self._ready.bisect_right((tag, _LAST_KEY)))

    def grow(self, flow: _F, tokens: int) -> None:
        """Adds a waiting request to a flow, which may be new to the set."""
        if flow.requests:
            self._sizes.remove((flow.tokens / flow.weight, flow.key))
        else:
            self._make_ready(flow)
        flow.tokens += tokens
        flow.requests += 1
        self._sizes.add((flow.tokens / flow.weight, flow.key))

    def shrink(self, flow: _F, tokens: int) -> None:
        """Removes a waiting request from a flow."""
        self._sizes.remove((flow.tokens / flow.weight, flow.key))
        flow.tokens -= tokens
        flow.requests -= 1
        if flow.requests:
            self._sizes.add((flow.tokens / flow.weight, flow.key))
            return
        self._ready.remove((flow.tag, flow.key))
        self._ready_weight -= flow.weight
        if not self._ready:
            self._ready_weight = 0.0
        self._keep_idle(flow)

    def start(self, flow: _F, tokens: int) -> None:
        """Charges a ready flow for a request that starts.

        The virtual time does not pass a flow whose turn was skipped.
        """
        self._virtual = max(self._virtual, self._ready[0][0])
        self.charge(flow.key, tokens)
        while self._idle and self._idle[0][0] <= self._virtual:
            _, key = self._idle.pop(0)
            del self._flows[key]

    def charge(self, key: str, tokens: int, credit: int = 0) -> None:
        """Moves a flow's start time by tokens, which may be negative.

        Args:
            key: The flow; one that neither waits nor owes is ignored.
            tokens: The charge, or a refund.
            credit: Tokens by which a refund may put the flow ahead of the
                set's virtual time.
        """
        flow = self._flows.get(key)
        if flow is None:
            return
        place = self._ready if flow.requests else self._idle
        place.remove((flow.tag, key))
        least = min(flow.tag, self._virtual - credit / flow.weight)
        flow.tag = max(flow.tag + tokens / flow.weight, least)
        if flow.requests:
            place.add((flow.tag, key))
        else:
            self._keep_idle(flow)

    def _make_ready(self, flow: _F) -> None:
        if self._flows.setdefault(flow.key, flow) is not flow:
            raise ValueError(f"two flows are named {flow.key!r}")
        self._idle.discard((flow.tag, flow.key))
        flow.tag = max(flow.tag, self._virtual)
        self._ready.add((flow.tag, flow.key))
        self._ready_weight += flow.weight

    def _keep_idle(self, flow: _F) -> None:
        if flow.tag <= self._virtual:
            del self._flows[flow.key]
            return
        self._idle.add((flow.tag, flow.key))
        if len(self._idle) > _MAX_IDLE:
            _, key = self._idle.pop(0)
            del self._flows[key]
