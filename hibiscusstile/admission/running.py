"""What the backend server runs, within its bounds."""

from __future__ import annotations

import dataclasses

from hibiscusstile.admission import fairness, limits, shares

__all__ = ["Running", "RunningSet"]


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A request handed to the backend server.

    Attributes:
        waiting: The request as it waited.
        state: Its rank.
        lower: Whether its rank is below the first one.
        bookings: What its start changed in the ranks' balances.
    """

    waiting: fairness.Waiting
    state: shares.RankState
    lower: bool
    bookings: tuple[shares.Booking, ...]


class RunningSet:
    """Counts running requests and tokens.

    A request below the first rank starts only if the slots and tokens in use
    stay within `lower_rank_share` of the bounds. What remains is headroom for
    the first rank, whose work a flood of long requests would otherwise find
    no slot for until one of them ends.

    Args:
        queue_limits: Bounds.
    """

    def __init__(self, queue_limits: limits.QueueLimits) -> None:
        self._limits = queue_limits
        self._running: dict[str, Running] = {}
        self._tokens = 0
        self._lower = 0
        self._lower_tokens = 0
        self._suspects = 0

    def __len__(self) -> int:
        return len(self._running)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._running

    @property
    def tokens(self) -> int:
        """Tokens of what runs, as estimated before."""
        return self._tokens

    @property
    def mean_tokens(self) -> float:
        """Mean tokens of a running request."""
        return self._tokens / max(1, len(self._running))

    @property
    def full(self) -> bool:
        """Whether no slot is free."""
        return len(self._running) >= self._limits.running

    @property
    def has_suspect(self) -> bool:
        """Whether a suspect runs."""
        return self._suspects > 0

    def add(self, running: Running) -> None:
        """Notes a start."""
        self._running[running.waiting.work.work_id] = running
        self._count(running, 1)

    def pop(self, work_id: str) -> Running | None:
        """Notes an end; None if the request does not run."""
        ended = self._running.pop(work_id, None)
        if ended is not None:
            self._count(ended, -1)
        return ended

    def has_room(self, cost: int) -> bool:
        """Whether so many more tokens may run; a lone request always may."""
        if not self._running:
            return True
        return self._tokens + cost <= self._limits.running_tokens

    def leaves_headroom(self, cost: int) -> bool:
        """Whether a request below the first rank keeps the headroom free."""
        return self._is_within_part(len(self._running), self._tokens, cost)

    def may_pass_headroom(self, cost: int) -> bool:
        """Whether one of a rank that is owed tokens may use the headroom."""
        return self._is_within_part(self._lower, self._lower_tokens, cost)

    def may_start(self, cost: int, *, lower: bool, suspect: bool) -> bool:
        """Whether a request could start if nothing waited."""
        if self.full or not self.has_room(cost):
            return False
        if suspect and self.has_suspect:
            return False
        return not lower or self.leaves_headroom(cost)

    def _is_within_part(self, running: int, tokens: int, cost: int) -> bool:
        """Whether one more stays within the part for lower ranks."""
        if not running:
            return True
        part = self._limits.lower_rank_share
        return (
            running + 1 <= self._limits.running * part
            and tokens + cost <= self._limits.running_tokens * part
        )

    def _count(self, running: Running, sign: int) -> None:
        tokens = sign * running.waiting.cost
        self._tokens += tokens
        if running.lower:
            self._lower += sign
            self._lower_tokens += tokens
        if running.waiting.work.suspect:
            self._suspects += sign
