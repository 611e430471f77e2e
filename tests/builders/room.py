"""A load on engines, played against a decision who is refused."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable, Mapping

from hibiscusstile.gateway import roomsharing

__all__ = ["Outcomes", "Refuses", "Request", "play", "room_request"]

TARGET_S = 0.3
_ENGINES = 8
_TOKENS = 400
_DURATION_S = 10.0
UNLOADED_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of the load, and what the best engine would need.

    Attributes:
        room: What it states of itself.
        expected_s: Expected time to its first event.
        now_s: Time at which it arrives.
    """

    room: roomsharing.RoomRequest
    expected_s: float
    now_s: float


@dataclasses.dataclass(slots=True)
class Outcomes:
    """What callers got, by workspace."""

    asked: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_time: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def share(self, *workspaces: str) -> float:
        """Returns the share of requests that were answered in time."""
        asked = sum(self.asked[each] for each in workspaces)
        return sum(self.in_time[each] for each in workspaces) / asked


Refuses = Callable[[Request], bool]


def room_request(
    workspace: str = "a",
    *,
    caller: str = "key",
    rank: int = 0,
    weight: float = 1.0,
    tokens: int = _TOKENS,
) -> roomsharing.RoomRequest:
    """Returns a short question."""
    flow = roomsharing.Flow(workspace, caller, rank, weight)
    return roomsharing.RoomRequest(flow, tokens, TARGET_S, 4.0)


def play(
    refuses: Refuses,
    requests: Mapping[roomsharing.RoomRequest, float],
    capacity_per_s: float = 100.0,
) -> Outcomes:
    """Plays ten seconds of load on engines that work off their queues.

    Args:
        refuses: Whether a request is refused.
        requests: Requests and how often each arrives in a second.
        capacity_per_s: Requests that all engines serve in a second.
    """
    source = random.Random(7)
    free_s = [0.0] * _ENGINES
    service_s = _ENGINES / capacity_per_s
    outcomes = Outcomes()
    kinds, rates = list(requests), list(requests.values())
    now_s = 0.0
    while now_s < _DURATION_S:
        now_s += source.expovariate(sum(rates))
        asked = source.choices(kinds, rates)[0]
        engine = min(range(_ENGINES), key=free_s.__getitem__)
        wait_s = max(0.0, free_s[engine] - now_s)
        outcomes.asked[asked.flow.workspace] += 1
        if refuses(Request(asked, wait_s + UNLOADED_S, now_s)):
            continue
        free_s[engine] = now_s + wait_s + service_s
        if wait_s + UNLOADED_S <= TARGET_S:
            outcomes.in_time[asked.flow.workspace] += 1
    return outcomes
