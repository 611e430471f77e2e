"""A sidecar's bounded queue: who runs next, who waits, who is refused."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome, request

__all__ = ["AdmissionQueue", "QueueLimits"]


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bounds of a queue.

    Attributes:
        running: Requests handed to the backend server at once.
        running_tokens: Tokens handed to the engine at once.
        queued_tokens: Tokens that may wait.
        queued_requests: Requests that may wait.
        prefill_tokens_per_s: The engine's speed before any was observed.
    """

    running: int
    running_tokens: int
    queued_tokens: int
    queued_requests: int
    prefill_tokens_per_s: float


@dataclasses.dataclass(slots=True)
class _Waiting:
    work: request.WorkItem
    deadline_s: float


class AdmissionQueue:
    """Orders waiting requests; first come, first served.

    Args:
        clock: Measures deadlines.
        limits: Bounds.
    """

    def __init__(self, clock: clock_lib.Clock, limits: QueueLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._waiting: dict[str, _Waiting] = {}
        self._running: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Requests handed to the backend server."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    @property
    def load(self) -> int:
        """Running and waiting tokens."""
        return sum(self._running.values()) + self._waiting_tokens()

    def check(self, work: request.WorkItem) -> outcome.Refusal | None:
        """Returns the refusal that `offer` would give now, if any."""
        tokens = self._waiting_tokens() + _cost(work)
        if (
            tokens > self._limits.queued_tokens
            or len(self._waiting) >= self._limits.queued_requests
        ):
            return outcome.Refusal(
                outcome.Reason.OVERLOADED,
                "the queue is full",
                retry_after=datetime.timedelta(seconds=self.wait_s(work)),
            )
        return None

    def offer(
        self, work: request.WorkItem, deadline_s: float
    ) -> outcome.Refusal | None:
        """Takes a request into the queue, or refuses it.

        Args:
            work: The request; its `work_id` must be fresh.
            deadline_s: Monotonic time after which it is not to start.
        """
        refusal = self.check(work)
        if refusal is None:
            self._waiting[work.work_id] = _Waiting(work, deadline_s)
        return refusal

    def take(self) -> request.WorkItem | None:
        """Returns the next request to start, None if none may start now."""
        if len(self._running) >= self._limits.running:
            return None
        for work_id, waiting in self._waiting.items():
            del self._waiting[work_id]
            self._running[work_id] = _cost(waiting.work)
            return waiting.work
        return None

    def finish(self, work_id: str, served_tokens: int) -> None:
        """Frees the place of a request that ended.

        Args:
            work_id: The request; unknown ones are ignored.
            served_tokens: Tokens the engine computed for it.
        """
        del served_tokens
        self._running.pop(work_id, None)

    def cancel(self, work_id: str) -> bool:
        """Removes a waiting request; False if it does not wait."""
        return self._waiting.pop(work_id, None) is not None

    def expire(self) -> list[request.WorkItem]:
        """Removes and returns waiting requests past their deadline."""
        now_s = self._clock.monotonic()
        late = [w for w in self._waiting.values() if w.deadline_s < now_s]
        for waiting in late:
            del self._waiting[waiting.work.work_id]
        return [waiting.work for waiting in late]

    def drain(self) -> list[request.WorkItem]:
        """Removes and returns all waiting requests."""
        works = [waiting.work for waiting in self._waiting.values()]
        self._waiting.clear()
        return works

    def wait_s(self, work: request.WorkItem) -> float:
        """Returns the expected seconds until the request would start."""
        del work
        if len(self._running) < self._limits.running and not self._waiting:
            return 0.0
        return self._waiting_tokens() / self._limits.prefill_tokens_per_s

    def _waiting_tokens(self) -> int:
        return sum(_cost(w.work) for w in self._waiting.values())


def _cost(work: request.WorkItem) -> int:
    return work.prompt_tokens + work.max_tokens
