"""What the backend server runs, within its bounds."""

from __future__ import annotations

import collections
import dataclasses

from hibiscusstile import request
from hibiscusstile.admission import fairness, limits, shares

__all__ = ["Running", "RunningSet", "Standing"]


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """A request's claim to slots and to the engine's order of prefills.

    Attributes:
        level: Its rank's level; 0 is served first.
        lower: Whether its rank is below the first one.
        large: Whether its caller asks for several times the others' mean.
        excess: Whether its caller asks for more than all others.
    """

    level: int
    lower: bool
    large: bool
    excess: bool = False

    @property
    def priority(self) -> int:
        """The priority passed to the engine; lower runs first."""
        return 2 * self.level + self.large


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A request handed to the backend server.

    Attributes:
        waiting: The request as it waited.
        state: Its rank.
        standing: Its claim against the others.
        bookings: What its start changed in the ranks' balances.
    """

    waiting: fairness.Waiting
    state: shares.RankState
    standing: Standing
    bookings: tuple[shares.Booking, ...]


class RunningSet:
    """Counts running requests and tokens.

    Each class of requests starts only while the slots and tokens in use stay
    within a part of the bounds, and every next class within a smaller one:
    the first rank, its large callers, lower ranks, their large callers,
    excess work. A flood of one class would otherwise leave the better ones
    no slot until one of its long requests ends.

    Args:
        queue_limits: Bounds.
    """

    def __init__(self, queue_limits: limits.QueueLimits) -> None:
        self._limits = queue_limits
        self._running: dict[str, Running] = {}
        self._tokens = 0
        self._cost = 0
        self._lower = 0
        self._lower_tokens = 0
        self._suspects = 0
        self._prefill: dict[str, int] = {}
        self._prefill_by_priority: collections.Counter[int] = (
            collections.Counter()
        )

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
        """Mean tokens to compute of a running request."""
        return self._cost / max(1, len(self._running))

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
        work_id = running.waiting.work.work_id
        self._running[work_id] = running
        self._count(running, 1)
        self._prefill[work_id] = running.waiting.prefill
        self._count_prefill(running, running.waiting.prefill)

    def pop(self, work_id: str) -> Running | None:
        """Notes an end; None if the request does not run."""
        self.note_prefill_done(work_id)
        ended = self._running.pop(work_id, None)
        if ended is not None:
            self._count(ended, -1)
        return ended

    def note_prefill_done(self, work_id: str) -> None:
        """Notes that a request's prompt is computed."""
        tokens = self._prefill.pop(work_id, None)
        if tokens is not None:
            self._count_prefill(self._running[work_id], -tokens)

    def priority(self, work_id: str) -> int | None:
        """Returns a running request's priority, None if it does not run."""
        running = self._running.get(work_id)
        return running.standing.priority if running else None

    def accepts_prefill(self, tokens: int, standing: Standing) -> bool:
        """Whether the engine may be handed so much more prompt.

        What the engine has been handed is out of the queue's order, so it
        gets little more than keeps it busy. It computes prompts of better
        priority first, so that prompts of worse priority do not count.
        """
        most = self._limits.prefill_ahead_tokens
        ahead = sum(
            waiting
            for priority, waiting in self._prefill_by_priority.items()
            if priority <= standing.priority
        )
        return not most or not ahead or ahead + tokens <= most

    def has_room(self, size: int) -> bool:
        """Whether so many more tokens may run; a lone request always may."""
        if not self._running:
            return True
        return self._tokens + size <= self._limits.running_tokens

    def leaves_headroom(self, size: int, standing: Standing) -> bool:
        """Whether a request's start leaves the headroom of better claims."""
        part = self._limits.next_class_share ** (
            2 * standing.lower + standing.large + standing.excess
        )
        return self._is_within(part, len(self._running), self._tokens, size)

    def may_pass_headroom(self, size: int) -> bool:
        """Whether one of a rank that is owed tokens may use the headroom."""
        part = self._limits.next_class_share
        return self._is_within(part, self._lower, self._lower_tokens, size)

    def may_start(
        self,
        work: request.WorkItem,
        prefill: int,
        standing: Standing,
    ) -> bool:
        """Whether a request could start if nothing waited."""
        size = work.prompt_tokens + work.max_tokens
        if self.full or not self.has_room(size):
            return False
        if work.suspect and self.has_suspect:
            return False
        if not self.accepts_prefill(prefill, standing):
            return False
        return self.leaves_headroom(size, standing)

    def _is_within(
        self, part: float, running: int, tokens: int, size: int
    ) -> bool:
        """Whether one more stays within a part of the bounds."""
        if not running or part >= 1:
            return True
        return (
            running + 1 <= self._limits.running * part
            and tokens + size <= self._limits.running_tokens * part
        )

    def _count(self, running: Running, sign: int) -> None:
        tokens = sign * running.waiting.size
        self._tokens += tokens
        self._cost += sign * running.waiting.cost
        if running.standing.lower:
            self._lower += sign
            self._lower_tokens += tokens
        if running.waiting.work.suspect:
            self._suspects += sign

    def _count_prefill(self, running: Running, tokens: int) -> None:
        self._prefill_by_priority[running.standing.priority] += tokens
