"""Decides whether one request may be sent again, within the retry budget."""

from __future__ import annotations

from hibiscusstile import outcome, retrybudget
from hibiscusstile.gateway import (
    exchange,
    requestlog,
    requestprogress,
    resolving,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["Retries"]

# A stream that leaves its silent server may be rejected by the next one and
# then has to go back.
_TOKENS_TO_LEAVE = 2


class Retries:
    """Retries of one request.

    Args:
        state: State of this gateway process.
        destination: Route and service of the request.
        writer: Writes the response to the caller.
        progress: Attempts of the request.
        log: Log of the request.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        destination: resolving.Destination,
        writer: exchange.ResponseWriter,
        progress: requestprogress.RequestProgress,
        log: requestlog.RequestLog,
    ) -> None:
        self._state = state
        self._destination = destination
        self._writer = writer
        self._progress = progress
        self._log = log
        self._held_tokens = 0
        # Where the held tokens come from: a reload of the settings replaces the
        # budgets.
        self._held_from: retrybudget.RetryBudget | None = None

    def may_run_again(self) -> bool:
        """Returns whether a request that may have run may be sent again."""
        return self._progress.may_run_again(
            self._destination.route, started=self._writer.started
        )

    def acquire(self) -> bool:
        """Returns whether the budget allows a retry, and takes its token."""
        if self._held_tokens:
            self._held_tokens -= 1
            granted = True
        else:
            granted = self._try_acquire()
        self._log.retry_decided(granted)
        return granted

    def has_tokens_to_leave(self) -> bool:
        """Returns whether the budget may have the tokens to hold."""
        return self._budget.tokens + self._held_tokens >= _TOKENS_TO_LEAVE

    def hold_tokens_to_leave(self) -> bool:
        """Takes the tokens of the next retries, if the budget has them all.

        Returns:
            Whether it has.
        """
        if not self.has_tokens_to_leave():
            return False
        self._held_from = self._budget
        while self._held_tokens < _TOKENS_TO_LEAVE:
            if not self._try_acquire():
                self.release()
                return False
            self._held_tokens += 1
        return True

    def release(self) -> None:
        """Returns the tokens that were taken and not used."""
        if self._held_from is not None:
            self._held_from.return_tokens(self._held_tokens)
        self._held_tokens = 0
        self._held_from = None

    @property
    def _budget(self) -> retrybudget.RetryBudget:
        return self._state.budget(self._destination.service.name)

    def _try_acquire(self) -> bool:
        # Only the reason matters to the budget: the retry costs a token.
        refusal = outcome.Refusal(outcome.Reason.BACKEND_FAILED, "retry")
        return self._budget.try_acquire(refusal, started=self._writer.started)
