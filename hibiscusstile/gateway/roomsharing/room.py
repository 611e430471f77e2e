"""Decides who is refused while a route's requests find too little room.

Answers a burst or a flood that engines cannot serve within the target latency:
while an engine is expected to respond in time, a request is sent there, unless
its workspace takes more than its fair share; if none is, it is refused at once.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import random
from collections.abc import Callable, Mapping

from hibiscusstile import metrics, outcome
from hibiscusstile.gateway import overload
from hibiscusstile.gateway.roomsharing import fairshares, returns

__all__ = ["RoomRequest", "RoomSharing", "RouteRoom", "latest_s"]

_MAX_ROUTES = 1024
# Share of the target latency within which a request must be expected to have
# its first event. One in ten takes a third longer than expected.
_TARGET_SHARE = 0.75
# Share of the permitted wait up to which requests beyond a fair share are sent.
# The rest of the wait remains for the others; the engines stay busy.
_EXCESS_WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RoomRequest:
    """A request that asks for room at an engine.

    Attributes:
        flow: Whom it belongs to.
        tokens: Tokens of its prompt and at most of its output.
        target_latency_s: Target latency of its route.
        timeout_s: Time that its caller waits; None if unknown.
    """

    flow: fairshares.Flow
    tokens: int
    target_latency_s: float
    timeout_s: float | None = None


class RouteRoom:
    """Room that the requests of one route find, as one gateway sees it.

    Args:
        draw: Returns a random number from 0 to 1.
    """

    def __init__(self, draw: Callable[[], float] = random.random) -> None:
        self._draw = draw
        self._shares = fairshares.FairShares()
        self._returns = returns.ReturnSchedule()
        self._decisions: collections.Counter[str] = collections.Counter()

    @property
    def shares(self) -> fairshares.FairShares:
        """Demand of the workspaces and the level that is fair."""
        return self._shares

    @property
    def decisions(self) -> Mapping[str, int]:
        """Number of requests `sent` and refused as `late` or `excess`."""
        return self._decisions

    def note_demand(self, request: RoomRequest, now_s: float) -> None:
        """Counts a request as demand of its workspace."""
        self._shares.note_demand(request.flow, request.tokens, now_s)

    def refusal(
        self,
        request: RoomRequest,
        expected_s: float,
        unloaded_s: float,
        now_s: float,
    ) -> outcome.Refusal | None:
        """Returns the refusal of a request, or None if it should be sent.

        Args:
            request: The request.
            expected_s: Expected time to its first event at the best engine.
            unloaded_s: Part of `expected_s` that an idle engine would also
                need.
            now_s: Time on the monotonic clock.
        """
        limit_s = latest_s(request.target_latency_s, unloaded_s)
        excess = self._draw() < self._shares.excess_share(request.flow, now_s)
        if expected_s > limit_s:
            decision = "late"
            message = "no server is expected to respond in time"
        elif excess and expected_s > _excess_limit_s(limit_s, unloaded_s):
            decision = "excess"
            message = "room is short and the workspace exceeds its fair share"
        else:
            self._shares.note_granted(request.tokens, now_s)
            self._returns.note_placed(now_s)
            self._note_decision("sent")
            return None
        self._note_decision(decision)
        return_s = self._returns.next_return_s(
            expected_s - limit_s, request.timeout_s, now_s
        )
        return outcome.Refusal(
            outcome.Reason.OVERLOADED,
            message,
            retry_after=datetime.timedelta(seconds=round(return_s, 2)),
        )

    def _note_decision(self, decision: str) -> None:
        self._decisions[decision] += 1
        metrics.count_room_decision(decision)


def latest_s(target_latency_s: float, unloaded_s: float) -> float:
    """Returns the expected time beyond which a request is refused.

    Args:
        target_latency_s: Target latency of the route.
        unloaded_s: Part of the expected time that an idle engine would need.
    """
    return overload.limit_s(_TARGET_SHARE * target_latency_s, unloaded_s)


def _excess_limit_s(limit_s: float, unloaded_s: float) -> float:
    return unloaded_s + _EXCESS_WAIT_SHARE * (limit_s - unloaded_s)


class RoomSharing:
    """Room of all routes of one gateway.

    Args:
        enabled: Whether room is shared; if None, it is where the configuration
            gives workspaces allowances.
    """

    def __init__(self, enabled: bool | None = None) -> None:
        self._enabled = enabled
        self._routes: collections.OrderedDict[str, RouteRoom] = (
            collections.OrderedDict()
        )

    @property
    def routes(self) -> Mapping[str, RouteRoom]:
        """Room of the routes whose requests have asked for it."""
        return self._routes

    def is_enabled(self, has_allowances: bool) -> bool:
        """Returns whether requests share room under a configuration."""
        return has_allowances if self._enabled is None else self._enabled

    def set_enabled(self, enabled: bool | None) -> None:
        """Applies a changed setting."""
        self._enabled = enabled

    def route(self, name: str) -> RouteRoom:
        """Returns the room of a route."""
        room = self._routes.get(name)
        if room is None:
            room = self._routes[name] = RouteRoom()
            if len(self._routes) > _MAX_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(name)
        return room
