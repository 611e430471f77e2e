"""Forwards one request: server selection, attempts and retries."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime

from hibiscusstile import outcome
from hibiscusstile.gateway import (
    allowances,
    attemptfailures,
    attemptlimits,
    crashdetection,
    crashevidence,
    deadline,
    exchange,
    handover,
    load,
    overload,
    prefillcoalescing,
    relaying,
    requestlog,
    requestprogress,
    requestroom,
    requestservers,
    resolving,
    retries,
    selection,
    sending,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["RequestForwarder"]

# Pause before servers are selected again when none was available.
_NO_SERVER_PAUSE = datetime.timedelta(milliseconds=60)
# Share of the target latency for which a request waits for a server.
_MAX_WAIT_TARGET_SHARE = 0.5
# Longest time after a failure for which a stream that a server has begun waits
# for another one. Callers abandon it after 2 s or more without an event.
_MAX_RESUME_WAIT_S = 1.5
_FIRST_REDIRECT_STATUS = 300


class RequestForwarder:
    """Sends one request to backend servers until one has answered it.

    Args:
        state: State of this gateway process.
        client: Sends requests to servers.
        crash_detector: Tells crashes of servers from lost responses.
        request: The request.
        writer: Writes the response to the caller.
        destination: Route and service that the request was resolved to.
        charge: What the request was charged to its workspace; nothing if None.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        client: exchange.ServerClient,
        crash_detector: crashdetection.CrashDetector,
        request: exchange.ForwardedRequest,
        writer: exchange.ResponseWriter,
        destination: resolving.Destination,
        charge: allowances.Charge | None = None,
    ) -> None:
        self._state = state
        self._client = client
        self._request = request
        self._writer = writer
        self._destination = destination
        self._charge = charge or allowances.Charge()
        self._deadline = deadline.RequestDeadline(
            request, destination.route, state.clock
        )
        self._refusal: outcome.Refusal | None = None
        self._limits = attemptlimits.AttemptLimits()
        self._last_failure_s = 0.0
        self._progress = requestprogress.RequestProgress(request.last_event_id)
        self._log = requestlog.RequestLog(state, request, destination)
        self._evidence = crashevidence.RequestEvidence(
            state, request, destination
        )
        self._failure_recorder = attemptfailures.FailureRecorder(
            state, crash_detector, request, destination, self._evidence
        )
        self._rates = state.engine_rates(destination.service.name)
        self._prefill_coalescer = prefillcoalescing.PrefillCoalescer(
            state, request, destination.route.target_latency_s, self._rates
        )
        self._servers = requestservers.RequestServers(
            state, request, destination, self._limits, self._rates
        )
        self._room = requestroom.RequestRoom(
            state, request, destination, self._rates
        )
        self._retries = retries.Retries(
            state, destination, writer, self._progress, self._log
        )
        self._relay = relaying.ResponseRelay(
            state,
            request.model,
            destination.route,
            writer,
            self._progress,
            self._log,
            self._prefill_coalescer,
            self._rates,
            self._evidence,
            handover.StreamHandover(
                state,
                self._progress,
                self._deadline,
                self._limits,
                self._retries,
                self._evidence,
                self._log,
                self._servers,
            ),
        )
        self._last_error_response: relaying.HeldError | None = None

    @property
    def deadline(self) -> deadline.RequestDeadline:
        """When the request must have its final response."""
        return self._deadline

    @property
    def verdict(self) -> outcome.Verdict:
        """Whether a server may have run the request."""
        return self._progress.verdict

    async def run(self) -> None:
        """Serves the request.

        On failure the caller gets an error response, or a truncated stream if
        one has started.
        """
        self._state.budget(self._destination.service.name).note_first_attempt()
        # Stays if writing to the caller raises an exception.
        result = "caller_lost"
        try:
            async with self._deadline.enforced():
                await self._attempt_until_answered()
            result = "served"
        except TimeoutError:
            result = "timed_out"
            if self._relay.unfinished_server is not None:
                self._state.health.note_no_response(
                    self._relay.unfinished_server
                )
            await self._finish_failed(
                self._deadline.refusal(self._progress.verdict)
            )
        except outcome.Refused as refused:
            result = refused.refusal.reason.value
            self._refusal = refused.refusal
            await self._finish_failed(refused.refusal)
        except asyncio.CancelledError:
            result = "cancelled"
            raise
        finally:
            self._retries.release()
            self._log.request_ended(
                result, self._progress, self._deadline, self._refusal
            )

    async def _attempt_until_answered(self) -> None:
        while True:
            selected = await self._next_server()
            try:
                held_error = await self._attempt(selected)
            except exchange.AttemptFailed as failure:
                server = selected.candidate.server
                self._note_failure(server.server_id, failure)
                await self._failure_recorder.record(server, failure)
                self._acquire_retry_or_refuse(failure)
                continue
            if held_error is None:
                return
            self._last_error_response = held_error
            if not (self._retries.may_run_again() and self._retries.acquire()):
                await self._send_last_error()
                return
            self._limits.exclude(selected.candidate.server.server_id)

    async def _next_server(self) -> selection.SelectedServer:
        """Returns the server for the next attempt.

        Waits while no server is available or another request computes the
        same prefix.
        """
        while True:
            self._refuse_if_suspect()
            selected = self._servers.select_next()
            if selected is not None:
                selected = self._in_time_or_refuse(selected)
                if (
                    self._writer.started
                    or not await self._prefill_coalescer.wait(selected)
                ):
                    return selected
                continue
            if not self._may_wait_for_server():
                self._refuse_further_attempts()
            self._limits.end_pause()
            await self._state.clock.sleep(_NO_SERVER_PAUSE)

    def _may_wait_for_server(self) -> bool:
        """Returns whether to pause and then select a server again.

        Requires time left to wait and a usable server that is not excluded
        for the whole request.
        """
        usable_servers = self._state.fleet.usable_servers(
            self._destination.service.name
        )
        if all(
            self._limits.excludes_for_request(server.server_id)
            for server in usable_servers
        ):
            return False
        if self._writer.started or self._limits.left_silent_server:
            return self._now_s() - self._last_failure_s < _MAX_RESUME_WAIT_S
        elapsed_s = self._now_s() - self._request.received_s
        return (
            elapsed_s
            < _MAX_WAIT_TARGET_SHARE * self._destination.route.target_latency_s
        )

    def _refuse_if_suspect(self) -> None:
        """Refuses a request that crashes servers."""
        refusal = self._evidence.refusal(self._progress.verdict)
        if refusal is not None:
            raise outcome.Refused(refusal)

    def _in_time_or_refuse(
        self, selected: selection.SelectedServer
    ) -> selection.SelectedServer:
        """Returns the selected server, or one that responds earlier.

        Raises:
            Refused: No server is expected to respond in time, or room is short
                and others go first.
        """
        if self._writer.started or self._limits.delivery_failed:
            return selected
        found, refusal = self._room.find(
            selected, self._servers.select_excluding
        )
        if refusal is not None:
            self._log.server_selected(found, "server_too_busy")
            raise outcome.Refused(
                dataclasses.replace(refusal, verdict=self._progress.verdict)
            )
        return found

    def _refuse_further_attempts(self) -> None:
        """Refuses a request for which no further attempt is possible."""
        if self._progress.verdict is not outcome.Verdict.NOT_RUN:
            raise outcome.refused(
                outcome.Reason.BACKEND_FAILED,
                "the request failed at a server and cannot be sent again",
                verdict=self._progress.verdict,
            )
        raise outcome.Refused(
            overload.no_server_refusal(
                self._state.fleet.first_pause_left_s(
                    self._destination.service.name
                )
            )
        )

    async def _attempt(
        self, selected: selection.SelectedServer
    ) -> relaying.HeldError | None:
        """Sends the request once and relays its response.

        Returns:
            An error response that was not relayed; None if it was relayed.

        Raises:
            AttemptFailed: There was no usable response.
        """
        server = selected.candidate.server
        server_load = selected.candidate.load
        request = self._request
        in_flight = load.InFlightRequest(
            prefill_tokens=max(
                0, request.prompt_tokens - selected.cached_tokens
            ),
            memory_tokens=request.prompt_tokens + request.max_output_tokens,
            sent_s=self._now_s(),
            expected_s=selected.expected_s,
            work=selected.observable_work,
        )
        self._charge.note_attempt(self._progress.runs)
        self._progress.note_attempt(server.address)
        self._evidence.begin_attempt()
        self._log.server_selected(selected)
        server_load.begin(
            in_flight, selected.candidate.cache_salt, request.shared_parts
        )
        self._prefill_coalescer.begin(selected)
        try:
            with self._state.server_memory.hold(server.server_id, request):
                async with self._client.send(
                    server, request, self._options(selected.candidate)
                ) as response:
                    self._state.server_statements.note(
                        server, response.head.statement
                    )
                    held_error = await self._relay.relay(
                        selected.candidate, in_flight, response
                    )
                    if response.head.status < _FIRST_REDIRECT_STATUS:
                        self._evidence.note_survived()
                    return held_error
        finally:
            self._prefill_coalescer.finish()
            server_load.end(in_flight, self._now_s())

    def _note_failure(
        self, server_id: str, failure: exchange.AttemptFailed
    ) -> None:
        """Updates progress and exclusions after a failed attempt."""
        self._last_failure_s = self._now_s()
        self._log.attempt_failed(server_id, failure)
        self._progress.note_failure(failure.verdict)
        self._relay.note_failure()
        self._limits.note_failure(server_id, failure.cause)
        if failure.cause in (
            exchange.FailureCause.LOST,
            exchange.FailureCause.INVALID,
            exchange.FailureCause.STALLED,
        ):
            self._progress.note_run(failure.verdict)

    def _acquire_retry_or_refuse(self, failure: exchange.AttemptFailed) -> None:
        """Refuses the request unless it may be sent again.

        Takes a token from the retry budget if a server received the request.
        """
        ran = failure.verdict is not outcome.Verdict.NOT_RUN
        if ran and not self._retries.may_run_again():
            raise outcome.refused(
                outcome.Reason.BACKEND_FAILED,
                "the server sent no complete response, and the request must not"
                " run again",
                verdict=self._progress.verdict,
            )
        # If no server received the request, a retry needs no token from the
        # budget.
        if self._limits.allow_retry_after(failure.cause) and (
            failure.cause is exchange.FailureCause.NOT_REACHED
            or self._retries.acquire()
        ):
            return
        self._refuse_further_attempts()

    async def _finish_failed(self, refusal: outcome.Refusal) -> None:
        """Ends a failed request.

        Truncates a started stream. Otherwise sends the last 5xx response, or
        the refusal if there was none.
        """
        if self._writer.started:
            self._writer.abort()
            return
        if self._last_error_response is not None:
            await self._send_last_error()
            return
        await self._writer.refuse(refusal)

    async def _send_last_error(self) -> None:
        assert self._last_error_response is not None
        head, body = self._last_error_response
        self._log.note_status(head.status)
        await self._writer.send_response(head, body)

    def _options(self, candidate: selection.Candidate) -> exchange.SendOptions:
        return sending.send_options(
            self._state,
            self._request,
            self._destination,
            candidate,
            time_left_s=self._deadline.time_left_s,
            last_event_id=self._progress.last_event_id,
            new_connection=self._progress.repeats_address,
        )

    def _now_s(self) -> float:
        return self._state.clock.monotonic()
