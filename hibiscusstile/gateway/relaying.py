"""Relays the response to one attempt of a request to the caller."""

from __future__ import annotations

import functools

from hibiscusstile import outcome
from hibiscusstile.gateway import (
    crashevidence,
    enginerates,
    exchange,
    fleet,
    handover,
    load,
    prefillcoalescing,
    requestlog,
    requestprogress,
    routes,
    selection,
    silence,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["HeldError", "ResponseRelay"]

_FIRST_SERVER_ERROR_STATUS = 500
# A request that crashes its server does so as the server begins its response.
# One event may have left the server before.
_SURVIVAL_S = 0.1

HeldError = tuple[exchange.ResponseHead, bytes]


class ResponseRelay:
    """Relays responses of servers, and records what they tell.

    Args:
        state: State of this gateway process.
        model: Model that the request names, empty for plain services.
        route: Route of the request.
        writer: Writes the response to the caller.
        request_progress: Attempts of the request.
        log: Log of the request.
        prefill_coalescer: The request's part in prefills of its prefix.
        rates: Estimate of the service's engines.
        evidence: What the request tells about prompt parts that crash engines.
        stream_handover: Decides when a stream leaves a silent server.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        model: str,
        route: routes.Route,
        writer: exchange.ResponseWriter,
        request_progress: requestprogress.RequestProgress,
        log: requestlog.RequestLog,
        prefill_coalescer: prefillcoalescing.PrefillCoalescer,
        rates: enginerates.EngineRates,
        evidence: crashevidence.RequestEvidence,
        stream_handover: handover.StreamHandover,
    ) -> None:
        self._state = state
        self._model = model
        self._route = route
        self._writer = writer
        self._progress = request_progress
        self._log = log
        self._prefill_coalescer = prefill_coalescer
        self._rates = rates
        self._evidence = evidence
        self._handover = stream_handover
        self._unfinished_server: fleet.BackendServer | None = None

    @property
    def unfinished_server(self) -> fleet.BackendServer | None:
        """Server that has sent the head of a response but not all of its body.

        None while there is none, and for streams of events.
        """
        return self._unfinished_server

    async def relay(
        self,
        candidate: selection.Candidate,
        in_flight: load.InFlightRequest,
        response: exchange.ServerResponse,
    ) -> HeldError | None:
        """Relays a response to the caller.

        Returns:
            A complete error response that was not relayed, since the request
            may be sent again; None if the response was relayed.

        Raises:
            AttemptFailed: The response is incomplete or unusable.
        """
        candidate.load.note_activity(self._now_s())
        self._progress.note_verdict(outcome.Verdict.MAY_HAVE_RUN)
        self._note_version(candidate.server, response.head.weights_version)
        if response.head.event_stream:
            await self._relay_stream(candidate, in_flight, response)
            return None
        self._unfinished_server = candidate.server
        held_error = await self._relay_body(candidate.server, response)
        self._unfinished_server = None
        return held_error

    def note_failure(self) -> None:
        """Records that the attempt has ended without a usable response."""
        self._unfinished_server = None

    async def _relay_body(
        self, server: fleet.BackendServer, response: exchange.ServerResponse
    ) -> HeldError | None:
        """Relays a response that is not a stream of events.

        The whole body decides whether the request is sent again, so it is held
        up to a limit. A longer one is relayed as it arrives.
        """
        with self._state.held_bodies.hold() as allowance:
            held = await response.read_held(allowance)
            self._progress.note_run(outcome.Verdict.RAN)
            if held.complete:
                return await self._relay_held_body(server, response, held.data)
        await self._start_long_body(response, held.data)
        # A caller may take minutes to read the rest.
        del held
        await self._relay_rest(server, response)
        return None

    async def _relay_held_body(
        self,
        server: fleet.BackendServer,
        response: exchange.ServerResponse,
        body: bytes,
    ) -> HeldError | None:
        """Relays a complete response; returns errors that allow a retry."""
        failed = response.head.status >= _FIRST_SERVER_ERROR_STATUS
        self._state.health.note_response(server, failed)
        self._log.attempt_answered(
            server.server_id, "failed" if failed else "answered"
        )
        self._require_unstarted()
        if failed and self._route.kind is routes.RequestKind.IDEMPOTENT:
            return response.head, body
        self._log.note_status(response.head.status)
        await self._writer.send_response(response.head, body)
        return None

    async def _start_long_body(
        self, response: exchange.ServerResponse, start: bytes
    ) -> None:
        """Relays the start of a body that is too long to be held."""
        if response.head.status >= _FIRST_SERVER_ERROR_STATUS:
            raise exchange.AttemptFailed(
                exchange.FailureCause.INVALID,
                outcome.Verdict.RAN,
                f"the body of an error response exceeds {len(start)} bytes",
            )
        self._require_unstarted()
        self._log.note_status(response.head.status)
        await self._writer.start_stream(response.head)
        await self._writer.write(start)

    async def _relay_rest(
        self, server: fleet.BackendServer, response: exchange.ServerResponse
    ) -> None:
        """Relays the rest of a body as it arrives."""
        async for chunk in response.chunks():
            await self._writer.write(chunk)
        await self._writer.finish_stream()
        self._state.health.note_response(server, False)
        self._log.attempt_answered(server.server_id, "answered")

    def _require_unstarted(self) -> None:
        if self._writer.started:
            raise exchange.AttemptFailed(
                exchange.FailureCause.INVALID,
                outcome.Verdict.RAN,
                "a complete response cannot continue a started stream",
            )

    def _require_next(self, event: exchange.StreamEvent) -> None:
        if not self._progress.follows(event.event_id):
            raise exchange.AttemptFailed(
                exchange.FailureCause.INVALID,
                outcome.Verdict.MAY_HAVE_RUN,
                f"event {event.event_id!r} does not continue the stream",
            )

    async def _relay_stream(
        self,
        candidate: selection.Candidate,
        in_flight: load.InFlightRequest,
        response: exchange.ServerResponse,
    ) -> None:
        # Leaving this server takes another run.
        self._progress.note_run(outcome.Verdict.MAY_HAVE_RUN)
        server = candidate.server
        watch = silence.SilenceWatch(
            silence.SilenceLimits.for_route(self._route),
            functools.partial(self._handover.note_silent, server),
            functools.partial(self._handover.try_leave, server),
        )
        try:
            async with watch.watching():
                await self._relay_events(watch, candidate, in_flight, response)
        except silence.ServerSilent:
            raise exchange.AttemptFailed(
                exchange.FailureCause.STALLED,
                outcome.Verdict.MAY_HAVE_RUN,
                "the server is silent, and another one can continue the stream",
            ) from None
        except exchange.AttemptFailed as failure:
            failure.server_suspected = watch.suspected
            raise
        if not self._writer.started:
            await self._writer.start_stream(response.head)
        await self._writer.finish_stream()
        self._log.attempt_answered(server.server_id, "streamed")

    async def _relay_events(
        self,
        watch: silence.SilenceWatch,
        candidate: selection.Candidate,
        in_flight: load.InFlightRequest,
        response: exchange.ServerResponse,
    ) -> None:
        continues = self._writer.started
        # Only a caller that resumes, or whose stream left a silent server, may
        # already have all events.
        event_needed = not self._progress.last_event_id or (
            continues and not self._handover.may_have_whole(response.head)
        )
        async for event in response.events():
            if event.has_content:
                if continues:
                    self._require_next(event)
                    continues = False
                if watch.silent:
                    self._log.server_silence_ended(candidate.server.server_id)
                self._handover.note_event()
                self._note_content(candidate, in_flight)
                event_needed = False
            elif continues:
                # May be the text of an error instead of a comment.
                continue
            watch.pause()
            await self._relay_event(candidate, response.head, event)
            self._log.note_caller_wait(watch.resume(output=event.has_content))
        if event_needed:
            raise exchange.AttemptFailed(
                exchange.FailureCause.INVALID,
                outcome.Verdict.MAY_HAVE_RUN,
                "the stream ended without an event",
            )

    def _note_content(
        self, candidate: selection.Candidate, in_flight: load.InFlightRequest
    ) -> None:
        """Records an event with content."""
        now_s = self._now_s()
        candidate.load.note_activity(now_s)
        self._log.note_server_output(now_s)
        if in_flight.started:
            self._note_survival(in_flight)
            return
        candidate.load.note_started(in_flight, self._now_s())
        if in_flight.work is not None:
            self._rates.observe(
                in_flight.work, self._now_s() - in_flight.sent_s
            )
        self._prefill_coalescer.finish()
        self._progress.note_run(outcome.Verdict.RAN)
        self._state.health.note_response(candidate.server, False)
        self._log.note_first_event()

    def _note_survival(self, in_flight: load.InFlightRequest) -> None:
        """Clears the request once its server has gone on for a while."""
        if self._evidence.survived:
            return
        if self._now_s() - in_flight.started_s >= _SURVIVAL_S:
            self._evidence.note_survived()

    async def _relay_event(
        self,
        candidate: selection.Candidate,
        head: exchange.ResponseHead,
        event: exchange.StreamEvent,
    ) -> None:
        self._note_version(candidate.server, event.weights_version)
        if not self._writer.started:
            await self._writer.start_stream(head)
        await self._writer.write(event.data)
        self._progress.note_event(event.event_id, has_content=event.has_content)

    def _note_version(
        self, server: fleet.BackendServer, version: int | None
    ) -> None:
        if version is not None:
            self._state.note_weights(server.server_id, self._model, version)

    def _now_s(self) -> float:
        return self._state.clock.monotonic()
