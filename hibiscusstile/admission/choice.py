"""Chooses the request that starts next."""

from __future__ import annotations

import dataclasses
import itertools

from hibiscusstile import request
from hibiscusstile.admission import fairness, room, shares, table
from hibiscusstile.admission import running as running_lib

__all__ = ["Choice", "Chooser"]

# Callers whose turn may be skipped in one search, which bounds its cost.
_MAX_SKIPPED = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A request that may start, with its standing."""

    state: shares.RankState
    waiting: fairness.Waiting
    standing: running_lib.Standing


class Chooser:
    """Applies ranks, shares and headroom to what waits and what runs.

    Args:
        policy: Ranks in force.
        waiting_room: What waits.
        running: What runs.
    """

    def __init__(
        self,
        policy: table.PolicyTable,
        waiting_room: room.WaitingRoom,
        running: running_lib.RunningSet,
    ) -> None:
        self._policy = policy
        self._room = waiting_room
        self._running = running

    def next(self, now_s: float) -> Choice | None:
        """Returns the most urgent head, or that of a rank that is owed."""
        first: Choice | None = None
        for state in self._room.states:
            state.decay(now_s)
            heads = state.heads(self._running.has_suspect)
            for head in itertools.islice(heads, _MAX_SKIPPED + 1):
                first_cost = first.waiting.cost if first else 0
                if self._is_due(state, head, first_cost):
                    return self._due(state, head)
                if first is not None:
                    break
                standing = self.standing(head.work, now_s)
                if self._running.accepts_prefill(
                    head.prefill, standing
                ) and self._running.leaves_headroom(head.size, standing):
                    first = Choice(state, head, standing)
                    break
        return first

    def standing(
        self, work: request.WorkItem, now_s: float
    ) -> running_lib.Standing:
        """Returns a request's claim, under the rank in which it waits."""
        excess = self._policy.is_excess(work.rank)
        return running_lib.Standing(
            self._policy.rank(work.rank).level,
            self._policy.is_lower(work.rank),
            excess
            or self._room.state(work.rank).demand.is_large(
                work.workspace, work.caller, now_s
            ),
            excess,
        )

    def _due(
        self, state: shares.RankState, head: fairness.Waiting
    ) -> Choice | None:
        """Returns the start of a rank that is owed, None to wait for it.

        It has the first rank's priority, as the engine would otherwise put
        it behind the work that its share protects it from; excess work comes
        next to that. Nothing else starts until the engine takes it.
        """
        excess = self._policy.is_excess(state.name)
        standing = running_lib.Standing(
            self._policy.top_level,
            self._policy.is_lower(state.name),
            excess,
            excess,
        )
        if not self._running.accepts_prefill(head.prefill, standing):
            return None
        return Choice(state, head, standing)

    def _is_due(
        self, state: shares.RankState, head: fairness.Waiting, first_cost: int
    ) -> bool:
        """Whether a rank is served for its share.

        It is counted as if the head of the more urgent rank had started, so
        that the share holds after that start too.
        """
        share = self._policy.rank(state.name).share
        return (
            share > 0
            and state.owed + share * first_cost > 0
            and self._running.may_pass_headroom(head.size)
        )
