"""Token bucket that limits the load added by retries."""

from __future__ import annotations

from hibiscusstile import outcome

__all__ = ["RetryBudget"]

_RETRIES_PER_FIRST_ATTEMPT = 0.1
_INITIAL_TOKENS = 10.0
_MAX_TOKENS = 50.0
# Share of the bucket reserved for retries of streams that have already sent
# output: cutting such a stream wastes the work done for it.
_STARTED_RESERVE_SHARE = 0.1
_FREE_RETRY_REASONS = (outcome.Reason.LEAVING, outcome.Reason.STALE_REVISION)


class RetryBudget:
    """Token bucket that is filled by first attempts and drained by retries.

    With the default share, retries that cost a token never exceed a tenth of
    the first attempts plus the initial tokens. A retry is free if a sidecar
    refused the request without running it because the sidecar is leaving or
    has another configuration revision. Such a refusal caused no load, and
    the planned stop of a sidecar, which refuses its whole queue at once, must
    not fail any request.

    Args:
        share: Tokens added by each first attempt.
        initial_tokens: Tokens at the start.
        max_tokens: Capacity of the bucket.
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
        """Retries currently available."""
        return self._tokens

    @property
    def denied(self) -> int:
        """Number of retries denied so far."""
        return self._denied

    def resize(self, max_tokens: float) -> None:
        """Changes the capacity of the bucket."""
        self._max_tokens = max_tokens
        self._tokens = min(self._tokens, max_tokens)

    def note_first_attempt(self) -> None:
        """Adds the tokens earned by a request's first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_acquire(
        self, refusal: outcome.Refusal, *, started: bool = False
    ) -> bool:
        """Returns whether a retry is allowed, and takes its token.

        Args:
            refusal: Outcome of the previous attempt.
            started: Whether the caller has received part of the response.
        """
        if (
            refusal.verdict is outcome.Verdict.NOT_RUN
            and refusal.reason in _FREE_RETRY_REASONS
        ):
            return True
        reserve = 0.0 if started else _STARTED_RESERVE_SHARE * self._max_tokens
        # The tolerance allows for rounding: adding 0.1 ten times gives less
        # than 1.
        if self._tokens - reserve < 1.0 - 1e-6:
            self._denied += 1
            return False
        self._tokens -= 1.0
        return True

    def return_tokens(self, tokens: int) -> None:
        """Returns tokens of retries that were not made."""
        self._tokens = min(self._max_tokens, self._tokens + tokens)
