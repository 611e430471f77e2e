"""What is known of the attempts of one request."""

from __future__ import annotations

from hibiscusstile import decimals, outcome
from hibiscusstile.gateway import routes

__all__ = ["RequestProgress"]


class RequestProgress:
    """Verdict, runs and last event of a request over all of its attempts.

    Args:
        last_event_id: Last event that the caller received, empty if none.
    """

    def __init__(self, last_event_id: str) -> None:
        self._verdict = outcome.Verdict.NOT_RUN
        self._attempt_pending = False
        self._run_counted = False
        self._runs = 0
        self._last_event_id = last_event_id
        self._events = 0
        self._addresses: set[str] = set()
        self._repeats_address = False

    @property
    def verdict(self) -> outcome.Verdict:
        """Whether a server may have run the request.

        A pending attempt counts as one that may have run it.
        """
        if self._attempt_pending:
            return self._verdict.combined_with(outcome.Verdict.MAY_HAVE_RUN)
        return self._verdict

    @property
    def runs(self) -> int:
        """Attempts that ran or may have run the request."""
        return self._runs

    @property
    def last_event_id(self) -> str:
        """Last event that the caller was sent, empty if none."""
        return self._last_event_id

    @property
    def events(self) -> int:
        """Events with content that the caller was sent."""
        return self._events

    @property
    def repeats_address(self) -> bool:
        """Whether an earlier attempt had the address of the current one.

        On the same connection, a late copy of the response to the earlier
        attempt could not be told apart: both have the ID of the request.
        """
        return self._repeats_address

    def note_attempt(self, address: str) -> None:
        """Records that an attempt at a server's address begins.

        It stays pending after a response, whose verdict is no weaker.
        """
        self._repeats_address = address in self._addresses
        self._addresses.add(address)
        self._attempt_pending = True
        self._run_counted = False

    def note_verdict(self, verdict: outcome.Verdict) -> None:
        """Records what an attempt tells without counting a run."""
        self._verdict = self._verdict.combined_with(verdict)

    def note_run(self, verdict: outcome.Verdict) -> None:
        """Records that the attempt ran, or may have run, the request."""
        self.note_verdict(verdict)
        if not self._run_counted:
            self._run_counted = True
            self._runs += 1

    def note_failure(self, verdict: outcome.Verdict) -> None:
        """Records that the attempt ended without a usable response."""
        self.note_verdict(verdict)
        self._attempt_pending = False

    def note_event(self, event_id: str, *, has_content: bool) -> None:
        """Records an event that was sent to the caller."""
        self._events += has_content
        if event_id:
            self._last_event_id = event_id

    def follows(self, event_id: str) -> bool:
        """Returns whether an event may come next after the last event.

        The IDs of a stream increase. IDs that are not numbers only differ.
        """
        last_id = self._last_event_id
        number, last_number = decimals.parse(event_id), decimals.parse(last_id)
        if number is not None and last_number is not None:
            return number > last_number
        return bool(event_id) and event_id != last_id

    def may_run_again(self, route: routes.Route, *, started: bool) -> bool:
        """Returns whether a request that may have run may be sent again.

        Args:
            route: Route of the request.
            started: Whether the caller was sent the head of a response.
        """
        if not route.retryable:
            return False
        if started and not (route.resumable and self._last_event_id):
            return False
        return self._runs < route.max_runs
