"""Limits the load that retries add."""

from __future__ import annotations

from hibiscusstile import outcome

__all__ = ["RetryBudget"]

_RETRIES_PER_FIRST_ATTEMPT = 0.1
_INITIAL_TOKENS = 10.0
_MAX_TOKENS = 50.0
# Share of the most tokens that is left for streams that a caller is already
# reading: cutting one wastes the work that was done for it.
_STARTED_RESERVE_SHARE = 0.1
_FREE_REASONS = (outcome.Reason.LEAVING, outcome.Reason.STALE_REVISION)


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Over any time, retries are at most a tenth of the first attempts plus the
    initial tokens. A request that a leaving or newer sidecar turned away
    costs no token: nothing was done for it, and a planned stop that returns
    its whole queue at once must not fail any request.

    Args:
        share: Retries that each first attempt adds.
        initial_tokens: Retries at the start.
        max_tokens: Most retries that can be saved up.
    """

    def __init__(
        self,
        *,
        share: float = _RETRIES_PER_FIRST_ATTEMPT,
        initial_tokens: float = _INITIAL_TOKENS,
        max_tokens: float = _MAX_TOKENS,
    ) -> None:
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = initial_tokens
        self._denied = 0

    @property
    def tokens(self) -> float:
        """Retries that are left now."""
        return self._tokens

    @property
    def denied(self) -> int:
        """Retries denied since the start."""
        return self._denied

    def resize(self, max_tokens: float) -> None:
        """Changes how many retries can be saved up."""
        self._max_tokens = max_tokens
        self._tokens = min(self._tokens, max_tokens)

    def note_first_attempt(self) -> None:
        """Counts a request's first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_acquire(
        self, refusal: outcome.Refusal, *, started: bool = False
    ) -> bool:
        """Returns whether a request may be tried again, and counts it.

        Args:
            refusal: How the attempt before ended.
            started: Whether the caller has part of the answer.
        """
        if (
            refusal.verdict is outcome.Verdict.NOT_RUN
            and refusal.reason in _FREE_REASONS
        ):
            return True
        reserve = 0.0 if started else _STARTED_RESERVE_SHARE * self._max_tokens
        # Ten times 0.1 is less than 1 in binary fractions.
        if self._tokens - reserve < 1.0 - 1e-6:
            self._denied += 1
            return False
        self._tokens -= 1.0
        return True
