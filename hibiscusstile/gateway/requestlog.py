"""Logging and metrics of a single request."""

from __future__ import annotations

import logbook

from hibiscusstile import logs, metrics, outcome
from hibiscusstile.gateway import (
    deadline,
    exchange,
    requestprogress,
    resolving,
    selection,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["RequestLog"]

_log = logbook.Logger("request")

_SERVER_SELECTED = "server_selected"


class RequestLog:
    """Logs and counts the decisions made for one request.

    Args:
        state: State of this gateway process.
        request: The request.
        destination: Route and service that the request was resolved to.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        request: exchange.ForwardedRequest,
        destination: resolving.Destination,
    ) -> None:
        self._state = state
        self._request = request
        self._destination = destination
        # Seconds from the request's arrival to the first event; 0 until then.
        self._first_event_s = 0.0
        self._status: int | None = None
        self._server_id = ""
        self._last_failure: exchange.AttemptFailed | None = None
        # When the server was sent the request, or last sent an event.
        self._server_output_s = request.received_s
        self._caller_wait_s = 0.0

    def note_status(self, status: int) -> None:
        """Records the status of the complete response sent to the caller.

        Not called for streams and refusals.
        """
        self._status = status

    def note_server_output(self, now_s: float) -> None:
        """Records that the server has sent an event with content."""
        self._server_output_s = now_s

    def note_caller_wait(self, seconds: float) -> None:
        """Adds time in which the caller was not ready to read."""
        self._caller_wait_s += seconds

    def note_first_event(self) -> None:
        """Records the arrival of the first event of the response."""
        if not self._first_event_s:
            self._first_event_s = self._elapsed_s()
            metrics.observe_first_event(
                self._destination.rank, self._first_event_s
            )

    def server_selected(
        self, selected: selection.SelectedServer, event: str = _SERVER_SELECTED
    ) -> None:
        """Logs a selected server with the inputs of the decision.

        Args:
            selected: The server and the estimates behind its selection.
            event: `server_too_busy` if the request is refused because the
                server would answer too late.
        """
        candidate = selected.candidate
        if event == _SERVER_SELECTED:
            self._server_id = candidate.server.server_id
            self._server_output_s = self._state.clock.monotonic()
        # The last part belongs to this request alone, so the one before it ends
        # the shared prefix. Log readers leave out fields that are None.
        parts = self._request.parts
        traffic = self._state.even_load.traffic(self._destination.service.name)
        logs.event(
            _log,
            event,
            request=self._request.request_id,
            server=candidate.server.server_id,
            service=self._destination.service.name,
            zone=candidate.server.zone,
            running=candidate.load.running,
            running_elsewhere=candidate.running - candidate.load.running,
            waiting_tokens=candidate.waiting_tokens or None,
            expected_s=round(selected.expected_s, 4),
            cost=round(selected.cost, 3),
            salt=candidate.cache_salt if parts else None,
            prefix=parts[-2].part_id if len(parts) > 1 else None,
            prompt_tokens=self._request.prompt_tokens or None,
            cached_tokens=selected.cached_tokens or None,
            stored_tokens=candidate.stored_tokens or None,
            behind_s=round(candidate.weights_lag_s, 2) or None,
            failures=round(candidate.failure_rate, 3) or None,
            unseen=round(traffic.unseen, 2) if traffic.active else None,
            spread=round(traffic.spread, 3) or None,
            elapsed_s=self._elapsed_s(),
        )

    def attempt_failed(
        self, server_id: str, failure: exchange.AttemptFailed
    ) -> None:
        """Logs and counts an attempt without a complete, usable response."""
        self._last_failure = failure
        self._attempt(
            server_id,
            failure.cause.value,
            failure.verdict,
            detail=str(failure),
        )

    def attempt_answered(self, server_id: str, result: str) -> None:
        """Logs and counts an attempt that got a complete response."""
        self._attempt(server_id, result, outcome.Verdict.RAN)

    def server_silent(self, server_id: str) -> None:
        """Logs and counts a server that sends no event of its stream."""
        metrics.count_silent_server()
        self._silence("server_silent", server_id)

    def server_silence_ended(self, server_id: str) -> None:
        """Logs that a silent server has sent an event."""
        self._silence("server_silence_ended", server_id)

    def _silence(self, event: str, server_id: str) -> None:
        now_s = self._state.clock.monotonic()
        logs.event(
            _log,
            event,
            request=self._request.request_id,
            server=server_id,
            silent_s=round(now_s - self._server_output_s, 3),
            elapsed_s=self._elapsed_s(),
        )

    def retry_decided(self, granted: bool) -> None:
        """Counts a retry decision, and logs a retry denied by the budget."""
        service = self._destination.service.name
        metrics.count_retry(service, granted)
        if not granted:
            logs.event(
                _log,
                "retry_denied",
                request=self._request.request_id,
                budget=service,
            )

    def request_ended(
        self,
        result: str,
        progress: requestprogress.RequestProgress,
        limit: deadline.RequestDeadline,
        refusal: outcome.Refusal | None,
    ) -> None:
        """Logs and counts the end of the request.

        The logged configuration version is the one in force at the end. The
        line of a request that was sent to a server and not served says by
        itself why, since the lines before it may have been dropped.

        Args:
            result: Outcome of the request for the log and the metrics.
            progress: Attempts of the request.
            limit: When the request must have its final response.
            refusal: Why the request was refused; None for other outcomes.
        """
        route = self._destination.route
        metrics.count_request(route.kind.value, self._destination.rank, result)
        table = self._state.table
        retry_after = refusal.retry_after if refusal else None
        logs.event(
            _log,
            "request_ended",
            request=self._request.request_id,
            result=result,
            verdict=progress.verdict.value,
            status=self._status,
            detail=refusal.message if refusal else None,
            retry_after_s=retry_after.total_seconds() if retry_after else None,
            route=route.name,
            service=self._destination.service.name,
            workspace=(
                self._destination.workspace.name
                if self._destination.workspace
                else None
            ),
            rank=self._destination.rank,
            runs=progress.runs,
            first_event_s=self._first_event_s or None,
            elapsed_s=self._elapsed_s(),
            configuration=table.version if table else None,
            **(
                self._failure_fields(progress, limit)
                if result != "served" and self._server_id
                else {}
            ),
        )

    def _failure_fields(
        self,
        progress: requestprogress.RequestProgress,
        limit: deadline.RequestDeadline,
    ) -> dict[str, object]:
        """Returns what tells a server's failure from one of this process."""
        failure = self._last_failure
        now_s = self._state.clock.monotonic()
        return {
            "server": self._server_id,
            "server_state": self._server_state(),
            "cause": failure.cause.value if failure else None,
            "error": str(failure) if failure else None,
            "events": progress.events,
            "silent_s": round(now_s - self._server_output_s, 3),
            "caller_wait_s": round(self._caller_wait_s, 3),
            "time_left_s": round(limit.time_left_s, 3),
            "in_stop": limit.in_stop,
        }

    def _server_state(self) -> str:
        server = self._state.fleet.get(self._server_id)
        if server is None:
            return "unlisted"
        return "leaving" if server.leaving else "listed"

    def _attempt(
        self,
        server_id: str,
        result: str,
        verdict: outcome.Verdict,
        **fields: str,
    ) -> None:
        metrics.count_attempt(result)
        logs.event(
            _log,
            "attempt",
            request=self._request.request_id,
            server=server_id,
            result=result,
            verdict=verdict.value,
            elapsed_s=self._elapsed_s(),
            **fields,
        )

    def _elapsed_s(self) -> float:
        now_s = self._state.clock.monotonic()
        return round(now_s - self._request.received_s, 4)
