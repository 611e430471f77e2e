"""Estimates how soon the local engine would send a request's first token."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence

from hibiscusstile import admission, cacheview, outcome, request
from hibiscusstile import clock as clock_lib

__all__ = ["BidEstimate", "Bidder"]

# Minimum length of a speed sample; a sample ends earlier when no prompt is
# pending.
_SPEED_WINDOW_S = 2.0
_NEW_SAMPLE_WEIGHT = 0.2  # in the moving average of the speed
# Smaller samples are dropped: they measure the engine's step time rather than
# its prefill speed.
_MIN_SAMPLE_TOKENS = 4000
_MIN_SPEED_RATIO = 0.1  # lower bound, relative to the configured speed


@dataclasses.dataclass(frozen=True, slots=True)
class BidEstimate:
    """Estimated cost of a request at a sidecar.

    Attributes:
        cached_tokens: Prompt tokens in the engine's prefix cache.
        wait_s: Expected seconds until the engine begins the prefill.
        prefill_s: Expected seconds to compute the uncached prompt tokens.
        load: Running and queued tokens.
        refusal: Why the queue would refuse the request now, or None.
    """

    cached_tokens: int
    wait_s: float
    prefill_s: float
    load: int
    refusal: outcome.Reason | None


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingPrefill:
    """A prompt sent to the engine that has no first token yet."""

    salt: str
    priority: int
    levels: tuple[request.PrefixLevel, ...]
    uncached_tokens: int


class Bidder:
    """Estimates when the local engine would start and prefill a request.

    The engine reports its load late, so the bidder itself tracks each prompt
    sent to the engine until its first token arrives.

    Args:
        clock: Clock for measuring the prefill speed.
        queue: The sidecar's admission queue.
        view: Model of the engine's prefix cache.
        prefill_tokens_per_s: Prefill speed assumed before any measurement.
        priority_of_rank: Returns the priority of a rank; 0 is served first.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        queue: admission.AdmissionQueue,
        view: cacheview.CacheView,
        prefill_tokens_per_s: float,
        priority_of_rank: Callable[[str], int],
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._view = view
        self._configured_speed = prefill_tokens_per_s
        self._speed = prefill_tokens_per_s
        self._priority_of_rank = priority_of_rank
        self._pending_prefills: dict[str, _PendingPrefill] = {}
        self._window_start_s = 0.0
        self._window_tokens = 0
        # Time of the last first token, or of the first dispatch after idling.
        self._last_progress_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prefill speed, as configured until one has been observed.

        It is observed while the engine also decodes.
        """
        return self._speed

    def estimate_bid(self, work: request.WorkItem, salt: str) -> BidEstimate:
        """Estimates the cost of serving a request now.

        Args:
            work: The request.
            salt: The request's cache salt, empty for an unknown model.
        """
        priority = self._priority_of_rank(work.rank)
        cached_tokens = (
            self._view.cached_tokens(salt, work.levels) if salt else 0
        )
        reused_tokens = max(
            cached_tokens, self._pending_cached_tokens(work, salt, priority)
        )
        refusal = self._queue.check(work, cached_tokens)
        return BidEstimate(
            cached_tokens,
            self._queue.expected_wait_s(work, cached_tokens)
            + self._backlog_s(priority),
            (work.prompt_tokens - reused_tokens) / self._speed,
            self._queue.load,
            refusal.reason if refusal else None,
        )

    def note_dispatched(self, work: request.WorkItem, salt: str) -> None:
        """Records that a prompt was sent to the engine."""
        priority = self._priority_of_rank(work.rank)
        reused_tokens = max(
            self._view.cached_tokens(salt, work.levels),
            self._pending_cached_tokens(work, salt, priority),
        )
        now_s = self._clock.monotonic()
        if not self._pending_prefills:
            self._window_start_s = self._last_progress_s = now_s
            self._window_tokens = 0
        self._pending_prefills[work.work_id] = _PendingPrefill(
            salt, priority, work.levels, work.prompt_tokens - reused_tokens
        )

    def note_first_token(self, work_id: str, computed_tokens: int) -> None:
        """Records the first token of a request, which ends its prefill.

        Args:
            work_id: Identifier of the request.
            computed_tokens: Prompt tokens that were not cached.
        """
        if self._pending_prefills.pop(work_id, None) is None:
            return
        self._last_progress_s = self._clock.monotonic()
        self._window_tokens += computed_tokens
        self._observe_speed()

    def note_ended(self, work_id: str) -> None:
        """Stops tracking a request that has ended.

        Does nothing if its first token was recorded.
        """
        self._pending_prefills.pop(work_id, None)

    def _observe_speed(self) -> None:
        now_s = self._clock.monotonic()
        elapsed_s = now_s - self._window_start_s
        if self._pending_prefills and elapsed_s < _SPEED_WINDOW_S:
            return
        if elapsed_s > 0 and self._window_tokens >= _MIN_SAMPLE_TOKENS:
            sample = self._window_tokens / elapsed_s
            self._speed += _NEW_SAMPLE_WEIGHT * (sample - self._speed)
            min_speed = _MIN_SPEED_RATIO * self._configured_speed
            self._speed = max(self._speed, min_speed)
        self._window_start_s = now_s
        self._window_tokens = 0

    def _backlog_s(self, priority: int) -> float:
        tokens = sum(
            prefill.uncached_tokens
            for prefill in self._pending_prefills.values()
            if prefill.priority <= priority
        )
        # The engine has worked on these prefills since the last progress.
        since_progress_s = self._clock.monotonic() - self._last_progress_s
        return max(0.0, tokens / self._speed - since_progress_s)

    def _pending_cached_tokens(
        self, work: request.WorkItem, salt: str, priority: int
    ) -> int:
        """Returns the prompt tokens that other prefills will cache first.

        These are the leading tokens that the prompt shares with a pending
        prefill of the same or a higher priority.
        """
        shared = (
            _shared_tokens(work.levels, prefill.levels)
            for prefill in self._pending_prefills.values()
            if prefill.salt == salt and prefill.priority <= priority
        )
        return max(shared, default=0)


def _shared_tokens(
    levels: Sequence[request.PrefixLevel],
    other_levels: Sequence[request.PrefixLevel],
) -> int:
    tokens = 0
    for level, other in zip(levels, other_levels, strict=False):
        if level.digest != other.digest:
            break
        tokens = level.tokens
    return tokens
